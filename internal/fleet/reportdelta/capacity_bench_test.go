package reportdelta

import (
	"fmt"
	"testing"

	"meadowsill/internal/fleet"
)

// The sizes are the tenants of a node's scope, around the 1,236 of docs/CAPACITY.md, and the rows whose load changes.
var (
	capacityTenants = []int{250, 500, 1000, 2000}
	capacityActive  = []int{20, 40, 80, 160}
)

const (
	capacityChangedRows = 40   // changed rows of a report while the number of tenants is varied
	capacityScope       = 1200 // tenants while the number of changed rows is varied
)

func capacityEach(b *testing.B, run func(b *testing.B, base, next fleet.Report)) {
	for _, tenants := range capacityTenants {
		base, next := nodeReport(tenants, capacityChangedRows, 12), nodeReport(tenants, capacityChangedRows, 13)
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) { run(b, base, next) })
	}
}

// BenchmarkCapacityDifference does the agent's work on one report: it makes and encodes the delta.
func BenchmarkCapacityDifference(b *testing.B) {
	capacityEach(b, func(b *testing.B, base, next fleet.Report) {
		for b.Loop() {
			d, err := Diff(base, next)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := Encode(d); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkCapacityApply does the leader's work on one delta: it decodes it and restores the complete report.
func BenchmarkCapacityApply(b *testing.B) {
	capacityEach(b, func(b *testing.B, base, next fleet.Report) {
		raw, err := Encode(mustDiff(b, base, next))
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			d, err := Decode(raw)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := Apply(base, d); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkCapacityDifferenceBody reports the size of a delta by its number of changed rows. Its time is that of making and encoding it.
func BenchmarkCapacityDifferenceBody(b *testing.B) {
	for _, active := range capacityActive {
		base, next := nodeReport(capacityScope, active, 12), nodeReport(capacityScope, active, 13)
		b.Run(fmt.Sprintf("rows=%d", active), func(b *testing.B) {
			size := 0
			for b.Loop() {
				raw, err := Encode(mustDiff(b, base, next))
				if err != nil {
					b.Fatal(err)
				}
				size = len(raw)
			}
			b.ReportMetric(float64(size), "body-B")
		})
	}
}
