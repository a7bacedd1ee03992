package tenants

import (
	"slices"

	"meadowsill/internal/fleet"
)

// Phases of a node with a tenant, in NodeStatus.
const (
	NodeSilent   = "silent"   // no report since this leader began to lead
	NodeBehind   = "behind"   // does not hold what is intended
	NodeStaged   = "staged"   // has validated the staged generation
	NodeRejected = "refused"  // can't stage it
	NodeApplied  = "applied"  // serves by the committed generation
	NodeDraining = "draining" // takes no new requests; some are open
	NodeRemoved  = "removed"  // takes no new requests; none is open
)

// Status returns the phase with a tenant of each node present in its scope, by node; fleet.ErrNotFound wrapped for a name that has none.
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
			if b := ctl.steps[name]; st.Phase == NodeBehind && b.revision == e.Revision && now-b.seenAt >= ApplyTimeout && ctl.isLate(s, e, name, m) {
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

// LateNode is a node present in a tenant's scope that holds up a step of a rollout or removal, past ApplyTimeout.
type LateNode struct {
	Node   string
	Tenant string
	// generations committed: intended, and by the node's report
	WantedGeneration uint64
	Generation       uint64
}

// Late names those that hold up what is committed, by tenant and node: it is never taken back, and so nothing but them
// stands in its way. A node that still has requests of a removed tenant open is not among them.
func (ctl *Controller) Late(now fleet.Time, s *State, p Present) (out []LateNode) {
	var r *presentByScope // made for the first that is past its bound
	for _, name := range sortedKeys(ctl.steps) {
		e := s.Tenants[name]
		if b := ctl.steps[name]; e == nil || b.revision != e.Revision || now-b.seenAt < ApplyTimeout {
			continue
		}
		if r == nil {
			r = newPresentByScope(p)
		}
		for _, m := range r.of(e.Service()).members {
			if ctl.isLate(s, e, name, m) {
				l := LateNode{Node: m.Node, Tenant: name}
				if e.Committed != nil {
					l.WantedGeneration = e.Committed.Number
				}
				if a, ok := ctl.tenantReport(e, name, m); ok {
					l.Generation = a.Committed
				}
				out = append(out, l)
			}
		}
	}
	return out
}

// isLate reports whether a node has yet to take the step that a tenant is at.
func (ctl *Controller) isLate(s *State, e *Entry, name string, m fleet.Member) bool {
	switch s.Phase(name) {
	case PhaseApplying:
		return !ctl.hasApplied(e, name, m)
	case PhaseRemoving, PhaseQuotaWithdrawn:
		return !ctl.hasRevision(e, m)
	}
	return false
}

// HasFollowed reports whether a node that reports so holds up nothing: it has applied all that is committed in its scope.
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

// CaughtUp reports whether a node that reports so may begin to serve: of every committed tenant of its scope it holds the present
// generation, or while that is being applied its predecessor, and none of a tenant that is no more or is outside of it. It is checked before a
// run becomes present; until then the leader answers its reports with NotReady (T2, T4).
// Tenants of the node's own settings have UID 0 and don't count until intent names them.
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
