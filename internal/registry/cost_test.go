package registry

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// costSizes are the numbers of servers between which the cost of a read may not grow.
var costSizes = [2]int{1_000, 26_000}

// visitsOfChange counts the entries that a watch's read looks at for one changed server among n.
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

// growth says how a read's cost grows from the least to the largest list, or "" where it does not.
func growth(tb testing.TB, read func(v *View, since uint64) Answer) string {
	tb.Helper()
	minimum, maximum := visitsOfChange(tb, costSizes[0], read), visitsOfChange(tb, costSizes[1], read)
	if minimum == 0 || maximum > minimum {
		return fmt.Sprintf("%d entries visited at %d servers, %d at %d", minimum, costSizes[0], maximum, costSizes[1])
	}
	return ""
}

// A watch's read costs what changed, whatever there is; a read that scans is found out.
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
		t.Error("a planted scan is not found out")
	}
}

// A complete read is in the order of the ids, without the removed.
func TestCompleteReadIsInOrder(t *testing.T) {
	s := populated(t, 300)
	s.Apply(Command{Op: Deregister, ID: "server-000007", NowMS: benchmarkStart})
	a := s.Read(0, false)
	if len(a.Servers) != 299 || !slices.IsSortedFunc(a.Servers, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) }) {
		t.Errorf("%d servers, in order: false", len(a.Servers))
	}
}

// Readers of views run while the list changes; each sees one complete list. The race detector watches.
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
