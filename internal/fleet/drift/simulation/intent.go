package simulation

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/drift"
)

const ms = time.Millisecond

// Intent is a control plane's items as a play makes them.
type Intent struct{ In drift.Intended }

// Put has an item say body from a new revision on, and gives that.
func (c *Intent) Put(key string, body any) uint64 {
	c.In.Revision++
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return c.Set(fleet.Item{Key: key, Revision: c.In.Revision, Body: b})
}

// Drop takes an item away.
func (c *Intent) Drop(key string) uint64 {
	c.In.Revision++
	return c.Set(fleet.Item{Key: key, Revision: c.In.Revision, Removed: true})
}

// Set puts an item in place of the one with its key.
func (c *Intent) Set(it fleet.Item) uint64 {
	c.In.Items = slices.DeleteFunc(slices.Clone(c.In.Items), func(o fleet.Item) bool { return o.Key == it.Key })
	c.In.Items = append(c.In.Items, it)
	return it.Revision
}

// Serve lists a server in a state; in "gone" it is off the list.
func (c *Intent) Serve(id, state string) {
	c.In.Revision++
	s := drift.ListedServer{ID: id, Revision: c.In.Revision, Removed: state == "gone", Body: fleet.AppliedServer{Zone: "z1", Kind: "k", State: state, Weight: 1}}
	c.In.Servers = slices.DeleteFunc(slices.Clone(c.In.Servers), func(o drift.ListedServer) bool { return o.ID == id })
	c.In.Servers = append(c.In.Servers, s)
}

// Left is a directive to leave a zone but for a share.
func Left(share float64) fleet.Directive {
	return fleet.Directive{Phase: fleet.Evacuated, Share: share, ValidMS: 5000}
}

// Brand is a tenant with one generation committed.
func Brand(uid, gen uint64, rate float64) fleet.Tenant {
	return fleet.Tenant{UID: uid, Committed: &fleet.Generation{Number: gen, Digest: "00", Spec: fleet.Spec{Name: "t", Quota: fleet.Quota{Rate: rate, Burst: rate}}}}
}

// Seed is an intent of 3 zones (one of them left), a few tenants, servers and the shares of the nodes.
func Seed(nodes int) *Intent {
	c := &Intent{}
	c.In.Servers = []drift.ListedServer{}
	c.Put("zone/z2", Left(0))
	c.Put("zone/z3@z1", Left(0.5))
	for i := range 5 {
		c.Put(fmt.Sprintf("tenant/t%d", i), Brand(c.In.Revision+1, 1, 100))
	}
	for i := range 12 {
		c.Serve(fmt.Sprintf("s%d", i), "ready")
	}
	for i := range nodes {
		c.Put("share/"+nodeName(i), fleet.QuotaLease{Epoch: 1, Slots: nodes, Rates: map[string]float64{"t0": 1, "t1": 2}})
	}
	return c
}

func nodeName(i int) string { return fmt.Sprintf("n%03d", i) }

// Module is a node's process as a play has it: what it was sent, and a planted fault over it.
type Module struct {
	fleet.Member
	seq, rev   uint64
	List       uint64 // the version of the list that it reports
	held       []fleet.AppliedItem
	local      []fleet.AppliedItem
	Want       []string
	deaf, mute bool                                          // takes nothing more; answers no wants
	Plant      func([]fleet.AppliedItem) []fleet.AppliedItem // what it holds in place of what it was sent
	counts     func(*fleet.Report)
	leaving    bool
}

// Hear has the node take what is intended for it.
func (m *Module) Hear(in drift.Intended) {
	if m.deaf {
		return
	}
	in.Items = slices.DeleteFunc(slices.Clone(in.Items), func(it fleet.Item) bool {
		return len(it.Key) > 6 && it.Key[:6] == "share/" && it.Key != "share/"+m.Node
	})
	held, err := drift.Expect(in, m.Member)
	if err != nil {
		panic(err)
	}
	m.held, m.rev, m.List = held, in.Revision, in.Revision
}

// Report is the next one, with what was wanted.
func (m *Module) Report() fleet.Report {
	m.seq++
	r := fleet.Report{Member: m.Member, Sequence: m.seq, Revision: m.rev, List: m.List, WindowMS: 500, Draining: m.leaving}
	held := append(slices.Clone(m.held), m.local...)
	if m.Plant != nil {
		held = m.Plant(held)
	}
	want := m.Want
	if m.mute {
		want = nil
	}
	drift.FillReport(&r, held, want)
	m.Want = nil
	if m.counts != nil {
		m.counts(&r)
	}
	return r
}

// Fact gives a fact as a node reports it.
func Fact(key string, v any) fleet.AppliedItem {
	h, _, err := drift.AppliedItemOf(key, v)
	if err != nil {
		panic(err)
	}
	return h
}

func settings(nodes int) fleet.AppliedItem {
	h := Fact(fleet.KeySettings, fleet.AppliedSettings{Nodes: nodes, MaxAttempts: 3})
	h.ChangedBy, h.SinceMS = "SIGHUP", 17
	return h
}

// Plant gives a plant that puts v in place of a fact, or takes it away where v is nil.
func Plant(key string, v any) func([]fleet.AppliedItem) []fleet.AppliedItem {
	return func(held []fleet.AppliedItem) []fleet.AppliedItem {
		held = slices.DeleteFunc(slices.Clone(held), func(h fleet.AppliedItem) bool { return h.Key == key })
		if v != nil {
			held = append(held, Fact(key, v))
		}
		return held
	}
}

// Has says whether a difference is of key, and of field.
func Has(items []drift.Difference, key, field string) bool {
	return slices.ContainsFunc(items, func(d drift.Difference) bool { return d.Key == key && d.Field == field })
}
