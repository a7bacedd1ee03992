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

// dialTimeout is the timeout of a connection attempt, the same as that of the agent command.
const dialTimeout = 2 * time.Second

// requestPrefixes are the first bytes of a request of each kind of call. A connection carries one call at a time, and net/http
// starts each request with a new write. Therefore the bytes of a connection belong to the call whose request line was written last.
var requestPrefixes = []struct {
	prefix string
	call   Call
}{
	{"GET /fleet/v1/intent", CallIntent},
	{"GET /registry/instances", CallList},
	{"POST /fleet/v1/report", CallReport},
	{"POST /registry/v1/", CallRegister},
}

// deltaPrefix is the first bytes of a request with a report delta.
const deltaPrefix = "POST /fleet/v1/report/difference"

// sockets counts the traffic of all connections of the process, by kind of call.
type sockets struct {
	counts      map[Call]*counter // filled by newSockets, read-only afterwards
	failures    atomic.Uint64
	reportBytes atomic.Uint64
	// number of report deltas, and bytes of their bodies
	reportDeltas     atomic.Uint64
	reportDeltaBytes atomic.Uint64
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

// traffic returns the counts so far, by kind of call.
func (s *sockets) traffic() map[Call]Traffic {
	all := map[Call]Traffic{}
	for call, c := range s.counts {
		all[call] = Traffic{Calls: c.calls.Load(), BytesIn: c.in.Load(), BytesOut: c.out.Load()}
	}
	return all
}

// connections are the open connections of one owner, such as a node or a worker of the registrants. They are closed when the owner
// is stopped.
type connections struct {
	sockets *sockets
	mu      sync.Mutex
	open    map[*countedConn]bool
	ended   bool
}

func (s *sockets) connections() *connections {
	return &connections{sockets: s, open: map[*countedConn]bool{}}
}

// dial opens a counted connection. The agents and the registrants' HTTP clients use it as their dial function.
func (c *connections) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	inner, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		c.recordFailure()
		return nil, err
	}
	return c.add(inner), nil
}

// add returns a connection that counts the traffic of inner. If the owner has been stopped, add closes the connection.
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

// close closes every connection, as the end of a killed process does, and prevents new ones.
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

// recordFailure counts a failed call, unless the owner has been stopped.
func (c *connections) recordFailure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.sockets.failures.Add(1)
	}
}

// countedConn is a connection that counts its bytes by kind of call and checks the status of the answers.
type countedConn struct {
	net.Conn
	owner *connections

	mu             sync.Mutex
	count          *counter // counter for the kind of the current or last call; nil before the first call
	awaitingAnswer bool     // no byte of the answer to the current call has been read

	// report says that the current or last call is a report; delta says that it is a report delta.
	report bool
	delta  bool
}

// Write counts the bytes sent. A write that starts with one of the requestPrefixes starts a new call.
func (c *countedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	body := b
	for _, line := range requestPrefixes {
		if bytes.HasPrefix(b, []byte(line.prefix)) {
			c.count = c.owner.sockets.counts[line.call]
			c.report = line.call == CallReport
			c.awaitingAnswer = true
			c.count.calls.Add(1)
			if c.delta = bytes.HasPrefix(b, []byte(deltaPrefix)); c.delta {
				c.owner.sockets.reportDeltas.Add(1)
			}
			_, body, _ = bytes.Cut(b, []byte("\r\n\r\n"))
			break
		}
	}
	count := c.count
	report := c.report
	delta := c.delta
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if count != nil {
		count.out.Add(uint64(n))
	}
	if report && err == nil {
		c.owner.sockets.reportBytes.Add(uint64(len(body)))
		if delta {
			c.owner.sockets.reportDeltaBytes.Add(uint64(len(body)))
		}
	}
	return n, err
}

// Read counts the bytes received. The first bytes after a request are the answer's status line. The call has failed if they are not
// the status line of a success, or if the connection ends before them.
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

// isSuccess reports whether the first bytes of an answer have a status below 400.
func isSuccess(first []byte) bool {
	_, after, _ := bytes.Cut(first, []byte(" "))
	status, err := strconv.Atoi(string(after[:min(3, len(after))]))
	return err == nil && status < 400
}

// Close closes the connection and removes it from its owner's open connections.
func (c *countedConn) Close() error {
	c.untrack()
	return c.Conn.Close()
}

func (c *countedConn) untrack() {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	delete(c.owner.open, c)
}
