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
	c := simulation.Seed(2)
	c.Put("zone/z2@z1", simulation.EvacuationDirective(0)) // tie: that for every node holds
	c.Put("zone/z2@z3", fleet.Directive{Phase: fleet.Evacuated, Share: 0, ValidMS: 1})
	c.Put("zone/z3", fleet.Directive{Phase: fleet.Recovering, Share: 0.6, Floor: 0.2, Budget: 30, Slots: 10, TrialNodes: []string{"n000"}, ValidMS: 5000})
	c.Put("zone/a", fleet.Directive{Phase: fleet.Serving, Share: 1})
	c.Put("zone/a-b", simulation.EvacuationDirective(0.25))
	c.Put("later/x", []int{1})
	c.Serve("s3", "gone")
	c.Drop("tenant/t4")
	held, err := Expect(c.Intended, fleet.Member{Node: "n000", Zone: "z1"})
	must(t, err == nil, "%v", err)
	got := map[string]string{}
	for _, h := range held {
		got[h.Key] = string(h.Body)
	}
	must(t, got["zone/z2"] == `{"rev":1,"valid_ms":5000}`, "%s", got["zone/z2"])
	must(t, got["zone/z3"] == `{"rev":2,"share":0.5,"valid_ms":5000}`, "%s", got["zone/z3"])
	must(t, got["zone/a-b"] != "" && got["zone/a"] == "" && got["later/x"] == "" && got["server/s3"] == "" && got["tenant/t4"] == "", "%v", got)
	must(t, got["share"] == `{"epoch":1,"rates":{"t0":1,"t1":2},"slots":2}`, "%s", got["share"])
	must(t, len(got) == 3+4+1+11, "%d facts: %v", len(got), slices.Sorted(maps.Keys(got)))
	other, _ := Expect(c.Intended, fleet.Member{Node: "n000", Zone: "z9"})
	must(t, string(BodyOf(other, "zone/z3")) == fmt.Sprintf(`{"floor":0.2,"rate":3,"rev":%d,"share":0.6,"trial":true,"valid_ms":5000}`, simulation.ItemRev(c, "zone/z3")), "%s", BodyOf(other, "zone/z3"))

	d := Differences("k", json.RawMessage(`{"a":{"b":[1,{"c":2}]},"d":"x"}`), json.RawMessage(`{"a":{"b":[1,{"c":3},4]},"e":true}`))
	want := []Difference{{"k", "a.b[1].c", "2", "3"}, {"k", "a.b[2]", "null", "4"}, {"k", "d", `"x"`, "null"}, {"k", "e", "null", "true"}}
	must(t, cmp.Equal(d, want), "%s", cmp.Diff(want, d))
	c.Set(fleet.Item{Key: "tenant/t1", Revision: c.Intended.Revision, Body: json.RawMessage(`{"uid":-1}`)})
	if _, err := Expect(c.Intended, fleet.Member{Node: "n000"}); !errors.Is(err, fleet.ErrInvalid) {
		t.Errorf("a bad item: %v", err)
	}
}

// What was changed twice between two looks, or went without notice, is not known for the revisions between; before
// and after, it is.
func TestBookBetweenLooks(t *testing.T) {
	for key, change := range map[string]func(*simulation.Intent){
		"zone/z2": func(c *simulation.Intent) {
			c.Put("zone/z2", simulation.EvacuationDirective(0.5))
			c.Drop("zone/z2")
			c.Put("zone/z9", simulation.EvacuationDirective(0.5))
		},
		"tenant/t1": func(c *simulation.Intent) {
			c.Intended.Items = slices.DeleteFunc(c.Intended.Items, func(it fleet.Item) bool { return it.Key == "tenant/t1" })
			c.Put("zone/z9", simulation.EvacuationDirective(0.5))
			c.Intended.Revision += 2
		}} {
		c := simulation.Seed(1)
		b := Book{}
		self := fleet.Member{Node: "n000", Zone: "z2"}
		b.Ingest(c.Intended)
		first := c.Intended.Revision
		change(c)
		b.Ingest(c.Intended)
		for n, want := range map[uint64]bool{0: false, first: true, first + 1: false, first + 3: true} {
			held, complete := b.Expect(n, self)
			must(t, complete == want, "%s at %d of %d: %v, %v", key, n, first, complete, held)
			must(t, !complete || (BodyOf(held, key) != nil) == (n == first), "%s at %d: %v", key, n, held)
			must(t, !complete || (BodyOf(held, "zone/z9") != nil) == (n > first), "%s at %d: %v", key, n, held)
		}
	}
}

// A node may hear of the list from a replica before the detector has looked again: it is compared once the detector knows that version.
func TestListNewerThanTheDetector(t *testing.T) {
	c, b := simulation.Seed(1), Book{}
	b.Ingest(c.Intended)
	before := c.Intended.Revision
	c.Serve("s99", "ready")
	c.Intended.Revision = before // as the control plane has it: no item has changed
	m := simulation.Module{Member: fleet.Member{Node: "n000", Zone: "z2"}}
	m.Take(c.Intended)
	m.List++
	n := Compared(m.Report())
	n.Compare(&b)
	must(t, n.Redo() && !n.Judged() && !n.Asks(), "compared with a list that was not known")
	b.Ingest(c.Intended)
	n.Compare(&b)
	must(t, !n.Redo() && n.Judged() && n.Same(), "after the judge has looked")
}

// An agent that is cut off from the control plane still finds that its node holds something else, and has it sent
// again; a copy older than what the node holds makes no alarm until a replica has answered.
func TestLocal(t *testing.T) {
	c, m := simulation.Seed(1), &simulation.Module{Member: fleet.Member{Node: "n000", Zone: "z1", Incarnation: 5}}
	l, now := NewLocalDetector(Defaults()), fleet.Time(0)
	m.Take(c.Intended)
	old := c.Intended
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
		must(t, (len(resent) > 0) == Drifts(want), "re-sent %v", resent)
		return v
	}
	run(c.Intended, false, InStep)
	m.Plant = simulation.PlantItem("tenant/t2", nil)
	must(t, simulation.HasDifference(run(c.Intended, false, Diverged).Differences, "tenant/t2", ""), "not named")
	m.Plant = nil
	run(c.Intended, false, InStep)
	c.Put("zone/z2", simulation.EvacuationDirective(0.9))
	m.Take(c.Intended)
	run(old, false, InStep)
	run(old, true, Ahead)
	run(c.Intended, true, InStep)
}

func must(t rapid.TB, ok bool, format string, args ...any) {
	t.Helper()
	if !ok {
		t.Fatalf(format, args...)
	}
}
