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

// clientSide is the part of a node that clients meet. What requests /hold stands in the handler until let goes on.
type clientSide struct {
	*frontend
	l      *clientListener
	srv    *http.Server
	served atomic.Int64 // requests, to their end
	held   chan *clientConn
	let    chan struct{}
	ended  chan error
}

func newClientSide(t *testing.T, limit, slots int) *clientSide {
	t.Helper()
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	c := &Config{Settings: settings()}
	f := newFrontend(newEventLoop(t.Context(), c, newUpstreams(c, 10, quiet), nil, nil, quiet), limit, quiet)
	s := &clientSide{frontend: f, l: newClientListener(tcp, slots, nil, f.connections), srv: f.server(), held: make(chan *clientConn, 9),
		let: make(chan struct{}), ended: make(chan error, 1)}
	s.srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			s.held <- r.Context().Value(connKey{}).(*clientConn)
			<-s.let
			return
		}
		f.ServeHTTP(w, r)
		s.served.Add(1)
	})
	t.Cleanup(func() { s.srv.Close(); s.l.Close() })
	return s
}

func (s *clientSide) serve() { go func() { s.ended <- s.srv.Serve(s.l) }() }

func (s *clientSide) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", s.l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patient))
	return c, bufio.NewReader(c)
}

// rested waits until so many connections are idle, and gives them.
func (s *clientSide) rested(t *testing.T, count int) (idle []net.Conn) {
	t.Helper()
	await(t, "connections at rest", func() bool {
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

const plain = "GET /health/live HTTP/1.1\r\nHost: h\r\n\r\n"

// toEnd reads an answer and then the end, which is no reset.
func toEnd(t *testing.T, r *bufio.Reader, want int) {
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

// What comes between the look at an idle connection and its close is not served, and does not turn the close into a
// reset, which could take the answer before it along.
func TestBytesCrossTheClose(t *testing.T) {
	t.Parallel()
	s := newClientSide(t, 9, 9)
	s.serve()
	c, r := s.dial(t)
	io.WriteString(c, plain)
	s.rested(t, 1)
	s.connections.beforeClose = func(conn net.Conn) {
		io.WriteString(c, strings.Repeat(plain, 1000)) // more than net/http reads at once
		await(t, "bytes in the socket", func() bool { return conn.(*clientConn).hasPendingRequest() && !hasNoUnreadData(conn) })
	}
	s.connections.closeIdle(0)
	toEnd(t, r, http.StatusOK)
	if got := s.served.Load(); got != 1 {
		t.Errorf("%d requests served, want only the one before the close", got)
	}
}

// The next request's first byte may come while an answer is written. Its connection is not idle then, though nothing
// waits in the socket; if no more comes for long, it is.
func TestByteBeforeTheAnswer(t *testing.T) {
	t.Parallel()
	s := newClientSide(t, 9, 9)
	s.serve()
	c, r := s.dial(t)
	io.WriteString(c, strings.Replace(plain, "health/live", "hold", 1))
	conn := <-s.held
	io.WriteString(c, plain[:1])
	await(t, "byte read", conn.hasPipelined.Load)
	close(s.let)
	s.rested(t, 1)
	s.connections.closeIdle(0)
	io.WriteString(c, plain[1:])
	for range 2 {
		if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%+v, %v: the connection was closed on a request", resp, err)
		}
	}
	s.rested(t, 1)
	io.WriteString(c, plain[:1])
	await(t, "byte read", conn.hasPendingRequest)
	conn.lastReadAt.Store(time.Now().Add(-2 * requestHeadTimeout).UnixNano())
	s.connections.closeIdle(0)
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("a request that does not go on keeps its connection: %v", err)
	}
}

// The server's own closes leave bytes unread. Its answer gets through all the same.
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
			s := newClientSide(t, 9, 9)
			c, r := s.dial(t) // it waits in the queue, with all its bytes
			io.WriteString(c, text+strings.Repeat("y", 1<<17))
			s.serve()
			resp, err := http.ReadResponse(r, nil)
			if err != nil || resp.StatusCode < 400 {
				t.Fatalf("%+v, %v", resp, err)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				t.Errorf("the answer is cut: %v", err)
			}
			if _, err := r.ReadByte(); err != io.EOF {
				t.Errorf("after the answer: %v, want its end", err)
			}
			c.Close()
			await(t, "place free", func() bool { return s.connections.open() == 0 && len(s.l.slots) <= 1 })
		})
	}
}

