package hollow

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"meadowsill/policy"
)

const (
	minTick             = 100 * time.Millisecond // shortest time between timer events of the module; 25 ms on a real node
	clientTimeout       = 2 * time.Second        // timeout of the modelled clients
	minAnswerTime       = 5 * time.Millisecond   // shortest time that a server takes to answer
	meanExtraAnswerTime = 15 * time.Millisecond  // mean of the exponentially distributed time beyond minAnswerTime
	cancelDelay         = time.Millisecond
	maxAttempts         = 3
	requestClass        = "browse"
)

// settings returns the settings of a hollow node's module, with a single class of idempotent requests.
func settings(cfg *Config, number int) policy.Settings {
	return policy.Settings{
		Nodes:                max(1, cfg.Nodes),
		NodeIndex:            number - cfg.FirstNode,
		Zone:                 cfg.nodeZone(number),
		Zones:                cfg.Zones,
		MaxAttempts:          maxAttempts,
		MayCancel:            true,
		MinTick:              time.Millisecond,
		MaxPollInterval:      time.Hour,
		ConnectTimeout:       200 * time.Millisecond,
		SlowStartMinCapacity: 0.2,
		SlowStartWindow:      time.Second,
		OverloadFactor:       1,
		OverloadDuration:     time.Second,
		SendsRetryAfter:      true,
		MaxRetryAfter:        time.Second,
		Fleet:                true,
		Classes:              []policy.Class{{Name: requestClass, PriorityWeight: 1, LatencyObjective: time.Second, Deadline: clientTimeout, Idempotency: policy.Idempotent}},
	}
}

// module drives a policy.Module: it provides the module's clock and timers, and models the requests and the servers' answers.
// Callers of its methods hold the node's lock.
type module struct {
	*policy.Module
	startedAt time.Time
	base      policy.Time // the clock's reading at startedAt, as Unix time like a real node's
	random    *rand.Rand
	rate      float64  // requests per second
	active    []string // tenants that have load; if there are none, requests name no tenant

	due      dueHeap
	requests uint64
	open     map[policy.RequestID]*openRequest
}

// openRequest is a request that has attempts in flight or no final answer yet.
type openRequest struct {
	ended       []bool // indexed by attempt
	outstanding int    // attempts that have not ended
	answered    bool   // the request has its final answer
}

// due is an event to be handled by the module at a given time; a nil event is the arrival of the next request.
type due struct {
	at    policy.Time
	event policy.Event
}

func newModule(cfg *Config, number int, incarnation uint64) *module {
	now := time.Now()
	m := &module{
		Module:    policy.New(settings(cfg, number), int64(cfg.Seed)*1000+int64(number)),
		startedAt: now,
		base:      time.Duration(now.UnixNano()),
		random:    rand.New(rand.NewPCG(cfg.Seed^incarnation, uint64(number))),
		rate:      cfg.RequestsPerS,
		open:      map[policy.RequestID]*openRequest{},
	}
	if m.rate > 0 {
		m.scheduleArrival(m.base)
	}
	return m
}

// now returns the time by the module's clock.
func (m *module) now() policy.Time { return m.base + time.Since(m.startedAt) }

func (m *module) at(t policy.Time, e policy.Event) { heap.Push(&m.due, due{t, e}) }

// scheduleArrival draws the arrival time of the next request from an exponential distribution, starting at after.
func (m *module) scheduleArrival(after policy.Time) {
	m.at(after+time.Duration(m.random.ExpFloat64()/m.rate*float64(time.Second)), nil)
}

// advance processes all events that are due, each with its own time, and returns the time up to which it has done so.
func (m *module) advance() (now policy.Time) {
	for now = m.now(); len(m.due) > 0 && m.due[0].at <= now; {
		next := heap.Pop(&m.due).(due)
		switch e := next.event.(type) {
		case nil:
			m.arrive(next.at)
			m.scheduleArrival(next.at)
		case policy.AttemptEnded:
			m.attemptEnded(next.at, e)
		default:
			m.handle(next.at, e)
		}
	}
	return now
}

// deliver has the module handle an event at the current time, after all events that are due.
func (m *module) deliver(e policy.Event) { m.handle(m.advance(), e) }

// arrive models the arrival of a request of a random active tenant.
func (m *module) arrive(at policy.Time) {
	m.requests++
	e := policy.RequestArrived{ID: policy.RequestID(strconv.FormatUint(m.requests, 10)), Class: requestClass, Timeout: clientTimeout}
	if len(m.active) > 0 {
		e.Tenant = m.active[m.random.IntN(len(m.active))]
	}
	m.open[e.ID] = &openRequest{}
	m.handle(at, e)
}

// attemptEnded has the module handle the end of an attempt, unless the attempt has ended before.
func (m *module) attemptEnded(at policy.Time, e policy.AttemptEnded) {
	r := m.open[e.ID]
	if r == nil || r.ended[e.Attempt] {
		return // the attempt was cancelled, or its request is no longer open
	}
	r.ended[e.Attempt] = true
	r.outstanding--
	r.answered = r.answered || e.Code == policy.OK
	e.Answered = r.answered
	m.handle(at, e)
	m.removeIfDone(e.ID)
}

// removeIfDone removes a request that has its final answer and no attempt in flight.
func (m *module) removeIfDone(id policy.RequestID) {
	if r := m.open[id]; r != nil && r.answered && r.outstanding == 0 {
		delete(m.open, id)
	}
}

// handle passes an event to the module and carries out the actions that the module returns.
func (m *module) handle(at policy.Time, e policy.Event) {
	for _, action := range m.Handle(at, e) {
		switch a := action.(type) {
		case policy.Forward:
			m.send(at, a)
		case policy.CancelAttempt:
			m.at(at+cancelDelay, policy.AttemptEnded{ID: a.ID, Attempt: a.Attempt, Code: policy.Cancelled})
		case policy.Reject:
			m.finish(a.ID)
		case policy.Fail:
			m.finish(a.ID)
		case policy.SetTimer:
			m.at(at+max(a.After, minTick), policy.TimerFired{Token: a.Token})
		}
	}
}

// send models an attempt: the server answers after a random time, or the attempt times out first.
func (m *module) send(at policy.Time, a policy.Forward) {
	r := m.open[a.ID]
	if r == nil {
		return
	}
	took := minAnswerTime + time.Duration(m.random.ExpFloat64()*float64(meanExtraAnswerTime))
	e := policy.AttemptEnded{ID: a.ID, Attempt: len(r.ended), Server: a.Server, Elapsed: took, Code: policy.OK}
	if a.Timeout > 0 && took > a.Timeout {
		e.Elapsed, e.Code = a.Timeout, policy.TimedOut
	}
	r.ended = append(r.ended, false)
	r.outstanding++
	m.at(at+e.Elapsed, e)
}

func (m *module) finish(id policy.RequestID) {
	if r := m.open[id]; r != nil {
		r.answered = true
		m.removeIfDone(id)
	}
}

// dueHeap is a min-heap of events by time.
type dueHeap []due

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h dueHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends an event; it implements heap.Interface.
func (h *dueHeap) Push(x any) { *h = append(*h, x.(due)) }

// Pop removes and returns the last event; it implements heap.Interface.
func (h *dueHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
