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

// Intent is the intent of a simulated control plane.
type Intent struct{ Intended drift.Intended }

// Put sets an item's body at a new revision, and returns the revision.
func (intent *Intent) Put(key string, body any) uint64 {
	intent.Intended.Revision++
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return intent.Set(fleet.Item{Key: key, Revision: intent.Intended.Revision, Body: b})
}

// Remove removes an item at a new revision, and returns the revision.
func (intent *Intent) Remove(key string) uint64 {
	intent.Intended.Revision++
	return intent.Set(fleet.Item{Key: key, Revision: intent.Intended.Revision, Removed: true})
}

// Set replaces the item with the same key.
func (intent *Intent) Set(it fleet.Item) uint64 {
	intent.Intended.Items = slices.DeleteFunc(slices.Clone(intent.Intended.Items), func(o fleet.Item) bool { return o.Key == it.Key })
	intent.Intended.Items = append(intent.Intended.Items, it)
	return it.Revision
}

// ListServer sets a server's state in the list. The state "gone" removes the server.
func (intent *Intent) ListServer(id, state string) {
	intent.Intended.Revision++
	s := drift.ListedServer{ID: id, Revision: intent.Intended.Revision, Removed: state == "gone", Body: fleet.AppliedServer{Zone: "z1", Kind: "k", State: state, Weight: 1}}
	intent.Intended.Servers = slices.DeleteFunc(slices.Clone(intent.Intended.Servers), func(o drift.ListedServer) bool { return o.ID == id })
	intent.Intended.Servers = append(intent.Intended.Servers, s)
}

// EvacuationDirective returns a directive that evacuates a zone down to a share.
func EvacuationDirective(share float64) fleet.Directive {
	return fleet.Directive{Phase: fleet.Evacuated, Share: share, ValidMS: 5000}
}

// CommittedTenant returns a tenant with one committed generation.
func CommittedTenant(uid, gen uint64, rate float64) fleet.Tenant {
	return fleet.Tenant{UID: uid, Committed: &fleet.Generation{Number: gen, Digest: "00", Spec: fleet.Spec{Name: "t", Quota: fleet.Quota{Rate: rate, Burst: rate}}}}
}

// NewIntent returns an intent with 3 zones (one of them evacuated), a few tenants, servers and the shares of the nodes.
func NewIntent(nodes int) *Intent {
	intent := &Intent{}
	intent.Intended.Servers = []drift.ListedServer{}
	intent.Put("zone/z2", EvacuationDirective(0))
	intent.Put("zone/z3@z1", EvacuationDirective(0.5))
	for i := range 5 {
		intent.Put(fmt.Sprintf("tenant/t%d", i), CommittedTenant(intent.Intended.Revision+1, 1, 100))
	}
	for i := range 12 {
		intent.ListServer(fmt.Sprintf("s%d", i), "ready")
	}
	for i := range nodes {
		intent.Put("share/"+nodeName(i), fleet.QuotaLease{Epoch: 1, Slots: nodes, Rates: map[string]float64{"t0": 1, "t1": 2}})
	}
	return intent
}

func nodeName(i int) string { return fmt.Sprintf("n%03d", i) }

// SimulatedModule is the state of a simulated node's process: what it received, and the faults that a test injects.
type SimulatedModule struct {
	fleet.Member
	sequence           uint64
	revision           uint64
	AppliedListVersion uint64 // version of the server list that the node reports
	applied            []fleet.AppliedItem
	local              []fleet.AppliedItem
	Wanted             []string
	// ignoresIntent: the node applies no further intent. ignoresWants: the node doesn't answer requests for keys.
	ignoresIntent bool
	ignoresWants  bool
	AlterApplied  func([]fleet.AppliedItem) []fleet.AppliedItem // if set, changes the items that the node reports as applied
	falsifyCounts func(*fleet.Report)
	draining      bool
}

// ApplyIntent makes the node apply the intent that concerns it.
func (m *SimulatedModule) ApplyIntent(in drift.Intended) {
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
	m.AppliedListVersion = in.Revision
}

// Report returns the node's next report, with the requested keys.
func (m *SimulatedModule) Report() fleet.Report {
	m.sequence++
	r := fleet.Report{Member: m.Member, Sequence: m.sequence, Revision: m.revision, AppliedListVersion: m.AppliedListVersion, WindowMS: 500, Draining: m.draining}
	applied := append(slices.Clone(m.applied), m.local...)
	if m.AlterApplied != nil {
		applied = m.AlterApplied(applied)
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
	item, _, err := drift.AppliedItemOf(key, v)
	if err != nil {
		panic(err)
	}
	return item
}

func settings(nodes int) fleet.AppliedItem {
	item := AppliedItem(fleet.KeySettings, fleet.AppliedSettings{Nodes: nodes, MaxAttempts: 3})
	item.ChangedBy, item.SinceMS = "SIGHUP", 17
	return item
}

// ReplaceItem returns a fault that replaces an item by v, or removes it if v is nil.
func ReplaceItem(key string, v any) func([]fleet.AppliedItem) []fleet.AppliedItem {
	return func(items []fleet.AppliedItem) []fleet.AppliedItem {
		items = slices.DeleteFunc(slices.Clone(items), func(item fleet.AppliedItem) bool { return item.Key == key })
		if v != nil {
			items = append(items, AppliedItem(key, v))
		}
		return items
	}
}

// HasDifference reports whether a difference with this key and field is among items.
func HasDifference(items []drift.Difference, key, field string) bool {
	return slices.ContainsFunc(items, func(d drift.Difference) bool { return d.Key == key && d.Field == field })
}
