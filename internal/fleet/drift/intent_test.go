package drift_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"meadowsill/internal/fleet"
	. "meadowsill/internal/fleet/drift"
	"meadowsill/internal/fleet/drift/simulation"
)

func TestExpectAndDifferences(t *testing.T) {
	intent := simulation.NewIntent(2)
	intent.Put("zone/z2@z1", simulation.EvacuationDirective(0)) // on a tie the directive for all nodes applies
	intent.Put("zone/z2@z3", fleet.Directive{Phase: fleet.Evacuated, Share: 0, ValidMS: 1})
	intent.Put("zone/z3", fleet.Directive{Phase: fleet.Recovering, Share: 0.6, Floor: 0.2, Budget: 30, Slots: 10, TrialNodes: []string{"n000"}, ValidMS: 5000})
	intent.Put("zone/a", fleet.Directive{Phase: fleet.Serving, Share: 1})
	intent.Put("zone/a-b", simulation.EvacuationDirective(0.25))
	intent.Put("later/x", []int{1})
	intent.ListServer("s3", "gone")
	intent.Remove("tenant/t4")
	applied, err := Expect(intent.Intended, fleet.Member{Node: "n000", Zone: "z1"})
	must(t, err == nil, "%v", err)
	got := map[string]string{}
	for _, h := range applied {
		got[h.Key] = string(h.Body)
	}
	must(t, got["zone/z2"] == `{"rev":1,"valid_ms":5000}`, "%s", got["zone/z2"])
	must(t, got["zone/z3"] == `{"rev":2,"share":0.5,"valid_ms":5000}`, "%s", got["zone/z3"])
	must(t, got["zone/a-b"] != "" && got["zone/a"] == "" && got["later/x"] == "" && got["server/s3"] == "" && got["tenant/t4"] == "", "%v", got)
	must(t, got["share"] == `{"epoch":1,"rates":{"t0":1,"t1":2},"slots":2}`, "%s", got["share"])
	must(t, len(got) == 3+4+1+11, "%d items: %v", len(got), slices.Sorted(maps.Keys(got)))
	other, _ := Expect(intent.Intended, fleet.Member{Node: "n000", Zone: "z9"})
	must(t, string(BodyOf(other, "zone/z3")) == fmt.Sprintf(`{"floor":0.2,"rate":3,"rev":%d,"share":0.6,"trial":true,"valid_ms":5000}`, simulation.ItemRevision(intent, "zone/z3")), "%s", BodyOf(other, "zone/z3"))

	d := Differences("k", json.RawMessage(`{"a":{"b":[1,{"c":2}]},"d":"x"}`), json.RawMessage(`{"a":{"b":[1,{"c":3},4]},"e":true}`))
	want := []Difference{{"k", "a.b[1].c", "2", "3"}, {"k", "a.b[2]", "null", "4"}, {"k", "d", `"x"`, "null"}, {"k", "e", "null", "true"}}
	must(t, cmp.Equal(d, want), "%s", cmp.Diff(want, d))
	intent.Set(fleet.Item{Key: "tenant/t1", Revision: intent.Intended.Revision, Body: json.RawMessage(`{"uid":-1}`)})
	if _, err := Expect(intent.Intended, fleet.Member{Node: "n000"}); !errors.Is(err, fleet.ErrInvalid) {
		t.Errorf("invalid item: error %v", err)
	}
}

