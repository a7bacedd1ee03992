// Package simulation simulates a fleet around the drift detector: nodes that apply what they receive or have an injected
// fault, a network that loses, duplicates and delays messages, and changing leaders. A run depends only on its seed, so it can
// be repeated. The package does no I/O and reads no clock. The detector's tests and the simulate command of fleetlab use it
// (docs/drift.md).
package simulation

import (
	"fmt"
	"time"

	"meadowsill/internal/fleet/drift"
)

// Outcome is the result of a run.
type Outcome struct {
	Seed      uint64
	FaultName string        // name of the injected drift
	Stuck     bool          // the drift is detected as an item that is outstanding past its bound
	Found     bool          // the detector named the drift by state, item and field
	Took      time.Duration // time from the injection until the drift was named; meaningless if it was missed
	Alarm     error         // a false alarm, or a repair of a correct node; nil: none
	Missed    error         // nil: the drift was named in time
}

// lossDelay is the longest additional time until a drift is named if messages are lost.
const lossDelay = 3 * time.Second

// Run simulates a seed. For d it runs a fleet without drift through a rolling restart with message loss,
// pauses, failovers and changes of intent. Then it injects the seed's drift into one node of such a fleet in which only
// messages are lost. loss is the ratio of lost messages.
func Run(seed uint64, nodes int, loss float64, d time.Duration, r Rules) Outcome {
	fault := DriftFaults[seed%uint64(len(DriftFaults))]
	o := Outcome{Seed: seed, FaultName: fault.name, Stuck: fault.state == drift.Stuck, Alarm: RunWithoutDrift(nodes, seed, loss, r, d)}
	timeout := r.Bounds.MaxLag
	if loss > 0 {
		timeout += lossDelay
	}
	if o.Stuck {
		timeout += 1500 * ms // the first report after the bound
	}
	w := newWorld(nodes, seed, loss, r)
	w.run(8 * time.Second)
	n := w.nodes[seed/uint64(len(DriftFaults))%uint64(nodes)]
	fault.inject(w, n)
	took, last := w.runUntilNamed(n, fault.state, fault.key, fault.field, timeout)
	if o.Took, o.Found = took, took <= timeout; !o.Found {
		o.Missed = fmt.Errorf("seed %d: %s: not named in %v: %+v", seed, fault.name, timeout, last)
	}
	for _, v := range w.detector.Verdicts(w.now+w.skew, 0, w.state) {
		if o.Alarm == nil && v.Node != n.Node && drift.Drifts(v.State) {
			o.Alarm = fmt.Errorf("%s: a node without an injected fault drifts: %+v", fault.name, v)
		}
	}
	if o.Alarm == nil {
		o.Alarm = w.violation
	}
	if o.Alarm != nil {
		o.Alarm = fmt.Errorf("seed %d: %w", seed, o.Alarm)
	}
	return o
}
