package report

import (
	"testing"
	"time"

	"meadowsill/internal/invariants"
	"meadowsill/internal/lab"
)

// TestZoneLossFigures has a zone that is lost at 10 s, left at 10.5 s, in probation from 15 s and served again from 20 s. The last
// attempt of node 0 is at 10.4 s and that of node 1 at 12 s.
func TestZoneLossFigures(t *testing.T) {
	sec := time.Second
	r := &lab.Records{Scenario: &lab.Scenario{DurationS: 30}, Nodes: []lab.NodeInfo{{Name: "n0"}, {Name: "n1"}},
		Changes: []invariants.Change{{Server: "s", State: "ready", At: 16 * sec}},
		Sent:    []invariants.Sent{{ID: "a", At: 11 * sec}, {ID: "b", At: 11 * sec}, {ID: "c", At: 25 * sec}},
		Attempts: []invariants.Attempt{{ID: "a", Server: "s", Node: 0, Start: 10*sec + 400*time.Millisecond}, {ID: "a", Server: "x", Node: 0, Start: 11 * sec},
			{ID: "b", Server: "x", Node: 1, Start: 12 * sec}, {ID: "c", Server: "s", Node: 1, Start: 25 * sec}},
		Onboarded: []lab.Onboarding{{Tenant: "t", Generation: 2, Applied: map[string]time.Duration{"n0": 100 * time.Millisecond, "n1": 300 * time.Millisecond},
			All: 300 * time.Millisecond}},
		Fleet: &invariants.Fleet{Faulted: map[string]time.Duration{"z": 10 * sec}, ServerZone: map[string]string{"s": "z", "x": "y"},
			UnreachableAttempts: []invariants.UnreachableAttempt{{Node: 1, Server: "s", At: 12 * sec}, {Node: 1, Server: "s", At: 9 * sec}},
			IntentChanges: []invariants.IntentChange{{Key: "zone/z", At: 10*sec + 500*time.Millisecond, Phase: "left"}, {Key: "zone/z", At: 15 * sec, Phase: "probation"},
				{Key: "zone/z", At: 20 * sec, Removed: true}},
			Planted:  []invariants.Planted{{Node: 1, At: 5 * sec}, {Node: 0, At: 5 * sec}},
			Verdicts: []invariants.Verdict{{Node: 1, At: 4 * sec, State: "stuck"}, {Node: 1, At: 7 * sec, State: "overridden"}}}}
	got := Build(r)
	want := ZoneLoss{Zone: "z", AtS: 10, LeftMS: 500, ServedMS: 10000, StopP50MS: 2000, StopP95MS: 2000, SpreadMS: 1600, Nodes: 2, Tries: 1, Further: 2, Requests: 2}
	if len(got.Zones) != 1 || got.Zones[0] != want {
		t.Errorf("%+v, want %+v", got.Zones, want)
	}
	if o := got.Onboarded; len(o) != 1 || o[0] != (Onboarding{"t", 2, 2, 300, 300, 300}) {
		t.Errorf("%+v", o)
	}
	if d := got.Drifts; len(d) != 2 || d[0].MS != 2000 || d[0].State != "overridden" || d[1].MS != -1 {
		t.Errorf("%+v", d)
	}
}
