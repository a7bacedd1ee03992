package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

// This file simulates a whole fleet: every node has its own module, servers have cores and a queue, and requests arrive
// at random times at random nodes.

// fleetRun configures a simulated fleet and its load.
type fleetRun struct {
	nodes   int
	servers int
	cores   int
	// requests/s over all nodes; laterRate applies from the end of the warm-up on, if it is not 0
	rate         float64
	laterRate    float64
	work         func(rng *rand.Rand) time.Duration
	tenants      []Tenant
	tenantShares []float64 // fraction of the load by tenant
}

// fleetResult counts the outcomes of the requests that arrived after the warm-up.
type fleetResult struct {
	arrived  map[string]int
	rejected map[string]int
	// sums of priority weights
	inTime      float64
	offered     float64
	maxInFlight int // most requests that were in flight at one server
}

func (f fleetResult) rejectedPart() float64 {
	total, rejected := 0, 0
	for class, n := range f.arrived {
		total, rejected = total+n, rejected+f.rejected[class]
	}
	return float64(rejected) / float64(max(1, total))
}

type queuedEvent struct {
	at    Time
	node  int // index of the node; -1: a request arrives at a random node
	event Event
}

type eventQueue []queuedEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(queuedEvent)) }
func (q *eventQueue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

var fleetClasses = []Class{
	{Name: "view", PriorityWeight: 1, LatencyObjective: 400 * time.Millisecond, Deadline: 1200 * time.Millisecond, Idempotency: Idempotent},
	{Name: "order", PriorityWeight: 8, LatencyObjective: 750 * time.Millisecond, Deadline: 1500 * time.Millisecond, Idempotency: NonIdempotent}}

// run simulates the fleet for length, and counts the requests that arrive after warmUp.
func (f fleetRun) run(seed int64, warmUp, length time.Duration) fleetResult {
	rng := rand.New(rand.NewSource(seed))
	list := cachedEndpoints(f.servers)
	zones := []string{"a", "b", "c", "d"}
	for i := range list.Servers {
		list.Servers[i].Zone = zones[i%4]
	}
	var q eventQueue
	var nodes []*Module
	for self := range f.nodes {
		s := sparseSettings(f.nodes)
		s.NodeIndex = self
		s.Classes = fleetClasses
		s.Tenants = f.tenants
		s.Zones = zones
		s.Zone = zones[self%4]
		nodes = append(nodes, New(s, seed*1000+int64(self)))
		nodes[self].Handle(time.Hour, list)
		heap.Push(&q, queuedEvent{time.Hour + time.Duration(rng.Intn(25))*time.Millisecond, self, TimerFired{}})
	}
	result := fleetResult{arrived: map[string]int{}, rejected: map[string]int{}}
	coresFreeAt, inFlight := make([][]Time, f.servers), make([]int, f.servers)
	for i := range coresFreeAt {
		coresFreeAt[i] = make([]Time, f.cores)
	}
	arrived := map[RequestID]Time{}
	attempts := map[RequestID]int{}
	answered := map[RequestID]bool{}
	id := 0
	heap.Push(&q, queuedEvent{time.Hour, -1, nil})
	for now := time.Hour; now < time.Hour+length; {
		next := heap.Pop(&q).(queuedEvent)
		now = next.at
		if next.node < 0 {
			rate := f.rate
			if now > time.Hour+warmUp && f.laterRate > 0 {
				rate = f.laterRate
			}
			heap.Push(&q, queuedEvent{now + time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), -1, nil})
			id++
			class := fleetClasses[0]
			if rng.Float64() < 0.43 {
				class = fleetClasses[1]
			}
			a := RequestArrived{ID: RequestID(fmt.Sprint(class.Name, id)), Class: class.Name, Timeout: class.Deadline}
			for i, x := 0, rng.Float64(); i < len(f.tenantShares); i++ {
				if x -= f.tenantShares[i]; x < 0 {
					a.Tenant = f.tenants[i].Name
					break
				}
			}
			next.node = rng.Intn(f.nodes)
			next.event = a
			arrived[a.ID] = now
			if now > time.Hour+warmUp {
				result.arrived[class.Name]++
				result.offered += class.PriorityWeight
			}
		}
		if e, ok := next.event.(AttemptEnded); ok {
			inFlight[e.Server-1]--
			e.Answered = answered[e.ID] || e.Code == OK
			if e.Code == OK && !answered[e.ID] && arrived[e.ID] > time.Hour+warmUp {
				class := fleetClasses[0]
				if e.ID[0] == 'o' {
					class = fleetClasses[1]
				}
				if now-arrived[e.ID] <= class.LatencyObjective {
					result.inTime += class.PriorityWeight
				}
			}
			answered[e.ID] = e.Answered
			next.event = e
		}
		for _, a := range nodes[next.node].Handle(now, next.event) {
			switch a := a.(type) {
			case SetTimer:
				heap.Push(&q, queuedEvent{now + a.After, next.node, TimerFired{}})
			case Forward:
				cores, first := coresFreeAt[a.Server-1], 0
				for i := range cores {
					if cores[i] < cores[first] {
						first = i
					}
				}
				start, work, elapsed, code := max(now, cores[first]), f.work(rng), a.Timeout, TimedOut
				if start < now+a.Timeout { // otherwise the server drops the request while it waits in the queue
					cores[first] = start + work
				}
				if start+work < now+a.Timeout {
					elapsed, code = start+work-now+2*time.Millisecond, OK
				}
				inFlight[a.Server-1]++
				result.maxInFlight = max(result.maxInFlight, inFlight[a.Server-1])
				heap.Push(&q, queuedEvent{now + elapsed, next.node, AttemptEnded{ID: a.ID, Attempt: attempts[a.ID], Server: a.Server, Code: code,
					Elapsed: elapsed}})
				attempts[a.ID]++
			case Reject:
				answered[a.ID] = true
				if arrived[a.ID] > time.Hour+warmUp {
					result.rejected[string(a.ID[:1])]++
				}
			case Fail:
				answered[a.ID] = true
			}
		}
	}
	result.rejected["view"], result.rejected["order"] = result.rejected["v"], result.rejected["o"]
	return result
}

