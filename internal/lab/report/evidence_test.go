package report

import (
	"os"
	"path/filepath"
	"testing"

	"meadowsill/internal/invariants"
)

func TestEvidenceJoinsLogLinesToBreaches(t *testing.T) {
	dir := t.TempDir()
	os.MkdirAll(filepath.Join(dir, "nodes", "n2"), 0o755)
	os.WriteFile(filepath.Join(dir, "nodes", "n2", "node.log"), []byte("level=INFO msg=serving\nlevel=WARN msg=overdue id=abc123\n"), 0o644)
	got := evidence(dir, []invariants.Breach{{Rule: "answer", ID: "abc123"}, {Rule: "answer", ID: "zzz"}})
	if len(got["abc123"]) != 1 || got["abc123"][0] != "n2: level=WARN msg=overdue id=abc123" || len(got["zzz"]) != 0 {
		t.Errorf("%v", got)
	}
}
