package drift_test

import (
	"testing"

	"meadowsill/internal/fleet/drift"
	"meadowsill/internal/golden"
)

// Commands of the replicated log, and the state as snapshots hold it.
func TestStoredBytes(t *testing.T) {
	golden.JSON[drift.Command](t, "command")
	golden.JSON[drift.State](t, "state")
}

// What GET /fleet/v1/drift shows.
func TestDriftOnTheWire(t *testing.T) {
	golden.JSON[drift.Summary](t, "summary")
	golden.JSON[drift.LogEntry](t, "entry")
	golden.JSON[drift.Verdict](t, "verdict")
}
