package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"maps"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"meadowsill/policy"
)

const (
	// The node polls the file for changes that the other process of an upgrade has made. A call has to take effect within the
	// settings' DrainGrace, so the node polls exclusionsPollsPerGrace times in that time, within the bounds given here.
	maxExclusionsPoll       = 100 * time.Millisecond
	minExclusionsPoll       = 5 * time.Millisecond
	exclusionsPollsPerGrace = 4
	lockTimeout             = 500 * time.Millisecond // to wait for a change by the other process; the caller waits 1 s
	lockRetryInterval       = 5 * time.Millisecond
)

// exclusions holds the app servers that the operators have excluded. They are stored in a file for the process that an
// upgrade starts; two processes share the file until the older one has ended. serverNames are the names of the servers in the
// endpoint list. A nil *exclusions has no excluded server.
type exclusions struct {
	path         string
	upstreamPool *upstreams
	inclusionTTL time.Duration // how long an inclusion is reported: while the server warms up
	log          *slog.Logger
	changed      chan struct{} // has a buffer of one; a value means that the loop has to notify the module
	flock        func(fd, how int) error

	// fileLock is held to read and write the file, also while this process waits for the other one to unlock it. mu is held
	// only briefly, with or without fileLock, because the event loop takes it. Both have to be held to change state.
	fileLock      sync.Mutex
	lastContent   []byte // the file's content when it was last read or written
	lastLoggedErr error  // the last read error that was logged

	mu          sync.Mutex // guards the fields below
	state       exclusionsFile
	serverNames map[policy.ServerID]string
}

// exclusionsFile is the content of the file. It names servers by their ids at discovery.
type exclusionsFile struct {
	Excluded   []string             `json:"out"`
	IncludedAt map[string]time.Time `json:"back"` // when a server was last included again
}

// openExclusions reads the exclusions that an earlier process stored. An unreadable file is logged and treated as missing.
func openExclusions(c *Config, u *upstreams, log *slog.Logger) *exclusions {
	e := &exclusions{
		path:         exclusionsPath(c),
		upstreamPool: u,
		inclusionTTL: c.Settings.SlowStartWindow,
		log:          log,
		changed:      make(chan struct{}, 1),
		flock:        syscall.Flock,
	}
	e.refresh()
	if len(e.state.Excluded) > 0 {
		log.Info("app servers are excluded", "ids", e.state.Excluded)
	}
	return e
}

// exclusionsPollIntervalFor returns the interval at which to poll the file, if a call has to take effect within grace.
func exclusionsPollIntervalFor(grace time.Duration) time.Duration {
	return min(maxExclusionsPoll, max(minExclusionsPoll, grace/exclusionsPollsPerGrace))
}

// refresh applies the content of the file if it has changed. It does not log the same error twice in a row.
func (e *exclusions) refresh() {
	e.fileLock.Lock()
	defer e.fileLock.Unlock()
	if err := e.read(); err != nil && (e.lastLoggedErr == nil || err.Error() != e.lastLoggedErr.Error()) {
		e.lastLoggedErr = err
		e.log.Error("exclusions file rejected", "err", err)
	}
}

// read applies the content of the file if it has changed. The caller holds fileLock. It reads the file every time, because
// two changes within a tick of the clock may leave the file with the same inode and time as before. Content that can't be
// decoded is ignored until it changes.
func (e *exclusions) read() error {
	text, err := os.ReadFile(e.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil // nothing has been excluded yet, or the file was removed, which includes no server again
	}
	if err != nil || e.lastContent != nil && bytes.Equal(text, e.lastContent) {
		return err
	}
	e.lastContent = text
	var f exclusionsFile
	if err := json.Unmarshal(text, &f); err != nil {
		return fmt.Errorf("%s: %w", e.path, err)
	}
	e.apply(f)
	return nil
}

