package node

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// frontendOnly is a frontend with its listener and HTTP server, whose event loop does not run. A request for /hold waits in the
// handler until release is closed.
type frontendOnly struct {
	*frontend
	listener *clientListener
	srv      *http.Server
	served   atomic.Int64 // number of requests that the frontend has served to their end
	held     chan *clientConn
	release  chan struct{}
	ended    chan error
}

func newFrontendOnly(t *testing.T, limit, slots int) *frontendOnly {
	t.Helper()
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	c := &Config{Settings: settings()}
	f := newFrontend(newEventLoop(t.Context(), c, newUpstreams(c, 10, discardLog), nil, nil, discardLog), limit, discardLog)
	s := &frontendOnly{frontend: f, listener: newClientListener(tcp, slots, nil, f.connections), srv: f.server(), held: make(chan *clientConn, 9),
		release: make(chan struct{}), ended: make(chan error, 1)}
	s.srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			s.held <- r.Context().Value(connKey{}).(*clientConn)
			<-s.release
			return
		}
		f.ServeHTTP(w, r)
		s.served.Add(1)
	})
	t.Cleanup(func() { s.srv.Close(); s.listener.Close() })
	return s
}

func (s *frontendOnly) serve() { go func() { s.ended <- s.srv.Serve(s.listener) }() }

func (s *frontendOnly) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c, bufio.NewReader(c)
}

// awaitIdle waits until the given number of connections are idle, and returns them.
func (s *frontendOnly) awaitIdle(t *testing.T, count int) (idle []net.Conn) {
	t.Helper()
	await(t, "idle connections", func() bool {
		s.connections.mu.Lock()
		defer s.connections.mu.Unlock()
		idle = idle[:0]
		for conn := range s.connections.idle {
			idle = append(idle, conn)
		}
		return len(idle) == count
	})
	return idle
}

const liveRequest = "GET /health/live HTTP/1.1\r\nHost: h\r\n\r\n"

// readAnswerAndEnd reads an answer of the wanted status and then the end of the connection, which must not be a reset.
func readAnswerAndEnd(t *testing.T, r *bufio.Reader, want int) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Errorf("no answer: %v", err)
		return
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != want {
		t.Errorf("status %d, want %d, %v", resp.StatusCode, want, err)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("after the answer: %v, want its end", err)
	}
}

// Bytes that come between the check of an idle connection and its close are not served. They must not turn the close into a
// reset either, which could destroy the answer before it.
func TestBytesCrossTheClose(t *testing.T) {
	t.Parallel()
	s := newFrontendOnly(t, 9, 9)
	s.serve()
	c, r := s.dial(t)
	io.WriteString(c, liveRequest)
	s.awaitIdle(t, 1)
	s.connections.beforeClose = func(conn net.Conn) {
		io.WriteString(c, strings.Repeat(liveRequest, 1000)) // more than net/http reads at once
		await(t, "bytes in the socket", func() bool { return conn.(*clientConn).hasPendingRequest() && !hasNoUnreadData(conn) })
	}
	s.connections.closeIdle(0)
	readAnswerAndEnd(t, r, http.StatusOK)
	if got := s.served.Load(); got != 1 {
		t.Errorf("%d requests served, want only the one before the close", got)
	}
}

// The first byte of the next request may come while an answer is written. The connection then is not idle, although its socket
// has no unread bytes. It counts as idle again if no more bytes come for a long time.
func TestByteBeforeTheAnswer(t *testing.T) {
	t.Parallel()
	s := newFrontendOnly(t, 9, 9)
	s.serve()
	c, r := s.dial(t)
	io.WriteString(c, strings.Replace(liveRequest, "health/live", "hold", 1))
	conn := <-s.held
	io.WriteString(c, liveRequest[:1])
	await(t, "the byte to be read during the request", conn.hasPipelined.Load)
	close(s.release)
	s.awaitIdle(t, 1)
	s.connections.closeIdle(0)
	io.WriteString(c, liveRequest[1:])
	for range 2 {
		if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%+v, %v: the connection was closed on a request", resp, err)
		}
	}
	s.awaitIdle(t, 1)
	io.WriteString(c, liveRequest[:1])
	await(t, "the byte to be read on the idle connection", conn.hasPendingRequest)
	conn.lastReadAt.Store(time.Now().Add(-2 * requestHeadTimeout).UnixNano())
	s.connections.closeIdle(0)
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("a request of which no more bytes come keeps its connection open: %v", err)
	}
}

