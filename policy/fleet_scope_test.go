package policy_test

import (
	"testing"
	"time"

	"meadowsill/policy"
)

// TestTenantLeavesScopeAndReturns checks that a tenant can leave the node's scope and return to it under the item that it had, at
// the same intent or at a newer one. An update that was read from an older intent changes nothing.
func TestTenantLeavesScopeAndReturns(t *testing.T) {
	committed := func(revision, intent uint64) policy.TenantUpdate {
		return policy.TenantUpdate{Name: "x", UID: 1, Revision: revision, IntentRevision: intent, Committed: rules(revision, nil)}
	}
	removed := func(revision, intent uint64) policy.TenantUpdate {
		return policy.TenantUpdate{Name: "x", UID: 1, Revision: revision, IntentRevision: intent, Removed: true}
	}
	for name, c := range map[string]struct {
		events     []policy.Event
		generation uint64 // in force at the end; 0: none
	}{
		"leaves":                                {[]policy.Event{committed(5, 9), removed(9, 9)}, 0},
		"leaves at its own revision":            {[]policy.Event{committed(9, 9), removed(9, 9)}, 0},
		"returns at the same intent":            {[]policy.Event{committed(5, 9), removed(9, 9), committed(5, 9)}, 5},
		"returns at a newer intent":             {[]policy.Event{committed(5, 9), removed(9, 9), committed(5, 12)}, 5},
		"leaves twice":                          {[]policy.Event{committed(5, 9), removed(9, 9), committed(5, 9), removed(9, 9)}, 0},
		"an older intent after it left":         {[]policy.Event{committed(5, 9), removed(12, 12), committed(5, 9)}, 0},
		"an older intent after it returned":     {[]policy.Event{committed(5, 9), removed(9, 9), committed(5, 12), removed(9, 9)}, 5},
		"an older item of a newer intent":       {[]policy.Event{committed(7, 9), committed(5, 12)}, 7},
		"returns, then the next generation":     {[]policy.Event{committed(5, 9), removed(9, 9), committed(5, 9), committed(12, 12)}, 12},
		"removed for good, name not used again": {[]policy.Event{committed(5, 9), removed(12, 12), removed(12, 13)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := harnessSettings()
			s.Fleet = true
			h := newHarness(t, s, 4)
			for _, e := range c.events {
				h.feed(e)
			}
			h.run(time.Second, 20, "priority")
			if served := h.submit("x", "priority") != 0; served != (c.generation > 0) {
				t.Errorf("served: %v, want generation %d in force", served, c.generation)
			}
			applied := uint64(0)
			for _, w := range h.module.Window(h.now).Tenants {
				applied = w.Committed
			}
			if applied != c.generation {
				t.Errorf("generation %d is in force, want %d", applied, c.generation)
			}
		})
	}
}

// TestOpenRequestsOutliveTheScope is T7: a request that is open when its tenant leaves the scope keeps its generation's route to its
// end, also if the tenant returns with another generation in the meantime. New requests are rejected while the tenant is out of scope,
// and served by the new generation after that.
func TestOpenRequestsOutliveTheScope(t *testing.T) {
	h := zonesHarness(t, 30)
	routedTo := func(revision uint64, server string) policy.TenantUpdate {
		return policy.TenantUpdate{Name: "x", UID: 1, Revision: revision, IntentRevision: revision, Committed: rules(revision, func(g *policy.TenantRules) {
			g.Rate = 1e4
			g.RejectUnrouted = true
			g.Routes = []policy.TenantRoute{{ID: server, Weight: 1}}
		})}
	}
	h.feed(routedTo(5, "s3"))
	h.run(time.Second, 0, "")
	h.delay = func(policy.ServerID) (time.Duration, policy.OutcomeCode) { return time.Second, policy.OK }
	if sent := h.submit("x", "priority"); sent != 3 {
		t.Fatalf("sent to server %d, want 3", sent)
	}
	h.feed(policy.TenantUpdate{Name: "x", UID: 1, Revision: 9, IntentRevision: 9, Removed: true})
	if sent := h.submit("x", "priority"); sent != 0 {
		t.Errorf("tenant out of scope: sent to server %d, want a rejection", sent)
	}
	h.feed(routedTo(12, "s5"))
	if w := h.module.Window(h.now).Tenants; len(w) != 1 || w[0].Open != 1 {
		t.Errorf("with one request open: tenants %+v", w)
	}
	h.run(100*time.Millisecond, 0, "")
	if sent := h.submit("x", "priority"); sent != 5 {
		t.Errorf("tenant in scope again: sent to server %d, want 5", sent)
	}
	h.run(2*time.Second, 0, "")
	if w := h.module.Window(h.now).Tenants; len(w) != 1 || w[0].Open != 0 || h.failed != 0 {
		t.Errorf("at the end: tenants %+v, %d requests failed", w, h.failed)
	}
}
