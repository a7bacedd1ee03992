package policy_test

// Attempts by effect, settings, operators, warming servers.

import (
	"testing"
	"time"

	"meadowsill/policy"
)

// An non-idempotent request at a silent server is failed at its deadline, never repeated and never rejected.
func TestNonIdempotentTimeoutFails(t *testing.T) {
	r := newHarness(t, harnessSettings(), 3)
	r.delay = func(policy.ServerID) (time.Duration, policy.OutcomeCode) { return time.Hour, policy.TimedOut }
	r.run(5*time.Millisecond, 200, "unsafe")
	r.run(3*time.Second, 0, "unsafe")
	if n := r.sent[1] + r.sent[2] + r.sent[3]; n != 1 || r.failed != 1 || r.rejected != 0 {
		t.Errorf("%d sends, %d failed, %d rejected; want 1, 1, 0", n, r.failed, r.rejected)
	}
}

// Each effect after outcomes that prove nothing and after one that proves it never ran.
func TestFurtherAttemptsByEffect(t *testing.T) {
	for _, c := range []struct {
		class string
		code  policy.OutcomeCode
		again bool
	}{{"bulk", policy.ServerError, true}, {"bulk", policy.ConnectFailed, true}, {"unsafe", policy.ServerError, false},
		{"unsafe", policy.Reset, false}, {"unsafe", policy.ConnectFailed, true}, {"unsafe", policy.Rejected, true}} {
		r := newHarness(t, harnessSettings(), 3)
		r.run(3*time.Second, 100, "bulk")
		r.run(time.Second, 0, "bulk")
		r.reset()
		first := true
		r.delay = func(policy.ServerID) (time.Duration, policy.OutcomeCode) {
			if first {
				first = false
				return 10 * time.Millisecond, c.code
			}
			return 50 * time.Millisecond, policy.OK
		}
		r.run(5*time.Millisecond, 200, c.class)
		r.run(time.Second, 0, c.class)
		if n := r.sent[1] + r.sent[2] + r.sent[3]; (n == 2) != c.again || (r.failed == 1) == c.again {
			t.Errorf("%s after code %d: %d sends, %d failed", c.class, c.code, n, r.failed)
		}
	}
}

func TestNoUsableServerOrOddSettings(t *testing.T) {
	drained := []policy.Server{{ID: 1, State: policy.Draining}}
	for _, list := range [][]policy.Server{nil, drained} {
		for _, s := range []policy.Settings{{}, harnessSettings()} {
			r := newHarness(t, s, 0)
			r.feed(policy.EndpointUpdate{Kind: policy.EndpointsComplete, Servers: list})
			r.feed(policy.RequestArrived{ID: "a", Class: "unheard of", Timeout: time.Second})
			if _, ok := r.finalAnswer["a"].(policy.Reject); !ok || len(r.sent) != 0 {
				t.Errorf("%v: answer %v, sends %v", list, r.finalAnswer["a"], r.sent)
			}
		}
	}
	r := newHarness(t, policy.Settings{}, 2) // no classes at all
	r.feed(policy.RequestArrived{ID: "a", Class: "x", Timeout: 0})
	if _, ok := r.finalAnswer["a"].(policy.Reject); !ok {
		t.Error("zero timeout was not rejected")
	}
	r.feed(policy.RequestArrived{ID: "b", Class: "x", Timeout: time.Second})
	r.feed(policy.AttemptEnded{ID: "nobody", Attempt: 3, Server: 9, Code: policy.OK, Report: &policy.LoadReport{}})
	r.feed(policy.RequestAbandoned{ID: "nobody"})
	r.feed(policy.TimerFired{Token: 99})
	r.run(2*time.Second, 50, "x")
	if r.sent[1]+r.sent[2] == 0 {
		t.Error("nothing was sent without classes")
	}
}

