package simulation

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"meadowsill/internal/fleet"
	. "meadowsill/internal/fleet/drift"
)

func TestNoFalseAlarm(t *testing.T) {
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		f.Value.Set("20")
		defer f.Value.Set(f.DefValue)
	}
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 12).Draw(t, "nodes")
		seed, loss := rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0, 0.05).Draw(t, "loss")
		err := Storm(nodes, seed, loss, Rules{Defaults(), paged()}, 25*time.Second)
		must(t, err == nil, "%v", err)
	})
}

// each of the hard cases is found and named: within 3 s, or for an outstanding item by the first report after its bound; and
// with 5 % loss at all.
func TestPlantedDriftIsNamed(t *testing.T) {
	took := map[string][]time.Duration{}
	for _, p := range Plants {
		for seed := range uint64(6) {
			loss, maximum := 0.0, 3*time.Second
			if seed >= 2 {
				loss, maximum = 0.05, 6*time.Second
			}
			if p.state == Stuck {
				maximum += 1500 * ms // the first report after the bound
			}
			w := newWorld(50, seed, loss, Rules{Defaults(), paged()})
			w.run(8 * time.Second)
			n := w.nodes[seed]
			p.plant(w, n)
			d, v := w.found(n, p.state, p.key, p.field, maximum)
			must(t, d <= maximum, "%s, seed %d, loss %v: %+v", p.name, seed, loss, v)
			kind := fmt.Sprintf("loss %v, stuck %v", loss, p.state == Stuck)
			took[kind] = append(took[kind], d)
			for _, o := range w.detector.Verdicts(w.now+w.skew, 0, w.state) {
				must(t, o.Node == n.Node || !Drifts(o.State), "%s: %+v", p.name, o)
			}
			w.run(5 * time.Second)
			must(t, (w.resent > 0) == (p.state != Overridden), "%s: %d items re-sent", p.name, w.resent)
			must(t, w.violation == nil, "%s: %v", p.name, w.violation)
		}
	}
	for kind, d := range took {
		slices.Sort(d)
		t.Logf("%s: %d plants found and named in %v at p50, %v at p99", kind, len(d), d[len(d)/2], d[len(d)*99/100])
	}
}

// What a replayed report of an earlier incarnation, or an earlier one of this, changes: nothing.
func TestReplaysChangeNothing(t *testing.T) {
	h := newHarness(12)
	var old []fleet.Report
	h.nodes[0].Plant = above // the earlier run drifted
	h.run(2 * time.Second)
	for range 3 {
		old = append(old, h.nodes[0].Report())
		h.send(h.nodes[0])
	}
	h.nodes[0].Incarnation += 5
	h.present[0].Incarnation += 5
	h.mend()
	h.run(2 * time.Second)
	for _, newLeader := range []bool{false, true} {
		if newLeader {
			h.j.Lead(h.now, h.st)
		}
		before, _ := json.Marshal([]any{h.j.Verdicts(h.now, 0, h.st), h.st})
		for _, o := range old {
			err := h.j.Observe(h.now, fleet.NodeView{Member: o.Member, Report: o})
			must(t, errors.Is(err, fleet.ErrFenced), "replay: %v", err)
		}
		h.step()
		after, _ := json.Marshal([]any{h.j.Verdicts(h.now, 0, h.st), h.st})
		must(t, cmp.Equal(before, after), "%s", cmp.Diff(string(before), string(after)))
	}
	late := Command{Set: []Change{{Verdict: Verdict{Member: old[0].Member, State: Ahead}, IfRevision: h.st.Verdicts[old[0].Node].Revision}}}
	must(t, errors.Is(h.st.Apply(late, nil), fleet.ErrFenced), "a command on an older incarnation")
	events["left|the node's last report said leaving"](h) // and what comes late does not bring back a node that left
	h.j.Lead(h.now, h.st)
	err := h.j.Observe(h.now, fleet.NodeView{Member: h.nodes[0].Member, Report: h.nodes[0].Report()})
	must(t, errors.Is(err, fleet.ErrFenced) && h.verdict(0).State == "none", "%v: %+v", err, h.verdict(0))
}

// The verdict and its first-seen outlive three failovers and a snapshot; at no time is another state shown.
func TestFirstSeenSurvivesFailover(t *testing.T) {
	for _, state := range []string{Stuck, Diverged, Ahead, Overridden, "behaviour"} {
		h := newHarness(12)
		h.run(5 * time.Second)
		if state == "behaviour" {
			state, h.nodes[0].falsifyCounts = Diverged, sent(1, 1<<30)
			h.run(3 * time.Second)
		} else {
			starts[state](h)
		}
		h.run(time.Second)
		first := h.verdict(0)
		must(t, first.State == state && first.FirstSeenMS > 0, "%s: %+v", state, first)
		for range 3 {
			snapshot, _ := json.Marshal(h.st)
			h.st = &State{}
			err := json.Unmarshal(snapshot, h.st)
			must(t, err == nil, "%v", err)
			h.now += 7 * time.Minute // another process's clock
			h.j = NewDetector(Defaults())
			h.j.Lead(h.now, h.st)
			h.each = func() {
				v := h.verdict(0)
				must(t, v.State == state && v.FirstSeenMS == first.FirstSeenMS && v.FirstRevision == first.FirstRevision, "%+v, then %+v", first, v)
			}
			h.run(5 * time.Second)
		}
		must(t, h.verdict(0).Count > first.Count, "count %d, then %d", first.Count, h.verdict(0).Count)
	}
}

func TestFleets(t *testing.T) {
	for name, check := range map[string]func(Rules) error{"AllDrift": AllDrift, "SomeDrift": SomeDrift,
		"RollingRestartOf300": func(r Rules) error { return Storm(300, 1, 0.05, r, 30*time.Second) }} {
		t.Run(name, func(t *testing.T) {
			err := check(Rules{Defaults(), paged()})
			must(t, err == nil, "%v", err)
		})
	}
}

// Each planted fault of the detector itself is caught by the test that is there for it.
func TestFaultsOfTheDetectorAreCaught(t *testing.T) {
	calm := func(r Rules) error { return Storm(12, 1, 0.05, r, 30*time.Second) }
	for name, c := range map[string]struct {
		break_ func(*Bounds)
		check  func(Rules) error
	}{
		"catching up has no bound to speak of": {func(b *Bounds) { b.MaxLag = 100 * ms }, calm},
		"silence is not noticed":               {func(b *Bounds) { b.ReportLifetime = time.Hour }, calm},
		"ahead is said at once":                {func(b *Bounds) { b.MaxAheadTime = 0 }, calm},
		"it never doubts itself":               {func(b *Bounds) { b.SuspectSelfPart = 2 }, AllDrift},
		"it doubts itself too late":            {func(b *Bounds) { b.InitialRepairDelay = 10 * ms }, AllDrift},
		"any number may be out":                {func(b *Bounds) { b.MaxTakenOutPart = 1 }, SomeDrift},
		"nothing is damped":                    {func(b *Bounds) { b.RelapseWindow = 0 }, SomeDrift},
	} {
		b := Defaults()
		c.break_(&b)
		if err := c.check(Rules{b, paged()}); err == nil || errors.Is(err, errUnlistedVerdict) {
			t.Errorf("%s: not caught: %v", name, err)
		} else {
			t.Logf("%s: %.200v", name, err)
		}
	}
}
