package node

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// requestHeadTimeout is for a request's head, from its connection's start or its first bytes on. Peers that send no
	// request are owed an end within 3 s of connecting, and each holds a client's place until then.
	requestHeadTimeout      = 2200 * time.Millisecond
	answerWriteTimeout      = 5 * time.Second // for the client to take its answer
	idleConnTimeout         = 2 * time.Minute
	minIdleTime             = 2 * time.Second       // a client may count on its connection for so long
	clientCheckInterval     = 25 * time.Millisecond // for the client's end while its body is not read to the end
	evacuationSweepInterval = 100 * time.Millisecond
	otherProcessPoll        = 2 * time.Millisecond // for a client of the other process to go
	maxHeaderBytes          = 16 << 10
	maxClientTimeout        = time.Hour // no client waits longer
	// clientTimeoutMargin is kept from a client's patience: an answer has to get to it and be read by then.
	clientTimeoutMargin = 10 * time.Millisecond
	busyRetryAfter      = 500 * time.Millisecond // the backoff for a client that the node itself has no capacity for

	healthPath = "health" // of the health checks: no class has the name
)

// frontend serves clients.
type frontend struct {
	loop            *eventLoop
	log             *slog.Logger
	listening       atomic.Bool   // for clients
	draining        atomic.Bool   // the process ends
	drainClosed     chan struct{} // closed when the drain takes no more
	answersOver     chan struct{} // closed when the drain waits for no more answers
	evacuated       atomic.Bool   // by the operators, until they want it back
	openRequests    atomic.Int64  // requests
	maxOpenRequests int64
	fleet           *fleetClient // nil: in no fleet
	connections     *connections
}

func newFrontend(l *eventLoop, maxConns int, log *slog.Logger) *frontend {
	f := &frontend{
		loop:            l,
		log:             log,
		drainClosed:     make(chan struct{}),
		answersOver:     make(chan struct{}),
		maxOpenRequests: int64(maxConns),
		connections:     newConnections(maxConns),
	}
	return f
}

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

// notReadyReason says why clients are not to come, or nothing if they may.
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

// isDrainClosed reports whether the drain takes no more. A request that passes as it closes is one that came before: its deadline
// was set before the look, and so lies within the time that the drain waits for answers.
func (f *frontend) isDrainClosed() bool { return isClosed(f.drainClosed) }

// isClosed reports whether a channel that is only ever closed has been.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// isLeaving reports whether clients are to go: each answer closes its connection.
func (f *frontend) isLeaving() bool { return f.draining.Load() || f.evacuated.Load() }

// closeEvacuatedIdle closes, while the node is evacuated, connections that are idle and that their clients can't count on.
func (f *frontend) closeEvacuatedIdle() {
	if f.evacuated.Load() {
		f.connections.closeIdle(minIdleTime)
	}
}

type connKey struct{}

// ServeHTTP answers a client's request, or the health checks of the load balancer in front of the nodes.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	if conn != nil && f.connections.isEnded(conn) {
		panic(http.ErrAbortHandler) // it crossed the close: its client sends it again on another connection
	}
	client, _ := conn.(*clientConn)
	client.countTaken()
	defer client.answerStarted()
	if client != nil && client.framing.ambiguous.Load() {
		w.Header().Set("Connection", "close")
		http.Error(w, "both Content-Length and Transfer-Encoding", http.StatusBadRequest)
		return
	}
	if f.isLeaving() || f.connections.overLimit() {
		w.Header().Set("Connection", "close")
	}
	class, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
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

// serveRequest answers a request of a class, if the node has capacity for it.
func (f *frontend) serveRequest(w http.ResponseWriter, r *http.Request, class string, client *clientConn) {
	rules := f.loop.rules.Load()
	if !f.reserve(rules.MaxOpenRequests) {
		f.writeAnswer(w, answer{status: http.StatusServiceUnavailable, retryAfter: busyRetryAfter})
		return
	}
	defer f.openRequests.Add(-1)
	req, err := f.readRequest(w, r, rules, class, client)
	if err != nil {
		w.Header().Set("Connection", "close") // what follows a bad request on its connection can't be trusted
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	if f.isDrainClosed() { // what comes in full so late may have no answer by SIGKILL; another process has capacity for it
		w.Header().Set("Connection", "close")
		f.writeAnswer(w, answer{status: http.StatusServiceUnavailable})
		return
	}
	if client.clientLeft() { // the read that looks for the client's end may come only after an attempt that begins at once
		panic(http.ErrAbortHandler)
	}
	f.awaitAnswer(w, r, req, client)
}

// reserve counts a request as open and reports true, unless the node has as many as it may have. The caller counts it
// down again.
func (f *frontend) reserve(maxOpen int) bool {
	open := f.openRequests.Add(1)
	if open > f.maxOpenRequests || maxOpen > 0 && open > int64(maxOpen) || f.connections.overLimit() {
		f.openRequests.Add(-1)
		return false
	}
	return true
}

// finishRequest returns a request its final answer.
func (f *frontend) finishRequest(w http.ResponseWriter, r *http.Request, req *request, a answer) {
	client, _ := r.Context().Value(connKey{}).(*clientConn)
	client.answerStarted()
	if req.upload != nil && !req.upload.isComplete() || client != nil && client.flooded.Load() {
		w.Header().Set("Connection", "close") // the rest of the body, or what came behind it, is not read
	}
	f.writeAnswer(w, a)
	if a.stream != nil {
		f.relayStream(w, r, a)
	}
}

// writeAnswer sends the final answer. It is the only one: each request comes here once.
func (f *frontend) writeAnswer(w http.ResponseWriter, a answer) {
	h := w.Header()
	if a.header != nil {
		closing := h["Connection"]
		maps.Copy(h, endToEnd(a.header))
		if closing != nil {
			h["Connection"] = closing
		}
	}
	if f.isLeaving() { // it may have begun while the request was out
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
