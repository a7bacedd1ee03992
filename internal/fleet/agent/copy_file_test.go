package agent

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/cespare/xxhash/v2"

	"meadowsill/internal/fleet"
)

// tenantOf returns the item of a tenant with a committed and a staged service; "-" means that there is no such generation.
func tenantOf(name string, revision uint64, committed, staged string) fleet.Item {
	generation := func(number uint64, service string) *fleet.Generation {
		if service == "-" {
			return nil
		}
		return &fleet.Generation{Number: number, Digest: "00ff", Spec: fleet.Spec{Name: name, Service: service, Quota: fleet.Quota{Rate: 9, Burst: 9}}}
	}
	body, err := json.Marshal(fleet.Tenant{UID: 1, Committed: generation(revision, committed), Staged: generation(revision+1, staged)})
	if err != nil {
		panic(err)
	}
	return fleet.Item{Key: fleet.KeyTenant + name, Revision: revision, Body: body}
}

// oldFormatFile returns a copy as the build that preceded the log wrote it.
func oldFormatFile(node string, revision uint64, items ...fleet.Item) []byte {
	body, err := json.Marshal(map[string]any{"node": node, "revision": revision, "items": items})
	if err != nil {
		panic(err)
	}
	return append(fmt.Appendf(nil, oldFormatLine, revision, xxhash.Sum64(body)), body...)
}

// sampleLog returns a file with a base at revision 9 and deltas to 10, 11 and 12, and the parts of which it consists.
func sampleLog(t testing.TB) (log []byte, parts [][]byte) {
	t.Helper()
	base, err := encodeBase(baseRecord{Node: "n", Services: []string{"billing"}, Revision: 9, Items: sampleCopy().Read(0, nil).Items})
	if err != nil {
		t.Fatal(err)
	}
	parts = append(parts, base)
	for since := uint64(9); since < 12; since++ {
		items := []fleet.Item{tenantOf("x", since+1, "billing", "-")}
		if since == 10 {
			items = []fleet.Item{{Key: "zone/a", Revision: 11, Removed: true}}
		}
		record, err := appendRecord(nil, differenceRecord{Since: since, Revision: since + 1, Items: items})
		if err != nil {
			t.Fatal(err)
		}
		parts = append(parts, record)
	}
	return bytes.Join(parts, nil), parts
}

// A log is read up to its last record. A truncated last record is dropped, wherever the log ends within it. Any other damage rejects
// the copy: a flipped bit, or a record that is lost, repeated, out of order or from another log.
func TestDamagedLog(t *testing.T) {
	log, parts := sampleLog(t)
	stored, err := decodeCopy(log, "n")
	if err != nil || stored.copy.Revision != 12 || stored.truncated || !slices.Equal(stored.services, []string{"billing"}) || stored.baseSize != int64(len(parts[0])) {
		t.Fatalf("%+v, %v", stored, err)
	}
	if in := stored.copy.Read(9, nil); in.Full || len(in.Items) != 2 || stored.copy.Len() != 2 {
		t.Errorf("changes after revision 9: %+v", in)
	}
	for cut := len(log) - len(parts[3]) + 1; cut < len(log); cut++ {
		if stored, err := decodeCopy(log[:cut], "n"); err != nil || stored.copy.Revision != 11 || !stored.truncated {
			t.Fatalf("truncated at %d of %d: %+v, %v", cut, len(log), stored, err)
		}
	}
	for cut := range parts[0] {
		if _, err := decodeCopy(log[:cut], "n"); err == nil {
			t.Fatalf("accepted: a base truncated at %d of %d", cut, len(parts[0]))
		}
	}
	join := func(order ...int) []byte {
		var out []byte
		for _, i := range order {
			out = append(out, parts[i]...)
		}
		return out
	}
	for name, bad := range map[string][]byte{
		"empty":                     nil,
		"a delta lost":              join(0, 1, 3),
		"the first delta lost":      join(0, 2, 3),
		"a delta repeated":          join(0, 1, 1, 2),
		"the last delta repeated":   join(0, 1, 2, 3, 3),
		"deltas reordered":          join(0, 2, 1, 3),
		"no base":                   append([]byte(logFormat), join(1, 2)...),
		"two bases":                 append(join(0, 1), parts[0][len(logFormat):]...),
		"a delta cut in the middle": append(join(0, 1)[:len(join(0, 1))-3], parts[2]...),
		"zero bytes after the last": append(join(0, 1), make([]byte, recordHeaderSize)...),
		"another format":            bytes.Replace(log, []byte("fleet-intent 2"), []byte("fleet-intent 3"), 1),
	} {
		if stored, err := decodeCopy(bad, "n"); err == nil {
			t.Errorf("%s: accepted as %+v", name, stored)
		}
	}
	for i := range log {
		flipped := slices.Clone(log)
		flipped[i] ^= 1
		if stored, err := decodeCopy(flipped, "n"); err == nil {
			t.Fatalf("accepted with byte %d of %d changed: %+v", i, len(log), stored)
		}
	}
	if _, err := decodeCopy(log, "m"); err == nil {
		t.Error("another node's copy was accepted")
	}
}

