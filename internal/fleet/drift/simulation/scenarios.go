package simulation

import (
	"fmt"
	"slices"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/drift"
)

// RunWithoutDrift runs a rolling restart with message loss, pauses of 10 s, failovers, leaders that stop for 10 s, clocks that
// differ by 2 s and continuous changes of intent. No node drifts, so a false alarm, a silent node that is shown in step,
// or a repair is returned as an error.
func RunWithoutDrift(nodes int, seed uint64, loss float64, r Rules, d time.Duration) (err error) {
	w := newWorld(nodes, seed, loss, r)
	w.onVerdict = w.checkNoDrift(func(format string, args ...any) {
		if err == nil {
			err = fmt.Errorf(format, args...)
		}
	})
	w.run(5 * time.Second)
	w.rollingRestart(d * 2 / 3 / time.Duration(nodes))
	for end := w.now + d; w.now < end && err == nil; {
		w.run(time.Duration(100+w.random.IntN(900)) * ms)
		w.changeIntent()
		if n := w.nodes[w.random.IntN(nodes)]; w.random.IntN(10) == 0 {
			n.pausedUntil = w.now + 10*time.Second
		}
		switch w.random.IntN(60) {
		case 0:
			w.failover()
		case 1:
			w.pausedUntil = w.now + 10*time.Second
		}
		if len(w.replayable) > 0 { // replay an earlier report, of this run of the node or of a previous one
			old := w.replayable[w.random.IntN(len(w.replayable))]
			if w.detector.Observe(w.now+w.skew, fleet.NodeView{Member: old.Member, Report: old}) == nil { // the report had been lost before
				w.node(old.Node).lastReportAt = w.now
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
		return fmt.Errorf("too few nodes are in step at the end: %+v", sum)
	}
	return nil
}

// AllDrift makes all of 300 nodes differ from the intent. It returns an error if the detector repairs them, doesn't
// suspect itself, or still suspects itself after the nodes are correct again.
func AllDrift(r Rules) error {
	w := newWorld(300, 3, 0.05, r)
	w.run(8 * time.Second)
	for _, n := range w.nodes {
		n.AlterApplied = ReplaceItem("zone/z2", nil)
	}
	w.run(15 * time.Second)
	sum := w.detector.Summary(w.now+w.skew, w.state)
	if w.resent > 0 || w.maxTakenOut > 0 || len(sum.Repairs) > 0 {
		return fmt.Errorf("%d items re-sent, %d nodes taken out: %+v", w.resent, w.maxTakenOut, sum)
	}
	if sum.States[drift.Diverged] < 290 || !sum.SelfSuspecting || !slices.ContainsFunc(w.detector.Log(0), func(e drift.LogEntry) bool { return e.Action == drift.ActSuspectSelf }) {
		return fmt.Errorf("the detector does not report that it suspects itself: %+v", sum)
	}
	for _, n := range w.nodes {
		n.AlterApplied = nil
	}
	w.run(15 * time.Second)
	if sum := w.detector.Summary(w.now+w.skew, w.state); sum.SelfSuspecting {
		return fmt.Errorf("the detector still suspects itself: %+v", sum)
	}
	return w.violation
}

// SomeDrift makes 8 of 40 nodes differ permanently. It returns an error if too many nodes are taken out at the same
// time, if a node is restarted without three re-sends, if a corrected node is not back in the load balancer, or if there
// are more repair actions than the damping allows.
func SomeDrift(r Rules) error {
	w := newWorld(40, 4, 0.02, r)
	w.run(8 * time.Second)
	for _, n := range w.nodes[:8] {
		n.AlterApplied = ReplaceItem("zone/z2", nil)
	}
	w.run(90 * time.Second)
	if w.maxTakenOut != 4 {
		return fmt.Errorf("%d nodes taken out at once, want 4 of 40", w.maxTakenOut)
	}
	actions := map[string]int{}
	for _, e := range w.detector.Log(0) {
		actions[e.Action+e.Node]++
		if e.Action == drift.ActTakeOut && (actions[drift.ActResend+e.Node] != 3 || actions[drift.ActRestart+e.Node] != 1) {
			return fmt.Errorf("%+v came after the actions %v", e, actions)
		}
	}
	for _, n := range w.nodes[:8] {
		n.AlterApplied = nil
	}
	w.run(30 * time.Second)
	if sum := w.detector.Summary(w.now+w.skew, w.state); sum.States[drift.InStep] < 39 || len(sum.Repairs) > 0 {
		return fmt.Errorf("not all nodes are in step and free of repairs: %+v", sum)
	}
	before := len(w.detector.Log(0))
	for range 60 { // a flapping node: differs for 4 s, then is correct for 2 s
		w.nodes[0].AlterApplied = ReplaceItem("zone/z2", nil)
		w.run(4 * time.Second)
		w.nodes[0].AlterApplied = nil
		w.run(2 * time.Second)
	}
	if actions := len(w.detector.Log(0)) - before; actions > 12 {
		return fmt.Errorf("%d actions on a node that flapped 60 times", actions)
	}
	return w.violation
}
