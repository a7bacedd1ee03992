package simulation

import (
	"fmt"
	"slices"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/drift"
)

// Storm runs a rolling restart with loss, pauses of 10 s, failovers, leaders that stop for 10 s, clocks apart by 2 s
// and changes of intent all along. Nothing drifts, so the error is a false alarm, a silent node in step, or a repair.
func Storm(nodes int, seed uint64, loss float64, r Rules, d time.Duration) (err error) {
	w := newWorld(nodes, seed, loss, r)
	w.onVerdict = w.calm(func(format string, args ...any) {
		if err == nil {
			err = fmt.Errorf(format, args...)
		}
	})
	w.run(5 * time.Second)
	w.roll(d * 2 / 3 / time.Duration(nodes))
	for end := w.now + d; w.now < end && err == nil; {
		w.run(time.Duration(100+w.random.IntN(900)) * ms)
		w.churn()
		if n := w.nodes[w.random.IntN(nodes)]; w.random.IntN(10) == 0 {
			n.paused = w.now + 10*time.Second
		}
		switch w.random.IntN(60) {
		case 0:
			w.failover()
		case 1:
			w.paused = w.now + 10*time.Second
		}
		if len(w.replayable) > 0 { // a replay of some earlier report, of this run of the node or of one before
			old := w.replayable[w.random.IntN(len(w.replayable))]
			if w.detector.Observe(w.now+w.skew, fleet.NodeView{Member: old.Member, Report: old}) == nil { // it had been lost
				w.node(old.Node).heardAt = w.now
			}
		}
	}
	w.run(12 * time.Second)
	var sum drift.Summary
	for range 100 {
		if sum = w.detector.Summary(w.now+w.skew, w.state); err != nil || sum.States[drift.InStep] == nodes {
			break
		}
		w.run(100 * ms)
	}
	switch {
	case err != nil:
		return err
	case w.violation != nil:
		return w.violation
	case w.resent > 0:
		return fmt.Errorf("%d items re-sent", w.resent)
	case sum.States[drift.InStep] < nodes-nodes/50:
		return fmt.Errorf("at the end %+v", sum)
	}
	return nil
}

// AllDrift has all of 300 nodes hold something else: a detector that repairs them is the error.
func AllDrift(r Rules) error {
	w := newWorld(300, 3, 0.05, r)
	w.run(8 * time.Second)
	for _, n := range w.nodes {
		n.Plant = PlantItem("zone/z2", nil)
	}
	w.run(15 * time.Second)
	sum := w.detector.Summary(w.now+w.skew, w.state)
	if w.resent > 0 || w.maxTakenOut > 0 || len(sum.Repairs) > 0 {
		return fmt.Errorf("re-sent %d, out %d: %+v", w.resent, w.maxTakenOut, sum)
	}
	if sum.States[drift.Diverged] < 290 || !sum.SelfSuspecting || !slices.ContainsFunc(w.detector.Log(0), func(e drift.LogEntry) bool { return e.Action == drift.ActSuspectSelf }) {
		return fmt.Errorf("it does not say so: %+v", sum)
	}
	for _, n := range w.nodes {
		n.Plant = nil
	}
	w.run(15 * time.Second)
	if sum := w.detector.Summary(w.now+w.skew, w.state); sum.SelfSuspecting {
		return fmt.Errorf("it does not trust itself again: %+v", sum)
	}
	return w.violation
}

// SomeDrift has 8 of 40 nodes hold something else for good: too many out at once is the error, and so are a node that is
// restarted without three re-sends, one that is not back once it is right, and more acts than the damping allows.
func SomeDrift(r Rules) error {
	w := newWorld(40, 4, 0.02, r)
	w.run(8 * time.Second)
	for _, n := range w.nodes[:8] {
		n.Plant = PlantItem("zone/z2", nil)
	}
	w.run(90 * time.Second)
	if w.maxTakenOut != 4 {
		return fmt.Errorf("%d out, want 4 of 40", w.maxTakenOut)
	}
	acts := map[string]int{}
	for _, e := range w.detector.Log(0) {
		acts[e.Action+e.Node]++
		if e.Action == drift.ActTakeOut && (acts[drift.ActResend+e.Node] != 3 || acts[drift.ActRestart+e.Node] != 1) {
			return fmt.Errorf("%+v after %v", e, acts)
		}
	}
	for _, n := range w.nodes[:8] {
		n.Plant = nil
	}
	w.run(30 * time.Second)
	if sum := w.detector.Summary(w.now+w.skew, w.state); sum.States[drift.InStep] < 39 || len(sum.Repairs) > 0 {
		return fmt.Errorf("not back: %+v", sum)
	}
	before := len(w.detector.Log(0))
	for range 60 { // one that flaps: wrong for 4 s, right for 2 s
		w.nodes[0].Plant = PlantItem("zone/z2", nil)
		w.run(4 * time.Second)
		w.nodes[0].Plant = nil
		w.run(2 * time.Second)
	}
	if acts := len(w.detector.Log(0)) - before; acts > 12 {
		return fmt.Errorf("%d acts on a node that flapped 60 times", acts)
	}
	return w.violation
}