// Where most servers are replaced at once, what warming ones do not take falls on the few warm ones: each warming one gets the
// part of a warm one's that it can do.
func TestManyWarmingServersTakeTheirPart(t *testing.T) {
	s := harnessSettings()
	r := newHarness(t, s, 10)
	r.run(10*time.Second, 200, "priority")
	var list []policy.Server
	for i := range 6 {
		list = append(list, policy.Server{ID: policy.ServerID(i + 1), Zone: "z", StartedAt: r.now})
	}
	r.feed(policy.EndpointUpdate{Kind: policy.EndpointsChanged, Servers: list})
	r.reset()
	r.run(4*time.Second, 200, "priority")
	warming, warm := 0, 0
	for id, n := range r.sent {
		if id <= 6 {
			warming += n
		} else {
			warm += n
		}
	}
	if part := float64(warming) / 6 / float64(warm) * 4; part < s.SlowStartMinCapacity || part > 0.8 {
		t.Errorf("a warming server got %.2f of what a warm one did: %d and %d sent in all", part, warming, warm)
	}
}

// Guards against the burst that none of many nodes sees: each one's first requests to a server that has just started.
func TestManyNodesTogetherSpareAWarmingServer(t *testing.T) {
	const nodes = 60
	s := harnessSettings()
	s.Nodes = nodes
	total := 0
	for self := range nodes {
		s.NodeIndex = self
		r := newHarness(t, s, 10)
		r.module = policy.New(s, int64(self))
		var list []policy.Server
		for i := range 10 {
			list = append(list, policy.Server{ID: policy.ServerID(i + 1), Zone: "z"})
		}
		r.feed(policy.EndpointUpdate{Kind: policy.EndpointsCached, Servers: list})
		r.delay = func(id policy.ServerID) (time.Duration, policy.OutcomeCode) {
			if id == 3 {
				return 10 * time.Millisecond, policy.OK // the one that everybody likes best
			}
			return 50 * time.Millisecond, policy.OK
		}
		r.run(10*time.Second, 4, "bulk") // of all nodes, 24 a second at each server
		list[2].StartedAt = r.now
		r.feed(policy.EndpointUpdate{Kind: policy.EndpointsChanged, Servers: list[2:3]})
		r.reset()
		r.run(s.OverloadDuration, 4, "bulk")
		total += r.sent[3]
	}
	if budget := s.OverloadFactor * s.SlowStartMinCapacity * 24 * s.OverloadDuration.Seconds(); float64(total) > budget {
		t.Errorf("%d sends to a warming server, its budget is %.0f", total, budget)
	}
}

// A server that the operators excluded gets nothing, whatever the list says of it, until they include it again. Then it is
// warming although the list knows of no start, and soon in use.
func TestServerExcludedAndIncluded(t *testing.T) {
	r := newHarness(t, harnessSettings(), 6)
	r.run(10*time.Second, 120, "priority")
	warm := r.sent[3]
	for range 2 {
		r.feed(policy.ServerExcluded{Server: 3})
	}
	r.feed(policy.ServerExcluded{Server: 7}) // not listed yet
	for _, e := range []policy.Server{{ID: 3, State: policy.Removed}, {ID: 3, Zone: "z", StartedAt: r.now}, {ID: 7, Zone: "z"}} {
		r.feed(policy.EndpointUpdate{Kind: policy.EndpointsChanged, Servers: []policy.Server{e}})
	}
	r.reset()
	r.run(10*time.Second, 120, "priority")
	if r.sent[3] > 0 || r.sent[7] > 0 || r.rejected+r.failed > 0 {
		t.Errorf("excluded: sent %v, rejected %d, failed %d", r.sent, r.rejected, r.failed)
	}
	for id := range policy.ServerID(2) {
		r.feed(policy.ServerIncluded{Server: 3 + 4*id, At: r.now})
		r.feed(policy.EndpointUpdate{Kind: policy.EndpointsChanged, Servers: []policy.Server{{ID: 3 + 4*id, Zone: "z", StartedAt: r.now - time.Minute}}})
	}
	r.reset()
	r.run(time.Second, 120, "priority")
	for _, id := range []policy.ServerID{3, 7} {
		if part := float64(r.sent[id]) / (float64(warm) / 10); r.sent[id] == 0 || part > 0.6 {
			t.Errorf("the first second back: server %d is sent %d, %.2f of what it was", id, r.sent[id], part)
		}
	}
}

