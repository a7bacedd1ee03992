package drift

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"meadowsill/internal/fleet"
)

const (
	fanOut = 16
	depth  = 2 // hex digits of a leaf's path
	leaves = fanOut * fanOut
	digits = "0123456789abcdef"
)

// Tree is a digest tree over items: 256 leaves by the first two hex digits of the hash of an item's key, 16 inner
// nodes, a root. Building one costs two hashes an item and 273 for the nodes; it holds the items' keys and digests.
type Tree struct {
	items [leaves][]treeItem // by key
	leaf  [leaves]uint64
	inner [fanOut]uint64
	root  uint64
	size  int
}

type treeItem struct {
	key    string
	digest string
}

// NewTree makes the tree over items with different keys, in any order; of items with one key the last counts.
func NewTree(items []fleet.AppliedItem) *Tree {
	t := &Tree{}
	for _, h := range items {
		p := xxhash.Sum64String(h.Key) >> 56
		at, found := slices.BinarySearchFunc(t.items[p], h.Key, func(f treeItem, k string) int { return strings.Compare(f.key, k) })
		if found {
			t.items[p][at].digest = h.Digest
			continue
		}
		t.items[p] = slices.Insert(t.items[p], at, treeItem{h.Key, h.Digest})
		t.size++
	}
	var d xxhash.Digest
	for p, leaf := range t.items {
		if len(leaf) == 0 {
			continue
		}
		d.Reset()
		for _, f := range leaf {
			d.WriteString(f.key)
			d.WriteString("\x00")
			d.WriteString(f.digest)
			d.WriteString("\x00")
		}
		t.leaf[p] = d.Sum64()
	}
	for i := range t.inner {
		t.inner[i] = hashChildren(t.leaf[i*fanOut : (i+1)*fanOut])
	}
	t.root = hashChildren(t.inner[:])
	return t
}

// hashChildren is the hash over the hashes of children; 0 where all are empty.
func hashChildren(of []uint64) uint64 {
	var b [8 * fanOut]byte
	allEmpty := true
	for i, h := range of {
		binary.BigEndian.PutUint64(b[8*i:], h)
		allEmpty = allEmpty && h == 0
	}
	if allEmpty {
		return 0
	}
	return xxhash.Sum64(b[:])
}

// Root is the digest over all items, 16 hex digits; all 0 for none.
func (t *Tree) Root() string { return hex(t.root) }

// Len is the number of items.
func (t *Tree) Len() int { return t.size }

// Diff returns the keys that only one of two trees holds, or both with other digests, in order, and how many hashes
// of one tree and digests of its items the other's owner had to be given to find them: two trees with k differing keys need at
// most 1 + 16 + 16k hashes and the items of k leaves.
func Diff(a, b *Tree) (keys []string, hashes int) {
	if hashes = 1; a.root == b.root {
		return nil, hashes
	}
	hashes += fanOut
	for i := range fanOut {
		if a.inner[i] == b.inner[i] {
			continue
		}
		hashes += fanOut
		for p := i * fanOut; p < (i+1)*fanOut; p++ {
			if a.leaf[p] != b.leaf[p] {
				hashes += len(b.items[p])
				keys = append(keys, differing(a.items[p], b.items[p])...)
			}
		}
	}
	slices.Sort(keys)
	return keys, hashes
}

// differing returns the keys in which two sorted lists of items differ.
func differing(a, b []treeItem) (keys []string) {
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || len(a) > 0 && a[0].key < b[0].key:
			keys, a = append(keys, a[0].key), a[1:]
		case len(a) == 0 || b[0].key < a[0].key:
			keys, b = append(keys, b[0].key), b[1:]
		default:
			if a[0].digest != b[0].digest {
				keys = append(keys, a[0].key)
			}
			a, b = a[1:], b[1:]
		}
	}
	return keys
}

// leafRange returns the range of leaves under a path of at most two hex digits.
func leafRange(path string) (from, to int, ok bool) {
	if len(path) > depth {
		return 0, 0, false
	}
	from, to = 0, leaves
	for _, c := range []byte(path) {
		i := strings.IndexByte(digits, c)
		if i < 0 {
			return 0, 0, false
		}
		width := (to - from) / fanOut
		from += i * width
		to = from + width
	}
	return from, to, true
}

// at is the hash of the node at a path.
func (t *Tree) at(path string) uint64 {
	from, _, _ := leafRange(path)
	switch len(path) {
	case 0:
		return t.root
	case 1:
		return t.inner[from/fanOut]
	}
	return t.leaf[from]
}

// list returns the items under a path.
func (t *Tree) list(path string) (out []treeItem) {
	from, to, ok := leafRange(path)
	for p := from; ok && p < to; p++ {
		out = append(out, t.items[p]...)
	}
	return out
}

func hex(h uint64) string {
	var b [16]byte
	for i := range b {
		b[i] = digits[h>>(60-4*i)&15]
	}
	return string(b[:])
}
