package policy_test

// Tests of retries by idempotency, of settings, of exclusions by the operators and of slow start.

import (
	"testing"
	"time"

	"meadowsill/policy"
)

// A non-idempotent request that a server does not answer must fail at its deadline. It must not be retried or rejected.
func TestNonIdempotentTimeoutFails(t *testing.T) {
	h := newHarness(t, harnessSettings(), 3)
	h.delay = func(policy.ServerID) (time.Duration, policy.OutcomeCode) { return time.Hour, policy.TimedOut }
	h.run(5*time.Millisecond, 200, "unsafe")
	h.run(3*time.Second, 0, "unsafe")
	if n := h.sent[1] + h.sent[2] + h.sent[3]; n != 1 || h.failed != 1 || h.rejected != 0 {
		t.Errorf("%d attempts, %d failed, %d rejected; want 1, 1, 0", n, h.failed, h.rejected)
	}
}

// A non-idempotent request must be retried only after an outcome which proves that it never ran, an idempotent one after any
// failure.
func TestRetryByIdempotencyAndOutcome(t *testing.T) {
	for _, c := range []struct {
		class string
		code  policy.OutcomeCode
		retry bool
	}{{"bulk", policy.ServerError, true}, {"bulk", policy.ConnectFailed, true}, {"unsafe", policy.ServerError, false},
		{"unsafe", policy.Reset, false}, {"unsafe", policy.ConnectFailed, true}, {"unsafe", policy.Rejected, true}} {
		h := newHarness(t, harnessSettings(), 3)
		h.run(3*time.Second, 100, "bulk")
		h.run(time.Second, 0, "bulk")
		h.reset()
		first := true
		h.delay = func(policy.ServerID) (time.Duration, policy.OutcomeCode) {
			if first {
				first = false
				return 10 * time.Millisecond, c.code
			}
			return 50 * time.Millisecond, policy.OK
		}
		h.run(5*time.Millisecond, 200, c.class)
		h.run(time.Second, 0, c.class)
		if n := h.sent[1] + h.sent[2] + h.sent[3]; (n == 2) != c.retry || (h.failed == 1) == c.retry {
			t.Errorf("class %s after outcome code %d: %d attempts, %d failed", c.class, c.code, n, h.failed)
		}
	}
}

func TestNoUsableServerOrEmptySettings(t *testing.T) {
	drained := []policy.Server{{ID: 1, State: policy.Draining}}
	for _, list := range [][]policy.Server{nil, drained} {
		for _, s := range []policy.Settings{{}, harnessSettings()} {
			h := newHarness(t, s, 0)
			h.feed(policy.EndpointUpdate{Kind: policy.EndpointsComplete, Servers: list})
			h.feed(policy.RequestArrived{ID: "a", Class: "unheard of", Timeout: time.Second})
			if _, ok := h.finalAnswer["a"].(policy.Reject); !ok || len(h.sent) != 0 {
				t.Errorf("servers %v: final answer %v, attempts %v", list, h.finalAnswer["a"], h.sent)
			}
		}
	}
	h := newHarness(t, policy.Settings{}, 2) // no classes at all
	h.feed(policy.RequestArrived{ID: "a", Class: "x", Timeout: 0})
	if _, ok := h.finalAnswer["a"].(policy.Reject); !ok {
		t.Error("a request with zero timeout was not rejected")
	}
	h.feed(policy.RequestArrived{ID: "b", Class: "x", Timeout: time.Second})
	h.feed(policy.AttemptEnded{ID: "nobody", Attempt: 3, Server: 9, Code: policy.OK, Report: &policy.LoadReport{}})
	h.feed(policy.RequestAbandoned{ID: "nobody"})
	h.feed(policy.TimerFired{Token: 99})
	h.run(2*time.Second, 50, "x")
	if h.sent[1]+h.sent[2] == 0 {
		t.Error("no request was forwarded without classes in the settings")
	}
}

// When most servers are replaced at once, each warming server must get load in proportion to the capacity that it has reached:
// what warming servers do not take falls on the few warm ones.
func TestManyWarmingServersGetProportionalLoad(t *testing.T) {
	s := harnessSettings()
	h := newHarness(t, s, 10)
	h.run(10*time.Second, 200, "priority")
	var list []policy.Server
	for i := range 6 {
		list = append(list, policy.Server{ID: policy.ServerID(i + 1), Zone: "z", StartedAt: h.now})
	}
	h.feed(policy.EndpointUpdate{Kind: policy.EndpointsChanged, Servers: list})
	h.reset()
	h.run(4*time.Second, 200, "priority")
	warming, warm := 0, 0
	for id, n := range h.sent {
		if id <= 6 {
			warming += n
		} else {
			warm += n
		}
	}
	if part := float64(warming) / 6 / float64(warm) * 4; part < s.SlowStartMinCapacity || part > 0.8 {
		t.Errorf("a warming server got %.2f times the requests of a warm one; totals: %d and %d", part, warming, warm)
	}
}