// net/http closes some connections with bytes unread. Its answer has to reach the client all the same, and not be destroyed by
// a reset.
func TestErrorBeforeUnreadBytes(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{
		"no request":       "nonsense\r\n\r\n",
		"a bad request":    "GET /nowhere HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		"an unread body":   "POST /order HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\n",
		"a head too large": "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 2*maxHeaderBytes),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFrontendOnly(t, 9, 9)
			c, r := s.dial(t) // waits in the accept queue until all its bytes have been sent
			io.WriteString(c, text+strings.Repeat("y", 1<<17))
			s.serve()
			resp, err := http.ReadResponse(r, nil)
			if err != nil || resp.StatusCode < 400 {
				t.Fatalf("%+v, %v", resp, err)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				t.Errorf("the answer is truncated: %v", err)
			}
			if _, err := r.ReadByte(); err != io.EOF {
				t.Errorf("after the answer: %v, want its end", err)
			}
			c.Close()
			await(t, "the slot to be free", func() bool { return s.connections.open() == 0 && len(s.listener.slots) <= 1 })
		})
	}
}

// A connection is counted before Accept returns it, and keeps its slot until its descriptor is free, which is at the peer's
// end or after lingerTimeout. Bytes that come in between are dropped.
func TestSlotIsHeldToTheEnd(t *testing.T) {
	t.Parallel()
	for _, ends := range []bool{true, false} {
		s := newFrontendOnly(t, 9, 9)
		c, r := s.dial(t)
		conn, err := s.listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if got := s.connections.open(); got != 1 {
			t.Fatalf("%d connections are counted before net/http reports any, want 1", got)
		}
		conn.Close()
		if _, err := r.ReadByte(); err != io.EOF {
			t.Fatal(err)
		}
		io.WriteString(c, liveRequest)
		if n, err := conn.Read(make([]byte, 9)); n > 0 || !errors.Is(err, net.ErrClosed) {
			t.Errorf("read %d bytes after the close, %v", n, err)
		}
		if got := len(s.listener.slots); got != 1 {
			t.Errorf("%d slots taken, want 1", got)
		}
		if ends {
			c.Close()
		}
		await(t, "the slot to be free", func() bool { return s.connections.open() == 0 && len(s.listener.slots) == 0 })
	}
}

// A connection that the node has ended and that waits for its peer's end holds its slot, but carries no request. No request is
// rejected because of it.
func TestEndedConnectionsAreNotOverLimit(t *testing.T) {
	t.Parallel()
	s := newFrontendOnly(t, 1, 9)
	for range 3 {
		s.dial(t)
		conn, err := s.listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		s.connections.mu.Lock()
		s.connections.limit = 9 // within the limit the wait is lingerTimeout and not shortLingerTimeout
		s.connections.mu.Unlock()
		conn.Close()
	}
	s.connections.mu.Lock()
	s.connections.limit = 1
	s.connections.mu.Unlock()
	s.dial(t)
	if _, err := s.listener.Accept(); err != nil {
		t.Fatal(err)
	}
	if s.connections.overLimit() {
		t.Errorf("over the limit of 1 with one open connection and three that the node has ended")
	}
}

// Once all slots are taken no connection is accepted. Connections that have been idle for minIdleTime are closed all the same,
// and free their slots.
func TestFullNodeFreesASlot(t *testing.T) {
	t.Parallel()
	s := newFrontendOnly(t, 2, 3)
	s.serve()
	for range 2 {
		c, _ := s.dial(t)
		io.WriteString(c, liveRequest)
	}
	s.awaitIdle(t, 2)
	third, _ := s.dial(t) // takes the last slot
	io.WriteString(third, strings.Replace(liveRequest, "health/live", "hold", 1))
	<-s.held
	defer close(s.release)
	c, r := s.dial(t)
	io.WriteString(c, liveRequest)
	idle := s.awaitIdle(t, 2)
	s.connections.mu.Lock()
	for _, conn := range idle {
		s.connections.idle[conn] = time.Now().Add(-minIdleTime) // as if that time had passed since they became idle
	}
	s.connections.mu.Unlock()
	if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("%+v, %v: idle connections keep a new client out", resp, err)
	}
}

// Each accept above the limit closes an idle connection at once, also right after another accept. No request is rejected as long
// as some connections have been idle for minIdleTime.
func TestEachArrivalFreesASlot(t *testing.T) {
	t.Parallel()
	c := newConnections(2)
	var conns [4]net.Conn
	for i := range conns {
		conns[i], _ = net.Pipe()
		c.connAccepted()
		if i < 2 {
			c.idle[conns[i]] = time.Now().Add(-2 * minIdleTime)
		}
		if c.overLimit() {
			t.Errorf("over the limit after accept %d", i)
		}
	}
	if !c.ended[conns[0]] || !c.ended[conns[1]] {
		t.Errorf("ended connections: %v, want the two idle ones", c.ended)
	}
}
