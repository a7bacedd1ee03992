package tenants

import (
	"slices"

	"meadowsill/internal/fleet"
)

// Phases of a node in a tenant's rollout or removal, as in NodeStatus.
const (
	NodeSilent   = "silent"   // the node has not reported since this leader began to lead
	NodeBehind   = "behind"   // the node does not hold the intended state
	NodeStaged   = "staged"   // the node has validated the staged generation
	NodeRejected = "refused"  // the node can't stage the generation
	NodeApplied  = "applied"  // the node serves by the committed generation
	NodeDraining = "draining" // the node takes no new requests of the tenant; some are open
	NodeRemoved  = "removed"  // the node takes no new requests of the tenant; none is open
)

// Status returns the status of each node present in a tenant's scope, sorted by node. If no tenant has this name, the error
// wraps fleet.ErrNotFound.
func (ctl *Controller) Status(now fleet.Time, s *State, name string, p Present) ([]NodeStatus, error) {
	e := s.Tenants[name]
	if e == nil {
		return nil, s.notFound(name)
	}
	present := newPresentByScope(p).of(e.Service()).members
	out := make([]NodeStatus, 0, len(present))
	for _, m := range present {
		st := NodeStatus{Node: m.Node, Phase: NodeSilent, AgeMS: -1}
		if v := ctl.reports[m.Node]; v != nil && v.Incarnation == m.Incarnation {
			st.AgeMS = (now - v.ReceivedAt).Milliseconds()
			a, known := ctl.tenantReport(e, name, m)
			st.Generation, st.Staged = a.Committed, a.Staged
			st.Phase, st.Reason = ctl.nodePhase(e, name, m, a, known)
			if step := ctl.steps[name]; st.Phase == NodeBehind && step.revision == e.Revision && now-step.seenAt >= ApplyTimeout && ctl.isLate(s, e, name, m) {
				st.Reason = reasonLate
			}
		}
		out = append(out, st)
	}
	return out, nil
}

func (ctl *Controller) nodePhase(e *Entry, name string, m fleet.Member, a fleet.TenantAck, known bool) (phase, reason string) {
	switch {
	case !ctl.hasRevision(e, m):
		return NodeBehind, ""
	case e.Removing && known && a.Open > 0:
		return NodeDraining, ""
	case e.Removing:
		return NodeRemoved, ""
	case e.Staged != nil:
		ok, rejected, why := ctl.hasStaged(e, name, m)
		if rejected {
			return NodeRejected, why
		}
		if ok {
			return NodeStaged, ""
		}
		return NodeBehind, why
	case ctl.hasApplied(e, name, m):
		return NodeApplied, ""
	}
	return NodeBehind, ""
}

// LateNode is a node present in a tenant's scope that has delayed a step of a rollout or removal for at least ApplyTimeout.
type LateNode struct {
	Node   string
	Tenant string
	// the committed generation: as intended, and as the node reports it
	WantedGeneration uint64
	Generation       uint64
}

// Late returns the nodes that delay a committed rollout or a removal, sorted by tenant and node. Neither is ever taken back,
// so only these nodes keep it from finishing. A node that still has open requests of a removed tenant is not late.
func (ctl *Controller) Late(now fleet.Time, s *State, p Present) (out []LateNode) {
	var scopes *presentByScope // created for the first tenant that is past its time limit
	for _, name := range sortedKeys(ctl.steps) {
		e := s.Tenants[name]
		if step := ctl.steps[name]; e == nil || step.revision != e.Revision || now-step.seenAt < ApplyTimeout {
			continue
		}
		if scopes == nil {
			scopes = newPresentByScope(p)
		}
		for _, m := range scopes.of(e.Service()).members {
			if ctl.isLate(s, e, name, m) {
				late := LateNode{Node: m.Node, Tenant: name}
				if e.Committed != nil {
					late.WantedGeneration = e.Committed.Number
				}
				if a, ok := ctl.tenantReport(e, name, m); ok {
					late.Generation = a.Committed
				}
				out = append(out, late)
			}
		}
	}
	return out
}

// isLate reports whether a node has not yet done the current step of a tenant.
func (ctl *Controller) isLate(s *State, e *Entry, name string, m fleet.Member) bool {
	switch s.Phase(name) {
	case PhaseApplying:
		return !ctl.hasApplied(e, name, m)
	case PhaseRemoving, PhaseQuotaWithdrawn:
		return !ctl.hasRevision(e, m)
	}
	return false
}

// HasFollowed reports whether a node with this report delays no rollout or removal, because it has applied all committed
// changes in its scope.
func HasFollowed(s *State, r fleet.Report) bool {
	for name, e := range s.InScope(r.Services) {
		if !e.Applying && !e.Removing && !e.QuotaWithdrawn {
			continue
		}
		if r.Revision < e.Revision {
			return false
		}
		if e.Applying && !slices.ContainsFunc(r.Tenants, func(a fleet.TenantAck) bool {
			return a.Name == name && a.UID == e.UID && a.Committed == e.Committed.Number && a.Digest == e.Committed.Digest
		}) {
			return false
		}
	}
	return true
}

// CaughtUp reports whether a node with this report may begin to serve. The node must hold the present generation of every
// committed tenant in its scope (or the previous generation while the present one is being applied), and no generation of a
// tenant that no longer exists or is out of its scope. This is checked before a run becomes present; until then the leader
// answers its reports with NotReady (T2, T4). Tenants from the node's own settings have UID 0 and don't count until intent
// contains them.
func CaughtUp(s *State, r fleet.Report) bool {
	acks := map[string]fleet.TenantAck{}
	for _, a := range r.Tenants {
		acks[a.Name] = a
		e := s.Tenants[a.Name]
		if (e == nil || !fleet.Serves(r.Services, e.Service())) && a.Committed > 0 && a.UID != 0 {
			return false
		}
	}
	for name, e := range s.InScope(r.Services) {
		if e.Committed == nil || e.QuotaWithdrawn {
			continue
		}
		g, a := e.Committed.Number, acks[name]
		if a.UID != e.UID || a.Committed != g && !(e.Applying && a.Committed == g-1) {
			return false
		}
	}
	return true
}
