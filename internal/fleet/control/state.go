// Package control composes the cores of the fleet's control plane (docs/fleet.md): session, zones, tenants and drift. State is
// the state machine for raft's log; it shares one sequence of revisions with the list of app servers. Controller is the part of
// the leader's state that is not replicated. The package does no I/O, reads no clock and starts no goroutine.
package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/drift"
	"meadowsill/internal/fleet/session"
	"meadowsill/internal/fleet/tenants"
	"meadowsill/internal/fleet/zones"
	"meadowsill/internal/registry/index"
)

// ErrStale rejects a command that was decided from state that has changed since. The controller decides again.
var ErrStale = errors.New("decided from an older state")

// maxTombstones is the number of removed items that are remembered; a watch from a revision before them gets every item.
const maxTombstones = 1000

// Command is one change of State, as it is stored in raft's log (registry.Command.Fleet): a command of one of the cores.
type Command struct {
	Session     *session.Command `json:"session,omitempty"`
	ScopeDigest uint64           `json:"guard,omitempty"` // of a join: State.ScopeDigest at the time at which the run was found to be caught up
	Zones       *zones.Command   `json:"zones,omitempty"`
	Tenants     *tenants.Command `json:"tenants,omitempty"`
	Drift       *drift.Command   `json:"drift,omitempty"`
}

// Change is what a command changed: the revision that it was assigned (0: none), whether it changed items of the intent, and
// whether it changed drift verdicts.
type Change struct {
	Revision uint64
	Items    bool
	Drift    bool
	Scopes   []index.Scope // scopes that contain the changed items, without duplicates
}

// State is the replicated state of the whole fleet. Its JSON is its snapshot. New returns an empty State, Restore reads a snapshot.
type State struct {
	Revision   uint64        `json:"rev"`   // the last revision that changed an item of the intent
	Floor      uint64        `json:"floor"` // changes up to this revision can no longer be listed
	Tombstones []Tombstone   `json:"tombs,omitempty"`
	Session    session.State `json:"session"`
	Zones      zones.State   `json:"zones"`
	Tenants    tenants.State `json:"tenants"`
	Drift      drift.State   `json:"drift"`

	items items // items and tombstones by scope; derived from the fields above
}

// New returns an empty state.
func New() *State { return &State{items: newItems()} }

// IsEmpty reports whether no command has changed anything yet.
func (s *State) IsEmpty() bool {
	return s.Revision == 0 && s.Session.Epoch == 0 && s.Drift.Revision == 0
}

// Snapshot returns the state as JSON.
func (s *State) Snapshot() ([]byte, error) { return json.Marshal(s) }

// Restore reads a snapshot. On an error it returns no state.
func Restore(raw []byte) (*State, error) {
	s := New()
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("fleet snapshot: %w", err)
	}
	s.reindex()
	return s, nil
}

// Apply applies one command. next returns the next revision; it is called once, and only where something changes. If Apply returns
// an error, nothing has changed; the error wraps one of package fleet's, or says that the command was decided from an older state.
func (s *State) Apply(c Command, next func() uint64) (Change, error) {
	var ch Change
	assignRevision := func() uint64 { ch.Revision = next(); return ch.Revision }
	var keys []string
	var err error
	switch {
	case c.Session != nil:
		if c.Session.Operation == session.Join && c.ScopeDigest != s.ScopeDigest(c.Session.Member.Node, c.Session.Services) {
			return ch, fmt.Errorf("%w: %s is not caught up any more", ErrStale, c.Session.Member.Node)
		}
		var changed bool
		if changed, err = s.Session.Apply(*c.Session); changed {
			assignRevision()
		}
	case c.Zones != nil:
		keys, err = s.Zones.Apply(*c.Zones, assignRevision)
	case c.Tenants != nil:
		// A division ends the quota leases of runs that had lapsed. It must not end those of runs that have joined again since.
		if c.Tenants.Operation == tenants.Divide && c.Tenants.Epoch != s.Session.Epoch {
			return ch, fmt.Errorf("%w: division at epoch %d, it is %d", ErrStale, c.Tenants.Epoch, s.Session.Epoch)
		}
		keys, err = s.Tenants.Apply(*c.Tenants, s.Session.ScopeEpoch, assignRevision)
	case c.Drift != nil: // parts that are out of date change nothing; the other parts are applied
		if err = s.Drift.Apply(*c.Drift, assignRevision); ch.Revision != 0 {
			ch.Drift, err = true, nil
		}
	default:
		err = fmt.Errorf("%w: an empty command", fleet.ErrInvalid)
	}
	if err != nil {
		return Change{}, err
	}
	for _, k := range keys {
		ch.Scopes = append(ch.Scopes, s.refresh(k, ch.Revision)...)
	}
	if len(keys) > 0 {
		s.Revision, ch.Items = ch.Revision, true
	}
	slices.Sort(ch.Scopes)
	ch.Scopes = slices.Compact(ch.Scopes)
	return ch, nil
}
