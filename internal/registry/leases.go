package registry

import (
	"cmp"

	"github.com/google/btree"
)

// treeDegree is the least number of children of an inner node of the tree of leases.
const treeDegree = 32

// lease is the time, Unix ms, at which the lease on an id lapses.
type lease struct {
	expiresMS int64
	id        string
}

// leaseTree is every lease held, by expiry. The soonest is found without looking at the others.
type leaseTree struct {
	byExpiry *btree.BTreeG[lease]
}

func newLeaseTree() *leaseTree {
	less := func(a, b lease) bool {
		return cmp.Or(cmp.Compare(a.expiresMS, b.expiresMS), cmp.Compare(a.id, b.id)) < 0
	}
	return &leaseTree{byExpiry: btree.NewG(treeDegree, less)}
}

func (l *leaseTree) add(id string, expiresMS int64) {
	l.byExpiry.ReplaceOrInsert(lease{expiresMS: expiresMS, id: id})
}

func (l *leaseTree) remove(id string, expiresMS int64) {
	l.byExpiry.Delete(lease{expiresMS: expiresMS, id: id})
}

// expired returns the ids whose leases lapse at or before now, Unix ms, by expiry.
func (l *leaseTree) expired(nowMS int64) []string {
	var ids []string
	l.byExpiry.Ascend(func(next lease) bool {
		if next.expiresMS > nowMS {
			return false
		}
		ids = append(ids, next.id)
		return true
	})
	return ids
}

// next is the soonest expiry, Unix ms, or 0 where no lease is held.
func (l *leaseTree) next() int64 {
	soonest, _ := l.byExpiry.Min()
	return soonest.expiresMS
}

// NextExpiry is the soonest time a lease lapses, Unix ms, or 0 where none is held.
func (s *State) NextExpiry() int64 { return s.leases.next() }
