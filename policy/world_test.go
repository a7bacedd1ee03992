package policy_test

// This file simulates a small world that drives the module through legal but adverse events. The checker of the rules is
// in world_check_test.go. Both use the module only through its interface.

import (
	"fmt"
	"math/rand"
	"sort"
	"time"

	"meadowsill/policy"
)

type sentAttempt struct {
	server policy.ServerID
	at     time.Duration
	ended  bool
	code   policy.OutcomeCode
}

type liveRequest struct {
	class     policy.Class
	deadline  time.Duration
	attempts  []sentAttempt
	answered  bool
	streaming bool
}

type listedServer struct {
	policy.Server
	drainNotifiedAt time.Duration // when the node was told that the server is draining or removed; 0: the server is ready
	startNotified   bool
	excluded        bool          // by the operators
	includedAt      time.Duration // when the operators last included it again
}

type scheduledEvent struct {
	at    time.Duration
	order int
	event policy.Event
	id    policy.RequestID
}

type world struct {
	settings   policy.Settings
	random     *rand.Rand
	now        time.Duration
	queue      []scheduledEvent
	order      int
	requests   map[policy.RequestID]*liveRequest
	servers    map[policy.ServerID]*listedServer
	ids        []policy.ServerID
	sentAt     map[policy.ServerID][]time.Duration
	capacity   float64 // this node's part of the capacity of a warm server, requests/s
	module     *policy.Module
	mutate     func(w *world, a []policy.Action) []policy.Action
	events     []policy.Event
	times      []time.Duration
	actions    []string
	violations []string
	lastID     int
}

func (w *world) schedule(d time.Duration, p scheduledEvent) {
	w.order++
	p.at, p.order = w.now+max(d, w.settings.MinTick), w.order
	w.queue = append(w.queue, p)
}

func (w *world) handle(e policy.Event) {
	w.events, w.times = append(w.events, e), append(w.times, w.now)
	actions := w.module.Handle(w.now, e)
	w.actions = append(w.actions, fmt.Sprintf("%#v", actions))
	if w.mutate != nil {
		actions = w.mutate(w, actions)
	}
	for _, a := range actions {
		w.carryOut(a)
	}
}

// scheduleOutcome schedules the outcome of an attempt.
func (w *world) scheduleOutcome(a policy.Forward, q *liveRequest, n int) {
	limit := q.deadline - w.now
	if a.Timeout != 0 {
		limit = min(limit, a.Timeout)
	}
	codes := []policy.OutcomeCode{policy.OK, policy.OK, policy.OK, policy.OK, policy.OK, policy.ServerError,
		policy.Rejected, policy.TimedOut, policy.ConnectFailed, policy.Reset, policy.NotSent}
	code, elapsed := codes[w.random.Intn(len(codes))], time.Duration(1+w.random.Intn(400))*time.Millisecond
	if uint32(a.Server)%5 == uint32(w.now.Seconds()/7)%5 && w.random.Intn(2) == 0 {
		code = policy.TimedOut // some servers give no answers for a while
	}
	if code == policy.TimedOut || elapsed > limit {
		code, elapsed = policy.TimedOut, limit
	}
	if q.class.Streamed && code == policy.OK && elapsed > 10*time.Millisecond && w.random.Intn(2) == 0 {
		w.schedule(elapsed/2, scheduledEvent{event: policy.StreamStarted{ID: a.ID, Attempt: n, Server: a.Server, Elapsed: elapsed / 2}})
	}
	var report *policy.LoadReport
	if w.random.Intn(3) == 0 {
		report = &policy.LoadReport{InFlight: float64(w.random.Intn(30)), HasInFlight: w.random.Intn(4) > 0}
	}
	w.schedule(elapsed, scheduledEvent{id: a.ID, event: policy.AttemptEnded{ID: a.ID, Attempt: n, Server: a.Server, Elapsed: elapsed,
		Code: code, Report: report}})
}

