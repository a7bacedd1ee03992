package registry

import (
	"testing"

	"meadowsill/internal/golden"
)

// TestStoredAndSentBytes checks the encodings of commands in the replicated log, of snapshots and of the answer to a read.
func TestStoredAndSentBytes(t *testing.T) {
	golden.JSON[Command](t, "command")
	golden.JSON[snapshot](t, "snapshot")
	golden.JSON[Answer](t, "answer")
}
