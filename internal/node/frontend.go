package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"starlingvalve/decide"
)

const (
	// requestWait is for a request's head, from its connection's start or its first bytes on. Peers that send no
	// request are owed an end within 3 s of connecting, and each holds a client's place until then.
	requestWait   = 2200 * time.Millisecond
	writeWait     = 5 * time.Second // for the client to take its answer
	idleWait      = 2 * time.Minute
	idleLeast     = 2 * time.Second // a client may count on its connection for so long
	emptyEvery    = 100 * time.Millisecond
	otherWait     = 2 * time.Millisecond // for a client of the other process to go
	headerLimit   = 16 << 10
	patienceLimit = time.Hour // no client waits longer
	// answerMargin is kept from a client's patience: an answer has to get to it and be read by then.
	answerMargin = 10 * time.Millisecond
	busyHoldOff  = 500 * time.Millisecond // what a client is told that the node itself has no room for
)

// frontend serves clients.
type frontend struct {
	loop      *loop
	log       *slog.Logger
	listening atomic.Bool   // for clients
	draining  atomic.Bool   // the process ends
	closing   chan struct{} // closed when the drain takes no more
	emptied   atomic.Bool   // by the operators, until they want it back
	open      atomic.Int64  // requests
	maxOpen   int64
	conns     *connections
}

func newFrontend(l *loop, maxConns int, log *slog.Logger) *frontend {
	f := &frontend{loop: l, log: log, closing: make(chan struct{}), maxOpen: int64(maxConns),
		conns: &connections{limit: maxConns, idle: map[net.Conn]time.Time{}, shed: map[net.Conn]bool{}}}
	return f
}

func (f *frontend) server() *http.Server {
	return &http.Server{Handler: f, ReadHeaderTimeout: requestWait, IdleTimeout: idleWait, MaxHeaderBytes: headerLimit,
		ConnState: f.conns.track, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		}, ErrorLog: slog.NewLogLogger(f.log.Handler(), slog.LevelDebug)}
}

// unready tells why clients are not to come, or nothing if they may.
func (f *frontend) unready() string {
	switch {
	case f.draining.Load():
		return "the process ends"
	case f.emptied.Load():
		return "evacuated"
	case !f.loop.able.Load() || !f.listening.Load():
		return "no app server is known to be ready"
	}
	return ""
}

// shut tells whether the drain takes no more.
func (f *frontend) shut() bool {
	select {
	case <-f.closing:
		return true
	default:
		return false
	}
}

// leaving tells whether clients are to go: each answer closes its connection.
func (f *frontend) leaving() bool { return f.draining.Load() || f.emptied.Load() }

// letGo closes, while the node is emptied, connections that are idle and that their clients can't count on.
func (f *frontend) letGo() {
	if f.emptied.Load() {
		f.conns.closeIdle(idleLeast)
	}
}

type connKey struct{}

func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	if conn != nil && f.conns.isShed(conn) {
		panic(http.ErrAbortHandler) // it crossed the close: its client sends it again on another connection
	}
	client, _ := conn.(*cappedConn)
	if client != nil && client.framing.ambiguous.Load() {
		w.Header().Set("Connection", "close")
		http.Error(w, "both Content-Length and Transfer-Encoding", http.StatusBadRequest)
		return
	}
	if f.leaving() || f.conns.crowded() {
		w.Header().Set("Connection", "close")
	}
	class, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch {
	case class == "health" && (rest == "ready" || rest == "live"):
		if why := f.unready(); rest == "ready" && why != "" {
			http.Error(w, "not ready: "+why, http.StatusServiceUnavailable)
		}
		return
	case class == "" || class == "health":
		http.NotFound(w, r)
		return
	}
	rules := f.loop.rules.Load()
	if open := f.open.Add(1); open > f.maxOpen || rules.MaxOpen > 0 && open > int64(rules.MaxOpen) || f.conns.crowded() {
		f.open.Add(-1)
		f.write(w, answer{status: http.StatusServiceUnavailable, holdOff: busyHoldOff})
		return
	}
	defer f.open.Add(-1)
	req, status, err := f.read(w, r, rules, class, client)
	if err != nil {
		w.Header().Set("Connection", "close") // what follows a bad request on its connection can't be trusted
		http.Error(w, err.Error(), status)
		return
	}
	if f.shut() { // what comes whole so late may have no answer by SIGKILL; another process has room for it
		w.Header().Set("Connection", "close")
		f.write(w, answer{status: http.StatusServiceUnavailable})
		return
	}
	if !f.loop.post(func() { f.loop.arrive(req) }) {
		f.write(w, answer{status: http.StatusServiceUnavailable})
		return
	}
	late := time.NewTimer(max(0, time.Until(req.deadline)) + overdue)
	defer late.Stop()
	gone := r.Context().Done()
	var uploaded, closing <-chan struct{} // the client's time counts from uploaded
	if req.upload != nil {
		defer req.upload.close()
		uploaded, closing, gone = req.upload.finished, f.closing, nil // a body that is no longer read ends the context too
	}
	for {
		select {
		case a := <-req.answer:
			f.answer(w, r, req, a)
			return
		case <-uploaded:
			uploaded, closing, gone = nil, nil, r.Context().Done()
			late.Reset(req.upload.patience + overdue)
		case <-closing:
			f.loop.post(func() { f.loop.abandon(req) })
			f.answer(w, r, req, answer{status: http.StatusServiceUnavailable})
			return
		case <-gone:
			f.loop.post(func() { f.loop.abandon(req) })
			panic(http.ErrAbortHandler) // else net/http would answer 200 to a client that reads on
		case <-late.C:
			if uploaded != nil && req.upload.used() {
				continue
			}
			f.loop.post(func() { f.loop.abandon(req) })
			f.log.Warn("overdue", "id", req.arrived.ID)
			f.answer(w, r, req, answer{status: http.StatusGatewayTimeout})
			return
		case <-f.loop.ctx.Done():
			f.answer(w, r, req, answer{status: http.StatusBadGateway})
			return
		}
	}
}

