package policy_test

// Servers that fail, fall silent, stick or come back.

import (
	"fmt"
	"testing"
	"time"

	"meadowsill/policy"
)

// A silent server is left out and its requests are answered elsewhere, also while the list is down; it then comes
// back paced, as it may be warming.
func TestSilentServerWhileListIsDown(t *testing.T) {
	s := harnessSettings()
	s.PollsEndpoints = true
	r := newHarness(t, s, 5)
	r.run(5*time.Second, 100, "bulk")
	quick := r.delay
	r.delay = func(id policy.ServerID) (time.Duration, policy.OutcomeCode) {
		if id == 3 {
			return time.Hour, policy.TimedOut
		}
		return quick(id)
	}
	r.reset()
	r.run(6*time.Second, 100, "bulk")
	if r.sent[3] > 25 || r.failed > 0 || r.rejected > 5 {
		t.Errorf("silent server got %d, %d failed, %d rejected", r.sent[3], r.failed, r.rejected)
	}
	if r.polls < 3 {
		t.Errorf("the list was polled %d times only", r.polls)
	}
	r.delay = quick
	r.reset()
	r.run(3*time.Second, 100, "bulk")
	early := r.sent[3]
	r.run(9*time.Second, 100, "bulk")
	r.reset()
	r.run(5*time.Second, 100, "bulk")
	if early > 50 || r.sent[3] < 60 {
		t.Errorf("back from silence: %d in the first 3 s, %d in 5 s once warm", early, r.sent[3])
	}
}

// A server that fails fast must not attract work.
func TestFastFailerAttractsNothing(t *testing.T) {
	r := newHarness(t, harnessSettings(), 4)
	r.delay = func(id policy.ServerID) (time.Duration, policy.OutcomeCode) {
		if id == 2 {
			return time.Millisecond, policy.ServerError
		}
		return 50 * time.Millisecond, policy.OK
	}
	r.run(10*time.Second, 100, "bulk")
	if r.sent[2] > 60 {
		t.Errorf("%d of %d sends went to the server that fails", r.sent[2], r.sent[1]+r.sent[2]+r.sent[3]+r.sent[4])
	}
}

// When all slow down at once nobody is ejected: every server is kept as busy as it was, in requests in flight.
func TestAllSlowAtOnceEjectsNobody(t *testing.T) {
	r := newHarness(t, harnessSettings(), 4)
	r.run(5*time.Second, 80, "bulk")
	r.delay = func(policy.ServerID) (time.Duration, policy.OutcomeCode) { return 150 * time.Millisecond, policy.OK }
	r.reset()
	r.run(5*time.Second, 80, "bulk")
	if r.logged > 0 {
		t.Errorf("%d servers were ejected", r.logged)
	}
	for id := policy.ServerID(1); id <= 4; id++ {
		if r.sent[id] < 25 { // one in flight, as before, is 33 in 5 s
			t.Errorf("server %d got %d only", id, r.sent[id])
		}
	}
}

// Attempts that get no answer for other reasons than load, on servers that answer all others at once, must not
// make those servers look busy: nothing is shed for their sake.
func TestStuckAttemptsAreNoLoad(t *testing.T) {
	s := harnessSettings()
	s.Nodes = 2
	r := newHarness(t, s, 8)
	answers := 0
	r.delay = func(policy.ServerID) (time.Duration, policy.OutcomeCode) {
		if answers++; answers%40 == 0 {
			return time.Hour, policy.OK
		}
		return 5 * time.Millisecond, policy.OK
	}
	r.run(4*time.Second, 300, "unsafe")
	r.reset()
	r.run(10*time.Second, 300, "unsafe")
	if r.rejected > 150 {
		t.Errorf("%d of 3000 rejected by a fleet at rest", r.rejected)
	}
}

// A server that was only silent has not restarted: once it answers a trial it is not paced, where one
// that broke connections is taken as warming.
func TestSilentServerComesBackWithoutSlowStart(t *testing.T) {
	for _, broke := range []bool{false, true} {
		r := newHarness(t, harnessSettings(), 4)
		away := false
		r.delay = func(s policy.ServerID) (time.Duration, policy.OutcomeCode) {
			switch {
			case away && s == 1 && broke:
				return 5 * time.Millisecond, policy.ConnectFailed
			case away && s == 1:
				return time.Hour, policy.OK
			}
			return 20 * time.Millisecond, policy.OK
		}
		r.run(4*time.Second, 200, "priority")
		away = true
		r.run(2*time.Second, 200, "priority")
		away = false
		r.reset()
		for i := 0; i < 40 && r.sent[1] < 2; i++ { // until it answers a trial and gets more
			r.reset()
			r.run(250*time.Millisecond, 200, "priority")
		}
		r.reset()
		r.run(5*time.Second, 200, "priority")                           // long enough for chance to even out, and the server warms up for longer
		if share := float64(r.sent[1]) / 250; (share < 0.62) != broke { // seeds give 0.74 to 0.81, and 0.46 to 0.49
			t.Errorf("connections broke: %v: it has %.2f of an even share", broke, share)
		}
	}
}

