package play

import (
	"time"

	"pgregory.net/rapid"

	"starlingvalve/internal/fleet"
	. "starlingvalve/internal/fleet/drift"
)

// rig is a leader and a few nodes without a network: the first node is the one that is tested.
type rig struct {
	*Intent
	j       *Judge
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

func newRig(nodes int) *rig {
	r := &rig{Intent: Seed(nodes), j: NewJudge(Defaults()), st: &State{}, now: time.Hour}
	for i := range nodes {
		r.nodes = append(r.nodes, &Module{Member: fleet.Member{Node: nodeName(i), Zone: "z1", Incarnation: 100}, local: []fleet.Held{settings(nodes)}})
		r.present = append(r.present, r.nodes[i].Member)
	}
	r.hear()
	r.j.Lead(r.now, r.st)
	return r
}

func (r *rig) hear() {
	for _, m := range r.nodes {
		m.Hear(r.In)
	}
}

// send has a node report, and takes the answer.
func (r *rig) send(m *Module) (resend []string) {
	if err := r.j.Observe(r.now, fleet.NodeView{Member: m.Member, At: r.now, Report: m.Report()}); err != nil {
		r.refused = append(r.refused, err)
	}
	resend, m.Want, _, _ = r.j.Answer(m.Node)
	return resend
}

func (r *rig) step() {
	in := r.In
	in.Late = r.late
	for _, c := range r.j.Step(r.now, r.st, in, r.present) {
		c.AtMS = int64(r.now / ms)
		r.st.Apply(c, func() uint64 { r.rev++; return r.rev })
	}
}

// run lets time go by: a step each 100 ms, a report each 500 ms, or at once where one is wanted.
func (r *rig) run(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now += 100 * ms
		for i, m := range r.nodes {
			if (i > 0 || !r.quiet) && (r.now%(500*ms) == 0 || m.Want != nil) {
				r.send(m)
			}
		}
		r.step()
		if r.each != nil {
			r.each()
		}
	}
}

func (r *rig) verdict(i int) Verdict {
	for _, v := range r.j.Verdicts(r.now, int64(r.now/ms), r.st) {
		if v.Node == nodeName(i) {
			return v
		}
	}
	return Verdict{State: "none"}
}

// mend makes the first node right again.
func (r *rig) mend() {
	m := r.nodes[0]
	*m = Module{Member: m.Member, seq: m.seq, local: []fleet.Held{settings(len(r.nodes))}}
	r.quiet = false
	m.Hear(r.In)
}

func must(t rapid.TB, ok bool, format string, args ...any) {
	t.Helper()
	if !ok {
		t.Fatalf(format, args...)
	}
}