// deliver passes a scheduled event to the module, as a real node would: each attempt has one outcome, and there is none for
// requests that a restarted node has forgotten.
func (w *world) deliver(p scheduledEvent) {
	switch e := p.event.(type) {
	case policy.AttemptEnded:
		q := w.requests[e.ID]
		if q == nil || q.attempts[e.Attempt].ended {
			return
		}
		at := &q.attempts[e.Attempt]
		at.ended, at.code = true, e.Code
		e.Answered = q.answered || e.Code == policy.OK
		if e.Code == policy.OK && !q.answered {
			q.answered = true
		}
		w.handle(e)
		return
	case policy.StreamStarted:
		q := w.requests[e.ID]
		if q == nil || q.answered || q.attempts[e.Attempt].ended {
			return
		}
		q.streaming = true
	case policy.RequestAbandoned:
		q := w.requests[e.ID]
		if q == nil || q.answered {
			return
		}
		q.answered = true
	}
	w.handle(p.event)
}

// arrive passes a new request to the module.
func (w *world) arrive() {
	w.lastID++
	id := policy.RequestID(fmt.Sprintf("%036d", w.lastID))
	c := w.settings.Classes[w.random.Intn(len(w.settings.Classes))]
	timeout := time.Duration(float64(c.Deadline) * (0.3 + 0.7*w.random.Float64()))
	if w.random.Intn(50) == 0 {
		timeout = 0
	}
	w.requests[id] = &liveRequest{class: c, deadline: w.now + timeout}
	if w.random.Intn(40) == 0 {
		w.schedule(timeout/2, scheduledEvent{event: policy.RequestAbandoned{ID: id}})
	}
	e := policy.RequestArrived{ID: id, Class: c.Name, Timeout: timeout}
	if len(w.settings.Tenants) > 0 {
		e.Tenant = w.settings.Tenants[w.random.Intn(len(w.settings.Tenants))].Name
	}
	w.handle(e)
}

func (w *world) newServer(started time.Duration) policy.Server {
	w.lastID++
	return policy.Server{ID: policy.ServerID(w.lastID*2654435761 + 1), Zone: fmt.Sprint("z", w.random.Intn(2)),
		Cell: w.random.Intn(3), Weight: 1, StartedAt: started}
}

// updateEndpoints records the entries of an endpoint update and passes the update to the module.
func (w *world) updateEndpoints(kind policy.EndpointUpdateKind, entries []policy.Server) {
	present := map[policy.ServerID]bool{}
	for _, entry := range entries {
		s := w.servers[entry.ID]
		if s == nil {
			s = &listedServer{}
			w.servers[entry.ID] = s
			w.ids = append(w.ids, entry.ID)
		}
		s.startNotified = entry.State == policy.Ready && entry.StartedAt > 0
		s.Server = entry
		present[entry.ID] = true
		if entry.State == policy.Ready {
			s.drainNotifiedAt = 0
		} else if s.drainNotifiedAt == 0 {
			s.drainNotifiedAt = w.now
		}
	}
	if kind != policy.EndpointsChanged {
		for _, id := range w.ids {
			if s := w.servers[id]; !present[id] && s.drainNotifiedAt == 0 {
				s.drainNotifiedAt, s.State = w.now, policy.Removed
			}
		}
	}
	w.handle(policy.EndpointUpdate{Kind: kind, Servers: entries})
}

func (w *world) changeList() {
	s := w.servers[w.ids[w.random.Intn(len(w.ids))]].Server
	switch w.random.Intn(6) {
	case 0:
		s.State = policy.Draining
	case 1:
		s.State = policy.Removed
	case 2:
		s.State, s.StartedAt = policy.Ready, w.now
	case 3:
		s = w.newServer(w.now)
	case 4:
		var all []policy.Server
		for _, id := range w.ids {
			if e := w.servers[id].Server; e.State != policy.Removed {
				all = append(all, e)
			}
		}
		w.updateEndpoints(policy.EndpointsComplete, all)
		return
	case 5:
		if w.settings.PollsEndpoints {
			w.handle(policy.EndpointUpdate{Kind: policy.EndpointsFailed})
		}
		return
	}
	w.updateEndpoints(policy.EndpointsChanged, []policy.Server{s})
}

