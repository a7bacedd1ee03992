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
	must(Command{Op: Register, Entry: entry("s2"), TTLMS: 1000, NowMS: 500}, false) // renews s2's lease only
	must(Command{Op: Expire, NowMS: 1200}, true)                                    // s1's lease lapses; s2's lasts until 1500
	if a := s.Read(2, true); a.Version != 3 || a.Full || len(a.Servers) != 1 || a.Servers[0].State != "gone" {
		t.Fatalf("watch from 2: %+v", a)
	}
	if a := s.Read(0, false); len(a.Servers) != 1 || a.Servers[0].ID != "s2" || !a.Full {
		t.Fatalf("complete list: %+v", a)
	}
	must(Command{Op: Drain, ID: "s2", NowMS: 1300}, true)
	must(Command{Op: Register, Entry: entry("s3"), TTLMS: 100000, NowMS: 1300}, true) // TTL clamped to MaxTTLMS
	must(Command{Op: Expire, NowMS: 1600}, true)                                      // s2's lease lapses; s1 is compacted
	if a := s.Read(1, true); !a.Full {
		t.Errorf("a watch from a compacted revision does not get the complete list: %+v", a)
	}
	if a := s.Read(99, true); !a.Full {
		t.Errorf("a watch from a revision newer than the list does not get the complete list: %+v", a)
	}
	if s.NextExpiry() != 1300+MaxTTLMS {
		t.Errorf("next expiry %d", s.NextExpiry())
	}
	if _, err := s.Apply(Command{Op: Renew, ID: "s1", NowMS: 1700}); err == nil {
		t.Error("the lease of a removed server was renewed")
	}
}

func TestBadRegistrationChangesNothing(t *testing.T) {
	s := New(8)
	for _, e := range []Entry{{ID: "", Addr: "127.0.0.1:1"}, {ID: "x", Addr: "nowhere"}, {ID: "x", Addr: "127.0.0.1:1", State: "odd"}} {
		if _, err := s.Apply(Command{Op: Register, Entry: e, TTLMS: 1000}); err == nil {
			t.Errorf("invalid registration %+v accepted", e)
		}
	}
	if s.Revision != 0 || len(s.Records) != 0 {
		t.Errorf("an invalid registration changed the state: %+v", s)
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
		t.Errorf("answer before the restore %+v, after %+v", a, b)
	}
	if _, err := r.Restore([]byte("{")); err == nil {
		t.Error("a malformed snapshot was restored")
	}
}

// TestCompactionWithoutSweep checks that writes alone compact the list, without a lapsed lease, and that a watch from before
// the compaction then gets the complete list.
func TestCompactionWithoutSweep(t *testing.T) {
	s := New(4)
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		s.Apply(Command{Op: Register, Entry: entry(id), TTLMS: 60000})
	}
	s.Apply(Command{Op: Deregister, ID: "a"}) // revision 7
	if a := s.Read(6, true); a.Full || len(a.Servers) != 1 {
		t.Fatalf("before compaction: %+v", a)
	}
	for _, id := range []string{"g", "h", "i", "j", "k"} { // up to revision 12, a multiple of 4; the removal of "a" is 5 revisions old
		s.Apply(Command{Op: Register, Entry: entry(id), TTLMS: 60000})
	}
	if a := s.Read(6, true); !a.Full || len(a.Servers) != 10 {
		t.Errorf("watch from the compacted revision 6: %+v", a)
	}
}

// TestRegistrantClockAheadIsBounded registers a server with a clock that is an hour ahead. Its start time must be limited to the
// leader's clock, and its lease must lapse by the leader's clock.
func TestRegistrantClockAheadIsBounded(t *testing.T) {
	s := New(8)
	e := entry("s1")
	e.StartedMS = 10_000 + 3_600_000
	s.Apply(Command{Op: Register, Entry: e, TTLMS: 1000, NowMS: 10_000})
	if got := s.Read(0, false).Servers[0].StartedMS; got != 10_000 {
		t.Errorf("started_ms %d", got)
	}
	if changed, _ := s.Apply(Command{Op: Register, Entry: e, TTLMS: 1000, NowMS: 10_500}); changed {
		t.Error("a renewal with the same start time made a new revision")
	}
	if changed, _ := s.Apply(Command{Op: Expire, NowMS: 11_600}); !changed {
		t.Error("the lease did not lapse on the leader's clock")
	}
}
