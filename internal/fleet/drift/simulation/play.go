// Package simulation is a fleet in simulated time around the core of the drift detector: nodes that hold what they were sent
// or something else that is planted, a network that loses, doubles and delays, and leaders that change. All of a run
// comes of its seed, so it can be simulated again. It does no I/O and reads no clock. The detector's tests and the lab's
// simulate command are simulated on it (docs/drift.md).
package simulation

import (
	"fmt"
	"time"

	"meadowsill/internal/fleet/drift"
)

// Outcome is what a run came to.
type Outcome struct {
	Seed    uint64
	Planted string        // the drift that was planted, as text
	Stuck   bool          // it shows as an item that is outstanding past its bound
	Found   bool          // it was named, by state, item and field
	Took    time.Duration // from the plant to its being named; of no meaning where it was missed
	Alarm   error         // a false alarm, or a repair of what was right; nil: none
	Missed  error         // nil: found, and in time
}

// slack is what loss may add to the time in which a plant is named.
const slack = 3 * time.Second

// One runs a seed: first a fleet that is right through a rolling restart with loss, pauses, failovers and changes for
// d, then the seed's plant in one node of such a fleet at rest but for the loss. Loss is a share of the messages.
func One(seed uint64, nodes int, loss float64, d time.Duration, r Rules) Outcome {
	p := Plants[seed%uint64(len(Plants))]
	o := Outcome{Seed: seed, Planted: p.name, Stuck: p.state == drift.Stuck, Alarm: Storm(nodes, seed, loss, r, d)}
	maximum := r.Bounds.MaxLag
	if loss > 0 {
		maximum += slack
	}
	if o.Stuck {
		maximum += 1500 * ms // the first report after the bound
	}
	w := newWorld(nodes, seed, loss, r)
	w.run(8 * time.Second)
	n := w.nodes[seed/uint64(len(Plants))%uint64(nodes)]
	p.plant(w, n)
	took, last := w.found(n, p.state, p.key, p.field, maximum)
	if o.Took, o.Found = took, took <= maximum; !o.Found {
		o.Missed = fmt.Errorf("seed %d: %s: not named in %v: %+v", seed, p.name, maximum, last)
	}
	for _, v := range w.detector.Verdicts(w.now+w.skew, 0, w.state) {
		if o.Alarm == nil && v.Node != n.Node && drift.Drifts(v.State) {
			o.Alarm = fmt.Errorf("%s: another node than the one planted: %+v", p.name, v)
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