// A file of the build that preceded the log is still read, and each change to it is rejected.
func TestOldFormatCopy(t *testing.T) {
	raw := oldFormatFile("n", 9, sampleCopy().Read(0, nil).Items...)
	if stored, err := decodeCopy(raw, "n"); err != nil || stored.copy.Revision != 9 || stored.copy.Len() != 1 || stored.services != nil || !stored.oldFormat {
		t.Fatalf("%+v, %v", stored, err)
	}
	bad := [][]byte{raw[:len(raw)-1], append(raw[:len(raw):len(raw)], ' '), []byte(strings.Replace(string(raw), "1 9", "1 8", 1)),
		[]byte(strings.Replace(string(raw), "fleet-intent 1", "fleet-intent 2", 1))}
	for i := range raw {
		flipped := slices.Clone(raw)
		flipped[i] ^= 1
		bad = append(bad, flipped)
	}
	for _, b := range bad {
		if stored, err := decodeCopy(b, "n"); err == nil {
			t.Errorf("accepted: %.60q as %+v", b, stored)
		}
	}
	if _, err := decodeCopy(raw, "m"); err == nil {
		t.Error("another node's copy was accepted")
	}
}

// mustOpenCopy opens the copy in dir and fails the test if it is rejected.
func mustOpenCopy(t *testing.T, dir string, services ...string) (*copyFile, *IntentCopy) {
	t.Helper()
	f, stored, err := openCopyFile(dir, "n", services)
	if err != nil {
		t.Fatal(err)
	}
	return f, stored.copy
}

// saveChange applies a change of one tenant to a copy and saves it.
func saveChange(t *testing.T, f *copyFile, c *IntentCopy, revision uint64) error {
	t.Helper()
	if _, err := c.Apply(fleet.Intent{Revision: revision, Items: []fleet.Item{tenantOf(fmt.Sprint("t", revision%8), revision, "", "-")}}); err != nil {
		t.Fatal(err)
	}
	_, err := f.save(c.Read(f.deltaSince(), nil), false)
	return err
}

