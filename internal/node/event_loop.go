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
	// overdueDelay is how long after a request's deadline the node itself answers the request if the module has not
	// answered it. It guarantees that no request waits forever, whatever the module does.
	overdueDelay = 20 * time.Millisecond
	// dedupWindowMargin is subtracted from the time for which app servers remember an idempotency key, so that the last
	// byte of a retry arrives before the key is forgotten. At most half of that time is subtracted.
	dedupWindowMargin = 100 * time.Millisecond
	eventQueueSize    = 1024
)

// eventLoop owns the policy module. It passes everything that happens to the module as an event, one at a time, and starts
// the actions that the module requests. The loop never waits for the network.
type eventLoop struct {
	module     *policy.Module
	rules      atomic.Pointer[requestRules] // apply to requests that arrive from now on; only the loop's goroutine changes them
	upstreams  *upstreams
	discovery  *discoveryClient
	peers      *peerMessenger
	exclusions *exclusions // nil without an admin API
	log        *slog.Logger

	ctx            context.Context // ends every goroutine that the loop starts
	events         chan func()
	running        sync.WaitGroup
	hasReadyServer atomic.Bool   // at least one app server is ready
	readyToServe   chan struct{} // closed when an app server is ready for the first time
	firstReady     sync.Once
	startedAt      time.Time
	clockBase      policy.Time // the module's clock at startedAt

	requests           map[policy.RequestID]*request
	refusals           *refusals
	requestIDs         *requestIDs // ids of requests that must not run twice
	timers             timerHeap
	pendingEvents      []policy.Event
	handling           bool
	readyServers       map[policy.ServerID]bool
	serverNames        map[policy.ServerID]string // names of the servers in the endpoint list
	notifiedExclusions map[string]bool            // exclusions that the module has been notified of
	notifiedInclusions map[string]time.Time       // inclusions that the module has been notified of, by their time
	listVersion        uint64
	cancelWatch        context.CancelFunc
	watchOpen          bool      // the watch has received its first answer
	settingsSince      time.Time // when the settings in force were applied
}

// newEventLoop returns an event loop that is not running yet. p is nil if the node exchanges no messages with others.
func newEventLoop(ctx context.Context, c *Config, u *upstreams, d *discoveryClient, p *peerMessenger, log *slog.Logger) *eventLoop {
	now := time.Now()
	l := &eventLoop{
		module:             policy.New(c.Settings, c.Seed),
		upstreams:          u,
		discovery:          d,
		peers:              p,
		log:                log,
		ctx:                ctx,
		events:             make(chan func(), eventQueueSize),
		readyToServe:       make(chan struct{}),
		startedAt:          now,
		clockBase:          time.Duration(now.UnixNano()),
		requests:           map[policy.RequestID]*request{},
		requestIDs:         newRequestIDs(),
		readyServers:       map[policy.ServerID]bool{},
		serverNames:        map[policy.ServerID]string{},
		notifiedExclusions: map[string]bool{},
		notifiedInclusions: map[string]time.Time{},
		settingsSince:      now,
	}
	l.rules.Store(newRequestRules(c.Settings))
	return l
}

// now returns the time on the module's clock. The clock starts at the time of day at which the loop was made and then
// advances monotonically, so that the start times of app servers can be expressed on it.
func (l *eventLoop) now() policy.Time { return l.clockBase + time.Since(l.startedAt) }

// post queues f to run in the loop. It returns false if the loop has ended and f will not run.
func (l *eventLoop) post(f func()) bool {
	select {
	case l.events <- f:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// run is the loop's goroutine. It returns when the context has ended and every goroutine that the loop started has ended.
func (l *eventLoop) run(known endpointList) {
	defer l.running.Wait()
	known.complete = true
	l.applyEndpoints(known, policy.EndpointsCached)
	changed := l.exclusions.changes()
	if !l.rules.Load().PollsEndpoints {
		since := known.version
		l.running.Go(func() {
			l.discovery.follow(l.ctx, since, func(list endpointList) { l.post(func() { l.endpointsUpdated(list) }) })
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
				l.handle(policy.TimerFired{Token: heap.Pop(&l.timers).(pendingTimer).token})
			}
		}
	}
}

// handle passes an event to the module and performs the actions that the module requests. Events that these actions cause
// at once are queued and handled after it.
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

// perform carries out an action that the module requests. It does not wait for the network.
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
		heap.Push(&l.timers, pendingTimer{time.Now().Add(a.After), a.Token})
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
		l.upstreams.closeIdle(a.Server)
	case policy.Log:
		l.log.Info(a.Line)
	}
}

// changeSettings applies new settings. Open requests keep the settings under which they arrived.
func (l *eventLoop) changeSettings(s policy.Settings) {
	previous := l.rules.Load()
	s.PollsEndpoints, s.Fleet = previous.PollsEndpoints, previous.Fleet // both are fixed when the node starts
	l.settingsSince = time.Now()
	l.upstreams.configure(s)
	l.handle(policy.SettingsChanged{Settings: s})
	l.rules.Store(newRequestRules(s))
}

// receiveMessage passes a datagram from another node to the module.
func (l *eventLoop) receiveMessage(from int, data []byte) {
	l.post(func() { l.handle(policy.MessageReceived{From: from, Data: data}) })
}

// pendingTimer is a timer that the module has set and that has not fired yet.
type pendingTimer struct {
	at    time.Time
	token int64
}

// timerHeap is a heap of timers, with the earliest one first.
type timerHeap []pendingTimer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(t any)        { *h = append(*h, t.(pendingTimer)) }
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}
