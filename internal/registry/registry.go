// Package registry is the core of discovery, the project's discovery service. It keeps the list of app servers under one
// revision, expires their leases, and answers PROTOCOL's reads and watches. It does no I/O and reads no clock: every
// command carries the time at which it is applied, chosen once by the leader, so that every replica that applies the
// same log holds the same list. Package replica replicates this state machine by raft.
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

// Entry is one app server in the form that PROTOCOL's "Discovery" specifies.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"` // ready, draining or gone
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// Op is the operation that a command carries out.
type Op string

const (
	Register     Op = "register"   // adds an entry with a new lease, or renews the lease and updates the entry
	Renew        Op = "renew"      // extends a lease
	Drain        Op = "drain"      // the registrant's request to drain: the server finishes its requests and gets no new ones
	Deregister   Op = "deregister" // removes an entry at once
	Expire       Op = "expire"     // proposed by the leader's sweep: removes every entry whose lease has lapsed at NowMS
	FleetCommand Op = "fleet"      // a command for the fleet's state; this package does not decode it
)

// Command is one entry of the replicated log. NowMS is the leader's clock when it proposed the command, in Unix ms.
type Command struct {
	Op    Op     `json:"op"`
	Entry Entry  `json:"entry,omitzero"`
	ID    string `json:"id,omitempty"`
	TTLMS int64  `json:"ttl_ms,omitempty"`
	NowMS int64  `json:"now_ms"`
	// Fleet is the command of package fleet/control, set where Op is FleetCommand. The fleet's state and the list share one
	// revision counter (State.NextRevision).
	Fleet json.RawMessage `json:"fleet,omitempty"`
}

// Errors of a rejected command. A command that fails changes nothing.
var (
	ErrUnknown = errors.New("no such registration")
	ErrInvalid = errors.New("invalid registration")
)

// Limits on a lease's TTL, in ms. A TTL outside them is clamped to the nearer limit.
const (
	MinTTLMS = 500
	MaxTTLMS = 60_000
)

type record struct {
	Entry            Entry  `json:"entry"`
	ExpiresMS        int64  `json:"expires_ms"` // when the lease lapses, Unix ms; 0 once the entry is removed
	Revision         uint64 `json:"rev"`        // revision of the entry's last change
	RequestedStartMS int64  `json:"asked_ms"`   // started_ms as the registrant sent it, before it was limited to the leader's clock
}

// State is the complete list. The zero State is not usable; New returns a usable one. Revision counts every replicated
// change: the list shares it with the fleet's intent (docs/fleet.md). ListRevision is the revision of the list's own last
// change and the version in the answers to reads and watches of the list. Without a fleet the two are equal.
type State struct {
	Revision      uint64             `json:"rev"`
	ListRevision  uint64             `json:"last,omitempty"` // in a snapshot only where it differs from Revision
	Floor         uint64             `json:"floor"`          // changes up to this revision are compacted: watches from before it get the complete list
	Records       map[string]*record `json:"records"`
	keepRevisions int

	// The fields below are indexes built from Records, so that no operation scans the records.
	entries    *index.Index[Entry] // by id and revision, for readers
	leases     *leaseTree          // by expiry
	tombstones []tombstone         // by revision
	view       *View               // cached view of the entries; nil after a change
}

// tombstone is a removed entry that is due for compaction. It is ignored where the entry has changed since the removal.
type tombstone struct {
	id       string
	revision uint64
}

// New returns an empty list at revision 0. The list keeps a removed entry for keep revisions before it compacts it.
func New(keep int) *State {
	s := &State{Records: map[string]*record{}, keepRevisions: max(keep, 1)}
	s.reindex()
	return s
}

// reindex rebuilds the indexes from the records.
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

// Apply carries out one command and reports whether it changed the list (and so created a new revision). Removed entries
// that are at least keepRevisions revisions old are compacted at each sweep and every keepRevisions revisions.
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

// NextRevision increments the revision for a change of other replicated state (the fleet's) and returns it. The list's own
// version stays the same.
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
		// Limit the start time to the leader's clock: a registrant with a fast clock would otherwise report a start in
		// the future, and nodes would treat the server as warming up until then. Renewals keep the limited start time.
		// Leases depend on the leader's clock alone.
		r := s.Records[e.ID]
		requested := e.StartedMS
		if r != nil && r.RequestedStartMS == requested {
			e.StartedMS = r.Entry.StartedMS
		}
		e.StartedMS = min(e.StartedMS, c.NowMS)
		if r != nil && r.ExpiresMS != 0 && r.Entry == e {
			s.extend(r, c.NowMS+ttl) // registering an unchanged entry again only renews its lease
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

// put stores a record at the next revision and replaces the record with the same id, if there is one.
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

// extend moves the expiry of a record's lease. This does not change the list's revision.
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

// compact deletes removed entries that are at least keepRevisions revisions old. A watch from before their removal gets
// the complete list.
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

// snapshotWithFleet is the version of a snapshot that holds the fleet's state next to the list. A snapshot of the list alone
// has no version field, as builds without fleet support wrote it.
const snapshotWithFleet = 2

type snapshot struct {
	State
	Version int             `json:"version,omitempty"`
	Fleet   json.RawMessage `json:"fleet,omitempty"`
}

// Snapshot encodes the state for raft's snapshots, with the fleet's state next to it. Where fleet is nil, the bytes are the
// same as those that builds without fleet support wrote.
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

// Restore replaces the state with a snapshot and returns the fleet's state that was stored with it, or nil. A snapshot of a
// newer version than this build supports is an error. An error changes nothing.
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

// TTL returns the length of a lease of ms milliseconds, clamped to MinTTLMS and MaxTTLMS.
func TTL(ms int64) time.Duration {
	return time.Duration(min(max(ms, MinTTLMS), MaxTTLMS)) * time.Millisecond
}