// apply puts a state in force: for the upstream connections at once, and then for the module.
func (e *exclusions) apply(f exclusionsFile) {
	for _, name := range e.state.Excluded {
		if !slices.Contains(f.Excluded, name) {
			e.upstreamPool.setExcluded(serverID(name), false)
		}
	}
	for _, name := range f.Excluded {
		e.upstreamPool.setExcluded(serverID(name), true)
	}
	e.mu.Lock()
	e.state = f
	e.mu.Unlock()
	select {
	case e.changed <- struct{}{}:
	default: // the loop has not handled the last change yet
	}
}

// exclude excludes an app server. When it returns, the server's connections are closed and the exclusion is stored.
func (e *exclusions) exclude(name string) error {
	return e.change(name, func(f *exclusionsFile) {
		if !slices.Contains(f.Excluded, name) {
			f.Excluded = append(f.Excluded, name)
		}
		delete(f.IncludedAt, name)
	})
}

// include includes an app server again. It changes nothing if the server is not excluded.
func (e *exclusions) include(name string) error {
	return e.change(name, func(f *exclusionsFile) {
		if i := slices.Index(f.Excluded, name); i >= 0 {
			f.Excluded = slices.Delete(f.Excluded, i, i+1)
			f.IncludedAt[name] = time.Now()
		}
	})
}

// change edits the state, stores it and puts it in force. It locks the file against the other process meanwhile.
func (e *exclusions) change(name string, edit func(*exclusionsFile)) error {
	e.fileLock.Lock()
	defer e.fileLock.Unlock()
	lock, err := e.lock()
	if err != nil {
		return e.writeError(err)
	}
	defer lock.Close() // unlocks the file too
	if err := e.read(); err != nil {
		e.log.Error("exclusions file rejected", "err", err)
	}
	if !e.isListed(name) && !slices.Contains(e.state.Excluded, name) {
		return errors.New("no app server has this id")
	}
	f := exclusionsFile{Excluded: slices.Clone(e.state.Excluded), IncludedAt: map[string]time.Time{}}
	for name, at := range e.state.IncludedAt {
		if time.Since(at) < e.inclusionTTL {
			f.IncludedAt[name] = at
		}
	}
	edit(&f)
	text, err := json.Marshal(f)
	if err == nil {
		err = os.WriteFile(e.path+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(e.path+".new", e.path)
	}
	if err != nil {
		return e.writeError(err)
	}
	e.lastContent = text
	e.apply(f)
	return nil
}

// lock keeps the other process from changing the file. It gives up after lockTimeout, so that another process that is
// stopped while it holds the lock blocks neither the caller nor the end of this process.
func (e *exclusions) lock() (*os.File, error) {
	lock, err := os.OpenFile(e.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(lockTimeout); ; time.Sleep(lockRetryInterval) {
		err := e.flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return lock, nil
		}
		if err != syscall.EWOULDBLOCK && err != syscall.EINTR || time.Now().After(end) {
			lock.Close()
			return nil, fmt.Errorf("%s: %w", lock.Name(), err)
		}
	}
}

// writeError logs an error of the file and returns the one that the operator gets.
func (e *exclusions) writeError(err error) error {
	e.log.Error("exclusions not written", "err", err)
	return errors.New("it can't be put on file")
}

// setServerNames sets the names of the app servers in the endpoint list.
func (e *exclusions) setServerNames(names map[policy.ServerID]string) {
	if e != nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.serverNames = maps.Clone(names)
	}
}

// isListed reports whether the endpoint list has a server of this name.
func (e *exclusions) isListed(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.serverNames[serverID(name)] == name
}

// changes returns the channel that receives a value after each change. It is nil, and so never ready, for a nil *exclusions.
func (e *exclusions) changes() <-chan struct{} {
	if e == nil {
		return nil
	}
	return e.changed
}

// current returns the state in force: the excluded servers, and the times of recent inclusions.
func (e *exclusions) current() (excluded map[string]bool, includedAt map[string]time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	excluded, includedAt = map[string]bool{}, map[string]time.Time{}
	for _, name := range e.state.Excluded {
		excluded[name] = true
	}
	maps.Copy(includedAt, e.state.IncludedAt)
	return excluded, includedAt
}
