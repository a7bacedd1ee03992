package policy

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// Many nodes that see little: each test here guards against what only many nodes do together.

func sparseSettings(nodes int) Settings {
	return Settings{Nodes: nodes, MaxAttempts: 3, MayCancel: true, MinTick: 5 * time.Millisecond, SlowStartMinCapacity: 0.2,
		SlowStartWindow: 20 * time.Second, OverloadFactor: 3, OverloadDuration: 2 * time.Second,
		Classes: []Class{
			{Name: "priority", PriorityWeight: 8, LatencyObjective: 600 * time.Millisecond, Deadline: 2 * time.Second, Idempotency: Idempotent},
			{Name: "bulk", PriorityWeight: 1, LatencyObjective: 600 * time.Millisecond, Deadline: 2 * time.Second, Idempotency: Idempotent}}}
}

func sparseList(servers int) EndpointUpdate {
	l := EndpointUpdate{Kind: EndpointsCached}
	for i := range servers {
		l.Servers = append(l.Servers, Server{ID: ServerID(i + 1)})
	}
	return l
}

// drive runs seconds of traffic at one node, four requests a second, each answered after took. It returns how many of
// each class were sent and the last time.
func drive(m *Module, from Time, seconds int, took time.Duration, report *LoadReport) (map[string]int, Time) {
	return driveAt(m, from, seconds, 4, func(ServerID) time.Duration { return took }, report)
}

// driveAt does it at another rate, a divisor of 40, with a delay for each server.
func driveAt(m *Module, from Time, seconds, rate int, took func(ServerID) time.Duration, report *LoadReport) (map[string]int, Time) {
	sent, id := map[string]int{}, 0
	now := from
	type due struct {
		at Time
		e  AttemptEnded
	}
	var out []due
	for step := range seconds * 40 {
		now = from + time.Duration(step)*25*time.Millisecond
		m.Handle(now, TimerFired{})
		out = slices.DeleteFunc(out, func(d due) bool {
			if d.at <= now {
				m.Handle(now, d.e)
			}
			return d.at <= now
		})
		if step%(40/rate) != 0 {
			continue
		}
		id++
		class := []string{"priority", "bulk"}[id%2]
		for _, a := range m.Handle(now, RequestArrived{ID: RequestID(fmt.Sprint(from, id)), Class: class, Timeout: 2 * time.Second}) {
			if s, ok := a.(Forward); ok {
				sent[class]++
				out = append(out, due{now + took(s.Server), AttemptEnded{ID: s.ID, Server: s.Server, Answered: true,
					Elapsed: took(s.Server), Report: report}})
			}
		}
	}
	return sent, now
}

