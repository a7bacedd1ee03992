// Package control composes the fleet's cores (docs/fleet.md): session, zones, tenants and drift. State is one state
// machine for raft's log, under one revision that it shares with the list of app servers; Controller is the leader's soft
// part. It does no I/O, reads no clock and starts no goroutine.
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

// ErrStale rejects a command that was decided from what has changed since. It is decided anew.
var ErrStale = errors.New("decided from an older state")

// maxTombstones is how many items that are removed are remembered; a watch from before them gets every item.
const maxTombstones = 1000

// Command is one change of State, as it stands in raft's log (registry.Command.Fleet): one of the cores' commands.
type Command struct {
	Session     *session.Command `json:"session,omitempty"`
	ScopeDigest uint64           `json:"guard,omitempty"` // with a join: State.ScopeDigest when the run was found to be caught up
	Zones       *zones.Command   `json:"zones,omitempty"`
	Tenants     *tenants.Command `json:"tenants,omitempty"`
	Drift       *drift.Command   `json:"drift,omitempty"`
}

// Change is what a command changed: the revision it took (0: none), and whether items of the intent, or verdicts of
// drift, are among it.
type Change struct {
	Revision uint64
	Items    bool
	Drift    bool
	Scopes   []index.Scope // that the items are in, each once
}

// State is the replicated part of the whole fleet. Its JSON is its snapshot. New makes one, Restore reads one back.
type State struct {
	Revision   uint64        `json:"rev"`   // that last changed an item of the intent
	Floor      uint64        `json:"floor"` // changes up to here can no longer be listed
	Tombstones []Tombstone   `json:"tombs,omitempty"`
	Session    session.State `json:"session"`
	Zones      zones.State   `json:"zones"`
	Tenants    tenants.State `json:"tenants"`
	Drift      drift.State   `json:"drift"`

	items items // and the tombstones by scope; made from the above
}

// New returns an empty state.
func New() *State { return &State{items: newItems()} }

// IsEmpty reports that no command has changed anything yet.
func (s *State) IsEmpty() bool {
	return s.Revision == 0 && s.Session.Epoch == 0 && s.Drift.Revision == 0
}

// Snapshot is the state as bytes.
func (s *State) Snapshot() ([]byte, error) { return json.Marshal(s) }

// Restore reads a snapshot. An error gives no state.
func Restore(raw []byte) (*State, error) {
	s := New()
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("fleet snapshot: %w", err)
	}
	s.reindex()
	return s, nil
}

// Apply carries out one command. next gives the next revision; it is called once, and only where something changes. An error
// changes nothing; it wraps one of package fleet's, or says that the command was decided from an older state.
func (s *State) Apply(c Command, next func() uint64) (Change, error) {
	var ch Change
	take := func() uint64 { ch.Revision = next(); return ch.Revision }
	var keys []string
	var err error
	switch {
	case c.Session != nil:
		if c.Session.Operation == session.Join && c.ScopeDigest != s.ScopeDigest(c.Session.Member.Node, c.Session.Services) {
			return ch, fmt.Errorf("%w: %s is not caught up any more", ErrStale, c.Session.Member.Node)
		}
		var changed bool
		if changed, err = s.Session.Apply(*c.Session); changed {
			take()
		}
	case c.Zones != nil:
		keys, err = s.Zones.Apply(*c.Zones, take)
	case c.Tenants != nil:
		// A division ends the leases of runs that had lapsed: not those that have come back since.
		if c.Tenants.Operation == tenants.Divide && c.Tenants.Epoch != s.Session.Epoch {
			return ch, fmt.Errorf("%w: division at epoch %d, it is %d", ErrStale, c.Tenants.Epoch, s.Session.Epoch)
		}
		keys, err = s.Tenants.Apply(*c.Tenants, s.Session.ScopeEpoch, take)
	case c.Drift != nil: // parts that came too late change nothing, and the others stand
		if err = s.Drift.Apply(*c.Drift, take); ch.Revision != 0 {
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
