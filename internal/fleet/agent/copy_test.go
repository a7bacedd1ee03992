package agent

import (
	"encoding/json"
	"fmt"
	"maps"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"meadowsill/internal/fleet"
)

// intentModel is a model of the control plane that consists of its items only.
type intentModel struct {
	rev   uint64
	floor uint64
	items map[string]fleet.Item
}

func (m *intentModel) change(key string, removed bool) {
	m.rev++
	m.items[key] = fleet.Item{Key: key, Revision: m.rev, Removed: removed}
	if !removed {
		m.items[key] = fleet.Item{Key: key, Revision: m.rev, Body: json.RawMessage(fmt.Sprintf(`{"phase":"left","valid_ms":%d}`, m.rev))}
	}
}

func (m *intentModel) read(since uint64) fleet.Intent {
	in := fleet.Intent{Revision: m.rev, Full: since == 0 || since < m.floor || since > m.rev}
	for _, item := range m.items {
		if in.Full && !item.Removed || !in.Full && item.Revision > since {
			in.Items = append(in.Items, item)
		}
	}
	return in
}

// merge applies an answer to items as a node does.
func merge(items map[string]fleet.Item, in fleet.Intent) map[string]fleet.Item {
	if in.Full {
		items = map[string]fleet.Item{}
	}
	for _, item := range in.Items {
		if delete(items, item.Key); !item.Removed {
			items[item.Key] = item
		}
	}
	return items
}

// Random schedules of changes, compactions, reads by the agent (with some answers late, repeated or out of order), restarts from
// newer and older copies on disk, and reads by the node. The node never goes back to an older revision, and after both have read
// again the node holds exactly the intended items.
func TestCopyHasNoGaps(t *testing.T) {
	rejected, deltas := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		model := &intentModel{items: map[string]fleet.Item{}}
		c := &IntentCopy{}
		nodeItems, nodeRevision := map[string]fleet.Item{}, uint64(0)
		var late []fleet.Intent
		var disk [][]byte
		var log []byte // the present content of the file, up to savedRevision
		savedRevision, baseDue := uint64(0), true
		apply := func(in fleet.Intent) {
			before := c.Revision
			changed, err := c.Apply(in)
			if err != nil {
				rejected++
			}
			baseDue = baseDue || changed && in.Full
			if c.Revision < before {
				t.Fatalf("the copy went back from revision %d to %d", before, c.Revision)
			}
		}
		nodeReads := func() {
			in := c.Read(nodeRevision, nil)
			if in.Revision < nodeRevision {
				return // an older copy: the node keeps its items
			}
			nodeItems, nodeRevision = merge(nodeItems, in), in.Revision
		}
		save := func() {
			if baseDue {
				savedRevision = 0
			}
			in := c.Read(savedRevision, nil)
			if !in.Full && in.Revision == savedRevision {
				return
			}
			var err error
			if in.Full {
				log, err = encodeBase(baseRecord{Node: "n", Revision: in.Revision, Items: in.Items})
			} else {
				deltas++
				log, err = appendRecord(log[:len(log):len(log)], differenceRecord{Since: savedRevision, Revision: in.Revision, Items: in.Items})
			}
			if err != nil {
				t.Fatal(err)
			}
			disk = append(disk, log)
			savedRevision = in.Revision
			baseDue = false
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				model.change("zone/"+rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), false)
			},
			"gone": func(t *rapid.T) {
				model.change("zone/"+rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), true)
			},
			"compact": func(t *rapid.T) { model.floor = model.rev },
			"agent":   func(t *rapid.T) { apply(model.read(c.Revision)) },
			"whole":   func(t *rapid.T) { apply(model.read(0)) },
			"ask":     func(t *rapid.T) { late = append(late, model.read(c.Revision)) },
			"late": func(t *rapid.T) {
				// A watch has one answer at a time, so a late answer was requested at the copy's own revision, or is complete.
				for _, in := range late {
					if in.Full || in.Revision < c.Revision {
						apply(in)
					}
				}
			},
			"save": func(*rapid.T) { save() },
			"follow": func(t *rapid.T) {
				for range 3 {
					model.change("zone/"+rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), rapid.Bool().Draw(t, "gone"))
					apply(model.read(c.Revision))
					save()
				}
			},
			"restart": func(t *rapid.T) {
				c = &IntentCopy{}
				log = nil
				savedRevision = 0
				baseDue = true
				if len(disk) > 0 {
					log = disk[rapid.IntRange(0, len(disk)-1).Draw(t, "copy")]
					stored, err := decodeCopy(log, "n")
					if err != nil {
						t.Fatal(err)
					}
					c = stored.copy
					savedRevision = stored.copy.Revision
					baseDue = false
				}
			},
			"node": func(t *rapid.T) { nodeReads() },
			"": func(t *rapid.T) {
				updated := clone(c)
				if _, err := updated.Apply(model.read(updated.Revision)); err != nil {
					t.Fatal(err)
				}
				got := merge(map[string]fleet.Item{}, updated.Read(0, nil))
				want := merge(map[string]fleet.Item{}, model.read(0))
				if d := cmp.Diff(want, got); d != "" {
					t.Fatalf("the copy, after a read: %s", d)
				}
				updatedNodeItems := map[string]fleet.Item{}
				maps.Copy(updatedNodeItems, nodeItems)
				if d := cmp.Diff(want, merge(updatedNodeItems, updated.Read(nodeRevision, nil))); d != "" {
					t.Fatalf("the node, after a read: %s", d)
				}
			},
		})
	})
	if rejected < 20 {
		t.Errorf("%d answers rejected, want at least 20", rejected)
	}
	if deltas < 20 {
		t.Errorf("%d deltas written, want at least 20", deltas)
	}
}

