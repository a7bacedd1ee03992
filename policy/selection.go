package policy

import "time"

// maxInFlight is the number of a request's attempts that may be in flight at once, where it may be hedged.
const maxInFlight = 2

// selectServer chooses between two random servers in Normal mode, else between two Overloaded ones: the lower
// expected delay wins. It returns no server, and Blocking, where there is neither.
func (m *Module) selectServer(candidates []*server, r *request) (*server, Mode) {
	for _, zone := range m.zonesWithCredit() {
		if s, mode := m.selectAmong(candidates, r, zone); mode == Normal {
			return s, mode
		}
	}
	return m.selectAmong(candidates, r, nil)
}

// selectAmong chooses among the servers of a zone whose traffic is limited, or among all others where limited
// is nil.
func (m *Module) selectAmong(candidates []*server, r *request, limited *zoneState) (*server, Mode) {
	var pools [2][]*server // by mode
	for _, s := range candidates {
		if m.limitingDirective(s) != limited || s.outlier.ejected || !m.mayForward(r, s) || m.slowStartSpent(s) {
			continue
		}
		if mode := m.overloadMode(s); mode != Blocking {
			pools[mode] = append(pools[mode], s)
		}
	}
	for mode, pool := range pools {
		if len(pool) > 0 {
			return m.betterOfTwo(pool), Mode(mode)
		}
	}
	return nil, Blocking
}

// betterOfTwo returns the one with the lower expected delay of two servers drawn at random.
func (m *Module) betterOfTwo(pool []*server) *server {
	i := int(m.random.float64() * float64(len(pool)))
	j := (i + 1 + int(m.random.float64()*float64(len(pool)-1))) % len(pool)
	best, other := pool[i], pool[j]
	if m.expectedDelay(other) < m.expectedDelay(best) {
		return other
	}
	return best
}

// expectedDelay is the delay of one more request, s.
func (m *Module) expectedDelay(s *server) float64 {
	return (s.inFlight + 1) * m.expectedLatency(s)
}

// mayForward holds every rule on forwarding; each attempt passes it.
func (m *Module) mayForward(r *request, s *server) bool {
	switch {
	case !r.mayForward(), m.now >= r.deadline:
		return false
	case s.State != Ready, s.excluded:
		return false
	case len(r.attempts) >= max(1, r.rules.MaxAttempts):
		return false
	case r.inFlight >= maxInFlight, r.inFlight > 0 && !r.rules.MayHedge:
		return false
	}
	return m.directiveAllows(r, s) && m.mayRepeat(r, s)
}

// mayRepeat reports whether a server may get a request after the attempts made so far.
func (m *Module) mayRepeat(r *request, s *server) bool {
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.server == s || a.mayHaveRun && !m.mayRunAgain(r, a, s) {
			return false
		}
	}
	return true
}

// mayRunAgain reports whether a request that may have run in an attempt may run at another server.
func (m *Module) mayRunAgain(r *request, a *attempt, s *server) bool {
	switch r.class.Idempotency {
	case Idempotent:
		return true
	case NonIdempotent:
		return false
	}
	if m.now+r.rules.MinTick >= a.sentAt+r.class.DedupWindow {
		return false
	}
	switch r.class.KeyScope {
	case KeyScopeZone:
		return s.Zone == a.server.Zone
	case KeyScopeCell:
		return s.Cell == a.server.Cell
	}
	return true
}

// forward is the only way to a server. It reports whether the attempt was made.
func (m *Module) forward(r *request, s *server, timeout time.Duration) bool {
	if s == nil || !m.mayForward(r, s) {
		return false
	}
	r.attempts = append(r.attempts, attempt{server: s, sentAt: m.now, mayHaveRun: true})
	r.inFlight++
	s.inFlight++
	s.slowStart.tokens--
	s.zoneBudget.tokens--
	m.spendZoneCredit(s)
	s.window.started++
	s.outlier.countSend(m.now)
	m.emit(Forward{ID: r.id, Server: s.ID, Timeout: min(timeout, r.deadline-m.now)})
	return true
}
