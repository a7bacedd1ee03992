package control

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"meadowsill/internal/fleet"
)

// TestSnapshotWithoutServicesRestores checks that a snapshot of a build that knew no services restores: reads return what that build
// returned (testdata/v2-reads.jsonl), and the state is encoded as it was.
func TestSnapshotWithoutServicesRestores(t *testing.T) {
	raw, err := os.ReadFile("testdata/v2-snapshot.json")
	if err != nil {
		t.Fatal(err)
	}
	raw = bytes.TrimSpace(raw)
	s, err := Restore(raw)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := s.Snapshot(); err != nil || !bytes.Equal(raw, again) {
		t.Errorf("written as %s, %v\nwas %s", again, err, raw)
	}
	reads, err := os.ReadFile("testdata/v2-reads.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	for line := range bytes.Lines(reads) {
		var want struct {
			Since  uint64       `json:"since"`
			Node   string       `json:"node"`
			Intent fleet.Intent `json:"intent"`
		}
		if err := json.Unmarshal(line, &want); err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(want.Intent, s.Read(want.Since, want.Node)); d != "" {
			t.Errorf("%q since %d: %s", want.Node, want.Since, d)
		}
		// The tenants of the snapshot have no service, so a node of any scope holds them.
		if d := cmp.Diff(want.Intent, s.Read(want.Since, want.Node, "x", "y")); d != "" {
			t.Errorf("%q with a scope, since %d: %s", want.Node, want.Since, d)
		}
	}
}
