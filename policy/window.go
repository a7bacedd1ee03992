package policy

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lostAttemptFactor is the multiple of the expected latency after which an attempt counts as lost. It is
	// high because a single lost attempt is already evidence.
	lostAttemptFactor  = 8.0
	relatedLossWindow  = time.Second // time in which losses at several servers of a zone count as related
	initialLossTimeout = time.Second // minimum loss timeout until latencies are known
)

// attemptCounts counts the attempts at a server since the last report to the control plane.
type attemptCounts struct {
	started  int
	ended    int
	lost     int
	answered int
}

// lossTimeout returns how long an attempt may be in flight before it counts as lost.
func (m *Module) lossTimeout(r *request) time.Duration {
	timeout := m.settings.ConnectTimeout
	if !m.latency.known() {
		timeout = max(timeout, initialLossTimeout)
	}
	return max(timeout, seconds(lostAttemptFactor*m.latency.mean*r.class.relativeCost))
}

// countZoneEvidence counts an attempt that ended as lost or not, as evidence about the health of its zone. A
// timeout shorter than an answer takes is no evidence.
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
		if !a.countedLost && e.Elapsed < min(m.settings.ConnectTimeout, m.lossTimeout(r)/2) {
			return
		}
	case ConnectFailed, Reset:
		lost = true
	case OK:
		counts.answered++
	}
	switch {
	case lost && a.countedLost: // counted while it was in flight
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

// Window returns the observations since the last call, or since the start, and resets them. Without
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
	w.Zones = m.takeZoneWindows()
	for _, t := range m.fleet.tenantOrder {
		if !t.removed && (t.uid != 0 || t.fromSettings) {
			w.Tenants = append(w.Tenants, m.takeTenantWindow(t))
		}
	}
	return w
}

// countSilentAttempts counts the attempts that have been in flight for longer than lossTimeout as lost.
func (m *Module) countSilentAttempts() {
	for _, r := range m.open {
		for i := range r.attempts {
			a := &r.attempts[i]
			if !a.ended && !a.released && !a.countedLost && m.now-a.sentAt > m.lossTimeout(r) {
				a.countedLost = true
				m.countLoss(a.server)
			}
		}
	}
}

// countRelatedLosses adds a second lost server to a zone where attempts ended at only one server in this
// window and were lost. The second server is one that lost an attempt within relatedLossWindow and has not
// answered since. A node that sends few requests finds the lost servers of a zone one by one.
func (m *Module) countRelatedLosses() {
	tried, lost := map[string]int{}, map[string]int{}
	for _, s := range m.endpoints.ready {
		if s.window.ended > 0 {
			tried[s.Zone]++
			lost[s.Zone] += s.window.lost
		}
	}
	for _, s := range m.endpoints.ready {
		lostRecently := s.lostAt > 0 && m.now-s.lostAt <= relatedLossWindow
		if tried[s.Zone] == 1 && lost[s.Zone] > 0 && s.window.ended == 0 && lostRecently {
			s.window.ended = 1
			s.window.lost = 1
			tried[s.Zone] = 2
		}
	}
}

// takeZoneWindows returns the counts of each zone, ordered by name, and resets them.
func (m *Module) takeZoneWindows() []ZoneWindow {
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

// add adds a server's counts to those of its zone.
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

// takeTenantWindow returns the counts and the present state of a tenant, and resets the counts.
func (m *Module) takeTenantWindow(t *fleetTenant) TenantWindow {
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
		if t.uid == 0 { // otherwise the control plane knows the tenant but has not committed a generation
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
