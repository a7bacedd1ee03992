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

// crowd is the make of a fleet and its load.
type crowd struct {
	nodes, servers, cores int
	rate, later           float64 // requests a second, over all nodes; from the warm-up's end on
	work                  func(r *rand.Rand) time.Duration
	tenants               []Tenant
	shares                []float64 // of the load, by tenant
}

// tally is what came of the requests that arrived after the warm-up.
type tally struct {
	came, refused map[string]int
	inTime, asked float64 // worth
	longest       int     // most requests that one server held
}

func (t tally) part() float64 {
	came, refused := 0, 0
	for c, n := range t.came {
		came, refused = came+n, refused+t.refused[c]
	}
	return float64(refused) / float64(max(1, came))
}

type due struct {
	at   Time
	node int // -1: an arrival
	e    Event
}

type agenda []due

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(due)) }
func (a *agenda) Pop() any {
	x := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return x
}

var crowdClasses = []Class{
	{Name: "view", PriorityWeight: 1, LatencyObjective: 400 * time.Millisecond, Deadline: 1200 * time.Millisecond, Idempotency: Idempotent},
	{Name: "order", PriorityWeight: 8, LatencyObjective: 750 * time.Millisecond, Deadline: 1500 * time.Millisecond, Idempotency: NonIdempotent}}

// play runs the fleet and counts from the warm-up on.
func (c crowd) play(seed int64, warm, length time.Duration) tally {
	r := rand.New(rand.NewSource(seed))
	list := sparseList(c.servers)
	zones := []string{"a", "b", "c", "d"}
	for i := range list.Servers {
		list.Servers[i].Zone = zones[i%4]
	}
	var q agenda
	var nodes []*Module
	for self := range c.nodes {
		s := sparseSettings(c.nodes)
		s.NodeIndex, s.Classes, s.Tenants, s.Zones, s.Zone = self, crowdClasses, c.tenants, zones, zones[self%4]
		nodes = append(nodes, New(s, seed*1000+int64(self)))
		nodes[self].Handle(time.Hour, list)
		heap.Push(&q, due{time.Hour + time.Duration(r.Intn(25))*time.Millisecond, self, TimerFired{}})
	}
	t := tally{came: map[string]int{}, refused: map[string]int{}}
	free, held := make([][]Time, c.servers), make([]int, c.servers)
	for i := range free {
		free[i] = make([]Time, c.cores)
	}
	arrived, legs, over := map[RequestID]Time{}, map[RequestID]int{}, map[RequestID]bool{}
	id := 0
	heap.Push(&q, due{time.Hour, -1, nil})
	for now := time.Hour; now < time.Hour+length; {
		d := heap.Pop(&q).(due)
		now = d.at
		if d.node < 0 {
			rate := c.rate
			if now > time.Hour+warm && c.later > 0 {
				rate = c.later
			}
			heap.Push(&q, due{now + time.Duration(r.ExpFloat64()/rate*float64(time.Second)), -1, nil})
			id++
			class := crowdClasses[0]
			if r.Float64() < 0.43 {
				class = crowdClasses[1]
			}
			a := RequestArrived{ID: RequestID(fmt.Sprint(class.Name, id)), Class: class.Name, Timeout: class.Deadline}
			for i, x := 0, r.Float64(); i < len(c.shares); i++ {
				if x -= c.shares[i]; x < 0 {
					a.Tenant = c.tenants[i].Name
					break
				}
			}
			d.node, d.e, arrived[a.ID] = r.Intn(c.nodes), a, now
			if now > time.Hour+warm {
				t.came[class.Name]++
				t.asked += class.PriorityWeight
			}
		}
		if e, ok := d.e.(AttemptEnded); ok {
			held[e.Server-1]--
			e.Answered = over[e.ID] || e.Code == OK
			if e.Code == OK && !over[e.ID] && arrived[e.ID] > time.Hour+warm {
				class := crowdClasses[0]
				if e.ID[0] == 'o' {
					class = crowdClasses[1]
				}
				if now-arrived[e.ID] <= class.LatencyObjective {
					t.inTime += class.PriorityWeight
				}
			}
			over[e.ID] = e.Answered
			d.e = e
		}
		for _, a := range nodes[d.node].Handle(now, d.e) {
			switch a := a.(type) {
			case SetTimer:
				heap.Push(&q, due{now + a.After, d.node, TimerFired{}})
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
				t.longest = max(t.longest, held[a.Server-1])
				heap.Push(&q, due{now + took, d.node, AttemptEnded{ID: a.ID, Attempt: legs[a.ID], Server: a.Server, Code: code, Elapsed: took}})
				legs[a.ID]++
			case Reject:
				over[a.ID] = true
				if arrived[a.ID] > time.Hour+warm {
					t.refused[string(a.ID[:1])]++
				}
			case Fail:
				over[a.ID] = true
			}
		}
	}
	t.refused["view"], t.refused["order"] = t.refused["v"], t.refused["o"]
	return t
}

