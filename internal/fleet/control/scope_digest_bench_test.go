package control

import (
	"fmt"
	"testing"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/tenants"
)

// The planned number of services, and the number of services of the benchmark's node.
const (
	benchServices     = 550
	benchNodeServices = 4
)

// serviceName returns the name of the i-th service of a benchmark's fleet.
func serviceName(i int) string { return fmt.Sprintf("service-%03d", i) }

// settledTenants returns a state with count committed and applied tenants, spread evenly over the services.
func settledTenants(tb testing.TB, count, services int) *State {
	tb.Helper()
	state, revision := New(), uint64(0)
	apply := func(c tenants.Command) {
		if _, err := state.Apply(Command{Tenants: &c}, func() uint64 { revision++; return revision }); err != nil {
			tb.Fatal(err)
		}
	}
	for i := range count {
		name := fmt.Sprintf("tenant-%06d", i)
		spec := fleet.Spec{Name: name, Service: serviceName(i % services), Quota: fleet.Quota{Rate: 10, Burst: 1}}
		apply(tenants.Command{Operation: tenants.Put, Name: name, Spec: &spec})
		entry := state.Tenants.Tenants[name]
		apply(tenants.Command{Operation: tenants.Commit, Name: name, UID: entry.UID, IfRevision: entry.Revision, Generation: 1})
		apply(tenants.Command{Operation: tenants.Applied, Name: name, UID: entry.UID, IfRevision: entry.Revision, Generation: 1})
	}
	return state
}

// scopedReport returns the report of a run that serves the first benchNodeServices services and holds all their tenants.
func scopedReport(state *State) fleet.Report {
	r := fleet.Report{Member: fleet.Member{Node: "n0", Zone: "za", Incarnation: 1}, Sequence: 1, Revision: state.Revision}
	for i := range benchNodeServices {
		r.Services = append(r.Services, serviceName(i))
	}
	for name, entry := range state.Tenants.Tenants {
		if fleet.Serves(r.Services, entry.Committed.Spec.Service) {
			r.Tenants = append(r.Tenants, fleet.TenantAck{Name: name, UID: entry.UID, Committed: 1, Digest: entry.Committed.Digest})
		}
	}
	return r
}

// BenchmarkGuard measures State.ScopeDigest, which a join carries: for a node with four services out of 550, and for one without a
// scope.
func BenchmarkGuard(b *testing.B) {
	for _, count := range []int{1000, 5000, 20000} {
		state := settledTenants(b, count, benchServices)
		services := scopedReport(state).Services
		b.Run(fmt.Sprintf("scope/tenants=%d", count), func(b *testing.B) {
			for b.Loop() {
				state.ScopeDigest("n0", services)
			}
		})
		b.Run(fmt.Sprintf("whole/tenants=%d", count), func(b *testing.B) {
			for b.Loop() {
				state.ScopeDigest("n0", nil)
			}
		})
	}
}

// BenchmarkMayJoin measures the check whether a node with four services out of 550, which holds all their tenants, may join.
func BenchmarkMayJoin(b *testing.B) {
	for _, count := range []int{1000, 5000, 20000} {
		state := settledTenants(b, count, benchServices)
		report := scopedReport(state)
		b.Run(fmt.Sprintf("tenants=%d", count), func(b *testing.B) {
			for b.Loop() {
				if !state.MayJoin(report) {
					b.Fatal("may not join")
				}
			}
		})
	}
}
