package policy

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// Tests of nodes in large fleets, which each send few requests. They guard against faults that only many nodes together cause.

func sparseSettings(nodes int) Settings {
	return Settings{Nodes: nodes, MaxAttempts: 3, MayCancel: true, MinTick: 5 * time.Millisecond, SlowStartMinCapacity: 0.2,
		SlowStartWindow: 20 * time.Second, OverloadFactor: 3, OverloadDuration: 2 * time.Second,
		Classes: []Class{
			{Name: "priority", PriorityWeight: 8, LatencyObjective: 600 * time.Millisecond, Deadline: 2 * time.Second, Idempotency: Idempotent},
			{Name: "bulk", PriorityWeight: 1, LatencyObjective: 600 * time.Millisecond, Deadline: 2 * time.Second, Idempotency: Idempotent}}}
}

func cachedEndpoints(servers int) EndpointUpdate {
	l := EndpointUpdate{Kind: EndpointsCached}
	for i := range servers {
		l.Servers = append(l.Servers, Server{ID: ServerID(i + 1)})
	}
	return l
}

// drive sends 4 requests/s to a node for some seconds, each answered after took. It returns the number of requests of each class
// that were forwarded, and the time of the last step.
func drive(m *Module, from Time, seconds int, took time.Duration, report *LoadReport) (map[string]int, Time) {
	return driveAt(m, from, seconds, 4, func(ServerID) time.Duration { return took }, report)
}

// driveAt is drive with a rate in requests/s, which must divide 40, and a latency for each server.
func driveAt(m *Module, from Time, seconds, rate int, took func(ServerID) time.Duration, report *LoadReport) (map[string]int, Time) {
	sent, id := map[string]int{}, 0
	now := from
	type pendingOutcome struct {
		at Time
		e  AttemptEnded
	}
	var pending []pendingOutcome
	for step := range seconds * 40 {
		now = from + time.Duration(step)*25*time.Millisecond
		m.Handle(now, TimerFired{})
		pending = slices.DeleteFunc(pending, func(o pendingOutcome) bool {
			if o.at <= now {
				m.Handle(now, o.e)
			}
			return o.at <= now
		})
		if step%(40/rate) != 0 {
			continue
		}
		id++
		class := []string{"priority", "bulk"}[id%2]
		for _, a := range m.Handle(now, RequestArrived{ID: RequestID(fmt.Sprint(from, id)), Class: class, Timeout: 2 * time.Second}) {
			if s, ok := a.(Forward); ok {
				sent[class]++
				pending = append(pending, pendingOutcome{now + took(s.Server), AttemptEnded{ID: s.ID, Server: s.Server, Answered: true,
					Elapsed: took(s.Server), Report: report}})
			}
		}
	}
	return sent, now
}

// A node with few requests must use few servers, and all nodes together must use all servers evenly. Otherwise connection tables
// fill up, or some servers are overloaded.
func TestSubsetsCoverServersEvenly(t *testing.T) {
	const nodes, servers = 600, 180
	use := map[ServerID]int{}
	for self := range nodes {
		s := sparseSettings(nodes)
		s.NodeIndex = self
		m := New(s, int64(self))
		m.Handle(time.Hour, cachedEndpoints(servers))
		drive(m, time.Hour, 3, 100*time.Millisecond, nil)
		if len(m.subset.servers) < 8 || len(m.subset.servers) > 16 {
			t.Fatalf("node %d has %d of %d servers in its subset", self, len(m.subset.servers), servers)
		}
		for _, s := range m.subset.servers {
			use[s.ID]++
		}
	}
	for id := ServerID(1); id <= servers; id++ {
		if mean := nodes * 8 / servers; use[id] < mean*3/4 || use[id] > mean*5/3 {
			t.Errorf("server %d is used by %d nodes, %d on average", id, use[id], mean)
		}
	}
}

