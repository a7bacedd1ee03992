package policy

import (
	"cmp"
	"math"
	"slices"
)

// zoneState is the control plane's directive on a zone. Without one nothing here changes a decision or draws
// a number.
type zoneState struct {
	ZoneDirective
	issuedAt   Time    // when it had Age 0
	subsetPart float64 // part of the ordinary subset that is in the zone
	credit     float64 // attempts that its share allows now
}

// valid reports whether a directive makes sense; one that does not changes nothing.
func (e *ZoneDirective) valid() bool {
	return e.Share >= 0 && e.Share <= 1 && e.Floor >= 0 && e.Floor <= 1 && e.Rate >= 0 && e.Rate <= maxRate &&
		e.Age >= 0 && e.ValidFor >= 0
}

// directive returns the one on a zone, or nil.
func (m *Module) directive(zone string) *zoneState {
	if m.fleet == nil {
		return nil
	}
	return m.fleet.zones[zone]
}

// isCurrent reports whether a directive is not older than it is valid.
func (m *Module) isCurrent(z *zoneState) bool { return m.now-z.issuedAt <= z.ValidFor }

// triesZone reports whether this node sends trial requests to a zone.
func (m *Module) triesZone(z *zoneState) bool {
	return z != nil && z.Trial && !z.Serving && m.isCurrent(z)
}

// zoneShare is the part of the ordinary attempts that may go to a zone's servers: 1 without a directive, the
// floor under one that has outlived its validity.
func (m *Module) zoneShare(z *zoneState) float64 {
	switch {
	case z == nil || z.Serving:
		return 1
	case m.isCurrent(z):
		return z.Share
	}
	return z.Floor
}

// limitingDirective returns the directive that limits traffic to a server's zone, or nil: servers of a
// limited zone are no part of the ordinary choice.
func (m *Module) limitingDirective(s *server) *zoneState {
	z := m.directive(s.Zone)
	if z != nil && !z.Serving && (m.zoneShare(z) < 1 || z.Rate > 0) {
		return z
	}
	return nil
}

// applyZoneDirective takes a directive. One that is older than the present one changes nothing; the same
// again confirms it.
func (m *Module) applyZoneDirective(e ZoneDirective) {
	z := m.fleet.zones[e.Zone]
	e.IntentRevision = max(e.IntentRevision, e.Revision)
	if !e.valid() || z != nil && e.IntentRevision < z.IntentRevision {
		return
	}
	if z == nil {
		z = m.addZone(e.Zone)
	}
	share, tried := m.zoneShare(z), m.triesZone(z)
	changed := e.Revision != z.Revision
	issuedAt := m.now - e.Age
	if !changed && e.Serving == z.Serving {
		issuedAt = max(issuedAt, z.issuedAt)
	}
	if z.Serving || z.Rate == 0 {
		m.resetZoneBudgets(e.Zone)
	}
	e.Floor = math.Min(e.Floor, e.Share)
	z.ZoneDirective, z.issuedAt = e, issuedAt
	if changed || m.zoneShare(z) != share || m.triesZone(z) != tried {
		m.zoneChanged(z, share, tried)
	}
}

// addZone begins to follow the directives on a zone.
func (m *Module) addZone(zone string) *zoneState {
	z := &zoneState{ZoneDirective: ZoneDirective{Zone: zone, Serving: true}, credit: m.random.float64()}
	m.fleet.zones[zone] = z
	m.fleet.zoneOrder = append(m.fleet.zoneOrder, z)
	slices.SortFunc(m.fleet.zoneOrder, func(a, b *zoneState) int { return cmp.Compare(a.Zone, b.Zone) })
	return z
}

