package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"meadowsill/policy"
)

// Every way in which an attempt can end after its request was written. Some of them prove that the request never ran; after
// the others no further attempt is made if the request is not safe to repeat.
func TestAttemptEndings(t *testing.T) {
	t.Parallel()
	const (
		fin = iota
		reset
		stayOpen // the server sends no more and keeps the connection
	)
	long := "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nX: " + strings.Repeat("x", maxBufferedAnswer-2000) + "\r\n\r\n" + strings.Repeat("y", 4000)
	for name, c := range map[string]struct {
		reply string
		end   int
		code  policy.OutcomeCode
	}{
		"reset":                      {"", reset, policy.Reset},
		"closed":                     {"", fin, policy.Reset},
		"silent":                     {"", stayOpen, policy.TimedOut},
		"half a status line, reset":  {"HTTP/1.1 20", reset, policy.Reset},
		"half a status line, closed": {"HTTP/1.1 20", fin, policy.Reset},
		"half a status line":         {"HTTP/1.1 20", stayOpen, policy.Reset},
		"malformed":                  {"HTTP/1.1 abc\r\n\r\n", stayOpen, policy.Reset},
		"interim, then nothing":      {"HTTP/1.1 103 Early Hints\r\n\r\n", stayOpen, policy.TimedOut},
		"interim, then closed":       {"HTTP/1.1 100 Continue\r\n\r\n", fin, policy.Reset},
		"interim, then reset":        {"HTTP/1.1 100 Continue\r\n\r\n", reset, policy.Reset},
		"head, then nothing":         {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n", stayOpen, policy.TimedOut},
		"body breaks off":            {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nx", fin, policy.Reset},
		"wrong chunk":                {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nx", stayOpen, policy.Reset},
		"no last chunk":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", fin, policy.Reset},
		"no length, reset":           {"HTTP/1.1 200 OK\r\n\r\nx", reset, policy.Reset},
		"no length, closed":          {"HTTP/1.1 200 OK\r\n\r\nx", fin, policy.OK},
		"marked as rejected, too long with its head": {long, fin, policy.Reset},
		"marked as rejected":                         {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 1\r\n\r\nx", fin, policy.Rejected},
		"marked as rejected, closed":                 {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\n\r\nx", fin, policy.Rejected},
		"marked as rejected, no length, reset":       {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\n\r\nx", reset, policy.Reset},
		"marked as rejected, body breaks off":        {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 2\r\n\r\nx", fin, policy.Reset},
		"marked as rejected, body does not end":      {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 2\r\n\r\nx", stayOpen, policy.TimedOut},
		"marked as rejected, wrong chunk":            {"HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", stayOpen, policy.Reset},
		"marked as rejected, head breaks off":        {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\n", fin, policy.Reset},
		"marked otherwise, rejected status":          {"HTTP/1.1 503 No\r\nX-Unprocessed: 0\r\nContent-Length: 0\r\n\r\n", fin, policy.ServerError},
		"marked as rejected, other status":           {"HTTP/1.1 502 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", fin, policy.ServerError},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// The first request of each class ends in the way of the test case, and later ones are served.
			serveFailing := func(received *[3]atomic.Int64) func(net.Conn) {
				return func(conn net.Conn) {
					r := bufio.NewReader(conn)
					for {
						req, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						if io.Copy(io.Discard, req.Body); received[strings.IndexByte("rto", req.URL.Path[1])].Add(1) > 1 {
							io.WriteString(conn, ok("again"))
							continue
						}
						io.WriteString(conn, c.reply)
						switch c.end {
						case stayOpen:
							io.Copy(io.Discard, conn)
						case reset:
							conn.(*net.TCPConn).SetLinger(0)
						}
						return
					}
				}
			}
			timeout := testTimeout
			if c.code == policy.TimedOut || name == "half a status line" {
				timeout = 150 * time.Millisecond
			}
			b := newUpstreams(&Config{Settings: settings()}, 10, discardLog)
			b.update(readyServers(startServer(t, serveFailing(new([3]atomic.Int64)))))
			if r := b.roundTrip(t.Context(), b.host(1), get(timeout)); r.code != c.code {
				t.Errorf("outcome %v (%v), want %v", r.code, r.err, c.code)
			}
			neverRan := c.code == policy.Rejected
			var counts [3]atomic.Int64
			serve := serveFailing(&counts)
			n := start(t, &Config{Settings: settings(), Known: readyServers(startServer(t, serve), startServer(t, serve))})
			for _, class := range []string{"order", "tag", "read"} {
				resp, body := n.doRequest(t, requestText(class, fmt.Sprint(min(timeout, testTimeout/2).Seconds()), ""))
				received, valid := counts[strings.IndexByte("rto", class[0])].Load(), false
				switch status := resp.StatusCode; {
				case received == 0: // the module rejected it because of the failures of the classes before
					valid = status == 503 && class != "order"
				case c.code == policy.OK:
					valid = status == 200 && received == 1
				case status == 200:
					valid = body == "again" && received == 2 && (class != "order" || neverRan)
				case status == 504: // the frontend's own answer if the module was late: it only states that the request failed
					valid = timeout < testTimeout && received == 1
				case status == 503: // the request never ran, or is safe to repeat
					valid = neverRan || class == "read"
				default:
					valid = status == 502 && !neverRan && class != "read" && (class == "tag" || received == 1)
				}
				if !valid {
					t.Errorf("%s: status %d, %.40q, the servers received %d requests", class, resp.StatusCode, body, received)
				}
			}
		})
	}
}

// The server's connection is reset at the moment at which the node begins to relay a buffered answer. The relayed answer must
// end with an error, and not as if it were complete.
func TestResetAsAnAnswerIsBegun(t *testing.T) {
	t.Parallel()
	begun, reset := make(chan struct{}), make(chan struct{})
	addr := startServer(t, func(c net.Conn) {
		http.ReadRequest(bufio.NewReader(c))
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nbegun")
		<-begun
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
		close(reset)
	})
	b := newUpstreams(&Config{Settings: settings()}, 10, discardLog)
	b.update(readyServers(addr))
	x := get(testTimeout)
	ended := make(chan error, 1)
	x.onStream = func(_ *http.Response, held []byte, rest *io.PipeReader) {
		close(begun)
		<-reset
		go func() {
			more, err := io.ReadAll(rest)
			if string(held)+string(more) != "begun" {
				err = fmt.Errorf("%q, then %q", held, more)
			}
			ended <- err
		}()
	}
	r := b.roundTrip(t.Context(), b.host(1), x)
	if err := <-ended; err == nil || r.code != policy.Reset {
		t.Errorf("the relayed answer ends with %v, outcome %v (%v)", err, r.code, r.err)
	}
}

// Bytes that belong to no request, or the server's end, come between the check of an idle connection and the write. The request
// is not written to that connection but sent on another one.
func TestStaleAnswerBeforeTheWrite(t *testing.T) {
	t.Parallel()
	for _, late := range []string{ok("another's"), "HTTP/1.1 5", ""} {
		conns := make(chan net.Conn, 9)
		addr := startServer(t, func(c net.Conn) {
			conns <- c
			answerWith(func(*http.Request, []byte) string { return ok("its own") })(c)
		})
		b := newUpstreams(&Config{Settings: settings()}, 10, discardLog)
		b.update(readyServers(addr))
		h := b.host(1)
		if r := b.roundTrip(t.Context(), h, get(testTimeout)); r.code != policy.OK {
			t.Fatalf("outcome %v (%v)", r.code, r.err)
		}
		first := <-conns
		c, err := b.connect(t.Context(), h, time.Now().Add(testTimeout))
		if err != nil || !c.reused {
			t.Fatalf("connect did not return the idle connection: %v", err)
		}
		if late == "" {
			first.(*net.TCPConn).CloseWrite()
		} else {
			io.WriteString(first, late)
		}
		for end := time.Now().Add(testTimeout); hasNoUnreadData(c.TCPConn) && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if r := b.exchangeOn(t.Context(), h, c, get(testTimeout)); r.code != policy.ConnectFailed || !errors.Is(r.err, errUnexpectedBytes) {
			t.Errorf("%q: outcome %v (%v), %q", late, r.code, r.err, r.body)
		}
		if r := b.roundTrip(t.Context(), h, get(testTimeout)); r.code != policy.OK || string(r.body) != "its own" {
			t.Errorf("%q: outcome %v (%v), %q", late, r.code, r.err, r.body)
		}
	}
}

// The most recently used of the connections that have been idle for minIdleReuseTime is taken first. Connections on which an
// answer has ended just now come last, the longest idle one first.
func TestTakeIdleOrder(t *testing.T) {
	now := time.Now()
	old, rested := &upstreamConn{idleSince: now.Add(-2 * time.Hour)}, &upstreamConn{idleSince: now.Add(-time.Hour)}
	young, youngest := &upstreamConn{idleSince: now.Add(time.Hour)}, &upstreamConn{idleSince: now.Add(2 * time.Hour)}
	h := &upstreamHost{idle: []*upstreamConn{old, rested, young, youngest}}
	for i, want := range []*upstreamConn{rested, old, young, youngest} {
		if h.takeIdle() != want {
			t.Errorf("call %d: takeIdle returned the wrong connection", i)
		}
	}
}

// After an answer whose status allows no body, its connection is not reused: the server may still send a body, and the node
// would read it as the next answer.
func TestAnswerWithoutBodyEndsConnection(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"101 Switching Protocols", "204 No Content", "304 Not Modified"} {
		done := make(chan struct{})
		addr := startServer(t, func(c net.Conn) {
			r := bufio.NewReader(c)
			http.ReadRequest(r)
			io.WriteString(c, "HTTP/1.1 "+status+"\r\nContent-Length: 40\r\n\r\n")
			if _, err := http.ReadRequest(r); err == nil { // the late body, which the node would take for the next answer
				io.WriteString(c, ok("another's"))
			}
			close(done)
		})
		b := newUpstreams(&Config{Settings: settings()}, 10, discardLog)
		b.update(readyServers(addr))
		if r := b.roundTrip(t.Context(), b.host(1), get(testTimeout)); r.code != policy.ServerError || len(b.host(1).idle) > 0 {
			t.Errorf("%s: outcome %v (%v), %d connections kept", status, r.code, r.err, len(b.host(1).idle))
		}
		b.update(endpointList{complete: true})
		<-done
	}
}
