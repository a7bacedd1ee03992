package node

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"meadowsill/policy"
)

const (
	maxBufferedBody    = 64 << 10            // bytes of a body, either way
	maxBufferedAnswer  = 4 * maxBufferedBody // with its header and framing
	idleSweepInterval  = time.Second
	idleTimeoutPart    = 0.75 // of the time after which a backend closes an idle connection: well before, it is retired
	healthCheckTimeout = 500 * time.Millisecond
	minIdleReuseTime   = 20 * time.Millisecond // of a connection after an answer, if another can take the next request
)

// upstreams holds the connections to all backends. Each carries one request at a time; the most recently used
// goes first, of those that have rested. It does not use http.Transport, which sends some requests again by itself.
type upstreams struct {
	mu       sync.Mutex // guards hosts, excluded, open, the two times, and the fields of every host
	hosts    map[policy.ServerID]*upstreamHost
	excluded map[policy.ServerID]bool // excluded by the operators, listed or not
	// connections, also those being made
	open           int
	limit          int
	restart        *hotRestart // the other process of an upgrade
	connectTimeout time.Duration
	idleLimit      time.Duration
	dial           func(context.Context, net.Dialer, string) (*upstreamConn, error)
	log            *slog.Logger
}

// upstreamHost is one backend. The fields are under the lock of upstreams.
type upstreamHost struct {
	addr         string
	startedAt    policy.Time
	closed       bool            // it drains, is removed or excluded: nothing new is written to it
	idle         []*upstreamConn // the least recently used first
	lastAnswerAt time.Time
}

type upstreamConn struct {
	*net.TCPConn
	raw       syscall.RawConn
	reader    *bufio.Reader
	remaining *boundedReader // under r: what may still come on one answer
	idleSince time.Time      // made, or idle since
	reused    bool           // a request was on it
}

// boundedReader reads no more than is left, and then fails: where a close ends an answer, a bound that looked like the end
// would pass its beginning off as the whole.
type boundedReader struct {
	reader    io.Reader
	remaining int64
}

var errTooLarge = errors.New("the answer is too large")

func (l *boundedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errTooLarge
	}
	n, err := l.reader.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}

func newUpstreams(c *Config, limit int, log *slog.Logger) *upstreams {
	b := &upstreams{hosts: map[policy.ServerID]*upstreamHost{}, excluded: map[policy.ServerID]bool{}, limit: limit, dial: dialTCP, log: log}
	b.configure(c.Settings)
	return b
}

func (b *upstreams) configure(s policy.Settings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.connectTimeout, b.idleLimit = s.ConnectTimeout, time.Duration(float64(s.ConnIdleTimeout)*idleTimeoutPart)
	if b.idleLimit <= 0 {
		b.idleLimit = time.Minute
	}
}

// update follows the list. Connections of an address or a process that is no more are closed: a request on one
// of them would be a reset.
func (b *upstreams) update(l endpointList) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.complete {
		named := map[policy.ServerID]bool{}
		for _, e := range l.entries {
			named[e.ID] = true
		}
		for id, h := range b.hosts {
			if !named[id] {
				b.retire(h)
				delete(b.hosts, id)
			}
		}
	}
	for _, e := range l.entries {
		h := b.hosts[e.ID]
		if h != nil && (e.State != policy.Ready || h.addr != e.addr || e.StartedAt > h.startedAt) {
			b.retire(h)
			delete(b.hosts, e.ID) // attempts that connect to it still hold h, and find it closed
			h = nil
		}
		if h == nil && e.State == policy.Ready {
			b.hosts[e.ID] = &upstreamHost{addr: e.addr, startedAt: e.StartedAt, closed: b.excluded[e.ID]}
		}
	}
}

// exclude takes a server out or back, whatever the list says of it.
func (b *upstreams) exclude(id policy.ServerID, out bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h, was := b.hosts[id], b.excluded[id]
	switch {
	case out == was:
	case out:
		b.excluded[id] = true
		if h != nil {
			b.retire(h)
		}
	default:
		delete(b.excluded, id)
		if h != nil { // attempts that connect to it still hold h, and find it closed
			b.hosts[id] = &upstreamHost{addr: h.addr, startedAt: h.startedAt}
		}
	}
}

func (b *upstreams) retire(h *upstreamHost) {
	h.closed = true
	b.closeAll(h)
}

func (b *upstreams) closeAll(h *upstreamHost) {
	for _, c := range h.idle {
		b.drop(c)
	}
	h.idle = nil
}

func (b *upstreams) drop(c *upstreamConn) {
	c.Close()
	b.countConns(-1)
}

// countConns counts connections.
func (b *upstreams) countConns(n int) {
	b.open += n
	b.restart.count(0, n)
}

