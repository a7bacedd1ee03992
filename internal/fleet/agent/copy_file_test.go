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

// tenantOf is a tenant's item of a committed and a staged service; "-": there is no such generation.
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

// wholeFile is a copy as the build before the log wrote it.
func wholeFile(node string, revision uint64, items ...fleet.Item) []byte {
	body, err := json.Marshal(map[string]any{"node": node, "revision": revision, "items": items})
	if err != nil {
		panic(err)
	}
	return append(fmt.Appendf(nil, oldFormatLine, revision, xxhash.Sum64(body)), body...)
}

// sampleLog is the file of a base at revision 9 and differences to 10, 11 and 12, and the parts that it is made of.
func sampleLog(t testing.TB) (log []byte, parts [][]byte) {
	t.Helper()
	base, err := encodeBase(baseRecord{Node: "n", Services: []string{"billing"}, Revision: 9, Items: sample().Read(0, nil).Items})
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

// A log is read back to its last record. A last record that is cut short is left out, wherever it is cut; anything else that is not as
// it was written rejects the copy: a bit that is another, a record lost, repeated, out of order, of elsewhere.
func TestDamagedLog(t *testing.T) {
	log, parts := sampleLog(t)
	stored, err := decodeCopy(log, "n")
	if err != nil || stored.copy.Revision != 12 || stored.truncated || !slices.Equal(stored.services, []string{"billing"}) || stored.baseSize != int64(len(parts[0])) {
		t.Fatalf("%+v, %v", stored, err)
	}
	if in := stored.copy.Read(9, nil); in.Full || len(in.Items) != 2 || stored.copy.Len() != 2 {
		t.Errorf("read back: %+v", in)
	}
	for cut := len(log) - len(parts[3]) + 1; cut < len(log); cut++ {
		if stored, err := decodeCopy(log[:cut], "n"); err != nil || stored.copy.Revision != 11 || !stored.truncated {
			t.Fatalf("cut at %d of %d: %+v, %v", cut, len(log), stored, err)
		}
	}
	for cut := range parts[0] {
		if _, err := decodeCopy(log[:cut], "n"); err == nil {
			t.Fatalf("taken: a base that is cut at %d of %d", cut, len(parts[0]))
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
		"empty":                          nil,
		"a difference lost":              join(0, 1, 3),
		"the first difference lost":      join(0, 2, 3),
		"a difference repeated":          join(0, 1, 1, 2),
		"the last difference repeated":   join(0, 1, 2, 3, 3),
		"differences reordered":          join(0, 2, 1, 3),
		"no base":                        append([]byte(logFormat), join(1, 2)...),
		"two bases":                      append(join(0, 1), parts[0][len(logFormat):]...),
		"a difference cut in the middle": append(join(0, 1)[:len(join(0, 1))-3], parts[2]...),
		"something after the last":       append(join(0, 1), make([]byte, recordHeaderSize)...),
		"another format":                 bytes.Replace(log, []byte("fleet-intent 2"), []byte("fleet-intent 3"), 1),
	} {
		if stored, err := decodeCopy(bad, "n"); err == nil {
			t.Errorf("%s: taken as %+v", name, stored)
		}
	}
	for i := range log {
		flipped := slices.Clone(log)
		flipped[i] ^= 1
		if stored, err := decodeCopy(flipped, "n"); err == nil {
			t.Fatalf("taken with byte %d of %d changed: %+v", i, len(log), stored)
		}
	}
	if _, err := decodeCopy(log, "m"); err == nil {
		t.Error("another node's copy taken")
	}
}

// A file of the build before the log is read as before, and every change of it rejected.
func TestOldFormatCopy(t *testing.T) {
	raw := wholeFile("n", 9, sample().Read(0, nil).Items...)
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
			t.Errorf("taken: %.60q as %+v", b, stored)
		}
	}
	if _, err := decodeCopy(raw, "m"); err == nil {
		t.Error("another node's copy taken")
	}
}

// open opens the copy in dir and fails the test where it is rejected.
func open(t *testing.T, dir string, services ...string) (*copyFile, *IntentCopy) {
	t.Helper()
	d, stored, err := openCopyFile(dir, "n", services)
	if err != nil {
		t.Fatal(err)
	}
	return d, stored.copy
}

