package registry

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

func replay(t *testing.T, path string) *State {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	s := New(1000)
	for line := range bytes.SplitSeq(bytes.TrimSpace(raw), []byte("\n")) {
		var c Command
		if err := json.Unmarshal(line, &c); err != nil {
			t.Fatal(err)
		}
		if _, err := s.Apply(c); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		if again, _ := json.Marshal(c); !bytes.Equal(again, line) {
			t.Errorf("the command is encoded as %s, it was %s in the log", again, line)
		}
	}
	return s
}

// TestOldLogAndSnapshotRestore checks that a log and a snapshot of builds without fleet support (testdata/v1-*) still give the
// same list and the same snapshot bytes, and that the list's answers stay the same with the fleet's state next to the list.
func TestOldLogAndSnapshotRestore(t *testing.T) {
	s := replay(t, "testdata/v1-commands.jsonl")
	old, err := os.ReadFile("testdata/v1-snapshot.json")
	if err != nil {
		t.Fatal(err)
	}
	old = bytes.TrimSpace(old)
	if raw, err := s.Snapshot(nil); err != nil || !bytes.Equal(raw, old) {
		t.Errorf("snapshot without a fleet: %v\n%s\nwas\n%s", err, raw, old)
	}
	r := New(1000)
	if fleet, err := r.Restore(old); err != nil || fleet != nil {
		t.Fatalf("old snapshot: fleet %s, %v", fleet, err)
	}
	if d := cmp.Diff(s, r, cmpopts.IgnoreUnexported(State{})); d != "" {
		t.Error(d)
	}
	if r.NextRevision() != 8 || r.Revision != 8 {
		t.Fatalf("after the fleet's first change the revision is %d, want 8", r.Revision)
	}
	raw, _ := r.Snapshot(json.RawMessage(`{"a":1}`))
	with := New(1000)
	if fleet, err := with.Restore(raw); err != nil || string(fleet) != `{"a":1}` {
		t.Fatalf("snapshot with a fleet: %s, %v", fleet, err)
	}
	for since := range uint64(9) {
		if d := cmp.Diff(s.Read(since, true), with.Read(since, true)); d != "" {
			t.Errorf("since %d, after a change of only the fleet: %s", since, d)
		}
	}
	with.Apply(Command{Op: Drain, ID: "a-2", NowMS: 9000})
	if a := with.Read(7, true); a.Version != 9 || a.Full || len(a.Servers) != 1 {
		t.Errorf("the list's next change: %+v", a)
	}
	if _, err := with.Restore([]byte(`{"rev":1,"version":3}`)); err == nil || with.Revision != 9 {
		t.Errorf("a snapshot of a newer version: %v, revision %d", err, with.Revision)
	}
}
