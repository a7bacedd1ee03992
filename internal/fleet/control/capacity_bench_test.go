package control

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/session"
	"meadowsill/internal/fleet/tenants"
)

// benchSizes are numbers of tenants, in steps towards the plan of docs/CAPACITY.md, 170,000 tenants.
var benchSizes = []int{1000, 5000, 10_000, 20_000}

// benchSpec returns the specification of a small tenant: one route and a quota.
func benchSpec(i int) fleet.Spec {
	return fleet.Spec{Name: fmt.Sprintf("tenant-%06d", i), Quota: fleet.Quota{Rate: 10, Burst: 20},
		Routes: []fleet.Route{{Kind: fmt.Sprintf("svc-%03d", i%550), Weight: 1}}, Fallback: "refuse"}
}

// benchState returns a state with n tenants, each committed and applied.
func benchState(b *testing.B, n int) *State {
	state, rev := New(), uint64(0)
	next := func() uint64 { rev++; return rev }
	apply := func(c tenants.Command) {
		if _, err := state.Apply(Command{Tenants: &c}, next); err != nil {
			b.Fatal(err)
		}
	}
	for i := range n {
		spec := benchSpec(i)
		apply(tenants.Command{Operation: tenants.Put, Name: spec.Name, Spec: &spec})
		entry := state.Tenants.Tenants[spec.Name]
		apply(tenants.Command{Operation: tenants.Commit, Name: spec.Name, Generation: 1, UID: entry.UID, IfRevision: entry.Revision})
		apply(tenants.Command{Operation: tenants.Applied, Name: spec.Name, Generation: 1, UID: entry.UID, IfRevision: entry.Revision})
	}
	return state
}

func benchEach(b *testing.B, run func(b *testing.B, state *State)) {
	for _, n := range benchSizes {
		state := benchState(b, n)
		b.Run(fmt.Sprintf("tenants=%d", n), func(b *testing.B) { run(b, state) })
	}
}

// benchReport returns a report that acknowledges every tenant of state.
func benchReport(state *State) fleet.Report {
	report := fleet.Report{Member: fleet.Member{Node: "n1", Zone: "za", Incarnation: 1}, Sequence: 1, Revision: state.Revision, Ready: true}
	for name, entry := range state.Tenants.Tenants {
		report.Tenants = append(report.Tenants, fleet.TenantAck{Name: name, UID: entry.UID, Committed: entry.Committed.Number,
			Digest: entry.Committed.Digest, Rate: 1})
	}
	return report
}

// BenchmarkCapacityReadOneChange measures the answer to a watch that lacks only the newest change of the intent.
func BenchmarkCapacityReadOneChange(b *testing.B) {
	benchEach(b, func(b *testing.B, state *State) {
		for b.Loop() {
			state.Read(state.Revision-1, "n1")
		}
	})
}

// BenchmarkCapacityReadComplete measures a read of the complete intent.
func BenchmarkCapacityReadComplete(b *testing.B) {
	benchEach(b, func(b *testing.B, state *State) {
		for b.Loop() {
			state.Read(0, "n1")
		}
	})
}

// BenchmarkCapacityGuard measures State.ScopeDigest, the digest that a join carries.
func BenchmarkCapacityGuard(b *testing.B) {
	benchEach(b, func(b *testing.B, state *State) {
		for b.Loop() {
			state.ScopeDigest("n1", nil)
		}
	})
}

// BenchmarkCapacityMayJoin measures the check of a run that reports every tenant and is caught up.
func BenchmarkCapacityMayJoin(b *testing.B) {
	benchEach(b, func(b *testing.B, state *State) {
		report := benchReport(state)
		for b.Loop() {
			if !state.MayJoin(report) {
				b.Fatal("not caught up")
			}
		}
	})
}

// BenchmarkCapacitySnapshot measures the encoding of the fleet's snapshot, and reports the snapshot's size.
func BenchmarkCapacitySnapshot(b *testing.B) {
	benchEach(b, func(b *testing.B, state *State) {
		size := 0
		for b.Loop() {
			raw, err := state.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			size = len(raw)
		}
		b.ReportMetric(float64(size), "snapshot-B")
	})
}

// benchController returns a leader's controller for up to 2,200 nodes.
func benchController(b *testing.B, state *State) *Controller {
	set, err := ParseSettings("slots = 2200")
	if err != nil {
		b.Fatal(err)
	}
	return NewController(set, 0, state)
}

// BenchmarkCapacityControllerStep measures a step of the leader while no session is present and no tenant changes. The first step of
// a leader, which evaluates every item anew, is measured by BenchmarkCapacityControllerFirstStep.
func BenchmarkCapacityControllerStep(b *testing.B) {
	benchEach(b, func(b *testing.B, state *State) {
		controller := benchController(b, state)
		now := fleet.Time(0)
		for range 3 {
			now += 100 * time.Millisecond
			controller.Step(now, state, nil)
		}
		for b.Loop() {
			now += 100 * time.Millisecond
			controller.Step(now, state, nil)
		}
	})
}

// BenchmarkCapacityControllerFirstStep measures the first step of a leader.
func BenchmarkCapacityControllerFirstStep(b *testing.B) {
	benchEach(b, func(b *testing.B, state *State) {
		for b.Loop() {
			benchController(b, state).Step(100*time.Millisecond, state, nil)
		}
	})
}

// BenchmarkCapacityControllerReport measures how the leader processes one report that acknowledges every tenant.
func BenchmarkCapacityControllerReport(b *testing.B) {
	benchEach(b, func(b *testing.B, state *State) {
		report := benchReport(state)
		if _, err := state.Session.Apply(session.Command{Operation: session.Join, Member: report.Member}); err != nil {
			b.Fatal(err)
		}
		controller := benchController(b, state)
		now := fleet.Time(0)
		for b.Loop() {
			now += time.Millisecond
			report.Sequence++
			if _, err := controller.Report(now, now, state, report); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkCapacityHeap reports the live heap that a state with all its items takes. Its time is the time of building the state.
func BenchmarkCapacityHeap(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("tenants=%d", n), func(b *testing.B) {
			live := 0.0
			for b.Loop() {
				before := liveHeap()
				state := benchState(b, n)
				live = liveHeap() - before
				runtime.KeepAlive(state)
			}
			b.ReportMetric(live, "heap-B")
		})
	}
}

// liveHeap returns the size of the live heap after garbage collection, in bytes. The second collection makes sure that what the
// first one found unreachable has been swept.
func liveHeap() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
