package simulation

import (
	"fmt"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/tenants"
)

// servedTenant describes how the runs serve one tenant.
type servedTenant struct {
	lowest     uint64 // lowest generation that a run serves by; 0 if a run that must serve the tenant does not
	highest    uint64
	uids       map[uint64]bool
	guaranteed map[string]float64 // guaranteed parts by node, requests/s
	leased     float64            // sum of the leases of all runs, requests/s
}

// check verifies the invariants, based on what every process would do with a request now.
func (m *model) check() {
	for _, name := range modelNames {
		e := m.state.Tenants[name]
		s := servedTenant{lowest: ^uint64(0), uids: map[uint64]bool{}, guaranteed: map[string]float64{}}
		for _, r := range m.runs {
			if _, ok := r.applied.tenants[name]; r.ended || !ok && e == nil {
				continue
			}
			m.addRun(&s, r, name, e)
		}
		if s.highest > 0 && s.highest > s.lowest+1 {
			m.fail("T2: generations %d to %d of %s are served at one time", s.lowest, s.highest, name)
		}
		if len(s.uids) > 1 {
			m.fail("T6: %s is served as two tenants: %v", name, s.uids)
		}
		if e != nil && e.Committed != nil {
			m.checkQuota(&s, name, e)
			m.checkStaging(name, e)
		}
	}
}

// addRun adds to s how a run serves a tenant, whose replicated state is e, and checks T1 for the run.
func (m *model) addRun(s *servedTenant, r *run, name string, e *tenants.Entry) {
	t := r.applied.tenants[name]
	g := t.Committed
	if m.fault == "staged" && t.Staged != nil && r.staged[t.Staged.Digest] {
		g = t.Staged
	}
	if e != nil && m.presentInScope(r, e.Tenant) && r.ready && !e.Removing {
		s.addGeneration(t, g, e)
	}
	if g == nil || t.Removing {
		return
	}
	if m.committed[t.UID][g.Number] != g.Digest || tenants.Digest(g.Spec) != g.Digest {
		m.fail("T1: %s serves %s by generation %d of %d, never committed", r.name, name, g.Number, t.UID)
	}
	if e == nil || t.UID != e.UID {
		return
	}
	if slots := r.applied.lease.Slots; slots > 0 {
		part := fleet.GuaranteedPart * g.Spec.Quota.Rate / float64(slots)
		s.guaranteed[r.name] = max(s.guaranteed[r.name], part)
	}
	if (m.now < r.lease || m.fault == "lease") && (r.applied.lease.Incarnation == r.incarnation || m.fault == "run") {
		s.leased += r.applied.lease.Rates[name]
	}
}

// addGeneration adds to s that a run, which must serve the tenant of e, serves t by g; g is nil if it does not serve.
func (s *servedTenant) addGeneration(t fleet.Tenant, g *fleet.Generation, e *tenants.Entry) {
	switch {
	case g != nil && t.UID != e.UID && e.Committed != nil && !t.Removing:
		s.uids[t.UID] = true
	case t.UID == e.UID && g != nil:
		s.lowest = min(s.lowest, g.Number)
		s.highest = max(s.highest, g.Number)
		s.uids[t.UID] = true
	case e.Committed != nil:
		s.lowest = 0
	}
}

// checkQuota checks T3: the sum of the guaranteed parts and the leases is at most the quota.
func (m *model) checkQuota(s *servedTenant, name string, e *tenants.Entry) {
	sum := s.leased
	for _, part := range s.guaranteed {
		sum += part
	}
	if rate := e.Committed.Spec.Quota.Rate; s.leased > 0 && sum > rate*(1+1e-6) {
		m.fail("T3: shares of %s come to %g of %g", name, sum, rate)
	}
}

// checkStaging checks T5: no generation stays staged for longer than StageTimeout plus a TTL under one leader.
func (m *model) checkStaging(name string, e *tenants.Entry) {
	if e.Staged == nil {
		return
	}
	key := fmt.Sprint(name, e.Revision)
	if _, ok := m.firstStaged[key]; !ok {
		m.firstStaged[key] = m.now
	}
	if d := m.now - max(m.firstStaged[key], m.leaderSince); d > tenants.StageTimeout+modelTTL {
		m.fail("T5: %s is being staged for %v", name, d)
	}
}
