package zones_test

import (
	"testing"

	"meadowsill/internal/fleet/zones"
	"meadowsill/internal/golden"
)

// TestStoredBytes guards the encoding of commands in the replicated log and of the state in snapshots.
func TestStoredBytes(t *testing.T) {
	golden.JSON[zones.Command](t, "command")
	golden.JSON[zones.State](t, "state")
}

// TestEvidenceWireFormat guards the encoding of the evidence that GET /fleet/v1/zones returns.
func TestEvidenceWireFormat(t *testing.T) {
	golden.JSON[zones.Evidence](t, "finding")
}