// toggleExclusion excludes a random server, or includes it again if it is excluded.
func (w *world) toggleExclusion() {
	s := w.servers[w.ids[w.random.Intn(len(w.ids))]]
	if s.excluded = !s.excluded; s.excluded {
		w.handle(policy.ServerExcluded{Server: s.ID})
	} else {
		s.includedAt = w.now
		w.handle(policy.ServerIncluded{Server: s.ID, At: w.now})
	}
}

func (w *world) start() {
	w.module = policy.New(w.settings, w.random.Int63())
	w.requests, w.queue = map[policy.RequestID]*liveRequest{}, nil
	var all []policy.Server
	for _, id := range w.ids {
		if e := w.servers[id].Server; e.State != policy.Removed {
			all = append(all, e)
		}
	}
	for len(all) < 4 {
		all = append(all, w.newServer(0))
	}
	w.servers, w.ids = map[policy.ServerID]*listedServer{}, nil
	w.updateEndpoints(policy.EndpointsCached, all)
}

// run advances the world by length, with rate arrivals per second. With restarts the node may restart meanwhile.
func (w *world) run(length time.Duration, rate float64, restarts bool) {
	const step = 5 * time.Millisecond
	for end := w.now + length; w.now < end; w.now += step {
		sort.SliceStable(w.queue, func(i, j int) bool {
			return w.queue[i].at < w.queue[j].at || w.queue[i].at == w.queue[j].at && w.queue[i].order < w.queue[j].order
		})
		for len(w.queue) > 0 && w.queue[0].at <= w.now {
			p := w.queue[0]
			w.queue = w.queue[1:]
			w.deliver(p)
		}
		for n := rate * step.Seconds(); n > 0; n-- {
			if w.random.Float64() < n {
				w.arrive()
			}
		}
		if w.random.Intn(150) == 0 {
			w.changeList()
		}
		if w.random.Intn(300) == 0 {
			w.toggleExclusion()
		}
		if restarts && w.random.Intn(1500) == 0 {
			w.start()
		}
		for id, q := range w.requests {
			if !q.answered && !q.streaming && w.now > q.deadline+w.settings.AnswerSlack+step {
				w.violate("request %s has no answer in time", id)
				q.answered = true
			}
		}
	}
}

func newWorld(seed int64) *world {
	r := rand.New(rand.NewSource(seed))
	w := &world{random: r, now: time.Hour, servers: map[policy.ServerID]*listedServer{}, sentAt: map[policy.ServerID][]time.Duration{}}
	ms := func(lo, hi int) time.Duration { return time.Duration(lo+r.Intn(hi-lo)) * time.Millisecond }
	w.settings = policy.Settings{Nodes: 1 + r.Intn(6), Zone: "z0", MaxAttempts: 1 + r.Intn(5), MayHedge: r.Intn(2) == 0,
		MayCancel: r.Intn(3) > 0, MayHealthCheck: r.Intn(2) == 0, MayMessagePeers: r.Intn(2) == 0, SendsRetryAfter: r.Intn(2) == 0,
		MaxRetryAfter: time.Second, ConnectTimeout: 100 * time.Millisecond, MinTick: 5 * time.Millisecond,
		PollsEndpoints: r.Intn(2) == 0, AnswerSlack: 20 * time.Millisecond, MaxPollInterval: 10 * time.Second,
		DrainGrace: ms(0, 1000), SlowStartMinCapacity: 0.3, SlowStartWindow: ms(3000, 9000), OverloadFactor: 2.5, OverloadDuration: time.Second}
	for i, n := 0, 1+r.Intn(4); i < n; i++ {
		objective := ms(100, 1500)
		w.settings.Classes = append(w.settings.Classes, policy.Class{Name: fmt.Sprint("c", i), PriorityWeight: float64(r.Intn(13)), LatencyObjective: objective,
			Deadline: 2*objective + ms(0, 2000), LateWeight: float64(r.Intn(2)) / 2, Idempotency: policy.Idempotency(r.Intn(3)),
			KeyScope: policy.KeyScope(r.Intn(3)), DedupWindow: ms(100, 4000), Streamed: r.Intn(4) == 0})
	}
	if r.Intn(3) == 0 {
		w.settings.Tenants = []policy.Tenant{{Name: "a", Quota: 10}, {Name: "b", Quota: 100}}
	}
	w.start()
	return w
}