func uniform(lo, hi int) func(*rand.Rand) time.Duration {
	return func(r *rand.Rand) time.Duration {
		return time.Duration(1000*lo+r.Intn(1000*(hi-lo))) * time.Microsecond
	}
}

// An idle fleet refuses next to nothing, however many nodes share it and with and without tenants. Before there was
// room, 20 nodes with 12 servers refused 9 %, and 200 with 60 servers 15 %.
func TestIdleFleetRefusesNothing(t *testing.T) {
	for _, nodes := range []int{4, 10, 20, 40, 100, 200, 300} {
		for _, load := range []struct {
			servers int
			rate    float64
		}{{12, 240}, {16, 300}, {60, 2000}} {
			if load.servers == 60 && nodes != 100 && nodes != 200 {
				continue // large enough that a node is not sparse
			}
			c := crowd{nodes: nodes, servers: load.servers, cores: 8, rate: load.rate, work: uniform(11, 27)}
			for _, tenants := range [][]float64{nil, {0.6, 0.35, 0.05}} {
				c.shares, c.tenants = tenants, nil
				for i, share := range tenants {
					c.tenants = append(c.tenants, Tenant{Name: fmt.Sprint("t", i), Quota: 1.5 * share * load.rate})
				}
				if x := c.play(int64(nodes), 0, 8*time.Second); x.part() > 0.005 {
					t.Errorf("%d nodes, %d servers, %v/s, shares %v: %.1f %% refused: %v of %v", nodes, load.servers, load.rate,
						tenants, 100*x.part(), x.refused, x.came)
				}
			}
		}
	}
}

// Room for idle servers is none for crowded ones: from half load on, twice what the servers bear comes for 30 s. The worth
// answered in time is what it was before there was room (0.755, 0.73, 0.73, 0.47), less what chance does to it.
func TestOverloadShedsAsBefore(t *testing.T) {
	for nodes, least := range map[int]float64{4: 0.70, 10: 0.67, 20: 0.67, 40: 0.41} {
		c := crowd{nodes: nodes, servers: 12, cores: 2, rate: 200, later: 800, work: func(r *rand.Rand) time.Duration {
			return time.Duration(r.ExpFloat64() * 60 * float64(time.Millisecond))
		}}
		x := c.play(int64(nodes), 10*time.Second, 40*time.Second)
		if got := x.inTime / x.asked; got < least || x.refused["view"] < 3*x.refused["order"] {
			t.Errorf("%d nodes: %.3f of the worth in time, want %.2f; refused %v of %v", nodes, got, least, x.refused, x.came)
		}
	}
}

// A tenant within its quota has priority at every node, however small the node's part of it; one far over its quota has it
// for no more than the quota and what the nodes may save up.
func TestSmallTenantsHavePriorityWithinTheirQuota(t *testing.T) {
	const quota, seconds = 12.0, 200
	for _, nodes := range []int{4, 20, 40, 100, 300} {
		for over, least := range map[float64]float64{0.67: 0.9, 10: 0} {
			s := sparseSettings(nodes)
			s.Tenants = []Tenant{{Name: "small", Quota: quota}}
			m, r := New(s, 1), rand.New(rand.NewSource(1))
			m.Handle(time.Hour, sparseList(1))
			came, within := 0, 0.0
			rate := over * quota / float64(nodes)
			for now := time.Hour; now < time.Hour+seconds*time.Second*time.Duration(nodes)/4; came++ {
				now += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
				id := RequestID(fmt.Sprint(came))
				m.Handle(now, RequestArrived{ID: id, Class: "dear", Tenant: "small", Timeout: time.Second})
				if q := m.requests[id]; q != nil && q.priority {
					within++
				}
				m.Handle(now, AttemptEnded{ID: id, Server: 1, Answered: true, Elapsed: time.Millisecond})
			}
			if most := quota/4*seconds + math.Max(leastBurst, quota/float64(nodes)) + 1; within < least*float64(came) || within > most {
				t.Errorf("%d nodes, %v of the quota: %v of %d with priority, want a part of %v, at most %v", nodes, over, within,
					came, least, most)
			}
		}
	}
}

// A node that starts in a jam learns the jam's latency as the uncrowded one. There is no room by that: with all nodes
// restarted, one request of each would keep the jam up. Where it is well within what aims want, there is room.
func TestStartInAJamFindsNoRoom(t *testing.T) {
	m := New(sparseSettings(300), 1)
	s := m.serverOf(1)
	m.answers, m.aimed = 100, 0.230
	for base, want := range map[float64]float64{0.030: 1, 0.090: 1, 0.190: 0.44, 0.220: 0.11, 0.300: 0} {
		m.mean, m.base = base, base
		if got := max(0, m.room(s)); math.Abs(got-want) > 0.01 {
			t.Errorf("idle at %v s, wanted %v s: room %.2f, want %.2f", base, m.aimed, got, want)
		}
	}
}
