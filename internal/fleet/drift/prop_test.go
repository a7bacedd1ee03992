package drift

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

	"starlingvalve/internal/fleet"
)

// storm plays a rolling restart with loss, pauses of 10 s, failovers, leaders that stop for 10 s, clocks apart by 2 s
// and changes of intent all along. Nothing drifts, so the error is a false alarm, a silent node in step, or a repair.
func storm(nodes int, seed uint64, loss float64, b Bounds, d time.Duration) (err error) {
	w := newWorld(nodes, seed, loss, b)
	w.judged = w.calm(func(format string, args ...any) {
		if err == nil {
			err = fmt.Errorf(format, args...)
		}
	})
	w.run(5 * time.Second)
	w.roll(d * 2 / 3 / time.Duration(nodes))
	for end := w.now + d; w.now < end && err == nil; {
		w.run(time.Duration(100+w.rng.IntN(900)) * ms)
		w.churn()
		if n := w.nodes[w.rng.IntN(nodes)]; w.rng.IntN(10) == 0 {
			n.paused = w.now + 10*time.Second
		}
		switch w.rng.IntN(60) {
		case 0:
			w.failover()
		case 1:
			w.paused = w.now + 10*time.Second
		}
		if len(w.old) > 0 { // a replay of some earlier report, of this run of the node or of one before
			r := w.old[w.rng.IntN(len(w.old))]
			if w.j.Observe(w.now+w.skew, fleet.NodeView{Member: r.Member, Report: r}) == nil { // it had been lost
				w.node(r.Node).heardAt = w.now
			}
		}
	}
	w.run(12 * time.Second)
	var sum Summary
	for range 100 {
		if sum = w.j.Summary(w.now+w.skew, w.st); err != nil || sum.States[InStep] == nodes {
			break
		}
		w.run(100 * ms)
	}
	switch {
	case err != nil:
		return err
	case w.resent > 0:
		return fmt.Errorf("%d items re-sent", w.resent)
	case sum.States[InStep] < nodes-nodes/50:
		return fmt.Errorf("at the end %+v", sum)
	}
	return nil
}

func TestNoFalseAlarm(t *testing.T) {
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		f.Value.Set("20")
		defer f.Value.Set(f.DefValue)
	}
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 12).Draw(t, "nodes")
		seed, loss := rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0, 0.05).Draw(t, "loss")
		err := storm(nodes, seed, loss, Defaults(), 25*time.Second)
		must(t, err == nil, "%v", err)
	})
}

// each of the hard cases is found and named: within 3 s, or for an outstanding item by the first report after its bound; and
// with 5 % loss at all.
func TestPlantedDriftIsNamed(t *testing.T) {
	took := map[string][]time.Duration{}
	for _, p := range plants {
		for seed := range uint64(6) {
			loss, most := 0.0, 3*time.Second
			if seed >= 2 {
				loss, most = 0.05, 6*time.Second
			}
			if p.state == Stuck {
				most += 1500 * ms // the first report after the bound
			}
			w := newWorld(50, seed, loss, Defaults())
			w.run(8 * time.Second)
			n := w.nodes[seed]
			p.plant(w, n)
			d, v := w.found(n, p.state, p.key, p.field, most)
			must(t, d <= most, "%s, seed %d, loss %v: %+v", p.name, seed, loss, v)
			kind := fmt.Sprintf("loss %v, stuck %v", loss, p.state == Stuck)
			took[kind] = append(took[kind], d)
			for _, o := range w.j.Verdicts(w.now+w.skew, 0, w.st) {
				must(t, o.Node == n.Node || !drifts(o.State), "%s: %+v", p.name, o)
			}
			w.run(5 * time.Second)
			must(t, (w.resent > 0) == (p.state != Overridden), "%s: %d items re-sent", p.name, w.resent)
		}
	}
	for kind, d := range took {
		slices.Sort(d)
		t.Logf("%s: %d plants found and named in %v at p50, %v at p99", kind, len(d), d[len(d)/2], d[len(d)*99/100])
	}
}