// Changed settings hold for requests that come from then on. One that is open keeps its class's effect, and the number
// of attempts that it may have.
func TestSettingsChangeUnderOpenRequests(t *testing.T) {
	set := harnessSettings()
	m := policy.New(set, 5)
	now := time.Hour
	m.Handle(now, policy.EndpointUpdate{Kind: policy.EndpointsCached, Servers: []policy.Server{{ID: 1}, {ID: 2}, {ID: 3}, {ID: 4}}})
	sends := func(actions []policy.Action) (n int, last policy.Forward) {
		for _, a := range actions {
			if s, ok := a.(policy.Forward); ok {
				n, last = n+1, s
			}
		}
		return n, last
	}
	first := map[string]policy.Forward{}
	arrive := func(id, class string) {
		t.Helper()
		n, s := sends(m.Handle(now, policy.RequestArrived{ID: policy.RequestID(id), Class: class, Timeout: time.Second}))
		if n != 1 {
			t.Fatalf("%s of class %s: %d sends", id, class, n)
		}
		first[id] = s
	}
	// again reports whether a request whose attempt failed is sent again.
	again := func(id string, attempt int) int {
		s := first[id]
		n, next := sends(m.Handle(now, policy.AttemptEnded{ID: s.ID, Attempt: attempt, Server: s.Server, Code: policy.ServerError}))
		first[id] = next
		return n
	}
	arrive("old read", "priority")
	arrive("old order", "unsafe")
	set.MaxAttempts = 1
	set.Classes = []policy.Class{set.Classes[0], set.Classes[2], {Name: "new", PriorityWeight: 5, LatencyObjective: time.Second, Deadline: time.Second, Idempotency: policy.Idempotent}}
	set.Classes[0].Idempotency, set.Classes[1].Idempotency = policy.NonIdempotent, policy.Idempotent
	m.Handle(now, policy.SettingsChanged{Settings: set})
	arrive("new read", "priority")
	arrive("new order", "unsafe")
	arrive("new", "new")
	for i, want := range []int{1, 1, 0} { // three attempts in all
		if got := again("old read", i); got != want {
			t.Errorf("the older read after %d failures: %d sends, want %d", i+1, got, want)
		}
	}
	for _, id := range []string{"old order", "new read", "new order", "new"} { // non-idempotent, non-idempotent, one attempt, one attempt
		if again(id, 0) != 0 {
			t.Errorf("%s is sent again", id)
		}
	}
	set.MaxAttempts = 3
	m.Handle(now, policy.SettingsChanged{Settings: set})
	arrive("later order", "unsafe")
	if again("later order", 0) != 1 {
		t.Error("an order that has become safe is not sent again")
	}
}

// When an overload makes warm servers answer less, warming ones are not sent less for it.
func TestOverloadLeavesWarmingServersTheirPace(t *testing.T) {
	r := newHarness(t, harnessSettings(), 6)
	r.run(10*time.Second, 240, "priority")
	for _, id := range []policy.ServerID{1, 2, 3} {
		r.feed(policy.EndpointUpdate{Kind: policy.EndpointsChanged, Servers: []policy.Server{{ID: id, Zone: "z", StartedAt: r.now}}})
	}
	r.delay = func(s policy.ServerID) (time.Duration, policy.OutcomeCode) {
		if s > 3 {
			return time.Second, policy.OK
		}
		return 50 * time.Millisecond, policy.OK
	}
	r.run(2*time.Second, 240, "priority")
	r.reset()
	r.run(time.Second, 240, "priority")
	for _, id := range []policy.ServerID{1, 2, 3} { // warm ones got 40 a second each; these can do half of that by now
		if n := r.sent[id]; n < 15 || n > 30 {
			t.Errorf("warming server %d is sent %d in a second", id, n)
		}
	}
}
