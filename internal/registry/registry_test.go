package registry

import "testing"

func entry(id string) Entry {
	return Entry{ID: id, Addr: "127.0.0.1:9000", Zone: "a", Kind: "k", Weight: 1}
}

func TestLeasesRevisionsAndWatches(t *testing.T) {
	s := New(2)
	must := func(c Command, changes bool) {
		t.Helper()
		if got, err := s.Apply(c); err != nil || got != changes {
			t.Fatalf("%+v: changed %v, %v", c, got, err)
		}
	}
	must(Command{Op: Register, Entry: entry("s1"), TTLMS: 1000, NowMS: 0}, true)
	must(Command{Op: Register, Entry: entry("s2"), TTLMS: 1000, NowMS: 0}, true)
	must(Command{Op: Register, Entry: entry("s2"), TTLMS: 1000, NowMS: 500}, false) // a renewal
	must(Command{Op: Expire, NowMS: 1200}, true)                                    // s1 lapses, s2 holds to 1500
	if a := s.Read(2, true); a.Version != 3 || a.Full || len(a.Servers) != 1 || a.Servers[0].State != "gone" {
		t.Fatalf("watch from 2: %+v", a)
	}
	if a := s.Read(0, false); len(a.Servers) != 1 || a.Servers[0].ID != "s2" || !a.Full {
		t.Fatalf("whole list: %+v", a)
	}
	must(Command{Op: Drain, ID: "s2", NowMS: 1300}, true)
	must(Command{Op: Register, Entry: entry("s3"), TTLMS: 100000, NowMS: 1300}, true) // TTL held to the most
	must(Command{Op: Expire, NowMS: 1600}, true)                                      // s2 lapses; s1 compacted
	if a := s.Read(1, true); !a.Full {
		t.Errorf("a watch from a compacted revision gets the whole list: %+v", a)
	}
	if a := s.Read(99, true); !a.Full {
		t.Errorf("a watch from a revision newer than the list gets the whole list: %+v", a)
	}
	if s.NextExpiry() != 1300+MaxTTLMS {
		t.Errorf("next expiry %d", s.NextExpiry())
	}
	if _, err := s.Apply(Command{Op: Renew, ID: "s1", NowMS: 1700}); err == nil {
		t.Error("a gone lease renewed")
	}
}

func TestBadRegistrationChangesNothing(t *testing.T) {
	s := New(8)
	for _, e := range []Entry{{ID: "", Addr: "127.0.0.1:1"}, {ID: "x", Addr: "nowhere"}, {ID: "x", Addr: "127.0.0.1:1", State: "odd"}} {
		if _, err := s.Apply(Command{Op: Register, Entry: e, TTLMS: 1000}); err == nil {
			t.Errorf("%+v taken", e)
		}
	}
	if s.Revision != 0 || len(s.Records) != 0 {
		t.Errorf("state changed: %+v", s)
	}
}

func TestSnapshotRestoresTheSameAnswers(t *testing.T) {
	s := New(8)
	for _, id := range []string{"a", "b", "c"} {
		s.Apply(Command{Op: Register, Entry: entry(id), TTLMS: 1000, NowMS: 10})
	}
	s.Apply(Command{Op: Deregister, ID: "b", NowMS: 20})
	raw, err := s.Snapshot(nil)
	if err != nil {
		t.Fatal(err)
	}
	r := New(8)
	if _, err := r.Restore(raw); err != nil {
		t.Fatal(err)
	}
	if a, b := s.Read(1, true), r.Read(1, true); a.Version != b.Version || len(a.Servers) != len(b.Servers) {
		t.Errorf("%+v against %+v", a, b)
	}
	if _, err := r.Restore([]byte("{")); err == nil {
		t.Error("a broken snapshot taken")
	}
}

// Compaction comes with writes alone, with no lease lapsing: a watch from before it gets the complete list.
func TestCompactionWithoutSweep(t *testing.T) {
	s := New(4)
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		s.Apply(Command{Op: Register, Entry: entry(id), TTLMS: 60000})
	}
	s.Apply(Command{Op: Deregister, ID: "a"}) // revision 7
	if a := s.Read(6, true); a.Full || len(a.Servers) != 1 {
		t.Fatalf("before compaction: %+v", a)
	}
	for _, id := range []string{"g", "h", "i", "j", "k"} { // to revision 12, a multiple of 4: "a" is 5 behind
		s.Apply(Command{Op: Register, Entry: entry(id), TTLMS: 60000})
	}
	if a := s.Read(6, true); !a.Full || len(a.Servers) != 10 {
		t.Errorf("a slow watcher from 6: %+v", a)
	}
}

// A registrant whose clock is an hour fast: its server's start is taken as the leader's now, and its lease runs
// on the leader's clock.
func TestRegistrantClockAheadIsBounded(t *testing.T) {
	s := New(8)
	e := entry("s1")
	e.StartedMS = 10_000 + 3_600_000
	s.Apply(Command{Op: Register, Entry: e, TTLMS: 1000, NowMS: 10_000})
	if got := s.Read(0, false).Servers[0].StartedMS; got != 10_000 {
		t.Errorf("started_ms %d", got)
	}
	if changed, _ := s.Apply(Command{Op: Register, Entry: e, TTLMS: 1000, NowMS: 10_500}); changed {
		t.Error("a renewal with the same start made a new revision")
	}
	if changed, _ := s.Apply(Command{Op: Expire, NowMS: 11_600}); !changed {
		t.Error("the lease did not lapse on the leader's clock")
	}
}
