package control

import (
	"fmt"
	"testing"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/tenants"
)

// benchmarkSizes are the numbers of tenants that the benchmarks of Read use.
var benchmarkSizes = []int{1_000, 5_000, 20_000}

// populated returns a state with n tenants, each with its first generation staged, spread over the services "service-0" and up.
func populated(tb testing.TB, n, services int) *State {
	tb.Helper()
	s := New()
	revision := uint64(0)
	for i := range n {
		spec := fleet.Spec{Name: fmt.Sprintf("tenant-%06d", i), Service: fmt.Sprintf("service-%d", i%services), Quota: fleet.Quota{Rate: 10, Burst: 1}}
		put := Command{Tenants: &tenants.Command{Operation: tenants.Put, Name: spec.Name, Spec: &spec}}
		if _, err := s.Apply(put, func() uint64 { revision++; return revision }); err != nil {
			tb.Fatal(err)
		}
	}
	return s
}

// BenchmarkReadChange measures the cost of one change for each watcher of the intent: the read of one changed tenant.
func BenchmarkReadChange(b *testing.B) {
	for _, n := range benchmarkSizes {
		s := populated(b, n, 10)
		b.Run(fmt.Sprintf("tenants=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if in := s.Read(s.Revision-1, "node"); len(in.Items) != 1 {
					b.Fatalf("%d items, want 1", len(in.Items))
				}
			}
		})
	}
}

// BenchmarkReadComplete measures the read of a watcher that holds nothing.
func BenchmarkReadComplete(b *testing.B) {
	for _, n := range benchmarkSizes {
		s := populated(b, n, 10)
		b.Run(fmt.Sprintf("tenants=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if in := s.Read(0, "node"); len(in.Items) != n {
					b.Fatalf("%d items, want %d", len(in.Items), n)
				}
			}
		})
	}
}
