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

// intended is a control plane that knows nothing but its items.
type intended struct {
	rev   uint64
	floor uint64
	items map[string]fleet.Item
}

func (s *intended) change(key string, removed bool) {
	s.rev++
	s.items[key] = fleet.Item{Key: key, Revision: s.rev, Removed: removed}
	if !removed {
		s.items[key] = fleet.Item{Key: key, Revision: s.rev, Body: json.RawMessage(fmt.Sprintf(`{"phase":"left","valid_ms":%d}`, s.rev))}
	}
}

func (s *intended) read(since uint64) fleet.Intent {
	in := fleet.Intent{Revision: s.rev, Full: since == 0 || since < s.floor || since > s.rev}
	for _, it := range s.items {
		if in.Full && !it.Removed || !in.Full && it.Revision > since {
			in.Items = append(in.Items, it)
		}
	}
	return in
}

// merge is what a node does with an answer.
func merge(held map[string]fleet.Item, in fleet.Intent) map[string]fleet.Item {
	if in.Full {
		held = map[string]fleet.Item{}
	}
	for _, it := range in.Items {
		if delete(held, it.Key); !it.Removed {
			held[it.Key] = it
		}
	}
	return held
}

// Random schedules of changes, compactions, reads by the agent (some answers late, twice or out of order), restarts from
// copies on disk new and old, and reads by the node: the node never goes back, and once both have read it holds exactly
// what is intended.
func TestCopyHasNoGaps(t *testing.T) {
	rejected, differences := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		plane := &intended{items: map[string]fleet.Item{}}
		c := &IntentCopy{}
		held, revision := map[string]fleet.Item{}, uint64(0)
		var late []fleet.Intent
		var disk [][]byte
		var log []byte // the file as it is now, of logged
		logged, rebase := uint64(0), true
		take := func(in fleet.Intent) {
			before := c.Revision
			changed, err := c.Apply(in)
			if err != nil {
				rejected++
			}
			rebase = rebase || changed && in.Full
			if c.Revision < before {
				t.Fatalf("the copy went from revision %d to %d", before, c.Revision)
			}
		}
		node := func() {
			in := c.Read(revision, nil)
			if in.Revision < revision {
				return // an old copy: the node keeps what it has
			}
			held, revision = merge(held, in), in.Revision
		}
		save := func() {
			if rebase {
				logged = 0
			}
			in := c.Read(logged, nil)
			if !in.Full && in.Revision == logged {
				return
			}
			var err error
			if in.Full {
				log, err = encodeBase(baseRecord{Node: "n", Revision: in.Revision, Items: in.Items})
			} else {
				differences++
				log, err = appendRecord(log[:len(log):len(log)], differenceRecord{Since: logged, Revision: in.Revision, Items: in.Items})
			}
			if err != nil {
				t.Fatal(err)
			}
			disk = append(disk, log)
			logged = in.Revision
			rebase = false
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				plane.change("zone/"+rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), false)
			},
			"gone": func(t *rapid.T) {
				plane.change("zone/"+rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), true)
			},
			"compact": func(t *rapid.T) { plane.floor = plane.rev },
			"agent":   func(t *rapid.T) { take(plane.read(c.Revision)) },
			"whole":   func(t *rapid.T) { take(plane.read(0)) },
			"ask":     func(t *rapid.T) { late = append(late, plane.read(c.Revision)) },
			"late": func(t *rapid.T) {
				// A watch has one answer at a time: what comes late was requested at the copy's own revision, or is complete.
				for _, in := range late {
					if in.Full || in.Revision < c.Revision {
						take(in)
					}
				}
			},
			"save": func(*rapid.T) { save() },
			"follow": func(t *rapid.T) {
				for range 3 {
					plane.change("zone/"+rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), rapid.Bool().Draw(t, "gone"))
					take(plane.read(c.Revision))
					save()
				}
			},
			"restart": func(t *rapid.T) {
				c = &IntentCopy{}
				log = nil
				logged = 0
				rebase = true
				if len(disk) > 0 {
					log = disk[rapid.IntRange(0, len(disk)-1).Draw(t, "copy")]
					stored, err := decodeCopy(log, "n")
					if err != nil {
						t.Fatal(err)
					}
					c = stored.copy
					logged = stored.copy.Revision
					rebase = false
				}
			},
			"node": func(t *rapid.T) { node() },
			"": func(t *rapid.T) {
				again := clone(c)
				if _, err := again.Apply(plane.read(again.Revision)); err != nil {
					t.Fatal(err)
				}
				now := merge(map[string]fleet.Item{}, again.Read(0, nil))
				want := merge(map[string]fleet.Item{}, plane.read(0))
				if d := cmp.Diff(want, now); d != "" {
					t.Fatalf("the copy, after a read: %s", d)
				}
				mine := map[string]fleet.Item{}
				maps.Copy(mine, held)
				if d := cmp.Diff(want, merge(mine, again.Read(revision, nil))); d != "" {
					t.Fatalf("the node, after a read: %s", d)
				}
			},
		})
	})
	if rejected < 20 {
		t.Errorf("%d answers refused: too few to prove anything", rejected)
	}
	if differences < 20 {
		t.Errorf("%d differences written: too few to prove anything", differences)
	}
}

