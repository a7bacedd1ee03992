package drift

import (
	"fmt"
	"testing"

	"meadowsill/internal/fleet"
)

// benchFillReport computes a report's digests of n items as a node does for each report: the canonical form of each
// item, and the trees.
func benchFillReport(b *testing.B, n int, newItem func(i int) (key string, value any)) {
	for b.Loop() {
		items := make([]fleet.AppliedItem, 0, n)
		for i := range n {
			key, value := newItem(i)
			item, _, err := AppliedItemOf(key, value)
			if err != nil {
				b.Fatal(err)
			}
			items = append(items, item)
		}
		var report fleet.Report
		FillReport(&report, items, nil)
	}
}

// BenchmarkCapacityFillServers computes the digest of a server list.
func BenchmarkCapacityFillServers(b *testing.B) {
	for _, n := range []int{1000, 5000, 13_000, 26_000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			benchFillReport(b, n, func(i int) (string, any) {
				return fleet.KeyServer + fmt.Sprintf("s-%08d", i), fleet.AppliedServer{Zone: "zone-01", Kind: "svc-001", State: "ready", Weight: 1}
			})
		})
	}
}

// BenchmarkCapacityFillTenants computes the digest of tenants.
func BenchmarkCapacityFillTenants(b *testing.B) {
	for _, n := range []int{1000, 2000, 4000, 8000} {
		b.Run(fmt.Sprintf("tenants=%d", n), func(b *testing.B) {
			rules := &fleet.AppliedRules{Generation: 1, Digest: "0123456789abcdef", Rate: 10, Burst: 20,
				Routes: []fleet.Route{{Kind: "svc-001", Weight: 1}}, RejectUnrouted: true}
			benchFillReport(b, n, func(i int) (string, any) {
				return fleet.KeyTenant + fmt.Sprintf("tenant-%06d", i), fleet.AppliedTenant{UID: uint64(i + 1), Revision: uint64(i + 1), Committed: rules}
			})
		})
	}
}
