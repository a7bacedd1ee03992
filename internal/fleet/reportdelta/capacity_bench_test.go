package reportdelta

import (
	"fmt"
	"testing"

	"meadowsill/internal/fleet"
)

// The sizes are tenants of a node's scope around that of docs/CAPACITY.md, 1,236, and the rows whose load differs.
var (
	capacityTenants = []int{250, 500, 1000, 2000}
	capacityActive  = []int{20, 40, 80, 160}
)

const (
	capacityChangedRows = 40   // of a report, while the tenants of the scope are varied
	capacityScope       = 1200 // tenants, while the changed rows are varied
)

func capacityEach(b *testing.B, run func(b *testing.B, base, next fleet.Report)) {
	for _, tenants := range capacityTenants {
		base, next := node(tenants, capacityChangedRows, 12), node(tenants, capacityChangedRows, 13)
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) { run(b, base, next) })
	}
}

// BenchmarkCapacityDifference is the agent's work on one report: the difference and its body.
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

// BenchmarkCapacityApply is the leader's work on one difference: its decoding and the complete report.
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

// BenchmarkCapacityDifferenceBody reports the size of a difference by its changed rows. Its time is that of making it.
func BenchmarkCapacityDifferenceBody(b *testing.B) {
	for _, active := range capacityActive {
		base, next := node(capacityScope, active, 12), node(capacityScope, active, 13)
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
