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
	maxBufferedBody    = 64 << 10            // bytes of a body, of a request or an answer
	maxBufferedAnswer  = 4 * maxBufferedBody // bytes of an answer with its header and framing
	idleSweepInterval  = time.Second
	idleTimeoutPart    = 0.75 // fraction of a server's idle timeout after which the node closes the connection, well before the server does
	healthCheckTimeout = 500 * time.Millisecond
	minIdleReuseTime   = 20 * time.Millisecond // since the last answer on a connection; before that, others are preferred
)

// upstreams is the pool of connections to all app servers. Each connection carries one request at a time. Of those that have
// been idle for minIdleReuseTime, the most recently used one is taken first. The pool does not use http.Transport, which
// resends some requests by itself.
type upstreams struct {
	mu             sync.Mutex // guards hosts, excluded, open, connectTimeout, idleLimit, and the fields of every host
	hosts          map[policy.ServerID]*upstreamHost
	excluded       map[policy.ServerID]bool // servers that the operators exclude, listed or not
	open           int                      // number of connections, including those being made
	limit          int
	restart        *hotRestart // counts the connections of the other process of an upgrade
	connectTimeout time.Duration
	idleLimit      time.Duration // after which an idle connection is not used any more
	dial           func(context.Context, net.Dialer, string) (*upstreamConn, error)
	log            *slog.Logger
}

// upstreamHost is one app server. upstreams.mu guards its fields.
type upstreamHost struct {
	addr         string
	startedAt    policy.Time
	closed       bool            // the server drains, is removed or is excluded: no request is begun on a connection to it
	idle         []*upstreamConn // the least recently used first
	lastAnswerAt time.Time
}

type upstreamConn struct {
	*net.TCPConn
	raw       syscall.RawConn
	reader    *bufio.Reader
	remaining *boundedReader // reader reads from it; bounds the bytes of one answer
	idleSince time.Time      // when the connection was made, or became idle last
	reused    bool           // the connection has carried a request before
}

// boundedReader fails once it has read the given number of bytes. It does not return io.EOF then: an answer without a length
// ends with its connection, and a truncated one would be taken for complete.
type boundedReader struct {
	reader    io.Reader
	remaining int64 // bytes that may still be read
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

// configure applies the timeouts of the settings.
func (b *upstreams) configure(s policy.Settings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.connectTimeout, b.idleLimit = s.ConnectTimeout, time.Duration(float64(s.ConnIdleTimeout)*idleTimeoutPart)
	if b.idleLimit <= 0 {
		b.idleLimit = time.Minute
	}
}

// update applies an endpoint list. It closes the connections to servers that are not ready any more or have another address
// or a later start: a request on one of these connections would end in a reset.
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
			delete(b.hosts, e.ID) // attempts that are connecting still use h, and see that it is closed
			h = nil
		}
		if h == nil && e.State == policy.Ready {
			b.hosts[e.ID] = &upstreamHost{addr: e.addr, startedAt: e.StartedAt, closed: b.excluded[e.ID]}
		}
	}
}

// exclude excludes a server, or ends its exclusion if out is false, whatever its state in the endpoint list is.
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
		if h != nil { // a new host, as attempts that are connecting still use h and have to see that it is closed
			b.hosts[id] = &upstreamHost{addr: h.addr, startedAt: h.startedAt}
		}
	}
}

// retire closes a host and its idle connections. The caller holds mu.
func (b *upstreams) retire(h *upstreamHost) {
	h.closed = true
	b.closeAll(h)
}

// closeAll closes the idle connections of a host. The caller holds mu.
func (b *upstreams) closeAll(h *upstreamHost) {
	for _, c := range h.idle {
		b.drop(c)
	}
	h.idle = nil
}

// drop closes a connection and stops counting it. The caller holds mu.
func (b *upstreams) drop(c *upstreamConn) {
	c.Close()
	b.countConns(-1)
}

// countConns adds n to the number of connections, also in the counts that the other process of an upgrade sees. The caller
// holds mu.
func (b *upstreams) countConns(n int) {
	b.open += n
	b.restart.count(0, n)
}

func (b *upstreams) host(id policy.ServerID) *upstreamHost {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hosts[id]
}

// closeIdle closes the idle connections to a server.
func (b *upstreams) closeIdle(id policy.ServerID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.hosts[id]; h != nil {
		b.closeAll(h)
	}
}

// run closes connections that have become unusable until ctx ends, and then closes all hosts with their idle connections.
func (b *upstreams) run(ctx context.Context) {
	runEvery(ctx, idleSweepInterval, b.sweep)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range b.hosts {
		b.retire(h)
	}
}

// sweep closes the idle connections that are not usable any more.
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

// usable reports whether an idle connection can carry a request: it has been idle for less than idleLimit, the server has not
// closed it, and no bytes have come on it that belong to no request. A write to a connection that the server has closed would
// succeed, and it would then be unknown whether the request ran.
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

// isIdle reports whether the socket holds no unread bytes and no unread end of the connection. If there are bytes it consumes
// one of them.
func isIdle(fd int) bool {
	var one [1]byte
	_, err := syscall.Read(fd, one[:])
	return err == syscall.EAGAIN
}

var (
	errTooManyConns = errors.New("too many connections")
	errHostClosed   = errors.New("the app server is draining, removed or excluded")
)

// takeIdle removes and returns the most recently used of the connections that have been idle for minIdleReuseTime, or the
// longest idle one if there are none. A second, unrequested answer may come shortly after the first; on a connection that is
// reused at once it would be taken for the answer to the next request.
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

// connect returns a usable idle connection to a host, or makes a new one.
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

// dialTCP makes a connection to the given address.
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

// evict closes the connection that has been idle longest, to free a slot at the limit. It returns false if none is idle. The
// caller holds mu.
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

// release returns a connection after an exchange. It keeps the connection for the next request if keep is true and the host
// is not closed, and closes it otherwise.
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

// closeIfSilent closes a host's idle connections if no answer has come from it since the given time. The machine may be cut
// off from the network; when it is back it resets the connections, and each of them would cost a request.
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
