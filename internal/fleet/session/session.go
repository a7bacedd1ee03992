// Package session is the core of the fleet's sessions (docs/fleet.md, "Sessions"): it determines which run of which node is
// present, and it computes the leases such that an agent regards its node's session as over before the control plane can expire
// it. The package does no I/O, reads no clock and starts no goroutine: readings of the caller's own monotonic clock are passed in.
//
// State is replicated and contains no times. The leader keeps Leases, in memory. The agent keeps an AgentLease.
package session

import (
	"errors"
	"fmt"
	"sort"

	"meadowsill/internal/fleet"
)

// Errors of a join or a renewal, besides fleet.ErrFenced. A rejected one changes nothing.
var (
	ErrNoSlot  = errors.New("no slot is free")       // as many nodes are present as the settings have slots
	ErrPending = errors.New("the session is ending") // its expiry is proposed: the report is to be repeated
)

// MaxRememberedNames is the maximum number of node names that are remembered; a join under a further name is rejected.
const MaxRememberedNames = 4096

// MaxNameBytes is the maximum length of the name of a node or a zone, in bytes.
const MaxNameBytes = 128

// NewestRun is the newest run that was present under a node's name. Older runs may not join again.
type NewestRun struct {
	Incarnation uint64 `json:"incarnation"`
	Ended       bool   `json:"left,omitempty"` // it left and may not join again
}

// State is the replicated state: which runs are present. The zero State is empty and ready for use.
type State struct {
	Epoch      uint64                  `json:"epoch"`             // of the set of present members; increases by one with each change of the set
	Members    map[string]fleet.Member `json:"members,omitempty"` // present members, by node
	NewestRuns map[string]NewestRun    `json:"highest,omitempty"` // by node
	Scopes     *Scopes                 `json:"scopes,omitempty"`  // nil: no run with a scope has ever joined
}

// Operations of a command.
const (
	Join   = "join"  // a run reports for the first time, or again after its lease lapsed
	Leave  = "leave" // a run leaves
	Expire = "lapse" // a run's lease is over by the leader's clock
)

// Command is one change of the set of present members. Slots is the maximum number of present nodes. It comes from the leader's
// settings, so that every replica decides alike; 0 means no limit.
type Command struct {
	Operation string       `json:"op"`
	Member    fleet.Member `json:"member"`
	Services  []string     `json:"services,omitempty"` // of a join: the run's scope; empty: every service
	Slots     int          `json:"slots,omitempty"`
}

// Check reports whether m may be present: it returns nil where m is present or may join, fleet.ErrFenced for an older run or one
// that left, and fleet.ErrInvalid for an invalid name, incarnation or zone.
func (s *State) Check(m fleet.Member) error {
	if m.Node == "" || len(m.Node) > MaxNameBytes || m.Zone == "" || len(m.Zone) > MaxNameBytes {
		return fmt.Errorf("%w: node and zone: names of 1 to %d bytes", fleet.ErrInvalid, MaxNameBytes)
	}
	if m.Incarnation == 0 {
		return fmt.Errorf("%w: incarnation: above 0", fleet.ErrInvalid)
	}
	newest, known := s.NewestRuns[m.Node]
	if known && (m.Incarnation < newest.Incarnation || m.Incarnation == newest.Incarnation && newest.Ended) {
		return fmt.Errorf("%w: %s: %d, seen %d", fleet.ErrFenced, m.Node, m.Incarnation, newest.Incarnation)
	}
	if p, ok := s.Members[m.Node]; ok && p.Incarnation == m.Incarnation && p.Zone != m.Zone {
		return fmt.Errorf("%w: zone: %s is present in %s", fleet.ErrInvalid, m.Node, p.Zone)
	}
	return nil
}

// Present reports whether exactly this run is present.
func (s *State) Present(m fleet.Member) bool {
	p, ok := s.Members[m.Node]
	return ok && p.Incarnation == m.Incarnation
}

// Apply applies one command and reports whether it changed the set of present members. If it returns an error, nothing has changed.
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
			return false, nil // the run is no longer present, or a newer run has replaced it
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
	_, replaces := s.Members[m.Node]
	_, known := s.NewestRuns[m.Node]
	if !replaces && c.Slots > 0 && len(s.Members) >= c.Slots || !known && len(s.NewestRuns) >= MaxRememberedNames {
		return false, fmt.Errorf("%w for %s: %d are present", ErrNoSlot, m.Node, len(s.Members))
	}
	if s.Members == nil {
		s.Members = map[string]fleet.Member{}
	}
	if s.NewestRuns == nil {
		s.NewestRuns = map[string]NewestRun{}
	}
	s.Epoch++
	if replaces { // the node's former run ends
		s.advanceEpochs(s.Services(m.Node), c.Services)
	} else {
		s.advanceEpochs(c.Services)
	}
	s.Members[m.Node], s.NewestRuns[m.Node] = m, NewestRun{Incarnation: m.Incarnation}
	s.setServices(m.Node, c.Services)
	return true, nil
}

// removeMember removes a present member and its scope.
func (s *State) removeMember(m fleet.Member) {
	s.Epoch++
	s.advanceEpochs(s.Services(m.Node))
	delete(s.Members, m.Node)
	s.setServices(m.Node, nil)
}

// List returns the present members, by node.
func (s *State) List() []fleet.Member {
	out := make([]fleet.Member, 0, len(s.Members))
	for _, m := range s.Members {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node < out[j].Node })
	return out
}
