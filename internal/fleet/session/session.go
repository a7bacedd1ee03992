// Package session is the core of the fleet's sessions (docs/fleet.md, "Sessions"): which run of which node is
// present, and the arithmetic by which a node counts itself out before the control plane can count it out. It does
// no I/O, reads no clock and starts no goroutine: readings of the caller's own monotonic clock are passed in.
//
// State is replicated and time-free. Leases are the leader's, in memory. AgentLease is the agent's.
package session

import (
	"errors"
	"fmt"
	"sort"

	"meadowsill/internal/fleet"
)

// Errors of a join, besides fleet.ErrFenced. They change nothing.
var (
	ErrNoSlot  = errors.New("no slot is free")       // as many nodes are present as the settings' slots
	ErrPending = errors.New("the session is ending") // its lapse is proposed: ask again
)

// MaxRememberedNames bounds the names that are remembered; a join under a further one is rejected.
const MaxRememberedNames = 4096

// MaxNameBytes bounds the length of a node's and a zone's name, in bytes.
const MaxNameBytes = 128

// NewestRun is the newest run that was present under a name.
type NewestRun struct {
	Incarnation uint64 `json:"incarnation"`
	Ended       bool   `json:"left,omitempty"` // it left, or a larger one came: it may not come back
}

// State is the replicated part: who is present. The zero State is empty and ready.
type State struct {
	Epoch      uint64                  `json:"epoch"`             // of the set of present members; rises by one with each change of it
	Members    map[string]fleet.Member `json:"members,omitempty"` // present, by node
	NewestRuns map[string]NewestRun    `json:"highest,omitempty"` // by node
	Scopes     *Scopes                 `json:"scopes,omitempty"`  // nil: no run with a scope ever joined
}

// Ops of a command.
const (
	Join   = "join"  // a run reports for the first time, or again after its lease lapsed
	Leave  = "leave" // it left
	Expire = "lapse" // its lease is over by the leader's clock
)

// Command is one change of who is present. Slots is the most nodes that may be, from the leader's settings, so that
// every replica decides alike; 0 means no bound.
type Command struct {
	Operation string       `json:"op"`
	Member    fleet.Member `json:"member"`
	Services  []string     `json:"services,omitempty"` // join: the run's scope; none: every service
	Slots     int          `json:"slots,omitempty"`
}

// Check reports whether m may be present: nil where it is present or may join, fleet.ErrFenced for an older run,
// fleet.ErrInvalid for a name that can't be.
func (s *State) Check(m fleet.Member) error {
	if m.Node == "" || len(m.Node) > MaxNameBytes || m.Zone == "" || len(m.Zone) > MaxNameBytes {
		return fmt.Errorf("%w: node and zone: names of 1 to %d bytes", fleet.ErrInvalid, MaxNameBytes)
	}
	if m.Incarnation == 0 {
		return fmt.Errorf("%w: incarnation: above 0", fleet.ErrInvalid)
	}
	h, known := s.NewestRuns[m.Node]
	if known && (m.Incarnation < h.Incarnation || m.Incarnation == h.Incarnation && h.Ended) {
		return fmt.Errorf("%w: %s: %d, seen %d", fleet.ErrFenced, m.Node, m.Incarnation, h.Incarnation)
	}
	if p, ok := s.Members[m.Node]; ok && p.Incarnation == m.Incarnation && p.Zone != m.Zone {
		return fmt.Errorf("%w: zone: %s is present in %s", fleet.ErrInvalid, m.Node, p.Zone)
	}
	return nil
}

// Present reports whether this very run is present.
func (s *State) Present(m fleet.Member) bool {
	p, ok := s.Members[m.Node]
	return ok && p.Incarnation == m.Incarnation
}

// Apply carries out one command and reports whether it changed who is present. An error changes nothing.
func (s *State) Apply(c Command) (bool, error) {
	switch c.Operation {
	case Join:
		return s.join(c)
	case Leave:
		if err := s.Check(c.Member); err != nil {
			return false, err
		}
		if !s.Present(c.Member) {
			return false, nil
		}
		s.removeMember(c.Member)
		s.NewestRuns[c.Member.Node] = NewestRun{Incarnation: c.Member.Incarnation, Ended: true}
		return true, nil
	case Expire:
		if !s.Present(c.Member) {
			return false, nil // it is no longer present, or a new run is
		}
		s.removeMember(c.Member)
		return true, nil
	}
	return false, fmt.Errorf("%w: session op %q", fleet.ErrInvalid, c.Operation)
}

func (s *State) join(c Command) (bool, error) {
	m := c.Member
	if err := s.Check(m); err != nil {
		return false, err
	}
	if err := s.CheckScope(m, c.Services); err != nil {
		return false, err
	}
	if s.Present(m) {
		return false, nil
	}
	_, again := s.Members[m.Node]
	_, known := s.NewestRuns[m.Node]
	if !again && c.Slots > 0 && len(s.Members) >= c.Slots || !known && len(s.NewestRuns) >= MaxRememberedNames {
		return false, fmt.Errorf("%w for %s: %d are present", ErrNoSlot, m.Node, len(s.Members))
	}
	if s.Members == nil {
		s.Members = map[string]fleet.Member{}
	}
	if s.NewestRuns == nil {
		s.NewestRuns = map[string]NewestRun{}
	}
	s.Epoch++
	if again { // a former run ends
		s.advanceEpochs(s.Services(m.Node), c.Services)
	} else {
		s.advanceEpochs(c.Services)
	}
	s.Members[m.Node], s.NewestRuns[m.Node] = m, NewestRun{Incarnation: m.Incarnation}
	s.rememberServices(m.Node, c.Services)
	return true, nil
}

// removeMember takes a present member away.
func (s *State) removeMember(m fleet.Member) {
	s.Epoch++
	s.advanceEpochs(s.Services(m.Node))
	delete(s.Members, m.Node)
	s.rememberServices(m.Node, nil)
}

// List is the present members, by node.
func (s *State) List() []fleet.Member {
	out := make([]fleet.Member, 0, len(s.Members))
	for _, m := range s.Members {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node < out[j].Node })
	return out
}