// clone returns an independent copy of c.
func clone(c *IntentCopy) *IntentCopy {
	out := &IntentCopy{Revision: c.Revision, Floor: c.Floor, items: maps.Clone(c.items)}
	if c.changes != nil {
		out.changes, out.removed = c.changes.Clone(), c.removed.Clone()
	}
	return out
}

func sampleCopy() *IntentCopy {
	c := &IntentCopy{}
	c.Apply(fleet.Intent{Revision: 9, Full: true, Items: []fleet.Item{{Key: "zone/a", Revision: 7, Body: json.RawMessage(`{"phase":"left","valid_ms":5000}`)}}})
	return c
}

// Items to resend are returned whatever their revision. An item that the copy lacks is returned as removed if a node may hold it.
func TestItemsAreResent(t *testing.T) {
	read := func(resend ...string) fleet.Intent {
		keys := map[string]bool{}
		for _, key := range resend {
			keys[key] = true
		}
		return sampleCopy().Read(9, keys)
	}
	if in := read("zone/a"); in.Full || len(in.Items) != 1 || in.Items[0].Removed {
		t.Errorf("a resent item: %+v", in)
	}
	if in := read("tenant/x", "share"); in.Full || len(in.Items) != 1 || !in.Items[0].Removed || in.Items[0].Revision != 9 {
		t.Errorf("resent items that the copy lacks: %+v", in)
	}
	if in := read("*"); !in.Full || len(in.Items) != 1 {
		t.Errorf("every item resent: %+v", in)
	}
}

// The B-trees that order items by revision match the items after each kind of change and removal.
func TestTreesMatchItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &intentModel{items: map[string]fleet.Item{}}
		c := &IntentCopy{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			model.change("zone/"+rapid.StringMatching("[a-h]").Draw(t, "key"), rapid.Bool().Draw(t, "gone"))
			if rapid.Bool().Draw(t, "take") {
				if _, err := c.Apply(model.read(rapid.SampledFrom([]uint64{0, c.Revision}).Draw(t, "since"))); err != nil {
					t.Fatal(err)
				}
			}
			changes, removed := 0, 0
			for key, item := range c.items {
				entry := revisionKey{item.Revision, key}
				if !c.changes.Has(entry) || c.removed.Has(entry) != item.Removed {
					t.Fatalf("%+v is in the wrong trees", item)
				}
				changes++
				if item.Removed {
					removed++
				}
			}
			if c.changes != nil && (c.changes.Len() != changes || c.removed.Len() != removed) {
				t.Fatalf("the trees have %d changes and %d removed items, want %d and %d", c.changes.Len(), c.removed.Len(), changes, removed)
			}
			if len(c.All()) != c.Len() || c.Len() != len(c.items) {
				t.Fatalf("All has %d items, Len is %d", len(c.All()), c.Len())
			}
		}
	})
}
