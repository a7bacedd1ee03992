package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"meadowsill/policy"
)

// The outcome for each kind of answer from a server, and the status that the client gets: a non-idempotent request is rejected
// with 503 only if it has never run.
func TestOutcomes(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		reply  string
		status int
		code   policy.OutcomeCode
	}{
		"served":             {ok("x"), 200, policy.OK},
		"chunked":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", 200, policy.OK},
		"interim":            {"HTTP/1.1 103 Early Hints\r\n\r\n" + ok("x"), 200, policy.OK},
		"error":              {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", 502, policy.ServerError},
		"503 without mark":   {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", 502, policy.ServerError},
		"marked as rejected": {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", 503, policy.Rejected},
		"too late":           {"HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", 503, policy.Rejected},
		"500 with mark":      {"HTTP/1.1 500 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", 502, policy.ServerError},
		"silent close":       {"", 502, policy.Reset},
		"garbage":            {"\x00\x01 what\r\n\r\n", 502, policy.Reset},
		"truncated":          {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nx", 502, policy.Reset},
		"truncated chunk":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nx", 502, policy.Reset},
		"ended by a close":   {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nx", 200, policy.OK},
		"huge header":        {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1<<20) + "\r\nContent-Length: 1\r\n\r\nx", 502, policy.Reset},
		"long":               {ok(strings.Repeat("x", maxBufferedBody+1)), 200, policy.OK},
		"too large":          {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", maxLongBody+1), 502, policy.Reset},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := startServer(t, func(conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					io.WriteString(conn, c.reply)
				}
			})
			b := newUpstreams(&Config{Settings: settings()}, 10, discardLog)
			b.update(readyServers(addr))
			x := get(testTimeout)
			x.onStream = func(_ *http.Response, _ []byte, rest *io.PipeReader) { go io.Copy(io.Discard, rest) }
			if r := b.roundTrip(t.Context(), b.host(1), x); r.code != c.code {
				t.Errorf("outcome %v (%v), want %v", r.code, r.err, c.code)
			}
			n := start(t, &Config{Settings: settings(), Known: readyServers(addr)})
			if resp, _ := n.doRequest(t, requestText("order", "9.5", "")); resp.StatusCode != c.status {
				t.Errorf("status %d, want %d", resp.StatusCode, c.status)
			}
		})
	}
}

func get(wait time.Duration) *exchange {
	return &exchange{method: "GET", url: &url.URL{Path: "/read", Host: "h"}, deadline: time.Now().Add(wait)}
}

// A request on a connection that breaks is sent once. If the HTTP library retried it, the module would not know of that
// attempt.
func TestNoHiddenResend(t *testing.T) {
	t.Parallel()
	var got atomic.Int64
	addr := startServer(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		for n := 0; ; n++ {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			got.Add(1)
			if n == 1 {
				return
			}
			io.WriteString(c, ok("x"))
		}
	})
	n := start(t, &Config{Settings: settings(), Known: readyServers(addr)})
	for i, want := range []int{200, 503} {
		if resp, _ := n.doRequest(t, requestText("read", "9.5", "")); resp.StatusCode != want {
			t.Errorf("request %d: status %d, want %d", i, resp.StatusCode, want)
		}
	}
	if got.Load() != 2 {
		t.Errorf("the server received %d requests, want 2", got.Load())
	}
}

// No request is written to a connection that the server has closed while it was idle.
func TestIdleClosedByBackend(t *testing.T) {
	t.Parallel()
	closed := make(chan struct{}, 9)
	addr := startServer(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			io.WriteString(c, ok("x"))
		}
		c.Close()
		closed <- struct{}{}
	})
	n := start(t, &Config{Settings: settings(), Known: readyServers(addr)})
	for range 5 {
		if resp, _ := n.doRequest(t, requestText("order", "9.5", "")); resp.StatusCode != 200 {
			t.Fatalf("status %d", resp.StatusCode)
		}
		<-closed
	}
}

