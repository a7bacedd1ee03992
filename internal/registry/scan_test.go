package registry

import (
	"encoding/json"
	"fmt"
	"sort"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// scanState is the reference model of State. It applies the same commands by scans of one map, without indexes.
type scanState struct {
	Rev     uint64             `json:"rev"`
	Last    uint64             `json:"last,omitempty"`
	Floor   uint64             `json:"floor"`
	Records map[string]*record `json:"records"`
	keep    int
}

func (s *scanState) apply(c Command) (bool, error) {
	before := s.Last
	changed, err := s.carryOut(c)
	if changed {
		s.Last = s.Rev
		if keep := uint64(s.keep); s.Rev/keep != before/keep {
			s.compact()
		}
	}
	return changed, err
}

func (s *scanState) carryOut(c Command) (bool, error) {
	ttl := min(max(c.TTLMS, MinTTLMS), MaxTTLMS)
	switch c.Op {
	case Register:
		return s.register(c, ttl)
	case Renew:
		r := s.Records[c.ID]
		if r == nil || r.ExpiresMS == 0 {
			return false, ErrUnknown
		}
		r.ExpiresMS = c.NowMS + ttl
		return false, nil
	case Drain, Deregister:
		r := s.Records[c.ID]
		if r == nil || r.ExpiresMS == 0 {
			return false, ErrUnknown
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
	return false, ErrInvalid
}

func (s *scanState) register(c Command, ttl int64) (bool, error) {
	e := c.Entry
	if e.State == "" {
		e.State = "ready"
	}
	r := s.Records[e.ID]
	requested := e.StartedMS
	if r != nil && r.RequestedStartMS == requested {
		e.StartedMS = r.Entry.StartedMS
	}
	e.StartedMS = min(e.StartedMS, c.NowMS)
	if r != nil && r.ExpiresMS != 0 && r.Entry == e {
		r.ExpiresMS = c.NowMS + ttl
		return false, nil
	}
	s.Rev++
	s.Records[e.ID] = &record{Entry: e, ExpiresMS: c.NowMS + ttl, Revision: s.Rev, RequestedStartMS: requested}
	return true, nil
}

func (s *scanState) change(r *record, state string) {
	s.Rev++
	r.Entry.State, r.Revision = state, s.Rev
	if state == "gone" {
		r.ExpiresMS = 0
	}
}

func (s *scanState) compact() {
	for id, r := range s.Records {
		if r.ExpiresMS == 0 && r.Revision+uint64(s.keep) <= s.Rev {
			delete(s.Records, id)
			s.Floor = max(s.Floor, r.Revision)
		}
	}
}

func (s *scanState) read(since uint64, watch bool) Answer {
	full := !watch || since < s.Floor || since > s.Last
	a := Answer{Version: s.Last, Full: full, Servers: []Entry{}}
	for _, r := range s.Records {
		if full && r.Entry.State != "gone" || !full && r.Revision > since {
			a.Servers = append(a.Servers, r.Entry)
		}
	}
	sort.Slice(a.Servers, func(i, j int) bool { return a.Servers[i].ID < a.Servers[j].ID })
	return a
}

func (s *scanState) nextExpiry() int64 {
	var next int64
	for _, r := range s.Records {
		if r.ExpiresMS != 0 && (next == 0 || r.ExpiresMS < next) {
			next = r.ExpiresMS
		}
	}
	return next
}

// snapshot encodes the list as builds without the indexes wrote it.
func (s *scanState) snapshot() ([]byte, error) {
	out := *s
	if s.Last == s.Rev {
		out.Last = 0
	}
	return json.Marshal(out)
}

// drawCommand draws a command on one of a few ids, at a time that never decreases.
func drawCommand(t *rapid.T, now *int64) Command {
	*now += int64(rapid.IntRange(0, 2000).Draw(t, "ms"))
	id := fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "id"))
	c := Command{ID: id, NowMS: *now, TTLMS: int64(rapid.IntRange(0, 4000).Draw(t, "ttl"))}
	c.Op = rapid.SampledFrom([]Op{Register, Register, Renew, Drain, Deregister, Expire, Expire}).Draw(t, "op")
	if c.Op == Register {
		c.Entry, c.ID = entry(id), ""
		c.Entry.Weight = float64(rapid.IntRange(1, 2).Draw(t, "weight"))
		c.Entry.StartedMS = int64(rapid.IntRange(0, 10_000).Draw(t, "started"))
		c.Entry.State = rapid.SampledFrom([]string{"", "ready", "draining"}).Draw(t, "state")
	}
	return c
}

// TestListAgainstScan compares the list with the scanning reference over random schedules of commands and restores: answers,
// expiry, compaction and snapshots must be the same, and an earlier view must not change.
func TestListAgainstScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keep := rapid.IntRange(1, 6).Draw(t, "keep")
		s := New(keep)
		want := &scanState{Records: map[string]*record{}, keep: keep}
		now := int64(1)
		held, heldWant := s.View(), want.read(0, false)
		t.Repeat(map[string]func(*rapid.T){
			"apply": func(t *rapid.T) {
				c := drawCommand(t, &now)
				changed, err := s.Apply(c)
				wantChanged, wantErr := want.apply(c)
				if changed != wantChanged || (err == nil) != (wantErr == nil) {
					t.Fatalf("%+v: changed %v, %v; want %v, %v", c, changed, err, wantChanged, wantErr)
				}
			},
			"bump": func(t *rapid.T) {
				s.NextRevision()
				want.Rev++
			},
			"hold": func(t *rapid.T) { held, heldWant = s.View(), want.read(0, false) },
			"restore": func(t *rapid.T) {
				raw, err := s.Snapshot(nil)
				if err != nil {
					t.Fatal(err)
				}
				s = New(keep)
				if _, err := s.Restore(raw); err != nil {
					t.Fatal(err)
				}
				if want.Last == 0 { // a snapshot doesn't distinguish a list that has never changed from one that last changed at the snapshot's revision
					want.Last = want.Rev
				}
			},
			"": func(t *rapid.T) {
				for since := range want.Rev + 2 {
					if d := cmp.Diff(want.read(since, true), s.Read(since, true)); d != "" {
						t.Fatalf("watch from %d: %s", since, d)
					}
				}
				if d := cmp.Diff(want.read(0, false), s.Read(0, false)); d != "" {
					t.Fatalf("complete read: %s", d)
				}
				if d := cmp.Diff(heldWant, held.Read(0, false)); d != "" {
					t.Fatalf("an earlier view has changed: %s", d)
				}
				if got := s.NextExpiry(); got != want.nextExpiry() {
					t.Fatalf("next expiry %d, want %d", got, want.nextExpiry())
				}
				raw, err := s.Snapshot(nil)
				if wantRaw, _ := want.snapshot(); err != nil || string(raw) != string(wantRaw) {
					t.Fatalf("snapshot %v\n%s\nwant\n%s", err, raw, wantRaw)
				}
			},
		})
	})
}
