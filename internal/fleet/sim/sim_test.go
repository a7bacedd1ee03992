package sim

import (
	"io"
	"reflect"
	"testing"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/zones"
)

// TestSeeds: no play of fixed seeds breaks a rule, with the simulator's own way of sending and with the module's.
func TestSeeds(t *testing.T) {
	sum := Many(t.Context(), func(s uint64) Plan {
		p := Draw(s, 30)
		p.Module = s%4 == 0
		return p
	}, 1, 40, 4, io.Discard)
	for _, r := range sum.Breaches {
		t.Errorf("seed %d: %v", r.Seed, r.Breach)
	}
	if sum.Steps < 100 || sum.Losses < 40 || sum.Onboard.P50 == 0 {
		t.Errorf("nothing much was played: %+v", sum)
	}
	scoped := 0
	for seed := uint64(1); seed <= 40; seed++ {
		if len(Draw(seed, 30).Scopes) > 0 {
			scoped++
		}
	}
	if scoped < 10 || scoped > 35 {
		t.Errorf("%d of 40 plans have scopes", scoped)
	}
}

// TestCalm: a zone's loss and return with no other fault, by its figures.
func TestCalm(t *testing.T) {
	for _, nodes := range []int{30, 100} {
		sum := Many(t.Context(), func(s uint64) Plan { return Calm(s, nodes) }, 1, 5, 4, io.Discard)
		if len(sum.Breaches) > 0 || sum.WarmingOverloads > 0 || sum.WrongEvacuations > 0 || sum.Unnotified > 0 || sum.Stop95.Max > 2500 || sum.Spread.Max > 500 {
			t.Errorf("%+v", sum)
		}
	}
}

// TestReplay: a plan runs the same way twice.
func TestReplay(t *testing.T) {
	for seed := range uint64(4) {
		p := Draw(seed, 20)
		p.Module = seed%2 == 0
		if a, b := Run(p), Run(p); !reflect.DeepEqual(a, b) {
			t.Errorf("seed %d:\n%+v\n%+v", seed, a, b)
		}
	}
}

// TestPlanted: each planted fault is found, by the rule that it breaks, and found again by its seed.
func TestPlanted(t *testing.T) {
	entry := func(f func(*zones.Entry)) func(*Sim) {
		return func(s *Sim) {
			s.hooks.command = func(c *zones.Command) {
				for i := range c.Items {
					f(&c.Items[i].Entry)
				}
			}
		}
	}
	for _, p := range []struct {
		name  string
		rule  string
		from  uint64 // the seed to begin with, to save time
		plant func(*Sim)
	}{
		{"one node's vote counts for all", "Z1", 17, func(s *Sim) {
			s.hooks.observe = func(c *control, now time.Duration, r fleet.Report) {
				for _, n := range s.nodes {
					if !s.lying(r.Node) {
						continue
					}
					r.Member, r.Sequence = n.member(), uint64(s.events)+1e9
					c.zoneController.Observe(now, fleet.NodeView{Member: r.Member, ReceivedAt: now, Report: r})
				}
			}
		}},
		{"no panic threshold, and room for anything", "Z2", 26, func(s *Sim) { s.settings.MinServersPart, s.settings.CapacityFactor = 0, 1e3 }},
		{"nodes take thrice their part", "Z3", 0, func(s *Sim) { s.hooks.greed = 3 }},
		{"no hold-off", "Z4", 0, func(s *Sim) { s.settings.InitialBackoff = 100 * time.Millisecond }},
		{"a step begins before the last was seen", "Z4", 0, func(s *Sim) { s.settings.MinStepTime, s.settings.MinStepAnswers, s.settings.SlowStartWindow = 0, 0, 0 }},
		{"the floor is the newest share", "Z5", 15, entry(func(e *zones.Entry) {
			if e.Step > 1 {
				e.Floor = e.Share
			}
		})},
		{"a directive never ages", "Z5", 15, func(s *Sim) { s.hooks.ageless = true }},
		{"an agent takes older intent", "revision", 0, func(s *Sim) { s.hooks.takeOld = true }},
		{"a node serves by what is staged", "T1", 0, func(s *Sim) { s.hooks.staged = true }},
		{"the judge forgets nodes of the scope", "T5", 0, func(s *Sim) { s.hooks.forgets = true }},
		{"a run is back before it has heard what changed", "T3", 0, func(s *Sim) { s.hooks.rejoin = true }},
		{"an agent counts to the whole ttl and more", "session", 8, func(s *Sim) { s.leasePart = 1.15 }},
		{"all of a cold zone at once", "cold", 52, entry(func(e *zones.Entry) {
			if e.Step > 0 {
				e.Share, e.Budget = 1, 50*e.Budget
			}
		})},
	} {
		t.Run(p.name, func(t *testing.T) {
			for seed := p.from; seed < p.from+100; seed++ {
				plan := Draw(seed, 20)
				if p.rule == "cold" {
					plan = Calm(seed, 100)
				}
				r := run(plan, p.plant)
				if r.Breach == nil || r.Breach.Rule != p.rule {
					continue
				}
				if again := run(plan, p.plant); !reflect.DeepEqual(r, again) {
					t.Errorf("seed %d does not play the same again: %v, %v", seed, r.Breach, again.Breach)
				}
				t.Logf("seed %d: %v", seed, r.Breach)
				return
			}
			t.Errorf("not found by rule %s", p.rule)
		})
	}
}

// TestUnrest: at 5 % loss and rolling restarts no zone is evacuated, nor cut off by the few nodes that lost twice running.
func TestUnrest(t *testing.T) {
	sum := Many(t.Context(), func(s uint64) Plan {
		p := Unrest(s, 30, time.Minute)
		p.Module = true
		return p
	}, 3, 3, 3, io.Discard)
	if len(sum.Breaches) > 0 || sum.WrongEvacuations > 0 {
		t.Errorf("%+v", sum)
	}
}
