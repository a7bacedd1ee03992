// Package registry is the core of listd, the project's discovery service: the list of app servers under one
// revision, leases that lapse, and the answers to PROTOCOL's reads and watches. It does no I/O and reads no
// clock: every command carries the time it is applied at, chosen once by the leader, so that every replica that
// applies the same log holds the same list. It is the state machine that package raft replicates.
package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"sort"
	"time"
)

// Entry is one app server as PROTOCOL's "Discovery" gives it.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"` // ready, draining, gone
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// Op is what a command does.
type Op string

const (
	Register   Op = "register"   // puts an entry under a new lease, or renews and changes it
	Renew      Op = "renew"      // extends a lease
	Drain      Op = "drain"      // its owner says: finish what you have, nothing new
	Deregister Op = "deregister" // gone at once
	Expire     Op = "expire"     // the leader's sweep: every lease lapsed at Now is gone
	Fleet      Op = "fleet"      // a command on the fleet's state, which this package does not read
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
	Entry     Entry  `json:"entry"`
	ExpiresMS int64  `json:"expires_ms"` // 0 once gone
	Rev       uint64 `json:"rev"`        // of its last change
	Asked     int64  `json:"asked_ms"`   // started_ms as the registrant gave it, before it was bounded
}

// State is the whole list. The zero State is not ready: use New. Rev is the revision of all that is replicated: the list
// shares it with the fleet's intent (docs/fleet.md). Last is that of the list's own last change, and the version
// that reads and watches of the list show: without a fleet the two are one.
type State struct {
	Rev     uint64             `json:"rev"`
	Last    uint64             `json:"last,omitempty"` // in a snapshot only where it is not Rev
	Floor   uint64             `json:"floor"`          // changes at or below it are compacted: older watches get the whole list
	Records map[string]*record `json:"records"`
	keep    int
}

// New gives an empty list at revision 0 that keeps gone entries for keep revisions before compaction.
func New(keep int) *State { return &State{Records: map[string]*record{}, keep: max(keep, 1)} }

// Apply carries out one command and says whether it changed the list (and so made a new revision). Gone entries
// older than keep revisions are compacted at each sweep and every keep revisions.
func (s *State) Apply(c Command) (bool, error) {
	before := s.Last
	changed, err := s.apply(c)
	if changed {
		s.Last = s.Rev
		if keep := uint64(s.keep); s.Rev/keep != before/keep {
			s.compact()
		}
	}
	return changed, err
}

// Bump takes the next revision for a change of what is replicated together with the list. The list stays at its version.
func (s *State) Bump() uint64 {
	s.Rev++
	return s.Rev
}

func (s *State) apply(c Command) (bool, error) {
	switch c.Op {
	case Register:
		if err := valid(c.Entry); err != nil {
			return false, err
		}
		ttl := min(max(c.TTLMS, MinTTLMS), MaxTTLMS)
		e := c.Entry
		if e.State == "" || e.State == "gone" {
			e.State = "ready"
		}
		// A registrant whose clock is fast can't start a server in the future: nodes would take it for
		// cold until then. Its renewals keep the bounded start. Leases are counted on the leader's clock alone.
		r := s.Records[e.ID]
		asked := e.StartedMS
		if r != nil && r.Asked == asked {
			e.StartedMS = r.Entry.StartedMS
		}
		e.StartedMS = min(e.StartedMS, c.NowMS)
		if r != nil && r.ExpiresMS != 0 && r.Entry == e {
			r.ExpiresMS = c.NowMS + ttl // a renewal by registering again is no change
			return false, nil
		}
		s.Rev++
		s.Records[e.ID] = &record{Entry: e, ExpiresMS: c.NowMS + ttl, Rev: s.Rev, Asked: asked}
		return true, nil
	case Renew:
		r := s.Records[c.ID]
		if r == nil || r.ExpiresMS == 0 {
			return false, fmt.Errorf("%w: %s", ErrUnknown, c.ID)
		}
		r.ExpiresMS = c.NowMS + min(max(c.TTLMS, MinTTLMS), MaxTTLMS)
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
		var lapsed []*record
		for _, r := range s.Records {
			if r.ExpiresMS != 0 && r.ExpiresMS <= c.NowMS {
				lapsed = append(lapsed, r)
			}
		}
		sort.Slice(lapsed, func(i, j int) bool { return lapsed[i].Entry.ID < lapsed[j].Entry.ID })
		for _, r := range lapsed {
			s.change(r, "gone")
		}
		s.compact()
		return len(lapsed) > 0, nil
	}
	return false, fmt.Errorf("unknown op %q", c.Op)
}

