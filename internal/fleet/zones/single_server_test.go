package zones

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"meadowsill/internal/fleet"
)

// TestSingleServerEvidenceAddsUp checks zones of which each node uses only one server, so that no node has a vote. The losses
// of all nodes together must show that the zone is lost. Losses of only some nodes or one zone's nodes must not, nor must the
// attempts of only a few nodes.
func TestSingleServerEvidenceAddsUp(t *testing.T) {
	for name, c := range map[string]struct {
		loses     func(node int) bool // whether the node's server of zone z0 is lost
		tries     func(node int) bool
		evacuated bool
	}{
		"all lose":                     {func(int) bool { return true }, func(int) bool { return true }, true},
		"most lose":                    {func(n int) bool { return n%4 > 0 }, func(int) bool { return true }, false},
		"one zone loses":               {func(n int) bool { return n%3 == 1 }, func(int) bool { return true }, false},
		"one zone tries":               {func(int) bool { return true }, func(n int) bool { return n%3 == 1 }, false},
		"few try, all lose":            {func(int) bool { return true }, func(n int) bool { return n < 10 }, false},
		"one node reports 1000 losses": {func(n int) bool { return n == 7 }, func(int) bool { return true }, false},
	} {
		t.Run(name, func(t *testing.T) {
			settings, s := Default(30), &State{}
			settings.Region = map[string]string{"z0": "a", "z1": "b", "z2": "c"}
			controller, rev := NewController(settings), uint64(0)
			var present []fleet.Member
			for n := range 30 {
				present = append(present, fleet.Member{Node: fmt.Sprint("n", n), Zone: fmt.Sprint("z", n%3), Incarnation: 1})
			}
			for step := range 40 {
				now := fleet.Time(step) * 100 * time.Millisecond
				for n, m := range present {
					r := fleet.Report{Member: m, Sequence: uint64(step + 1), WindowMS: 100, Ready: true, Zones: []fleet.ZoneEvidence{
						{Zone: "z1", Attempts: 4, Servers: 3, Answered: 4, Listed: 10}, {Zone: "z2", Attempts: 4, Servers: 3, Answered: 4, Listed: 10}}}
					if z := (fleet.ZoneEvidence{Zone: "z0", Attempts: 1, Servers: 1, Answered: 1, Listed: 10}); c.tries(n) && step%5 == n%5 {
						if step > 15 && c.loses(n) {
							z = fleet.ZoneEvidence{Zone: "z0", Attempts: 1, Lost: 1, Servers: 1, LostServers: 1, Listed: 10}
						}
						if n == 7 && z.Lost > 0 && name == "one node reports 1000 losses" {
							z.Attempts, z.Lost = 1000, 1000
						}
						r.Zones = append(r.Zones, z)
					}
					controller.Observe(now, fleet.NodeView{Member: m, ReceivedAt: now, Report: r})
				}
				for _, c := range controller.Step(now, s, present) {
					if _, err := s.Apply(c, func() uint64 { rev++; return rev }); err != nil {
						t.Fatal(err)
					}
				}
			}
			if e, ok := s.Directives["zone/z0"]; (ok && e.Share == 0) != c.evacuated {
				t.Errorf("evacuated: %v, want %v: %+v, %+v", ok, c.evacuated, e.Directive, controller.Evidence())
			}
		})
	}
}

func TestTable(t *testing.T) {
	if !slices.Equal(Table(), table) {
		t.Error("Table returns rows that differ from the state table")
	}
}
