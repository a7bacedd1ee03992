package policy

import (
	"math"
	"time"
)

const (
	zoneTokenLifetime = 250 * time.Millisecond // what a rate allows lapses: no burst is saved up over the fleet
	subsetBudgetPart  = 0.5                    // of a server's budget, for those who have it in their subsets
	maxZoneCredit     = 2.0                    // attempts that a zone's share saves up
)

// zoneBudget is this node's part of the rate that a directive allows at one server, as a token bucket.
type zoneBudget struct {
	tokens float64
	at     Time // 0: nothing has been counted
}

// zoneBudgetAllows refills a server's budget and reports whether it has an attempt. A rate is an even part of
// all nodes: the few that have a server in their subsets use what the others leave of its budget, but for a
// margin.
func (m *Module) zoneBudgetAllows(z *zoneState, s *server) bool {
	nodesPart := subsetBudgetPart * float64(len(m.endpoints.ready)) / float64(max(1, m.fleet.fullSubsetSize))
	rate := z.Rate * math.Max(1, nodesPart)
	if !m.isCurrent(z) {
		rate *= z.Floor / z.Share // the floor's own budget is not known: as much less as its share
	}
	m.refillZoneBudget(&s.zoneBudget, rate)
	return s.zoneBudget.tokens >= 1
}

// refillZoneBudget lets a server's part of its zone's rate grow. What is not used within zoneTokenLifetime is
// lost, so that nodes that had nothing to send save up no burst that meets at one server.
func (m *Module) refillZoneBudget(b *zoneBudget, rate float64) {
	if b.at == 0 {
		b.tokens, b.at = m.random.float64(), m.now // a first request from every node at once would be a burst
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

// resetZoneBudgets forgets what a zone's servers were sent without a rate.
func (m *Module) resetZoneBudgets(zone string) {
	for _, s := range m.servers {
		if s.Zone == zone {
			s.zoneBudget.at = 0
		}
	}
}

// accrueZoneCredit gives each zone with a directive its share of an attempt of a request: as much as the
// ordinary choice would send there. It is counted, not drawn, and little of it is saved up.
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

// spendZoneCredit takes an attempt from a limited zone's share.
func (m *Module) spendZoneCredit(s *server) {
	if z := m.limitingDirective(s); z != nil {
		z.credit = math.Max(0, z.credit-1)
	}
}

// zonesWithCredit returns the zones with a directive that an attempt may go to now, before all others: their
// rates soon lapse.
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
