package drift

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"meadowsill/internal/fleet"
)

const (
	fanOut    = 16
	depth     = 2 // hex digits in the path of a leaf
	leaves    = fanOut * fanOut
	hexDigits = "0123456789abcdef"
)

// Tree is a Merkle tree over items. It has 256 leaves, selected by the first two hex digits of the hash of an item's
// key, 16 inner nodes and a root. Building it takes two hashes per item and 273 for the nodes. It keeps the items' keys
// and digests.
type Tree struct {
	items [leaves][]treeItem // sorted by key
	leaf  [leaves]uint64
	inner [fanOut]uint64
	root  uint64
	size  int
}

type treeItem struct {
	key    string
	digest string
}

// NewTree builds the tree over items in any order. If several items have the same key, the last one counts.
func NewTree(items []fleet.AppliedItem) *Tree {
	t := &Tree{}
	for _, item := range items {
		p := xxhash.Sum64String(item.Key) >> 56
		at, found := slices.BinarySearchFunc(t.items[p], item.Key, func(leafItem treeItem, k string) int { return strings.Compare(leafItem.key, k) })
		if found {
			t.items[p][at].digest = item.Digest
			continue
		}
		t.items[p] = slices.Insert(t.items[p], at, treeItem{item.Key, item.Digest})
		t.size++
	}
	var d xxhash.Digest
	for p, leaf := range t.items {
		if len(leaf) == 0 {
			continue
		}
		d.Reset()
		for _, leafItem := range leaf {
			d.WriteString(leafItem.key)
			d.WriteString("\x00")
			d.WriteString(leafItem.digest)
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

// hashChildren returns the hash over the hashes of the children, or 0 if all of them are empty.
func hashChildren(hashes []uint64) uint64 {
	var b [8 * fanOut]byte
	allEmpty := true
	for i, h := range hashes {
		binary.BigEndian.PutUint64(b[8*i:], h)
		allEmpty = allEmpty && h == 0
	}
	if allEmpty {
		return 0
	}
	return xxhash.Sum64(b[:])
}

// Root returns the digest over all items as 16 hex digits, all 0 for an empty tree.
func (t *Tree) Root() string { return hex(t.root) }

// Len returns the number of items.
func (t *Tree) Len() int { return t.size }

// Diff returns the sorted keys that only one of the trees has or that have different digests. hashes is how many hashes
// and item digests of one tree the owner of the other tree needs to find these keys. For k differing keys that is at
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
				keys = append(keys, diffItems(a.items[p], b.items[p])...)
			}
		}
	}
	slices.Sort(keys)
	return keys, hashes
}

// diffItems returns the keys in which two sorted lists of items differ.
func diffItems(a, b []treeItem) (keys []string) {
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
		i := strings.IndexByte(hexDigits, c)
		if i < 0 {
			return 0, 0, false
		}
		width := (to - from) / fanOut
		from += i * width
		to = from + width
	}
	return from, to, true
}

// hashAt returns the hash of the node at a path.
func (t *Tree) hashAt(path string) uint64 {
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
		b[i] = hexDigits[h>>(60-4*i)&15]
	}
	return string(b[:])
}
