package policy_test

// A small world that drives the module through legal but unkind events; its checker is in worldcheck_test.go. Nothing
// here uses the module's own code beyond its interface.

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

type listed struct {
	policy.Server
	drainNotifiedAt time.Duration // when the node was notified that it drains or is removed; 0: it is ready
	startNotified   bool
	excluded        bool          // excluded by the operators
	includedAt      time.Duration // when it was last given back
}

type pending struct {
	at    time.Duration
	order int
	event policy.Event
	id    policy.RequestID
}

type world struct {
	settings   policy.Settings
	random     *rand.Rand
	now        time.Duration
	queue      []pending
	order      int
	requests   map[policy.RequestID]*liveRequest
	servers    map[policy.ServerID]*listed
	ids        []policy.ServerID
	sends      map[policy.ServerID][]time.Duration
	capacity   float64 // requests a second that this node's quota lease of a warm server can do
	module     *policy.Module
	mutate     func(w *world, a []policy.Action) []policy.Action
	events     []policy.Event
	times      []time.Duration
	actions    []string
	violations []string
	next       int
}

func (w *world) later(d time.Duration, p pending) {
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

// outcome plans how an attempt ends.
func (w *world) outcome(a policy.Forward, q *liveRequest, n int) {
	limit := q.deadline - w.now
	if a.Timeout != 0 {
		limit = min(limit, a.Timeout)
	}
	codes := []policy.OutcomeCode{policy.OK, policy.OK, policy.OK, policy.OK, policy.OK, policy.ServerError,
		policy.Rejected, policy.TimedOut, policy.ConnectFailed, policy.Reset, policy.NotSent}
	code, took := codes[w.random.Intn(len(codes))], time.Duration(1+w.random.Intn(400))*time.Millisecond
	if uint32(a.Server)%5 == uint32(w.now.Seconds()/7)%5 && w.random.Intn(2) == 0 {
		code = policy.TimedOut // some servers are silent for a while
	}
	if code == policy.TimedOut || took > limit {
		code, took = policy.TimedOut, limit
	}
	if q.class.Streamed && code == policy.OK && took > 10*time.Millisecond && w.random.Intn(2) == 0 {
		w.later(took/2, pending{event: policy.StreamStarted{ID: a.ID, Attempt: n, Server: a.Server, Elapsed: took / 2}})
	}
	var report *policy.LoadReport
	if w.random.Intn(3) == 0 {
		report = &policy.LoadReport{InFlight: float64(w.random.Intn(30)), HasInFlight: w.random.Intn(4) > 0}
	}
	w.later(took, pending{id: a.ID, event: policy.AttemptEnded{ID: a.ID, Attempt: n, Server: a.Server, Elapsed: took,
		Code: code, Report: report}})
}

// deliver hands an event over, as the wire would: one outcome for each attempt, none for what the node forgot.
func (w *world) deliver(p pending) {
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

// arrivals and changes of the list.
func (w *world) arrive() {
	w.next++
	id := policy.RequestID(fmt.Sprintf("%036d", w.next))
	c := w.settings.Classes[w.random.Intn(len(w.settings.Classes))]
	timeout := time.Duration(float64(c.Deadline) * (0.3 + 0.7*w.random.Float64()))
	if w.random.Intn(50) == 0 {
		timeout = 0
	}
	w.requests[id] = &liveRequest{class: c, deadline: w.now + timeout}
	if w.random.Intn(40) == 0 {
		w.later(timeout/2, pending{event: policy.RequestAbandoned{ID: id}})
	}
	e := policy.RequestArrived{ID: id, Class: c.Name, Timeout: timeout}
	if len(w.settings.Tenants) > 0 {
		e.Tenant = w.settings.Tenants[w.random.Intn(len(w.settings.Tenants))].Name
	}
	w.handle(e)
}

func (w *world) newServer(started time.Duration) policy.Server {
	w.next++
	return policy.Server{ID: policy.ServerID(w.next*2654435761 + 1), Zone: fmt.Sprint("z", w.random.Intn(2)),
		Cell: w.random.Intn(3), Weight: 1, StartedAt: started}
}

// notify records what a list says and passes it on.
func (w *world) notify(kind policy.EndpointUpdateKind, entries []policy.Server) {
	in := map[policy.ServerID]bool{}
	for _, n := range entries {
		s := w.servers[n.ID]
		if s == nil {
			s = &listed{}
			w.servers[n.ID] = s
			w.ids = append(w.ids, n.ID)
		}
		s.startNotified = n.State == policy.Ready && n.StartedAt > 0
		s.Server = n
		in[n.ID] = true
		if n.State == policy.Ready {
			s.drainNotifiedAt = 0
		} else if s.drainNotifiedAt == 0 {
			s.drainNotifiedAt = w.now
		}
	}
	if kind != policy.EndpointsChanged {
		for _, id := range w.ids {
			if s := w.servers[id]; !in[id] && s.drainNotifiedAt == 0 {
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
		w.notify(policy.EndpointsComplete, all)
		return
	case 5:
		if w.settings.PollsEndpoints {
			w.handle(policy.EndpointUpdate{Kind: policy.EndpointsFailed})
		}
		return
	}
	w.notify(policy.EndpointsChanged, []policy.Server{s})
}

// exclude takes a server out, or back if it is out.
func (w *world) exclude() {
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
	w.servers, w.ids = map[policy.ServerID]*listed{}, nil
	w.notify(policy.EndpointsCached, all)
}

// run runs a stretch of time; restarts reports whether the node may be restarted in between.
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
			w.exclude()
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
	w := &world{random: r, now: time.Hour, servers: map[policy.ServerID]*listed{}, sends: map[policy.ServerID][]time.Duration{}}
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