// clone returns a copy of its own.
func clone(c *IntentCopy) *IntentCopy {
	out := &IntentCopy{Revision: c.Revision, Floor: c.Floor, items: maps.Clone(c.items)}
	if c.changes != nil {
		out.changes, out.removed = c.changes.Clone(), c.removed.Clone()
	}
	return out
}

func sample() *IntentCopy {
	c := &IntentCopy{}
	c.Apply(fleet.Intent{Revision: 9, Full: true, Items: []fleet.Item{{Key: "zone/a", Revision: 7, Body: json.RawMessage(`{"phase":"left","valid_ms":5000}`)}}})
	return c
}

// What is sent again comes whatever its revision; what the copy does not have comes as removed, where a node may hold it.
func TestItemsAreResent(t *testing.T) {
	read := func(again ...string) fleet.Intent {
		keys := map[string]bool{}
		for _, key := range again {
			keys[key] = true
		}
		return sample().Read(9, keys)
	}
	if in := read("zone/a"); in.Full || len(in.Items) != 1 || in.Items[0].Removed {
		t.Errorf("sent again: %+v", in)
	}
	if in := read("tenant/x", "share"); in.Full || len(in.Items) != 1 || !in.Items[0].Removed || in.Items[0].Revision != 9 {
		t.Errorf("of another scope: %+v", in)
	}
	if in := read("*"); !in.Full || len(in.Items) != 1 {
		t.Errorf("all sent again: %+v", in)
	}
}

// The order of changes follows every way in which an item comes to change or go.
func TestChangesFollowItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plane := &intended{items: map[string]fleet.Item{}}
		c := &IntentCopy{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			plane.change("zone/"+rapid.StringMatching("[a-h]").Draw(t, "key"), rapid.Bool().Draw(t, "gone"))
			if rapid.Bool().Draw(t, "take") {
				if _, err := c.Apply(plane.read(rapid.SampledFrom([]uint64{0, c.Revision}).Draw(t, "since"))); err != nil {
					t.Fatal(err)
				}
			}
			changes, removed := 0, 0
			for key, item := range c.items {
				at := revisionKey{item.Revision, key}
				if !c.changes.Has(at) || c.removed.Has(at) != item.Removed {
					t.Fatalf("%+v is not in its place", item)
				}
				changes++
				if item.Removed {
					removed++
				}
			}
			if c.changes != nil && (c.changes.Len() != changes || c.removed.Len() != removed) {
				t.Fatalf("%d changes and %d gone of %d and %d", c.changes.Len(), c.removed.Len(), changes, removed)
			}
			if len(c.All()) != c.Len() || c.Len() != len(c.items) {
				t.Fatalf("%d of %d items", len(c.All()), c.Len())
			}
		}
	})
}
