// Package stub implements the lab's stubs of a node's peers as PROTOCOL specifies them: app servers ("Nodes to app servers")
// and a discovery agent ("Discovery"). They run in the lab's process on loopback addresses. The app servers record the requests
// that they receive for the invariant checker.
package stub

import (
	"context"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"meadowsill/internal/invariants"
)

// Mode is the fault that an app server simulates.
type Mode int32

const (
	Healthy Mode = iota
	Slow         // takes ten times its latency
	Failing      // answers with status 500 after its work
	Reset        // resets each connection when it receives a request
	Silent       // accepts requests and never answers, like a machine that is cut off
)

// ParseMode returns the Mode with the given name: healthy, slow, failing, reset or silent.
func ParseMode(s string) (Mode, error) {
	for m, name := range []string{"healthy", "slow", "failing", "reset", "silent"} {
		if s == name {
			return Mode(m), nil
		}
	}
	return 0, errors.New("mode " + s + " is none of healthy, slow, failing, reset, silent")
}

// ServerSpec describes one app server. Its latencies have a log-normal distribution with median Latency and sigma Spread.
type ServerSpec struct {
	ID        string
	Zone      string
	Capacity  int           // requests worked on at once; as many again wait, and further ones are rejected
	Latency   time.Duration // median duration of the work on a request
	Spread    float64
	MaxConns  int           // open connections; requests on further ones are rejected; 0: no limit
	IdleClose time.Duration // idle time after which a connection is closed
	SlowStart SlowStart     // applies after a restart; its Rate is computed from Capacity, Latency and Spread
}

// Recorder records the events that the stubs and the load generator see, with times relative to Start. It is safe for concurrent use.
type Recorder struct {
	Start     time.Time
	mu        sync.Mutex
	sent      map[string]bool
	attempts  []invariants.Attempt
	overloads []invariants.Fall
}

// NewRecorder returns a Recorder whose run starts now.
func NewRecorder() *Recorder { return &Recorder{Start: time.Now(), sent: map[string]bool{}} }

// Since returns the time since the start of the run.
func (r *Recorder) Since() time.Duration { return time.Since(r.Start) }

// Sending records that a client is about to send the request id. It must be called before the first byte is sent.
func (r *Recorder) Sending(id string) { r.mu.Lock(); r.sent[id] = true; r.mu.Unlock() }

func (r *Recorder) wasSent(id string) bool { r.mu.Lock(); defer r.mu.Unlock(); return r.sent[id] }

func (r *Recorder) recordAttempt(a invariants.Attempt) {
	r.mu.Lock()
	r.attempts = append(r.attempts, a)
	r.mu.Unlock()
}

// Attempts returns a copy of the recorded attempts.
func (r *Recorder) Attempts() []invariants.Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]invariants.Attempt(nil), r.attempts...)
}

// Falls returns a copy of the recorded overloads of warming app servers.
func (r *Recorder) Falls() []invariants.Fall {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]invariants.Fall(nil), r.overloads...)
}

// AppServer is a stub app server on a loopback address. It keeps the address across restarts.
type AppServer struct {
	Spec    ServerSpec
	Addr    string
	nodeOf  func(remote string) int
	rec     *Recorder
	mode    atomic.Int32
	slots   chan struct{}
	waiting atomic.Int64
	conns   atomic.Int64
	served  atomic.Int64

	mu        sync.Mutex
	srv       *http.Server
	rnd       *rand.Rand
	slowStart slowStartState
}

// NewAppServer starts an app server that listens on addr ("127.0.0.1:0" for any port). nodeOf returns the node to which the source
// address of a connection belongs.
func NewAppServer(spec ServerSpec, addr string, nodeOf func(string) int, rec *Recorder, seed uint64) (*AppServer, error) {
	s := &AppServer{
		Spec:   spec,
		nodeOf: nodeOf,
		rec:    rec,
		slots:  make(chan struct{}, max(spec.Capacity, 1)),
		rnd:    rand.New(rand.NewPCG(seed, 0x5e7e)),
	}
	spec.SlowStart.Rate = float64(max(spec.Capacity, 1)) / (spec.Latency.Seconds() * math.Exp(spec.Spread*spec.Spread/2))
	s.slowStart.rule = spec.SlowStart
	if err := s.listen(addr); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *AppServer) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.Addr = ln.Addr().String()
	srv := &http.Server{Handler: s, IdleTimeout: s.Spec.IdleClose, ConnState: s.countConns}
	s.mu.Lock()
	s.srv = srv
	s.mu.Unlock()
	go srv.Serve(ln)
	return nil
}

func (s *AppServer) countConns(_ net.Conn, st http.ConnState) {
	switch st {
	case http.StateNew:
		s.conns.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.conns.Add(-1)
	}
}

