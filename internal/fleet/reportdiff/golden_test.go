package reportdiff_test

import (
	"testing"

	"starlingvalve/internal/fleet"
	"starlingvalve/internal/fleet/reportdiff"
	"starlingvalve/internal/golden"
)

// A difference as it is sent, and the digest of a report, which both ends compute.
func TestDifferenceOnTheWire(t *testing.T) {
	golden.JSON[reportdiff.Difference](t, "difference")
	var difference reportdiff.Difference
	golden.Fill(&difference)
	encoded, err := reportdiff.Encode(difference)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "difference.encoded", encoded)
	var report fleet.Report
	golden.Fill(&report)
	golden.Check(t, "digest", []byte(reportdiff.Digest(reportdiff.Normalize(report))))
}