func uniform(lo, hi int) func(*rand.Rand) time.Duration {
	return func(rng *rand.Rand) time.Duration {
		return time.Duration(1000*lo+rng.Intn(1000*(hi-lo))) * time.Microsecond
	}
}

// TestIdleFleetRejectsNothing guards against rejections by an idle fleet (more than 0.5 % of the requests), with any
// number of nodes, with and without tenants. Before nodes granted idle servers a minimum concurrency, 20 nodes with 12
// servers rejected 9 % of the requests, and 200 nodes with 60 servers 15 %.
func TestIdleFleetRejectsNothing(t *testing.T) {
	for _, nodes := range []int{4, 10, 20, 40, 100, 200, 300} {
		for _, load := range []struct {
			servers int
			rate    float64
		}{{12, 240}, {16, 300}, {60, 2000}} {
			if load.servers == 60 && nodes != 100 && nodes != 200 {
				continue // 60 servers are for fleets of 100 and 200 nodes only
			}
			fleet := fleetRun{nodes: nodes, servers: load.servers, cores: 8, rate: load.rate, work: uniform(11, 27)}
			for _, tenants := range [][]float64{nil, {0.6, 0.35, 0.05}} {
				fleet.tenantShares, fleet.tenants = tenants, nil
				for i, share := range tenants {
					fleet.tenants = append(fleet.tenants, Tenant{Name: fmt.Sprint("t", i), Quota: 1.5 * share * load.rate})
				}
				if result := fleet.run(int64(nodes), 0, 8*time.Second); result.rejectedPart() > 0.005 {
					t.Errorf("%d nodes, %d servers, %v requests/s, tenant shares %v: %.1f %% rejected: %v of %v", nodes, load.servers, load.rate,
						tenants, 100*result.rejectedPart(), result.rejected, result.arrived)
				}
			}
		}
	}
}