// A client of a server that never answers gets its answer by the end of its own timeout. The answer is a rejection only if a
// retry does no harm: the request was not sent, or its class is safe to repeat.
func TestSilentBackend(t *testing.T) {
	t.Parallel()
	for class, whenSent := range map[string]int{"read": 503, "tag": 502, "order": 502} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			// On a busy machine the request may not be written within its timeout, or the module may be so late that the
			// frontend answers the overdue request by itself. The test then tries again, until a request has been sent and
			// answered in time. Each try has a node of its own: a third failure in a row would eject the server
			// (TestEjectedServerGetsNoNonIdempotentRequest).
			for end := time.Now().Add(testTimeout); time.Now().Before(end); {
				status, received := askSilentBackend(t, class)
				want := whenSent
				if received == 0 {
					want = http.StatusServiceUnavailable
				}
				overdue := status == http.StatusGatewayTimeout
				if received > 1 || status != want && !overdue {
					t.Fatalf("status %d, want %d; the server received %d requests, want 1 at most", status, want, received)
				}
				if received == 1 && !overdue {
					return
				}
			}
			t.Error("no request was both sent and answered in time")
		})
	}
}

// askSilentBackend sends a request to a new node whose only server never answers. It returns the status of the node's answer and
// how many requests the server received. The server accepts no connection until the node has ended: the kernel keeps the bytes
// that were sent to it, and queues the connections in the order in which they were made.
func askSilentBackend(t *testing.T, class string) (status, received int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	n := start(t, &Config{Settings: settings(), Known: readyServers(listener.Addr().String())})
	resp, _ := n.doRequest(t, requestText(class, "0.4", ""))
	n.stop()
	<-n.ended
	last, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer last.Close()
	for {
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if conn.RemoteAddr().String() == last.LocalAddr().String() {
			return resp.StatusCode, received
		}
		for r := bufio.NewReader(conn); ; received++ {
			if _, _, err := readCompleteRequest(r); err != nil {
				break
			}
		}
	}
}

// A non-idempotent request is never used as a trial request for an ejected server. If there is no other server it is rejected
// without having been sent.
func TestEjectedServerGetsNoNonIdempotentRequest(t *testing.T) {
	t.Parallel()
	var received atomic.Int64
	addr := startServer(t, func(conn net.Conn) { // the server closes each connection at its first request
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			received.Add(1)
		}
	})
	n := start(t, &Config{Settings: settings(), Known: readyServers(addr)})
	for range 3 { // failures in a row: the policy's maxConsecutiveFailures
		if resp, _ := n.doRequest(t, requestText("read", "9.5", "")); resp.StatusCode != 503 {
			t.Fatalf("read: status %d, want 503", resp.StatusCode)
		}
	}
	failed := received.Load()
	resp, _ := n.doRequest(t, requestText("order", "9.5", ""))
	if resp.StatusCode != 503 || failed != 3 || received.Load() != failed {
		t.Errorf("order: status %d, want 503; the server received %d reads, want 3, and %d orders, want 0",
			resp.StatusCode, failed, received.Load()-failed)
	}
}

