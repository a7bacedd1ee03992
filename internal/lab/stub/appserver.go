// Package stub holds the lab's stubs of what a node talks to, written from PROTOCOL: app servers
// ("Nodes to app servers") and a discovery agent ("Discovery"). They run in the lab's process, on loopback, and
// record what they receive for the invariant checker.
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

// Mode is how an app server misbehaves.
type Mode int32

const (
	Healthy Mode = iota
	Slow         // ten times its latency
	Failing      // answers 500 after its work
	Reset        // breaks each connection once a request has come
	Silent       // takes requests and never answers, as a machine cut off
)

// ParseMode reads a mode's name: healthy, slow, failing, reset or silent.
func ParseMode(s string) (Mode, error) {
	for m, name := range []string{"healthy", "slow", "failing", "reset", "silent"} {
		if s == name {
			return Mode(m), nil
		}
	}
	return 0, errors.New("mode " + s + " is none of healthy, slow, failing, reset, silent")
}

// ServerSpec is one app server's make. Latencies are log-normal round Latency with Spread as sigma.
type ServerSpec struct {
	ID        string
	Zone      string
	Capacity  int           // requests worked on at once; as many again wait, more are turned away
	Latency   time.Duration // median of the work
	Spread    float64
	MaxConns  int           // connections held; more are turned away
	IdleClose time.Duration // an idle connection is closed after this
	SlowStart SlowStart     // after a restart; its Rate is filled in from Capacity, Latency and Spread
}

// Recorder keeps what the stubs and the load saw, as offsets from Start. Safe for concurrent use.
type Recorder struct {
	Start    time.Time
	mu       sync.Mutex
	sent     map[string]bool
	attempts []invariants.Attempt
	falls    []invariants.Fall
}

// NewRecorder starts the run's clock.
func NewRecorder() *Recorder { return &Recorder{Start: time.Now(), sent: map[string]bool{}} }

// Since is the run's clock.
func (r *Recorder) Since() time.Duration { return time.Since(r.Start) }

// Sending marks an id as sent by a client, before its first byte goes.
func (r *Recorder) Sending(id string) { r.mu.Lock(); r.sent[id] = true; r.mu.Unlock() }

func (r *Recorder) wasSent(id string) bool { r.mu.Lock(); defer r.mu.Unlock(); return r.sent[id] }

func (r *Recorder) attempt(a invariants.Attempt) {
	r.mu.Lock()
	r.attempts = append(r.attempts, a)
	r.mu.Unlock()
}

// Attempts gives a copy of every attempt recorded.
func (r *Recorder) Attempts() []invariants.Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]invariants.Attempt(nil), r.attempts...)
}

// Falls gives a copy of every cold fall recorded.
func (r *Recorder) Falls() []invariants.Fall {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]invariants.Fall(nil), r.falls...)
}

// AppServer is a stub app server on a loopback address that stays its own across restarts.
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

	mu   sync.Mutex
	srv  *http.Server
	rnd  *rand.Rand
	cold slowStartState
}

// NewAppServer listens on addr ("127.0.0.1:0" for any port). nodeOf tells which node a connection's source address belongs to.
func NewAppServer(spec ServerSpec, addr string, nodeOf func(string) int, rec *Recorder, seed uint64) (*AppServer, error) {
	s := &AppServer{
		Spec:   spec,
		nodeOf: nodeOf,
		rec:    rec,
		slots:  make(chan struct{}, max(spec.Capacity, 1)),
		rnd:    rand.New(rand.NewPCG(seed, 0x5e7e)),
	}
	spec.SlowStart.Rate = float64(max(spec.Capacity, 1)) / (spec.Latency.Seconds() * math.Exp(spec.Spread*spec.Spread/2))
	s.cold.rule = spec.SlowStart
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
	srv := &http.Server{Handler: s, IdleTimeout: s.Spec.IdleClose, ConnState: s.track}
	s.mu.Lock()
	s.srv = srv
	s.mu.Unlock()
	go srv.Serve(ln)
	return nil
}