// A node with few requests keeps to few servers, and all nodes together use all servers alike: else connection tables
// fill, or some servers are overloaded.
func TestSubsetsCoverServersEvenly(t *testing.T) {
	const nodes, servers = 600, 180
	use := map[ServerID]int{}
	for self := range nodes {
		s := sparseSettings(nodes)
		s.NodeIndex = self
		m := New(s, int64(self))
		m.Handle(time.Hour, sparseList(servers))
		drive(m, time.Hour, 3, 100*time.Millisecond, nil)
		if len(m.subset.servers) < 8 || len(m.subset.servers) > 16 {
			t.Fatalf("node %d uses %d of %d servers", self, len(m.subset.servers), servers)
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

// Nodes keep to their own zones for part of their subsets, and yet use all servers much alike, also where one zone has
// three times as many as another.
func TestSubsetsFavourTheOwnZoneEvenly(t *testing.T) {
	zones := []string{"a", "b", "c", "d"}
	l := sparseList(60)
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
		t.Errorf("%d of %d places of subsets are in the node's own zone", own, all)
	}
	for id := ServerID(1); id <= 60; id++ {
		if mean := all / 60; use[id] < mean/2 || use[id] > mean*8/5 {
			t.Errorf("server %d is used by %d nodes, %d on average", id, use[id], mean)
		}
	}
}

// Few nodes use every server, however quiet they are: there are not enough subsets to even out.
func TestFewNodesUseAll(t *testing.T) {
	s := sparseSettings(4)
	s.Zones, s.Zone = []string{"a", "b"}, "a"
	m := New(s, 1)
	l := sparseList(18)
	for i := range l.Servers {
		l.Servers[i].Zone = s.Zones[i%2]
	}
	m.Handle(time.Hour, l)
	driveAt(m, time.Hour, 5, 10, func(ServerID) time.Duration { return 50 * time.Millisecond }, nil)
	if len(m.subset.servers) != 18 {
		t.Errorf("%d of 18 servers in use by one of 4 nodes at 10 requests a second", len(m.subset.servers))
	}
}

// A busy node uses every server.
func TestBusyNodeUsesAll(t *testing.T) {
	m := New(sparseSettings(2), 1)
	m.Handle(time.Hour, sparseList(20))
	for i := range 400 {
		now := time.Hour + time.Duration(i)*10*time.Millisecond
		m.Handle(now, RequestArrived{ID: RequestID(fmt.Sprint(i)), Class: "priority", Timeout: time.Second})
		m.Handle(now, TimerFired{})
	}
	if len(m.subset.servers) != 20 {
		t.Errorf("%d of 20 servers in use at 100 requests a second", len(m.subset.servers))
	}
}

// Nodes of a large fleet notice soon which servers turn slow, as each sends to few of them, and often.
func TestNodesOfManyLeaveSlowServersSoon(t *testing.T) {
	slow, sent := 0, 0
	for self := 0; self < 80; self += 8 {
		s := sparseSettings(80)
		s.NodeIndex = self
		m := New(s, int64(self))
		m.Handle(time.Hour, sparseList(60))
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
	if slow /= 2; sent < 760 || slow > 45 { // each is polled its delay twice
		t.Errorf("%d of 800 sent, %d of them to slow servers", sent, slow)
	}
}

// A node of a large fleet that has just started, and so has learned nothing, does not reject for that.
func TestNodeOfManyServesFromItsStart(t *testing.T) {
	bulk := 0
	for self := range 80 {
		s := sparseSettings(80)
		s.NodeIndex = self
		m := New(s, int64(self))
		m.Handle(time.Hour, sparseList(60))
		sent, _ := driveAt(m, time.Hour, 2, 20, func(ServerID) time.Duration { return 50 * time.Millisecond }, nil)
		bulk += sent["bulk"]
	}
	if bulk < 1440 {
		t.Errorf("%d of 1600 requests of no priority sent", bulk)
	}
}

// In a quiet many-node fleet nothing is shed; in a overloaded one the bulk class is, then part of the priority one, although
// this node's own count is nearly always 0; and what it knows lapses, so that it does not reject for ever.
func TestSparseNodeShedsByDelayAndRecovers(t *testing.T) {
	m := New(sparseSettings(600), 3)
	m.Handle(time.Hour, sparseList(180))
	quiet, now := drive(m, time.Hour, 20, 60*time.Millisecond, nil)
	if quiet["priority"] < 39 || quiet["bulk"] < 39 {
		t.Errorf("quiet: %v sent of 40 each", quiet)
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
		t.Errorf("calm again: %v sent of 20 each", after)
	}
}

// The first answers of a node may be light requests: they are no measure of what an unloaded server takes.
func TestLightFirstAnswersAreNoMeasure(t *testing.T) {
	m := New(sparseSettings(80), 3)
	m.Handle(time.Hour, sparseList(60))
	_, now := drive(m, time.Hour, 1, 5*time.Millisecond, nil)
	_, now = drive(m, now, 20, 80*time.Millisecond, nil)
	if sent, _ := drive(m, now, 10, 80*time.Millisecond, nil); sent["priority"] < 19 || sent["bulk"] < 19 {
		t.Errorf("quiet after a light first second: %v sent of 20 each", sent)
	}
}

// Where a server has one request of all nodes in flight, as in a fleet at half load, next to nothing is shed.
func TestIdleFleetOfManyShedsLittle(t *testing.T) {
	bulk := 0
	for self := range 20 {
		s := sparseSettings(80)
		s.NodeIndex = self
		m := New(s, int64(self))
		m.Handle(time.Hour, sparseList(60))
		n := 0
		took := func(ServerID) time.Duration { n++; return time.Duration(5+n/2*13%60) * time.Millisecond }
		_, now := driveAt(m, time.Hour, 10, 20, took, nil)
		sent, _ := driveAt(m, now, 10, 20, took, nil)
		bulk += sent["bulk"]
	}
	if bulk < 1960 {
		t.Errorf("%d of 2000 requests of no priority sent", bulk)
	}
}

// What servers report counts all nodes' requests, and brings all three modes about at a node that has none there.
func TestSparseNodeTakesModesFromReports(t *testing.T) {
	for _, c := range []struct {
		inFlight float64
		want     Mode
	}{{0, Normal}, {3, Overloaded}, {30, Blocking}} {
		m := New(sparseSettings(600), 3)
		m.Handle(time.Hour, sparseList(8))
		_, now := drive(m, time.Hour, 10, 60*time.Millisecond, nil)
		m.now = now
		s := m.subset.servers[0]
		m.applyLoadReport(s, &LoadReport{InFlight: c.inFlight, HasInFlight: true})
		if got := m.overloadMode(s); got != c.want {
			t.Errorf("a report of %v requests makes mode %v, want %v", c.inFlight, got, c.want)
		}
	}
}

// Two failed connects are no dead process: the connection table may be full. Three in a row make an ejected server.
func TestFailedConnectsCountAsFailures(t *testing.T) {
	m := New(sparseSettings(600), 1)
	m.Handle(time.Hour, sparseList(1))
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

// A server that errs three times in four answers every fourth trial: that must not bring it the requests that may not
// be repeated. One error makes no ejected, nor do timeouts, which load can cause.
func TestServerThatMostlyErrsStaysEjected(t *testing.T) {
	m := New(sparseSettings(80), 1)
	m.Handle(time.Hour, sparseList(1))
	now := time.Hour
	for i, step := range []struct {
		code OutcomeCode
		want bool
	}{{ServerError, false}, {OK, false}, {TimedOut, false}, {TimedOut, false}, {OK, false}, {ServerError, false},
		{ServerError, true}, {ServerError, true}, {OK, true}, {ServerError, true}, {OK, true}, {OK, true}, {OK, true}, {OK, false}} {
		id := RequestID(fmt.Sprint(i))
		now += 30 * time.Second // a trial is due, whatever the last one's outcome
		sent := m.Handle(now, RequestArrived{ID: id, Class: "priority", Timeout: 2 * time.Second})
		if !slices.ContainsFunc(sent, func(a Action) bool { _, ok := a.(Forward); return ok }) {
			t.Fatalf("step %d: not sent: %v", i, sent)
		}
		m.Handle(now+10*time.Millisecond, AttemptEnded{ID: id, Server: 1, Code: step.code, Answered: step.code == OK,
			Elapsed: 10 * time.Millisecond})
		if s := m.subset.servers[0]; s.outlier.ejected != step.want {
			t.Errorf("step %d: after code %v ejected is %v, its share of errors %.2f", i, step.code, s.outlier.ejected, s.outlier.errorRate)
		}
	}
}

// Absurd reports change little, and not for long.
func TestAbsurdReportsAreBounded(t *testing.T) {
	for _, v := range []float64{math.NaN(), math.Inf(1), -5, 1e300} {
		m := New(sparseSettings(600), 3)
		m.Handle(time.Hour, sparseList(8))
		_, now := drive(m, time.Hour, 5, 60*time.Millisecond, &LoadReport{InFlight: v, HasInFlight: true})
		_, now = drive(m, now, 30, 60*time.Millisecond, nil)
		if sent, _ := drive(m, now, 10, 60*time.Millisecond, nil); sent["priority"]+sent["bulk"] < 36 {
			t.Errorf("35 s after reports of %v: %v sent of 20 each", v, sent)
		}
	}
}

// Discovery serves all nodes in turn and fails calls that wait too long, though they still cost it their turn: nodes
// that a release starts at once must all have been served within seconds, be they few or many.
func TestListCallsOfRestartedNodesAreServed(t *testing.T) {
	const turn, timeout = 60 * time.Millisecond, 2 * time.Second
	for _, nodes := range []int{4, 80} {
		var all []*Module
		for self := range nodes {
			s := sparseSettings(nodes)
			s.NodeIndex = self
			s.PollsEndpoints = true
			s.MaxPollInterval = 10 * time.Second
			all = append(all, New(s, int64(self)))
			all[self].Handle(time.Hour, sparseList(60))
		}
		free, served := time.Hour, 0 // when discovery has dealt with all calls so far
		type reply struct {
			at   Time
			self int
			ok   bool
		}
		var due []reply
		for now := time.Hour; now < time.Hour+12*time.Second; now += 25 * time.Millisecond {
			for i := 0; i < len(due); i++ {
				if d := due[i]; d.at <= now {
					due = slices.Delete(due, i, i+1)
					i--
					kind := EndpointsFailed
					if d.ok {
						kind, served = EndpointsChanged, served+1
					}
					all[d.self].Handle(now, EndpointUpdate{Kind: kind})
				}
			}
			for self, m := range all {
				for _, a := range m.Handle(now, TimerFired{}) {
					if _, ok := a.(Subscribe); ok {
						free = max(free, now) + turn
						due = append(due, reply{min(free, now+timeout), self, free <= now+timeout})
					}
				}
			}
		}
		if served != nodes {
			t.Errorf("%d of %d nodes have the list after 12 s", served, nodes)
		}
	}
}
