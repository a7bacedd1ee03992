package control_test

import (
	"testing"

	"meadowsill/internal/fleet/control"
	"meadowsill/internal/golden"
)

// TestStoredBytes checks the encoding of the commands in the replicated log and of the state in snapshots.
func TestStoredBytes(t *testing.T) {
	golden.JSON[control.Command](t, "command")
	golden.JSON[control.State](t, "state")
}
