package scale

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/control"
	"meadowsill/internal/fleet/tenants"
	"meadowsill/internal/registry"
	"meadowsill/internal/scale/hollow"
)

// coreSizes are those that the pure cores are measured at: of servers, or of tenants.
var coreSizes = []int{100, 400, 1600, 3200}

// serversOf is a list of n app servers, at the revision n.
func serversOf(t testing.TB, n int) *registry.State {
	s := registry.New(1000)
	for i := range n {
		register(t, s, i, 1)
	}
	return s
}

func register(t testing.TB, s *registry.State, server int, weight float64) {
	entry := registry.Entry{ID: fmt.Sprintf("s-%08d", server), Addr: "127.0.0.1:9000", Zone: "za", Kind: hollow.ServiceName(server % 16), Weight: weight}
	if _, err := s.Apply(registry.Command{Op: registry.Register, Entry: entry, TTLMS: 60_000, NowMS: 1}); err != nil {
		t.Fatal(err)
	}
}

// intended is the fleet's state with n tenants over 16 services, every one committed, and the leader's judge.
type intended struct {
	state *control.State
	judge *control.Controller
	now   fleet.Time
	rev   uint64
	load  Load
}

func intendedOf(t testing.TB, n int) *intended {
	set, err := control.ParseSettings("slots = 8")
	if err != nil {
		t.Fatal(err)
	}
	in := &intended{state: control.New(), load: Load{Tenants: n, Services: 16}}
	in.judge = control.NewController(set, 0, in.state)
	for i := range n {
		in.put(t, i, 0)
	}
	for range 5 {
		in.step(t)
	}
	return in
}

// put proposes a tenant's next generation.
func (in *intended) put(t testing.TB, tenant int, at uint64) {
	spec := in.load.spec(tenant, at+1)
	in.apply(t, control.Command{Tenants: &tenants.Command{Operation: tenants.Put, Name: spec.Name, Generation: at, Spec: &spec}})
}

func (in *intended) apply(t testing.TB, c control.Command) {
	if _, err := in.state.Apply(c, func() uint64 { in.rev++; return in.rev }); err != nil {
		t.Fatal(err)
	}
}

// step has the judge decide, and carries it out.
func (in *intended) step(t testing.TB) {
	in.now += 100 * time.Millisecond
	for _, c := range in.judge.Step(in.now, in.state, nil) {
		in.apply(t, c)
		in.judge.Resolved(c)
	}
}

// report is that of a node which holds every tenant.
func (in *intended) report() fleet.Report {
	r := fleet.Report{Member: fleet.Member{Node: "h00000", Zone: "za", Incarnation: 1}, Sequence: 1, Revision: in.state.Revision, Ready: true}
	for i := range in.load.Tenants {
		r.Tenants = append(r.Tenants, fleet.TenantAck{Name: tenantName(i), UID: 1, Committed: 1, Digest: "0123456789abcdef"})
	}
	return r
}

func jsonBytes(t testing.TB, v any) float64 {
	raw, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return float64(len(raw))
}

// coreCost is what one operation of a pure core costs at a size, in a unit that does not depend on the machine, and how its
// exponent may be at most.
type coreCost struct {
	name string
	most float64
	cost func(t *testing.T, n int) float64
}

// allocationRuns is how many calls allocations are counted over.
const allocationRuns = 200

// allocations counts those of one call, the mean of many: a call that splits a node of a tree, or meets the collector, has more
// than its neighbours. Those of a first call, which may fill buffers, are left out.
func allocations(f func()) float64 { return testing.AllocsPerRun(allocationRuns, f) }