// A zone is lost together with the nodes there: its servers fall silent, this node gets twice the traffic, the list tells
// late, and the servers come back as new processes. What is left is not overloaded, and those that return are paced.
func TestZoneLostWithItsNodesAndBack(t *testing.T) {
	s := harnessSettings()
	s.Nodes = 2
	r := newHarness(t, s, 8)
	r.run(10*time.Second, 60, "bulk")
	lost := func(id policy.ServerID) bool { return id > 4 }
	up := r.delay
	r.delay = func(id policy.ServerID) (time.Duration, policy.OutcomeCode) {
		if lost(id) {
			return time.Hour, policy.TimedOut
		}
		return up(id)
	}
	r.run(2*time.Second, 120, "bulk")
	r.reset()
	r.run(5*time.Second, 120, "bulk")
	dead, alive := 0, 0
	for id, n := range r.sent {
		if lost(id) {
			dead += n
		} else {
			alive += n
		}
	}
	if dead > 60 || alive < 300 || r.failed > 0 {
		t.Errorf("zone lost: %d sends into it, %d to the rest, %d failed", dead, alive, r.failed)
	}
	var removed, back []policy.Server
	for id := policy.ServerID(5); id <= 8; id++ {
		removed = append(removed, policy.Server{ID: id, Zone: "z", State: policy.Removed})
		back = append(back, policy.Server{ID: id, Zone: "z", StartedAt: r.now + 2*time.Second})
	}
	r.feed(policy.EndpointUpdate{Kind: policy.EndpointsChanged, Servers: removed})
	r.reset()
	r.run(2*time.Second, 120, "bulk")
	for id := range r.sent {
		if lost(id) {
			t.Errorf("sent to %d, which is removed", id)
		}
	}
	r.delay = up
	r.feed(policy.EndpointUpdate{Kind: policy.EndpointsChanged, Servers: back})
	r.reset()
	r.run(time.Second, 120, "bulk")
	for id, n := range r.sent {
		if budget := 2.5 * 0.3 * 30; lost(id) && float64(n) > budget/2+2 { // warm ones do 30/s for this node; two nodes
			t.Errorf("warming server %d got %d in its first second", id, n)
		}
	}
	r.run(9*time.Second, 60, "bulk")
	r.reset()
	r.run(5*time.Second, 60, "bulk")
	if n := r.sent[5] + r.sent[6] + r.sent[7] + r.sent[8]; n < 90 || r.rejected > 0 {
		t.Errorf("once warm: %d of 300 sends to the zone, %d rejected", n, r.rejected)
	}
}

// Log lines are few even where a server fails and recovers all the time.
func TestLogIsLimited(t *testing.T) {
	r := newHarness(t, harnessSettings(), 3)
	r.run(3*time.Second, 100, "bulk")
	n := 0
	r.delay = func(id policy.ServerID) (time.Duration, policy.OutcomeCode) {
		if id == 1 {
			if n++; n%3 != 0 {
				return time.Millisecond, policy.Reset
			}
		}
		return 50 * time.Millisecond, policy.OK
	}
	r.logged = 0
	r.run(60*time.Second, 100, "bulk")
	if r.logged == 0 || r.logged > 13 {
		t.Errorf("%d log lines in a minute about one server", r.logged)
	}
}

// Attempts that last as long as their clients take over long bodies are no load: however many there are, others are sent.
// One whose body has been passed on is not made again.
func TestLongBodiesAreNoLoad(t *testing.T) {
	r := newHarness(t, harnessSettings(), 3)
	r.run(10*time.Second, 60, "priority")
	for i := range 60 {
		id := policy.RequestID(fmt.Sprint("long", i))
		for _, a := range r.module.Handle(r.now, policy.RequestArrived{ID: id, Class: "priority", Timeout: time.Minute}) {
			if s, ok := a.(policy.Forward); ok && i%2 == 0 {
				r.module.Handle(r.now, policy.StreamStarted{ID: id, Server: s.Server, Elapsed: 50 * time.Millisecond})
			} else if ok {
				r.module.Handle(r.now, policy.BodyStarted{ID: id})
				if i%10 == 1 {
					for _, a := range r.module.Handle(r.now, policy.AttemptEnded{ID: id, Server: s.Server, Code: policy.ConnectFailed}) {
						if _, again := a.(policy.Forward); again {
							t.Error("a body that was passed on is sent again")
						}
					}
				}
			}
		}
	}
	r.reset()
	r.run(2*time.Second, 60, "priority")
	if r.rejected > 0 {
		t.Errorf("rejected %d", r.rejected)
	}
}