// TestOverloadShedsAsBefore guards against the minimum concurrency of idle servers weakening the shedding of overloaded
// ones. After half load, twice the servers' capacity arrives for 30 s. The part of the weight that is answered in time
// must be what it was without the minimum concurrency (0.755, 0.73, 0.73, 0.47), less random variation.
func TestOverloadShedsAsBefore(t *testing.T) {
	for nodes, minimum := range map[int]float64{4: 0.70, 10: 0.67, 20: 0.67, 40: 0.41} {
		fleet := fleetRun{nodes: nodes, servers: 12, cores: 2, rate: 200, laterRate: 800, work: func(rng *rand.Rand) time.Duration {
			return time.Duration(rng.ExpFloat64() * 60 * float64(time.Millisecond))
		}}
		result := fleet.run(int64(nodes), 10*time.Second, 40*time.Second)
		if got := result.inTime / result.offered; got < minimum || result.rejected["view"] < 3*result.rejected["order"] {
			t.Errorf("%d nodes: %.3f of the weight in time, want %.2f; rejected %v of %v", nodes, got, minimum, result.rejected, result.arrived)
		}
	}
}

// TestSmallTenantsHavePriorityWithinTheirQuota checks that requests of a tenant within its quota have priority at every
// node, however small the node's part of the quota is. Of a tenant far over its quota, no more requests have priority
// than the quota and the nodes' bursts allow.
func TestSmallTenantsHavePriorityWithinTheirQuota(t *testing.T) {
	const quota, seconds = 12.0, 200
	for _, nodes := range []int{4, 20, 40, 100, 300} {
		for load, minimum := range map[float64]float64{0.67: 0.9, 10: 0} { // load as a multiple of the quota
			s := sparseSettings(nodes)
			s.Tenants = []Tenant{{Name: "small", Quota: quota}}
			m, rng := New(s, 1), rand.New(rand.NewSource(1))
			m.Handle(time.Hour, cachedEndpoints(1))
			arrived, withPriority := 0, 0.0
			rate := load * quota / float64(nodes)
			for now := time.Hour; now < time.Hour+seconds*time.Second*time.Duration(nodes)/4; arrived++ {
				now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
				id := RequestID(fmt.Sprint(arrived))
				m.Handle(now, RequestArrived{ID: id, Class: "priority", Tenant: "small", Timeout: time.Second})
				if r := m.requests[id]; r != nil && r.priority {
					withPriority++
				}
				m.Handle(now, AttemptEnded{ID: id, Server: 1, Answered: true, Elapsed: time.Millisecond})
			}
			if maximum := quota/4*seconds + math.Max(minQuotaBurst, quota/float64(nodes)) + 1; withPriority < minimum*float64(arrived) || withPriority > maximum {
				t.Errorf("%d nodes, load %v times the quota: %v of %d requests had priority, want at least a part of %v and at most %v requests",
					nodes, load, withPriority, arrived, minimum, maximum)
			}
		}
	}
}

// TestStartUnderOverloadFindsNoCapacity guards against an overload that restarted nodes keep up. A node that starts during an
// overload learns the overload's latency as the unloaded one. It must not derive a minimum concurrency from that: with all
// nodes restarted, one request of each would keep up the overload. A baseline well within the objectives does give one.
func TestStartUnderOverloadFindsNoCapacity(t *testing.T) {
	m := New(sparseSettings(300), 1)
	s := m.ensureServer(1)
	m.latency.answers, m.latency.atObjective = 100, 0.230
	for learned, want := range map[float64]float64{0.030: 1, 0.090: 1, 0.190: 0.44, 0.220: 0.11, 0.300: 0} {
		m.latency.mean, m.latency.baseline = learned, learned
		if got := max(0, m.minServerConcurrency(s)); math.Abs(got-want) > 0.01 {
			t.Errorf("baseline %v s, objective %v s: minimum concurrency %.2f, want %.2f", learned, m.latency.atObjective, got, want)
		}
	}
}
