package index

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// naive is the reference model of Index: a map that every read scans.
type naive map[[2]string]Entry[int]

func (n naive) sorted(scope Scope, after uint64, order func(a, b Entry[int]) int) []Entry[int] {
	out := []Entry[int]{}
	for _, e := range n {
		if e.Scope == scope && e.Revision > after {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, order)
	return out
}

func byKey(a, b Entry[int]) int { return cmp.Compare(a.Key, b.Key) }

func byRevision(a, b Entry[int]) int {
	return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
}

func collect(seq func(func(*Entry[int]) bool)) []Entry[int] {
	out := []Entry[int]{}
	seq(func(e *Entry[int]) bool {
		out = append(out, *e)
		return true
	})
	return out
}

// compare compares a snapshot with the reference in every scope and from every revision.
func compare(t *rapid.T, s Snapshot[int], want naive, revision uint64) {
	if s.Len() != len(want) {
		t.Fatalf("%d entries, want %d", s.Len(), len(want))
	}
	for _, scope := range []Scope{"", "a", "ab", "b", "none"} {
		if a, b := want.sorted(scope, 0, byKey), collect(s.All(scope)); !slices.Equal(a, b) {
			t.Fatalf("scope %q: %+v, want %+v", scope, b, a)
		}
		for after := range revision + 2 {
			if a, b := want.sorted(scope, after, byRevision), collect(s.Changed(scope, after)); !slices.Equal(a, b) {
				t.Fatalf("scope %q after %d: %+v, want %+v", scope, after, b, a)
			}
		}
	}
}

// TestIndexAgainstScan compares the index with the scanning reference over random schedules of changes, and checks that a
// snapshot does not change.
func TestIndexAgainstScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := New[int]()
		want := naive{}
		revision := uint64(0)
		var old Snapshot[int]
		oldWant, oldRevision := naive{}, uint64(0)
		old = x.Snapshot()
		scopes := rapid.SampledFrom([]Scope{"", "a", "ab", "b"})
		keys := rapid.SampledFrom([]string{"", "k", "kk", "l", "m"})
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				scope, key := scopes.Draw(t, "scope"), keys.Draw(t, "key")
				revision += uint64(rapid.IntRange(0, 2).Draw(t, "step")) // several entries may share a revision
				revision = max(revision, 1)
				value := rapid.Int().Draw(t, "value")
				x.Set(scope, key, revision, value)
				want[[2]string{string(scope), key}] = Entry[int]{Scope: scope, Key: key, Revision: revision, Value: value}
			},
			"remove": func(t *rapid.T) {
				scope, key := scopes.Draw(t, "scope"), keys.Draw(t, "key")
				_, exists := want[[2]string{string(scope), key}]
				if got := x.Remove(scope, key); got != exists {
					t.Fatalf("removed %v, want %v", got, exists)
				}
				delete(want, [2]string{string(scope), key})
			},
			"snapshot": func(*rapid.T) {
				old = x.Snapshot()
				oldRevision = revision
				oldWant = naive{}
				maps.Copy(oldWant, want)
			},
			"": func(t *rapid.T) {
				compare(t, old, oldWant, oldRevision)
				compare(t, x.Snapshot(), want, revision)
				for k, v := range want {
					if got := x.Get(Scope(k[0]), k[1]); got == nil || *got != v {
						t.Fatalf("%q: %+v, want %+v", k, got, v)
					}
				}
			},
		})
	})
}

// TestChangedAfterTheLastRevision checks that no value is returned as set after the largest possible revision.
func TestChangedAfterTheLastRevision(t *testing.T) {
	x := New[int]()
	x.Set("", "k", 1, 1)
	if got := collect(x.Snapshot().Changed("", ^uint64(0))); len(got) != 0 {
		t.Errorf("%+v", got)
	}
}

// TestReadersWhileTheIndexChanges reads snapshots while a writer changes the index, and checks that each snapshot is one
// consistent state. It relies on the race detector to find unsynchronized access.
func TestReadersWhileTheIndexChanges(t *testing.T) {
	const keys, rounds, readers = 500, 200, 4
	x := New[int]()
	snapshots := make(chan Snapshot[int], readers)
	var all sync.WaitGroup
	for range readers {
		all.Go(func() {
			for s := range snapshots {
				values := map[int]bool{}
				for e := range s.All("") {
					values[e.Value] = true
				}
				if len(values) != 1 {
					t.Errorf("%d different values in one snapshot, want 1", len(values))
				}
			}
		})
	}
	for round := range rounds {
		for key := range keys {
			x.Set("", fmt.Sprint(key), uint64(round*keys+key+1), round)
		}
		snapshots <- x.Snapshot()
	}
	close(snapshots)
	all.Wait()
}
