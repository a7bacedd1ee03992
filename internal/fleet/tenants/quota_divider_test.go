package tenants

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"meadowsill/internal/fleet"
)

// faultlessFleet is a fleet without faults: every node receives commands and reports within one step.
type faultlessFleet struct {
	state      *State
	controller *Controller
	now        fleet.Time
	rev        uint64
	present    []fleet.Member
	load       func(node int, tenant string) float64
	commands   int
	divisions  int
}

func newFaultlessFleet(nodes, slots int, load func(int, string) float64) *faultlessFleet {
	f := &faultlessFleet{state: &State{}, controller: NewController(Config{Slots: slots, TTL: 6 * time.Second}), load: load}
	for i := range nodes {
		f.present = append(f.present, fleet.Member{Node: fmt.Sprintf("n%03d", i), Incarnation: 1})
	}
	return f
}

func firstEpoch(string) uint64 { return 1 }

// allPresent returns all nodes as present, without scopes.
func (f *faultlessFleet) allPresent() Present { return Present{Epoch: firstEpoch, Members: f.present} }

func (f *faultlessFleet) apply(t testing.TB, cmd Command) {
	if _, err := f.state.Apply(cmd, firstEpoch, func() uint64 { f.rev++; return f.rev }); err != nil {
		t.Fatalf("%s %s: %v", cmd.Operation, cmd.Name, err)
	}
}

func (f *faultlessFleet) put(t testing.TB, name string, rate float64) {
	at := uint64(0)
	if e := f.state.Tenants[name]; e != nil {
		at = e.Committed.Number
	}
	f.apply(t, Command{Operation: Put, Name: name, Generation: at, Spec: &fleet.Spec{Name: name, Quota: fleet.Quota{Rate: rate}}})
}

func (f *faultlessFleet) report() {
	for i, m := range f.present {
		r := fleet.Report{Member: m, Sequence: uint64(f.now), Revision: f.rev}
		for name, e := range f.state.Tenants {
			a := fleet.TenantAck{Name: name, UID: e.UID, Offered: f.load(i, name)}
			if e.Committed != nil {
				a.Committed, a.Digest = e.Committed.Number, e.Committed.Digest
			}
			if e.Staged != nil {
				a.Staged, a.Digest = e.Staged.Number, e.Staged.Digest
			}
			r.Tenants = append(r.Tenants, a)
		}
		f.controller.Observe(f.now, fleet.NodeView{Member: m, ReceivedAt: f.now, Report: r})
	}
}

// run advances the time by d in steps of 100 ms, with a report of each node every 300 ms.
func (f *faultlessFleet) run(t testing.TB, d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += 100 * time.Millisecond
		if f.now%(300*time.Millisecond) == 0 {
			f.report()
		}
		for _, cmd := range f.controller.Step(f.now, f.state, f.allPresent()) {
			f.commands++
			if cmd.Operation == Divide {
				f.divisions++
			}
			f.apply(t, cmd)
		}
	}
}

func (f *faultlessFleet) nodeRate(node int, name string) float64 {
	return f.state.Runs[f.present[node].Node].Rates[name] + fleet.GuaranteedPart*f.state.Tenants[name].Committed.Spec.Quota.Rate/float64(f.state.Slots)
}

// TestUnusedQuotaFollowsDemand moves a tenant's whole load from one node to another, and back. The leases must follow.
func TestUnusedQuotaFollowsDemand(t *testing.T) {
	busy := 0
	f := newFaultlessFleet(10, 10, func(n int, _ string) float64 {
		if n == busy {
			return 90
		}
		return 0.5
	})
	f.put(t, "lulu", 100)
	f.run(t, 10*time.Second)
	for _, busy = range []int{7, 0} {
		f.run(t, 15*time.Second)
		if got := f.nodeRate(busy, "lulu"); got < 75 {
			t.Errorf("node %d has a rate of %g out of 100, its load is 90", busy, got)
		}
	}
	before := f.divisions
	f.run(t, 20*time.Second)
	if f.divisions != before {
		t.Errorf("%d divisions under a steady load", f.divisions-before)
	}
}

