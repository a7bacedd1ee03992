package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

// A whole fleet in one small event world: every node has its module, servers have cores and a queue, requests come at
// random times to random nodes.

// fleetRun is the make of a fleet and its load.
type fleetRun struct {
	nodes   int
	servers int
	cores   int
	// requests a second, over all nodes; from the warm-up's end on
	rate         float64
	laterRate    float64
	work         func(r *rand.Rand) time.Duration
	tenants      []Tenant
	tenantShares []float64 // of the load, by tenant
}

// fleetResult is what came of the requests that arrived after the warm-up.
type fleetResult struct {
	arrived  map[string]int
	rejected map[string]int
	// weight
	inTime      float64
	offered     float64
	maxInFlight int // most requests that one server held
}

func (t fleetResult) rejectedPart() float64 {
	came, rejected := 0, 0
	for c, n := range t.arrived {
		came, rejected = came+n, rejected+t.rejected[c]
	}
	return float64(rejected) / float64(max(1, came))
}

type queuedEvent struct {
	at    Time
	node  int // -1: an arrival
	event Event
}

type eventQueue []queuedEvent

func (a eventQueue) Len() int           { return len(a) }
func (a eventQueue) Less(i, j int) bool { return a[i].at < a[j].at }
func (a eventQueue) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)        { *a = append(*a, x.(queuedEvent)) }
func (a *eventQueue) Pop() any {
	x := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return x
}

var fleetClasses = []Class{
	{Name: "view", PriorityWeight: 1, LatencyObjective: 400 * time.Millisecond, Deadline: 1200 * time.Millisecond, Idempotency: Idempotent},
	{Name: "order", PriorityWeight: 8, LatencyObjective: 750 * time.Millisecond, Deadline: 1500 * time.Millisecond, Idempotency: NonIdempotent}}

// run runs the fleet and counts from the warm-up on.
func (c fleetRun) run(seed int64, warm, length time.Duration) fleetResult {
	r := rand.New(rand.NewSource(seed))
	list := sparseList(c.servers)
	zones := []string{"a", "b", "c", "d"}
	for i := range list.Servers {
		list.Servers[i].Zone = zones[i%4]
	}
	var q eventQueue
	var nodes []*Module
	for self := range c.nodes {
		s := sparseSettings(c.nodes)
		s.NodeIndex = self
		s.Classes = fleetClasses
		s.Tenants = c.tenants
		s.Zones = zones
		s.Zone = zones[self%4]
		nodes = append(nodes, New(s, seed*1000+int64(self)))
		nodes[self].Handle(time.Hour, list)
		heap.Push(&q, queuedEvent{time.Hour + time.Duration(r.Intn(25))*time.Millisecond, self, TimerFired{}})
	}
	t := fleetResult{arrived: map[string]int{}, rejected: map[string]int{}}
	free, held := make([][]Time, c.servers), make([]int, c.servers)
	for i := range free {
		free[i] = make([]Time, c.cores)
	}
	arrived := map[RequestID]Time{}
	legs := map[RequestID]int{}
	over := map[RequestID]bool{}
	id := 0
	heap.Push(&q, queuedEvent{time.Hour, -1, nil})
	for now := time.Hour; now < time.Hour+length; {
		d := heap.Pop(&q).(queuedEvent)
		now = d.at
		if d.node < 0 {
			rate := c.rate
			if now > time.Hour+warm && c.laterRate > 0 {
				rate = c.laterRate
			}
			heap.Push(&q, queuedEvent{now + time.Duration(r.ExpFloat64()/rate*float64(time.Second)), -1, nil})
			id++
			class := fleetClasses[0]
			if r.Float64() < 0.43 {
				class = fleetClasses[1]
			}
			a := RequestArrived{ID: RequestID(fmt.Sprint(class.Name, id)), Class: class.Name, Timeout: class.Deadline}
			for i, x := 0, r.Float64(); i < len(c.tenantShares); i++ {
				if x -= c.tenantShares[i]; x < 0 {
					a.Tenant = c.tenants[i].Name
					break
				}
			}
			d.node = r.Intn(c.nodes)
			d.event = a
			arrived[a.ID] = now
			if now > time.Hour+warm {
				t.arrived[class.Name]++
				t.offered += class.PriorityWeight
			}
		}
		if e, ok := d.event.(AttemptEnded); ok {
			held[e.Server-1]--
			e.Answered = over[e.ID] || e.Code == OK
			if e.Code == OK && !over[e.ID] && arrived[e.ID] > time.Hour+warm {
				class := fleetClasses[0]
				if e.ID[0] == 'o' {
					class = fleetClasses[1]
				}
				if now-arrived[e.ID] <= class.LatencyObjective {
					t.inTime += class.PriorityWeight
				}
			}
			over[e.ID] = e.Answered
			d.event = e
		}
		for _, a := range nodes[d.node].Handle(now, d.event) {
			switch a := a.(type) {
			case SetTimer:
				heap.Push(&q, queuedEvent{now + a.After, d.node, TimerFired{}})
			case Forward:
				cores, first := free[a.Server-1], 0
				for i := range cores {
					if cores[i] < cores[first] {
						first = i
					}
				}
				start, work, took, code := max(now, cores[first]), c.work(r), a.Timeout, TimedOut
				if start < now+a.Timeout { // else it is dropped while it waits
					cores[first] = start + work
				}
				if start+work < now+a.Timeout {
					took, code = start+work-now+2*time.Millisecond, OK
				}
				held[a.Server-1]++
				t.maxInFlight = max(t.maxInFlight, held[a.Server-1])
				heap.Push(&q, queuedEvent{now + took, d.node, AttemptEnded{ID: a.ID, Attempt: legs[a.ID], Server: a.Server, Code: code, Elapsed: took}})
				legs[a.ID]++
			case Reject:
				over[a.ID] = true
				if arrived[a.ID] > time.Hour+warm {
					t.rejected[string(a.ID[:1])]++
				}
			case Fail:
				over[a.ID] = true
			}
		}
	}
	t.rejected["view"], t.rejected["order"] = t.rejected["v"], t.rejected["o"]
	return t
}