// answer gives a request its final answer.
func (f *frontend) answer(w http.ResponseWriter, r *http.Request, req *request, a answer) {
	if req.upload != nil && !req.upload.complete() {
		w.Header().Set("Connection", "close") // the rest of the body is not read
	}
	f.write(w, a)
	if a.rest != nil {
		f.relay(w, r, a)
	}
}

// read takes in a request, or says what is wrong with it.
func (f *frontend) read(w http.ResponseWriter, r *http.Request, rules *rules, class string, client *cappedConn) (*request, int, error) {
	settings, known := rules.classes[class]
	id := r.Header.Get("X-Correlation-Id")
	if !known { // an app server's answer to it would be held against the server
		return nil, http.StatusNotFound, errors.New("no such path")
	}
	method := http.MethodPost
	if settings.Effect == decide.Safe {
		method = http.MethodGet
	}
	if r.Method != method {
		return nil, http.StatusMethodNotAllowed, fmt.Errorf("%s only", method)
	}
	// net/http drops the Content-Length of a chunked request, and the Transfer-Encoding of an HTTP/1.0 one: the
	// peer may have meant another end of the body, and what follows here as a request to be part of it.
	if !r.ProtoAtLeast(1, 1) {
		return nil, http.StatusHTTPVersionNotSupported, errors.New("HTTP/1.1 only")
	}
	if r.ContentLength != 0 && method == http.MethodGet {
		return nil, http.StatusBadRequest, errors.New("GET has no body")
	}
	if id == "" {
		return nil, http.StatusBadRequest, errors.New("X-Correlation-Id is missing")
	}
	if known && settings.Effect == decide.Keyed && r.Header.Get("Idempotency-Key") == "" {
		return nil, http.StatusBadRequest, errors.New("Idempotency-Key is missing")
	}
	left, err := strconv.ParseFloat(r.Header.Get("X-Time-Left"), 64)
	if err != nil || math.IsNaN(left) || math.Abs(left) > patienceLimit.Seconds() {
		return nil, http.StatusBadRequest, errors.New("X-Time-Left is not a number of seconds")
	}
	if r.ContentLength > longLimit {
		return nil, http.StatusRequestEntityTooLarge, errors.New("the body is too large")
	}
	var body []byte
	var rest *upload
	control := http.NewResponseController(w)
	if r.ContentLength != 0 {
		paced := &pacedBody{Reader: http.MaxBytesReader(w, r.Body, longLimit), control: control, by: client.bodyBy()}
		var more bool
		if body, more, err = paced.readBody(r.ContentLength); err != nil {
			status, err := bodyStatus(err)
			return nil, status, err
		}
		if more {
			rest = &upload{body: paced, length: r.ContentLength, finished: make(chan struct{})}
		}
	}
	if rest == nil {
		control.SetReadDeadline(time.Time{}) // else it would end the wait for the client's going
	}
	patience := time.Duration(max(left, 0)*float64(time.Second)) - answerMargin
	if rest != nil {
		rest.patience = patience
	}
	e := decide.RequestArrived{ID: decide.RequestID(id), Class: class, Tenant: r.Header.Get("X-Account"),
		Key: r.URL.Query().Get("obj"), Repeat: r.Header.Get("X-Repeat") == "1", Write: fact(r.Header.Get("X-Facts"), "write")}
	if us, err := strconv.ParseFloat(r.Header.Get("X-Weight-Hint"), 64); err == nil && us >= 0 && us < patienceLimit.Seconds()*1e6 {
		e.WorkHint, e.HasHint = time.Duration(us*float64(time.Microsecond)), true
	}
	return &request{arrived: e, class: settings, rules: rules, deadline: time.Now().Add(patience), method: r.Method, body: body, upload: rest,
		url:    &url.URL{Host: r.Host, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery},
		header: endToEnd(r.Header), answer: make(chan answer, 1)}, 0, nil
}

// fact tells whether one of the further figures of a request is set.
func fact(text, name string) bool {
	for field := range strings.SplitSeq(text, ",") {
		if n, v, _ := strings.Cut(strings.TrimSpace(field), "="); n == name {
			return v != "" && v != "0" && v != "false"
		}
	}
	return false
}