// Nodes must choose a part of their subsets from their own zones, and yet all servers must be used about evenly, also when one
// zone has three times as many servers as another.
func TestSubsetsPreferLocalZoneEvenly(t *testing.T) {
	zones := []string{"a", "b", "c", "d"}
	l := cachedEndpoints(60)
	for i := range l.Servers {
		l.Servers[i].Zone = []string{"a", "a", "a", "b", "b", "c", "c", "c", "d", "d", "d", "d"}[i%12]
	}
	use := map[ServerID]int{}
	own := 0
	all := 0
	for self := range 80 {
		s := sparseSettings(80)
		s.NodeIndex = self
		s.Zones = zones
		s.Zone = zones[self%4]
		m := New(s, int64(self))
		m.Handle(time.Hour, l)
		driveAt(m, time.Hour, 5, 20, func(ServerID) time.Duration { return 50 * time.Millisecond }, nil)
		for _, s := range m.subset.servers {
			use[s.ID]++
			if all++; s.Zone == m.settings.Zone {
				own++
			}
		}
	}
	if own*5 < all*3 {
		t.Errorf("%d of %d servers in subsets are in the node's own zone", own, all)
	}
	for id := ServerID(1); id <= 60; id++ {
		if mean := all / 60; use[id] < mean/2 || use[id] > mean*8/5 {
			t.Errorf("server %d is used by %d nodes, %d on average", id, use[id], mean)
		}
	}
}

// In a fleet of few nodes each node must use every server, however few requests it has: few subsets would load servers unevenly.
func TestFewNodesUseAllServers(t *testing.T) {
	s := sparseSettings(4)
	s.Zones, s.Zone = []string{"a", "b"}, "a"
	m := New(s, 1)
	l := cachedEndpoints(18)
	for i := range l.Servers {
		l.Servers[i].Zone = s.Zones[i%2]
	}
	m.Handle(time.Hour, l)
	driveAt(m, time.Hour, 5, 10, func(ServerID) time.Duration { return 50 * time.Millisecond }, nil)
	if len(m.subset.servers) != 18 {
		t.Errorf("%d of 18 servers in use by one of 4 nodes at 10 requests a second", len(m.subset.servers))
	}
}

// A node with many requests must use every server.
func TestBusyNodeUsesAllServers(t *testing.T) {
	m := New(sparseSettings(2), 1)
	m.Handle(time.Hour, cachedEndpoints(20))
	for i := range 400 {
		now := time.Hour + time.Duration(i)*10*time.Millisecond
		m.Handle(now, RequestArrived{ID: RequestID(fmt.Sprint(i)), Class: "priority", Timeout: time.Second})
		m.Handle(now, TimerFired{})
	}
	if len(m.subset.servers) != 20 {
		t.Errorf("%d of 20 servers in use at 100 requests a second", len(m.subset.servers))
	}
}

// Nodes of a large fleet must notice slow servers quickly. They can, as each sends to few servers and so often to each of them.
func TestLargeFleetAvoidsSlowServersQuickly(t *testing.T) {
	slow, sent := 0, 0
	for self := 0; self < 80; self += 8 {
		s := sparseSettings(80)
		s.NodeIndex = self
		m := New(s, int64(self))
		m.Handle(time.Hour, cachedEndpoints(60))
		_, now := driveAt(m, time.Hour, 10, 20, func(ServerID) time.Duration { return 50 * time.Millisecond }, nil)
		n, _ := driveAt(m, now, 4, 20, func(id ServerID) time.Duration {
			if id%5 == 0 {
				slow++
				return 400 * time.Millisecond
			}
			return 50 * time.Millisecond
		}, nil)
		sent += n["priority"] + n["bulk"]
	}
	if slow /= 2; sent < 760 || slow > 45 { // driveAt calls the function twice for each request
		t.Errorf("%d of 800 requests sent, %d of them to slow servers", sent, slow)
	}
}

// A node of a large fleet that has just started must not reject requests because it has not learned anything yet.
func TestNodeOfLargeFleetServesFromStart(t *testing.T) {
	bulk := 0
	for self := range 80 {
		s := sparseSettings(80)
		s.NodeIndex = self
		m := New(s, int64(self))
		m.Handle(time.Hour, cachedEndpoints(60))
		sent, _ := driveAt(m, time.Hour, 2, 20, func(ServerID) time.Duration { return 50 * time.Millisecond }, nil)
		bulk += sent["bulk"]
	}
	if bulk < 1440 {
		t.Errorf("%d of 1600 requests without priority sent", bulk)
	}
}

