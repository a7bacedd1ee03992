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
	copyName    = "intent.copy"
	refusedName = copyName + ".refused"

	logSlack  = 64 << 10                 // the log is written anew once its differences are so much larger than its base
	baseLimit = 2 * fleet.MaxIntentBytes // bytes of a base; the copy of more is not kept
	fileLimit = 6 * fleet.MaxIntentBytes // of a base, as many differences, and a last one as large as an answer
)

// Errors of a write. After the first, what is on disk is newer than what was to be written, and stays. After the
// second, the file is no longer as this agent left it: the next write is a base.
var (
	errNewer    = errors.New("copy: a newer one is on disk")
	errReplaced = errors.New("copy: another process has written it")
)

// disk keeps an agent's durable copy in its directory, for one goroutine at a time.
type disk struct {
	dir, node string
	services  []string
	revision  uint64      // that the file holds
	base      int64       // bytes of the file's base
	file      fs.FileInfo // the file as this agent left it; nil: the next write is a base
	writeSync func(*os.File, []byte) error
}

// openDisk reads the copy in dir. None is an empty one. A damaged one, or another node's, is an error and an empty copy; it is put
// aside under another name for whoever looks for the cause.
func openDisk(dir, node string, services []string) (*disk, storedCopy, error) {
	d := &disk{dir: dir, node: node, services: services, writeSync: writeSync}
	stored, info, err := d.read()
	if errors.Is(err, fs.ErrNotExist) {
		return d, storedCopy{copy: &Copy{}}, nil
	}
	if err != nil {
		os.Rename(d.path(), filepath.Join(dir, refusedName))
		return d, storedCopy{copy: &Copy{}}, err
	}
	if !stored.old && !stored.truncated && !stored.incomplete && slices.Equal(stored.services, services) {
		d.revision, d.base, d.file = stored.copy.Revision, stored.base, info
	}
	return d, stored, nil
}

func (d *disk) path() string { return filepath.Join(d.dir, copyName) }

// read decodes the file as it is now.
func (d *disk) read() (storedCopy, fs.FileInfo, error) {
	info, err := os.Stat(d.path())
	if err != nil {
		return storedCopy{}, nil, err
	}
	if info.Size() > fileLimit {
		return storedCopy{}, nil, fmt.Errorf("copy: %d bytes, at most %d", info.Size(), fileLimit)
	}
	raw, err := os.ReadFile(d.path())
	if err != nil {
		return storedCopy{}, nil, err
	}
	if int64(len(raw)) != info.Size() {
		return storedCopy{}, nil, errReplaced
	}
	stored, err := decodeCopy(raw, d.node)
	return stored, info, err
}

// since is the revision after which the next write needs the changes; 0: it needs every item, as a base is due.
func (d *disk) since() uint64 {
	if d.file == nil || !d.unchanged() || d.file.Size()-d.base > d.base+logSlack {
		return 0
	}
	return d.revision
}

// unchanged says whether the file is as this agent left it.
func (d *disk) unchanged() bool {
	info, err := os.Stat(d.path())
	return err == nil && d.file != nil && os.SameFile(info, d.file) && info.Size() == d.file.Size()
}

// save writes every item, or the changes after d.since(), and gives the bytes written. incomplete marks every item of a scope of which some
// services have not been read yet. After an error nothing is known of the file but with errNewer.
func (d *disk) save(in fleet.Intent, incomplete bool) (int, error) {
	var written int
	var err error
	if in.Full {
		written, err = d.saveBase(in, incomplete)
	} else {
		written, err = d.saveDifference(in)
	}
	if err != nil {
		d.file = nil
	}
	return written, err
}

// saveBase puts a new file in the place of the old one, whole or not at all. It is not put over a newer one, as an agent that was
// stopped and went on at the same time as its successor would.
func (d *disk) saveBase(in fleet.Intent, incomplete bool) (int, error) {
	if !d.unchanged() {
		if stored, _, err := d.read(); err == nil && stored.copy.Revision > in.Revision {
			return 0, fmt.Errorf("%w: revision %d, this is %d", errNewer, stored.copy.Revision, in.Revision)
		}
	}
	raw, err := encodeBase(baseRecord{Node: d.node, Services: d.services, Incomplete: incomplete, Revision: in.Revision, Items: in.Items})
	if err != nil {
		return 0, err
	}
	file, err := os.CreateTemp(d.dir, copyName+".*")
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
	d.revision, d.base, d.file = in.Revision, int64(len(raw)), info
	return len(raw), syncDir(d.dir)
}

// saveDifference adds a record to the file.
func (d *disk) saveDifference(in fleet.Intent) (int, error) {
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
	if info, err := file.Stat(); err != nil || !os.SameFile(info, d.file) || info.Size() != d.file.Size() {
		file.Close()
		return 0, errors.Join(errReplaced, err)
	}
	size := d.file.Size() + int64(len(raw))
	if d.file, err = d.writeAndClose(file, raw); err != nil {
		return 0, err
	}
	if d.file.Size() != size || !d.unchanged() { // another process wrote at the same time
		return 0, errReplaced
	}
	d.revision = in.Revision
	return len(raw), nil
}

// writeAndClose writes raw through to the disk and gives the file as it is then.
func (d *disk) writeAndClose(file *os.File, raw []byte) (fs.FileInfo, error) {
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
func (d *disk) remove() error {
	d.file = nil
	if err := os.Remove(d.path()); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}
