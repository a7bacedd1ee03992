package registry

import (
	"testing"

	"meadowsill/internal/golden"
)

// Commands of the replicated log, the state as snapshots hold it, and the answer to a read.
func TestStoredAndSentBytes(t *testing.T) {
	golden.JSON[Command](t, "command")
	golden.JSON[snapshot](t, "snapshot")
	golden.JSON[Answer](t, "answer")
}
