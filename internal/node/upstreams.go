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
	maxBufferedBody     = 64 << 10            // bytes of a body, of a request or an answer
	maxBufferedAnswer   = 4 * maxBufferedBody // bytes of an answer with its header and framing
	idleSweepInterval   = time.Second
	idleTimeoutFraction = 0.75     // fraction of a server's idle timeout after which the node closes the connection, well before the server does
	maxHealthAnswer     = 16 << 10 // bytes of the answer to a health check
	healthCheckTimeout  = 500 * time.Millisecond
	minIdleReuseTime    = 20 * time.Millisecond // since the last answer on a connection; before that, others are preferred
)

// upstreams is the pool of connections to all app servers. Each connection carries one request at a time. Of those that have
// been idle for minIdleReuseTime, the most recently used one is taken first. The pool does not use http.Transport, which
// resends some requests by itself.
type upstreams struct {
	mu       sync.Mutex // guards hosts, excluded, open, connectTimeout, idleLimit, and the fields of every host
	hosts    map[policy.ServerID]*upstreamHost
	excluded map[policy.ServerID]bool // servers that the operators exclude, listed or not
	// number of connections, including those being made
	open           int
	limit          int
	memory         *memoryBudget
	restart        *hotRestart // counts the connections of the other process of an upgrade
	connectTimeout time.Duration
	idleLimit      time.Duration
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
	raw         syscall.RawConn
	reader      *bufio.Reader
	answerLimit *boundedReader // reader reads from it; bounds the bytes of one answer
	idleSince   time.Time      // when the connection was made, or became idle last
	reused      bool           // the connection has carried a request before
}

// boundedReader fails once it has read the given number of bytes. It does not return io.EOF then: an answer without a length
// ends with its connection, and a truncated one would be taken for complete.
type boundedReader struct {
	reader    io.Reader
	remaining int64
}

var errTooLarge = errors.New("the answer is too large")

// Read reads at most as many bytes as remain, and fails once none do.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errTooLarge
	}
	n, err := r.reader.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	return n, err
}

// newUpstreams returns an empty pool that makes at most limit connections.
func newUpstreams(c *Config, limit int, log *slog.Logger) *upstreams {
	u := &upstreams{hosts: map[policy.ServerID]*upstreamHost{}, excluded: map[policy.ServerID]bool{}, limit: limit, dial: dialTCP, log: log}
	u.configure(c.Settings)
	return u
}

// configure applies the settings that concern connections to app servers.
func (u *upstreams) configure(s policy.Settings) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.connectTimeout, u.idleLimit = s.ConnectTimeout, time.Duration(float64(s.ConnIdleTimeout)*idleTimeoutFraction)
	if u.idleLimit <= 0 {
		u.idleLimit = time.Minute
	}
}

// update applies an endpoint list. It closes the connections to servers that are not ready any more or have another address
// or a later start: a request on one of these connections would end in a reset.
func (u *upstreams) update(l endpointList) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if l.complete {
		listed := map[policy.ServerID]bool{}
		for _, e := range l.entries {
			listed[e.ID] = true
		}
		for id, h := range u.hosts {
			if !listed[id] {
				u.closeHost(h)
				delete(u.hosts, id)
			}
		}
	}
	for _, e := range l.entries {
		h := u.hosts[e.ID]
		if h != nil && (e.State != policy.Ready || h.addr != e.addr || e.StartedAt > h.startedAt) {
			u.closeHost(h)
			delete(u.hosts, e.ID) // attempts that are connecting still use h, and see that it is closed
			h = nil
		}
		if h == nil && e.State == policy.Ready {
			u.hosts[e.ID] = &upstreamHost{addr: e.addr, startedAt: e.StartedAt, closed: u.excluded[e.ID]}
		}
	}
}

// setExcluded excludes a server, or ends its exclusion if isExcluded is false, whatever its state in the endpoint list is.
func (u *upstreams) setExcluded(id policy.ServerID, isExcluded bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	h, wasExcluded := u.hosts[id], u.excluded[id]
	switch {
	case isExcluded == wasExcluded:
	case isExcluded:
		u.excluded[id] = true
		if h != nil {
			u.closeHost(h)
		}
	default:
		delete(u.excluded, id)
		if h != nil { // a new host, as attempts that are connecting still use h and have to see that it is closed
			u.hosts[id] = &upstreamHost{addr: h.addr, startedAt: h.startedAt}
		}
	}
}

// closeHost ends the use of a host, whose attempts under way go on. The caller holds mu.
func (u *upstreams) closeHost(h *upstreamHost) {
	h.closed = true
	u.closeAllIdle(h)
}

// closeAllIdle closes the idle connections to a host. The caller holds mu.
func (u *upstreams) closeAllIdle(h *upstreamHost) {
	for _, c := range h.idle {
		u.drop(c)
	}
	h.idle = nil
}

// drop closes a connection and stops counting it. The caller holds mu.
func (u *upstreams) drop(c *upstreamConn) {
	c.Close()
	u.countConns(-1)
}