// In a large fleet under light load nothing must be shed. Under overload a node must shed the bulk class, and then a part of the
// priority class, although its own count of requests at a server is nearly always 0. Its estimates must lapse, so that it does not
// reject requests forever.
func TestSparseNodeShedsByLatencyAndRecovers(t *testing.T) {
	m := New(sparseSettings(600), 3)
	m.Handle(time.Hour, cachedEndpoints(180))
	light, now := drive(m, time.Hour, 20, 60*time.Millisecond, nil)
	if light["priority"] < 39 || light["bulk"] < 39 {
		t.Errorf("light load: %v sent of 40 each", light)
	}
	overloaded, now := drive(m, now, 10, 240*time.Millisecond, nil)
	if overloaded["bulk"] > 15 || overloaded["priority"] < 6 || m.shedding.dropOther == 0 {
		t.Errorf("overloaded: %v sent of 20 each, q2 %v", overloaded, m.shedding.dropOther)
	}
	saturated, now := drive(m, now, 10, 700*time.Millisecond, nil)
	if saturated["bulk"] > 10 || saturated["priority"] > 15 || m.shedding.dropPriority == 0 {
		t.Errorf("saturated: %v sent of 20 each, q1 %v", saturated, m.shedding.dropPriority)
	}
	_, now = drive(m, now, 15, 60*time.Millisecond, nil)
	if after, _ := drive(m, now, 10, 60*time.Millisecond, nil); after["bulk"] < 18 || after["priority"] < 18 {
		t.Errorf("after the overload: %v sent of 20 each", after)
	}
}

// The first answers of a node may be to requests that cost little. The node must not take their latency for the latency of an
// unloaded server.
func TestFastFirstAnswersDoNotSetMinimumLatency(t *testing.T) {
	m := New(sparseSettings(80), 3)
	m.Handle(time.Hour, cachedEndpoints(60))
	_, now := drive(m, time.Hour, 1, 5*time.Millisecond, nil)
	_, now = drive(m, now, 20, 80*time.Millisecond, nil)
	if sent, _ := drive(m, now, 10, 80*time.Millisecond, nil); sent["priority"] < 19 || sent["bulk"] < 19 {
		t.Errorf("light load after a first second of fast answers: %v sent of 20 each", sent)
	}
}

// When each server has one request of all nodes in flight, as in a fleet at half load, almost nothing must be shed.
func TestLargeFleetAtHalfLoadShedsLittle(t *testing.T) {
	bulk := 0
	for self := range 20 {
		s := sparseSettings(80)
		s.NodeIndex = self
		m := New(s, int64(self))
		m.Handle(time.Hour, cachedEndpoints(60))
		n := 0
		took := func(ServerID) time.Duration { n++; return time.Duration(5+n/2*13%60) * time.Millisecond }
		_, now := driveAt(m, time.Hour, 10, 20, took, nil)
		sent, _ := driveAt(m, now, 10, 20, took, nil)
		bulk += sent["bulk"]
	}
	if bulk < 1960 {
		t.Errorf("%d of 2000 requests without priority sent", bulk)
	}
}

// A load report counts the requests of all nodes, so it must determine the mode of a server at which this node has no requests.
func TestSparseNodeSetsModeFromLoadReports(t *testing.T) {
	for _, c := range []struct {
		inFlight float64
		want     Mode
	}{{0, Normal}, {3, Overloaded}, {30, Blocking}} {
		m := New(sparseSettings(600), 3)
		m.Handle(time.Hour, cachedEndpoints(8))
		_, now := drive(m, time.Hour, 10, 60*time.Millisecond, nil)
		m.now = now
		s := m.subset.servers[0]
		m.applyLoadReport(s, &LoadReport{InFlight: c.inFlight, HasInFlight: true})
		if got := m.overloadMode(s); got != c.want {
			t.Errorf("mode after a report of %v requests is %v, want %v", c.inFlight, got, c.want)
		}
	}
}

// Two failed connection attempts do not prove that a process is dead, as its connection table may be full. Three in a row must eject
// the server.
func TestFailedConnectsCountAsFailures(t *testing.T) {
	m := New(sparseSettings(600), 1)
	m.Handle(time.Hour, cachedEndpoints(1))
	for i := range 3 {
		id := RequestID(fmt.Sprint(i))
		now := time.Hour + time.Duration(i)*time.Second
		m.Handle(now, RequestArrived{ID: id, Class: "priority", Timeout: time.Second})
		m.Handle(now+100*time.Millisecond, AttemptEnded{ID: id, Server: 1, Code: ConnectFailed, Elapsed: 100 * time.Millisecond})
		if got, want := m.subset.servers[0].outlier.ejected, i == 2; got != want {
			t.Errorf("after %d failed connects: ejected %v", i+1, got)
		}
	}
}

