// Package agent is the fleet half of the agent next to a node (docs/fleet.md): it watches the intent of its node's scope from any
// replica, keeps a durable copy of it, serves its node on loopback with the age of what it serves, and carries the node's
// reports to the control plane's leader. It goes on serving when no replica can be reached. It decides nothing.
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

// maxRemovedItems is how many items that are removed are remembered: a node that watches from before them gets everything.
const maxRemovedItems = 1000

// allItems, among keys to send again, stands for every item.
const allItems = "*"

// revisionKey is an item's place in the order of changes.
type revisionKey struct {
	revision uint64
	key      string
}

func (c revisionKey) less(other revisionKey) bool {
	return cmp.Or(cmp.Compare(c.revision, other.revision), strings.Compare(c.key, other.key)) < 0
}

// treeDegree is the degree of the trees of changes.
const treeDegree = 32

func newRevisionTree() *btree.BTreeG[revisionKey] { return btree.NewG(treeDegree, revisionKey.less) }

// IntentCopy is what the agent was sent of the intent. Taking and reading a difference cost what changed. It does no I/O and reads
// no clock.
type IntentCopy struct {
	Revision uint64
	Floor    uint64 // changes up to here can no longer be listed: everything is sent instead

	items       map[string]fleet.Item      // by key, removed ones among them
	changes     *btree.BTreeG[revisionKey] // of every item
	removed     *btree.BTreeG[revisionKey] // of the items that are removed
	cachedItems []fleet.Item               // what All gave last; nil: something has changed since
}

// Errors of Take. They change nothing.
var errOlderRevision = errors.New("behind what the agent has")

// Apply brings in a replica's answer to a watch from c.Revision, and reports whether anything is new. An answer of an older
// revision is rejected: what is newer is never rolled back. A complete answer replaces what the copy has.
func (c *IntentCopy) Apply(in fleet.Intent) (bool, error) {
	switch {
	case in.Revision < c.Revision || in.Revision == c.Revision && !in.Full && len(in.Items) > 0:
		return false, fmt.Errorf("revision %d: %w, %d", in.Revision, errOlderRevision, c.Revision)
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

// put takes one item in the place of the one of its key.
func (c *IntentCopy) put(item fleet.Item) {
	c.drop(item.Key)
	at := revisionKey{item.Revision, item.Key}
	c.items[item.Key] = item
	c.changes.ReplaceOrInsert(at)
	if item.Removed {
		c.removed.ReplaceOrInsert(at)
	}
}

func (c *IntentCopy) drop(key string) {
	old, ok := c.items[key]
	if !ok {
		return
	}
	at := revisionKey{old.Revision, key}
	delete(c.items, key)
	c.changes.Delete(at)
	c.removed.Delete(at)
}

// Len is how many items the copy has, removed ones among them.
func (c *IntentCopy) Len() int { return len(c.items) }

// hasSameItems reports whether the copy holds these items and no others.
func (c *IntentCopy) hasSameItems(items []fleet.Item) bool {
	for _, item := range items {
		if old, ok := c.items[item.Key]; !ok || old.Removed || old.Revision != item.Revision || !bytes.Equal(old.Body, item.Body) {
			return false
		}
	}
	held := len(c.items)
	if c.removed != nil {
		held -= c.removed.Len()
	}
	return held == len(items)
}

// trimRemoved drops the oldest removed items over maxRemovedItems.
func (c *IntentCopy) trimRemoved() {
	for c.removed.Len() > maxRemovedItems {
		oldest, _ := c.removed.Min()
		c.drop(oldest.key)
		c.Floor = max(c.Floor, oldest.revision)
	}
}

// Read answers a node that holds everything up to since: the items changed after it, and those of again whatever their revision;
// or every item where since is 0, forgotten or newer than the copy, or again names everything. A tenant or a zone of again that
// the copy does not have is given as removed.
func (c *IntentCopy) Read(since uint64, again map[string]bool) fleet.Intent {
	out := fleet.Intent{Revision: c.Revision, Items: []fleet.Item{}}
	out.Full = since == 0 || since < c.Floor || since > c.Revision || again[allItems]
	if out.Full {
		out.Items = c.liveItems()
	} else {
		out.Items = append(c.changedAfter(since), c.resentItems(since, again)...)
	}
	slices.SortFunc(out.Items, func(a, b fleet.Item) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// liveItems returns every item that is not removed, in no order.
func (c *IntentCopy) liveItems() []fleet.Item {
	items := make([]fleet.Item, 0, len(c.items))
	for _, item := range c.items {
		if !item.Removed {
			items = append(items, item)
		}
	}
	return items
}

// changedAfter returns the items of a revision above since, by revision.
func (c *IntentCopy) changedAfter(since uint64) []fleet.Item {
	items := []fleet.Item{}
	if c.changes == nil {
		return items
	}
	c.changes.AscendGreaterOrEqual(revisionKey{revision: since + 1}, func(at revisionKey) bool {
		items = append(items, c.items[at.key])
		return true
	})
	return items
}

// resentItems returns the items of again that have not changed after since.
func (c *IntentCopy) resentItems(since uint64, again map[string]bool) []fleet.Item {
	var items []fleet.Item
	for key := range again {
		item, held := c.items[key]
		switch {
		case held && item.Revision <= since:
			items = append(items, item)
		case !held && mayBeRemoved(key):
			items = append(items, fleet.Item{Key: key, Revision: c.Revision, Removed: true})
		}
	}
	return items
}

// mayBeRemoved reports whether a key names an item that a node may hold although the copy has none of it.
func mayBeRemoved(key string) bool {
	return strings.HasPrefix(key, fleet.KeyTenant) || strings.HasPrefix(key, fleet.KeyZone)
}

// All returns every item, removed ones too, in no order. The caller does not change it.
func (c *IntentCopy) All() []fleet.Item {
	if c.cachedItems == nil {
		c.cachedItems = slices.AppendSeq(make([]fleet.Item, 0, len(c.items)), maps.Values(c.items))
	}
	return c.cachedItems
}