// advance takes a change of one tenant into a copy and saves it.
func advance(t *testing.T, d *copyFile, c *IntentCopy, revision uint64) error {
	t.Helper()
	if _, err := c.Apply(fleet.Intent{Revision: revision, Items: []fleet.Item{tenantOf(fmt.Sprint("t", revision%8), revision, "", "-")}}); err != nil {
		t.Fatal(err)
	}
	_, err := d.save(c.Read(d.deltaSince(), nil), false)
	return err
}

// A copy is kept by differences after a base, read back by the next agent, and written anew once the differences have outgrown the
// base; a damaged file is put aside.
func TestCopyOnDisk(t *testing.T) {
	dir := t.TempDir()
	d, c := open(t, dir)
	if c.Len() != 0 || c.Revision != 0 {
		t.Fatalf("no copy: %+v", c)
	}
	bases, size := 0, int64(0)
	for revision := uint64(1); revision <= 1000; revision++ {
		base := d.deltaSince() == 0
		if err := advance(t, d, c, revision); err != nil {
			t.Fatal(err)
		}
		if base {
			bases++
		} else if grown := d.fileInfo.Size() - size; grown <= 0 || grown > 400 {
			t.Fatalf("a difference of one tenant takes %d bytes", grown)
		}
		size = d.fileInfo.Size()
		if revision%100 == 50 {
			d, c = open(t, dir)
			if c.Revision != revision || c.Len() != 8 {
				t.Fatalf("opened at revision %d with %d items, want %d", c.Revision, c.Len(), revision)
			}
		}
	}
	if bases < 2 || bases > 5 || size > 2*d.baseSize+maxLogExcess+400 {
		t.Errorf("%d bases in 1000 changes, %d bytes at the end after a base of %d", bases, size, d.baseSize)
	}
	raw, err := os.ReadFile(d.path())
	if err != nil {
		t.Fatal(err)
	}
	raw[len(raw)/2] ^= 1
	if err := os.WriteFile(d.path(), raw, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, stored, err := openCopyFile(dir, "n", nil); err == nil || stored.copy.Revision != 0 {
		t.Errorf("a damaged copy: %+v, %v", stored, err)
	}
	if left, _ := os.ReadDir(dir); len(left) != 1 || left[0].Name() != rejectedFileName {
		t.Errorf("left in the directory: %v", left)
	}
	if _, c := open(t, dir); c.Revision != 0 {
		t.Errorf("no copy: %+v", c)
	}
}

// After a last record that is cut short the next write is a base: nothing is ever added behind it.
func TestTruncatedDifference(t *testing.T) {
	dir := t.TempDir()
	d, c := open(t, dir)
	for revision := uint64(1); revision <= 3; revision++ {
		if err := advance(t, d, c, revision); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.Truncate(d.path(), d.fileInfo.Size()-5); err != nil {
		t.Fatal(err)
	}
	d, c = open(t, dir)
	if c.Revision != 2 || d.deltaSince() != 0 {
		t.Fatalf("revision %d, since %d", c.Revision, d.deltaSince())
	}
	if err := advance(t, d, c, 4); err != nil {
		t.Fatal(err)
	}
	if d, c := open(t, dir); c.Revision != 4 || c.Len() != 3 || d.deltaSince() != 4 {
		t.Errorf("after the next write: revision %d, %d items, since %d", c.Revision, c.Len(), d.deltaSince())
	}
}

// Two agents of one directory: an older copy is never put over a newer one, neither as a base nor as a difference, and the one that has
// the newer goes on.
func TestTwoAgentsOfOneDirectory(t *testing.T) {
	dir := t.TempDir()
	first, older := open(t, dir)
	for revision := uint64(1); revision <= 3; revision++ {
		if err := advance(t, first, older, revision); err != nil {
			t.Fatal(err)
		}
	}
	second, newer := open(t, dir)
	for revision := uint64(4); revision <= 9; revision++ {
		if err := advance(t, second, newer, revision); err != nil {
			t.Fatal(err)
		}
	}
	want, _ := os.ReadFile(first.path())
	if err := advance(t, first, older, 5); !errors.Is(err, errNewerOnDisk) {
		t.Errorf("an older copy over a newer: %v", err)
	}
	first.fileInfo, _ = os.Stat(first.path()) // as if it had looked before the other wrote
	if got, _ := os.ReadFile(first.path()); !bytes.Equal(got, want) {
		t.Error("the newer copy was changed")
	}
	// Both append at once: the second sees that the file is not as it left it, and writes a base.
	if err := advance(t, first, older, 6); err != nil {
		t.Fatal(err)
	}
	if _, _, err := second.read(); err == nil {
		t.Error("a difference after a newer one is taken")
	}
	if err := advance(t, second, newer, 10); err != nil {
		t.Fatal(err)
	}
	if _, c := open(t, dir); c.Revision != 10 || c.Len() != 8 {
		t.Errorf("at the end: revision %d, %d items", c.Revision, c.Len())
	}
	if err := advance(t, first, older, 11); err != nil { // it has caught up
		t.Errorf("a newer copy over an older: %v", err)
	}
}

// The file is replaced while a difference is written: it is not taken for saved.
func TestReplacedWhileWriting(t *testing.T) {
	dir := t.TempDir()
	d, c := open(t, dir)
	if err := advance(t, d, c, 1); err != nil {
		t.Fatal(err)
	}
	d.writeSync = func(file *os.File, raw []byte) error {
		d.writeSync = writeSync
		other, copied := open(t, dir)
		other.fileInfo = nil // writes a base
		if err := advance(t, other, copied, 2); err != nil {
			t.Fatal(err)
		}
		return writeSync(file, raw)
	}
	if err := advance(t, d, c, 3); !errors.Is(err, errFileReplaced) {
		t.Errorf("written to a file that has been replaced: %v", err)
	}
	if err := advance(t, d, c, 4); err != nil {
		t.Fatal(err)
	}
	if _, c := open(t, dir); c.Revision != 4 {
		t.Errorf("at the end: revision %d", c.Revision)
	}
}

// failWrites makes writes of d fail half way, as on a full disk, until end is called.
func failWrites(d *copyFile) (end func()) {
	d.writeSync = func(file *os.File, raw []byte) error {
		if _, err := file.Write(raw[:len(raw)/2]); err != nil {
			return err
		}
		return syscall.ENOSPC
	}
	return func() { d.writeSync = writeSync }
}

// A write that fails leaves no half of a base, and of a difference nothing that is taken for more than there was.
func TestWriteFails(t *testing.T) {
	dir := t.TempDir()
	d, c := open(t, dir)
	end := failWrites(d)
	if err := advance(t, d, c, 1); !errors.Is(err, syscall.ENOSPC) {
		t.Fatalf("a base: %v", err)
	}
	if left, _ := os.ReadDir(dir); len(left) != 0 {
		t.Errorf("left in the directory: %v", left)
	}
	end()
	if err := advance(t, d, c, 2); err != nil {
		t.Fatal(err)
	}
	end = failWrites(d)
	if err := advance(t, d, c, 3); !errors.Is(err, syscall.ENOSPC) {
		t.Fatalf("a difference: %v", err)
	}
	if _, c := open(t, dir); c.Revision != 2 {
		t.Errorf("after half a difference: revision %d", c.Revision)
	}
	end()
	if err := advance(t, d, c, 4); err != nil {
		t.Fatal(err)
	}
	if _, c := open(t, dir); c.Revision != 4 || c.Len() != 4 {
		t.Errorf("after the disk is well: revision %d, %d items", c.Revision, c.Len())
	}
	if err := d.remove(); err != nil {
		t.Fatal(err)
	}
	if err := d.remove(); err != nil {
		t.Errorf("nothing to take away: %v", err)
	}
	if _, err := os.Stat(filepath.Join(dir, copyFileName)); err == nil {
		t.Error("the copy is still there")
	}
}

// FuzzDecode: whatever lies on disk, reading it gives a copy that is written back the same, or an error.
func FuzzDecode(f *testing.F) {
	log, parts := sampleLog(f)
	f.Add(log)
	f.Add(parts[0])
	f.Add(log[:len(log)-7])
	f.Add(wholeFile("n", 9, sample().Read(0, nil).Items...))
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
		again := encode(stored)
		back, err := decodeCopy(again, "n")
		if err != nil || back.copy.Revision != stored.copy.Revision || !bytes.Equal(encode(back), again) {
			t.Fatalf("%+v written back as %+v: %v", stored, back, err)
		}
	})
}
