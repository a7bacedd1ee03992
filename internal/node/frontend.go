package node

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// requestHeadTimeout limits the time for a request's head, counted from the start of its connection or from the head's
	// first bytes. The node has to end connections of peers that send no request within 3 s of connecting, and each of them
	// holds a client's slot until then.
	requestHeadTimeout      = 2200 * time.Millisecond
	answerWriteTimeout      = 5 * time.Second // for the client to read its answer
	idleConnTimeout         = 2 * time.Minute
	minIdleTime             = 2 * time.Second       // an idle connection stays open for at least this long: clients count on it
	clientCheckInterval     = 25 * time.Millisecond // between checks for the client's end while its body is still being read
	evacuationSweepInterval = 100 * time.Millisecond
	otherProcessPoll        = 2 * time.Millisecond // between checks whether the other process has closed a client's connection
	maxHeaderBytes          = 16 << 10
	maxClientTimeout        = time.Hour // longest X-Time-Left that is accepted: no client waits longer
	// clientTimeoutMargin is subtracted from the time that a client waits, so that the answer reaches the client and is read
	// before that time ends.
	clientTimeoutMargin = 10 * time.Millisecond
	busyRetryAfter      = 500 * time.Millisecond // Retry-After of a rejection for which the node's own limits are the reason

	healthPath = "health" // first path element of the health checks; no class has this name
)

// frontend serves clients' requests and the load balancer's health checks.
type frontend struct {
	loop            *eventLoop
	log             *slog.Logger
	listening       atomic.Bool   // the node listens for clients
	draining        atomic.Bool   // the process is ending
	drainClosed     chan struct{} // closed when the drain takes no more requests
	answerWaitOver  chan struct{} // closed when the drain stops waiting for answers
	evacuated       atomic.Bool   // the operators have evacuated the node, and have not ended that yet
	openRequests    atomic.Int64  // number of requests that wait for their answer
	openTransfers   atomic.Int64  // number of requests whose long body or long answer is being relayed
	maxOpenRequests int64
	memory          *memoryBudget
	bodyReads       bodyReads
	refusals        *refusals
	fleet           *fleetClient // nil if the node is in no fleet
	connections     *connections
}

// newFrontend returns a frontend that serves requests on at most maxConns connections.
func newFrontend(l *eventLoop, maxConns int, log *slog.Logger) *frontend {
	f := &frontend{
		loop:            l,
		log:             log,
		drainClosed:     make(chan struct{}),
		answerWaitOver:  make(chan struct{}),
		maxOpenRequests: int64(maxConns),
		connections:     newConnections(maxConns),
		refusals:        &refusals{},
	}
	f.bodyReads.refusals, f.connections.refusals, l.refusals = f.refusals, f.refusals, f.refusals
	f.connections.whenCrowded = f.bodyReads.interruptStalled
	return f
}

// server returns the HTTP server that serves the clients.
func (f *frontend) server() *http.Server {
	return &http.Server{
		Handler:           f,
		ReadHeaderTimeout: requestHeadTimeout,
		IdleTimeout:       idleConnTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         f.connections.track,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ErrorLog: slog.NewLogLogger(f.log.Handler(), slog.LevelDebug),
	}
}

// notReadyReason returns why the node does not want requests, or "" if it does.
func (f *frontend) notReadyReason() string {
	switch {
	case f.draining.Load():
		return "the process ends"
	case f.evacuated.Load():
		return "evacuated"
	case !f.loop.hasReadyServer.Load() || !f.listening.Load():
		return "no app server is known to be ready"
	}
	return f.fleet.notReadyReason()
}

// isDrainClosed reports whether the drain takes no more requests. A request that passes this check at the moment at which the
// drain closes counts as one from before: its deadline was set before the check, and so lies within the time for which the
// drain waits for answers.
func (f *frontend) isDrainClosed() bool { return isClosed(f.drainClosed) }

// isClosed reports whether a channel is closed on which nothing is ever sent.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// isLeaving reports whether clients should go to other nodes. While it is true, each answer closes its connection.
func (f *frontend) isLeaving() bool { return f.draining.Load() || f.evacuated.Load() }

// closeEvacuatedIdle closes the connections that have been idle for minIdleTime if the node is evacuated.
func (f *frontend) closeEvacuatedIdle() {
	if f.evacuated.Load() {
		f.connections.closeIdle(minIdleTime)
	}
}

// connKey is the key under which a request's context holds its connection.
type connKey struct{}

