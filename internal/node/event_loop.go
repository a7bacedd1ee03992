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
	// overdueDelay is how long after a request's deadline the node answers by itself if the module has not: nothing
	// may wait for ever, whatever the module does.
	overdueDelay = 20 * time.Millisecond
	// dedupWindowMargin is kept from the end of the time in which backends remember a key; of a short time, half of it.
	dedupWindowMargin = 100 * time.Millisecond
	eventQueueSize    = 1024
)

// eventLoop owns the module: all that happens becomes an event for it here, one at a time, and the actions that it requests
// are started. Nothing in it waits for the network.
type eventLoop struct {
	module     *policy.Module
	rules      atomic.Pointer[requestRules] // those for requests that come now; the loop's goroutine changes them
	backends   *upstreams
	discovery  *discoveryClient
	peers      *peerMessenger
	exclusions *exclusions // nil without an admin API
	log        *slog.Logger

	ctx            context.Context // of all that the loop sets going
	events         chan func()
	running        sync.WaitGroup
	hasReadyServer atomic.Bool   // some backend is ready
	readyToServe   chan struct{} // closed when that is so for the first time
	firstReady     sync.Once
	startedAt      time.Time
	clockBase      policy.Time // the clock's reading at startedAt

	requests           map[policy.RequestID]*request
	timers             timerHeap
	pendingEvents      []policy.Event
	handling           bool
	readyServers       map[policy.ServerID]bool
	serverNames        map[policy.ServerID]string // of the servers that are listed
	notifiedExclusions map[string]bool            // exclusions that the module was notified of
	notifiedInclusions map[string]time.Time       // inclusions that it was notified of
	listVersion        uint64
	cancelWatch        context.CancelFunc
	watchOpen          bool      // the watch has had its first answer
	settingsSince      time.Time // when the settings in force were taken
}

func newEventLoop(ctx context.Context, c *Config, b *upstreams, d *discoveryClient, p *peerMessenger, log *slog.Logger) *eventLoop {
	now := time.Now()
	l := &eventLoop{
		module:             policy.New(c.Settings, c.Seed),
		backends:           b,
		discovery:          d,
		peers:              p,
		log:                log,
		ctx:                ctx,
		events:             make(chan func(), eventQueueSize),
		readyToServe:       make(chan struct{}),
		startedAt:          now,
		clockBase:          time.Duration(now.UnixNano()),
		requests:           map[policy.RequestID]*request{},
		readyServers:       map[policy.ServerID]bool{},
		serverNames:        map[policy.ServerID]string{},
		notifiedExclusions: map[string]bool{},
		notifiedInclusions: map[string]time.Time{},
		settingsSince:      now,
	}
	l.rules.Store(newRequestRules(c.Settings))
	return l
}

// now is the module's clock: it goes on evenly from the time of day at the start, so that the times at which
// backends started can be expressed on it.
func (l *eventLoop) now() policy.Time { return l.clockBase + time.Since(l.startedAt) }

// post has f run in the loop. It reports whether it will.
func (l *eventLoop) post(f func()) bool {
	select {
	case l.events <- f:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// run is the loop's goroutine. It ends with the context, once all that it has set going has ended.
func (l *eventLoop) run(known endpointList) {
	defer l.running.Wait()
	known.complete = true
	l.applyEndpoints(known, policy.EndpointsCached)
	changed := l.exclusions.changes()
	if !l.rules.Load().PollsEndpoints {
		since := known.version
		l.running.Go(func() {
			l.discovery.follow(l.ctx, since, func(n endpointList) { l.post(func() { l.endpointsUpdated(n) }) })
		})
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
		case f := <-l.events:
			f()
		case <-changed:
			l.notifyExclusions()
		case <-timer.C:
			for now := time.Now(); len(l.timers) > 0 && !l.timers[0].at.After(now); {
				l.handle(policy.TimerFired{Token: heap.Pop(&l.timers).(runningTimer).token})
			}
		}
	}
}

// handle gives the module an event and does what it requests. What that brings about at once comes after it.
func (l *eventLoop) handle(e policy.Event) {
	l.pendingEvents = append(l.pendingEvents, e)
	if l.handling {
		return
	}
	l.handling = true
	for len(l.pendingEvents) > 0 {
		e := l.pendingEvents[0]
		l.pendingEvents = l.pendingEvents[1:]
		for _, a := range l.module.Handle(l.now(), e) {
			l.perform(a)
		}
	}
	l.handling, l.pendingEvents = false, nil
}

func (l *eventLoop) perform(a policy.Action) {
	switch a := a.(type) {
	case policy.Forward:
		l.startAttempt(a)
	case policy.Reject:
		l.finishRequest(a.ID, answer{status: http.StatusServiceUnavailable, retryAfter: a.RetryAfter})
	case policy.Fail:
		l.finishRequest(a.ID, answer{status: http.StatusBadGateway})
	case policy.CancelAttempt:
		if r := l.requests[a.ID]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) && r.rules.MayCancel {
			r.attempts[a.Attempt].cancel()
		}
	case policy.SetTimer:
		heap.Push(&l.timers, runningTimer{time.Now().Add(a.After), a.Token})
	case policy.HealthCheck:
		l.checkHealth(a.Server)
	case policy.SendMessage:
		l.peers.send(a.To, a.ToAll, a.Data)
	case policy.Subscribe:
		l.watchEndpoints(a.On)
	case policy.FetchEndpoints:
		l.running.Go(func() {
			n, err := l.discovery.fetch(l.ctx)
			l.post(func() { l.endpointsFetched(n, err) })
		})
	case policy.CloseIdleConnections:
		l.backends.closeIdle(a.Server)
	case policy.Log:
		l.log.Info(a.Line)
	}
}

// changeSettings takes other settings: those that are open keep theirs.
func (l *eventLoop) changeSettings(s policy.Settings) {
	was := l.rules.Load()
	s.PollsEndpoints, s.Fleet = was.PollsEndpoints, was.Fleet // who follows the list, and the fleet, is settled at the start
	l.settingsSince = time.Now()
	l.backends.configure(s)
	l.handle(policy.SettingsChanged{Settings: s})
	l.rules.Store(newRequestRules(s))
}

// receiveMessage takes a datagram from another node.
func (l *eventLoop) receiveMessage(from int, data []byte) {
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