// A change that comes while an attempt connects still counts: nothing is written.
func TestChecksAgainBeforeWriting(t *testing.T) {
	t.Parallel()
	var got atomic.Int64
	addr := startServer(t, answerWith(func(*http.Request, []byte) string { got.Add(1); return ok("x") }))
	fresh := func() (*upstreams, *upstreamHost) {
		b := newUpstreams(&Config{Settings: settings()}, 10, discardLog)
		b.update(readyServers(addr))
		return b, b.host(1)
	}
	for name, c := range map[string]struct {
		change func(*upstreams, *exchange, context.CancelFunc)
		want   policy.OutcomeCode
	}{
		"draining": {func(b *upstreams, _ *exchange, _ context.CancelFunc) {
			l := readyServers(addr)
			l.complete, l.entries[0].State = false, policy.Draining
			b.update(l)
		}, policy.ConnectFailed},
		"removed from the list": {func(b *upstreams, _ *exchange, _ context.CancelFunc) { b.update(endpointList{complete: true}) }, policy.ConnectFailed},
		"restarted": {func(b *upstreams, _ *exchange, _ context.CancelFunc) {
			l := readyServers(addr)
			l.entries[0].StartedAt = 1
			b.update(l)
		}, policy.ConnectFailed},
		"window over":       {func(_ *upstreams, x *exchange, _ context.CancelFunc) { x.writeBy = time.Now() }, policy.NotSent},
		"too late":          {func(_ *upstreams, x *exchange, _ context.CancelFunc) { x.deadline = time.Now() }, policy.ConnectFailed},
		"attempt cancelled": {func(_ *upstreams, _ *exchange, cancel context.CancelFunc) { cancel() }, policy.Cancelled},
	} {
		b, h := fresh()
		// There is an idle connection, so that connect succeeds even after the deadline.
		c1, err := b.connect(t.Context(), h, time.Now().Add(testTimeout))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		x := get(testTimeout)
		b.release(h, c1, true)
		c.change(b, x, cancel)
		if r := b.roundTrip(ctx, h, x); r.code != c.want {
			t.Errorf("%s: outcome %v (%v), want %v", name, r.code, r.err, c.want)
		}
		cancel()
		b.update(endpointList{complete: true})
		if b.open != 0 {
			t.Errorf("%s: %d connections left", name, b.open)
		}
	}
	if got.Load() > 0 {
		t.Errorf("the server received %d requests", got.Load())
	}
}

// An attempt whose connection is refused never ran. The limit on connections is kept, by closing idle ones first.
func TestConnect(t *testing.T) {
	t.Parallel()
	addr := startServer(t, answerWith(func(*http.Request, []byte) string { return ok("x") }))
	other := startServer(t, answerWith(func(*http.Request, []byte) string { return ok("x") }))
	rejected, err := net.Dial("tcp", addr) // its local port is bound and has no listener, so that connections to it are refused
	if err != nil {
		t.Fatal(err)
	}
	defer rejected.Close()
	b := newUpstreams(&Config{Settings: settings()}, 1, discardLog)
	b.update(readyServers(addr, other, rejected.LocalAddr().String()))
	for i, want := range map[policy.ServerID]policy.OutcomeCode{1: policy.OK, 2: policy.OK, 3: policy.ConnectFailed, 4: policy.ConnectFailed} {
		if r := b.roundTrip(t.Context(), b.host(i), get(testTimeout)); r.code != want {
			t.Errorf("server %d: %v (%v)", i, r.code, r.err)
		}
	}
	held, err := b.connect(t.Context(), b.host(1), time.Now().Add(testTimeout))
	if err != nil {
		t.Fatal(err)
	}
	if r := b.roundTrip(t.Context(), b.host(2), get(testTimeout)); r.code != policy.ConnectFailed {
		t.Errorf("above the limit on connections: %v", r.code)
	}
	b.release(b.host(1), held, true)
	b.closeIdle(1)
	if b.open != 0 {
		t.Errorf("%d connections left", b.open)
	}
}

// A server from which nothing came until an attempt timed out may have been cut off from the network, so its idle connections
// are closed. If it has answered another request in the meantime, they are kept.
func TestSilenceClosesIdle(t *testing.T) {
	t.Parallel()
	addr := startServer(t, func(c net.Conn) { io.Copy(io.Discard, c) })
	for answered, want := range map[bool]int{false: 0, true: 1} {
		b := newUpstreams(&Config{Settings: settings()}, 10, discardLog)
		b.update(readyServers(addr))
		h := b.host(1)
		var conns [2]*upstreamConn
		for i := range conns {
			var err error
			if conns[i], err = b.connect(t.Context(), h, time.Now().Add(testTimeout)); err != nil {
				t.Fatal(err)
			}
		}
		for _, c := range conns {
			b.release(h, c, true)
		}
		if answered {
			h.lastAnswerAt = time.Now().Add(testTimeout)
		}
		if r := b.roundTrip(t.Context(), h, get(time.Second)); r.code != policy.TimedOut {
			t.Errorf("outcome %v (%v)", r.code, r.err)
		}
		if len(h.idle) != want {
			t.Errorf("answered in the meantime: %v; %d idle connections kept, want %d", answered, len(h.idle), want)
		}
		b.update(endpointList{complete: true})
	}
}
