package simulation

import (
	"time"

	"pgregory.net/rapid"

	"meadowsill/internal/fleet"
	. "meadowsill/internal/fleet/drift"
)

// harness is a leader and a few nodes without a network. The first node is the one under test.
type harness struct {
	*Intent
	detector        *Detector
	replicatedState *State
	now             fleet.Time
	revision        uint64
	nodes           []*SimulatedModule
	present         []fleet.Member
	firstNodeMuted  bool // the first node sends no reports
	lateSteps       map[string][]Difference
	afterStep       func()
	rejected        []error
}

func newHarness(nodes int) *harness {
	h := &harness{Intent: NewIntent(nodes), detector: NewDetector(Defaults()), replicatedState: &State{}, now: time.Hour}
	for i := range nodes {
		h.nodes = append(h.nodes, &SimulatedModule{Member: fleet.Member{Node: nodeName(i), Zone: "z1", Incarnation: 100}, local: []fleet.AppliedItem{settings(nodes)}})
		h.present = append(h.present, h.nodes[i].Member)
	}
	h.deliverIntent()
	h.detector.Lead(h.now, h.replicatedState)
	return h
}

func (h *harness) deliverIntent() {
	for _, m := range h.nodes {
		m.ApplyIntent(h.Intended)
	}
}

// sendReport sends a node's report to the detector, and gives the answer to the node.
func (h *harness) sendReport(m *SimulatedModule) (resend []string) {
	if err := h.detector.Observe(h.now, fleet.NodeView{Member: m.Member, ReceivedAt: h.now, Report: m.Report()}); err != nil {
		h.rejected = append(h.rejected, err)
	}
	resend, m.Wanted, _, _ = h.detector.Answer(m.Node)
	return resend
}

func (h *harness) step() {
	in := h.Intended
	in.LateSteps = h.lateSteps
	for _, c := range h.detector.Step(h.now, h.replicatedState, in, h.present) {
		c.AtMS = int64(h.now / ms)
		h.replicatedState.Apply(c, func() uint64 { h.revision++; return h.revision })
	}
}

// run advances the time: a step every 100 ms, and a report every 500 ms, or at once if the detector requested one.
func (h *harness) run(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += 100 * ms
		for i, m := range h.nodes {
			if (i > 0 || !h.firstNodeMuted) && (h.now%(500*ms) == 0 || m.Wanted != nil) {
				h.sendReport(m)
			}
		}
		h.step()
		if h.afterStep != nil {
			h.afterStep()
		}
	}
}

func (h *harness) verdict(i int) Verdict {
	for _, v := range h.detector.Verdicts(h.now, int64(h.now/ms), h.replicatedState) {
		if v.Node == nodeName(i) {
			return v
		}
	}
	return Verdict{State: "none"}
}

// resetFirstNode removes the faults of the first node.
func (h *harness) resetFirstNode() {
	m := h.nodes[0]
	*m = SimulatedModule{Member: m.Member, sequence: m.sequence, local: []fleet.AppliedItem{settings(len(h.nodes))}}
	h.firstNodeMuted = false
	m.ApplyIntent(h.Intended)
}

func must(t rapid.TB, ok bool, format string, args ...any) {
	t.Helper()
	if !ok {
		t.Fatalf(format, args...)
	}
}
