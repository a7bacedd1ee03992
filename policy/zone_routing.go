package policy

import (
	"cmp"
	"math"
	"slices"
)

// zoneState is the control plane's directive on a zone and its state. Without a directive the code in this
// file changes no decision and draws no random number.
type zoneState struct {
	ZoneDirective
	issuedAt   Time    // when the directive's Age was 0
	subsetPart float64 // fraction of the ordinary subset that is in the zone
	credit     float64 // attempts that the share allows now
}

// valid reports whether a directive's values are within bounds. An invalid directive changes nothing.
func (z *ZoneDirective) valid() bool {
	return z.Share >= 0 && z.Share <= 1 && z.Floor >= 0 && z.Floor <= 1 && z.Rate >= 0 && z.Rate <= maxRate &&
		z.Age >= 0 && z.ValidFor >= 0
}

// directive returns the directive on a zone, or nil.
func (m *Module) directive(zone string) *zoneState {
	if m.fleet == nil {
		return nil
	}
	return m.fleet.zones[zone]
}

// isCurrent reports whether a directive is no older than its ValidFor.
func (m *Module) isCurrent(z *zoneState) bool { return m.now-z.issuedAt <= z.ValidFor }

// triesZone reports whether this node sends trial requests to a zone.
func (m *Module) triesZone(z *zoneState) bool {
	return z != nil && z.Trial && !z.Serving && m.isCurrent(z)
}

// zoneShare returns the fraction of the ordinary attempts that may go to a zone's servers: 1 without a
// directive, and the floor under a directive that has expired.
func (m *Module) zoneShare(z *zoneState) float64 {
	switch {
	case z == nil || z.Serving:
		return 1
	case m.isCurrent(z):
		return z.Share
	}
	return z.Floor
}

// limitingDirective returns the directive that limits traffic to a server's zone, or nil. Servers of a
// limited zone take no part in ordinary selection.
func (m *Module) limitingDirective(s *server) *zoneState {
	z := m.directive(s.Zone)
	if z != nil && !z.Serving && (m.zoneShare(z) < 1 || z.Rate > 0) {
		return z
	}
	return nil
}

// applyZoneDirective applies a directive. A directive that is older than the present one changes nothing; the
// same directive again confirms the present one.
func (m *Module) applyZoneDirective(e ZoneDirective) {
	z := m.fleet.zones[e.Zone]
	e.IntentRevision = max(e.IntentRevision, e.Revision)
	if !e.valid() || z != nil && e.IntentRevision < z.IntentRevision {
		return
	}
	if z == nil {
		z = m.addZone(e.Zone)
	}
	oldShare, wasTrial := m.zoneShare(z), m.triesZone(z)
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
	if changed || m.zoneShare(z) != oldShare || m.triesZone(z) != wasTrial {
		m.zoneChanged(z, oldShare, wasTrial)
	}
}

// addZone adds the state of a zone that has had no directive so far.
func (m *Module) addZone(zone string) *zoneState {
	z := &zoneState{ZoneDirective: ZoneDirective{Zone: zone, Serving: true}, credit: m.random.float64()}
	m.fleet.zones[zone] = z
	m.fleet.zoneOrder = append(m.fleet.zoneOrder, z)
	slices.SortFunc(m.fleet.zoneOrder, func(a, b *zoneState) int { return cmp.Compare(a.Zone, b.Zone) })
	return z
}

// zoneChanged applies a change of a zone's directive to the subset and to the zone's servers. oldShare is the
// share before the change, and wasTrial says whether this node sent trial requests to the zone then. If the
// zone has just been evacuated, its open requests are retried elsewhere and each of its servers is ejected,
// so that a trial request with a short delay has to readmit the server. Such trials begin as soon as the zone
// returns.
func (m *Module) zoneChanged(z *zoneState, oldShare float64, wasTrial bool) {
	evacuated := m.zoneShare(z) == 0 && !m.triesZone(z)
	wasEvacuated := oldShare == 0 && !wasTrial
	m.chooseSubset()
	if evacuated == wasEvacuated && m.zoneShare(z) == oldShare {
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

// cancelForRetry cancels attempts of idempotent requests that are in flight in a zone that has just been
// evacuated, the oldest request first. It cancels at most as many as the retry budget allows, because the end
// of each leads to an attempt elsewhere.
func (m *Module) cancelForRetry(zone string) {
	allowed := int(m.retryBudget)
	for _, r := range m.open {
		if allowed < 1 {
			return
		}
		if !r.mayCancelForRetry() {
			continue
		}
		last := len(r.attempts) - 1
		if a := &r.attempts[last]; !a.ended && a.server.Zone == zone {
			allowed--
			m.emit(CancelAttempt{ID: r.id, Attempt: last})
		}
	}
}

// mayCancelForRetry reports whether a request's only attempt in flight may be cancelled in favour of another
// attempt.
func (r *request) mayCancelForRetry() bool {
	return len(r.attempts) > 0 && r.mayForward() && r.inFlight == 1 && r.class.Idempotency == Idempotent &&
		r.arrivalSettings.MayCancel && len(r.attempts) < r.arrivalSettings.MaxAttempts
}

// directiveAllows reports whether the control plane's rules allow forwarding a request to a server: the
// request's route, and the share and rate of a directive on the server's zone. Only the first attempt of an
// idempotent request can be a trial request.
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

// applyDirectivesToSubset removes the servers of evacuated zones from the subset. It replaces the capacity
// that the node lacks there, and in zones with a share below 1, by servers of other zones, taken from
// position start on the ring.
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

// removeEvacuated removes the servers of evacuated zones from the subset, records the fraction of the subset
// that each zone has, and returns how many servers' worth of traffic the directives withhold.
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
