package session_test

import (
	"testing"

	"starlingvalve/internal/fleet/session"
	"starlingvalve/internal/golden"
)

// Commands of the replicated log, and the state as snapshots hold it.
func TestStoredBytes(t *testing.T) {
	golden.JSON[session.Command](t, "command")
	golden.JSON[session.State](t, "state")
}
