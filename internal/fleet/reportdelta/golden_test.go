package reportdelta_test

import (
	"testing"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/reportdelta"
	"meadowsill/internal/golden"
)

// A difference as it is sent, and the digest of a report, which both ends compute.
func TestDifferenceOnTheWire(t *testing.T) {
	golden.JSON[reportdelta.Delta](t, "difference")
	var difference reportdelta.Delta
	golden.Fill(&difference)
	encoded, err := reportdelta.Encode(difference)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "difference.encoded", encoded)
	var report fleet.Report
	golden.Fill(&report)
	golden.Check(t, "digest", []byte(reportdelta.Digest(reportdelta.Normalize(report))))
}
