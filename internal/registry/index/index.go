// Package index is an ordered index of values by scope, key and revision. The time to find changes by revision depends on
// the number of changes requested and not on the number of values held. A snapshot for readers takes constant time, because
// the trees (github.com/google/btree) are copied on write.
package index

import (
	"cmp"
	"iter"
	"sync/atomic"

	"github.com/google/btree"
)

// degree is the minimum number of children of an inner node of the trees.
const degree = 32

// Scope names a part of an index that is read separately. An index without scopes keeps all values under "".
type Scope string

// Entry is one value of an index. All snapshots share it, so it must not be changed.
type Entry[V any] struct {
	Scope    Scope
	Key      string
	Revision uint64 // revision at which the value was set
	Value    V
}

// Index holds at most one value for each scope and key. An Index is not safe for concurrent use, but its snapshots are.
type Index[V any] struct {
	byKey      *btree.BTreeG[*Entry[V]]
	byRevision *btree.BTreeG[*Entry[V]]
	visits     *atomic.Int64
}

// Snapshot is an immutable copy of an Index. It is safe for concurrent use.
type Snapshot[V any] struct {
	byKey      *btree.BTreeG[*Entry[V]]
	byRevision *btree.BTreeG[*Entry[V]]
	visits     *atomic.Int64
}

// New returns an empty index.
func New[V any]() *Index[V] {
	return &Index[V]{byKey: btree.NewG(degree, lessByKey[V]), byRevision: btree.NewG(degree, lessByRevision[V])}
}

func lessByKey[V any](a, b *Entry[V]) bool {
	return cmp.Or(cmp.Compare(a.Scope, b.Scope), cmp.Compare(a.Key, b.Key)) < 0
}

func lessByRevision[V any](a, b *Entry[V]) bool {
	return cmp.Or(cmp.Compare(a.Scope, b.Scope), cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key)) < 0
}

// CountVisits makes every later snapshot count in counter the entries that it returns to readers.
func (x *Index[V]) CountVisits(counter *atomic.Int64) { x.visits = counter }

// Set stores a value under a scope and key and replaces the value there, if there is one.
func (x *Index[V]) Set(scope Scope, key string, revision uint64, value V) {
	entry := &Entry[V]{Scope: scope, Key: key, Revision: revision, Value: value}
	if old, replaced := x.byKey.ReplaceOrInsert(entry); replaced {
		x.byRevision.Delete(old)
	}
	x.byRevision.ReplaceOrInsert(entry)
}

// Remove removes the value under a scope and key and reports whether there was one.
func (x *Index[V]) Remove(scope Scope, key string) bool {
	old, found := x.byKey.Delete(&Entry[V]{Scope: scope, Key: key})
	if found {
		x.byRevision.Delete(old)
	}
	return found
}

// Get returns the value under a scope and key, or nil.
func (x *Index[V]) Get(scope Scope, key string) *Entry[V] { return get(x.byKey, scope, key) }

// Snapshot returns a snapshot of the current index.
func (x *Index[V]) Snapshot() Snapshot[V] {
	return Snapshot[V]{byKey: x.byKey.Clone(), byRevision: x.byRevision.Clone(), visits: x.visits}
}

// Get returns the value under a scope and key, or nil.
func (s Snapshot[V]) Get(scope Scope, key string) *Entry[V] { return get(s.byKey, scope, key) }

// Len returns the number of values in all scopes.
func (s Snapshot[V]) Len() int { return s.byKey.Len() }

// All returns the values of a scope, ordered by key.
func (s Snapshot[V]) All(scope Scope) iter.Seq[*Entry[V]] {
	return s.walk(s.byKey, &Entry[V]{Scope: scope})
}

// Changed returns the values of a scope that were set after a revision, ordered by revision.
func (s Snapshot[V]) Changed(scope Scope, after uint64) iter.Seq[*Entry[V]] {
	if after+1 == 0 {
		return func(func(*Entry[V]) bool) {} // no later revision exists
	}
	return s.walk(s.byRevision, &Entry[V]{Scope: scope, Revision: after + 1})
}

// walk returns the entries of a tree from the position of from to the end of from's scope.
func (s Snapshot[V]) walk(tree *btree.BTreeG[*Entry[V]], from *Entry[V]) iter.Seq[*Entry[V]] {
	return func(yield func(*Entry[V]) bool) {
		tree.AscendGreaterOrEqual(from, func(entry *Entry[V]) bool {
			if entry.Scope != from.Scope {
				return false
			}
			if s.visits != nil {
				s.visits.Add(1)
			}
			return yield(entry)
		})
	}
}

func get[V any](tree *btree.BTreeG[*Entry[V]], scope Scope, key string) *Entry[V] {
	entry, _ := tree.Get(&Entry[V]{Scope: scope, Key: key})
	return entry
}
