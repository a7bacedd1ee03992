package policy

// The rules on sending: what may be sent where, trials of suspects, the pace of cold servers.

import (
	"math"
	"time"
)

const (
	coldStart = 4.0  // 1/s, of all nodes to a cold server with no warm one to compare
	kindMost  = 1.5  // of the mean server's answers: little is known of a kind, and much may be chance
	kindTau   = 60.0 // s; smoothing of what a kind answers
)

// maySend holds every rule on sending; each send passes it.
func (m *Module) maySend(r *request, s *server) bool {
	if r.done || r.started || r.sealed || m.now >= r.deadline || s.State != Ready || s.out ||
		len(r.attempts) >= max(1, r.rules.MaxAttempts) || r.out >= 2 || r.out > 0 && !r.rules.MayHedge ||
		!m.allows(r, s) {
		return false
	}
	for i := range r.attempts {
		a, c := &r.attempts[i], r.class
		if a.server == s || a.mayRun && c.Idempotency != Idempotent && (c.Idempotency == NonIdempotent ||
			m.now+r.rules.MinTick >= a.sent+c.DedupWindow || c.KeyScope == KeyScopeZone && s.Zone != a.server.Zone ||
			c.KeyScope == KeyScopeCell && s.Cell != a.server.Cell) {
			return false
		}
	}
	return true
}

// send is the only way to a server.
func (m *Module) send(r *request, s *server, timeout time.Duration) bool {
	if s == nil || !m.maySend(r, s) {
		return false
	}
	r.attempts = append(r.attempts, attempt{server: s, sent: m.now, mayRun: true})
	r.out++
	s.n++
	s.tokens--
	s.pace--
	m.spend(s)
	s.seen.begun++
	if s.unanswered++; s.unanswered == 1 {
		s.muteSince = m.now
	}
	m.do(Forward{ID: r.id, Server: s.ID, Timeout: min(timeout, r.deadline-m.now)})
	return true
}

// dueTrial finds a suspect whose turn it is, for a request that may be repeated.
func (m *Module) dueTrial(r *request) *server {
	for _, s := range m.near {
		if r.class.Idempotency != NonIdempotent && s.suspect && m.now >= s.trialAt && m.maySend(r, s) && !m.paced(s) {
			return s
		}
	}
	return nil
}

// paced tells whether a cold server's budget is spent. It is refilled with the part that the server can do
// by now of what a warm one gives this node: the budgets of all nodes then sum up to a part of one server's
// capacity, however many are cold. Nodes that do not have it in their subsets send nothing.
func (m *Module) paced(s *server) bool {
	warm := (m.now - s.coldSince).Seconds() / math.Max(m.set.SlowStartWindow.Seconds(), 1e-9)
	if s.cold = s.cold && warm < 1; !s.cold {
		return false
	}
	part := m.set.SlowStartMinCapacity + (1-m.set.SlowStartMinCapacity)*math.Max(0, warm)
	rate := part * math.Max(m.ableOf(s), coldStart/m.sharers())
	s.tokens, s.tokensAt = math.Min(2, s.tokens+rate*(m.now-s.tokensAt).Seconds()), m.now
	return s.tokens < 1 || s.chosen < m.choices
}

// ableOf is what a warm server of this one's kind gives this node, as far as kinds differ: the most of late,
// as in a jam warm ones answer less, and cold ones that got less for it would deepen the jam.
func (m *Module) ableOf(s *server) float64 {
	if s.peers.usual == 0 {
		return m.all.able
	}
	return m.all.able * math.Min(kindMost, s.peers.usual/m.all.usual)
}
