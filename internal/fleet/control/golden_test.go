package control_test

import (
	"testing"

	"meadowsill/internal/fleet/control"
	"meadowsill/internal/golden"
)

// Commands of the replicated log, and the state as snapshots hold it.
func TestStoredBytes(t *testing.T) {
	golden.JSON[control.Command](t, "command")
	golden.JSON[control.State](t, "state")
}
