package control

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/tenants"
)

const settingsText = `
slots = 8
ttl_ms = 6000
[regions]
gulf = ["za", "zb"]
[cold]
from = 0.2
time_ms = 5000
`

// TestFleetState runs random schedules of reads, reports, restarts, silences, operator commands, failovers and snapshots. It checks
// that a node that reads only changes holds what a complete read returns, that a restored snapshot is the same state and behaves
// the same, that present nodes serve at most two adjacent generations of a tenant (T2), and that the quota leased to runs stays
// within the quota (T3).
func TestFleetState(t *testing.T) {
	rollouts, joins := 0, uint64(0)
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(t, 4)
		names := rapid.SampledFrom([]string{"a", "b", "c"})
		services := rapid.SampledFrom([]string{"", "billing", "search"})
		scopes := rapid.SampledFrom([][]string{nil, {"billing"}, {"search"}, {"billing", "search"}, {"mail"}})
		nodeIndex := rapid.IntRange(0, len(f.nodes)-1)
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				name := names.Draw(t, "name")
				service, g := services.Draw(t, "service"), uint64(0)
				if e := f.state.Tenants.Tenants[name]; e != nil {
					service = e.Service()
					if e.Committed != nil {
						g = e.Committed.Number
					}
				}
				f.putIn(service, name, g, float64(rapid.IntRange(1, 100).Draw(t, "rate")))
			},
			"delete": func(t *rapid.T) {
				name := names.Draw(t, "name")
				if e := f.state.Tenants.Tenants[name]; e != nil && e.Committed != nil {
					f.apply(Command{Tenants: &tenants.Command{Operation: tenants.Delete, Name: name, Generation: e.Committed.Number}})
				}
			},
			"read":    func(t *rapid.T) { f.nodes[nodeIndex.Draw(t, "node")].read(f.state) },
			"report":  func(t *rapid.T) { f.deliver(f.nodes[nodeIndex.Draw(t, "node")].report()) },
			"restart": func(t *rapid.T) { f.startRun(nodeIndex.Draw(t, "node"), scopes.Draw(t, "scope")...) },
			"leave": func(t *rapid.T) {
				rep := f.nodes[nodeIndex.Draw(t, "node")].report()
				rep.Draining = true
				f.deliver(rep)
			},
			"all": func(t *rapid.T) { // all nodes read and report, and the controller runs a step
				for range 3 {
					for _, n := range f.nodes {
						n.read(f.state)
						f.deliver(n.report())
					}
					f.step(100 * time.Millisecond)
				}
			},
			"step":       func(t *rapid.T) { f.step(time.Duration(rapid.IntRange(1, 7000).Draw(t, "ms")) * time.Millisecond) },
			"new leader": func(t *rapid.T) { f.controller = NewController(f.set, f.now, f.state) },
			"restore": func(t *rapid.T) {
				raw, err := f.state.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				s, err := Restore(raw)
				if err != nil {
					t.Fatal(err)
				}
				again, _ := s.Snapshot()
				if d := cmp.Diff(string(raw), string(again)); d != "" {
					t.Fatal(d)
				}
				for since := range f.rev + 2 {
					if d := cmp.Diff(f.state.Read(since, "n1"), s.Read(since, "n1")); d != "" {
						t.Fatalf("since %d after a restore: %s", since, d)
					}
				}
				f.state = s
			},
			"": func(t *rapid.T) {
				joins = max(joins, f.state.Session.Epoch)
				for name, e := range f.state.Tenants.Tenants {
					lo, hi := uint64(1<<62), uint64(0)
					for _, n := range f.nodes {
						if g := n.serves[name]; f.state.Session.Present(n.Member) && g > 0 {
							lo, hi = min(lo, g), max(hi, g)
						}
					}
					if hi > lo+1 {
						t.Fatalf("T2: present nodes serve generations %d to %d of %s", lo, hi, name)
					}
					if e.Committed != nil {
						rollouts = max(rollouts, int(e.Committed.Number))
						sum := 0.0
						for _, l := range f.state.Tenants.Runs {
							sum += l.Rates[name]
						}
						if q := e.Committed.Spec.Quota.Rate; sum > q*(1-fleet.GuaranteedPart)+1e-6 {
							t.Fatalf("T3: %g of the quota of %s, %g, is leased", sum, name, q)
						}
					}
				}
				for _, n := range f.nodes {
					c := *n
					c.held = map[string]fleet.Item{}
					maps.Copy(c.held, n.held)
					c.read(f.state)
					complete := map[string]fleet.Item{}
					for _, it := range f.state.Read(0, n.Node).Items {
						if n.inScope(it) {
							complete[it.Key] = it
						}
					}
					if d := cmp.Diff(complete, c.held); d != "" {
						t.Fatalf("%s, which reads changes, does not hold what a complete read returns: %s", n.Node, d)
					}
				}
			},
		})
	})
	if rollouts < 2 || joins < 4 {
		t.Errorf("at most generation %d and epoch %d: the schedules cover too little", rollouts, joins)
	}
}

