package control

import (
	"fmt"
	"testing"

	"meadowsill/internal/fleet"
)

// benchTotalTenants is the number of tenants of the fleet, while the number of those in the node's scope varies.
const benchTotalTenants = 16_000

// scopeSizes are the numbers of tenants of a node's scope, around that of docs/CAPACITY.md, 1,236.
var scopeSizes = []int{400, 800, 1600, 3200}

func benchScopes(b *testing.B, run func(b *testing.B, state *State, report fleet.Report)) {
	for _, n := range scopeSizes {
		state := settledTenants(b, benchTotalTenants, benchNodeServices*benchTotalTenants/n)
		report := scopedReport(state)
		if len(report.Tenants) != n {
			b.Fatalf("%d tenants in the scope, want %d", len(report.Tenants), n)
		}
		b.Run(fmt.Sprintf("tenants=%d", n), func(b *testing.B) { run(b, state, report) })
	}
}

// BenchmarkCapacityGuardInScope measures State.ScopeDigest, which a join carries, for a node with four services.
func BenchmarkCapacityGuardInScope(b *testing.B) {
	benchScopes(b, func(b *testing.B, state *State, report fleet.Report) {
		for b.Loop() {
			state.ScopeDigest(report.Node, report.Services)
		}
	})
}

// BenchmarkCapacityMayJoinInScope measures the check of a run with four services that has caught up.
func BenchmarkCapacityMayJoinInScope(b *testing.B) {
	benchScopes(b, func(b *testing.B, state *State, report fleet.Report) {
		for b.Loop() {
			if !state.MayJoin(report) {
				b.Fatal("not caught up")
			}
		}
	})
}

// BenchmarkCapacityReadScope measures a complete read of the tenants of four services.
func BenchmarkCapacityReadScope(b *testing.B) {
	benchScopes(b, func(b *testing.B, state *State, report fleet.Report) {
		for b.Loop() {
			state.Read(0, report.Node, report.Services...)
		}
	})
}
