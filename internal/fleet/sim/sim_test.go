package sim

import (
	"io"
	"reflect"
	"testing"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/zones"
)

// TestSeeds checks that no run of the fixed seeds breaks a rule, with the simulator's simple choice of servers and with
// the policy module.
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
		t.Errorf("the runs have too few steps, zone losses or rollouts: %+v", sum)
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

// TestCalm checks the figures of runs in which a zone is lost and returns with no other fault.
func TestCalm(t *testing.T) {
	for _, nodes := range []int{30, 100} {
		sum := Many(t.Context(), func(s uint64) Plan { return Calm(s, nodes) }, 1, 5, 4, io.Discard)
		if len(sum.Breaches) > 0 || sum.WarmingOverloads > 0 || sum.WrongEvacuations > 0 || sum.Unnotified > 0 || sum.Stop95.Max > 2500 || sum.Spread.Max > 500 {
			t.Errorf("%+v", sum)
		}
	}
}

// TestReplay checks that two runs of a plan are identical.
func TestReplay(t *testing.T) {
	for seed := range uint64(4) {
		p := Draw(seed, 20)
		p.Module = seed%2 == 0
		if a, b := Run(p), Run(p); !reflect.DeepEqual(a, b) {
			t.Errorf("seed %d:\n%+v\n%+v", seed, a, b)
		}
	}
}

// TestInjectedFaults checks that each injected fault is detected by the rule that it breaks, and again in a second run of the
// seed.
func TestInjectedFaults(t *testing.T) {
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
		name   string
		rule   string
		from   uint64 // first seed to run; earlier seeds are left out to save time
		inject func(*Sim)
	}{
		{"one node's evidence counts for all nodes", "Z1", 17, func(s *Sim) {
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
		{"no minimum part of servers, and no capacity limit", "Z2", 26, func(s *Sim) { s.settings.MinServersPart, s.settings.CapacityFactor = 0, 1e3 }},
		{"nodes send at three times their rate", "Z3", 0, func(s *Sim) { s.hooks.rateFactor = 3 }},
		{"backoff too short", "Z4", 0, func(s *Sim) { s.settings.InitialBackoff = 100 * time.Millisecond }},
		{"steps without evidence", "Z4", 0, func(s *Sim) { s.settings.MinStepTime, s.settings.MinStepAnswers, s.settings.SlowStartWindow = 0, 0, 0 }},
		{"the floor is the newest share", "Z5", 15, entry(func(e *zones.Entry) {
			if e.Step > 1 {
				e.Floor = e.Share
			}
		})},
		{"a directive never expires", "Z5", 15, func(s *Sim) { s.hooks.neverExpire = true }},
		{"an agent accepts an older intent", "revision", 0, func(s *Sim) { s.hooks.acceptOlder = true }},
		{"a node serves by a staged generation", "T1", 0, func(s *Sim) { s.hooks.serveStaged = true }},
		{"the tenant controller ignores nodes with a scope", "T5", 0, func(s *Sim) { s.hooks.ignoreScopes = true }},
		{"a process joins again before it has the intent that it missed", "T3", 0, func(s *Sim) { s.hooks.joinEarly = true }},
		{"an agent holds its session for longer than the ttl", "session", 8, func(s *Sim) { s.leasePart = 1.15 }},
		{"full share for a zone whose servers are warming up", "cold", 52, entry(func(e *zones.Entry) {
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
				r := run(plan, p.inject)
				if r.Breach == nil || r.Breach.Rule != p.rule {
					continue
				}
				if again := run(plan, p.inject); !reflect.DeepEqual(r, again) {
					t.Errorf("two runs of seed %d differ: %v, %v", seed, r.Breach, again.Breach)
				}
				t.Logf("seed %d: %v", seed, r.Breach)
				return
			}
			t.Errorf("no run breaks rule %s", p.rule)
		})
	}
}

// TestUnrest checks that no rule is broken and no zone is evacuated at 5 % loss with rolling restarts, where a few nodes
// lose two attempts at a server in succession by chance.
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
