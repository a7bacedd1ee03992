package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// requestWait is for a request's head, from its connection's start or its first bytes on. Peers that send no
	// request are owed an end within 3 s of connecting, and each holds a client's place until then.
	requestWait   = 2200 * time.Millisecond
	writeWait     = 5 * time.Second // for the client to take its answer
	idleWait      = 2 * time.Minute
	idleLeast     = 2 * time.Second       // a client may count on its connection for so long
	goneEvery     = 25 * time.Millisecond // for the client's end while its body is not read to the end
	emptyEvery    = 100 * time.Millisecond
	otherWait     = 2 * time.Millisecond // for a client of the other process to go
	headerLimit   = 16 << 10
	patienceLimit = time.Hour // no client waits longer
	// answerMargin is kept from a client's patience: an answer has to get to it and be read by then.
	answerMargin = 10 * time.Millisecond
	busyHoldOff  = 500 * time.Millisecond // the hold-off for a client that the node itself has no room for
)

// frontend serves clients.
type frontend struct {
	loop      *loop
	log       *slog.Logger
	listening atomic.Bool   // for clients
	draining  atomic.Bool   // the process ends
	closing   chan struct{} // closed when the drain takes no more
	givenUp   chan struct{} // closed when the drain waits for no more answers
	emptied   atomic.Bool   // by the operators, until they want it back
	open      atomic.Int64  // requests
	maxOpen   int64
	fleet     *fleetLink // nil: in no fleet
	conns     *connections
}

func newFrontend(l *loop, maxConns int, log *slog.Logger) *frontend {
	f := &frontend{loop: l, log: log, closing: make(chan struct{}), givenUp: make(chan struct{}), maxOpen: int64(maxConns),
		conns: newConnections(maxConns)}
	return f
}

func (f *frontend) server() *http.Server {
	return &http.Server{Handler: f, ReadHeaderTimeout: requestWait, IdleTimeout: idleWait, MaxHeaderBytes: headerLimit,
		ConnState: f.conns.track, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		}, ErrorLog: slog.NewLogLogger(f.log.Handler(), slog.LevelDebug)}
}

// unready says why clients are not to come, or nothing if they may.
func (f *frontend) unready() string {
	switch {
	case f.draining.Load():
		return "the process ends"
	case f.emptied.Load():
		return "evacuated"
	case !f.loop.able.Load() || !f.listening.Load():
		return "no app server is known to be ready"
	}
	return f.fleet.unready()
}

// shut reports whether the drain takes no more. A request that passes as it closes is one that came before: its deadline
// was set before the look, and so lies within the time that the drain waits for answers.
func (f *frontend) shut() bool { return isClosed(f.closing) }

// isClosed reports whether a channel that is only ever closed has been.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// leaving reports whether clients are to go: each answer closes its connection.
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
	client.take()
	defer client.settle()
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
	if open := f.open.Add(1); open > f.maxOpen || rules.MaxOpenRequests > 0 && open > int64(rules.MaxOpenRequests) || f.conns.crowded() {
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
	if client.left() { // the read that looks for the client's end may come only after an attempt that begins at once
		panic(http.ErrAbortHandler)
	}
	life := r.Context()
	if req.upload != nil {
		life = context.WithoutCancel(life) // a body that is no longer read ends the context too
	}
	req.life, req.end = context.WithCancel(life)
	defer req.end()
	queue, arrive := f.loop.happened, func() { f.loop.arrive(req) } // queue is nil once the loop has the request
	leave := func() {                                               // nothing is begun from here on, however late the loop hears of it
		req.end()
		if queue == nil {
			f.loop.post(func() { f.loop.abandon(req) })
		}
	}
	unanswered := func() int { // for one that the node's own end answers
		if queue != nil { // never sent on
			return http.StatusServiceUnavailable
		}
		return http.StatusBadGateway
	}
	late := time.NewTimer(max(0, time.Until(req.deadline)) + overdue)
	defer late.Stop()
	gone := r.Context().Done()
	var uploaded, closing <-chan struct{} // the client's time counts from uploaded
	var look <-chan time.Time
	if req.upload != nil {
		defer req.upload.close()
		uploaded, closing, gone = req.upload.finished, f.closing, nil // a body that is no longer read ends the context too
		tick := time.NewTicker(goneEvery)
		defer tick.Stop()
		look = tick.C
	}
	for {
		select {
		case queue <- arrive: // it may be full for long: the client may go before, or its time end
			queue = nil
		case a := <-req.answer:
			f.answer(w, r, req, a)
			return
		case <-uploaded:
			uploaded, closing, look, gone = nil, nil, nil, r.Context().Done()
			late.Reset(req.upload.patience + overdue)
		case <-closing:
			if closing = nil; !req.upload.cutShort() {
				continue
			}
			leave()
			f.answer(w, r, req, answer{status: http.StatusServiceUnavailable})
			return
		case <-look:
			if client.left() {
				leave()
				panic(http.ErrAbortHandler)
			}
		case <-gone:
			if req.upload != nil && req.upload.body.over.Load() {
				gone = nil // the end of the reading, not the client's, may have ended the context
				continue
			}
			leave()
			panic(http.ErrAbortHandler) // else net/http would answer 200 to a client that reads on
		case <-late.C:
			if uploaded != nil && req.upload.used() {
				continue
			}
			leave()
			f.log.Warn("overdue", "id", req.arrived.ID)
			f.answer(w, r, req, answer{status: http.StatusGatewayTimeout})
			return
		case <-f.givenUp:
			leave()
			f.answer(w, r, req, answer{status: unanswered()})
			return
		case <-f.loop.ctx.Done():
			w.Header().Set("Connection", "close")
			f.answer(w, r, req, answer{status: unanswered()})
			return
		}
	}
}

// answer gives a request its final answer.
func (f *frontend) answer(w http.ResponseWriter, r *http.Request, req *request, a answer) {
	client, _ := r.Context().Value(connKey{}).(*cappedConn)
	client.settle()
	if req.upload != nil && !req.upload.complete() || client != nil && client.flooded.Load() {
		w.Header().Set("Connection", "close") // the rest of the body, or what came behind it, is not read
	}
	f.write(w, a)
	if a.rest != nil {
		f.relay(w, r, a)
	}
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
