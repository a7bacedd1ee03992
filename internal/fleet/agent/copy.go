// Package agent is the fleet half of the agent next to a node (docs/fleet.md): it watches the intent of its node's scope from any
// replica, keeps a durable copy of it, serves its node on loopback with the age of what it serves, and carries the node's
// reports to the control plane's leader. It goes on serving when the replicas are gone. It decides nothing.
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

// goneKept is how many items that are gone are remembered: a node that watches from before them gets everything.
const goneKept = 1000

// everything, among keys to send again, stands for every item.
const everything = "*"

// change is an item's place in the order of changes.
type change struct {
	revision uint64
	key      string
}

func (c change) less(other change) bool {
	return cmp.Or(cmp.Compare(c.revision, other.revision), strings.Compare(c.key, other.key)) < 0
}

// changeDegree is the degree of the trees of changes.
const changeDegree = 32

func newChanges() *btree.BTreeG[change] { return btree.NewG(changeDegree, change.less) }

// Copy is what the agent was sent of the intent. Taking and reading a difference cost what changed. It does no I/O and reads
// no clock.
type Copy struct {
	Revision uint64
	Floor    uint64 // changes up to here can no longer be listed: everything is sent instead

	items   map[string]fleet.Item // by key, gone ones among them
	changes *btree.BTreeG[change] // of every item
	gone    *btree.BTreeG[change] // of the items that are gone
	all     []fleet.Item          // what All gave last; nil: something has changed since
}

// Errors of Take. They change nothing.
var errBehind = errors.New("behind what the agent has")

// Take brings in a replica's answer to a watch from c.Revision, and says whether anything is new. An answer of an older
// revision is refused: what is newer is never rolled back. A whole answer replaces what the copy has.
func (c *Copy) Take(in fleet.Intent) (bool, error) {
	switch {
	case in.Revision < c.Revision || in.Revision == c.Revision && !in.Full && len(in.Items) > 0:
		return false, fmt.Errorf("revision %d: %w, %d", in.Revision, errBehind, c.Revision)
	case in.Revision == c.Revision && !in.Full:
		return false, nil
	case in.Full && in.Revision == c.Revision && c.same(in.Items):
		return false, nil
	}
	if in.Full || c.items == nil {
		c.items, c.changes, c.gone = make(map[string]fleet.Item, len(in.Items)), newChanges(), newChanges()
	}
	if in.Full {
		c.Floor = in.Revision
	}
	for _, item := range in.Items {
		c.put(item)
	}
	if in.Full || len(in.Items) > 0 {
		c.all = nil
	}
	c.Revision = in.Revision
	c.forget()
	return true, nil
}

// put takes one item in the place of the one of its key.
func (c *Copy) put(item fleet.Item) {
	c.drop(item.Key)
	at := change{item.Revision, item.Key}
	c.items[item.Key] = item
	c.changes.ReplaceOrInsert(at)
	if item.Removed {
		c.gone.ReplaceOrInsert(at)
	}
}

func (c *Copy) drop(key string) {
	old, ok := c.items[key]
	if !ok {
		return
	}
	at := change{old.Revision, key}
	delete(c.items, key)
	c.changes.Delete(at)
	c.gone.Delete(at)
}

// Len is how many items the copy has, gone ones among them.
func (c *Copy) Len() int { return len(c.items) }

// same says whether the copy holds these items and no others.
func (c *Copy) same(items []fleet.Item) bool {
	for _, item := range items {
		if old, ok := c.items[item.Key]; !ok || old.Removed || old.Revision != item.Revision || !bytes.Equal(old.Body, item.Body) {
			return false
		}
	}
	held := len(c.items)
	if c.gone != nil {
		held -= c.gone.Len()
	}
	return held == len(items)
}

// forget drops the oldest gone items over goneKept.
func (c *Copy) forget() {
	for c.gone.Len() > goneKept {
		oldest, _ := c.gone.Min()
		c.drop(oldest.key)
		c.Floor = max(c.Floor, oldest.revision)
	}
}

// Read answers a node that holds everything up to since: the items changed after it, and those of again whatever their revision;
// or every item where since is 0, forgotten or newer than the copy, or again names everything. A tenant or a zone of again that
// the copy does not have is given as gone.
func (c *Copy) Read(since uint64, again map[string]bool) fleet.Intent {
	out := fleet.Intent{Revision: c.Revision, Items: []fleet.Item{}}
	out.Full = since == 0 || since < c.Floor || since > c.Revision || again[everything]
	if out.Full {
		out.Items = c.live()
	} else {
		out.Items = append(c.changedAfter(since), c.sentBefore(since, again)...)
	}
	slices.SortFunc(out.Items, func(a, b fleet.Item) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// live gives every item that is not gone, in no order.
func (c *Copy) live() []fleet.Item {
	items := make([]fleet.Item, 0, len(c.items))
	for _, item := range c.items {
		if !item.Removed {
			items = append(items, item)
		}
	}
	return items
}

// changedAfter gives the items of a revision above since, by revision.
func (c *Copy) changedAfter(since uint64) []fleet.Item {
	items := []fleet.Item{}
	if c.changes == nil {
		return items
	}
	c.changes.AscendGreaterOrEqual(change{revision: since + 1}, func(at change) bool {
		items = append(items, c.items[at.key])
		return true
	})
	return items
}

// sentBefore gives the items of again that have not changed after since.
func (c *Copy) sentBefore(since uint64, again map[string]bool) []fleet.Item {
	var items []fleet.Item
	for key := range again {
		item, held := c.items[key]
		switch {
		case held && item.Revision <= since:
			items = append(items, item)
		case !held && mayBeGone(key):
			items = append(items, fleet.Item{Key: key, Revision: c.Revision, Removed: true})
		}
	}
	return items
}

// mayBeGone says whether a key names an item that a node may hold although the copy has none of it.
func mayBeGone(key string) bool {
	return strings.HasPrefix(key, fleet.KeyTenant) || strings.HasPrefix(key, fleet.KeyZone)
}

// All gives every item, gone ones too, in no order. The caller does not change it.
func (c *Copy) All() []fleet.Item {
	if c.all == nil {
		c.all = slices.AppendSeq(make([]fleet.Item, 0, len(c.items)), maps.Values(c.items))
	}
	return c.all
}