// The state of an item that changed twice between two calls of ingest, or was removed without a record, is unknown for
// the revisions between them. It is known before and after.
func TestExpectBetweenIngests(t *testing.T) {
	for key, change := range map[string]func(*simulation.Intent){
		"zone/z2": func(intent *simulation.Intent) {
			intent.Put("zone/z2", simulation.EvacuationDirective(0.5))
			intent.Remove("zone/z2")
			intent.Put("zone/z9", simulation.EvacuationDirective(0.5))
		},
		"tenant/t1": func(intent *simulation.Intent) {
			intent.Intended.Items = slices.DeleteFunc(intent.Intended.Items, func(it fleet.Item) bool { return it.Key == "tenant/t1" })
			intent.Put("zone/z9", simulation.EvacuationDirective(0.5))
			intent.Intended.Revision += 2
		}} {
		intent := simulation.NewIntent(1)
		history := IntentHistory{}
		self := fleet.Member{Node: "n000", Zone: "z2"}
		history.Ingest(intent.Intended)
		first := intent.Intended.Revision
		change(intent)
		history.Ingest(intent.Intended)
		for n, want := range map[uint64]bool{0: false, first: true, first + 1: false, first + 3: true} {
			applied, complete := history.Expect(n, self)
			must(t, complete == want, "%s at %d of %d: %v, %v", key, n, first, complete, applied)
			must(t, !complete || (BodyOf(applied, key) != nil) == (n == first), "%s at %d: %v", key, n, applied)
			must(t, !complete || (BodyOf(applied, "zone/z9") != nil) == (n > first), "%s at %d: %v", key, n, applied)
		}
	}
}

// A replica may give a node a new server list before the detector processes the intent again. The detector must compare
// the node's list only once it knows that version.
func TestListNewerThanTheDetector(t *testing.T) {
	intent, history := simulation.NewIntent(1), IntentHistory{}
	history.Ingest(intent.Intended)
	before := intent.Intended.Revision
	intent.ListServer("s99", "ready")
	intent.Intended.Revision = before // the control plane keeps the revision, because no item has changed
	m := simulation.SimulatedModule{Member: fleet.Member{Node: "n000", Zone: "z2"}}
	m.ApplyIntent(intent.Intended)
	m.AppliedListVersion++
	n := NewNode(m.Report())
	n.Compare(&history)
	must(t, n.NeedsCompareAgain() && !n.IsComparable() && !n.WantsListKeys(), "compared although the list version was unknown")
	history.Ingest(intent.Intended)
	n.Compare(&history)
	must(t, !n.NeedsCompareAgain() && n.IsComparable() && n.HasIntendedContent(), "after the detector processed the list")
}

// An agent that is disconnected from the control plane must still detect that its node has applied something else, and
// send it again. A copy that is older than what the node has applied must cause no alarm until a replica has answered.
func TestLocalDetector(t *testing.T) {
	intent, m := simulation.NewIntent(1), &simulation.SimulatedModule{Member: fleet.Member{Node: "n000", Zone: "z1", Incarnation: 5}}
	l, now := NewLocalDetector(Defaults()), fleet.Time(0)
	m.ApplyIntent(intent.Intended)
	old := intent.Intended
	run := func(in Intended, caughtUp bool, want string) Verdict {
		t.Helper()
		var resent []string
		for range 70 {
			now += 100 * time.Millisecond
			must(t, l.Observe(now, m.Report()) == nil, "refused")
			var again []string
			again, m.Wanted = l.Answer(m.Node)
			resent = append(resent, again...)
			l.Step(now, in, m.Member, caughtUp)
		}
		v, ok := l.Verdict(now, 0, m.Node)
		must(t, ok && v.State == want, "%+v, want %s", v, want)
		must(t, (len(resent) > 0) == Drifts(want), "items sent again: %v", resent)
		return v
	}
	run(intent.Intended, false, InStep)
	m.AlterApplied = simulation.ReplaceItem("tenant/t2", nil)
	must(t, simulation.HasDifference(run(intent.Intended, false, Diverged).Differences, "tenant/t2", ""), "the difference is not listed")
	m.AlterApplied = nil
	run(intent.Intended, false, InStep)
	intent.Put("zone/z2", simulation.EvacuationDirective(0.9))
	m.ApplyIntent(intent.Intended)
	run(old, false, InStep)
	run(old, true, Ahead)
	run(intent.Intended, true, InStep)
}

func must(t rapid.TB, ok bool, format string, args ...any) {
	t.Helper()
	if !ok {
		t.Fatalf(format, args...)
	}
}
