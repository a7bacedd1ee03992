package fleet

import (
	"encoding/json"
	"fmt"
	"testing"
)

// benchReport returns a report with acknowledgements of n tenants. A report with some 2,300 tenants exceeds
// MaxReportBytes.
func benchReport(n int) Report {
	report := Report{Member: Member{Node: "n1", Zone: "za", Incarnation: 1}, Sequence: 1, Revision: uint64(n), Ready: true,
		WindowMS: 1000, AppliedRoot: "0123456789abcdef", ListRoot: "0123456789abcdef"}
	for i := range n {
		report.Tenants = append(report.Tenants, TenantAck{Name: fmt.Sprintf("tenant-%06d", i), UID: uint64(i + 1), Committed: 1,
			Digest: "0123456789abcdef", Rate: 0.1})
	}
	return report
}

func benchReportSizes(b *testing.B, run func(b *testing.B, report Report)) {
	for _, n := range []int{250, 500, 1000, 2000} {
		report := benchReport(n)
		b.Run(fmt.Sprintf("tenants=%d", n), func(b *testing.B) { run(b, report) })
	}
}

// BenchmarkCapacityReportEncode encodes a report as JSON and also measures the size of the body.
func BenchmarkCapacityReportEncode(b *testing.B) {
	benchReportSizes(b, func(b *testing.B, report Report) {
		size := 0
		for b.Loop() {
			raw, err := json.Marshal(report)
			if err != nil {
				b.Fatal(err)
			}
			size = len(raw)
		}
		b.ReportMetric(float64(size), "body-B")
	})
}

// BenchmarkCapacityReportDecode decodes and validates a report.
func BenchmarkCapacityReportDecode(b *testing.B) {
	benchReportSizes(b, func(b *testing.B, report Report) {
		raw, err := json.Marshal(report)
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			if _, err := DecodeReport(raw); err != nil {
				b.Fatal(err)
			}
		}
	})
}