var coreCosts = []coreCost{
	{"bytes of a watch's answer for one change, against servers", 0.1, func(t *testing.T, n int) float64 {
		s := serversOf(t, n)
		since := s.ListRevision
		register(t, s, n/2, 2)
		return jsonBytes(t, s.Read(since, true))
	}},
	{"items of a watch's answer for one change, against servers", 0.1, func(t *testing.T, n int) float64 {
		s := serversOf(t, n)
		since := s.ListRevision
		register(t, s, n/2, 2)
		return float64(len(s.Read(since, true).Servers))
	}},
	{"allocations of a watch's read for one change, against servers", 0.1, func(t *testing.T, n int) float64 {
		s := serversOf(t, n)
		since := s.ListRevision
		register(t, s, n/2, 2)
		return allocations(func() { s.Read(since, true) })
	}},
	{"bytes of the whole list, against servers", 1.1, func(t *testing.T, n int) float64 {
		return jsonBytes(t, serversOf(t, n).Read(0, false))
	}},
	{"allocations of a renewal, against servers", 0.1, func(t *testing.T, n int) float64 {
		s := serversOf(t, n)
		return 1 + allocations(func() { register(t, s, n/2, 1) })
	}},
	{"bytes of the list's snapshot, against servers", 1.1, func(t *testing.T, n int) float64 {
		raw, err := serversOf(t, n).Snapshot(nil)
		if err != nil {
			t.Fatal(err)
		}
		return float64(len(raw))
	}},
	{"bytes of the intent for one change, against tenants", 0.1, func(t *testing.T, n int) float64 {
		in := intendedOf(t, n)
		since := in.state.Revision
		in.put(t, n/2, 1)
		return jsonBytes(t, in.state.Read(since, "h00000"))
	}},
	{"items of the intent for one change, against tenants", 0.1, func(t *testing.T, n int) float64 {
		in := intendedOf(t, n)
		since := in.state.Revision
		in.put(t, n/2, 1)
		return float64(len(in.state.Read(since, "h00000").Items))
	}},
	{"allocations of the intent's read for one change, against tenants", 0.1, func(t *testing.T, n int) float64 {
		in := intendedOf(t, n)
		since := in.state.Revision
		in.put(t, n/2, 1)
		return allocations(func() { in.state.Read(since, "h00000") })
	}},
	{"bytes of the whole intent, against tenants", 1.1, func(t *testing.T, n int) float64 {
		return jsonBytes(t, intendedOf(t, n).state.Read(0, "h00000"))
	}},
	{"bytes of a whole report, against tenants", 1.1, func(t *testing.T, n int) float64 {
		return jsonBytes(t, intendedOf(t, n).report())
	}},
	{"allocations of a step with nothing to decide, against tenants", 1.1, func(t *testing.T, n int) float64 {
		in := intendedOf(t, n)
		return 1 + allocations(func() { in.step(t) })
	}},
	{"bytes of the fleet's snapshot, against tenants", 1.1, func(t *testing.T, n int) float64 {
		raw, err := intendedOf(t, n).state.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		return float64(len(raw))
	}},
}

// TestCoresKeepTheirGrowth holds the exponents of what the pure cores cost, and shows of each check that it fails where the
// cost is planted to grow by n^1.5 more.
func TestCoresKeepTheirGrowth(t *testing.T) {
	for _, c := range coreCosts {
		t.Run(c.name, func(t *testing.T) {
			limit := GrowthLimit{Metric: Metric(c.name), Max: c.most}
			var samples, planted []Sample
			for _, n := range coreSizes {
				value := c.cost(t, n)
				samples = append(samples, Sample{Size: float64(n), Value: value})
				planted = append(planted, Sample{Size: float64(n), Value: value * math.Pow(float64(n)/float64(coreSizes[0]), 1.5)})
			}
			if err := limit.check(samples); err != nil {
				t.Error(err)
			}
			if err := limit.check(planted); err == nil {
				t.Error("a cost that is planted to grow by n^1.5 more is not found")
			}
		})
	}
}

// benchSizes are those of the benchmarks.
var benchSizes = []int{400, 1600, 6400, 25_600}

func benchmark(b *testing.B, prepare func(n int) func()) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			operation := prepare(n)
			b.ReportAllocs()
			for b.Loop() {
				operation()
			}
		})
	}
}

// BenchmarkListRead is a watch's read of one change, by servers.
func BenchmarkListRead(b *testing.B) {
	benchmark(b, func(n int) func() {
		s := serversOf(b, n)
		since := s.ListRevision
		register(b, s, n/2, 2)
		return func() { s.Read(since, true) }
	})
}

// BenchmarkIntentRead is a watch's read of one change, by tenants.
func BenchmarkIntentRead(b *testing.B) {
	benchmark(b, func(n int) func() {
		in := intendedOf(b, n)
		since := in.state.Revision
		in.put(b, n/2, 1)
		return func() { in.state.Read(since, "h00000") }
	})
}

// BenchmarkStep is a step of the leader with nothing to decide, by tenants.
func BenchmarkStep(b *testing.B) {
	benchmark(b, func(n int) func() {
		in := intendedOf(b, n)
		return func() { in.step(b) }
	})
}

// BenchmarkSnapshot is a snapshot of the fleet's state, by tenants.
func BenchmarkSnapshot(b *testing.B) {
	benchmark(b, func(n int) func() {
		in := intendedOf(b, n)
		return func() {
			if _, err := in.state.Snapshot(); err != nil {
				b.Fatal(err)
			}
		}
	})
}
