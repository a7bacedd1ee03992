package session

import (
	"time"

	"meadowsill/internal/fleet"
)

// AgentLeasePart is the part of the ttl, by the agent's own clock, after which the agent counts its node out. The clocks' rates
// differ by up to 1 % either way: 0.96/0.99 is under 1/1.01, so the agent is always first (docs/fleet.md, "Sessions").
const AgentLeasePart = 0.96

type lease struct {
	incarnation uint64
	until       fleet.Time
	expiring    bool // its lapse is proposed: no renewal is answered until the outcome is known
}

// Leases are what the leader holds of the sessions, by its own clock. A new leader starts with a new one.
type Leases struct {
	ttl         time.Duration
	leaderSince fleet.Time
	byNode      map[string]*lease
}

// NewLeases starts the leases of a leader whose leadership begins at now: every session gets a full TTL from then. It is called
// only once the leader has applied all that its predecessors committed.
func NewLeases(now fleet.Time, ttl time.Duration) *Leases {
	return &Leases{ttl: ttl, leaderSince: now, byNode: map[string]*lease{}}
}

// Renew notes at now that the leader is about to answer a report of m. It is called after a VerifyLeader that began after the
// report came. ErrPending: the session's lapse is on its way; the report must not be answered as held.
func (l *Leases) Renew(now fleet.Time, m fleet.Member) error {
	h := l.byNode[m.Node]
	if h == nil || h.incarnation < m.Incarnation {
		h = &lease{incarnation: m.Incarnation}
		l.byNode[m.Node] = h
	}
	if h.incarnation > m.Incarnation {
		return fleet.ErrFenced
	}
	if h.expiring {
		return ErrPending
	}
	h.until = max(h.until, now+l.ttl)
	return nil
}

// Expired names the present members whose lease is over at now, by node, and holds back their renewals until
// Resolved. Each is to be proposed as an Expire.
func (l *Leases) Expired(now fleet.Time, s *State) []fleet.Member {
	var out []fleet.Member
	for _, m := range s.List() {
		h := l.byNode[m.Node]
		if h == nil || h.incarnation != m.Incarnation {
			h = &lease{incarnation: m.Incarnation, until: now + l.ttl} // first noticed now
			l.byNode[m.Node] = h
		}
		if !h.expiring && now >= max(h.until, l.leaderSince+l.ttl) {
			h.expiring = true
			out = append(out, m)
		}
	}
	for node, h := range l.byNode { // nothing is kept of those that are no longer present
		if _, ok := s.Members[node]; !ok && !h.expiring && now >= h.until {
			delete(l.byNode, node)
		}
	}
	return out
}

// Resolved notes that the outcome of m's proposed Expire is known: committed and applied, or surely never to be.
func (l *Leases) Resolved(m fleet.Member) {
	if h := l.byNode[m.Node]; h != nil && h.incarnation == m.Incarnation {
		delete(l.byNode, m.Node)
	}
}

// AgentLease is the agent's count of its node's session, by the agent's own clock. The zero AgentLease holds nothing.
type AgentLease struct {
	validUntil fleet.Time
	active     bool
}

// Renew takes an answer to the report whose sending began after t0 was read: the session is held for AgentLeasePart of
// ttl from t0.
func (h *AgentLease) Renew(t0 fleet.Time, ttl time.Duration) {
	if until := t0 + time.Duration(AgentLeasePart*float64(ttl)); ttl > 0 && (!h.active || until > h.validUntil) {
		h.validUntil, h.active = until, true
	}
}

// Drop counts the node out at once: the leader said that the session is none.
func (h *AgentLease) Drop() { h.active = false }

// Remaining is what is left of the session at now; 0: counted out.
func (h *AgentLease) Remaining(now fleet.Time) time.Duration {
	if !h.active {
		return 0
	}
	return max(h.validUntil-now, 0)
}
