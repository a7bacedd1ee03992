package policy_test

import (
	"testing"
	"time"

	"meadowsill/policy"
)

// A tenant leaves the node's scope and comes back to it under the item that it had, as the intent goes on or stays. What an older
// intent said of it changes nothing.
func TestTenantLeavesScopeAndReturns(t *testing.T) {
	at := func(revision, intent uint64) policy.TenantUpdate {
		return policy.TenantUpdate{Name: "x", UID: 1, Revision: revision, IntentRevision: intent, Committed: rules(revision, nil)}
	}
	removed := func(revision, intent uint64) policy.TenantUpdate {
		return policy.TenantUpdate{Name: "x", UID: 1, Revision: revision, IntentRevision: intent, Removed: true}
	}
	for name, c := range map[string]struct {
		events     []policy.Event
		generation uint64 // held at the end; 0: none
	}{
		"leaves":                               {[]policy.Event{at(5, 9), removed(9, 9)}, 0},
		"leaves at its own revision":           {[]policy.Event{at(9, 9), removed(9, 9)}, 0},
		"returns at the same intent":           {[]policy.Event{at(5, 9), removed(9, 9), at(5, 9)}, 5},
		"returns at a newer intent":            {[]policy.Event{at(5, 9), removed(9, 9), at(5, 12)}, 5},
		"leaves twice":                         {[]policy.Event{at(5, 9), removed(9, 9), at(5, 9), removed(9, 9)}, 0},
		"an older intent after it left":        {[]policy.Event{at(5, 9), removed(12, 12), at(5, 9)}, 0},
		"an older intent after it returned":    {[]policy.Event{at(5, 9), removed(9, 9), at(5, 12), removed(9, 9)}, 5},
		"an older item of a newer intent":      {[]policy.Event{at(7, 9), at(5, 12)}, 7},
		"returns, then its next generation":    {[]policy.Event{at(5, 9), removed(9, 9), at(5, 9), at(12, 12)}, 12},
		"removed for good, its name not again": {[]policy.Event{at(5, 9), removed(12, 12), removed(12, 13)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := harnessSettings()
			s.Fleet = true
			r := newHarness(t, s, 4)
			for _, e := range c.events {
				r.feed(e)
			}
			r.run(time.Second, 20, "priority")
			if served := r.submit("x", "priority") != 0; served != (c.generation > 0) {
				t.Errorf("served: %v, want generation %d", served, c.generation)
			}
			applied := uint64(0)
			for _, w := range r.module.Window(r.now).Tenants {
				applied = w.Committed
			}
			if applied != c.generation {
				t.Errorf("holds generation %d, want %d", applied, c.generation)
			}
		})
	}
}

// T7: what is open as a tenant leaves the scope keeps its generation's route to its end, also where the tenant comes back with another
// meanwhile; new requests are rejected, then served by the next.
func TestOpenRequestsOutliveTheScope(t *testing.T) {
	r := zonesHarness(t, 30)
	at := func(revision uint64, server string) policy.TenantUpdate {
		return policy.TenantUpdate{Name: "x", UID: 1, Revision: revision, IntentRevision: revision, Committed: rules(revision, func(g *policy.TenantRules) {
			g.Rate = 1e4
			g.RejectUnrouted = true
			g.Routes = []policy.TenantRoute{{ID: server, Weight: 1}}
		})}
	}
	r.feed(at(5, "s3"))
	r.run(time.Second, 0, "")
	r.delay = func(policy.ServerID) (time.Duration, policy.OutcomeCode) { return time.Second, policy.OK }
	if sent := r.submit("x", "priority"); sent != 3 {
		t.Fatalf("sent to %d", sent)
	}
	r.feed(policy.TenantUpdate{Name: "x", UID: 1, Revision: 9, IntentRevision: 9, Removed: true})
	if sent := r.submit("x", "priority"); sent != 0 {
		t.Errorf("out of scope: sent to %d", sent)
	}
	r.feed(at(12, "s5"))
	if w := r.module.Window(r.now).Tenants; len(w) != 1 || w[0].Open != 1 {
		t.Errorf("while one is open: %+v", w)
	}
	r.run(100*time.Millisecond, 0, "")
	if sent := r.submit("x", "priority"); sent != 5 {
		t.Errorf("in scope again: sent to %d", sent)
	}
	r.run(2*time.Second, 0, "")
	if w := r.module.Window(r.now).Tenants; len(w) != 1 || w[0].Open != 0 || r.failed != 0 {
		t.Errorf("at the end: %+v, %d failed", w, r.failed)
	}
}
