package node

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	relayCheckInterval = time.Second
	// slowReaderTimeout is how long a client may take none of a long answer while there is room for others. A slow reader's kernel
	// may make room in steps of 64 KiB.
	slowReaderTimeout = 3 * stallTimeout
)

// relayWatch ends the relaying of a long answer whose client takes none of it any more. A deadline for each write would also end
// it for clients that read slowly: the kernel lets a write go on only once a third of its buffer is free.
type relayWatch struct {
	frontend *frontend
	client   *clientConn
	control  *http.ResponseController

	mu         sync.Mutex // guards the fields below
	timer      *time.Timer
	stopped    bool
	writing    bool
	taken      uint64    // bytes that the client's kernel had taken at the last check
	progressAt time.Time // when a write ended last, or the client's kernel was last seen to have taken more
}

// watchRelay begins to watch the relaying of an answer. The caller has to call stop at its end.
func (f *frontend) watchRelay(client *clientConn, control *http.ResponseController) *relayWatch {
	w := &relayWatch{frontend: f, client: client, control: control, progressAt: time.Now()}
	control.SetWriteDeadline(time.Time{})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(relayCheckInterval, w.check)
	return w
}

// setWriting records that a write to the client begins or has ended.
func (w *relayWatch) setWriting(writing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = writing
	w.progressAt = time.Now()
}

// stop ends the watch.
func (w *relayWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// check interrupts the write if the client has taken nothing for too long.
func (w *relayWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	taken := takenBytes(w.client)
	if !w.writing || taken != w.taken {
		w.progressAt = time.Now()
	}
	w.taken = taken
	if time.Since(w.progressAt) > w.frontend.readerTimeout() {
		w.frontend.refusals.note(closedHungReader, "")
		w.control.SetWriteDeadline(time.Unix(1, 0))
		return
	}
	w.timer.Reset(relayCheckInterval)
}

// readerTimeout returns how long a client may take none of a long answer. It is shorter while places are short.
func (f *frontend) readerTimeout() time.Duration {
	if f.connections.isCrowded() || f.openTransfers.Load() > f.maxOpenRequests/4 {
		return stallTimeout
	}
	return slowReaderTimeout
}

// takenBytes returns how many bytes the client's kernel has taken since the connection began, or 0 if that is not known.
func takenBytes(c *clientConn) (taken uint64) {
	if c == nil {
		return 0
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			taken = info.Bytes_acked
		}
	})
	return taken
}
