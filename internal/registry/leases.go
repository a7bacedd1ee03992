package registry

import (
	"cmp"

	"github.com/google/btree"
)

// treeDegree is the minimum number of children of an inner node of the lease tree.
const treeDegree = 32

// lease is the lease of one id and its expiry, in Unix ms.
type lease struct {
	expiresMS int64
	id        string
}

// leaseTree holds every active lease, ordered by expiry, so that the next lease to lapse is found without a scan.
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

// expired returns the ids whose leases lapse at or before nowMS (Unix ms), ordered by expiry.
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

// next returns the earliest expiry in Unix ms, or 0 if there is no lease.
func (l *leaseTree) next() int64 {
	soonest, _ := l.byExpiry.Min()
	return soonest.expiresMS
}

// NextExpiry returns the earliest time at which a lease lapses, in Unix ms, or 0 if there is no lease.
func (s *State) NextExpiry() int64 { return s.leases.next() }
