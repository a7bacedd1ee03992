package agent

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"meadowsill/internal/fleet"
)

const (
	copyFileName     = "intent.copy"
	rejectedFileName = copyFileName + ".refused"

	maxLogExcess = 64 << 10                 // bytes by which the deltas in the file may exceed its base before the next write is a new base
	maxBaseBytes = 2 * fleet.MaxIntentBytes // maximum size of a base; a larger copy is not written
	maxFileBytes = 6 * fleet.MaxIntentBytes // maximum size of the file: a base, as many bytes of deltas, and a last delta as large as an answer
)

// Errors of a write. With errNewerOnDisk, the file on disk is newer than what was to be written, and it stays. With
// errFileReplaced, the file is no longer as this agent left it, and the next write is a base.
var (
	errNewerOnDisk  = errors.New("copy: a newer one is on disk")
	errFileReplaced = errors.New("copy: another process has written it")
)

// copyFile manages an agent's durable copy in a directory. It is for use by one goroutine at a time.
type copyFile struct {
	dir       string
	node      string
	services  []string
	revision  uint64      // the file's revision
	baseSize  int64       // size of the file's base, in bytes
	fileInfo  fs.FileInfo // the file as this agent left it; nil: the next write is a base
	writeSync func(*os.File, []byte) error
}

// openCopyFile reads the copy in dir. Without a file the copy is empty. For a damaged file, or one of another node, it returns an error
// and an empty copy; the file is renamed to rejectedFileName so that the cause can be examined.
func openCopyFile(dir, node string, services []string) (*copyFile, storedCopy, error) {
	f := &copyFile{dir: dir, node: node, services: services, writeSync: writeSync}
	stored, info, err := f.read()
	if errors.Is(err, fs.ErrNotExist) {
		return f, storedCopy{copy: &IntentCopy{}}, nil
	}
	if err != nil {
		os.Rename(f.path(), filepath.Join(dir, rejectedFileName))
		return f, storedCopy{copy: &IntentCopy{}}, err
	}
	if !stored.oldFormat && !stored.truncated && !stored.incomplete && slices.Equal(stored.services, services) {
		f.revision = stored.copy.Revision
		f.baseSize = stored.baseSize
		f.fileInfo = info
	}
	return f, stored, nil
}

func (f *copyFile) path() string { return filepath.Join(f.dir, copyFileName) }

// read decodes the file's present content.
func (f *copyFile) read() (storedCopy, fs.FileInfo, error) {
	info, err := os.Stat(f.path())
	if err != nil {
		return storedCopy{}, nil, err
	}
	if info.Size() > maxFileBytes {
		return storedCopy{}, nil, fmt.Errorf("copy: file has %d bytes, at most %d are allowed", info.Size(), maxFileBytes)
	}
	raw, err := os.ReadFile(f.path())
	if err != nil {
		return storedCopy{}, nil, err
	}
	if int64(len(raw)) != info.Size() {
		return storedCopy{}, nil, errFileReplaced
	}
	stored, err := decodeCopy(raw, f.node)
	return stored, info, err
}

// deltaSince returns the revision after which the next write needs the changes, or 0 if the next write must be a base with every item.
func (f *copyFile) deltaSince() uint64 {
	if f.fileInfo == nil || !f.unchanged() || f.fileInfo.Size()-f.baseSize > f.baseSize+maxLogExcess {
		return 0
	}
	return f.revision
}

// unchanged reports whether the file is as this agent left it.
func (f *copyFile) unchanged() bool {
	info, err := os.Stat(f.path())
	return err == nil && f.fileInfo != nil && os.SameFile(info, f.fileInfo) && info.Size() == f.fileInfo.Size()
}

// save writes every item, or the changes after f.deltaSince(), and returns the number of bytes written. incomplete marks a base of a
// scope of which some services have not been read yet. After an error the file's state is unknown, except after errNewerOnDisk.
func (f *copyFile) save(in fleet.Intent, incomplete bool) (int, error) {
	var written int
	var err error
	if in.Full {
		written, err = f.saveBase(in, incomplete)
	} else {
		written, err = f.saveDelta(in)
	}
	if err != nil {
		f.fileInfo = nil
	}
	return written, err
}

// saveBase atomically replaces the file with a new one. It does not replace a file with a newer revision: an agent that was stopped
// and resumes while its successor runs would otherwise overwrite the successor's copy.
func (f *copyFile) saveBase(in fleet.Intent, incomplete bool) (int, error) {
	if !f.unchanged() {
		if stored, _, err := f.read(); err == nil && stored.copy.Revision > in.Revision {
			return 0, fmt.Errorf("%w: revision %d, this is %d", errNewerOnDisk, stored.copy.Revision, in.Revision)
		}
	}
	raw, err := encodeBase(baseRecord{Node: f.node, Services: f.services, Incomplete: incomplete, Revision: in.Revision, Items: in.Items})
	if err != nil {
		return 0, err
	}
	file, err := os.CreateTemp(f.dir, copyFileName+".*")
	if err != nil {
		return 0, err
	}
	defer os.Remove(file.Name())
	info, err := f.writeAndClose(file, raw)
	if err != nil {
		return 0, err
	}
	if err := os.Rename(file.Name(), f.path()); err != nil {
		return 0, err
	}
	f.revision = in.Revision
	f.baseSize = int64(len(raw))
	f.fileInfo = info
	return len(raw), syncDir(f.dir)
}

// saveDelta appends a record to the file.
func (f *copyFile) saveDelta(in fleet.Intent) (int, error) {
	raw, err := appendRecord(nil, differenceRecord{Since: f.revision, Revision: in.Revision, Items: in.Items})
	if err != nil {
		return 0, err
	}
	if len(raw) > fleet.MaxIntentBytes {
		return 0, fmt.Errorf("copy: delta has %d bytes, at most %d are allowed", len(raw), fleet.MaxIntentBytes)
	}
	file, err := os.OpenFile(f.path(), os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return 0, err
	}
	if info, err := file.Stat(); err != nil || !os.SameFile(info, f.fileInfo) || info.Size() != f.fileInfo.Size() {
		file.Close()
		return 0, errors.Join(errFileReplaced, err)
	}
	size := f.fileInfo.Size() + int64(len(raw))
	if f.fileInfo, err = f.writeAndClose(file, raw); err != nil {
		return 0, err
	}
	if f.fileInfo.Size() != size || !f.unchanged() { // another process wrote at the same time
		return 0, errFileReplaced
	}
	f.revision = in.Revision
	return len(raw), nil
}

// writeAndClose writes raw, syncs it to disk, closes the file and returns the file's state after the write.
func (f *copyFile) writeAndClose(file *os.File, raw []byte) (fs.FileInfo, error) {
	err := f.writeSync(file, raw)
	info, statErr := file.Stat()
	return info, errors.Join(err, statErr, file.Close())
}

func writeSync(file *os.File, raw []byte) error {
	if _, err := file.Write(raw); err != nil {
		return err
	}
	return file.Sync()
}

// syncDir makes the renaming of a file in dir durable.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// remove deletes the copy from disk.
func (f *copyFile) remove() error {
	f.fileInfo = nil
	if err := os.Remove(f.path()); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}
