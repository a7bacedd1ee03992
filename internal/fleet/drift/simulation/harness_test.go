package simulation

import (
	"time"

	"pgregory.net/rapid"

	"meadowsill/internal/fleet"
	. "meadowsill/internal/fleet/drift"
)

// harness is a leader and a few nodes without a network: the first node is the one that is tested.
type harness struct {
	*Intent
	j       *Detector
	st      *State
	now     fleet.Time
	rev     uint64
	nodes   []*Module
	present []fleet.Member
	quiet   bool // the first node sends nothing
	late    map[string][]Difference
	each    func()
	refused []error
}

func newHarness(nodes int) *harness {
	h := &harness{Intent: Seed(nodes), j: NewDetector(Defaults()), st: &State{}, now: time.Hour}
	for i := range nodes {
		h.nodes = append(h.nodes, &Module{Member: fleet.Member{Node: nodeName(i), Zone: "z1", Incarnation: 100}, local: []fleet.AppliedItem{settings(nodes)}})
		h.present = append(h.present, h.nodes[i].Member)
	}
	h.hear()
	h.j.Lead(h.now, h.st)
	return h
}

func (h *harness) hear() {
	for _, m := range h.nodes {
		m.Take(h.Intended)
	}
}

// send has a node report, and takes the answer.
func (h *harness) send(m *Module) (resend []string) {
	if err := h.j.Observe(h.now, fleet.NodeView{Member: m.Member, ReceivedAt: h.now, Report: m.Report()}); err != nil {
		h.refused = append(h.refused, err)
	}
	resend, m.Wanted, _, _ = h.j.Answer(m.Node)
	return resend
}

func (h *harness) step() {
	in := h.Intended
	in.LateSteps = h.late
	for _, c := range h.j.Step(h.now, h.st, in, h.present) {
		c.AtMS = int64(h.now / ms)
		h.st.Apply(c, func() uint64 { h.rev++; return h.rev })
	}
}

// run lets time go by: a step each 100 ms, a report each 500 ms, or at once where one is wanted.
func (h *harness) run(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += 100 * ms
		for i, m := range h.nodes {
			if (i > 0 || !h.quiet) && (h.now%(500*ms) == 0 || m.Wanted != nil) {
				h.send(m)
			}
		}
		h.step()
		if h.each != nil {
			h.each()
		}
	}
}

func (h *harness) verdict(i int) Verdict {
	for _, v := range h.j.Verdicts(h.now, int64(h.now/ms), h.st) {
		if v.Node == nodeName(i) {
			return v
		}
	}
	return Verdict{State: "none"}
}

// mend makes the first node right again.
func (h *harness) mend() {
	m := h.nodes[0]
	*m = Module{Member: m.Member, sequence: m.sequence, local: []fleet.AppliedItem{settings(len(h.nodes))}}
	h.quiet = false
	m.Take(h.Intended)
}

func must(t rapid.TB, ok bool, format string, args ...any) {
	t.Helper()
	if !ok {
		t.Fatalf(format, args...)
	}
}
