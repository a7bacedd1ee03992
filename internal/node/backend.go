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
	bodyLimit   = 64 << 10      // bytes of a body, either way
	answerLimit = 4 * bodyLimit // with its header and framing
	sweepEvery  = time.Second
	idlePart    = 0.75 // of the time after which a backend closes an idle connection: well before, it is retired
	probeWait   = 500 * time.Millisecond
	restWait    = 20 * time.Millisecond // of a connection after an answer, if another can take the next request
)

// backends holds the connections to all backends. Each carries one request at a time; the most recently used
// goes first, of those that have rested. It does not use http.Transport, which sends some requests again by itself.
type backends struct {
	mu             sync.Mutex
	hosts          map[policy.ServerID]*host
	out            map[policy.ServerID]bool // taken out by the operators, listed or not
	open, limit    int                      // connections, also those being made
	restart        *hotRestart              // the other process of an upgrade
	connectTimeout time.Duration
	idleLimit      time.Duration
	dial           func(context.Context, net.Dialer, string) (*conn, error)
	log            *slog.Logger
}

// host is one backend. The fields are under the lock of backends.
type host struct {
	addr    string
	started policy.Time
	closed  bool    // it drains, is gone or taken out: nothing new is written to it
	idle    []*conn // the least recently used first
	heard   time.Time
}

type conn struct {
	*net.TCPConn
	raw   syscall.RawConn
	r     *bufio.Reader
	left  *limited  // under r: what may still come on one answer
	since time.Time // made, or idle since
	used  bool      // a request was on it
}

// limited reads no more than is left, and then fails: where a close ends an answer, a bound that looked like the end
// would pass its beginning off as the whole.
type limited struct {
	r io.Reader
	n int64
}

var errTooLarge = errors.New("the answer is too large")

func (l *limited) Read(p []byte) (int, error) {
	if l.n <= 0 {
		return 0, errTooLarge
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.n)])
	l.n -= int64(n)
	return n, err
}

func newBackends(c *Config, limit int, log *slog.Logger) *backends {
	b := &backends{hosts: map[policy.ServerID]*host{}, out: map[policy.ServerID]bool{}, limit: limit, dial: dialTCP, log: log}
	b.configure(c.Settings)
	return b
}

func (b *backends) configure(s policy.Settings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.connectTimeout, b.idleLimit = s.ConnectTimeout, time.Duration(float64(s.ConnIdleTimeout)*idlePart)
	if b.idleLimit <= 0 {
		b.idleLimit = time.Minute
	}
}

// update follows the list. Connections of an address or a process that is no more are closed: a request on one
// of them would be a reset.
func (b *backends) update(l list) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.full {
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
		if h != nil && (e.State != policy.Ready || h.addr != e.addr || e.StartedAt > h.started) {
			b.retire(h)
			delete(b.hosts, e.ID) // attempts that connect to it still hold h, and find it closed
			h = nil
		}
		if h == nil && e.State == policy.Ready {
			b.hosts[e.ID] = &host{addr: e.addr, started: e.StartedAt, closed: b.out[e.ID]}
		}
	}
}

// exclude takes a server out or back, whatever the list says of it.
func (b *backends) exclude(id policy.ServerID, out bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h, was := b.hosts[id], b.out[id]
	switch {
	case out == was:
	case out:
		b.out[id] = true
		if h != nil {
			b.retire(h)
		}
	default:
		delete(b.out, id)
		if h != nil { // attempts that connect to it still hold h, and find it closed
			b.hosts[id] = &host{addr: h.addr, started: h.started}
		}
	}
}

func (b *backends) retire(h *host) {
	h.closed = true
	b.closeAll(h)
}

func (b *backends) closeAll(h *host) {
	for _, c := range h.idle {
		b.drop(c)
	}
	h.idle = nil
}

func (b *backends) drop(c *conn) {
	c.Close()
	b.opened(-1)
}

// opened counts connections.
func (b *backends) opened(n int) {
	b.open += n
	b.restart.count(0, n)
}

func (b *backends) find(id policy.ServerID) *host {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hosts[id]
}

func (b *backends) closeIdle(id policy.ServerID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.hosts[id]; h != nil {
		b.closeAll(h)
	}
}

// run retires idle connections until ctx ends, and then closes them all.
func (b *backends) run(ctx context.Context) {
	every(ctx, sweepEvery, b.sweep)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range b.hosts {
		b.retire(h)
	}
}

func (b *backends) sweep() {
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
func (b *backends) usable(c *conn) bool {
	if time.Since(c.since) >= b.idleLimit || c.r.Buffered() > 0 {
		return false
	}
	still := false
	err := c.raw.Read(func(fd uintptr) bool {
		still = nothingCame(int(fd))
		return true
	})
	return err == nil && still
}

// nothingCame reports whether nothing has come on a connection, not even its end. It may take a byte of what has.
func nothingCame(fd int) bool {
	var one [1]byte
	_, err := syscall.Read(fd, one[:])
	return err == syscall.EAGAIN
}

var (
	errTooMany = errors.New("too many connections")
	errClosed  = errors.New("the backend drains, is gone or taken out")
)

// takeIdle takes the connection that was used last of those that have rested, or the one that has rested longest. A second
// answer that comes a little after the first would be taken for the answer to what is written next.
func (h *host) takeIdle() *conn {
	n := 0
	for i, c := range h.idle { // the least recently used first
		if time.Since(c.since) >= restWait {
			n = i
		}
	}
	c := h.idle[n]
	h.idle = slices.Delete(h.idle, n, n+1)
	return c
}

// connect takes an idle connection or makes one.
func (b *backends) connect(ctx context.Context, h *host, deadline time.Time) (*conn, error) {
	b.mu.Lock()
	if h.closed {
		b.mu.Unlock()
		return nil, errClosed
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
		return nil, errTooMany
	}
	b.opened(1)
	d := net.Dialer{Timeout: b.connectTimeout, Deadline: deadline}
	b.mu.Unlock()
	c, err := b.dial(ctx, d, h.addr)
	if err != nil {
		b.mu.Lock()
		b.opened(-1)
		b.mu.Unlock()
	}
	return c, err
}

// dialTCP makes a connection.
func dialTCP(ctx context.Context, d net.Dialer, addr string) (*conn, error) {
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
	left := &limited{r: tcp}
	return &conn{TCPConn: tcp, raw: raw, r: bufio.NewReader(left), left: left, since: time.Now()}, nil
}

// evict makes room at the bound by closing the connection that has been idle longest.
func (b *backends) evict() bool {
	var oldest *host
	for _, h := range b.hosts {
		if len(h.idle) > 0 && (oldest == nil || h.idle[0].since.Before(oldest.idle[0].since)) {
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
func (b *backends) release(h *host, c *conn, keep bool) {
	if keep {
		keep = c.SetDeadline(time.Time{}) == nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !keep || h.closed {
		b.drop(c)
		return
	}
	c.since, c.used = time.Now(), true
	h.idle = append(h.idle, c)
}

// silent closes a host's idle connections if nothing has come from it since a time: a machine that was cut off
// and is back resets them, and each of them would cost a request.
func (b *backends) silent(h *host, since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.heard.Before(since) {
		b.closeAll(h)
	}
}

func (b *backends) closing(h *host) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return h.closed
}
