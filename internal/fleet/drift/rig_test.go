package drift

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"starlingvalve/internal/fleet"
)

const ms = time.Millisecond

// intent is a control plane's items as a test makes them.
type intent struct{ in Intended }

func (c *intent) put(key string, body any) uint64 {
	c.in.Revision++
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return c.set(fleet.Item{Key: key, Rev: c.in.Revision, Body: b})
}

func (c *intent) drop(key string) uint64 {
	c.in.Revision++
	return c.set(fleet.Item{Key: key, Rev: c.in.Revision, Gone: true})
}

func (c *intent) set(it fleet.Item) uint64 {
	c.in.Items = slices.DeleteFunc(slices.Clone(c.in.Items), func(o fleet.Item) bool { return o.Key == it.Key })
	c.in.Items = append(c.in.Items, it)
	return it.Rev
}

func (c *intent) serve(id, state string) {
	c.in.Revision++
	s := Listed{ID: id, Rev: c.in.Revision, Gone: state == "gone", Body: fleet.HeldServer{Zone: "z1", Kind: "k", State: state, Size: 1}}
	c.in.Servers = slices.DeleteFunc(slices.Clone(c.in.Servers), func(o Listed) bool { return o.ID == id })
	c.in.Servers = append(c.in.Servers, s)
}

func left(share float64) fleet.Directive {
	return fleet.Directive{Phase: fleet.Left, Share: share, ValidMS: 5000}
}

func brand(uid, gen uint64, rate float64) fleet.Tenant {
	return fleet.Tenant{UID: uid, Committed: &fleet.Generation{Number: gen, Digest: "00", Spec: fleet.Spec{Name: "t", Quota: fleet.Quota{Rate: rate, Burst: rate}}}}
}

// seed is an intent of 3 zones (one of them left), a few tenants, servers and the shares of the nodes.
func seed(nodes int) *intent {
	c := &intent{}
	c.in.Servers = []Listed{}
	c.put("zone/z2", left(0))
	c.put("zone/z3@z1", left(0.5))
	for i := range 5 {
		c.put(fmt.Sprintf("tenant/t%d", i), brand(c.in.Revision+1, 1, 100))
	}
	for i := range 12 {
		c.serve(fmt.Sprintf("s%d", i), "ready")
	}
	for i := range nodes {
		c.put("share/"+nodeName(i), fleet.Shares{Epoch: 1, Slots: nodes, Rates: map[string]float64{"t0": 1, "t1": 2}})
	}
	return c
}

func nodeName(i int) string { return fmt.Sprintf("n%03d", i) }

// module is a node's process as a test has it: what it was told, and a planted fault over it.
type module struct {
	fleet.Member
	seq, rev, list uint64
	held           []fleet.Held
	local          []fleet.Held
	want           []string
	deaf, mute     bool                            // takes nothing more; answers no wants
	plant          func([]fleet.Held) []fleet.Held // what it holds in place of what it was told
	counts         func(*fleet.Report)
	leaving        bool
}

func (m *module) hear(in Intended) {
	if m.deaf {
		return
	}
	in.Items = slices.DeleteFunc(slices.Clone(in.Items), func(it fleet.Item) bool {
		return len(it.Key) > 6 && it.Key[:6] == "share/" && it.Key != "share/"+m.Node
	})
	held, err := Expect(in, m.Member)
	if err != nil {
		panic(err)
	}
	m.held, m.rev, m.list = held, in.Revision, in.Revision
}

func (m *module) report() fleet.Report {
	m.seq++
	r := fleet.Report{Member: m.Member, Seq: m.seq, Revision: m.rev, List: m.list, WindowMS: 500, Leaving: m.leaving}
	held := append(slices.Clone(m.held), m.local...)
	if m.plant != nil {
		held = m.plant(held)
	}
	want := m.want
	if m.mute {
		want = nil
	}
	Fill(&r, held, want)
	m.want = nil
	if m.counts != nil {
		m.counts(&r)
	}
	return r
}

func hold(key string, v any) fleet.Held {
	h, _, err := Hold(key, v)
	if err != nil {
		panic(err)
	}
	return h
}

func settings(nodes int) fleet.Held {
	h := hold(fleet.KeySettings, fleet.HeldSettings{Nodes: nodes, MaxAttempts: 3})
	h.By, h.SinceMS = "SIGHUP", 17
	return h
}

// change gives a plant that puts v in place of a fact, or takes it away where v is nil.
func change(key string, v any) func([]fleet.Held) []fleet.Held {
	return func(held []fleet.Held) []fleet.Held {
		held = slices.DeleteFunc(slices.Clone(held), func(h fleet.Held) bool { return h.Key == key })
		if v != nil {
			held = append(held, hold(key, v))
		}
		return held
	}
}

// rig is a leader and a few nodes without a network: the first node is the one that is tested.
type rig struct {
	*intent
	j       *Judge
	st      *State
	now     fleet.Time
	rev     uint64
	nodes   []*module
	present []fleet.Member
	quiet   bool // the first node sends nothing
	late    map[string][]Difference
	each    func()
	refused []error
}

func newRig(nodes int) *rig {
	r := &rig{intent: seed(nodes), j: NewJudge(Defaults()), st: &State{}, now: time.Hour}
	for i := range nodes {
		r.nodes = append(r.nodes, &module{Member: fleet.Member{Node: nodeName(i), Zone: "z1", Incarnation: 100}, local: []fleet.Held{settings(nodes)}})
		r.present = append(r.present, r.nodes[i].Member)
	}
	r.hear()
	r.j.Office(r.now, r.st)
	return r
}

func (r *rig) hear() {
	for _, m := range r.nodes {
		m.hear(r.in)
	}
}

// send has a node report, and takes the answer.
func (r *rig) send(m *module) (resend []string) {
	if err := r.j.Observe(r.now, fleet.NodeView{Member: m.Member, At: r.now, Report: m.report()}); err != nil {
		r.refused = append(r.refused, err)
	}
	resend, m.want, _, _ = r.j.Answer(m.Node)
	return resend
}

func (r *rig) step() {
	in := r.in
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
			if (i > 0 || !r.quiet) && (r.now%(500*ms) == 0 || m.want != nil) {
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
	*m = module{Member: m.Member, seq: m.seq, local: []fleet.Held{settings(len(r.nodes))}}
	r.quiet = false
	m.hear(r.in)
}

func has(items []Difference, key, field string) bool {
	return slices.ContainsFunc(items, func(d Difference) bool { return d.Key == key && d.Field == field })
}

func must(t rapid.TB, ok bool, format string, args ...any) {
	t.Helper()
	if !ok {
		t.Fatalf(format, args...)
	}
}