// zoneChanged follows a step of a zone's directive, which had a share and was tried or not before. What is
// open in a zone just evacuated goes elsewhere, and each of its servers is ejected, so that it is met by a
// trial with a short delay; such trials begin at once as the zone returns.
func (m *Module) zoneChanged(z *zoneState, share float64, tried bool) {
	evacuated := m.zoneShare(z) == 0 && !m.triesZone(z)
	wasEvacuated := share == 0 && !tried
	m.chooseSubset()
	if evacuated == wasEvacuated && m.zoneShare(z) == share {
		return
	}
	for _, s := range m.endpoints.listed {
		if s.Zone != z.Zone {
			continue
		}
		if evacuated {
			s.outlier.ejected = true
		}
		if s.outlier.ejected {
			s.outlier.trialDelay = minTrialDelay
			s.outlier.nextTrialAt = m.now + m.random.jitter(minTrialDelay/2)
		}
	}
	if evacuated && !wasEvacuated {
		m.cancelForRetry(z.Zone)
	}
}

// cancelForRetry calls off idempotent requests that are in flight in a zone just evacuated, the oldest first,
// as many as further attempts are allowed: each end makes one elsewhere.
func (m *Module) cancelForRetry(zone string) {
	allowed := int(m.retryBudget)
	for _, r := range m.open {
		if allowed < 1 {
			return
		}
		if !r.mayMove() {
			continue
		}
		last := len(r.attempts) - 1
		if a := &r.attempts[last]; !a.ended && a.server.Zone == zone {
			allowed--
			m.emit(CancelAttempt{ID: r.id, Attempt: last})
		}
	}
}

// mayMove reports whether a request's only attempt in flight may be called off in favour of another one.
func (r *request) mayMove() bool {
	return len(r.attempts) > 0 && r.mayForward() && r.inFlight == 1 && r.class.Idempotency == Idempotent &&
		r.rules.MayCancel && len(r.attempts) < r.rules.MaxAttempts
}

// directiveAllows is the control plane's part of the rules on forwarding: the request's route, zones that are
// evacuated, and their rates. A trial is an idempotent request's first attempt.
func (m *Module) directiveAllows(r *request, s *server) bool {
	if m.fleet == nil {
		return true
	}
	if r.route != nil && !r.route.matches(s) {
		return false
	}
	z := m.limitingDirective(s)
	if z == nil {
		return true
	}
	trial := m.triesZone(z) && r.class.Idempotency == Idempotent && len(r.attempts) == 0
	if !trial && (z.credit < 1 || m.zoneShare(z) == 0) {
		return false
	}
	return z.Rate == 0 || m.zoneBudgetAllows(z, s)
}

// applyDirectivesToSubset takes an evacuated zone's servers out of the subset, and makes up for what the node
// lacks there, and in zones that give only a part, by as many servers of others: from the node's place on the
// ring on.
func (m *Module) applyDirectivesToSubset(start int) {
	if m.fleet == nil {
		return
	}
	m.fleet.fullSubsetSize = len(m.subset.servers)
	missing := m.removeEvacuated()
	for i := 0; i < len(m.endpoints.ready) && missing >= 0.5; i++ {
		s := m.endpoints.ready[(start+i)%len(m.endpoints.ready)]
		if !m.inSubset(s) && m.zoneShare(m.directive(s.Zone)) == 1 {
			m.addToSubset(s)
			missing--
		}
	}
	m.fleet.ringStart = start
	for _, t := range m.fleet.tenantOrder {
		m.addRouteServers(t)
	}
}

// removeEvacuated takes the servers of evacuated zones out of the subset, notes what part of it each zone
// has, and returns how many servers the directives take away.
func (m *Module) removeEvacuated() (missing float64) {
	part := 1 / float64(max(1, len(m.subset.servers)))
	for _, z := range m.fleet.zoneOrder {
		z.subsetPart = 0
	}
	m.subset.servers = slices.DeleteFunc(m.subset.servers, func(s *server) bool {
		z := m.directive(s.Zone)
		missing += 1 - m.zoneShare(z)
		if z != nil {
			z.subsetPart += part
		}
		return m.zoneShare(z) == 0 && !m.triesZone(z)
	})
	return missing
}
