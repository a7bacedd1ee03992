package node

import (
	"container/heap"
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"meadowsill/policy"
)

const (
	// overdue is how long after a request's deadline the node answers by itself if the module has not: nothing
	// may wait for ever, whatever the module does.
	overdue = 20 * time.Millisecond
	// windowMargin is kept from the end of the time in which backends remember a key; of a short time, half of it.
	windowMargin = 100 * time.Millisecond
	eventQueue   = 1024
)

// loop owns the module: all that happens becomes an event for it here, one at a time, and the actions that it asks for
// are started. Nothing in it waits for the network.
type loop struct {
	module   *policy.Module
	rules    atomic.Pointer[rules] // those for requests that come now; the loop's goroutine changes them
	backends *backends
	disco    *discovery
	peers    *peers
	bans     *bans // nil without an admin API
	log      *slog.Logger

	ctx        context.Context // of all that the loop sets going
	happened   chan func()
	work       sync.WaitGroup
	able       atomic.Bool   // some backend is ready
	canServe   chan struct{} // closed when that is so for the first time
	firstReady sync.Once
	began      time.Time
	base       policy.Time // the clock's reading at began

	requests  map[policy.RequestID]*request
	timers    timerHeap
	queue     []policy.Event
	handling  bool
	ready     map[policy.ServerID]bool
	names     map[policy.ServerID]string // of the servers that are listed
	out       map[string]bool            // bans that the module was notified of
	back      map[string]time.Time       // returns that it was notified of
	version   uint64
	endWatch  context.CancelFunc
	watchOpen bool      // the watch has had its first answer
	settled   time.Time // when the settings in force were taken
}

func newLoop(ctx context.Context, c *Config, b *backends, d *discovery, p *peers, log *slog.Logger) *loop {
	now := time.Now()
	l := &loop{module: policy.New(c.Settings, c.Seed), backends: b, disco: d, peers: p, log: log,
		ctx: ctx, happened: make(chan func(), eventQueue), canServe: make(chan struct{}), began: now, base: time.Duration(now.UnixNano()),
		requests: map[policy.RequestID]*request{}, ready: map[policy.ServerID]bool{}, names: map[policy.ServerID]string{},
		out: map[string]bool{}, back: map[string]time.Time{}, settled: now}
	l.rules.Store(newRules(c.Settings))
	return l
}

// now is the module's clock: it goes on evenly from the time of day at the start, so that the times at which
// backends started can be expressed on it.
func (l *loop) now() policy.Time { return l.base + time.Since(l.began) }

// post has f run in the loop. It reports whether it will.
func (l *loop) post(f func()) bool {
	select {
	case l.happened <- f:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// run is the loop's goroutine. It ends with the context, once all that it has set going has ended.
func (l *loop) run(known list) {
	defer l.work.Wait()
	known.full = true
	l.follow(known, policy.EndpointsCached)
	changed := l.bans.changes()
	if !l.rules.Load().PollsEndpoints {
		since := known.version
		l.work.Go(func() { l.disco.follow(l.ctx, since, func(n list) { l.post(func() { l.updated(n) }) }) })
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if len(l.timers) > 0 {
			timer.Reset(time.Until(l.timers[0].at))
		}
		select {
		case <-l.ctx.Done():
			return
		case f := <-l.happened:
			f()
		case <-changed:
			l.notifyBans()
		case <-timer.C:
			for now := time.Now(); len(l.timers) > 0 && !l.timers[0].at.After(now); {
				l.handle(policy.TimerFired{Token: heap.Pop(&l.timers).(runningTimer).token})
			}
		}
	}
}

// handle gives the module an event and does what it asks for. What that brings about at once comes after it.
func (l *loop) handle(e policy.Event) {
	l.queue = append(l.queue, e)
	if l.handling {
		return
	}
	l.handling = true
	for len(l.queue) > 0 {
		e := l.queue[0]
		l.queue = l.queue[1:]
		for _, a := range l.module.Handle(l.now(), e) {
			l.do(a)
		}
	}
	l.handling, l.queue = false, nil
}

func (l *loop) do(a policy.Action) {
	switch a := a.(type) {
	case policy.Forward:
		l.send(a)
	case policy.Reject:
		l.finish(a.ID, answer{status: http.StatusServiceUnavailable, holdOff: a.RetryAfter})
	case policy.Fail:
		l.finish(a.ID, answer{status: http.StatusBadGateway})
	case policy.CancelAttempt:
		if r := l.requests[a.ID]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) && r.rules.MayCancel {
			r.attempts[a.Attempt].cancel()
		}
	case policy.SetTimer:
		heap.Push(&l.timers, runningTimer{time.Now().Add(a.After), a.Token})
	case policy.HealthCheck:
		l.probe(a.Server)
	case policy.SendMessage:
		l.peers.send(a.To, a.ToAll, a.Data)
	case policy.Subscribe:
		l.subscribe(a.On)
	case policy.FetchEndpoints:
		l.work.Go(func() {
			n, err := l.disco.fetch(l.ctx)
			l.post(func() { l.fetched(n, err) })
		})
	case policy.CloseIdleConnections:
		l.backends.closeIdle(a.Server)
	case policy.Log:
		l.log.Info(a.Line)
	}
}

// change takes other settings: those that are open keep theirs.
func (l *loop) change(s policy.Settings) {
	was := l.rules.Load()
	s.PollsEndpoints, s.Fleet = was.PollsEndpoints, was.Fleet // who follows the list, and the fleet, is settled at the start
	l.settled = time.Now()
	l.backends.configure(s)
	l.handle(policy.SettingsChanged{Settings: s})
	l.rules.Store(newRules(s))
}

// heard takes a datagram from another node.
func (l *loop) heard(from int, data []byte) {
	l.post(func() { l.handle(policy.MessageReceived{From: from, Data: data}) })
}

// runningTimer is a SetTimer that is running.
type runningTimer struct {
	at    time.Time
	token int64
}

type timerHeap []runningTimer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(t any)        { *h = append(*h, t.(runningTimer)) }
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}
