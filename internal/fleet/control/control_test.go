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

const fileText = `
slots = 8
ttl_ms = 6000
[regions]
gulf = ["za", "zb"]
[cold]
from = 0.2
time_ms = 5000
`

// Random schedules of reads, reports, restarts, silences, operators, failovers and snapshots: whoever reads only changes holds what
// a complete read gives; a restored snapshot is the same state and goes on the same; present nodes serve at most two
// adjacent generations of a tenant (T2), and what runs are leased stays within the quota (T3).
func TestFleetState(t *testing.T) {
	rollouts, joins := 0, uint64(0)
	rapid.Check(t, func(t *rapid.T) {
		r := newTestFleet(t, 4)
		names := rapid.SampledFrom([]string{"a", "b", "c"})
		services := rapid.SampledFrom([]string{"", "billing", "search"})
		scopes := rapid.SampledFrom([][]string{nil, {"billing"}, {"search"}, {"billing", "search"}, {"mail"}})
		who := rapid.IntRange(0, len(r.nodes)-1)
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				name := names.Draw(t, "name")
				service, g := services.Draw(t, "service"), uint64(0)
				if e := r.state.Tenants.Tenants[name]; e != nil {
					service = e.Service()
					if e.Committed != nil {
						g = e.Committed.Number
					}
				}
				r.putIn(service, name, g, float64(rapid.IntRange(1, 100).Draw(t, "rate")))
			},
			"delete": func(t *rapid.T) {
				name := names.Draw(t, "name")
				if e := r.state.Tenants.Tenants[name]; e != nil && e.Committed != nil {
					r.apply(Command{Tenants: &tenants.Command{Operation: tenants.Delete, Name: name, Generation: e.Committed.Number}})
				}
			},
			"read":    func(t *rapid.T) { r.nodes[who.Draw(t, "node")].read(r.state) },
			"report":  func(t *rapid.T) { r.hear(r.nodes[who.Draw(t, "node")].report()) },
			"restart": func(t *rapid.T) { r.boot(who.Draw(t, "node"), scopes.Draw(t, "scope")...) },
			"leave": func(t *rapid.T) {
				rep := r.nodes[who.Draw(t, "node")].report()
				rep.Draining = true
				r.hear(rep)
			},
			"all": func(t *rapid.T) { // a quiet moment: all read and report, the leader evaluates
				for range 3 {
					for _, n := range r.nodes {
						n.read(r.state)
						r.hear(n.report())
					}
					r.step(100 * time.Millisecond)
				}
			},
			"step":       func(t *rapid.T) { r.step(time.Duration(rapid.IntRange(1, 7000).Draw(t, "ms")) * time.Millisecond) },
			"new leader": func(t *rapid.T) { r.judge = NewController(r.set, r.now, r.state) },
			"restore": func(t *rapid.T) {
				raw, err := r.state.Snapshot()
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
				for since := range r.rev + 2 {
					if d := cmp.Diff(r.state.Read(since, "n1"), s.Read(since, "n1")); d != "" {
						t.Fatalf("since %d after a restore: %s", since, d)
					}
				}
				r.state = s
			},
			"": func(t *rapid.T) {
				joins = max(joins, r.state.Session.Epoch)
				for name, e := range r.state.Tenants.Tenants {
					lo, hi := uint64(1<<62), uint64(0)
					for _, n := range r.nodes {
						if g := n.serves[name]; r.state.Session.Present(n.Member) && g > 0 {
							lo, hi = min(lo, g), max(hi, g)
						}
					}
					if hi > lo+1 {
						t.Fatalf("T2: present nodes serve generations %d to %d of %s", lo, hi, name)
					}
					if e.Committed != nil {
						rollouts = max(rollouts, int(e.Committed.Number))
						sum := 0.0
						for _, l := range r.state.Tenants.Runs {
							sum += l.Rates[name]
						}
						if q := e.Committed.Spec.Quota.Rate; sum > q*(1-fleet.GuaranteedPart)+1e-6 {
							t.Fatalf("T3: %g of %s's %g leased", sum, name, q)
						}
					}
				}
				for _, n := range r.nodes {
					c := *n
					c.held = map[string]fleet.Item{}
					maps.Copy(c.held, n.held)
					c.read(r.state)
					complete := map[string]fleet.Item{}
					for _, it := range r.state.Read(0, n.Node).Items {
						if n.keeps(it) {
							complete[it.Key] = it
						}
					}
					if d := cmp.Diff(complete, c.held); d != "" {
						t.Fatalf("%s, reading changes, holds otherwise: %s", n.Node, d)
					}
				}
			},
		})
	})
	if rollouts < 2 || joins < 4 {
		t.Errorf("generation %d and epoch %d at most: too little to prove anything", rollouts, joins)
	}
}

