package policy

import (
	"math"
	"time"
)

const (
	zoneTokenLifetime = 250 * time.Millisecond // unused tokens expire, so that the fleet saves up no burst
	subsetBudgetPart  = 0.5                    // fraction of a server's budget for nodes that have it in subsets
	maxZoneCredit     = 2.0                    // most attempts that a zone's share saves up
)

// zoneBudget is a token bucket for this node's part of the rate that a directive allows at one server.
type zoneBudget struct {
	tokens float64
	at     Time // time of the last refill; 0: the bucket has not been used
}

// zoneBudgetAllows refills a server's budget and reports whether the budget allows an attempt. A directive's
// rate is an even part for each of all nodes, but only a few nodes have a given server in their subsets.
// These also use the parts that the other nodes leave unused, up to subsetBudgetPart of the server's whole
// budget, which leaves a margin.
func (m *Module) zoneBudgetAllows(z *zoneState, s *server) bool {
	nodesPart := subsetBudgetPart * float64(len(m.endpoints.ready)) / float64(max(1, m.fleet.fullSubsetSize))
	rate := z.Rate * math.Max(1, nodesPart)
	if !m.isCurrent(z) {
		rate *= z.Floor / z.Share // the rate at the floor is not known: scale it like the share
	}
	m.refillZoneBudget(&s.zoneBudget, rate)
	return s.zoneBudget.tokens >= 1
}

// refillZoneBudget refills a server's budget. Tokens that are not used within zoneTokenLifetime expire, so
// that idle nodes can't save up tokens and then send a joint burst to one server.
func (m *Module) refillZoneBudget(b *zoneBudget, rate float64) {
	if b.at == 0 {
		b.tokens, b.at = m.random.float64(), m.now // first requests from all nodes at once would be a burst
	}
	b.tokens += rate * (m.now - b.at).Seconds()
	b.at = m.now
	limit := 1 + rate*zoneTokenLifetime.Seconds()
	switch {
	case rate*zoneTokenLifetime.Seconds() >= 1:
		b.tokens = math.Min(b.tokens, limit)
	case b.tokens > limit:
		b.tokens = math.Mod(b.tokens, 1)
		if b.tokens <= limit-1 {
			b.tokens++
		}
	}
}

// resetZoneBudgets resets the budgets of a zone's servers, which still count attempts made without a rate
// limit.
func (m *Module) resetZoneBudgets(zone string) {
	for _, s := range m.servers {
		if s.Zone == zone {
			s.zoneBudget.at = 0
		}
	}
}

// accrueZoneCredit credits each zone that has a directive with its share of a request's attempt: the fraction
// that ordinary selection would send there, times the directive's share. The credit is counted, not drawn at
// random, and saves up no more than maxZoneCredit.
func (m *Module) accrueZoneCredit(r *request) {
	if m.fleet == nil {
		return
	}
	for _, z := range m.fleet.zoneOrder {
		part := z.subsetPart
		if r.route != nil && r.route.Zone == z.Zone {
			part = 1
		}
		z.credit = math.Min(maxZoneCredit, z.credit+m.zoneShare(z)*part)
	}
}

// spendZoneCredit takes an attempt from the credit of a server's zone, if a directive limits that zone.
func (m *Module) spendZoneCredit(s *server) {
	if z := m.limitingDirective(s); z != nil {
		z.credit = math.Max(0, z.credit-1)
	}
}

// zonesWithCredit returns the zones with a directive that an attempt may go to now. Selection tries them
// before all others, because unused tokens of their rates soon expire.
func (m *Module) zonesWithCredit() (zones []*zoneState) {
	if m.fleet == nil {
		return nil
	}
	for _, z := range m.fleet.zoneOrder {
		if !z.Serving && (z.credit >= 1 || m.triesZone(z)) {
			zones = append(zones, z)
		}
	}
	return zones
}
