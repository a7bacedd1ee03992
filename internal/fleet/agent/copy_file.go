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

	maxLogExcess = 64 << 10                 // the log is written anew once its differences are so much larger than its base
	maxBaseBytes = 2 * fleet.MaxIntentBytes // bytes of a base; the copy of more is not kept
	maxFileBytes = 6 * fleet.MaxIntentBytes // of a base, as many differences, and a last one as large as an answer
)

// Errors of a write. After the first, what is on disk is newer than what was to be written, and stays. After the
// second, the file is no longer as this agent left it: the next write is a base.
var (
	errNewerOnDisk  = errors.New("copy: a newer one is on disk")
	errFileReplaced = errors.New("copy: another process has written it")
)

// copyFile keeps an agent's durable copy in its directory, for one goroutine at a time.
type copyFile struct {
	dir       string
	node      string
	services  []string
	revision  uint64      // that the file holds
	baseSize  int64       // bytes of the file's base
	fileInfo  fs.FileInfo // the file as this agent left it; nil: the next write is a base
	writeSync func(*os.File, []byte) error
}

// openCopyFile reads the copy in dir. None is an empty one. A damaged one, or another node's, is an error and an empty copy; it is put
// aside under another name for whoever looks for the cause.
func openCopyFile(dir, node string, services []string) (*copyFile, storedCopy, error) {
	d := &copyFile{dir: dir, node: node, services: services, writeSync: writeSync}
	stored, info, err := d.read()
	if errors.Is(err, fs.ErrNotExist) {
		return d, storedCopy{copy: &IntentCopy{}}, nil
	}
	if err != nil {
		os.Rename(d.path(), filepath.Join(dir, rejectedFileName))
		return d, storedCopy{copy: &IntentCopy{}}, err
	}
	if !stored.oldFormat && !stored.truncated && !stored.incomplete && slices.Equal(stored.services, services) {
		d.revision = stored.copy.Revision
		d.baseSize = stored.baseSize
		d.fileInfo = info
	}
	return d, stored, nil
}

func (d *copyFile) path() string { return filepath.Join(d.dir, copyFileName) }

// read decodes the file as it is now.
func (d *copyFile) read() (storedCopy, fs.FileInfo, error) {
	info, err := os.Stat(d.path())
	if err != nil {
		return storedCopy{}, nil, err
	}
	if info.Size() > maxFileBytes {
		return storedCopy{}, nil, fmt.Errorf("copy: %d bytes, at most %d", info.Size(), maxFileBytes)
	}
	raw, err := os.ReadFile(d.path())
	if err != nil {
		return storedCopy{}, nil, err
	}
	if int64(len(raw)) != info.Size() {
		return storedCopy{}, nil, errFileReplaced
	}
	stored, err := decodeCopy(raw, d.node)
	return stored, info, err
}

// deltaSince is the revision after which the next write needs the changes; 0: it needs every item, as a base is due.
func (d *copyFile) deltaSince() uint64 {
	if d.fileInfo == nil || !d.unchanged() || d.fileInfo.Size()-d.baseSize > d.baseSize+maxLogExcess {
		return 0
	}
	return d.revision
}

// unchanged reports whether the file is as this agent left it.
func (d *copyFile) unchanged() bool {
	info, err := os.Stat(d.path())
	return err == nil && d.fileInfo != nil && os.SameFile(info, d.fileInfo) && info.Size() == d.fileInfo.Size()
}

// save writes every item, or the changes after d.since(), and gives the bytes written. incomplete marks every item of a scope of which some
// services have not been read yet. After an error nothing is known of the file but with errNewerOnDisk.
func (d *copyFile) save(in fleet.Intent, incomplete bool) (int, error) {
	var written int
	var err error
	if in.Full {
		written, err = d.saveBase(in, incomplete)
	} else {
		written, err = d.saveDelta(in)
	}
	if err != nil {
		d.fileInfo = nil
	}
	return written, err
}

// saveBase puts a new file in the place of the old one, completely or not at all. It is not put over a newer one, as an agent that was
// stopped and went on at the same time as its successor would.
func (d *copyFile) saveBase(in fleet.Intent, incomplete bool) (int, error) {
	if !d.unchanged() {
		if stored, _, err := d.read(); err == nil && stored.copy.Revision > in.Revision {
			return 0, fmt.Errorf("%w: revision %d, this is %d", errNewerOnDisk, stored.copy.Revision, in.Revision)
		}
	}
	raw, err := encodeBase(baseRecord{Node: d.node, Services: d.services, Incomplete: incomplete, Revision: in.Revision, Items: in.Items})
	if err != nil {
		return 0, err
	}
	file, err := os.CreateTemp(d.dir, copyFileName+".*")
	if err != nil {
		return 0, err
	}
	defer os.Remove(file.Name())
	info, err := d.writeAndClose(file, raw)
	if err != nil {
		return 0, err
	}
	if err := os.Rename(file.Name(), d.path()); err != nil {
		return 0, err
	}
	d.revision = in.Revision
	d.baseSize = int64(len(raw))
	d.fileInfo = info
	return len(raw), syncDir(d.dir)
}

// saveDelta adds a record to the file.
func (d *copyFile) saveDelta(in fleet.Intent) (int, error) {
	raw, err := appendRecord(nil, differenceRecord{Since: d.revision, Revision: in.Revision, Items: in.Items})
	if err != nil {
		return 0, err
	}
	if len(raw) > fleet.MaxIntentBytes {
		return 0, fmt.Errorf("copy: a difference of %d bytes, at most %d", len(raw), fleet.MaxIntentBytes)
	}
	file, err := os.OpenFile(d.path(), os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return 0, err
	}
	if info, err := file.Stat(); err != nil || !os.SameFile(info, d.fileInfo) || info.Size() != d.fileInfo.Size() {
		file.Close()
		return 0, errors.Join(errFileReplaced, err)
	}
	size := d.fileInfo.Size() + int64(len(raw))
	if d.fileInfo, err = d.writeAndClose(file, raw); err != nil {
		return 0, err
	}
	if d.fileInfo.Size() != size || !d.unchanged() { // another process wrote at the same time
		return 0, errFileReplaced
	}
	d.revision = in.Revision
	return len(raw), nil
}

// writeAndClose writes raw through to the disk and gives the file as it is then.
func (d *copyFile) writeAndClose(file *os.File, raw []byte) (fs.FileInfo, error) {
	err := d.writeSync(file, raw)
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

// remove takes the copy away.
func (d *copyFile) remove() error {
	d.fileInfo = nil
	if err := os.Remove(d.path()); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}