// A run that holds nothing is present, and out until it has caught up; one that was away is present again only with what is
// committed now, and what is committed between its report and its join rejects the join.
func TestJoinIsGuarded(t *testing.T) {
	r := newTestFleet(t, 3)
	all := func() {
		for range 4 {
			for _, n := range r.nodes[:2] {
				n.read(r.state)
				if a, err := r.hear(n.report()); err != nil || a.LeaseTTLMS == 0 {
					t.Fatal(a, err)
				}
			}
			r.step(300 * time.Millisecond)
		}
	}
	roll := func(generation uint64) {
		t.Helper()
		if err := r.put("a", generation-1, 10*float64(generation)); err != nil {
			t.Fatal(err)
		}
		all()
		if e := r.state.Tenants.Tenants["a"]; e.Committed == nil || e.Committed.Number != generation || e.Applying {
			t.Fatalf("generation %d is not on every present node: %+v", generation, e)
		}
	}
	all()
	roll(1)
	late := r.nodes[2]
	if a, err := r.hear(late.report()); err != nil || !a.NotReady || a.LeaseTTLMS == 0 || !r.state.Session.Present(late.Member) {
		t.Errorf("a run that holds nothing: %+v, %v", a, err)
	}
	late.read(r.state)
	if a, err := r.hear(late.report()); err != nil || a.NotReady || a.LeaseTTLMS == 0 {
		t.Errorf("a run that has caught up: %+v, %v", a, err)
	}
	for range 6 { // longer than its lease
		all()
	}
	if r.state.Session.Present(late.Member) {
		t.Fatal("a silent run is present")
	}
	roll(2)
	if a, err := r.hear(late.report()); err != nil || !a.NotReady || a.LeaseTTLMS != 0 || r.state.Session.Present(late.Member) {
		t.Errorf("a run that was away, with generation 1: %+v, %v", a, err)
	}
	late.read(r.state)
	rep := late.report()
	c, out, err := r.judge.Admit(r.state, rep)
	if c == nil || out || err != nil {
		t.Fatalf("a run that was away and has caught up: %v %v %v", c, out, err)
	}
	roll(3)
	if err := r.apply(*c); !errors.Is(err, ErrStale) || r.state.Session.Present(late.Member) {
		t.Errorf("a join decided before generation 3: %v", err)
	}
	divide := Command{Tenants: &tenants.Command{Operation: tenants.Divide, IfRevision: r.state.Tenants.DividedRevision, Epoch: r.state.Session.Epoch - 1,
		Division: &tenants.Division{Slots: 8, Expired: []tenants.Run{{Node: "n0", Incarnation: r.nodes[0].Incarnation}}}}}
	if err := r.apply(divide); !errors.Is(err, ErrStale) {
		t.Errorf("a division of an older epoch, which ends the lease of a run that may be back: %v", err)
	}
	rep.Sequence = 0
	rep.Node, rep.Incarnation = "n0", r.nodes[0].Incarnation
	rep.Zone = "za"
	if _, err := r.hear(rep); !errors.Is(err, ErrOlder) {
		t.Errorf("a report replayed: %v", err)
	}
}

func TestSettings(t *testing.T) {
	set, err := ParseSettings(fileText)
	if err != nil || set.Slots != 8 || set.TTL != 6*time.Second || set.Zones.Region["zb"] != "gulf" || set.Zones.SlowStartWindow != 5*time.Second {
		t.Fatalf("%+v, %v", set, err)
	}
	if set, err := ParseSettings("slots = 1"); err != nil || set.TTL != 6*time.Second {
		t.Errorf("the least there can be: %+v, %v", set, err)
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

// BenchmarkStep is one evaluation of the leader, which comes ten times a second, together with the reports of all nodes, which come
// one to four times a second each.
func BenchmarkStep(b *testing.B) {
	for _, size := range [][2]int{{50, 10}, {300, 10}, {300, 200}} {
		r := newTestFleet(b, size[0])
		r.judge = NewController(r.set, 0, r.state)
		r.judge.settings.Slots, r.judge.settings.Zones.Slots = size[0], size[0]
		all := func() {
			for _, n := range r.nodes {
				n.read(r.state)
				r.hear(n.report())
			}
			r.step(100 * time.Millisecond)
		}
		all()
		for i := range size[1] {
			r.put(fmt.Sprint("t", i), 0, 10)
		}
		for range 20 {
			all()
		}
		name := fmt.Sprintf("nodes=%d/tenants=%d", size[0], size[1])
		b.Run(name+"/step", func(b *testing.B) {
			for b.Loop() {
				r.step(time.Microsecond)
			}
		})
		rep := r.nodes[0].report()
		b.Run(name+"/report", func(b *testing.B) {
			for b.Loop() {
				rep.Sequence++
				r.hear(rep)
			}
		})
	}
}
