// Package registry is the core of discovery, the project's discovery service: the list of app servers under one
// revision, leases that lapse, and the answers to PROTOCOL's reads and watches. It does no I/O and reads no
// clock: every command carries the time it is applied at, chosen once by the leader, so that every replica that
// applies the same log holds the same list. It is the state machine that package raft replicates.
package registry

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"meadowsill/internal/registry/index"
)

// Entry is one app server as PROTOCOL's "Discovery" gives it.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"` // ready, draining, removed
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// Op is what a command does.
type Op string

const (
	Register     Op = "register"   // puts an entry under a new lease, or renews and changes it
	Renew        Op = "renew"      // extends a lease
	Drain        Op = "drain"      // its owner says: finish what you have, nothing new
	Deregister   Op = "deregister" // removed at once
	Expire       Op = "expire"     // the leader's sweep: every lease lapsed at Now is removed
	FleetCommand Op = "fleet"      // a command on the fleet's state, which this package does not read
)

// Command is one entry of the replicated log. NowMS is the leader's clock when it proposed it, Unix ms.
type Command struct {
	Op    Op     `json:"op"`
	Entry Entry  `json:"entry,omitzero"`
	ID    string `json:"id,omitempty"`
	TTLMS int64  `json:"ttl_ms,omitempty"`
	NowMS int64  `json:"now_ms"`
	// Fleet is the command of package fleet/control that Op Fleet carries. The list only lends its revision (Bump).
	Fleet json.RawMessage `json:"fleet,omitempty"`
}

// Errors a command can meet. They change nothing.
var (
	ErrUnknown = errors.New("no such registration")
	ErrInvalid = errors.New("invalid registration")
)

// Limits on leases, in ms: a TTL outside them is taken as the nearest.
const (
	MinTTLMS = 500
	MaxTTLMS = 60_000
)

type record struct {
	Entry            Entry  `json:"entry"`
	ExpiresMS        int64  `json:"expires_ms"` // 0 once removed
	Revision         uint64 `json:"rev"`        // of its last change
	RequestedStartMS int64  `json:"asked_ms"`   // started_ms as the registrant gave it, before it was bounded
}

// State is the complete list. The zero State is not ready: use New. Rev is the revision of all that is replicated: the list
// shares it with the fleet's intent (docs/fleet.md). Last is that of the list's own last change, and the version
// that reads and watches of the list show: without a fleet the two are one.
type State struct {
	Revision      uint64             `json:"rev"`
	ListRevision  uint64             `json:"last,omitempty"` // in a snapshot only where it is not Rev
	Floor         uint64             `json:"floor"`          // changes at or below it are compacted: older watches get the complete list
	Records       map[string]*record `json:"records"`
	keepRevisions int

	// Made from the records, so that nothing below scans them.
	entries    *index.Index[Entry] // by id and revision, for readers
	leases     *leaseTree          // by expiry
	tombstones []tombstone         // by revision
	view       *View               // of the entries; nil: they have changed since the last
}

// tombstone is an entry that is removed and may be compacted. It is void where the entry has changed since.
type tombstone struct {
	id       string
	revision uint64
}

// New returns an empty list at revision 0 that keeps removed entries for keep revisions before compaction.
func New(keep int) *State {
	s := &State{Records: map[string]*record{}, keepRevisions: max(keep, 1)}
	s.reindex()
	return s
}

// reindex makes the indexes anew from the records.
func (s *State) reindex() {
	s.entries = index.New[Entry]()
	s.leases = newLeaseTree()
	s.tombstones = nil
	s.view = nil
	for id, r := range s.Records {
		s.entries.Set("", id, r.Revision, r.Entry)
		if r.ExpiresMS != 0 {
			s.leases.add(id, r.ExpiresMS)
		} else {
			s.tombstones = append(s.tombstones, tombstone{id: id, revision: r.Revision})
		}
	}
	slices.SortFunc(s.tombstones, func(a, b tombstone) int { return cmp.Compare(a.revision, b.revision) })
}

// Apply carries out one command and reports whether it changed the list (and so made a new revision). Gone entries
// older than keep revisions are compacted at each sweep and every keep revisions.
func (s *State) Apply(c Command) (bool, error) {
	before := s.ListRevision
	changed, err := s.apply(c)
	if changed {
		s.ListRevision = s.Revision
		if keep := uint64(s.keepRevisions); s.Revision/keep != before/keep {
			s.compact()
		}
	}
	return changed, err
}

// NextRevision takes the next revision for a change of what is replicated together with the list. The list stays at its version.
func (s *State) NextRevision() uint64 {
	s.Revision++
	return s.Revision
}

