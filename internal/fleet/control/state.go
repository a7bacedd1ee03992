// Package control composes the fleet's cores (docs/fleet.md): session, zones, tenants and drift. State is one state
// machine for raft's log, under one revision that it shares with the list of app servers; Judge is the leader's soft
// part. It does no I/O, reads no clock and starts no goroutine.
package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"starlingvalve/internal/fleet"
	"starlingvalve/internal/fleet/drift"
	"starlingvalve/internal/fleet/session"
	"starlingvalve/internal/fleet/tenants"
	"starlingvalve/internal/fleet/zones"
)

// ErrStale refuses a command that was decided from what has changed since. It is decided anew.
var ErrStale = errors.New("decided from an older state")

// tombstonesKept is how many items that are gone are remembered; a watch from before them gets every item.
const tombstonesKept = 1000

// Command is one change of State, as it stands in raft's log (registry.Command.Fleet): one of the cores' commands.
type Command struct {
	Session *session.Command `json:"session,omitempty"`
	Guard   uint64           `json:"guard,omitempty"` // with a join: State.Guard when the run was found to be caught up
	Zones   *zones.Command   `json:"zones,omitempty"`
	Tenants *tenants.Command `json:"tenants,omitempty"`
	Drift   *drift.Command   `json:"drift,omitempty"`
}

// Change is what a command changed: the revision it took (0: none), and whether items of the intent, or verdicts of
// drift, are among it.
type Change struct {
	Rev          uint64
	Items, Drift bool
}

// Tombstone remembers that an item is gone.
type Tombstone struct {
	Key string `json:"key"`
	Rev uint64 `json:"rev"`
}

// State is the replicated part of the whole fleet. Its JSON is its snapshot. New makes one, Restore reads one back.
type State struct {
	Rev        uint64        `json:"rev"`   // that last changed an item of the intent
	Floor      uint64        `json:"floor"` // changes up to here can no longer be listed
	Tombstones []Tombstone   `json:"tombs,omitempty"`
	Session    session.State `json:"session"`
	Zones      zones.State   `json:"zones"`
	Tenants    tenants.State `json:"tenants"`
	Drift      drift.State   `json:"drift"`

	items map[string]fleet.Item // by key, gone ones among them; made from the above
}

// New gives an empty state.
func New() *State { return &State{items: map[string]fleet.Item{}} }

// Empty says that no command has changed anything yet.
func (s *State) Empty() bool { return s.Rev == 0 && s.Session.Epoch == 0 && s.Drift.Rev == 0 }

// Snapshot is the state as bytes.
func (s *State) Snapshot() ([]byte, error) { return json.Marshal(s) }

// Restore reads a snapshot. An error gives no state.
func Restore(raw []byte) (*State, error) {
	s := New()
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("fleet snapshot: %w", err)
	}
	for _, it := range s.Zones.Items() {
		s.items[it.Key] = it
	}
	for _, it := range s.Tenants.Items() {
		if !it.Gone {
			s.items[it.Key] = it
		}
	}
	for _, t := range s.Tombstones {
		s.items[t.Key] = fleet.Item{Key: t.Key, Rev: t.Rev, Gone: true}
	}
	return s, nil
}