// What a replayed report of an earlier incarnation, or an earlier one of this, changes: nothing.
func TestReplaysChangeNothing(t *testing.T) {
	r := newRig(12)
	var old []fleet.Report
	r.nodes[0].plant = above // the earlier run drifted
	r.run(2 * time.Second)
	for range 3 {
		old = append(old, r.nodes[0].report())
		r.send(r.nodes[0])
	}
	r.nodes[0].Incarnation += 5
	r.present[0].Incarnation += 5
	r.mend()
	r.run(2 * time.Second)
	for _, office := range []bool{false, true} {
		if office {
			r.j.Office(r.now, r.st)
		}
		before, _ := json.Marshal([]any{r.j.Verdicts(r.now, 0, r.st), r.st})
		for _, o := range old {
			err := r.j.Observe(r.now, fleet.NodeView{Member: o.Member, Report: o})
			must(t, errors.Is(err, fleet.ErrFenced), "replay: %v", err)
		}
		r.step()
		after, _ := json.Marshal([]any{r.j.Verdicts(r.now, 0, r.st), r.st})
		must(t, cmp.Equal(before, after), "%s", cmp.Diff(string(before), string(after)))
	}
	late := Command{Set: []Change{{Verdict{Member: old[0].Member, State: Ahead}, r.st.Verdicts[old[0].Node].Rev}}}
	must(t, errors.Is(r.st.Apply(late, nil), fleet.ErrFenced), "a command on an older incarnation")
	events["left|the node's last report said leaving"](r) // and what comes late does not bring back a node that left
	r.j.Office(r.now, r.st)
	err := r.j.Observe(r.now, fleet.NodeView{Member: r.nodes[0].Member, Report: r.nodes[0].report()})
	must(t, errors.Is(err, fleet.ErrFenced) && r.verdict(0).State == "none", "%v: %+v", err, r.verdict(0))
}

// The verdict and its first-seen outlive three failovers and a snapshot; at no time is another state shown.
func TestFirstSeenSurvivesFailover(t *testing.T) {
	for _, state := range []string{Stuck, Diverged, Ahead, Overridden, "behaviour"} {
		r := newRig(12)
		r.run(5 * time.Second)
		if state == "behaviour" {
			state, r.nodes[0].counts = Diverged, sent(1, 1<<30)
			r.run(3 * time.Second)
		} else {
			starts[state](r)
		}
		r.run(time.Second)
		first := r.verdict(0)
		must(t, first.State == state && first.FirstSeenMS > 0, "%s: %+v", state, first)
		for range 3 {
			snapshot, _ := json.Marshal(r.st)
			r.st = &State{}
			err := json.Unmarshal(snapshot, r.st)
			must(t, err == nil, "%v", err)
			r.now += 7 * time.Minute // another process's clock
			r.j = NewJudge(Defaults())
			r.j.Office(r.now, r.st)
			r.each = func() {
				v := r.verdict(0)
				must(t, v.State == state && v.FirstSeenMS == first.FirstSeenMS && v.FirstRev == first.FirstRev, "%+v, then %+v", first, v)
			}
			r.run(5 * time.Second)
		}
		must(t, r.verdict(0).Count > first.Count, "count %d, then %d", first.Count, r.verdict(0).Count)
	}
}

// allDrift has all of 300 nodes hold something else: a detector that repairs them is the error.
func allDrift(b Bounds) error {
	w := newWorld(300, 3, 0.05, b)
	w.run(8 * time.Second)
	for _, n := range w.nodes {
		n.plant = change("zone/z2", nil)
	}
	w.run(15 * time.Second)
	sum := w.j.Summary(w.now+w.skew, w.st)
	if w.resent > 0 || w.outMax > 0 || len(sum.Repairs) > 0 {
		return fmt.Errorf("re-sent %d, out %d: %+v", w.resent, w.outMax, sum)
	}
	if sum.States[Diverged] < 290 || !sum.Suspect || !slices.ContainsFunc(w.j.Log(0), func(e Entry) bool { return e.Act == ActDoubt }) {
		return fmt.Errorf("it does not say so: %+v", sum)
	}
	for _, n := range w.nodes {
		n.plant = nil
	}
	w.run(15 * time.Second)
	if sum := w.j.Summary(w.now+w.skew, w.st); sum.Suspect {
		return fmt.Errorf("it does not trust itself again: %+v", sum)
	}
	return nil
}

