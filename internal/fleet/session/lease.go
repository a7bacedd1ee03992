package session

import (
	"time"

	"meadowsill/internal/fleet"
)

// AgentLeasePart is the part of the TTL, by the agent's own clock, after which the agent regards its node's session as over. The
// rates of clocks are off by up to 1 % either way: 0.96/0.99 is less than 1/1.01, so the lease always ends at the agent before it
// ends at the leader (docs/fleet.md, "Sessions").
const AgentLeasePart = 0.96

type lease struct {
	incarnation uint64
	until       fleet.Time
	expiring    bool // its expiry is proposed: it is not renewed until the outcome is known
}

// Leases are the leases of all sessions as the leader tracks them, by its own clock. Each new leader starts with new Leases.
type Leases struct {
	ttl         time.Duration
	leaderSince fleet.Time
	byNode      map[string]*lease
}

// NewLeases returns the leases of a leader whose leadership begins at now: every session gets a full TTL from then. It must be
// called only after the leader has applied everything that its predecessors committed.
func NewLeases(now fleet.Time, ttl time.Duration) *Leases {
	return &Leases{ttl: ttl, leaderSince: now, byNode: map[string]*lease{}}
}

// Renew renews the lease of m at now, as the leader is about to answer a report of m. The caller must have completed a
// VerifyLeader that began after the report was received. ErrPending means that the session's expiry is proposed; the answer must
// not say that the session is held.
func (l *Leases) Renew(now fleet.Time, m fleet.Member) error {
	entry := l.byNode[m.Node]
	if entry == nil || entry.incarnation < m.Incarnation {
		entry = &lease{incarnation: m.Incarnation}
		l.byNode[m.Node] = entry
	}
	if entry.incarnation > m.Incarnation {
		return fleet.ErrFenced
	}
	if entry.expiring {
		return ErrPending
	}
	entry.until = max(entry.until, now+l.ttl)
	return nil
}

// Expired returns the present members whose lease has expired at now, by node, and blocks their renewal until Resolved is
// called. The caller proposes an Expire for each of them.
func (l *Leases) Expired(now fleet.Time, s *State) []fleet.Member {
	var out []fleet.Member
	for _, m := range s.List() {
		entry := l.byNode[m.Node]
		if entry == nil || entry.incarnation != m.Incarnation {
			entry = &lease{incarnation: m.Incarnation, until: now + l.ttl} // this leader sees the run for the first time
			l.byNode[m.Node] = entry
		}
		if !entry.expiring && now >= max(entry.until, l.leaderSince+l.ttl) {
			entry.expiring = true
			out = append(out, m)
		}
	}
	for node, entry := range l.byNode { // remove the leases of members that are no longer present
		if _, ok := s.Members[node]; !ok && !entry.expiring && now >= entry.until {
			delete(l.byNode, node)
		}
	}
	return out
}

// Resolved records that the outcome of the proposed Expire of m is known: it was committed and applied, or can no longer be.
func (l *Leases) Resolved(m fleet.Member) {
	if entry := l.byNode[m.Node]; entry != nil && entry.incarnation == m.Incarnation {
		delete(l.byNode, m.Node)
	}
}

// AgentLease is the lease of a node's session as its agent tracks it, by the agent's own clock. The zero AgentLease is not held.
type AgentLease struct {
	validUntil fleet.Time
	active     bool
}

// Renew renews the lease on an answer to a report whose sending began after t0 was read: the session is held for AgentLeasePart
// of ttl from t0.
func (l *AgentLease) Renew(t0 fleet.Time, ttl time.Duration) {
	if until := t0 + time.Duration(AgentLeasePart*float64(ttl)); ttl > 0 && (!l.active || until > l.validUntil) {
		l.validUntil, l.active = until, true
	}
}

// Drop ends the lease at once: the leader has answered that there is no session.
func (l *AgentLease) Drop() { l.active = false }

// Remaining returns the time that is left of the lease at now, 0 where it has ended.
func (l *AgentLease) Remaining(now fleet.Time) time.Duration {
	if !l.active {
		return 0
	}
	return max(l.validUntil-now, 0)
}
