package agentclient

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"meadowsill/internal/fleet"
	"meadowsill/policy"
)

func item(key string, rev uint64, body any) fleet.Item {
	b, _ := json.Marshal(body)
	return fleet.Item{Key: key, Revision: rev, Body: b}
}

func tenant(uid, generation uint64, name string) fleet.Tenant {
	return fleet.Tenant{UID: uid, Committed: &fleet.Generation{Number: generation, Digest: "00ff",
		Spec: fleet.Spec{Name: name, Quota: fleet.Quota{Rate: 1000, Burst: 100}}}}
}

// Each answer must give the module its events in order, without items that don't concern this node.
func TestIntentMirrorEvents(t *testing.T) {
	member := fleet.Member{Node: "n0", Zone: "z", Incarnation: 7}
	evacuated := func(share float64) fleet.Directive {
		return fleet.Directive{Phase: fleet.Evacuated, Share: share, Budget: 12, Slots: 4, TrialNodes: []string{"n0"}, ValidMS: 5000}
	}
	zone := func(name string, rev, intent uint64, share float64) policy.ZoneDirective {
		return policy.ZoneDirective{Zone: name, Revision: rev, IntentRevision: intent, Share: share, Rate: 3, Trial: true, Age: 30 * time.Millisecond, ValidFor: 5 * time.Second}
	}
	served := func(name string, rev uint64) policy.ZoneDirective {
		return policy.ZoneDirective{Zone: name, Revision: rev, IntentRevision: rev, Serving: true, Share: 1, Floor: 1, Age: 30 * time.Millisecond}
	}
	share := func(validFor time.Duration) policy.QuotaLease {
		return policy.QuotaLease{Epoch: 2, Slots: 4, Rates: map[string]float64{"a": 5}, Age: 30 * time.Millisecond, ValidFor: validFor}
	}
	tenantUpdate := policy.TenantUpdate{Name: "a", UID: 3, Revision: 4, IntentRevision: 5, Age: 30 * time.Millisecond,
		Committed: &policy.TenantRules{Generation: 1, Digest: "00ff", Rate: 1000, Burst: 100}}
	m := NewIntentMirror(member)
	for i, step := range []struct {
		in     fleet.Intent
		events []policy.Event
		bad    bool
	}{
		{in: fleet.Intent{Revision: 5}, bad: true}, // changes, though the complete list was requested
		{in: fleet.Intent{Revision: 5, Full: true, LeaseMS: 100, Items: []fleet.Item{item("zone/y", 5, evacuated(0.5)), item("zone/y@z", 3, evacuated(0.25)),
			item("zone/y@x", 4, evacuated(0)), item("zone/w", 2, fleet.Directive{Phase: fleet.Serving, Share: 1}), item("tenant/a", 4, tenant(3, 1, "a")),
			item("share/n0", 5, fleet.QuotaLease{Epoch: 2, Incarnation: 7, Slots: 4, Rates: map[string]float64{"a": 5}}),
			item("share/n1", 5, fleet.QuotaLease{Epoch: 3, Incarnation: 7}), item("later/q", 1, 1)}},
			events: []policy.Event{zone("y", 3, 5, 0.25), tenantUpdate, share(80 * time.Millisecond)}},
		{in: fleet.Intent{Revision: 4, Full: true}, bad: true},
		{in: fleet.Intent{Revision: 5}, events: []policy.Event{zone("y", 3, 5, 0.25), share(0)}}, // the directive is confirmed; the session has expired
		{in: fleet.Intent{Revision: 6, Items: []fleet.Item{{Key: "zone/y@z", Revision: 6, Removed: true}}}, events: []policy.Event{zone("y", 5, 6, 0.5), share(0)}},
		{in: fleet.Intent{Revision: 7, Full: true, LeaseMS: 9000, Items: []fleet.Item{
			item("share/n0", 7, fleet.QuotaLease{Epoch: 2, Incarnation: 8, Slots: 4, Rates: map[string]float64{"a": 5}})}},
			events: []policy.Event{served("y", 7), policy.TenantUpdate{Name: "a", UID: 3, Revision: 7, IntentRevision: 7, Removed: true, Age: 30 * time.Millisecond}, share(0)}},
		{in: fleet.Intent{Revision: 8}, events: []policy.Event{share(0)}}, // events aren't repeated
	} {
		step.in.AgeMS = 10
		err := m.Merge(step.in)
		if (err != nil) != step.bad {
			t.Fatalf("step %d: error %v", i, err)
		}
		if err != nil {
			continue
		}
		if diff := cmp.Diff(step.events, m.Events(20*time.Millisecond)); diff != "" {
			t.Errorf("step %d: %s", i, diff)
		}
	}
}