// Apply carries out one command. next gives the next revision; it is called once, and only where something changes. An error
// changes nothing; it wraps one of package fleet's, or says that the command was decided from an older state.
func (s *State) Apply(c Command, next func() uint64) (Change, error) {
	var ch Change
	take := func() uint64 { ch.Rev = next(); return ch.Rev }
	var keys []string
	var err error
	switch {
	case c.Session != nil:
		if c.Session.Op == session.Join && c.Guard != s.Guard(c.Session.Member.Node) {
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
		if c.Tenants.Op == tenants.Divide && c.Tenants.Epoch != s.Session.Epoch {
			return ch, fmt.Errorf("%w: division at epoch %d, it is %d", ErrStale, c.Tenants.Epoch, s.Session.Epoch)
		}
		keys, err = s.Tenants.Apply(*c.Tenants, s.Session.Epoch, take)
	case c.Drift != nil: // parts that came too late change nothing, and the others stand
		if err = s.Drift.Apply(*c.Drift, take); ch.Rev != 0 {
			ch.Drift, err = true, nil
		}
	default:
		err = fmt.Errorf("%w: an empty command", fleet.ErrInvalid)
	}
	if err != nil {
		return Change{}, err
	}
	for _, k := range keys {
		s.refresh(k, ch.Rev)
	}
	if len(keys) > 0 {
		s.Rev, ch.Items = ch.Rev, true
	}
	return ch, nil
}

// refresh brings the item of a key that changed at rev up to date, or buries it.
func (s *State) refresh(key string, rev uint64) {
	it, ok := s.Zones.Item(key)
	if !ok {
		it, ok = s.Tenants.Item(key)
		ok = ok && !it.Gone
	}
	old, was := s.items[key]
	if was && old.Gone {
		s.Tombstones = without(s.Tombstones, key)
	}
	if ok {
		s.items[key] = it
		return
	}
	s.items[key] = fleet.Item{Key: key, Rev: rev, Gone: true}
	s.Tombstones = append(s.Tombstones, Tombstone{key, rev})
	for len(s.Tombstones) > tombstonesKept {
		s.Floor = s.Tombstones[0].Rev
		delete(s.items, s.Tombstones[0].Key)
		s.Tombstones = s.Tombstones[1:]
	}
}

func without(tombstones []Tombstone, key string) []Tombstone {
	for i, t := range tombstones {
		if t.Key == key {
			return append(tombstones[:i:i], tombstones[i+1:]...)
		}
	}
	return tombstones
}

// Read answers GET /fleet/v1/intent: the items changed after since, or all where since is 0, compacted or newer than the state. node
// leaves out the shares of other nodes; "" leaves out none.
func (s *State) Read(since uint64, node string) fleet.Intent {
	out := fleet.Intent{Revision: s.Rev, Full: since == 0 || since < s.Floor || since > s.Rev, Items: []fleet.Item{}}
	for key, it := range s.items {
		if of, ok := strings.CutPrefix(key, "share/"); ok && node != "" && of != node {
			continue
		}
		if out.Full && !it.Gone || !out.Full && it.Rev > since {
			out.Items = append(out.Items, it)
		}
	}
	sort.Slice(out.Items, func(i, j int) bool { return out.Items[i].Key < out.Items[j].Key })
	return out
}

// All gives every item and the tombstones kept, by key.
func (s *State) All() []fleet.Item {
	out := make([]fleet.Item, 0, len(s.items))
	for _, it := range s.items {
		out = append(out, it)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// Item gives the item of a key, or its tombstone.
func (s *State) Item(key string) (fleet.Item, bool) {
	it, ok := s.items[key]
	return it, ok
}

// Guard is a digest of all that a run must hold before it may be present: the committed generations, and its
// node's share. A join names it, so that it is refused where any of it has changed since the run was looked at.
func (s *State) Guard(node string) uint64 {
	h := xxhash.New()
	names := make([]string, 0, len(s.Tenants.Tenants))
	for name := range s.Tenants.Tenants {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		e := s.Tenants.Tenants[name]
		g := uint64(0)
		if e.Committed != nil {
			g = e.Committed.Number
		}
		fmt.Fprintf(h, "%q %d %d %t %t\n", name, e.UID, g, e.Removing, e.QuotaGone)
	}
	fmt.Fprintf(h, "%d\n", s.items["share/"+node].Rev)
	return h.Sum64()
}

// MayJoin says whether a run that reports so may be present: one that holds nothing yet, so that it is counted before it
// hears of any quota, or one that has caught up.
func (s *State) MayJoin(r fleet.Report) bool {
	acked := slices.ContainsFunc(r.Tenants, func(a fleet.TenantAck) bool { return a.UID != 0 })
	return r.Revision == 0 && !acked || s.CaughtUp(r)
}

// CaughtUp says whether a run that reports so may begin to serve: it holds what is committed, and its node's share as it is now, so
// that a lease renewed never wakes an older share.
func (s *State) CaughtUp(r fleet.Report) bool {
	if r.Revision < s.Floor || r.Revision < s.items["share/"+r.Node].Rev {
		return false
	}
	for _, e := range s.Tenants.Tenants {
		if (e.Removing || e.QuotaGone) && r.Revision < e.Rev {
			return false
		}
	}
	return tenants.CaughtUp(&s.Tenants, r)
}