// ServeHTTP answers a client's request, or a health check of the load balancer in front of the nodes.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	if conn != nil && f.connections.isEnded(conn) {
		panic(http.ErrAbortHandler) // the request crossed the close: the client sends it again on another connection
	}
	client, _ := conn.(*clientConn)
	// runtime.Gosched after an answer that the node makes by itself lets others run: a client that sends such requests at full
	// speed would take a whole time slice for each of theirs.
	client.requestStarted()
	defer client.answerStarted()
	// net/http keeps the goroutine and its stack for half a second if it has not read the body that it finds here. Close lingers
	// instead.
	defer func() { r.Body = http.NoBody }()
	limitUnreadBody(w, r)
	if client != nil && client.framing.ambiguous.Load() {
		w.Header().Set("Connection", "close")
		http.Error(w, "both Content-Length and Transfer-Encoding", http.StatusBadRequest)
		return
	}
	if hasTooManyFields(r.Header) {
		f.refusals.note(refusedManyFields, "")
		w.Header().Set("Connection", "close")
		http.Error(w, "too many header fields", http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	if f.isLeaving() || f.connections.overLimit() {
		w.Header().Set("Connection", "close")
	}
	class, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if class == "" || class == healthPath {
		defer runtime.Gosched()
	}
	switch {
	case class == healthPath && rest == "live":
	case class == healthPath && rest == "ready":
		if reason := f.notReadyReason(); reason != "" {
			http.Error(w, "not ready: "+reason, http.StatusServiceUnavailable)
		}
	case class == "" || class == healthPath:
		http.NotFound(w, r)
	default:
		f.serveRequest(w, r, class, client)
	}
}

// limitUnreadBody limits the time for which net/http waits for a body that the handler does not read. Reading it sets another
// limit.
func limitUnreadBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTimeout))
	}
}

// serveRequest answers a request of a class. It rejects the request if the node has no capacity for it.
func (f *frontend) serveRequest(w http.ResponseWriter, r *http.Request, class string, client *clientConn) {
	rules := f.loop.rules.Load()
	id := r.Header.Get("X-Correlation-Id")
	if f.isBusy(rules.MaxOpenRequests) {
		f.refuse(w, refusedBusy, id)
		return
	}
	held := f.memory.hold()
	defer held.release()
	defer f.bodyReads.remove(client)
	req, err := f.readRequest(w, r, rules, class, client, held)
	if errors.Is(err, errNoMemory) {
		w.Header().Set("Connection", "close") // the rest of the body will not be read
		f.refuse(w, refusedNoMemory, id)
		return
	}
	if err != nil {
		f.refusals.note(refusedBadRequest, id)
		defer runtime.Gosched()
		w.Header().Set("Connection", "close") // the bytes after a bad request on its connection can't be trusted to be a request
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	if f.isDrainClosed() { // a request that is complete so late may have no answer by SIGKILL; another process has capacity for it
		w.Header().Set("Connection", "close")
		f.refusals.note(refusedDraining, id)
		f.writeAnswer(w, answer{status: http.StatusServiceUnavailable})
		return
	}
	if req.upload == nil {
		client.awaitUnreadBytes()
	}
	if client.clientLeft() { // net/http's read for the client's end may come only after an attempt that begins at once
		panic(http.ErrAbortHandler)
	}
	slot := f.reserve(rules.MaxOpenRequests, req.upload != nil)
	if slot == nil {
		if req.upload != nil {
			w.Header().Set("Connection", "close")
		}
		f.refuse(w, refusedBusy, id)
		return
	}
	defer slot.release()
	req.slot = slot
	f.awaitAnswer(w, r, req, client)
}

// refuse answers a request for which the node has no capacity, so that the client may send it again.
func (f *frontend) refuse(w http.ResponseWriter, reason refusalReason, id string) {
	f.refusals.note(reason, id)
	defer runtime.Gosched()
	f.writeAnswer(w, answer{status: http.StatusServiceUnavailable, retryAfter: busyRetryAfter})
}

// finishRequest sends a request's final answer to the client.
func (f *frontend) finishRequest(w http.ResponseWriter, r *http.Request, req *request, a answer) {
	client, _ := r.Context().Value(connKey{}).(*clientConn)
	defer a.held.release()
	req.slot.answered(a.stream != nil)
	client.answerStarted()
	if req.upload != nil && !req.upload.isComplete() || client != nil && client.flooded.Load() {
		w.Header().Set("Connection", "close") // the rest of the body, or the bytes after it, will not be read
	}
	f.writeAnswer(w, a)
	if a.stream != nil {
		f.relayStream(w, r, a)
	}
}

// writeAnswer writes a request's final answer, or the beginning of a long one. It is called once for each request.
func (f *frontend) writeAnswer(w http.ResponseWriter, a answer) {
	h := w.Header()
	if a.header != nil {
		closing := h["Connection"]
		maps.Copy(h, endToEnd(a.header))
		if closing != nil {
			h["Connection"] = closing
		}
	}
	if f.isLeaving() { // the drain or evacuation may have begun while the request was in flight
		h.Set("Connection", "close")
	}
	h.Del("Content-Length")
	if a.stream == nil {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	} else if a.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
	}
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerWriteTimeout))
	w.WriteHeader(a.status)
	if a.stream == nil {
		w.Write(a.body)
	}
}
