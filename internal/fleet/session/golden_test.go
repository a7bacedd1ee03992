package session_test

import (
	"testing"

	"meadowsill/internal/fleet/session"
	"meadowsill/internal/golden"
)

// Commands of the replicated log, and the state as snapshots hold it.
func TestStoredBytes(t *testing.T) {
	golden.JSON[session.Command](t, "command")
	golden.JSON[session.State](t, "state")
}