func uniform(lo, hi int) func(*rand.Rand) time.Duration {
	return func(r *rand.Rand) time.Duration {
		return time.Duration(1000*lo+r.Intn(1000*(hi-lo))) * time.Microsecond
	}
}

// An idle fleet rejects next to nothing, however many nodes share it and with and without tenants. Before there was
// capacity, 20 nodes with 12 servers rejected 9 %, and 200 with 60 servers 15 %.
func TestIdleFleetRejectsNothing(t *testing.T) {
	for _, nodes := range []int{4, 10, 20, 40, 100, 200, 300} {
		for _, load := range []struct {
			servers int
			rate    float64
		}{{12, 240}, {16, 300}, {60, 2000}} {
			if load.servers == 60 && nodes != 100 && nodes != 200 {
				continue // large enough that a node is not sparse
			}
			c := fleetRun{nodes: nodes, servers: load.servers, cores: 8, rate: load.rate, work: uniform(11, 27)}
			for _, tenants := range [][]float64{nil, {0.6, 0.35, 0.05}} {
				c.tenantShares, c.tenants = tenants, nil
				for i, share := range tenants {
					c.tenants = append(c.tenants, Tenant{Name: fmt.Sprint("t", i), Quota: 1.5 * share * load.rate})
				}
				if x := c.run(int64(nodes), 0, 8*time.Second); x.rejectedPart() > 0.005 {
					t.Errorf("%d nodes, %d servers, %v/s, shares %v: %.1f %% rejected: %v of %v", nodes, load.servers, load.rate,
						tenants, 100*x.rejectedPart(), x.rejected, x.arrived)
				}
			}
		}
	}
}

// Room for idle servers is none for overloaded ones: from half load on, twice what the servers bear comes for 30 s. The weight
// answered in time is what it was before there was capacity (0.755, 0.73, 0.73, 0.47), less what chance does to it.
func TestOverloadShedsAsBefore(t *testing.T) {
	for nodes, minimum := range map[int]float64{4: 0.70, 10: 0.67, 20: 0.67, 40: 0.41} {
		c := fleetRun{nodes: nodes, servers: 12, cores: 2, rate: 200, laterRate: 800, work: func(r *rand.Rand) time.Duration {
			return time.Duration(r.ExpFloat64() * 60 * float64(time.Millisecond))
		}}
		x := c.run(int64(nodes), 10*time.Second, 40*time.Second)
		if got := x.inTime / x.offered; got < minimum || x.rejected["view"] < 3*x.rejected["order"] {
			t.Errorf("%d nodes: %.3f of the weight in time, want %.2f; rejected %v of %v", nodes, got, minimum, x.rejected, x.arrived)
		}
	}
}

// A tenant within its quota has priority at every node, however small the node's part of it; one far over its quota has it
// for no more than the quota and what the nodes may save up.
func TestSmallTenantsHavePriorityWithinTheirQuota(t *testing.T) {
	const quota, seconds = 12.0, 200
	for _, nodes := range []int{4, 20, 40, 100, 300} {
		for over, minimum := range map[float64]float64{0.67: 0.9, 10: 0} {
			s := sparseSettings(nodes)
			s.Tenants = []Tenant{{Name: "small", Quota: quota}}
			m, r := New(s, 1), rand.New(rand.NewSource(1))
			m.Handle(time.Hour, sparseList(1))
			came, within := 0, 0.0
			rate := over * quota / float64(nodes)
			for now := time.Hour; now < time.Hour+seconds*time.Second*time.Duration(nodes)/4; came++ {
				now += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
				id := RequestID(fmt.Sprint(came))
				m.Handle(now, RequestArrived{ID: id, Class: "priority", Tenant: "small", Timeout: time.Second})
				if q := m.requests[id]; q != nil && q.priority {
					within++
				}
				m.Handle(now, AttemptEnded{ID: id, Server: 1, Answered: true, Elapsed: time.Millisecond})
			}
			if maximum := quota/4*seconds + math.Max(minQuotaBurst, quota/float64(nodes)) + 1; within < minimum*float64(came) || within > maximum {
				t.Errorf("%d nodes, %v of the quota: %v of %d with priority, want a part of %v, at most %v", nodes, over, within,
					came, minimum, maximum)
			}
		}
	}
}

// A node that starts in an overload learns the overload's latency as the unloaded one. There is no capacity by that: with all nodes
// restarted, one request of each would keep the overload up. Where it is well within what objectives want, there is capacity.
func TestStartUnderOverloadFindsNoCapacity(t *testing.T) {
	m := New(sparseSettings(300), 1)
	s := m.serverByID(1)
	m.latency.answers, m.latency.atObjective = 100, 0.230
	for base, want := range map[float64]float64{0.030: 1, 0.090: 1, 0.190: 0.44, 0.220: 0.11, 0.300: 0} {
		m.latency.mean, m.latency.baseline = base, base
		if got := max(0, m.minServerConcurrency(s)); math.Abs(got-want) > 0.01 {
			t.Errorf("idle at %v s, wanted %v s: capacity %.2f, want %.2f", base, m.latency.atObjective, got, want)
		}
	}
}
