package simulation

import (
	"flag"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"meadowsill/internal/fleet"
	. "meadowsill/internal/fleet/zones"
)

var randomSchedules = rapid.Custom(func(t *rapid.T) Schedule {
	s := Schedule{Seed: rapid.Uint64().Draw(t, "seed"), Zones: rapid.IntRange(2, 4).Draw(t, "zones"),
		PerZone: rapid.IntRange(2, 5).Draw(t, "per zone"), BaseLoss: rapid.Float64Range(0, 0.05).Draw(t, "loss"), LyingNode: -1}
	if rapid.Bool().Draw(t, "a liar") {
		s.LyingNode, s.LieKind = rapid.IntRange(0, s.Zones*s.PerZone-1).Draw(t, "liar"), rapid.IntRange(0, 4).Draw(t, "lie")
		s.LyingZone = s.Zones > 2 && rapid.Bool().Draw(t, "its zone")
	}
	s.Faults = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Fault {
		return Fault{StartMS: rapid.IntRange(3000, 30000).Draw(t, "at"), DurationMS: rapid.IntRange(100, 20000).Draw(t, "for"),
			Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Zone: rapid.IntRange(0, s.Zones-1).Draw(t, "zone"),
			From: rapid.IntRange(0, s.Zones-1).Draw(t, "from"), Node: rapid.IntRange(0, s.Zones*s.PerZone-1).Draw(t, "node"),
			Loss: rapid.Float64Range(0.1, 0.9).Draw(t, "p")}
	}), 0, 8).Draw(t, "faults")
	return s
})

// TestRules checks Z1 to Z5 in random schedules of losses, delays, false reports, restarts and new leaders. The schedules are
// the same in every run, unless -rapid.seed selects others.
func TestRules(t *testing.T) {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		f.Value.Set("12")
	}
	rapid.Check(t, func(t *rapid.T) {
		s := randomSchedules.Draw(t, "schedule")
		if broken := runSchedule(s, nil); broken != "" {
			t.Fatal(broken)
		}
	})
}

// TestMutants checks that each deliberate fault of the core is detected by the rule that it breaks.
func TestMutants(t *testing.T) {
	set := func(f func(*Settings)) func(*world) {
		return func(w *world) { f(&w.settings); w.controller = NewController(w.settings) }
	}
	change := func(f func(*Change)) func(*world) {
		return func(w *world) {
			w.apply = func(c Command) Command {
				c.Items = slices.Clone(c.Items)
				for i := range c.Items {
					f(&c.Items[i])
				}
				return c
			}
		}
	}
	for _, m := range []struct {
		name   string
		rule   string
		from   int // seed of the first schedule to run, to save time
		mutate func(*world)
	}{
		{"a node's vote counts for every node", "Z1", 13, func(w *world) {
			inner := w.falsify
			w.falsify = func(n *simNode, v *fleet.NodeView) {
				inner(n, v)
				for _, node := range w.nodes {
					copied := *v
					copied.Member, copied.Report.Sequence = node.Member, 1e6*uint64(w.now/tick)+uint64(n.nextServer)
					w.controller.Observe(w.now, copied)
				}
			}
		}},
		{"the votes of one zone are enough", "Z1", 51, func(w *world) {
			w.settings.Region = map[string]string{"a": "r"} // the other zones have no region and so no say in the quorum
			w.settings.FailingServersPart = 0.01
			w.controller = NewController(w.settings)
		}},
		{"no panic threshold, and capacity for any load", "Z2", 32, set(func(s *Settings) { s.MinServersPart, s.CapacityFactor = 0, 1000 })},
		{"each node gets half of the budget", "Z3", 0, change(func(c *Change) { c.Entry.Slots = min(c.Entry.Slots, 2) })},
		{"backoff of 100 ms", "Z4", 0, set(func(s *Settings) { s.InitialBackoff = 100 * time.Millisecond })},
		{"steps without waiting", "Z4", 0, set(func(s *Settings) { s.MinStepTime, s.MinStepAnswers, s.SlowStartWindow = 0, 0, 0 })},
		{"the floor is the newest share", "Z5", 68, change(func(c *Change) {
			if c.Entry.Step > 1 {
				c.Entry.Floor = c.Entry.Share
			}
		})},
	} {
		t.Run(m.name, func(t *testing.T) {
			for seed := m.from; seed < m.from+200; seed++ {
				if broken := runSchedule(randomSchedules.Example(seed), m.mutate); len(broken) > 2 && broken[:2] == m.rule {
					t.Logf("schedule %d: %s", seed, broken)
					return
				} else if broken != "" {
					t.Logf("schedule %d broke another rule: %s", seed, broken)
				}
			}
			t.Errorf("not detected by %s", m.rule)
		})
	}
}
