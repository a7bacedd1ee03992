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

// Every way in which an attempt can end after its request was written: which of them prove that it never ran, and
// that no other is followed by a further attempt where that could do harm.
func TestWaysToEnd(t *testing.T) {
	t.Parallel()
	const (
		fin = iota
		reset
		nothing // more comes
	)
	long := "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nX: " + strings.Repeat("x", maxBufferedAnswer-2000) + "\r\n\r\n" + strings.Repeat("y", 4000)
	for name, c := range map[string]struct {
		reply string
		end   int
		code  policy.OutcomeCode
	}{
		"reset":                                {"", reset, policy.Reset},
		"closed":                               {"", fin, policy.Reset},
		"silent":                               {"", nothing, policy.TimedOut},
		"half a status line, reset":            {"HTTP/1.1 20", reset, policy.Reset},
		"half a status line, closed":           {"HTTP/1.1 20", fin, policy.Reset},
		"half a status line":                   {"HTTP/1.1 20", nothing, policy.Reset},
		"malformed":                            {"HTTP/1.1 abc\r\n\r\n", nothing, policy.Reset},
		"interim, then nothing":                {"HTTP/1.1 103 Early Hints\r\n\r\n", nothing, policy.TimedOut},
		"interim, then closed":                 {"HTTP/1.1 100 Continue\r\n\r\n", fin, policy.Reset},
		"interim, then reset":                  {"HTTP/1.1 100 Continue\r\n\r\n", reset, policy.Reset},
		"head, then nothing":                   {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n", nothing, policy.TimedOut},
		"body breaks off":                      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nx", fin, policy.Reset},
		"wrong chunk":                          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nx", nothing, policy.Reset},
		"no last chunk":                        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", fin, policy.Reset},
		"no length, reset":                     {"HTTP/1.1 200 OK\r\n\r\nx", reset, policy.Reset},
		"no length, closed":                    {"HTTP/1.1 200 OK\r\n\r\nx", fin, policy.OK},
		"turned away, too long with its head":  {long, fin, policy.Reset},
		"turned away":                          {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 1\r\n\r\nx", fin, policy.Rejected},
		"turned away, closed":                  {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\n\r\nx", fin, policy.Rejected},
		"turned away, no length, reset":        {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\n\r\nx", reset, policy.Reset},
		"turned away, body breaks off":         {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 2\r\n\r\nx", fin, policy.Reset},
		"turned away, body does not end":       {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 2\r\n\r\nx", nothing, policy.TimedOut},
		"turned away, wrong chunk":             {"HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", nothing, policy.Reset},
		"turned away, head breaks off":         {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\n", fin, policy.Reset},
		"turned away, another mark":            {"HTTP/1.1 503 No\r\nX-Unprocessed: 0\r\nContent-Length: 0\r\n\r\n", fin, policy.ServerError},
		"turned away, but with another status": {"HTTP/1.1 502 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", fin, policy.ServerError},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// The first request of a class to come ends in that way, those after it are served.
			stand := func(came *[3]atomic.Int64) func(net.Conn) {
				return func(conn net.Conn) {
					r := bufio.NewReader(conn)
					for {
						req, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						if io.Copy(io.Discard, req.Body); came[strings.IndexByte("rto", req.URL.Path[1])].Add(1) > 1 {
							io.WriteString(conn, ok("again"))
							continue
						}
						io.WriteString(conn, c.reply)
						switch c.end {
						case nothing:
							io.Copy(io.Discard, conn)
						case reset:
							conn.(*net.TCPConn).SetLinger(0)
						}
						return
					}
				}
			}
			wait := patient
			if c.code == policy.TimedOut || name == "half a status line" {
				wait = 150 * time.Millisecond
			}
			b := newUpstreams(&Config{Settings: settings()}, 10, quiet)
			b.update(known(backend(t, stand(new([3]atomic.Int64)))))
			if r := b.roundTrip(t.Context(), b.host(1), get(wait)); r.code != c.code {
				t.Errorf("outcome %v (%v), want %v", r.code, r.err, c.code)
			}
			never := c.code == policy.Rejected
			var counts [3]atomic.Int64
			serve := stand(&counts)
			n := start(t, &Config{Settings: settings(), Known: known(backend(t, serve), backend(t, serve))})
			for _, class := range []string{"order", "tag", "read"} {
				resp, body := n.ask(t, message(class, fmt.Sprint(min(wait, patient/2).Seconds()), ""))
				came, right := counts[strings.IndexByte("rto", class[0])].Load(), false
				switch status := resp.StatusCode; {
				case came == 0: // rejected by what the others met with
					right = status == 503 && class != "order"
				case c.code == policy.OK:
					right = status == 200 && came == 1
				case status == 200:
					right = body == "again" && came == 2 && (class != "order" || never)
				case status == 504: // the node's own, as the module was late: it says no more than that it failed
					right = wait < patient && came == 1
				case status == 503: // it never ran, or may run again
					right = never || class == "read"
				default:
					right = status == 502 && !never && class != "read" && (class == "tag" || came == 1)
				}
				if !right {
					t.Errorf("%s: status %d, %.40q, %d requests came", class, resp.StatusCode, body, came)
				}
			}
		})
	}
}

// An answer that is held is begun on, and its connection is reset in that moment: it does not end as if it were whole.
func TestResetAsAnAnswerIsBegun(t *testing.T) {
	t.Parallel()
	begun, removed := make(chan struct{}), make(chan struct{})
	addr := backend(t, func(c net.Conn) {
		http.ReadRequest(bufio.NewReader(c))
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nbegun")
		<-begun
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
		close(removed)
	})
	b := newUpstreams(&Config{Settings: settings()}, 10, quiet)
	b.update(known(addr))
	x := get(patient)
	ended := make(chan error, 1)
	x.onStream = func(_ *http.Response, held []byte, rest *io.PipeReader) {
		close(begun)
		<-removed
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
		t.Errorf("what was begun ends with %v, outcome %v (%v)", err, r.code, r.err)
	}
}

// Something that belongs to no request comes between the look at an idle connection and the write: nothing is written to
// it, and the request goes out on another connection.
func TestStaleAnswerBeforeTheWrite(t *testing.T) {
	t.Parallel()
	for _, late := range []string{ok("another's"), "HTTP/1.1 5", ""} {
		conns := make(chan net.Conn, 9)
		addr := backend(t, func(c net.Conn) {
			conns <- c
			answering(func(*http.Request, []byte) string { return ok("its own") })(c)
		})
		b := newUpstreams(&Config{Settings: settings()}, 10, quiet)
		b.update(known(addr))
		h := b.host(1)
		if r := b.roundTrip(t.Context(), h, get(patient)); r.code != policy.OK {
			t.Fatalf("outcome %v (%v)", r.code, r.err)
		}
		first := <-conns
		c, err := b.connect(t.Context(), h, time.Now().Add(patient))
		if err != nil || !c.reused {
			t.Fatalf("not the idle one: %v", err)
		}
		if late == "" {
			first.(*net.TCPConn).CloseWrite()
		} else {
			io.WriteString(first, late)
		}
		for end := time.Now().Add(patient); hasNoUnreadData(c.TCPConn) && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if r := b.exchangeOn(t.Context(), h, c, get(patient)); r.code != policy.ConnectFailed || !errors.Is(r.err, errUnexpectedBytes) {
			t.Errorf("%q: outcome %v (%v), %q", late, r.code, r.err, r.body)
		}
		if r := b.roundTrip(t.Context(), h, get(patient)); r.code != policy.OK || string(r.body) != "its own" {
			t.Errorf("%q: outcome %v (%v), %q", late, r.code, r.err, r.body)
		}
	}
}

// Of idle connections one that has rested goes before one on which an answer ended just now, and else the longest rested.
func TestRestedConnectionsGoFirst(t *testing.T) {
	now := time.Now()
	old, rested := &upstreamConn{idleSince: now.Add(-2 * time.Hour)}, &upstreamConn{idleSince: now.Add(-time.Hour)}
	young, youngest := &upstreamConn{idleSince: now.Add(time.Hour)}, &upstreamConn{idleSince: now.Add(2 * time.Hour)}
	h := &upstreamHost{idle: []*upstreamConn{old, rested, young, youngest}}
	for i, want := range []*upstreamConn{rested, old, young, youngest} {
		if h.takeIdle() != want {
			t.Errorf("connection %d is not the one", i)
		}
	}
}

// After an answer that has no body by its status nothing more goes out on its connection: what it sent as one may come late.
func TestAnswerWithoutBodyEndsConnection(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"101 Switching Protocols", "204 No Content", "304 Not Modified"} {
		let := make(chan struct{})
		addr := backend(t, func(c net.Conn) {
			r := bufio.NewReader(c)
			http.ReadRequest(r)
			io.WriteString(c, "HTTP/1.1 "+status+"\r\nContent-Length: 40\r\n\r\n")
			if _, err := http.ReadRequest(r); err == nil { // with its late body before it, the next answer is another's
				io.WriteString(c, ok("another's"))
			}
			close(let)
		})
		b := newUpstreams(&Config{Settings: settings()}, 10, quiet)
		b.update(known(addr))
		if r := b.roundTrip(t.Context(), b.host(1), get(patient)); r.code != policy.ServerError || len(b.host(1).idle) > 0 {
			t.Errorf("%s: outcome %v (%v), %d connections kept", status, r.code, r.err, len(b.host(1).idle))
		}
		b.update(endpointList{complete: true})
		<-let
	}
}
