package tenants_test

import (
	"testing"

	"meadowsill/internal/fleet/tenants"
	"meadowsill/internal/golden"
)

// Commands of the replicated log, and the state as snapshots hold it.
func TestStoredBytes(t *testing.T) {
	golden.JSON[tenants.Command](t, "command")
	golden.JSON[tenants.State](t, "state")
}

// A node's line of GET /fleet/v1/tenants/NAME/status.
func TestStatusOnTheWire(t *testing.T) {
	golden.JSON[tenants.NodeStatus](t, "node-status")
}