// TestJoinRequiresCaughtUpRun checks that a run that holds nothing is present but not ready until it has caught up, that a run that
// was away is present again only once it holds what is committed now, and that a commit between its report and its join rejects
// the join.
func TestJoinRequiresCaughtUpRun(t *testing.T) {
	f := newTestFleet(t, 3)
	runRounds := func() {
		for range 4 {
			for _, n := range f.nodes[:2] {
				n.read(f.state)
				if a, err := f.deliver(n.report()); err != nil || a.LeaseTTLMS == 0 {
					t.Fatal(a, err)
				}
			}
			f.step(300 * time.Millisecond)
		}
	}
	rollOut := func(generation uint64) {
		t.Helper()
		if err := f.put("a", generation-1, 10*float64(generation)); err != nil {
			t.Fatal(err)
		}
		runRounds()
		if e := f.state.Tenants.Tenants["a"]; e.Committed == nil || e.Committed.Number != generation || e.Applying {
			t.Fatalf("generation %d is not applied on every present node: %+v", generation, e)
		}
	}
	runRounds()
	rollOut(1)
	late := f.nodes[2]
	if a, err := f.deliver(late.report()); err != nil || !a.NotReady || a.LeaseTTLMS == 0 || !f.state.Session.Present(late.Member) {
		t.Errorf("a run that holds nothing: %+v, %v", a, err)
	}
	late.read(f.state)
	if a, err := f.deliver(late.report()); err != nil || a.NotReady || a.LeaseTTLMS == 0 {
		t.Errorf("a run that has caught up: %+v, %v", a, err)
	}
	for range 6 { // longer than its lease
		runRounds()
	}
	if f.state.Session.Present(late.Member) {
		t.Fatal("a silent run is present")
	}
	rollOut(2)
	if a, err := f.deliver(late.report()); err != nil || !a.NotReady || a.LeaseTTLMS != 0 || f.state.Session.Present(late.Member) {
		t.Errorf("a run that was away, with generation 1: %+v, %v", a, err)
	}
	late.read(f.state)
	rep := late.report()
	c, notReady, err := f.controller.Admit(f.state, rep)
	if c == nil || notReady || err != nil {
		t.Fatalf("a run that was away and has caught up: join %v, not ready %v, %v", c, notReady, err)
	}
	rollOut(3)
	if err := f.apply(*c); !errors.Is(err, ErrStale) || f.state.Session.Present(late.Member) {
		t.Errorf("a join decided before generation 3: %v", err)
	}
	divide := Command{Tenants: &tenants.Command{Operation: tenants.Divide, IfRevision: f.state.Tenants.DividedRevision, Epoch: f.state.Session.Epoch - 1,
		Division: &tenants.Division{Slots: 8, Expired: []tenants.Run{{Node: "n0", Incarnation: f.nodes[0].Incarnation}}}}}
	if err := f.apply(divide); !errors.Is(err, ErrStale) {
		t.Errorf("a division decided at an older epoch, which ends the lease of a run that may have joined again: %v", err)
	}
	rep.Sequence = 0
	rep.Node, rep.Incarnation = "n0", f.nodes[0].Incarnation
	rep.Zone = "za"
	if _, err := f.deliver(rep); !errors.Is(err, ErrOlder) {
		t.Errorf("a report with an older sequence number: %v", err)
	}
}

func TestSettings(t *testing.T) {
	set, err := ParseSettings(settingsText)
	if err != nil || set.Slots != 8 || set.TTL != 6*time.Second || set.Zones.Region["zb"] != "gulf" || set.Zones.SlowStartWindow != 5*time.Second {
		t.Fatalf("%+v, %v", set, err)
	}
	if set, err := ParseSettings("slots = 1"); err != nil || set.TTL != 6*time.Second {
		t.Errorf("the smallest valid settings: %+v, %v", set, err)
	}
	for _, row := range []struct{ text, want string }{
		{"", "slots"},
		{"slots = 0", "slots"},
		{"slots = 10000000", "slots"},
		{"slots = 1.5", "slots"},
		{"slots = 3\ncolour = 1", "colour: unknown key"},
		{"slots = 3\n[cold]\nform = 1", "cold.form: unknown key"},
		{"slots = 3\nttl_ms = 10", "ttl_ms"},
		{"slots = 3\n[regions]\na = [\"x\"]\nb = [\"x\"]", "already"},
		{"slots = 3\n[regions]\na = [\"x@y\"]", "no zone's name"},
		{"slots = 3\n[cold]\nfrom = 2", "cold.from"},
		{"slots = 3\n[cold]\nfrom = nan", "cold.from"},
		{"slots = 3\n[cold]\ntime_ms = -1", "cold.time_ms"},
		{"slots = 3\n[cold]\ntime_ms = inf", "cold.time_ms"},
		{"slots = ", "line 1"},
	} {
		_, err := ParseSettings(row.text)
		if !errors.Is(err, fleet.ErrInvalid) || !strings.Contains(err.Error(), row.want) {
			t.Errorf("%q: %v, want %q", row.text, err, row.want)
		}
	}
}

// BenchmarkStep measures one step of the leader, which runs ten times a second, and one report of a node; each node reports one to
// four times a second.
func BenchmarkStep(b *testing.B) {
	for _, size := range [][2]int{{50, 10}, {300, 10}, {300, 200}} {
		f := newTestFleet(b, size[0])
		f.controller = NewController(f.set, 0, f.state)
		f.controller.settings.Slots, f.controller.settings.Zones.Slots = size[0], size[0]
		round := func() {
			for _, n := range f.nodes {
				n.read(f.state)
				f.deliver(n.report())
			}
			f.step(100 * time.Millisecond)
		}
		round()
		for i := range size[1] {
			f.put(fmt.Sprint("t", i), 0, 10)
		}
		for range 20 {
			round()
		}
		name := fmt.Sprintf("nodes=%d/tenants=%d", size[0], size[1])
		b.Run(name+"/step", func(b *testing.B) {
			for b.Loop() {
				f.step(time.Microsecond)
			}
		})
		rep := f.nodes[0].report()
		b.Run(name+"/report", func(b *testing.B) {
			for b.Loop() {
				rep.Sequence++
				f.deliver(rep)
			}
		})
	}
}