// countConns adds n to the number of connections, also in the counts that the other process of an upgrade sees. The caller
// holds mu.
func (u *upstreams) countConns(n int) {
	u.open += n
	u.memory.add(serverConnMemory, int64(n)*serverConnBytes)
	u.restart.count(0, n)
}

// host returns an app server by its id, or nil if the endpoint list has no ready server of that id.
func (u *upstreams) host(id policy.ServerID) *upstreamHost {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.hosts[id]
}

// closeIdle closes the idle connections to a server.
func (u *upstreams) closeIdle(id policy.ServerID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if h := u.hosts[id]; h != nil {
		u.closeAllIdle(h)
	}
}

// run closes connections that have become unusable until ctx ends, and then closes all hosts with their idle connections.
func (u *upstreams) run(ctx context.Context) {
	runEvery(ctx, idleSweepInterval, u.sweep)
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, h := range u.hosts {
		u.closeHost(h)
	}
}

// sweep closes the idle connections that can't carry a request any more.
func (u *upstreams) sweep() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, h := range u.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if u.usable(c) {
				kept = append(kept, c)
			} else {
				u.drop(c)
			}
		}
		clear(h.idle[len(kept):])
		h.idle = kept
	}
}

// usable reports whether an idle connection can carry a request: it has been idle for less than idleLimit, the server has not
// closed it, and no bytes have come on it that belong to no request. A write to a connection that the server has closed would
// succeed, and it would then be unknown whether the request ran.
func (u *upstreams) usable(c *upstreamConn) bool {
	if time.Since(c.idleSince) >= u.idleLimit || c.reader.Buffered() > 0 {
		return false
	}
	idle := false
	err := c.raw.Read(func(fd uintptr) bool {
		idle = isIdle(int(fd))
		return true
	})
	return err == nil && idle
}

// isIdle reports whether the socket holds no unread bytes and no unread end of the connection. If there are bytes it consumes
// one of them.
func isIdle(fd int) bool {
	var buf [1]byte
	_, err := syscall.Read(fd, buf[:])
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
func (u *upstreams) connect(ctx context.Context, h *upstreamHost, deadline time.Time) (*upstreamConn, error) {
	u.mu.Lock()
	if h.closed {
		u.mu.Unlock()
		return nil, errHostClosed
	}
	for len(h.idle) > 0 {
		c := h.takeIdle()
		if u.usable(c) {
			u.mu.Unlock()
			return c, nil
		}
		u.drop(c)
	}
	if u.open+u.restart.serverConns() >= u.limit && !u.evict() {
		u.mu.Unlock()
		return nil, errTooManyConns
	}
	u.countConns(1)
	d := net.Dialer{Timeout: u.connectTimeout, Deadline: deadline}
	u.mu.Unlock()
	c, err := u.dial(ctx, d, h.addr)
	if err != nil {
		u.mu.Lock()
		u.countConns(-1)
		u.mu.Unlock()
	}
	return c, err
}

// dialTCP makes a connection to the given address.
func dialTCP(ctx context.Context, d net.Dialer, addr string) (*upstreamConn, error) {
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	tcp := conn.(*net.TCPConn)
	raw, err := tcp.SyscallConn()
	if err != nil {
		tcp.Close()
		return nil, err
	}
	bounded := &boundedReader{reader: tcp}
	return &upstreamConn{TCPConn: tcp, raw: raw, reader: bufio.NewReader(bounded), answerLimit: bounded, idleSince: time.Now()}, nil
}

// evict closes the connection that has been idle longest, to free a slot at the limit. It returns false if none is idle. The
// caller holds mu.
func (u *upstreams) evict() bool {
	var oldest *upstreamHost
	for _, h := range u.hosts {
		if len(h.idle) > 0 && (oldest == nil || h.idle[0].idleSince.Before(oldest.idle[0].idleSince)) {
			oldest = h
		}
	}
	if oldest == nil {
		return false
	}
	u.drop(oldest.idle[0])
	oldest.idle = append(oldest.idle[:0], oldest.idle[1:]...)
	return true
}

// release returns a connection after an exchange. It keeps the connection for the next request if keep is true and the host
// is not closed, and closes it otherwise.
func (u *upstreams) release(h *upstreamHost, c *upstreamConn, keep bool) {
	if keep {
		keep = c.SetDeadline(time.Time{}) == nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if !keep || h.closed {
		u.drop(c)
		return
	}
	c.idleSince, c.reused = time.Now(), true
	h.idle = append(h.idle, c)
}

// closeIfSilent closes a host's idle connections if no answer has come from it since the given time. The machine may be cut
// off from the network; when it is back it resets the connections, and each of them would cost a request.
func (u *upstreams) closeIfSilent(h *upstreamHost, since time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if h.lastAnswerAt.Before(since) {
		u.closeAllIdle(h)
	}
}

// isClosed reports whether no request may be begun on connections to the host.
func (u *upstreams) isClosed(h *upstreamHost) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return h.closed
}
