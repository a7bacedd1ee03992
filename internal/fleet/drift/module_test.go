package drift_test

import (
	"slices"
	"testing"
	"time"

	"meadowsill/internal/fleet"
	. "meadowsill/internal/fleet/drift"
	"meadowsill/internal/fleet/drift/simulation"
	"meadowsill/policy"
)

// What a real module has applied after it received the intent must equal what the detector expects, item by item. A
// module that missed the last update must differ in exactly that update.
func TestModuleAppliesWhatIsExpected(t *testing.T) {
	intent, self := simulation.NewIntent(1), fleet.Member{Node: "n000", Zone: "z1", Incarnation: 1}
	intent.Put("zone/z3", fleet.Directive{Phase: fleet.Recovering, Share: 0.4, Floor: 0.1, Budget: 30, Slots: 7, ValidMS: 5000})
	spec := fleet.Spec{Name: "t9", Namespace: fleet.Namespace{Classes: []string{"read"}}, Fallback: "refuse",
		Quota: fleet.Quota{Rate: 50, Burst: 10, Classes: map[string]float64{"read": 20}}, Routes: []fleet.Route{{Zone: "z1", Weight: 2}, {ID: "s*", Weight: 1}}}
	intent.Put("tenant/t9", fleet.Tenant{UID: intent.Intended.Revision + 1, Committed: &fleet.Generation{Number: 3, Digest: "0a", Spec: spec}})
	m := policy.New(policy.Settings{Nodes: 1, Zone: "z1", Zones: []string{"z1", "z2", "z3"}, Fleet: true, MaxAttempts: 3, MaxOpenRequests: 100,
		Classes: []policy.Class{{Name: "read", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: 2 * time.Second, Idempotency: policy.Idempotent}}}, 1)
	UpdateModule(m, time.Second, intent.Intended, self)
	check := func(want ...string) {
		t.Helper()
		var applied []fleet.AppliedItem
		for _, f := range m.Applied() {
			if item := simulation.AppliedItem(f.Key, f.Value); !IsLocal(f.Key) {
				applied = append(applied, item)
			}
		}
		expected, err := Expect(intent.Intended, self)
		keys, _ := Diff(NewTree(expected), NewTree(applied))
		if err != nil || len(keys) != len(want) || len(want) > 0 && keys[0] != want[0] {
			for _, k := range keys {
				t.Errorf("%+v", Differences(k, BodyOf(expected, k), BodyOf(applied, k)))
			}
			t.Fatalf("%v, %v, want %v", keys, err, want)
		}
	}
	check()
	intent.Remove("zone/z2")
	intent.Remove("tenant/t2")
	intent.ListServer("s4", "gone")
	intent.ListServer("s5", "draining")
	check("server/s4", "server/s5", "tenant/t2", "zone/z2")
	UpdateModule(m, 2*time.Second, intent.Intended, self)
	check()
	for epoch, rates := range []map[string]float64{{"t0": 2}, {}, nil} {
		intent.Put("share/n000", fleet.QuotaLease{Epoch: uint64(epoch + 2), Slots: 3, Rates: rates})
		check("share")
		UpdateModule(m, 3*time.Second, intent.Intended, self)
		check()
	}
	intent.Put("share/n000", fleet.QuotaLease{Epoch: 9, Slots: 3, Rates: map[string]float64{"t0": 2}})
	UpdateModule(m, 3*time.Second, intent.Intended, self)
	check()
	intent.Remove("share/n000")
	check("share")
	m.Handle(3*time.Second, policy.QuotaLease{Epoch: 9, Slots: 3}) // internal/node passes a removed share like this
	check()
	at := slices.IndexFunc(m.Applied(), func(f policy.AppliedItem) bool { return f.Key == fleet.KeySettings })
	got, want := simulation.AppliedItem("settings", m.Applied()[at].Value), simulation.AppliedItem("settings", fleet.AppliedSettings{Nodes: 1, MaxAttempts: 3, MaxOpenRequests: 100,
		Classes: []fleet.AppliedClass{{Name: "read", PriorityWeight: 1, LatencyObjectiveMS: 1000, DeadlineMS: 2000, Idempotency: 2}}})
	must(t, got.Digest == want.Digest, "settings %s, want %s", got.Body, want.Body)
}
