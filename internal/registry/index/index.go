// Package index is an ordered index of values by scope, key and revision. A change is found by its revision, in time that
// depends on the number of changes requested and not on the number of values held, and a snapshot for readers is taken in
// constant time: the trees (github.com/google/btree) are copied on write.
package index

import (
	"cmp"
	"iter"
	"sync/atomic"

	"github.com/google/btree"
)

// degree is the least number of children of an inner node of the trees.
const degree = 32

// Scope is a part of an index that is read by itself. An index without scopes keeps everything under "".
type Scope string

// Entry is one value of an index. It is shared by all snapshots and must not be changed.
type Entry[V any] struct {
	Scope    Scope
	Key      string
	Revision uint64 // that last set it
	Value    V
}

// Index holds at most one value for each scope and key. It is not safe for concurrent use; its snapshots are.
type Index[V any] struct {
	byKey      *btree.BTreeG[*Entry[V]]
	byRevision *btree.BTreeG[*Entry[V]]
	visits     *atomic.Int64
}

// Snapshot is an Index as it was when the snapshot was taken. It never changes and is safe for concurrent use.
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

// CountVisits has every snapshot taken from now on add the entries that it hands to readers to counter.
func (x *Index[V]) CountVisits(counter *atomic.Int64) { x.visits = counter }

// Set puts a value in place of the one under its scope and key, if there is one.
func (x *Index[V]) Set(scope Scope, key string, revision uint64, value V) {
	entry := &Entry[V]{Scope: scope, Key: key, Revision: revision, Value: value}
	if old, replaced := x.byKey.ReplaceOrInsert(entry); replaced {
		x.byRevision.Delete(old)
	}
	x.byRevision.ReplaceOrInsert(entry)
}

// Remove takes a value out, and reports whether there was one.
func (x *Index[V]) Remove(scope Scope, key string) bool {
	old, found := x.byKey.Delete(&Entry[V]{Scope: scope, Key: key})
	if found {
		x.byRevision.Delete(old)
	}
	return found
}

// Get returns the value under a scope and key, or nil.
func (x *Index[V]) Get(scope Scope, key string) *Entry[V] { return get(x.byKey, scope, key) }

// Snapshot returns the index as it is now.
func (x *Index[V]) Snapshot() Snapshot[V] {
	return Snapshot[V]{byKey: x.byKey.Clone(), byRevision: x.byRevision.Clone(), visits: x.visits}
}

// Get returns the value under a scope and key, or nil.
func (s Snapshot[V]) Get(scope Scope, key string) *Entry[V] { return get(s.byKey, scope, key) }

// Len is the number of values over all scopes.
func (s Snapshot[V]) Len() int { return s.byKey.Len() }

// All returns the values of a scope by key.
func (s Snapshot[V]) All(scope Scope) iter.Seq[*Entry[V]] {
	return s.walk(s.byKey, &Entry[V]{Scope: scope})
}

// Changed returns the values of a scope that were set after a revision, by revision.
func (s Snapshot[V]) Changed(scope Scope, after uint64) iter.Seq[*Entry[V]] {
	if after+1 == 0 {
		return func(func(*Entry[V]) bool) {} // there is no later revision
	}
	return s.walk(s.byRevision, &Entry[V]{Scope: scope, Revision: after + 1})
}

// walk returns the entries of the scope of from, from there on.
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