// someDrift has 8 of 40 nodes hold something else for good: too many out at once is the error, and so are a node that is
// restarted without three re-sends, one that is not back once it is right, and more acts than the damping allows.
func someDrift(b Bounds) error {
	w := newWorld(40, 4, 0.02, b)
	w.run(8 * time.Second)
	for _, n := range w.nodes[:8] {
		n.plant = change("zone/z2", nil)
	}
	w.run(90 * time.Second)
	if w.outMax != 4 {
		return fmt.Errorf("%d out, want 4 of 40", w.outMax)
	}
	acts := map[string]int{}
	for _, e := range w.j.Log(0) {
		acts[e.Act+e.Node]++
		if e.Act == ActOut && (acts[ActResend+e.Node] != 3 || acts[ActRestart+e.Node] != 1) {
			return fmt.Errorf("%+v after %v", e, acts)
		}
	}
	for _, n := range w.nodes[:8] {
		n.plant = nil
	}
	w.run(30 * time.Second)
	if sum := w.j.Summary(w.now+w.skew, w.st); sum.States[InStep] < 39 || len(sum.Repairs) > 0 {
		return fmt.Errorf("not back: %+v", sum)
	}
	before := len(w.j.Log(0))
	for range 60 { // one that flaps: wrong for 4 s, right for 2 s
		w.nodes[0].plant = change("zone/z2", nil)
		w.run(4 * time.Second)
		w.nodes[0].plant = nil
		w.run(2 * time.Second)
	}
	if acts := len(w.j.Log(0)) - before; acts > 12 {
		return fmt.Errorf("%d acts on a node that flapped 60 times", acts)
	}
	return nil
}

func TestFleets(t *testing.T) {
	for name, check := range map[string]func(Bounds) error{"AllDrift": allDrift, "SomeDrift": someDrift,
		"RollingRestartOf300": func(b Bounds) error { return storm(300, 1, 0.05, b, 30*time.Second) }} {
		t.Run(name, func(t *testing.T) {
			err := check(Defaults())
			must(t, err == nil, "%v", err)
		})
	}
}

// Each planted fault of the detector itself is caught by the test that is there for it.
func TestFaultsOfTheDetectorAreCaught(t *testing.T) {
	calm := func(b Bounds) error { return storm(12, 1, 0.05, b, 30*time.Second) }
	for name, c := range map[string]struct {
		break_ func(*Bounds)
		check  func(Bounds) error
	}{
		"catching up has no bound to speak of": {func(b *Bounds) { b.CatchUp = 100 * ms }, calm},
		"silence is not noticed":               {func(b *Bounds) { b.Fresh = time.Hour }, calm},
		"ahead is said at once":                {func(b *Bounds) { b.Ahead = 0 }, calm},
		"it never doubts itself":               {func(b *Bounds) { b.DoubtShare = 2 }, allDrift},
		"it doubts itself too late":            {func(b *Bounds) { b.Wait = 10 * ms }, allDrift},
		"any number may be out":                {func(b *Bounds) { b.OutShare = 1 }, someDrift},
		"nothing is damped":                    {func(b *Bounds) { b.Damp = 0 }, someDrift},
	} {
		b := Defaults()
		c.break_(&b)
		if err := c.check(b); err == nil {
			t.Errorf("%s: not caught", name)
		} else {
			t.Logf("%s: %.200v", name, err)
		}
	}
}