func (s *AppServer) track(_ net.Conn, st http.ConnState) {
	switch st {
	case http.StateNew:
		s.conns.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.conns.Add(-1)
	}
}

// SetMode changes how it behaves from now on.
func (s *AppServer) SetMode(m Mode) { s.mode.Store(int32(m)) }

// Served counts the requests it worked on.
func (s *AppServer) Served() int64 { return s.served.Load() }

// Stop ends it as a process that dies: its connections reset, new ones are refused.
func (s *AppServer) Stop() {
	s.mu.Lock()
	srv := s.srv
	s.mu.Unlock()
	srv.Close()
}

// Restart stops it, waits down, and starts it again on the same address, cold.
func (s *AppServer) Restart(down time.Duration) error {
	s.Stop()
	time.Sleep(down)
	s.mu.Lock()
	s.cold.restart(s.rec.Since())
	s.mu.Unlock()
	return s.listen(s.Addr)
}

func (s *AppServer) work() time.Duration {
	s.mu.Lock()
	z, share := s.rnd.NormFloat64(), 1.0
	if s.cold.on {
		share = s.cold.rule.Share(s.rec.Since() - s.cold.start)
	}
	s.mu.Unlock()
	d := time.Duration(float64(s.Spec.Latency) * math.Exp(z*s.Spec.Spread))
	if Mode(s.mode.Load()) == Slow {
		d *= 10
	}
	return time.Duration(float64(d) / share)
}

// noArrival has fallen count no arrival.
const noArrival = -2

// fallen counts the arrival of a request of a node, and says whether the server lies fallen: then it answers
// nothing.
func (s *AppServer) fallen(node int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.rec.Since()
	if s.cold.down(now) {
		return true
	}
	if node == noArrival {
		return false
	}
	fall, fell := s.cold.arrive(now, node)
	if fell {
		fall.Server = s.Spec.ID
		s.rec.mu.Lock()
		s.rec.falls = append(s.rec.falls, fall)
		s.rec.mu.Unlock()
	}
	return fell
}

// breakOff resets the request's connection. The attempt ends before: the node may begin another at once.
func (s *AppServer) breakOff(w http.ResponseWriter, a *invariants.Attempt) {
	a.End = s.rec.Since()
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		if tc, ok := c.(*net.TCPConn); ok {
			tc.SetLinger(0)
		}
		c.Close()
	}
}

// reject answers that the attempt was not worked on.
func reject(w http.ResponseWriter) {
	w.Header().Set("X-Unprocessed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// ServeHTTP answers as PROTOCOL's app server does.
func (s *AppServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body) // it begins once the last byte has come
	id := r.Header.Get("X-Correlation-Id")
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	a := invariants.Attempt{ID: id, Class: class, Server: s.Spec.ID, Node: s.nodeOf(r.RemoteAddr), Start: s.rec.Since()}
	defer func() {
		if a.End == 0 {
			a.End = s.rec.Since()
		}
		s.rec.attempt(a)
	}()
	if !s.admit(w, r, &a) {
		return
	}
	defer func() { <-s.slots }()
	a.Ran = true
	s.served.Add(1)
	if !Sleep(r.Context(), s.work()) {
		return
	}
	if s.fallen(noArrival) {
		s.breakOff(w, &a)
		return
	}
	if Mode(s.mode.Load()) == Failing {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	io.WriteString(w, "done "+id+"\n")
}

// admit answers an attempt that isn't worked on and reports false, or takes a slot for it.
func (s *AppServer) admit(w http.ResponseWriter, r *http.Request, a *invariants.Attempt) bool {
	switch {
	case a.ID == "":
		w.WriteHeader(http.StatusNotFound)
		return false
	case !s.rec.wasSent(a.ID):
		w.WriteHeader(http.StatusBadRequest)
		return false
	case s.fallen(a.Node):
		s.breakOff(w, a)
		return false
	}
	switch Mode(s.mode.Load()) {
	case Reset:
		s.breakOff(w, a)
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

// Sleep waits d, or less where ctx ends first, and says whether it waited the whole of d.
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
