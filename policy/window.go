package policy

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Multiple of the expected latency after which an attempt counts as lost: one alone is to tell.
	lostAttemptFactor  = 8.0
	relatedLossTime    = time.Second // in which losses at several servers of a zone are counted together
	initialLossTimeout = time.Second // until latencies are known
)

// attemptCounts counts a server's attempts in a window.
type attemptCounts struct {
	started  int
	ended    int
	lost     int
	answered int
}

// lossTimeout is how long an attempt is in flight before that counts as no answer.
func (m *Module) lossTimeout(r *request) time.Duration {
	timeout := m.settings.ConnectTimeout
	if !m.latency.known() {
		timeout = max(timeout, initialLossTimeout)
	}
	return max(timeout, seconds(lostAttemptFactor*m.latency.mean*r.class.relativeCost))
}

// countZoneEvidence counts an attempt that ended. Silence shorter than any answer takes says nothing.
func (m *Module) countZoneEvidence(r *request, a *attempt, e AttemptEnded) {
	if m.fleet == nil {
		return
	}
	counts := &a.server.window
	lost := false
	switch e.Code {
	case Cancelled, NotSent:
		return
	case TimedOut:
		lost = true
		if !a.silent && e.Elapsed < min(m.settings.ConnectTimeout, m.lossTimeout(r)/2) {
			return
		}
	case ConnectFailed, Reset:
		lost = true
	case OK:
		counts.answered++
	}
	switch {
	case lost && a.silent: // counted when it fell silent
	case lost:
		m.countLoss(a.server)
	default:
		counts.ended++
		a.server.lostAt = 0
	}
}

func (m *Module) countLoss(s *server) {
	s.window.ended++
	s.window.lost++
	s.lostAt = m.now
}

// Window returns what was observed since it was last called, or since the start, and begins anew. Without
// Settings.Fleet it is empty.
func (m *Module) Window(now Time) FleetWindow {
	if m.fleet == nil {
		return FleetWindow{Start: now}
	}
	m.now = max(m.now, now)
	w := FleetWindow{Start: m.fleet.windowStart}
	m.fleet.windowStart = now
	m.countSilentAttempts()
	m.countRelatedLosses()
	w.Zones = m.zoneWindows()
	for _, t := range m.fleet.tenantOrder {
		if !t.removed && (t.uid != 0 || t.fromSettings) {
			w.Tenants = append(w.Tenants, m.tenantWindow(t))
		}
	}
	return w
}

// countSilentAttempts counts attempts as lost that have been in flight for too long.
func (m *Module) countSilentAttempts() {
	for _, r := range m.open {
		for i := range r.attempts {
			a := &r.attempts[i]
			if !a.ended && !a.released && !a.silent && m.now-a.sentAt > m.lossTimeout(r) {
				a.silent = true
				m.countLoss(a.server)
			}
		}
	}
}

// countRelatedLosses counts one more server of a zone of which but one was tried in this window, in vain: one
// that lost an attempt of late and has answered none since. A node that sends little meets them one by one.
func (m *Module) countRelatedLosses() {
	tried, lost := map[string]int{}, map[string]int{}
	for _, s := range m.endpoints.ready {
		if s.window.ended > 0 {
			tried[s.Zone]++
			lost[s.Zone] += s.window.lost
		}
	}
	for _, s := range m.endpoints.ready {
		lostLately := s.lostAt > 0 && m.now-s.lostAt <= relatedLossTime
		if tried[s.Zone] == 1 && lost[s.Zone] > 0 && s.window.ended == 0 && lostLately {
			s.window.ended = 1
			s.window.lost = 1
			tried[s.Zone] = 2
		}
	}
}

// zoneWindows returns what was counted of each zone, by name, and begins anew.
func (m *Module) zoneWindows() []ZoneWindow {
	zones := map[string]*ZoneWindow{}
	zone := func(name string) *ZoneWindow {
		if zones[name] == nil {
			zones[name] = &ZoneWindow{Zone: name}
		}
		return zones[name]
	}
	for _, s := range m.endpoints.ready {
		z := zone(s.Zone)
		z.Listed++
		if s.answers.perSecond > 0 {
			z.Rate += m.answerRate(s)
		}
	}
	for _, s := range m.servers {
		if s.window != (attemptCounts{}) {
			zone(s.Zone).add(s.window)
			s.window = attemptCounts{}
		}
	}
	var windows []ZoneWindow
	for _, z := range zones {
		z.Rate /= float64(max(1, z.Listed))
		windows = append(windows, *z)
	}
	slices.SortFunc(windows, func(a, b ZoneWindow) int { return cmp.Compare(a.Zone, b.Zone) })
	return windows
}

// add adds a server's counts.
func (z *ZoneWindow) add(c attemptCounts) {
	z.Attempts += c.ended
	z.Lost += c.lost
	z.Answered += c.answered
	z.Started += c.started
	if c.ended == 0 {
		return
	}
	z.Servers++
	if c.lost == c.ended {
		z.LostServers++
	}
}

// tenantWindow returns what was counted of a tenant, and begins anew.
func (m *Module) tenantWindow(t *fleetTenant) TenantWindow {
	w := TenantWindow{Name: t.name, UID: t.uid, Open: t.open, Arrived: t.arrived, Admitted: t.admitted}
	t.arrived, t.admitted = 0, 0
	switch g := t.committed; {
	case g != nil:
		w.Committed, w.Digest = g.Generation, g.Digest
		guaranteed, leased := m.tenantRates(t)
		w.Rate = guaranteed
		if m.now < m.fleet.leaseUntil {
			w.Rate += leased
		}
	case t.fromSettings:
		w.Rate = m.localQuotas[t.name].rate
		if t.uid == 0 { // else the control plane has named it, and commits no generation yet
			w.Committed = 1
		}
	}
	if g := t.staged; g != nil {
		w.RejectReason = m.rejectReason(g)
		if w.RejectReason == "" && len(m.endpoints.listed) > 0 {
			w.Staged, w.Digest = g.Generation, g.Digest
		}
	}
	return w
}