// A server that fails three of four requests with an error still answers every fourth trial. That must not bring it requests that
// must not be retried. One error must not eject a server, nor two timeouts, which load can cause.
func TestServerWithHighErrorRateStaysEjected(t *testing.T) {
	m := New(sparseSettings(80), 1)
	m.Handle(time.Hour, cachedEndpoints(1))
	now := time.Hour
	for i, step := range []struct {
		code OutcomeCode
		want bool
	}{{ServerError, false}, {OK, false}, {TimedOut, false}, {TimedOut, false}, {OK, false}, {ServerError, false},
		{ServerError, true}, {ServerError, true}, {OK, true}, {ServerError, true}, {OK, true}, {OK, true}, {OK, true}, {OK, false}} {
		id := RequestID(fmt.Sprint(i))
		now += 30 * time.Second // so that a trial is due, whatever the outcome of the last one
		sent := m.Handle(now, RequestArrived{ID: id, Class: "priority", Timeout: 2 * time.Second})
		if !slices.ContainsFunc(sent, func(a Action) bool { _, ok := a.(Forward); return ok }) {
			t.Fatalf("step %d: request not forwarded: %v", i, sent)
		}
		m.Handle(now+10*time.Millisecond, AttemptEnded{ID: id, Server: 1, Code: step.code, Answered: step.code == OK,
			Elapsed: 10 * time.Millisecond})
		if s := m.subset.servers[0]; s.outlier.ejected != step.want {
			t.Errorf("step %d: after code %v ejected is %v, with an error rate of %.2f", i, step.code, s.outlier.ejected, s.outlier.errorRate)
		}
	}
}

// Load reports with invalid values must have little effect, and not for long.
func TestInvalidLoadReportsHaveBoundedEffect(t *testing.T) {
	for _, v := range []float64{math.NaN(), math.Inf(1), -5, 1e300} {
		m := New(sparseSettings(600), 3)
		m.Handle(time.Hour, cachedEndpoints(8))
		_, now := drive(m, time.Hour, 5, 60*time.Millisecond, &LoadReport{InFlight: v, HasInFlight: true})
		_, now = drive(m, now, 30, 60*time.Millisecond, nil)
		if sent, _ := drive(m, now, 10, 60*time.Millisecond, nil); sent["priority"]+sent["bulk"] < 36 {
			t.Errorf("35 s after load reports of %v: %v sent of 20 each", v, sent)
		}
	}
}

// Discovery handles one call at a time and fails calls that wait too long, but these still take up its time. All nodes that a
// release starts at once must have an answer within seconds, whether they are few or many.
func TestDiscoveryAnswersAllRestartedNodes(t *testing.T) {
	const timePerCall, timeout = 60 * time.Millisecond, 2 * time.Second
	for _, nodes := range []int{4, 80} {
		var modules []*Module
		for node := range nodes {
			s := sparseSettings(nodes)
			s.NodeIndex = node
			s.PollsEndpoints = true
			s.MaxPollInterval = 10 * time.Second
			modules = append(modules, New(s, int64(node)))
			modules[node].Handle(time.Hour, cachedEndpoints(60))
		}
		busyUntil, served := time.Hour, 0 // busyUntil: when discovery has handled all calls so far
		type reply struct {
			at   Time
			node int
			ok   bool
		}
		var pending []reply
		for now := time.Hour; now < time.Hour+12*time.Second; now += 25 * time.Millisecond {
			for i := 0; i < len(pending); i++ {
				if r := pending[i]; r.at <= now {
					pending = slices.Delete(pending, i, i+1)
					i--
					kind := EndpointsFailed
					if r.ok {
						kind, served = EndpointsChanged, served+1
					}
					modules[r.node].Handle(now, EndpointUpdate{Kind: kind})
				}
			}
			for node, m := range modules {
				for _, a := range m.Handle(now, TimerFired{}) {
					if _, ok := a.(Subscribe); ok {
						busyUntil = max(busyUntil, now) + timePerCall
						pending = append(pending, reply{min(busyUntil, now+timeout), node, busyUntil <= now+timeout})
					}
				}
			}
		}
		if served != nodes {
			t.Errorf("%d of %d nodes have the list after 12 s", served, nodes)
		}
	}
}
