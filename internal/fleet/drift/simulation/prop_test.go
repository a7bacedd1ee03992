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
		err := RunWithoutDrift(nodes, seed, loss, Rules{Defaults(), pageRows()}, 25*time.Second)
		must(t, err == nil, "%v", err)
	})
}

// The detector must name every drift fault within 3 s, or an outstanding item by the first report after its bound. With
// 5 % message loss it must still name them, with 3 s more.
func TestPlantedDriftIsNamed(t *testing.T) {
	took := map[string][]time.Duration{}
	for _, fault := range DriftFaults {
		for seed := range uint64(6) {
			loss, timeout := 0.0, 3*time.Second
			if seed >= 2 {
				loss, timeout = 0.05, 6*time.Second
			}
			if fault.state == Stuck {
				timeout += 1500 * ms // the first report after the bound
			}
			w := newWorld(50, seed, loss, Rules{Defaults(), pageRows()})
			w.run(8 * time.Second)
			n := w.nodes[seed]
			fault.inject(w, n)
			d, v := w.runUntilNamed(n, fault.state, fault.key, fault.field, timeout)
			must(t, d <= timeout, "%s, seed %d, loss %v: not named in time: %+v", fault.name, seed, loss, v)
			kind := fmt.Sprintf("loss %v, stuck %v", loss, fault.state == Stuck)
			took[kind] = append(took[kind], d)
			for _, o := range w.detector.Verdicts(w.now+w.skew, 0, w.state) {
				must(t, o.Node == n.Node || !Drifts(o.State), "%s: %+v", fault.name, o)
			}
			w.run(5 * time.Second)
			must(t, (w.resent > 0) == (fault.state != Overridden), "%s: %d items re-sent", fault.name, w.resent)
			must(t, w.violation == nil, "%s: %v", fault.name, w.violation)
		}
	}
	for kind, d := range took {
		slices.Sort(d)
		t.Logf("%s: %d faults named in %v at p50, %v at p99", kind, len(d), d[len(d)/2], d[len(d)*99/100])
	}
}

// A replayed report of an earlier incarnation, or an earlier report of the current one, must change nothing.
func TestReplaysChangeNothing(t *testing.T) {
	h := newHarness(12)
	var old []fleet.Report
	h.nodes[0].AlterApplied = neverCommitted // the earlier run drifts
	h.run(2 * time.Second)
	for range 3 {
		old = append(old, h.nodes[0].Report())
		h.sendReport(h.nodes[0])
	}
	h.nodes[0].Incarnation += 5
	h.present[0].Incarnation += 5
	h.resetFirstNode()
	h.run(2 * time.Second)
	for _, newLeader := range []bool{false, true} {
		if newLeader {
			h.detector.Lead(h.now, h.replicatedState)
		}
		before, _ := json.Marshal([]any{h.detector.Verdicts(h.now, 0, h.replicatedState), h.replicatedState})
		for _, o := range old {
			err := h.detector.Observe(h.now, fleet.NodeView{Member: o.Member, Report: o})
			must(t, errors.Is(err, fleet.ErrFenced), "replay: %v", err)
		}
		h.step()
		after, _ := json.Marshal([]any{h.detector.Verdicts(h.now, 0, h.replicatedState), h.replicatedState})
		must(t, cmp.Equal(before, after), "%s", cmp.Diff(string(before), string(after)))
	}
	outdated := Command{Set: []Change{{Verdict: Verdict{Member: old[0].Member, State: Ahead}, IfRevision: h.replicatedState.Verdicts[old[0].Node].Revision}}}
	must(t, errors.Is(h.replicatedState.Apply(outdated, nil), fleet.ErrFenced), "a command for an older incarnation was accepted")
	events["left|the node's last report said leaving"](h) // a late report must not bring back a node that has left
	h.detector.Lead(h.now, h.replicatedState)
	err := h.detector.Observe(h.now, fleet.NodeView{Member: h.nodes[0].Member, Report: h.nodes[0].Report()})
	must(t, errors.Is(err, fleet.ErrFenced) && h.verdict(0).State == "none", "%v: %+v", err, h.verdict(0))
}

// The verdict and its first-seen time must survive three failovers with a snapshot each, without any other state in
// between.
func TestFirstSeenSurvivesFailover(t *testing.T) {
	for _, state := range []string{Stuck, Diverged, Ahead, Overridden, "behaviour"} {
		h := newHarness(12)
		h.run(5 * time.Second)
		if state == "behaviour" {
			state, h.nodes[0].falsifyCounts = Diverged, countAttempts(1, 1<<30)
			h.run(3 * time.Second)
		} else {
			starts[state](h)
		}
		h.run(time.Second)
		first := h.verdict(0)
		must(t, first.State == state && first.FirstSeenMS > 0, "%s: %+v", state, first)
		for range 3 {
			snapshot, _ := json.Marshal(h.replicatedState)
			h.replicatedState = &State{}
			err := json.Unmarshal(snapshot, h.replicatedState)
			must(t, err == nil, "%v", err)
			h.now += 7 * time.Minute // the clock of another process
			h.detector = NewDetector(Defaults())
			h.detector.Lead(h.now, h.replicatedState)
			h.afterStep = func() {
				v := h.verdict(0)
				must(t, v.State == state && v.FirstSeenMS == first.FirstSeenMS && v.FirstRevision == first.FirstRevision, "%+v, then %+v", first, v)
			}
			h.run(5 * time.Second)
		}
		must(t, h.verdict(0).Count > first.Count, "count %d, then %d", first.Count, h.verdict(0).Count)
	}
}

func TestFleets(t *testing.T) {
	for name, scenario := range map[string]func(Rules) error{"AllDrift": AllDrift, "SomeDrift": SomeDrift,
		"RollingRestartOf300": func(r Rules) error { return RunWithoutDrift(300, 1, 0.05, r, 30*time.Second) }} {
		t.Run(name, func(t *testing.T) {
			err := scenario(Rules{Defaults(), pageRows()})
			must(t, err == nil, "%v", err)
		})
	}
}

// Each injected fault of the detector itself must be caught by the scenario that covers it.
func TestFaultsOfTheDetectorAreCaught(t *testing.T) {
	runWithoutDrift := func(r Rules) error { return RunWithoutDrift(12, 1, 0.05, r, 30*time.Second) }
	for name, c := range map[string]struct {
		breakBounds func(*Bounds)
		scenario    func(Rules) error
	}{
		"catching up has a bound of only 100 ms": {func(b *Bounds) { b.MaxLag = 100 * ms }, runWithoutDrift},
		"silence is not detected":                {func(b *Bounds) { b.ReportLifetime = time.Hour }, runWithoutDrift},
		"ahead is reported at once":              {func(b *Bounds) { b.MaxAheadTime = 0 }, runWithoutDrift},
		"the detector never suspects itself":     {func(b *Bounds) { b.SuspectSelfPart = 2 }, AllDrift},
		"repairs start before the suspicion":     {func(b *Bounds) { b.InitialRepairDelay = 10 * ms }, AllDrift},
		"any number of nodes may be taken out":   {func(b *Bounds) { b.MaxTakenOutPart = 1 }, SomeDrift},
		"relapses don't delay repairs":           {func(b *Bounds) { b.RelapseWindow = 0 }, SomeDrift},
	} {
		b := Defaults()
		c.breakBounds(&b)
		if err := c.scenario(Rules{b, pageRows()}); err == nil || errors.Is(err, errUnlistedVerdict) {
			t.Errorf("%s: not caught: %v", name, err)
		} else {
			t.Logf("%s: %.200v", name, err)
		}
	}
}
