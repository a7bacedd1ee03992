// Package agent is the fleet part of the agent beside a node (docs/fleet.md). It watches the intent for its node's scope at any
// replica, keeps a durable copy of it, serves it to the node on loopback together with its age, and forwards the node's
// reports to the control plane's leader. It keeps serving when no replica can be reached. It makes no decisions of its own.
package agent

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/google/btree"

	"meadowsill/internal/fleet"
)

// maxRemovedItems is the number of removed items that a copy remembers. A node whose revision is older than that of a forgotten
// one is sent every item.
const maxRemovedItems = 1000

// allItems, as a key of items to resend, stands for every item.
const allItems = "*"

// revisionKey is an item's position in the order of changes: by revision, then by key.
type revisionKey struct {
	revision uint64
	key      string
}

func (k revisionKey) less(other revisionKey) bool {
	return cmp.Or(cmp.Compare(k.revision, other.revision), strings.Compare(k.key, other.key)) < 0
}

// treeDegree is the degree of the B-trees that order items by revision.
const treeDegree = 32

func newRevisionTree() *btree.BTreeG[revisionKey] { return btree.NewG(treeDegree, revisionKey.less) }

// IntentCopy is the agent's copy of the intent. The cost of applying and of reading a delta depends on the number of changed items
// only. IntentCopy does no I/O and reads no clock.
type IntentCopy struct {
	Revision uint64
	Floor    uint64 // changes up to this revision can no longer be listed, so every item is sent instead

	items       map[string]fleet.Item      // by key, including removed items
	changes     *btree.BTreeG[revisionKey] // every item, by revision
	removed     *btree.BTreeG[revisionKey] // the removed items, by revision
	cachedItems []fleet.Item               // the last result of All; nil: the items have changed since
}

// errOlderRevision is the error of Apply for an answer that is older than the copy, or that lists changes up to the copy's own
// revision. The copy stays as it is.
var errOlderRevision = errors.New("not newer than the agent's copy")

// Apply applies a replica's answer to a watch from c.Revision, and reports whether anything is new. It rejects an answer of an
// older revision, so that the copy never goes back. A complete answer replaces the content of the copy.
func (c *IntentCopy) Apply(in fleet.Intent) (bool, error) {
	switch {
	case in.Revision < c.Revision || in.Revision == c.Revision && !in.Full && len(in.Items) > 0:
		return false, fmt.Errorf("revision %d: %w at revision %d", in.Revision, errOlderRevision, c.Revision)
	case in.Revision == c.Revision && !in.Full:
		return false, nil
	case in.Full && in.Revision == c.Revision && c.hasSameItems(in.Items):
		return false, nil
	}
	if in.Full || c.items == nil {
		c.items = make(map[string]fleet.Item, len(in.Items))
		c.changes = newRevisionTree()
		c.removed = newRevisionTree()
	}
	if in.Full {
		c.Floor = in.Revision
	}
	for _, item := range in.Items {
		c.put(item)
	}
	if in.Full || len(in.Items) > 0 {
		c.cachedItems = nil
	}
	c.Revision = in.Revision
	c.trimRemoved()
	return true, nil
}

// put inserts an item, replacing the one that has the same key.
func (c *IntentCopy) put(item fleet.Item) {
	c.drop(item.Key)
	entry := revisionKey{item.Revision, item.Key}
	c.items[item.Key] = item
	c.changes.ReplaceOrInsert(entry)
	if item.Removed {
		c.removed.ReplaceOrInsert(entry)
	}
}

func (c *IntentCopy) drop(key string) {
	old, ok := c.items[key]
	if !ok {
		return
	}
	entry := revisionKey{old.Revision, key}
	delete(c.items, key)
	c.changes.Delete(entry)
	c.removed.Delete(entry)
}

// Len returns the number of items in the copy, including removed ones.
func (c *IntentCopy) Len() int { return len(c.items) }

// hasSameItems reports whether the copy's live items are exactly these.
func (c *IntentCopy) hasSameItems(items []fleet.Item) bool {
	for _, item := range items {
		if old, ok := c.items[item.Key]; !ok || old.Removed || old.Revision != item.Revision || !bytes.Equal(old.Body, item.Body) {
			return false
		}
	}
	live := len(c.items)
	if c.removed != nil {
		live -= c.removed.Len()
	}
	return live == len(items)
}

// trimRemoved drops the oldest removed items beyond maxRemovedItems.
func (c *IntentCopy) trimRemoved() {
	for c.removed.Len() > maxRemovedItems {
		oldest, _ := c.removed.Min()
		c.drop(oldest.key)
		c.Floor = max(c.Floor, oldest.revision)
	}
}

// Read returns the answer to a node that has everything up to since: the items changed after it, and those with a key in resend
// whatever their revision. The answer has every item where since is 0, below Floor or newer than the copy, or where resend contains
// allItems. A tenant or a zone in resend that the copy does not have is returned as removed.
func (c *IntentCopy) Read(since uint64, resend map[string]bool) fleet.Intent {
	out := fleet.Intent{Revision: c.Revision, Items: []fleet.Item{}}
	out.Full = since == 0 || since < c.Floor || since > c.Revision || resend[allItems]
	if out.Full {
		out.Items = c.liveItems()
	} else {
		out.Items = append(c.changedAfter(since), c.resentItems(since, resend)...)
	}
	slices.SortFunc(out.Items, func(a, b fleet.Item) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// liveItems returns every item that is not removed, in no particular order.
func (c *IntentCopy) liveItems() []fleet.Item {
	items := make([]fleet.Item, 0, len(c.items))
	for _, item := range c.items {
		if !item.Removed {
			items = append(items, item)
		}
	}
	return items
}

// changedAfter returns the items with a revision above since, ordered by revision.
func (c *IntentCopy) changedAfter(since uint64) []fleet.Item {
	items := []fleet.Item{}
	if c.changes == nil {
		return items
	}
	c.changes.AscendGreaterOrEqual(revisionKey{revision: since + 1}, func(entry revisionKey) bool {
		items = append(items, c.items[entry.key])
		return true
	})
	return items
}

// resentItems returns the items with a key in resend that have not changed after since.
func (c *IntentCopy) resentItems(since uint64, resend map[string]bool) []fleet.Item {
	var items []fleet.Item
	for key := range resend {
		item, present := c.items[key]
		switch {
		case present && item.Revision <= since:
			items = append(items, item)
		case !present && mayBeRemoved(key):
			items = append(items, fleet.Item{Key: key, Revision: c.Revision, Removed: true})
		}
	}
	return items
}

// mayBeRemoved reports whether the key is of a kind that the node may still hold although the copy has no such item.
func mayBeRemoved(key string) bool {
	return strings.HasPrefix(key, fleet.KeyTenant) || strings.HasPrefix(key, fleet.KeyZone)
}

// All returns every item, including removed ones, in no particular order. The caller must not change the slice.
func (c *IntentCopy) All() []fleet.Item {
	if c.cachedItems == nil {
		c.cachedItems = slices.AppendSeq(make([]fleet.Item, 0, len(c.items)), maps.Values(c.items))
	}
	return c.cachedItems
}
