package tenants

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"meadowsill/internal/fleet"
)

// city is a fleet without faults: every node hears and reports within a step.
type city struct {
	s         *State
	j         *Controller
	now       fleet.Time
	rev       uint64
	present   []fleet.Member
	load      func(node int, tenant string) float64
	cmds      int
	divisions int
}

func newCity(nodes, slots int, load func(int, string) float64) *city {
	c := &city{s: &State{}, j: NewController(Config{Slots: slots, TTL: 6 * time.Second}), load: load}
	for i := range nodes {
		c.present = append(c.present, fleet.Member{Node: fmt.Sprintf("n%03d", i), Incarnation: 1})
	}
	return c
}

func firstEpoch(string) uint64 { return 1 }

// whole is the fleet without scopes.
func (c *city) whole() Present { return Present{Epoch: firstEpoch, Members: c.present} }

func (c *city) apply(t testing.TB, cmd Command) {
	if _, err := c.s.Apply(cmd, firstEpoch, func() uint64 { c.rev++; return c.rev }); err != nil {
		t.Fatalf("%s %s: %v", cmd.Operation, cmd.Name, err)
	}
}

func (c *city) put(t testing.TB, name string, rate float64) {
	at := uint64(0)
	if e := c.s.Tenants[name]; e != nil {
		at = e.Committed.Number
	}
	c.apply(t, Command{Operation: Put, Name: name, Generation: at, Spec: &fleet.Spec{Name: name, Quota: fleet.Quota{Rate: rate}}})
}

func (c *city) report() {
	for i, m := range c.present {
		r := fleet.Report{Member: m, Sequence: uint64(c.now), Revision: c.rev}
		for name, e := range c.s.Tenants {
			a := fleet.TenantAck{Name: name, UID: e.UID, Offered: c.load(i, name)}
			if e.Committed != nil {
				a.Committed, a.Digest = e.Committed.Number, e.Committed.Digest
			}
			if e.Staged != nil {
				a.Staged, a.Digest = e.Staged.Number, e.Staged.Digest
			}
			r.Tenants = append(r.Tenants, a)
		}
		c.j.Observe(c.now, fleet.NodeView{Member: m, ReceivedAt: c.now, Report: r})
	}
}

// run lets time go in steps of 100 ms, with a report of each node every 300 ms.
func (c *city) run(t testing.TB, d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += 100 * time.Millisecond
		if c.now%(300*time.Millisecond) == 0 {
			c.report()
		}
		for _, cmd := range c.j.Step(c.now, c.s, c.whole()) {
			c.cmds++
			if cmd.Operation == Divide {
				c.divisions++
			}
			c.apply(t, cmd)
		}
	}
}

func (c *city) share(node int, name string) float64 {
	return c.s.Runs[c.present[node].Node].Rates[name] + fleet.GuaranteedPart*c.s.Tenants[name].Committed.Spec.Quota.Rate/float64(c.s.Slots)
}

// TestUnusedQuotaFollowsDemand moves a brand's whole load from one node to another, and back.
func TestUnusedQuotaFollowsDemand(t *testing.T) {
	busy := 0
	c := newCity(10, 10, func(n int, _ string) float64 {
		if n == busy {
			return 90
		}
		return 0.5
	})
	c.put(t, "lulu", 100)
	c.run(t, 10*time.Second)
	for _, busy = range []int{7, 0} {
		c.run(t, 15*time.Second)
		if got := c.share(busy, "lulu"); got < 75 {
			t.Errorf("node %d has %g of 100, its load is 90", busy, got)
		}
	}
	before := c.divisions
	c.run(t, 20*time.Second)
	if c.divisions != before {
		t.Errorf("%d divisions under a steady load", c.divisions-before)
	}
}

// TestNothingFlutters holds the divisions of ten noisy nodes to what the noise is worth.
func TestNothingFlutters(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	c := newCity(10, 10, func(int, string) float64 { return 6 + 2*rng.NormFloat64() })
	c.put(t, "lulu", 100)
	c.run(t, 10*time.Second)
	before := c.divisions
	c.run(t, 60*time.Second)
	if n := c.divisions - before; n > 6 {
		t.Errorf("%d divisions in a minute of a load with noise of a third", n)
	}
}

// TestQuotaHalvedUnderFullLoad commits the smaller quota only once the leases fit into it, within a few divisions.
func TestQuotaHalvedUnderFullLoad(t *testing.T) {
	c := newCity(10, 10, func(n int, _ string) float64 { return 20 })
	c.put(t, "lulu", 100)
	c.run(t, 10*time.Second)
	c.put(t, "lulu", 50)
	began := c.now
	for c.s.Tenants["lulu"].Committed.Number == 1 && c.now < began+10*time.Second {
		c.run(t, 100*time.Millisecond)
	}
	if maximum := c.s.maxLeased("lulu"); maximum > 30.001 {
		t.Errorf("committed 50 with %g leased next to floors of 20", maximum)
	}
	if d := c.now - began; d > 3*time.Second {
		t.Errorf("committed %v after it was put", d)
	}
	c.run(t, 5*time.Second)
	if maximum := c.s.maxLeased("lulu"); maximum < 39.9 || maximum > 40.001 {
		t.Errorf("%g leased of the smaller quota, want 40", maximum)
	}
}

// TestTwoHundredTenantsAtOnce counts what a whole fleet's onboarding takes.
func TestTwoHundredTenantsAtOnce(t *testing.T) {
	c := newCity(50, 50, func(int, string) float64 { return 1 })
	for i := range 200 {
		c.put(t, fmt.Sprintf("brand-%03d", i), 100)
	}
	c.run(t, time.Second)
	for name := range c.s.Tenants {
		if p := c.s.Phase(name); p != PhaseSettled {
			t.Fatalf("%s is %s after a second", name, p)
		}
	}
	c.run(t, 3*time.Second)
	if c.cmds > 2*200+4 {
		t.Errorf("%d commands for 200 tenants", c.cmds)
	}
	if got := c.share(3, "brand-007"); got < 1.99 {
		t.Errorf("a node's share is %g, want 2", got)
	}
}

func BenchmarkStep(b *testing.B) {
	for _, nodes := range []int{50, 300} {
		c := newCity(nodes, nodes, func(n int, _ string) float64 { return float64(n % 7) })
		for i := range 200 {
			c.put(b, fmt.Sprintf("brand-%03d", i), 100)
		}
		c.run(b, 5*time.Second)
		b.Run(fmt.Sprintf("idle/%d", nodes), func(b *testing.B) {
			for b.Loop() {
				c.j.Step(c.now, c.s, c.whole())
			}
		})
		b.Run(fmt.Sprintf("divide/%d", nodes), func(b *testing.B) {
			for b.Loop() {
				c.now += DivideInterval
				c.j.Step(c.now, c.s, c.whole())
			}
		})
		b.Run(fmt.Sprintf("staging/%d", nodes), func(b *testing.B) {
			for name := range c.s.Tenants {
				if c.s.Phase(name) == PhaseSettled {
					c.put(b, name, 90)
				}
			}
			for b.Loop() {
				c.j.Step(c.now, c.s, c.whole())
			}
		})
		b.Run(fmt.Sprintf("observe/%d", nodes), func(b *testing.B) {
			for b.Loop() {
				c.now++
				c.report()
			}
		})
	}
}