func (s *State) apply(c Command) (bool, error) {
	switch c.Op {
	case Register:
		if err := validate(c.Entry); err != nil {
			return false, err
		}
		ttl := min(max(c.TTLMS, MinTTLMS), MaxTTLMS)
		e := c.Entry
		if e.State == "" || e.State == "gone" {
			e.State = "ready"
		}
		// A registrant whose clock is fast can't start a server in the future: nodes would take it for
		// warming up until then. Its renewals keep the bounded start. Leases are counted on the leader's clock alone.
		r := s.Records[e.ID]
		requested := e.StartedMS
		if r != nil && r.RequestedStartMS == requested {
			e.StartedMS = r.Entry.StartedMS
		}
		e.StartedMS = min(e.StartedMS, c.NowMS)
		if r != nil && r.ExpiresMS != 0 && r.Entry == e {
			s.extend(r, c.NowMS+ttl) // a renewal by registering again is no change
			return false, nil
		}
		s.put(&record{Entry: e, ExpiresMS: c.NowMS + ttl, RequestedStartMS: requested})
		return true, nil
	case Renew:
		r := s.Records[c.ID]
		if r == nil || r.ExpiresMS == 0 {
			return false, fmt.Errorf("%w: %s", ErrUnknown, c.ID)
		}
		s.extend(r, c.NowMS+min(max(c.TTLMS, MinTTLMS), MaxTTLMS))
		return false, nil
	case Drain, Deregister:
		r := s.Records[c.ID]
		if r == nil || r.ExpiresMS == 0 {
			return false, fmt.Errorf("%w: %s", ErrUnknown, c.ID)
		}
		state := map[Op]string{Drain: "draining", Deregister: "gone"}[c.Op]
		if r.Entry.State == state {
			return false, nil
		}
		s.change(r, state)
		return true, nil
	case Expire:
		lapsed := s.leases.expired(c.NowMS)
		slices.Sort(lapsed)
		for _, id := range lapsed {
			s.change(s.Records[id], "gone")
		}
		s.compact()
		return len(lapsed) > 0, nil
	}
	return false, fmt.Errorf("unknown op %q", c.Op)
}

// put takes in a record at the next revision, in place of the one under its id.
func (s *State) put(r *record) {
	id := r.Entry.ID
	if old := s.Records[id]; old != nil && old.ExpiresMS != 0 {
		s.leases.remove(id, old.ExpiresMS)
	}
	s.Revision++
	r.Revision = s.Revision
	s.Records[id] = r
	if r.ExpiresMS != 0 {
		s.leases.add(id, r.ExpiresMS)
	} else {
		s.tombstones = append(s.tombstones, tombstone{id: id, revision: r.Revision})
	}
	s.entries.Set("", id, r.Revision, r.Entry)
	s.view = nil
}

// extend moves the expiry of a record's lease, which is no change of the list.
func (s *State) extend(r *record, expiresMS int64) {
	s.leases.remove(r.Entry.ID, r.ExpiresMS)
	s.leases.add(r.Entry.ID, expiresMS)
	r.ExpiresMS = expiresMS
}

func (s *State) change(r *record, state string) {
	next := *r
	next.Entry.State = state
	if state == "gone" {
		next.ExpiresMS = 0
	}
	s.put(&next)
}

// compact forgets removed entries older than keep revisions; watches from before them get the complete list.
func (s *State) compact() {
	for len(s.tombstones) > 0 && s.tombstones[0].revision+uint64(s.keepRevisions) <= s.Revision {
		oldest := s.tombstones[0]
		s.tombstones = s.tombstones[1:]
		if r := s.Records[oldest.id]; r != nil && r.Revision == oldest.revision {
			delete(s.Records, oldest.id)
			s.entries.Remove("", oldest.id)
			s.Floor, s.view = max(s.Floor, oldest.revision), nil
		}
	}
}

func validate(e Entry) error {
	if e.ID == "" || len(e.ID) > 64 {
		return fmt.Errorf("%w: id %q", ErrInvalid, e.ID)
	}
	if _, err := netip.ParseAddrPort(e.Addr); err != nil {
		return fmt.Errorf("%w: addr %q: %v", ErrInvalid, e.Addr, err)
	}
	if e.State != "" && e.State != "ready" && e.State != "draining" {
		return fmt.Errorf("%w: state %q", ErrInvalid, e.State)
	}
	if e.Weight < 0 || e.StartedMS < 0 {
		return fmt.Errorf("%w: weight or started_ms below 0", ErrInvalid)
	}
	return nil
}

// snapshotWithFleet is the version of a snapshot that has the fleet's state next to the list. One without has no version in it: builds
// before the fleet wrote it so.
const snapshotWithFleet = 2

type snapshot struct {
	State
	Version int             `json:"version,omitempty"`
	Fleet   json.RawMessage `json:"fleet,omitempty"`
}

// Snapshot is the state as bytes, for raft's snapshots, with the fleet's state next to it (nil: there is none, and the bytes
// are as they were before there was a fleet).
func (s *State) Snapshot(fleet json.RawMessage) ([]byte, error) {
	out := snapshot{State: *s, Fleet: fleet}
	if s.ListRevision == s.Revision {
		out.ListRevision = 0
	}
	if fleet != nil {
		out.Version = snapshotWithFleet
	}
	return json.Marshal(out)
}

// Restore replaces the state with a snapshot's and gives the fleet's state that was stored with it, or nil. A snapshot of a newer
// version than this build knows is an error; an error changes nothing.
func (s *State) Restore(raw []byte) (fleet json.RawMessage, err error) {
	in := snapshot{State: State{keepRevisions: s.keepRevisions}}
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, fmt.Errorf("registry snapshot: %w", err)
	}
	if in.Version > snapshotWithFleet {
		return nil, fmt.Errorf("registry snapshot: version %d, this build reads up to %d", in.Version, snapshotWithFleet)
	}
	next := in.State
	if next.ListRevision == 0 {
		next.ListRevision = next.Revision
	}
	if next.Records == nil {
		next.Records = map[string]*record{}
	}
	next.reindex()
	*s = next
	return in.Fleet, nil
}

// TTL is a lease's length as a duration, within the limits.
func TTL(ms int64) time.Duration {
	return time.Duration(min(max(ms, MinTTLMS), MaxTTLMS)) * time.Millisecond
}
