package zones_test

import (
	"testing"

	"meadowsill/internal/fleet/zones"
	"meadowsill/internal/golden"
)

// Commands of the replicated log, and the state as snapshots hold it.
func TestStoredBytes(t *testing.T) {
	golden.JSON[zones.Command](t, "command")
	golden.JSON[zones.State](t, "state")
}

// The evidence that GET /fleet/v1/zones shows.
func TestFindingOnTheWire(t *testing.T) {
	golden.JSON[zones.Evidence](t, "finding")
}
