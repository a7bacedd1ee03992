package node

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"os"
	"sync/atomic"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"

	"meadowsill/policy"
)

// This file has the table of the ids of requests that must not run twice. An id stays in the table after its request is over: the
// request may come again after its client has left, or at the other process of an upgrade. The table has a fixed size, and the
// newest id takes the place of an older one, so that no clock is needed.

const (
	idBuckets      = 2048
	idBucketSize   = 8
	idTableEntries = idBuckets * idBucketSize
)

// idTable is the content of the table, which the two processes of an upgrade share. Zero is an empty table.
type idTable struct {
	key     [2]atomic.Uint64 // secret, so that clients can't choose ids that share an entry; set by the first process
	claims  atomic.Uint64    // number of claims so far
	_       uint64
	entries [idTableEntries]idEntry
}

// idEntry is an id in the table.
type idEntry struct {
	digest atomic.Uint64 // of the id; 0 if the entry is free
	claim  atomic.Uint64 // the number of the claim, by which the oldest entry is found
}

// requestIDs are the ids of requests that have been forwarded, or are about to be.
type requestIDs struct{ table *idTable }

// newRequestIDs returns a table of this process alone.
func newRequestIDs() *requestIDs {
	ids := &requestIDs{table: &idTable{}}
	ids.setKey()
	return ids
}

// openRequestIDs returns the table in a file that both processes of an upgrade map.
func openRequestIDs(path string) (*requestIDs, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	size := int(unsafe.Sizeof(idTable{}))
	// Space has to be there before the table is used: a write to a page that has no space would end the process.
	if err := unix.Fallocate(int(f.Fd()), 0, 0, int64(size)); errors.Is(err, unix.EOPNOTSUPP) || errors.Is(err, unix.ENOSYS) {
		err = f.Truncate(int64(size))
		if err != nil {
			return nil, err
		}
	} else if err != nil {
		return nil, err
	}
	mapped, err := syscall.Mmap(int(f.Fd()), 0, size, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	if err != nil {
		return nil, err
	}
	ids := &requestIDs{table: (*idTable)(unsafe.Pointer(&mapped[0]))}
	ids.setKey()
	return ids, nil
}

// setKey sets the key of a new table.
func (ids *requestIDs) setKey() {
	for i := range ids.table.key {
		var random [8]byte
		rand.Read(random[:])
		ids.table.key[i].CompareAndSwap(0, binary.LittleEndian.Uint64(random[:])|1)
	}
}

// digest returns the digest of an id, which is not 0.
func (ids *requestIDs) digest(id policy.RequestID) uint64 {
	text := make([]byte, 0, 16+len(id))
	for i := range ids.table.key {
		text = binary.LittleEndian.AppendUint64(text, ids.table.key[i].Load())
	}
	sum := sha256.Sum256(append(text, id...))
	return binary.LittleEndian.Uint64(sum[:]) | 1
}

// bucket returns the entries that an id of this digest may be in.
func (ids *requestIDs) bucket(digest uint64) []idEntry {
	first := int(digest>>1%idBuckets) * idBucketSize
	return ids.table.entries[first : first+idBucketSize]
}

// claim adds an id, and returns false if it is in the table. If both processes claim an id in the same moment, it may return
// false in both.
func (ids *requestIDs) claim(id policy.RequestID) bool {
	digest := ids.digest(id)
	bucket := ids.bucket(digest)
	for {
		var oldest *idEntry
		for i := range bucket {
			entry := &bucket[i]
			if entry.digest.Load() == digest {
				return false
			}
			if oldest == nil || entry.claim.Load() < oldest.claim.Load() {
				oldest = entry
			}
		}
		previous := oldest.digest.Load()
		if previous == digest || !oldest.digest.CompareAndSwap(previous, digest) {
			continue
		}
		oldest.claim.Store(ids.table.claims.Add(1))
		if ids.count(bucket, digest) > 1 { // the other process has claimed it in another entry
			oldest.digest.CompareAndSwap(digest, 0)
			return false
		}
		return true
	}
}

// release removes an id whose request has not run, so that it may come again.
func (ids *requestIDs) release(id policy.RequestID) {
	digest := ids.digest(id)
	bucket := ids.bucket(digest)
	for i := range bucket {
		if bucket[i].digest.CompareAndSwap(digest, 0) {
			bucket[i].claim.Store(0)
		}
	}
}

// count returns how many entries of a bucket have a digest.
func (ids *requestIDs) count(bucket []idEntry, digest uint64) int {
	n := 0
	for i := range bucket {
		if bucket[i].digest.Load() == digest {
			n++
		}
	}
	return n
}