func (b *upstreams) host(id policy.ServerID) *upstreamHost {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hosts[id]
}

func (b *upstreams) closeIdle(id policy.ServerID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.hosts[id]; h != nil {
		b.closeAll(h)
	}
}

// run retires idle connections until ctx ends, and then closes them all.
func (b *upstreams) run(ctx context.Context) {
	runEvery(ctx, idleSweepInterval, b.sweep)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range b.hosts {
		b.retire(h)
	}
}

func (b *upstreams) sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range b.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if b.usable(c) {
				kept = append(kept, c)
			} else {
				b.drop(c)
			}
		}
		clear(h.idle[len(kept):])
		h.idle = kept
	}
}

// usable reports whether an idle connection may take a request: young enough, not closed by the other side, and
// with nothing on it that belongs to no request. A write to one that the backend has closed would succeed, and
// then leave open whether the request ran.
func (b *upstreams) usable(c *upstreamConn) bool {
	if time.Since(c.idleSince) >= b.idleLimit || c.reader.Buffered() > 0 {
		return false
	}
	still := false
	err := c.raw.Read(func(fd uintptr) bool {
		still = isIdle(int(fd))
		return true
	})
	return err == nil && still
}

// isIdle reports whether nothing has come on a connection, not even its end. It may take a byte of what has.
func isIdle(fd int) bool {
	var one [1]byte
	_, err := syscall.Read(fd, one[:])
	return err == syscall.EAGAIN
}

var (
	errTooManyConns = errors.New("too many connections")
	errHostClosed   = errors.New("the backend drains, is gone or taken out")
)

// takeIdle takes the connection that was used last of those that have rested, or the one that has rested longest. A second
// answer that comes a little after the first would be taken for the answer to what is written next.
func (h *upstreamHost) takeIdle() *upstreamConn {
	n := 0
	for i, c := range h.idle { // the least recently used first
		if time.Since(c.idleSince) >= minIdleReuseTime {
			n = i
		}
	}
	c := h.idle[n]
	h.idle = slices.Delete(h.idle, n, n+1)
	return c
}

// connect takes an idle connection or makes one.
func (b *upstreams) connect(ctx context.Context, h *upstreamHost, deadline time.Time) (*upstreamConn, error) {
	b.mu.Lock()
	if h.closed {
		b.mu.Unlock()
		return nil, errHostClosed
	}
	for len(h.idle) > 0 {
		c := h.takeIdle()
		if b.usable(c) {
			b.mu.Unlock()
			return c, nil
		}
		b.drop(c)
	}
	if b.open+b.restart.backends() >= b.limit && !b.evict() {
		b.mu.Unlock()
		return nil, errTooManyConns
	}
	b.countConns(1)
	d := net.Dialer{Timeout: b.connectTimeout, Deadline: deadline}
	b.mu.Unlock()
	c, err := b.dial(ctx, d, h.addr)
	if err != nil {
		b.mu.Lock()
		b.countConns(-1)
		b.mu.Unlock()
	}
	return c, err
}

// dialTCP makes a connection.
func dialTCP(ctx context.Context, d net.Dialer, addr string) (*upstreamConn, error) {
	made, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	tcp := made.(*net.TCPConn)
	raw, err := tcp.SyscallConn()
	if err != nil {
		tcp.Close()
		return nil, err
	}
	left := &boundedReader{reader: tcp}
	return &upstreamConn{TCPConn: tcp, raw: raw, reader: bufio.NewReader(left), remaining: left, idleSince: time.Now()}, nil
}

// evict makes room at the bound by closing the connection that has been idle longest.
func (b *upstreams) evict() bool {
	var oldest *upstreamHost
	for _, h := range b.hosts {
		if len(h.idle) > 0 && (oldest == nil || h.idle[0].idleSince.Before(oldest.idle[0].idleSince)) {
			oldest = h
		}
	}
	if oldest == nil {
		return false
	}
	b.drop(oldest.idle[0])
	oldest.idle = append(oldest.idle[:0], oldest.idle[1:]...)
	return true
}

// release gives a connection back, for the next request or to be closed.
func (b *upstreams) release(h *upstreamHost, c *upstreamConn, keep bool) {
	if keep {
		keep = c.SetDeadline(time.Time{}) == nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !keep || h.closed {
		b.drop(c)
		return
	}
	c.idleSince, c.reused = time.Now(), true
	h.idle = append(h.idle, c)
}

// closeIfSilent closes a host's idle connections if nothing has come from it since a time: a machine that was cut off
// and is back resets them, and each of them would cost a request.
func (b *upstreams) closeIfSilent(h *upstreamHost, since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.lastAnswerAt.Before(since) {
		b.closeAll(h)
	}
}

func (b *upstreams) isClosed(h *upstreamHost) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return h.closed
}