// A connection counts from before Accept returns it, and keeps its place until its descriptor is free: at its peer's
// end, or after a while. What comes in between is dropped.
func TestSlotIsHeldToTheEnd(t *testing.T) {
	t.Parallel()
	for _, ends := range []bool{true, false} {
		s := newClientSide(t, 9, 9)
		c, r := s.dial(t)
		conn, err := s.l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if got := s.connections.open(); got != 1 {
			t.Fatalf("%d connections, not tracked yet, want 1", got)
		}
		conn.Close()
		if _, err := r.ReadByte(); err != io.EOF {
			t.Fatal(err)
		}
		io.WriteString(c, plain)
		if n, err := conn.Read(make([]byte, 9)); n > 0 || !errors.Is(err, net.ErrClosed) {
			t.Errorf("read %d bytes after the close, %v", n, err)
		}
		if got := len(s.l.slots); got != 1 {
			t.Errorf("%d places taken, want 1", got)
		}
		if ends {
			c.Close()
		}
		await(t, "place free", func() bool { return s.connections.open() == 0 && len(s.l.slots) == 0 })
	}
}

// A connection that waits for its peer's end holds its place, but brings no request: for its sake none is rejected.
func TestEndedConnectionsAreNotOverLimit(t *testing.T) {
	t.Parallel()
	s := newClientSide(t, 1, 9)
	for range 3 {
		s.dial(t)
		conn, err := s.l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		s.connections.mu.Lock()
		s.connections.limit = 9 // the wait is the long one
		s.connections.mu.Unlock()
		conn.Close()
	}
	s.connections.mu.Lock()
	s.connections.limit = 1
	s.connections.mu.Unlock()
	s.dial(t)
	if _, err := s.l.Accept(); err != nil {
		t.Fatal(err)
	}
	if s.connections.overLimit() {
		t.Errorf("one client and three that have been ended are a crowd, with room for one")
	}
}

// Once all places are taken nobody is accepted. Connections that are idle for long enough are closed all the same.
func TestFullNodeFreesASlot(t *testing.T) {
	t.Parallel()
	s := newClientSide(t, 2, 3)
	s.serve()
	for range 2 {
		c, _ := s.dial(t)
		io.WriteString(c, plain)
	}
	s.rested(t, 2)
	third, _ := s.dial(t) // it takes the last place
	io.WriteString(third, strings.Replace(plain, "health/live", "hold", 1))
	<-s.held
	defer close(s.let)
	c, r := s.dial(t)
	io.WriteString(c, plain)
	idle := s.rested(t, 2)
	s.connections.mu.Lock()
	for _, conn := range idle {
		s.connections.idle[conn] = time.Now().Add(-minIdleTime) // they came all at once, and that time has passed now
	}
	s.connections.mu.Unlock()
	if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("%+v, %v: kept out by idle connections", resp, err)
	}
}

// Each arrival beyond the bound closes an idle one at once, also right after another one: no request is rejected as long as there
// are connections that have rested long enough.
func TestEachArrivalFreesASlot(t *testing.T) {
	t.Parallel()
	c := newConnections(2)
	var conns [4]net.Conn
	for i := range conns {
		conns[i], _ = net.Pipe()
		c.accepted()
		if i < 2 {
			c.idle[conns[i]] = time.Now().Add(-2 * minIdleTime)
		}
		if c.overLimit() {
			t.Errorf("a crowd at arrival %d", i)
		}
	}
	if !c.ended[conns[0]] || !c.ended[conns[1]] {
		t.Errorf("shed: %v", c.ended)
	}
}
