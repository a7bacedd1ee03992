package hollow

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// dialTimeout is that of the agent's command.
const dialTimeout = 2 * time.Second

// requestLines are the beginnings of the requests of each kind of call. A connection carries one call at a time, and net/http
// begins a call's request with a write of its own: so the kind of a connection's bytes is that of the last such write.
var requestPrefixes = []struct {
	prefix string
	call   Call
}{
	{"GET /fleet/v1/intent", CallIntent},
	{"GET /registry/instances", CallList},
	{"POST /fleet/v1/report", CallReport},
	{"POST /registry/v1/", CallRegister},
}

// differenceLine begins the request of a report that is sent as a difference.
const differencePrefix = "POST /fleet/v1/report/difference"

// sockets counts what goes over every connection of the process, by kind of call.
type sockets struct {
	counts      map[Call]*counter // made at the start, read only
	failures    atomic.Uint64
	reportBytes atomic.Uint64
	// of them, those sent as differences
	differences     atomic.Uint64
	differenceBytes atomic.Uint64
}

type counter struct {
	calls atomic.Uint64
	in    atomic.Uint64
	out   atomic.Uint64
}

func newSockets() *sockets {
	s := &sockets{counts: map[Call]*counter{}}
	for _, line := range requestPrefixes {
		s.counts[line.call] = &counter{}
	}
	return s
}

// traffic is what was counted so far.
func (s *sockets) traffic() map[Call]Traffic {
	all := map[Call]Traffic{}
	for call, c := range s.counts {
		all[call] = Traffic{Calls: c.calls.Load(), BytesIn: c.in.Load(), BytesOut: c.out.Load()}
	}
	return all
}

// connections are those of one owner, a node's run or a worker of the servers: they are cut off when it ends.
type connections struct {
	sockets *sockets
	mu      sync.Mutex
	open    map[*countedConn]bool
	ended   bool
}

func (s *sockets) connections() *connections {
	return &connections{sockets: s, open: map[*countedConn]bool{}}
}

// dial makes a counted connection; it is the Dial of the agents and of the servers' clients.
func (c *connections) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	inner, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		c.recordFailure()
		return nil, err
	}
	return c.add(inner), nil
}

// add has a connection counted. Where the owner has ended it is closed.
func (c *connections) add(inner net.Conn) *countedConn {
	conn := &countedConn{Conn: inner, owner: c}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		inner.Close()
		return conn
	}
	c.open[conn] = true
	return conn
}

// close cuts every connection, as a killed process does, and lets no further one come.
func (c *connections) close() {
	c.mu.Lock()
	c.ended = true
	open := c.open
	c.open = map[*countedConn]bool{}
	c.mu.Unlock()
	for conn := range open {
		conn.Conn.Close()
	}
}

// failed counts a call that failed, unless its owner has ended.
func (c *connections) recordFailure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.sockets.failures.Add(1)
	}
}

// countedConn counts its bytes, and reads the requests' first lines and the answers' status.
type countedConn struct {
	net.Conn
	owner *connections

	mu             sync.Mutex
	count          *counter // of the call that is open, or was last; nil before the first
	awaitingAnswer bool     // no answer to it has begun

	// That call is a report, and sent as a difference.
	report     bool
	difference bool
}

// Write counts what is sent. A write that begins with a request line begins a call.
func (c *countedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	body := b
	for _, line := range requestPrefixes {
		if bytes.HasPrefix(b, []byte(line.prefix)) {
			c.count = c.owner.sockets.counts[line.call]
			c.report = line.call == CallReport
			c.awaitingAnswer = true
			c.count.calls.Add(1)
			if c.difference = bytes.HasPrefix(b, []byte(differencePrefix)); c.difference {
				c.owner.sockets.differences.Add(1)
			}
			_, body, _ = bytes.Cut(b, []byte("\r\n\r\n"))
			break
		}
	}
	count := c.count
	report := c.report
	difference := c.difference
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if count != nil {
		count.out.Add(uint64(n))
	}
	if report && err == nil {
		c.owner.sockets.reportBytes.Add(uint64(len(body)))
		if difference {
			c.owner.sockets.differenceBytes.Add(uint64(len(body)))
		}
	}
	return n, err
}

// Read counts what comes. The first bytes after a request are the answer's status line; a connection that ends in their place
// is a failed call.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	count, first := c.count, c.awaitingAnswer && (n > 0 || err != nil)
	if first {
		c.awaitingAnswer = false
	}
	c.mu.Unlock()
	if count != nil {
		count.in.Add(uint64(n))
	}
	if first && !isSuccess(b[:n]) {
		c.owner.recordFailure()
	}
	if err != nil && !errors.Is(err, io.EOF) {
		c.untrack()
	}
	return n, err
}

// answersWell says whether an answer's first bytes tell of success.
func isSuccess(first []byte) bool {
	_, after, _ := bytes.Cut(first, []byte(" "))
	status, err := strconv.Atoi(string(after[:min(3, len(after))]))
	return err == nil && status < 400
}

// Close ends the connection.
func (c *countedConn) Close() error {
	c.untrack()
	return c.Conn.Close()
}

func (c *countedConn) untrack() {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	delete(c.owner.open, c)
}
