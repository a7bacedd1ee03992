package drift

import (
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/policy"
)

// UpdateModule passes the intent to a module as a node does: by fleet.AppliedZoneOf and fleet.AppliedTenantOf.
func UpdateModule(m *policy.Module, at policy.Time, in Intended, self fleet.Member) {
	history := intentHistory{}
	history.ingest(0, in)
	var list []policy.Server
	for i, s := range in.Servers {
		if s.Removed {
			continue
		}
		state := policy.Ready
		if s.Body.State == "draining" {
			state = policy.Draining
		}
		list = append(list, policy.Server{ID: policy.ServerID(i + 1), Name: s.ID, Zone: s.Body.Zone, Kind: s.Body.Kind, Cell: s.Body.Cell, Weight: s.Body.Weight, State: state})
	}
	m.Handle(at, policy.EndpointUpdate{Kind: policy.EndpointsComplete, Version: in.Revision, Servers: list})
	zones := map[string]bool{}
	for _, e := range history.zones {
		zones[e.zone] = true
	}
	for zone := range zones {
		update := policy.ZoneDirective{Zone: zone, Revision: in.Revision, IntentRevision: in.Revision, Serving: true}
		if d, rev := history.directive(zone, in.Revision, self); d != nil {
			h := fleet.AppliedZoneOf(rev, *d, self.Node)
			update = policy.ZoneDirective{Zone: zone, Revision: rev, IntentRevision: in.Revision, Share: h.Share, Floor: h.Floor, Rate: h.Rate, Trial: h.Trial, ValidFor: time.Duration(h.ValidMS) * time.Millisecond}
		}
		m.Handle(at, update)
	}
	for _, e := range history.tenants {
		v := e.newest()
		update := policy.TenantUpdate{Name: e.key[len(fleet.KeyTenant):], Revision: v.revision, Removed: v.removed}
		if !v.removed {
			update.UID = v.tenant.UID
			update.Removing = v.tenant.Removing
			update.QuotaWithdrawn = v.tenant.QuotaWithdrawn
			if r := fleet.AppliedTenantOf(v.revision, *v.tenant).Committed; r != nil {
				update.Committed = &policy.TenantRules{Generation: r.Generation, Digest: r.Digest, Classes: r.Classes, Rate: r.Rate, Burst: r.Burst, ClassRates: r.ClassRates, RejectUnrouted: r.RejectUnrouted}
				for _, x := range r.Routes {
					update.Committed.Routes = append(update.Committed.Routes, policy.TenantRoute{Zone: x.Zone, Kind: x.Kind, ID: x.ID, Weight: x.Weight})
				}
			}
		}
		m.Handle(at, update)
	}
	if s := history.leases[self.Node].newest().lease; s != nil {
		m.Handle(at, policy.QuotaLease{Epoch: s.Epoch, Slots: s.Slots, Rates: s.Rates, ValidFor: time.Hour})
	}
}

// IntentHistory exports intentHistory to the external tests.
type IntentHistory struct{ history intentHistory }

func (history *IntentHistory) Ingest(in Intended) { history.history.ingest(0, in) }

func (history *IntentHistory) Expect(rev uint64, self fleet.Member, services ...string) ([]fleet.AppliedItem, bool) {
	return history.history.expect(rev, self, services)
}

// Node exports node to the external tests.
type Node struct{ n node }

func NewNode(r fleet.Report) *Node { return &Node{node{Member: r.Member, hasReport: true, report: r}} }

func (n *Node) Compare(history *IntentHistory) { n.n.compareContent(0, &history.history) }
func (n *Node) NeedsCompareAgain() bool        { return n.n.compareAgain }
func (n *Node) IsComparable() bool             { return n.n.isComparable() }
func (n *Node) WantsListKeys() bool            { return len(n.n.trees[1].wanted) > 0 }
func (n *Node) HasIntendedContent() bool       { return n.n.trees[0].same && n.n.trees[1].same }

var (
	BodyOf  = bodyOf
	IsLocal = isLocal
)