func (s *State) change(r *record, state string) {
	s.Rev++
	r.Entry.State, r.Rev = state, s.Rev
	if state == "gone" {
		r.ExpiresMS = 0
	}
}

// compact forgets gone entries older than keep revisions; watches from before them get the whole list.
func (s *State) compact() {
	for id, r := range s.Records {
		if r.ExpiresMS == 0 && r.Rev+uint64(s.keep) <= s.Rev {
			delete(s.Records, id)
			s.Floor = max(s.Floor, r.Rev)
		}
	}
}

func valid(e Entry) error {
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

// Answer is PROTOCOL's body of a read or a watch.
type Answer struct {
	Version uint64  `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Read answers a whole read (since 0, watch false) or a watch from since: the entries changed after it, or the
// whole list where since is compacted away or newer than this list. Gone entries appear only among changes.
func (s *State) Read(since uint64, watch bool) Answer {
	full := !watch || since < s.Floor || since > s.Last
	a := Answer{Version: s.Last, Full: full, Servers: []Entry{}}
	for _, r := range s.Records {
		if full && r.Entry.State != "gone" || !full && r.Rev > since {
			a.Servers = append(a.Servers, r.Entry)
		}
	}
	sort.Slice(a.Servers, func(i, j int) bool { return a.Servers[i].ID < a.Servers[j].ID })
	return a
}

// Each gives every entry that is known, gone ones too, with the revision of its last change, in no order.
func (s *State) Each(f func(e Entry, rev uint64)) {
	for _, r := range s.Records {
		f(r.Entry, r.Rev)
	}
}

// NextExpiry is the soonest time a lease lapses, Unix ms, or 0 where none is held.
func (s *State) NextExpiry() int64 {
	var next int64
	for _, r := range s.Records {
		if r.ExpiresMS != 0 && (next == 0 || r.ExpiresMS < next) {
			next = r.ExpiresMS
		}
	}
	return next
}

// withFleet is the version of a snapshot that has the fleet's state next to the list. One without has no version in it: builds
// before the fleet wrote it so.
const withFleet = 2

type snapshot struct {
	State
	Version int             `json:"version,omitempty"`
	Fleet   json.RawMessage `json:"fleet,omitempty"`
}

// Snapshot is the state as bytes, for raft's snapshots, with the fleet's state next to it (nil: there is none, and the bytes
// are as they were before there was a fleet).
func (s *State) Snapshot(fleet json.RawMessage) ([]byte, error) {
	out := snapshot{State: *s, Fleet: fleet}
	if s.Last == s.Rev {
		out.Last = 0
	}
	if fleet != nil {
		out.Version = withFleet
	}
	return json.Marshal(out)
}

// Restore replaces the state with a snapshot's and gives the fleet's state that was stored with it, or nil. A snapshot of a newer
// version than this build knows is an error; an error changes nothing.
func (s *State) Restore(raw []byte) (fleet json.RawMessage, err error) {
	in := snapshot{State: State{keep: s.keep}}
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, fmt.Errorf("registry snapshot: %w", err)
	}
	if in.Version > withFleet {
		return nil, fmt.Errorf("registry snapshot: version %d, this build reads up to %d", in.Version, withFleet)
	}
	next := in.State
	if next.Last == 0 {
		next.Last = next.Rev
	}
	if next.Records == nil {
		next.Records = map[string]*record{}
	}
	*s = next
	return in.Fleet, nil
}

// TTL is a lease's length as a duration, within the limits.
func TTL(ms int64) time.Duration {
	return time.Duration(min(max(ms, MinTTLMS), MaxTTLMS)) * time.Millisecond
}
