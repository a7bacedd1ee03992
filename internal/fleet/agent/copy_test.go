package agent

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"starlingvalve/internal/fleet"
)

// intended is a control plane that knows nothing but its items.
type intended struct {
	rev, floor uint64
	items      map[string]fleet.Item
}

func (s *intended) change(key string, gone bool) {
	s.rev++
	s.items[key] = fleet.Item{Key: key, Rev: s.rev, Gone: gone}
	if !gone {
		s.items[key] = fleet.Item{Key: key, Rev: s.rev, Body: json.RawMessage(fmt.Sprintf(`{"phase":"left","valid_ms":%d}`, s.rev))}
	}
}

func (s *intended) read(since uint64) fleet.Intent {
	in := fleet.Intent{Revision: s.rev, Full: since == 0 || since < s.floor || since > s.rev}
	for _, it := range s.items {
		if in.Full && !it.Gone || !in.Full && it.Rev > since {
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
		if delete(held, it.Key); !it.Gone {
			held[it.Key] = it
		}
	}
	return held
}

// Random schedules of changes, compactions, reads by the agent (some answers late, twice or out of order), restarts from
// copies on disk new and old, and reads by the node: the node never goes back, and once both have read it holds exactly
// what is intended.
func TestCopyHasNoGaps(t *testing.T) {
	refused := 0
	rapid.Check(t, func(t *rapid.T) {
		plane := &intended{items: map[string]fleet.Item{}}
		c := &Copy{}
		held, revision := map[string]fleet.Item{}, uint64(0)
		var late []fleet.Intent
		var disk [][]byte
		take := func(in fleet.Intent) {
			before := c.Revision
			if _, err := c.Take(in); err != nil {
				refused++
			}
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
				// A watch has one answer at a time: what comes late was asked for at the copy's own revision, or is whole.
				for _, in := range late {
					if in.Full || in.Revision < c.Revision {
						take(in)
					}
				}
			},
			"save": func(t *rapid.T) {
				raw, err := c.Encode("n")
				if err != nil {
					t.Fatal(err)
				}
				disk = append(disk, raw)
			},
			"restart": func(t *rapid.T) {
				c = &Copy{}
				if len(disk) > 0 {
					var err error
					if c, err = Decode(disk[rapid.IntRange(0, len(disk)-1).Draw(t, "copy")], "n"); err != nil {
						t.Fatal(err)
					}
				}
			},
			"node": func(t *rapid.T) { node() },
			"": func(t *rapid.T) {
				again := *c
				again.Items = map[string]fleet.Item{}
				for k, v := range c.Items {
					again.Items[k] = v
				}
				if _, err := again.Take(plane.read(again.Revision)); err != nil {
					t.Fatal(err)
				}
				now := merge(map[string]fleet.Item{}, again.Read(0, nil))
				want := merge(map[string]fleet.Item{}, plane.read(0))
				if d := cmp.Diff(want, now); d != "" {
					t.Fatalf("the copy, after a read: %s", d)
				}
				mine := map[string]fleet.Item{}
				for k, v := range held {
					mine[k] = v
				}
				if d := cmp.Diff(want, merge(mine, again.Read(revision, nil))); d != "" {
					t.Fatalf("the node, after a read: %s", d)
				}
			},
		})
	})
	if refused < 20 {
		t.Errorf("%d answers refused: too few to prove anything", refused)
	}
}

func sample() *Copy {
	c := &Copy{}
	c.Take(fleet.Intent{Revision: 9, Full: true, Items: []fleet.Item{{Key: "zone/a", Rev: 7, Body: json.RawMessage(`{"phase":"left","valid_ms":5000}`)}}})
	return c
}

// A copy that is cut short, altered, another node's or another kind's is refused and put aside; an older one is not put over a
// newer; what is sent again comes whatever its revision.
func TestCopyOnDisk(t *testing.T) {
	raw, err := sample().Encode("n")
	if err != nil {
		t.Fatal(err)
	}
	if c, err := Decode(raw, "n"); err != nil || c.Revision != 9 || len(c.Items) != 1 {
		t.Fatalf("%+v, %v", c, err)
	}
	bad := [][]byte{nil, raw[:len(raw)-1], append(raw[:len(raw):len(raw)], ' '), []byte(strings.Replace(string(raw), "1 9", "1 8", 1)),
		[]byte(strings.Replace(string(raw), "fleet-intent 1", "fleet-intent 2", 1))}
	for i := range raw {
		flipped := append([]byte(nil), raw...)
		flipped[i] ^= 1
		bad = append(bad, flipped)
	}
	for _, b := range bad {
		if c, err := Decode(b, "n"); err == nil {
			t.Errorf("taken: %.60q as %+v", b, c)
		}
	}
	if _, err := Decode(raw, "m"); err == nil {
		t.Error("another node's copy taken")
	}
	dir := t.TempDir()
	if err := Save(dir, "n", raw, 9); err != nil {
		t.Fatal(err)
	}
	if err := Save(dir, "n", raw, 8); err == nil {
		t.Error("an older copy put over a newer")
	}
	if c, err := Load(dir, "n"); err != nil || c.Revision != 9 {
		t.Errorf("%+v, %v", c, err)
	}
	if err := os.WriteFile(filepath.Join(dir, copyName), bad[1], 0o644); err != nil {
		t.Fatal(err)
	}
	if c, err := Load(dir, "n"); err == nil || c.Revision != 0 {
		t.Errorf("a damaged copy: %+v, %v", c, err)
	}
	if left, _ := os.ReadDir(dir); len(left) != 1 || left[0].Name() != copyName+".refused" {
		t.Errorf("left in the directory: %v", left)
	}
	if c, err := Load(dir, "n"); err != nil || c.Revision != 0 {
		t.Errorf("no copy: %+v, %v", c, err)
	}
	if in := sample().Read(9, map[string]bool{"zone/a": true}); in.Full || len(in.Items) != 1 {
		t.Errorf("sent again: %+v", in)
	}
	if in := sample().Read(9, map[string]bool{"*": true}); !in.Full || len(in.Items) != 1 {
		t.Errorf("all sent again: %+v", in)
	}
}

// FuzzDecode: whatever lies on disk, reading it gives a copy that is written back the same, or an error.
func FuzzDecode(f *testing.F) {
	raw, _ := sample().Encode("n")
	f.Add(raw)
	f.Add([]byte("fleet-intent 1 0 ef46db3751d8e999\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		c, err := Decode(raw, "n")
		if err != nil {
			return
		}
		again, err := c.Encode("n")
		if err != nil {
			t.Fatal(err)
		}
		if d, err := Decode(again, "n"); err != nil || d.Revision != c.Revision || len(d.Items) != len(c.Items) {
			t.Fatalf("%+v written back as %+v: %v", c, d, err)
		}
	})
}
