package drift_test

import (
	"testing"

	"meadowsill/internal/fleet/drift"
	"meadowsill/internal/golden"
)

// The JSON of replicated commands and of the state in snapshots must stay as in the golden files.
func TestStoredBytes(t *testing.T) {
	golden.JSON[drift.Command](t, "command")
	golden.JSON[drift.State](t, "state")
}

// The JSON of GET /fleet/v1/drift must stay as in the golden files.
func TestDriftOnTheWire(t *testing.T) {
	golden.JSON[drift.Summary](t, "summary")
	golden.JSON[drift.LogEntry](t, "entry")
	golden.JSON[drift.Verdict](t, "verdict")
}
