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

// client is all clients of the run: they keep their connections, and use them as long as they stay open.
type client struct {
	front Front
	rec   *stub.Recorder
	cross time.Duration
	kept  *http.Transport
	fresh *http.Transport // for what is sent once more, always on a new connection
}

var errNotDealt = errors.New("no new connections are dealt to this node")

func newClient(cross time.Duration, front Front, rec *stub.Recorder) *client {
	c := &client{front: front, rec: rec, cross: cross}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		if !front.Deals(addr) {
			return nil, errNotDealt
		}
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}
	c.kept = &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, DisableCompression: true, DialContext: dial}
	c.fresh = &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dial}
	return c
}

func (c *client) close() { c.kept.CloseIdleConnections() }

// attempt is what was seen of one sending. The transport tells from goroutines of its own.
type attempt struct {
	mu       sync.Mutex
	local    string
	reused   bool
	written  bool
	answered bool
	at       time.Duration // its last byte written
}

func (t *attempt) trace(rec *stub.Recorder) *httptrace.ClientTrace {
	set := func(f func()) { t.mu.Lock(); f(); t.mu.Unlock() }
	return &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			set(func() { t.reused, t.local = i.Reused, i.Conn.LocalAddr().String() })
		},
		GotFirstResponseByte: func() { set(func() { t.answered = true }) },
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			if i.Err == nil {
				set(func() { t.written, t.at = true, rec.Since() })
			}
		}}
}

// send makes one request at a node that the front picks; false where it is dealt to none. A request that the close
// of a kept connection crossed is sent once more on a new one, as PROTOCOL's clients do. A close that comes later did
// not cross it: the node had the request, and lost it.
func (c *client) send(rnd *rand.Rand, id, account string, class Class) (invariants.Sent, bool) {
	c.rec.Sending(id)
	s := invariants.Sent{ID: id, Class: class.Name, Account: account, At: c.rec.Since()}
	tr := c.kept
	for range 8 {
		node, addr, ok := c.front.Pick(rnd)
		if !ok {
			return s, false
		}
		var t attempt
		status, err := c.once(tr, addr, id, account, class, &t)
		if errors.Is(err, errNotDealt) {
			continue
		}
		s.Node, s.Done = node, c.rec.Since()
		t.mu.Lock()
		if t.written {
			s.Taken, s.At = true, t.at
		}
		t.mu.Unlock()
		if err == nil {
			s.Status, s.Err = status, ""
			return s, true
		}
		s.Err = err.Error()
		if t.answered || !broken(err) {
			return s, true
		}
		if t.reused && tr == c.kept && s.Done-s.At <= c.cross && !c.front.Faulted(addr) {
			tr, s.Taken = c.fresh, false
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

// broken says whether the connection ended, as against a wait that is over.
func broken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE) || errors.Is(err, net.ErrClosed) || strings.Contains(err.Error(), "server closed idle connection")
}

func (c *client) once(tr *http.Transport, addr, id, account string, class Class, t *attempt) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), class.TimeLeft+2*time.Second)
	defer cancel()
	// An empty reader that is not NoBody: the same bytes go out, and the transport sends nothing again by itself.
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