// SetMode sets the fault that the server simulates from now on.
func (s *AppServer) SetMode(m Mode) { s.mode.Store(int32(m)) }

// Served returns the number of requests that the server has worked on.
func (s *AppServer) Served() int64 { return s.served.Load() }

// Stop breaks all connections of the server, as the death of its process would. New connections are refused.
func (s *AppServer) Stop() {
	s.mu.Lock()
	srv := s.srv
	s.mu.Unlock()
	srv.Close()
}

// Restart stops the server, waits for pause, and starts the server again on the same address, warming up.
func (s *AppServer) Restart(pause time.Duration) error {
	s.Stop()
	time.Sleep(pause)
	s.mu.Lock()
	s.slowStart.restart(s.rec.Since())
	s.mu.Unlock()
	return s.listen(s.Addr)
}

func (s *AppServer) workTime() time.Duration {
	s.mu.Lock()
	normal, capacityShare := s.rnd.NormFloat64(), 1.0
	if s.slowStart.started {
		capacityShare = s.slowStart.rule.Share(s.rec.Since() - s.slowStart.start)
	}
	s.mu.Unlock()
	d := time.Duration(float64(s.Spec.Latency) * math.Exp(normal*s.Spec.Spread))
	if Mode(s.mode.Load()) == Slow {
		d *= 10
	}
	return time.Duration(float64(d) / capacityShare)
}

// noArrival is the node argument with which isOverloaded counts no request.
const noArrival = -2

// isOverloaded counts a request from node and reports whether the server is down because of an overload while it warmed up.
// A server that is down answers no request.
func (s *AppServer) isOverloaded(node int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.rec.Since()
	if s.slowStart.isDown(now) {
		return true
	}
	if node == noArrival {
		return false
	}
	overload, overloaded := s.slowStart.arrive(now, node)
	if overloaded {
		overload.Server = s.Spec.ID
		s.rec.mu.Lock()
		s.rec.overloads = append(s.rec.overloads, overload)
		s.rec.mu.Unlock()
	}
	return overloaded
}

// resetConn resets the request's connection. It sets the attempt's end first, because the node may start another attempt immediately.
func (s *AppServer) resetConn(w http.ResponseWriter, a *invariants.Attempt) {
	a.End = s.rec.Since()
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		if tc, ok := c.(*net.TCPConn); ok {
			tc.SetLinger(0)
		}
		c.Close()
	}
}

// reject answers with status 503 and marks the attempt as not processed.
func reject(w http.ResponseWriter) {
	w.Header().Set("X-Unprocessed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// ServeHTTP serves a request as PROTOCOL specifies for an app server.
func (s *AppServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body) // work begins when the last byte has been received
	id := r.Header.Get("X-Correlation-Id")
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	a := invariants.Attempt{ID: id, Class: class, Server: s.Spec.ID, Node: s.nodeOf(r.RemoteAddr), Start: s.rec.Since()}
	defer func() {
		if a.End == 0 {
			a.End = s.rec.Since()
		}
		s.rec.recordAttempt(a)
	}()
	if !s.admit(w, r, &a) {
		return
	}
	defer func() { <-s.slots }()
	a.Ran = true
	s.served.Add(1)
	if !Sleep(r.Context(), s.workTime()) {
		return
	}
	if s.isOverloaded(noArrival) {
		s.resetConn(w, &a)
		return
	}
	if Mode(s.mode.Load()) == Failing {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	io.WriteString(w, "done "+id+"\n")
}

// admit takes a slot for the attempt and returns true. If the server does not work on the attempt, admit answers it and returns false.
func (s *AppServer) admit(w http.ResponseWriter, r *http.Request, a *invariants.Attempt) bool {
	switch {
	case a.ID == "":
		w.WriteHeader(http.StatusNotFound)
		return false
	case !s.rec.wasSent(a.ID):
		w.WriteHeader(http.StatusBadRequest)
		return false
	case s.isOverloaded(a.Node):
		s.resetConn(w, a)
		return false
	}
	switch Mode(s.mode.Load()) {
	case Reset:
		s.resetConn(w, a)
		return false
	case Silent:
		<-r.Context().Done()
		return false
	}
	if s.Spec.MaxConns > 0 && s.conns.Load() > int64(s.Spec.MaxConns) {
		reject(w)
		return false
	}
	if s.waiting.Add(1) > int64(cap(s.slots)) {
		s.waiting.Add(-1)
		reject(w)
		return false
	}
	defer s.waiting.Add(-1)
	select {
	case s.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

// Sleep waits for d or until ctx ends, and reports whether it waited for all of d.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
