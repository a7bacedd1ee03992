package session_test

import (
	"testing"

	"meadowsill/internal/fleet/session"
	"meadowsill/internal/golden"
)

// TestStoredBytes checks the encoding of the commands in the replicated log and of the state in snapshots.
func TestStoredBytes(t *testing.T) {
	golden.JSON[session.Command](t, "command")
	golden.JSON[session.State](t, "state")
}
