package registry

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// costSizes are two numbers of servers. The cost of a read of one change must not be higher at the second.
var costSizes = [2]int{1_000, 26_000}

// visitsOfChange counts the entries that a watch's read visits when one of n servers has changed.
func visitsOfChange(tb testing.TB, n int, read func(v *View, since uint64) Answer) int64 {
	tb.Helper()
	s := populated(tb, n)
	var visits atomic.Int64
	s.entries.CountVisits(&visits)
	s.Apply(Command{Op: Drain, ID: fmt.Sprintf("server-%06d", n/2), NowMS: benchmarkStart})
	if a := read(s.View(), s.Revision-1); a.Full || len(a.Servers) != 1 {
		tb.Fatalf("full %v, %d servers, want one change", a.Full, len(a.Servers))
	}
	return visits.Load()
}

// growth describes how the cost of a read grows from the smaller to the larger list, or returns "" if it does not grow.
func growth(tb testing.TB, read func(v *View, since uint64) Answer) string {
	tb.Helper()
	minimum, maximum := visitsOfChange(tb, costSizes[0], read), visitsOfChange(tb, costSizes[1], read)
	if minimum == 0 || maximum > minimum {
		return fmt.Sprintf("%d entries visited at %d servers, %d at %d", minimum, costSizes[0], maximum, costSizes[1])
	}
	return ""
}

// TestReadCostsWhatChanged checks that the cost of a watch's read depends on the number of changes and not on the length of the
// list, and that the check detects a read that scans the list.
func TestReadCostsWhatChanged(t *testing.T) {
	if why := growth(t, func(v *View, since uint64) Answer { return v.Read(since, true) }); why != "" {
		t.Error(why)
	}
	scan := func(v *View, since uint64) Answer {
		a := Answer{Version: v.Version}
		for e, rev := range v.Each() {
			if rev > since {
				a.Servers = append(a.Servers, e)
			}
		}
		return a
	}
	if growth(t, scan) == "" {
		t.Error("the check does not detect a read that scans the list")
	}
}

// TestCompleteReadIsInOrder checks that a complete read is sorted by id and leaves out removed servers.
func TestCompleteReadIsInOrder(t *testing.T) {
	s := populated(t, 300)
	s.Apply(Command{Op: Deregister, ID: "server-000007", NowMS: benchmarkStart})
	a := s.Read(0, false)
	if len(a.Servers) != 299 || !slices.IsSortedFunc(a.Servers, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) }) {
		t.Errorf("%d servers, want 299 sorted by id", len(a.Servers))
	}
}

// TestReadersWhileTheListChanges reads views while the list changes, and checks that each view is one consistent list. It relies
// on the race detector to find unsynchronized access.
func TestReadersWhileTheListChanges(t *testing.T) {
	const servers, changes, readers = 200, 500, 4
	s := populated(t, servers)
	views := make(chan *View, readers)
	var all sync.WaitGroup
	for range readers {
		all.Go(func() {
			for v := range views {
				if a := v.Read(v.Version-1, true); a.Version != v.Version || len(a.Servers) != 1 {
					t.Errorf("watch at %d: %+v", v.Version, a)
				}
				if a := v.Read(0, false); len(a.Servers) != servers {
					t.Errorf("%d servers, want %d", len(a.Servers), servers)
				}
			}
		})
	}
	for i := range changes {
		e := entry(fmt.Sprintf("server-%06d", i%servers))
		e.Weight = float64(i + 2)
		s.Apply(Command{Op: Register, Entry: e, TTLMS: MaxTTLMS, NowMS: benchmarkStart + int64(i)})
		views <- s.View()
	}
	close(views)
	all.Wait()
}