// endToEnd copies a header without what belongs to one connection or is the node's own.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Expect", "Content-Length", "X-Time-Left", "X-Backend-Load", "X-Unprocessed"} {
		out.Del(name)
	}
	return out
}

// write sends the final answer. It is the only one: each request comes here once.
func (f *frontend) write(w http.ResponseWriter, a answer) {
	h := w.Header()
	if a.header != nil {
		closing := h["Connection"]
		for name, values := range endToEnd(a.header) {
			h[name] = values
		}
		if closing != nil {
			h["Connection"] = closing
		}
	}
	if f.leaving() { // it may have begun while the request was out
		h.Set("Connection", "close")
	}
	h.Del("Content-Length")
	if a.rest == nil {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	} else if a.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	if a.holdOff > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.holdOff.Seconds(), 'f', 3, 64))
	}
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeWait))
	w.WriteHeader(a.status)
	if a.rest == nil {
		w.Write(a.body)
	}
}

// connections counts the clients' connections. Above the limit new requests are refused at once and those closed
// that have been idle longest, so that there is always room to read and answer what has been accepted.
type connections struct {
	mu     sync.Mutex
	count  int
	limit  int
	beside *beside
	idle   map[net.Conn]time.Time // since when
	shed   map[net.Conn]bool      // closed to make room; what still comes on them is not taken
}

func (c *connections) crowded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.over()
}

func (c *connections) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

func (c *connections) over() bool { return c.count+c.beside.clients() > c.limit }

func (c *connections) isShed(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shed[conn]
}

func (c *connections) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.count++
		if c.over() {
			var oldest net.Conn
			for idle, since := range c.idle {
				if oldest == nil || since.Before(c.idle[oldest]) {
					oldest = idle
				}
			}
			if oldest != nil && time.Since(c.idle[oldest]) >= idleLeast {
				c.close(oldest)
			}
		}
	case http.StateIdle:
		c.idle[conn] = time.Now()
		if own, ok := conn.(*cappedConn); ok {
			own.heard.Store(false)
		}
	case http.StateActive:
		delete(c.idle, conn)
	case http.StateClosed, http.StateHijacked:
		delete(c.idle, conn)
		delete(c.shed, conn)
		c.count--
	}
}

// closeIdle closes the connections that have been idle for that long.
func (c *connections) closeIdle(least time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idle {
		if time.Since(since) >= least {
			c.close(conn)
		}
	}
}

// makeRoom closes those that a client can't count on, or all if there are too many with those of a newer process.
func (c *connections) makeRoom() {
	least := idleLeast
	if c.crowded() {
		least = 0
	}
	c.closeIdle(least)
}

// close closes an idle connection, but not one on which a request has come or is being read: its client would have to
// send it again.
func (c *connections) close(conn net.Conn) {
	if own, ok := conn.(*cappedConn); ok && own.heard.Load() || !quietSocket(conn) {
		return
	}
	delete(c.idle, conn)
	c.shed[conn] = true
	conn.Close()
}

// quietSocket tells whether nothing has come that is not read yet, not even the end.
func quietSocket(conn net.Conn) bool {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true // closed already
	}
	quiet := true
	raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
	})
	return quiet
}

// capped accepts no more connections than there are descriptors for. Beyond it they wait, for the moment that
// refusing takes. It keeps *net.TCPConn in sight, as a wrapper would hide CloseWrite from net/http, which then
// resets connections with an answer on them.
type capped struct {
	*net.TCPListener
	slots  chan struct{}
	beside *beside
	ctx    context.Context
}

type cappedConn struct {
	*net.TCPConn
	free    func()
	framing framing
	came    time.Time
	kept    atomic.Bool // a request on it has been read
	heard   atomic.Bool // something has come since it was last idle
}

func (c *cappedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.heard.Store(true)
		c.framing.follow(p[:n])
	}
	return n, err
}

// bodyBy is when a body that does not begin is given up.
func (c *cappedConn) bodyBy() time.Time {
	least := time.Now().Add(bodyWait)
	switch {
	case c == nil:
		return least
	case c.kept.Swap(true):
		return time.Now().Add(bodyKept)
	case c.came.Add(bodyBy).After(least):
		return c.came.Add(bodyBy)
	}
	return least
}

func (c *cappedConn) Close() error {
	defer c.free()
	return c.TCPConn.Close()
}

func (l *capped) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.ctx.Done():
		return nil, net.ErrClosed
	}
	for len(l.slots)+l.beside.clients() > cap(l.slots) && l.ctx.Err() == nil {
		time.Sleep(otherWait)
	}
	conn, err := l.AcceptTCP()
	if err != nil {
		<-l.slots
		return nil, err
	}
	l.beside.count(1, 0)
	free := sync.OnceFunc(func() { l.beside.count(-1, 0); <-l.slots })
	return &cappedConn{TCPConn: conn, free: free, came: time.Now()}, nil
}