// TestDivisionIsStableUnderNoise limits how often a quota is divided again when the loads of ten nodes only vary by noise.
func TestDivisionIsStableUnderNoise(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	f := newFaultlessFleet(10, 10, func(int, string) float64 { return 6 + 2*rng.NormFloat64() })
	f.put(t, "lulu", 100)
	f.run(t, 10*time.Second)
	before := f.divisions
	f.run(t, 60*time.Second)
	if n := f.divisions - before; n > 6 {
		t.Errorf("%d divisions in a minute under a load with noise of a third", n)
	}
}

// TestQuotaHalvedUnderFullLoad checks that a smaller quota is committed only once the leases fit into it, and that this takes
// only a few divisions.
func TestQuotaHalvedUnderFullLoad(t *testing.T) {
	f := newFaultlessFleet(10, 10, func(n int, _ string) float64 { return 20 })
	f.put(t, "lulu", 100)
	f.run(t, 10*time.Second)
	f.put(t, "lulu", 50)
	began := f.now
	for f.state.Tenants["lulu"].Committed.Number == 1 && f.now < began+10*time.Second {
		f.run(t, 100*time.Millisecond)
	}
	if maximum := f.state.maxLeased("lulu"); maximum > 30.001 {
		t.Errorf("committed quota 50 with %g leased beside guaranteed parts of 20", maximum)
	}
	if d := f.now - began; d > 3*time.Second {
		t.Errorf("committed %v after the put", d)
	}
	f.run(t, 5*time.Second)
	if maximum := f.state.maxLeased("lulu"); maximum < 39.9 || maximum > 40.001 {
		t.Errorf("%g leased of the smaller quota, want 40", maximum)
	}
}

// TestTwoHundredTenantsAtOnce checks the time and the number of commands that it takes to add 200 tenants at once.
func TestTwoHundredTenantsAtOnce(t *testing.T) {
	f := newFaultlessFleet(50, 50, func(int, string) float64 { return 1 })
	for i := range 200 {
		f.put(t, fmt.Sprintf("brand-%03d", i), 100)
	}
	f.run(t, time.Second)
	for name := range f.state.Tenants {
		if p := f.state.Phase(name); p != PhaseSettled {
			t.Fatalf("%s is in phase %s after a second", name, p)
		}
	}
	f.run(t, 3*time.Second)
	if f.commands > 2*200+4 {
		t.Errorf("%d commands for 200 tenants", f.commands)
	}
	if got := f.nodeRate(3, "brand-007"); got < 1.99 {
		t.Errorf("a node's rate is %g, want 2", got)
	}
}

func BenchmarkStep(b *testing.B) {
	for _, nodes := range []int{50, 300} {
		f := newFaultlessFleet(nodes, nodes, func(n int, _ string) float64 { return float64(n % 7) })
		for i := range 200 {
			f.put(b, fmt.Sprintf("brand-%03d", i), 100)
		}
		f.run(b, 5*time.Second)
		b.Run(fmt.Sprintf("idle/%d", nodes), func(b *testing.B) {
			for b.Loop() {
				f.controller.Step(f.now, f.state, f.allPresent())
			}
		})
		b.Run(fmt.Sprintf("divide/%d", nodes), func(b *testing.B) {
			for b.Loop() {
				f.now += DivideInterval
				f.controller.Step(f.now, f.state, f.allPresent())
			}
		})
		b.Run(fmt.Sprintf("staging/%d", nodes), func(b *testing.B) {
			for name := range f.state.Tenants {
				if f.state.Phase(name) == PhaseSettled {
					f.put(b, name, 90)
				}
			}
			for b.Loop() {
				f.controller.Step(f.now, f.state, f.allPresent())
			}
		})
		b.Run(fmt.Sprintf("observe/%d", nodes), func(b *testing.B) {
			for b.Loop() {
				f.now++
				f.report()
			}
		})
	}
}
