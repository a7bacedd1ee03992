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

// Intent is a control plane's items as a run makes them.
type Intent struct{ Intended drift.Intended }

// Put has an item say body from a new revision on, and gives that.
func (c *Intent) Put(key string, body any) uint64 {
	c.Intended.Revision++
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return c.Set(fleet.Item{Key: key, Revision: c.Intended.Revision, Body: b})
}

// Drop takes an item away.
func (c *Intent) Drop(key string) uint64 {
	c.Intended.Revision++
	return c.Set(fleet.Item{Key: key, Revision: c.Intended.Revision, Removed: true})
}

// Set puts an item in place of the one with its key.
func (c *Intent) Set(it fleet.Item) uint64 {
	c.Intended.Items = slices.DeleteFunc(slices.Clone(c.Intended.Items), func(o fleet.Item) bool { return o.Key == it.Key })
	c.Intended.Items = append(c.Intended.Items, it)
	return it.Revision
}

// Serve lists a server in a state; in "removed" it is off the list.
func (c *Intent) Serve(id, state string) {
	c.Intended.Revision++
	s := drift.ListedServer{ID: id, Revision: c.Intended.Revision, Removed: state == "gone", Body: fleet.AppliedServer{Zone: "z1", Kind: "k", State: state, Weight: 1}}
	c.Intended.Servers = slices.DeleteFunc(slices.Clone(c.Intended.Servers), func(o drift.ListedServer) bool { return o.ID == id })
	c.Intended.Servers = append(c.Intended.Servers, s)
}

// EvacuationDirective is a directive to leave a zone but for a share.
func EvacuationDirective(share float64) fleet.Directive {
	return fleet.Directive{Phase: fleet.Evacuated, Share: share, ValidMS: 5000}
}

// CommittedTenant is a tenant with one generation committed.
func CommittedTenant(uid, gen uint64, rate float64) fleet.Tenant {
	return fleet.Tenant{UID: uid, Committed: &fleet.Generation{Number: gen, Digest: "00", Spec: fleet.Spec{Name: "t", Quota: fleet.Quota{Rate: rate, Burst: rate}}}}
}

// Seed is an intent of 3 zones (one of them left), a few tenants, servers and the shares of the nodes.
func Seed(nodes int) *Intent {
	c := &Intent{}
	c.Intended.Servers = []drift.ListedServer{}
	c.Put("zone/z2", EvacuationDirective(0))
	c.Put("zone/z3@z1", EvacuationDirective(0.5))
	for i := range 5 {
		c.Put(fmt.Sprintf("tenant/t%d", i), CommittedTenant(c.Intended.Revision+1, 1, 100))
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

// Module is a node's process as a run has it: what it was sent, and a planted fault over it.
type Module struct {
	fleet.Member
	sequence uint64
	revision uint64
	List     uint64 // the version of the list that it reports
	applied  []fleet.AppliedItem
	local    []fleet.AppliedItem
	Wanted   []string
	// takes nothing more; answers no wants
	ignoresIntent bool
	ignoresWants  bool
	Plant         func([]fleet.AppliedItem) []fleet.AppliedItem // what it holds in place of what it was sent
	falsifyCounts func(*fleet.Report)
	draining      bool
}

// Take has the node take what is intended for it.
func (m *Module) Take(in drift.Intended) {
	if m.ignoresIntent {
		return
	}
	in.Items = slices.DeleteFunc(slices.Clone(in.Items), func(it fleet.Item) bool {
		return len(it.Key) > 6 && it.Key[:6] == "share/" && it.Key != "share/"+m.Node
	})
	applied, err := drift.Expect(in, m.Member)
	if err != nil {
		panic(err)
	}
	m.applied = applied
	m.revision = in.Revision
	m.List = in.Revision
}

// Report is the next one, with what was wanted.
func (m *Module) Report() fleet.Report {
	m.sequence++
	r := fleet.Report{Member: m.Member, Sequence: m.sequence, Revision: m.revision, List: m.List, WindowMS: 500, Draining: m.draining}
	applied := append(slices.Clone(m.applied), m.local...)
	if m.Plant != nil {
		applied = m.Plant(applied)
	}
	wanted := m.Wanted
	if m.ignoresWants {
		wanted = nil
	}
	drift.FillReport(&r, applied, wanted)
	m.Wanted = nil
	if m.falsifyCounts != nil {
		m.falsifyCounts(&r)
	}
	return r
}

// AppliedItem returns an item as a node reports it.
func AppliedItem(key string, v any) fleet.AppliedItem {
	h, _, err := drift.AppliedItemOf(key, v)
	if err != nil {
		panic(err)
	}
	return h
}

func settings(nodes int) fleet.AppliedItem {
	h := AppliedItem(fleet.KeySettings, fleet.AppliedSettings{Nodes: nodes, MaxAttempts: 3})
	h.ChangedBy, h.SinceMS = "SIGHUP", 17
	return h
}

// PlantItem returns a plant that puts v in place of an item, or takes it away where v is nil.
func PlantItem(key string, v any) func([]fleet.AppliedItem) []fleet.AppliedItem {
	return func(held []fleet.AppliedItem) []fleet.AppliedItem {
		held = slices.DeleteFunc(slices.Clone(held), func(h fleet.AppliedItem) bool { return h.Key == key })
		if v != nil {
			held = append(held, AppliedItem(key, v))
		}
		return held
	}
}

// HasDifference reports whether a difference is of key, and of field.
func HasDifference(items []drift.Difference, key, field string) bool {
	return slices.ContainsFunc(items, func(d drift.Difference) bool { return d.Key == key && d.Field == field })
}
