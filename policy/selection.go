package policy

import "time"

// maxInFlight is the maximum number of attempts of one request in flight at once, where hedging is allowed.
const maxInFlight = 2

// selectServer picks two random servers in Normal mode, or two Overloaded ones if none is Normal, and returns
// the one with the lower expected delay, and its mode. It returns no server and Blocking if there is neither.
// Normal servers of zones that have credit under a directive come first.
func (m *Module) selectServer(candidates []*server, r *request) (*server, Mode) {
	for _, zone := range m.zonesWithCredit() {
		if s, mode := m.selectAmong(candidates, r, zone); mode == Normal {
			return s, mode
		}
	}
	return m.selectAmong(candidates, r, nil)
}

// selectAmong chooses among the servers of a zone whose traffic a directive limits. If limited is nil, it
// chooses among the servers of all zones without a limit.
func (m *Module) selectAmong(candidates []*server, r *request, limited *zoneState) (*server, Mode) {
	var pools [2][]*server // indexed by mode: Normal and Overloaded
	for _, s := range candidates {
		if m.limitingDirective(s) != limited || s.outlier.ejected || !m.mayForward(r, s) || m.slowStartForbids(s) {
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

// betterOfTwo draws two servers at random and returns the one with the lower expected delay.
func (m *Module) betterOfTwo(pool []*server) *server {
	i := int(m.random.float64() * float64(len(pool)))
	j := (i + 1 + int(m.random.float64()*float64(len(pool)-1))) % len(pool)
	best, other := pool[i], pool[j]
	if m.expectedDelay(other) < m.expectedDelay(best) {
		return other
	}
	return best
}

// expectedDelay returns the expected delay of one more request at a server, in seconds.
func (m *Module) expectedDelay(s *server) float64 {
	return (s.inFlight + 1) * m.expectedLatency(s)
}

// mayForward reports whether all rules allow forwarding a request to a server. It is checked for every
// attempt.
func (m *Module) mayForward(r *request, s *server) bool {
	switch {
	case !r.mayForward(), m.now >= r.deadline:
		return false
	case s.State != Ready, s.excluded:
		return false
	case len(r.attempts) >= max(1, r.arrivalSettings.MaxAttempts):
		return false
	case r.inFlight >= maxInFlight, r.inFlight > 0 && !r.arrivalSettings.MayHedge:
		return false
	}
	return m.directiveAllows(r, s) && m.mayRepeat(r, s)
}

// mayRepeat reports whether the attempts made so far allow sending the request to a server: the server must
// not have had the request, and every attempt that may have run must permit a second execution there.
func (m *Module) mayRepeat(r *request, s *server) bool {
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.server == s || a.mayHaveRun && !m.mayRunAgain(r, a, s) {
			return false
		}
	}
	return true
}

// mayRunAgain reports whether a request that an attempt may have run may run again at another server. A keyed
// request may within its deduplication window and within the servers that share its idempotency key.
func (m *Module) mayRunAgain(r *request, a *attempt, s *server) bool {
	switch r.class.Idempotency {
	case Idempotent:
		return true
	case NonIdempotent:
		return false
	}
	if m.now+r.arrivalSettings.MinTick >= a.sentAt+r.class.DedupWindow {
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

// forward sends a request to a server if the rules allow it, and reports whether it did. Every attempt goes
// through it.
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
