package load

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"meadowsill/internal/invariants"
	"meadowsill/internal/lab/stub"
)

// client sends the requests of all clients of the run. Clients keep their connections and use them as long as they stay open.
type client struct {
	front       Front
	rec         *stub.Recorder
	crossWindow time.Duration
	pooled      *http.Transport
	unpooled    *http.Transport // for requests that are sent once more, always on a new connection
}

var errNoNewConns = errors.New("the front routes no new connections to this node")

func newClient(crossWindow time.Duration, front Front, rec *stub.Recorder) *client {
	c := &client{front: front, rec: rec, crossWindow: crossWindow}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		if !front.RoutesNewConns(addr) {
			return nil, errNoNewConns
		}
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}
	c.pooled = &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, DisableCompression: true, DialContext: dial}
	c.unpooled = &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dial}
	return c
}

func (c *client) close() { c.pooled.CloseIdleConnections() }

// attempt records what was seen of one attempt. The transport reports from goroutines of its own, so mu guards the fields.
type attempt struct {
	mu        sync.Mutex
	local     string
	reused    bool
	written   bool
	answered  bool
	writtenAt time.Duration // when the request's last byte was written
}

func (a *attempt) trace(rec *stub.Recorder) *httptrace.ClientTrace {
	set := func(f func()) { a.mu.Lock(); f(); a.mu.Unlock() }
	return &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			set(func() { a.reused, a.local = i.Reused, i.Conn.LocalAddr().String() })
		},
		GotFirstResponseByte: func() { set(func() { a.answered = true }) },
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			if i.Err == nil {
				set(func() { a.written, a.writtenAt = true, rec.Since() })
			}
		}}
}

// send sends one request to a node that the front picks, and returns false if the front routes it to none. If the close of a
// reused connection crossed the request, send sends the request once more on a new connection, as PROTOCOL's clients do. A close
// that came later did not cross the request: the node had received the request and lost it.
func (c *client) send(rnd *rand.Rand, id, account string, class Class) (invariants.Sent, bool) {
	c.rec.Sending(id)
	s := invariants.Sent{ID: id, Class: class.Name, Account: account, At: c.rec.Since()}
	tr := c.pooled
	for range 8 {
		node, addr, ok := c.front.Pick(rnd)
		if !ok {
			return s, false
		}
		var t attempt
		status, err := c.roundTrip(tr, addr, id, account, class, &t)
		if errors.Is(err, errNoNewConns) {
			continue
		}
		s.Node, s.Done = node, c.rec.Since()
		t.mu.Lock()
		if t.written {
			s.Taken, s.At = true, t.writtenAt
		}
		t.mu.Unlock()
		if err == nil {
			s.Status, s.Err = status, ""
			return s, true
		}
		s.Err = err.Error()
		if t.answered || !connectionEnded(err) {
			return s, true
		}
		if t.reused && tr == c.pooled && s.Done-s.At <= c.crossWindow && !c.front.Faulted(addr) {
			tr, s.Taken = c.unpooled, false
			continue
		}
		if !t.reused && c.front.Refused(addr, t.local) {
			s.Taken, s.Err = false, "refused: "+s.Err
		}
		s.Closed = !t.reused
		return s, true
	}
	return s, s.Err != ""
}

// connectionEnded reports whether err means that the connection ended, in contrast to a timeout.
func connectionEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE) || errors.Is(err, net.ErrClosed) || strings.Contains(err.Error(), "server closed idle connection")
}

func (c *client) roundTrip(tr *http.Transport, addr, id, account string, class Class, t *attempt) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), class.TimeLeft+2*time.Second)
	defer cancel()
	// The body is an empty reader and not http.NoBody: the bytes sent are the same, but the transport does not retry by itself.
	method, body := http.MethodGet, io.MultiReader()
	if class.Post {
		method, body = http.MethodPost, strings.NewReader("order "+id)
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, t.trace(c.rec)), method, "http://"+addr+"/"+class.Name, body)
	if err != nil {
		return 0, err
	}
	req.Header.Set("X-Correlation-Id", id)
	req.Header.Set("X-Account", account)
	req.Header.Set("X-Time-Left", strconv.FormatFloat(class.TimeLeft.Seconds(), 'f', 3, 64))
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}