// A copy is saved as deltas after a base, read by the next agent, and written as a new base once the deltas have outgrown the base. A
// damaged file is renamed.
func TestCopyOnDisk(t *testing.T) {
	dir := t.TempDir()
	f, c := mustOpenCopy(t, dir)
	if c.Len() != 0 || c.Revision != 0 {
		t.Fatalf("without a file: %+v", c)
	}
	bases, size := 0, int64(0)
	for revision := uint64(1); revision <= 1000; revision++ {
		isBase := f.deltaSince() == 0
		if err := saveChange(t, f, c, revision); err != nil {
			t.Fatal(err)
		}
		if isBase {
			bases++
		} else if grown := f.fileInfo.Size() - size; grown <= 0 || grown > 400 {
			t.Fatalf("a delta of one tenant takes %d bytes", grown)
		}
		size = f.fileInfo.Size()
		if revision%100 == 50 {
			f, c = mustOpenCopy(t, dir)
			if c.Revision != revision || c.Len() != 8 {
				t.Fatalf("opened at revision %d with %d items, want revision %d", c.Revision, c.Len(), revision)
			}
		}
	}
	if bases < 2 || bases > 5 || size > 2*f.baseSize+maxLogExcess+400 {
		t.Errorf("%d bases in 1000 changes, %d bytes at the end after a base of %d", bases, size, f.baseSize)
	}
	raw, err := os.ReadFile(f.path())
	if err != nil {
		t.Fatal(err)
	}
	raw[len(raw)/2] ^= 1
	if err := os.WriteFile(f.path(), raw, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, stored, err := openCopyFile(dir, "n", nil); err == nil || stored.copy.Revision != 0 {
		t.Errorf("a damaged copy: %+v, %v", stored, err)
	}
	if remaining, _ := os.ReadDir(dir); len(remaining) != 1 || remaining[0].Name() != rejectedFileName {
		t.Errorf("files in the directory: %v", remaining)
	}
	if _, c := mustOpenCopy(t, dir); c.Revision != 0 {
		t.Errorf("without a file: %+v", c)
	}
}

// After a truncated last record the next write is a base: no record is ever appended after it.
func TestTruncatedDelta(t *testing.T) {
	dir := t.TempDir()
	f, c := mustOpenCopy(t, dir)
	for revision := uint64(1); revision <= 3; revision++ {
		if err := saveChange(t, f, c, revision); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.Truncate(f.path(), f.fileInfo.Size()-5); err != nil {
		t.Fatal(err)
	}
	f, c = mustOpenCopy(t, dir)
	if c.Revision != 2 || f.deltaSince() != 0 {
		t.Fatalf("revision %d, since %d", c.Revision, f.deltaSince())
	}
	if err := saveChange(t, f, c, 4); err != nil {
		t.Fatal(err)
	}
	if f, c := mustOpenCopy(t, dir); c.Revision != 4 || c.Len() != 3 || f.deltaSince() != 4 {
		t.Errorf("after the next write: revision %d, %d items, since %d", c.Revision, c.Len(), f.deltaSince())
	}
}

// Two agents share one directory: an older copy never replaces a newer one, neither as a base nor as a delta, and the agent with the
// newer copy goes on.
func TestTwoAgentsOfOneDirectory(t *testing.T) {
	dir := t.TempDir()
	first, older := mustOpenCopy(t, dir)
	for revision := uint64(1); revision <= 3; revision++ {
		if err := saveChange(t, first, older, revision); err != nil {
			t.Fatal(err)
		}
	}
	second, newer := mustOpenCopy(t, dir)
	for revision := uint64(4); revision <= 9; revision++ {
		if err := saveChange(t, second, newer, revision); err != nil {
			t.Fatal(err)
		}
	}
	want, _ := os.ReadFile(first.path())
	if err := saveChange(t, first, older, 5); !errors.Is(err, errNewerOnDisk) {
		t.Errorf("an older copy over a newer: %v", err)
	}
	first.fileInfo, _ = os.Stat(first.path()) // as if it had looked before the other agent wrote
	if got, _ := os.ReadFile(first.path()); !bytes.Equal(got, want) {
		t.Error("the newer copy was changed")
	}
	// Both append at once: the second detects that the file is not as it left it, and writes a base.
	if err := saveChange(t, first, older, 6); err != nil {
		t.Fatal(err)
	}
	if _, _, err := second.read(); err == nil {
		t.Error("a delta appended after a newer one is accepted")
	}
	if err := saveChange(t, second, newer, 10); err != nil {
		t.Fatal(err)
	}
	if _, c := mustOpenCopy(t, dir); c.Revision != 10 || c.Len() != 8 {
		t.Errorf("at the end: revision %d, %d items", c.Revision, c.Len())
	}
	if err := saveChange(t, first, older, 11); err != nil { // the first agent has caught up
		t.Errorf("a newer copy over an older: %v", err)
	}
}

// A delta that is written while the file is replaced does not count as saved.
func TestFileReplacedWhileWriting(t *testing.T) {
	dir := t.TempDir()
	f, c := mustOpenCopy(t, dir)
	if err := saveChange(t, f, c, 1); err != nil {
		t.Fatal(err)
	}
	f.writeSync = func(file *os.File, raw []byte) error {
		f.writeSync = writeSync
		other, copied := mustOpenCopy(t, dir)
		other.fileInfo = nil // the next write is a base
		if err := saveChange(t, other, copied, 2); err != nil {
			t.Fatal(err)
		}
		return writeSync(file, raw)
	}
	if err := saveChange(t, f, c, 3); !errors.Is(err, errFileReplaced) {
		t.Errorf("written to a file that has been replaced: %v", err)
	}
	if err := saveChange(t, f, c, 4); err != nil {
		t.Fatal(err)
	}
	if _, c := mustOpenCopy(t, dir); c.Revision != 4 {
		t.Errorf("at the end: revision %d", c.Revision)
	}
}

// failWrites makes writes of f fail half way, as on a full disk, until restore is called.
func failWrites(f *copyFile) (restore func()) {
	f.writeSync = func(file *os.File, raw []byte) error {
		if _, err := file.Write(raw[:len(raw)/2]); err != nil {
			return err
		}
		return syscall.ENOSPC
	}
	return func() { f.writeSync = writeSync }
}

// A failed write leaves no part of a base, and a partly written delta is not read as a record.
func TestWriteFails(t *testing.T) {
	dir := t.TempDir()
	f, c := mustOpenCopy(t, dir)
	restore := failWrites(f)
	if err := saveChange(t, f, c, 1); !errors.Is(err, syscall.ENOSPC) {
		t.Fatalf("a base: %v", err)
	}
	if remaining, _ := os.ReadDir(dir); len(remaining) != 0 {
		t.Errorf("files in the directory: %v", remaining)
	}
	restore()
	if err := saveChange(t, f, c, 2); err != nil {
		t.Fatal(err)
	}
	restore = failWrites(f)
	if err := saveChange(t, f, c, 3); !errors.Is(err, syscall.ENOSPC) {
		t.Fatalf("a delta: %v", err)
	}
	if _, c := mustOpenCopy(t, dir); c.Revision != 2 {
		t.Errorf("after half a delta: revision %d", c.Revision)
	}
	restore()
	if err := saveChange(t, f, c, 4); err != nil {
		t.Fatal(err)
	}
	if _, c := mustOpenCopy(t, dir); c.Revision != 4 || c.Len() != 4 {
		t.Errorf("after writes succeed again: revision %d, %d items", c.Revision, c.Len())
	}
	if err := f.remove(); err != nil {
		t.Fatal(err)
	}
	if err := f.remove(); err != nil {
		t.Errorf("removing a copy that does not exist: %v", err)
	}
	if _, err := os.Stat(filepath.Join(dir, copyFileName)); err == nil {
		t.Error("the copy still exists")
	}
}

// FuzzDecode decodes any file content: the result is an error, or a copy that stays the same when it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	log, parts := sampleLog(f)
	f.Add(log)
	f.Add(parts[0])
	f.Add(log[:len(log)-7])
	f.Add(oldFormatFile("n", 9, sampleCopy().Read(0, nil).Items...))
	f.Add([]byte("fleet-intent 1 0 ef46db3751d8e999\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		stored, err := decodeCopy(raw, "n")
		if err != nil {
			return
		}
		encode := func(stored storedCopy) []byte {
			in := stored.copy.Read(0, nil)
			out, err := encodeBase(baseRecord{Node: "n", Services: stored.services, Incomplete: stored.incomplete, Revision: in.Revision, Items: in.Items})
			if err != nil {
				t.Fatal(err)
			}
			return out
		}
		encoded := encode(stored)
		decoded, err := decodeCopy(encoded, "n")
		if err != nil || decoded.copy.Revision != stored.copy.Revision || !bytes.Equal(encode(decoded), encoded) {
			t.Fatalf("%+v encoded and decoded as %+v: %v", stored, decoded, err)
		}
	})
}
