package reportdelta_test

import (
	"testing"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/reportdelta"
	"meadowsill/internal/golden"
)

// The encoding of a delta, and the digest of a report, which agent and leader both compute, are unchanged.
func TestDeltaEncoding(t *testing.T) {
	golden.JSON[reportdelta.Delta](t, "difference")
	var delta reportdelta.Delta
	golden.Fill(&delta)
	encoded, err := reportdelta.Encode(delta)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "difference.encoded", encoded)
	var report fleet.Report
	golden.Fill(&report)
	golden.Check(t, "digest", []byte(reportdelta.Digest(reportdelta.Normalize(report))))
}
