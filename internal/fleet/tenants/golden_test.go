package tenants_test

import (
	"testing"

	"meadowsill/internal/fleet/tenants"
	"meadowsill/internal/golden"
)

// TestStoredBytes checks the encoding of commands in the replicated log, and of the state in snapshots.
func TestStoredBytes(t *testing.T) {
	golden.JSON[tenants.Command](t, "command")
	golden.JSON[tenants.State](t, "state")
}

// TestStatusOnTheWire checks the encoding of a node's status in GET /fleet/v1/tenants/NAME/status.
func TestStatusOnTheWire(t *testing.T) {
	golden.JSON[tenants.NodeStatus](t, "node-status")
}