// Guards against a burst that no single node can see: the first requests of many nodes to a server that has just started.
func TestManyNodesDoNotOverloadWarmingServer(t *testing.T) {
	const nodes = 60
	s := harnessSettings()
	s.Nodes = nodes
	total := 0
	for self := range nodes {
		s.NodeIndex = self
		h := newHarness(t, s, 10)
		h.module = policy.New(s, int64(self))
		var list []policy.Server
		for i := range 10 {
			list = append(list, policy.Server{ID: policy.ServerID(i + 1), Zone: "z"})
		}
		h.feed(policy.EndpointUpdate{Kind: policy.EndpointsCached, Servers: list})
		h.delay = func(id policy.ServerID) (time.Duration, policy.OutcomeCode) {
			if id == 3 {
				return 10 * time.Millisecond, policy.OK // server 3 is the fastest, so that every node prefers it
			}
			return 50 * time.Millisecond, policy.OK
		}
		h.run(10*time.Second, 4, "bulk") // all nodes together send 24 requests/s to each server
		list[2].StartedAt = h.now
		h.feed(policy.EndpointUpdate{Kind: policy.EndpointsChanged, Servers: list[2:3]})
		h.reset()
		h.run(s.OverloadDuration, 4, "bulk")
		total += h.sent[3]
	}
	if budget := s.OverloadFactor * s.SlowStartMinCapacity * 24 * s.OverloadDuration.Seconds(); float64(total) > budget {
		t.Errorf("%d requests to a warming server, whose budget is %.0f", total, budget)
	}
}

// A server that the operators exclude must get no requests, whatever the endpoint list says, until they include it again. Then
// it must get a slow start, although the list has no recent start of it, and requests soon.
func TestServerExcludedAndIncluded(t *testing.T) {
	h := newHarness(t, harnessSettings(), 6)
	h.run(10*time.Second, 120, "priority")
	warm := h.sent[3]
	for range 2 {
		h.feed(policy.ServerExcluded{Server: 3})
	}
	h.feed(policy.ServerExcluded{Server: 7}) // not listed yet
	for _, e := range []policy.Server{{ID: 3, State: policy.Removed}, {ID: 3, Zone: "z", StartedAt: h.now}, {ID: 7, Zone: "z"}} {
		h.feed(policy.EndpointUpdate{Kind: policy.EndpointsChanged, Servers: []policy.Server{e}})
	}
	h.reset()
	h.run(10*time.Second, 120, "priority")
	if h.sent[3] > 0 || h.sent[7] > 0 || h.rejected+h.failed > 0 {
		t.Errorf("while excluded: requests by server %v, %d rejected, %d failed", h.sent, h.rejected, h.failed)
	}
	for id := range policy.ServerID(2) {
		h.feed(policy.ServerIncluded{Server: 3 + 4*id, At: h.now})
		h.feed(policy.EndpointUpdate{Kind: policy.EndpointsChanged, Servers: []policy.Server{{ID: 3 + 4*id, Zone: "z", StartedAt: h.now - time.Minute}}})
	}
	h.reset()
	h.run(time.Second, 120, "priority")
	for _, id := range []policy.ServerID{3, 7} {
		if part := float64(h.sent[id]) / (float64(warm) / 10); h.sent[id] == 0 || part > 0.6 {
			t.Errorf("first second after inclusion: server %d got %d requests, %.2f of its earlier rate", id, h.sent[id], part)
		}
	}
}

// Changed settings must apply only to requests that arrive after the change. An open request keeps the idempotency of its class
// and its maximum number of attempts.
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
			t.Fatalf("request %s of class %s: %d attempts on arrival", id, class, n)
		}
		first[id] = s
	}
	// failAttempt fails an attempt of a request and returns the number of attempts made in response.
	failAttempt := func(id string, attempt int) int {
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
	for i, want := range []int{1, 1, 0} { // the maximum is three attempts
		if got := failAttempt("old read", i); got != want {
			t.Errorf("request old read after %d failures: %d attempts, want %d", i+1, got, want)
		}
	}
	for _, id := range []string{"old order", "new read", "new order", "new"} { // non-idempotent, non-idempotent, one attempt, one attempt
		if failAttempt(id, 0) != 0 {
			t.Errorf("request %s was retried", id)
		}
	}
	set.MaxAttempts = 3
	m.Handle(now, policy.SettingsChanged{Settings: set})
	arrive("later order", "unsafe")
	if failAttempt("later order", 0) != 1 {
		t.Error("a request of a class that became idempotent was not retried")
	}
}

// When warm servers answer fewer requests under overload, the slow-start rate of warming servers must not fall with them.
func TestOverloadKeepsSlowStartRate(t *testing.T) {
	h := newHarness(t, harnessSettings(), 6)
	h.run(10*time.Second, 240, "priority")
	for _, id := range []policy.ServerID{1, 2, 3} {
		h.feed(policy.EndpointUpdate{Kind: policy.EndpointsChanged, Servers: []policy.Server{{ID: id, Zone: "z", StartedAt: h.now}}})
	}
	h.delay = func(s policy.ServerID) (time.Duration, policy.OutcomeCode) {
		if s > 3 {
			return time.Second, policy.OK
		}
		return 50 * time.Millisecond, policy.OK
	}
	h.run(2*time.Second, 240, "priority")
	h.reset()
	h.run(time.Second, 240, "priority")
	for _, id := range []policy.ServerID{1, 2, 3} { // warm servers got 40 requests/s each; warming ones can serve half of that by now
		if n := h.sent[id]; n < 15 || n > 30 {
			t.Errorf("warming server %d got %d requests in a second", id, n)
		}
	}
}
