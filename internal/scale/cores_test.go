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

// coreSizes are the numbers of servers or tenants that the costs of the pure cores are measured at.
var coreSizes = []int{100, 400, 1600, 3200}

// newServerList returns a list of n app servers, at revision n.
func newServerList(t testing.TB, n int) *registry.State {
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

// coreFleet is the fleet's state together with the leader's controller. newCoreFleet fills it with n tenants over 16 services, all of
// them committed.
type coreFleet struct {
	state      *control.State
	controller *control.Controller
	now        fleet.Time
	revision   uint64
	load       Load
}

func newCoreFleet(t testing.TB, n int) *coreFleet {
	set, err := control.ParseSettings("slots = 8")
	if err != nil {
		t.Fatal(err)
	}
	f := &coreFleet{state: control.New(), load: Load{Tenants: n, Services: 16}}
	f.controller = control.NewController(set, 0, f.state)
	for i := range n {
		f.put(t, i, 0)
	}
	for range 5 {
		f.step(t)
	}
	return f
}

// put proposes the next generation of a tenant; at is its current one.
func (f *coreFleet) put(t testing.TB, tenant int, at uint64) {
	spec := f.load.spec(tenant, at+1)
	f.apply(t, control.Command{Tenants: &tenants.Command{Operation: tenants.Put, Name: spec.Name, Generation: at, Spec: &spec}})
}

func (f *coreFleet) apply(t testing.TB, c control.Command) {
	if _, err := f.state.Apply(c, func() uint64 { f.revision++; return f.revision }); err != nil {
		t.Fatal(err)
	}
}

// step runs one step of the controller and applies its commands.
func (f *coreFleet) step(t testing.TB) {
	f.now += 100 * time.Millisecond
	for _, c := range f.controller.Step(f.now, f.state, nil) {
		f.apply(t, c)
		f.controller.Resolved(c)
	}
}

// report returns the report of a node that holds every tenant.
func (f *coreFleet) report() fleet.Report {
	r := fleet.Report{Member: fleet.Member{Node: "h00000", Zone: "za", Incarnation: 1}, Sequence: 1, Revision: f.state.Revision, Ready: true}
	for i := range f.load.Tenants {
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

// coreCost is the cost of one operation of a pure core as a function of the size, in a unit that does not depend on the machine, and
// the largest exponent that it may have.
type coreCost struct {
	name        string
	maxExponent float64
	cost        func(t *testing.T, n int) float64
}

// allocationRuns is the number of calls over which allocations are counted.
const allocationRuns = 200

// allocations returns the mean number of allocations per call over many calls, since a call that splits a tree node or coincides with
// a garbage collection has more than others. It leaves out the first call, which may fill buffers.
func allocations(f func()) float64 { return testing.AllocsPerRun(allocationRuns, f) }

var coreCosts = []coreCost{
	{"bytes of a watch's answer for one change, against servers", 0.1, func(t *testing.T, n int) float64 {
		s := newServerList(t, n)
		since := s.ListRevision
		register(t, s, n/2, 2)
		return jsonBytes(t, s.Read(since, true))
	}},
	{"items of a watch's answer for one change, against servers", 0.1, func(t *testing.T, n int) float64 {
		s := newServerList(t, n)
		since := s.ListRevision
		register(t, s, n/2, 2)
		return float64(len(s.Read(since, true).Servers))
	}},
	{"allocations of a watch's read for one change, against servers", 0.1, func(t *testing.T, n int) float64 {
		s := newServerList(t, n)
		since := s.ListRevision
		register(t, s, n/2, 2)
		return allocations(func() { s.Read(since, true) })
	}},
	{"bytes of the whole list, against servers", 1.1, func(t *testing.T, n int) float64 {
		return jsonBytes(t, newServerList(t, n).Read(0, false))
	}},
	{"allocations of a renewal, against servers", 0.1, func(t *testing.T, n int) float64 {
		s := newServerList(t, n)
		return 1 + allocations(func() { register(t, s, n/2, 1) })
	}},
	{"bytes of the list's snapshot, against servers", 1.1, func(t *testing.T, n int) float64 {
		raw, err := newServerList(t, n).Snapshot(nil)
		if err != nil {
			t.Fatal(err)
		}
		return float64(len(raw))
	}},
	{"bytes of the intent for one change, against tenants", 0.1, func(t *testing.T, n int) float64 {
		f := newCoreFleet(t, n)
		since := f.state.Revision
		f.put(t, n/2, 1)
		return jsonBytes(t, f.state.Read(since, "h00000"))
	}},
	{"items of the intent for one change, against tenants", 0.1, func(t *testing.T, n int) float64 {
		f := newCoreFleet(t, n)
		since := f.state.Revision
		f.put(t, n/2, 1)
		return float64(len(f.state.Read(since, "h00000").Items))
	}},
	{"allocations of the intent's read for one change, against tenants", 0.1, func(t *testing.T, n int) float64 {
		f := newCoreFleet(t, n)
		since := f.state.Revision
		f.put(t, n/2, 1)
		return allocations(func() { f.state.Read(since, "h00000") })
	}},
	{"bytes of the whole intent, against tenants", 1.1, func(t *testing.T, n int) float64 {
		return jsonBytes(t, newCoreFleet(t, n).state.Read(0, "h00000"))
	}},
	{"bytes of a whole report, against tenants", 1.1, func(t *testing.T, n int) float64 {
		return jsonBytes(t, newCoreFleet(t, n).report())
	}},
	{"allocations of a step with nothing to decide, against tenants", 1.1, func(t *testing.T, n int) float64 {
		f := newCoreFleet(t, n)
		return 1 + allocations(func() { f.step(t) })
	}},
	{"bytes of the fleet's snapshot, against tenants", 1.1, func(t *testing.T, n int) float64 {
		raw, err := newCoreFleet(t, n).state.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		return float64(len(raw))
	}},
}

// TestCoreCostsStayWithinTheirExponents checks the exponents of the costs of the pure cores. It also checks that each limit detects an
// inflated cost, which grows by a factor of n^1.5 more.
func TestCoreCostsStayWithinTheirExponents(t *testing.T) {
	for _, c := range coreCosts {
		t.Run(c.name, func(t *testing.T) {
			limit := GrowthLimit{Metric: Metric(c.name), Max: c.maxExponent}
			var samples, inflated []Sample
			for _, n := range coreSizes {
				value := c.cost(t, n)
				samples = append(samples, Sample{Size: float64(n), Value: value})
				inflated = append(inflated, Sample{Size: float64(n), Value: value * math.Pow(float64(n)/float64(coreSizes[0]), 1.5)})
			}
			if err := limit.check(samples); err != nil {
				t.Error(err)
			}
			if err := limit.check(inflated); err == nil {
				t.Error("the limit does not detect a cost that grows by n^1.5 more")
			}
		})
	}
}

// benchSizes are the numbers of servers or tenants in the benchmarks.
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

// BenchmarkListRead measures a watch's read of one change of the list, by number of servers.
func BenchmarkListRead(b *testing.B) {
	benchmark(b, func(n int) func() {
		s := newServerList(b, n)
		since := s.ListRevision
		register(b, s, n/2, 2)
		return func() { s.Read(since, true) }
	})
}

// BenchmarkIntentRead measures a watch's read of one change of the intent, by number of tenants.
func BenchmarkIntentRead(b *testing.B) {
	benchmark(b, func(n int) func() {
		f := newCoreFleet(b, n)
		since := f.state.Revision
		f.put(b, n/2, 1)
		return func() { f.state.Read(since, "h00000") }
	})
}

// BenchmarkStep measures a step of the leader with nothing to decide, by number of tenants.
func BenchmarkStep(b *testing.B) {
	benchmark(b, func(n int) func() {
		f := newCoreFleet(b, n)
		return func() { f.step(b) }
	})
}

// BenchmarkSnapshot measures a snapshot of the fleet's state, by number of tenants.
func BenchmarkSnapshot(b *testing.B) {
	benchmark(b, func(n int) func() {
		f := newCoreFleet(b, n)
		return func() {
			if _, err := f.state.Snapshot(); err != nil {
				b.Fatal(err)
			}
		}
	})
}
