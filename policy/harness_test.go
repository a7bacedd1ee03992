package policy_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"meadowsill/policy"
)

// harness feeds one module with a fleet of servers whose delays the test sets.
type harness struct {
	t           *testing.T
	module      *policy.Module
	now         time.Duration
	delay       func(s policy.ServerID) (time.Duration, policy.OutcomeCode)
	pending     []harnessEvent
	sent        map[policy.ServerID]int
	finalAnswer map[policy.RequestID]policy.Action
	attempts    map[policy.RequestID]int
	answered    map[policy.RequestID]bool
	retries     int           // of a rejected client, after its backoff
	timeout     time.Duration // of a first attempt
	work        func(policy.RequestID) time.Duration
	retryAfters []time.Duration // that rejected clients were notified
	inTime      map[string]int
	arrivedAt   map[policy.RequestID]time.Duration
	rejected    int
	failed      int
	polls       int
	lastID      int
	logged      int
}

type harnessEvent struct {
	at    time.Duration
	event policy.Event
}

func harnessSettings() policy.Settings {
	return policy.Settings{Nodes: 1, MaxAttempts: 3, MayCancel: true, MinTick: 5 * time.Millisecond, MaxPollInterval: 10 * time.Second,
		ConnectTimeout: 100 * time.Millisecond, SlowStartMinCapacity: 0.3, SlowStartWindow: 8 * time.Second, OverloadFactor: 2.5,
		OverloadDuration: time.Second, SendsRetryAfter: true, MaxRetryAfter: time.Second,
		Classes: []policy.Class{
			{Name: "priority", PriorityWeight: 12, LatencyObjective: 600 * time.Millisecond, Deadline: 1200 * time.Millisecond, Idempotency: policy.Idempotent},
			{Name: "bulk", PriorityWeight: 1, LatencyObjective: 1500 * time.Millisecond, Deadline: 4 * time.Second, Idempotency: policy.Idempotent},
			{Name: "unsafe", PriorityWeight: 1, LatencyObjective: 1500 * time.Millisecond, Deadline: 2 * time.Second, Idempotency: policy.NonIdempotent}}}
}

func newHarness(t *testing.T, s policy.Settings, servers int) *harness {
	r := &harness{t: t, module: policy.New(s, 5), now: time.Hour, sent: map[policy.ServerID]int{}, answered: map[policy.RequestID]bool{},
		finalAnswer: map[policy.RequestID]policy.Action{}, attempts: map[policy.RequestID]int{}, timeout: 2 * time.Second,
		inTime: map[string]int{}, arrivedAt: map[policy.RequestID]time.Duration{}}
	r.work = func(policy.RequestID) time.Duration { return 0 }
	r.delay = func(policy.ServerID) (time.Duration, policy.OutcomeCode) { return 50 * time.Millisecond, policy.OK }
	var list []policy.Server
	for i := range servers {
		list = append(list, policy.Server{ID: policy.ServerID(i + 1), Zone: "z"})
	}
	r.feed(policy.EndpointUpdate{Kind: policy.EndpointsCached, Servers: list})
	return r
}

func (r *harness) feed(e policy.Event) {
	for _, a := range r.module.Handle(r.now, e) {
		switch a := a.(type) {
		case policy.Forward:
			r.sent[a.Server]++
			leg := r.attempts[a.ID]
			r.attempts[a.ID]++
			d, code := r.delay(a.Server)
			d += r.work(a.ID)
			if d > a.Timeout {
				d, code = a.Timeout, policy.TimedOut
			}
			r.pending = append(r.pending, harnessEvent{r.now + d, policy.AttemptEnded{ID: a.ID, Attempt: leg, Server: a.Server, Code: code, Elapsed: d}})
		case policy.CancelAttempt:
			r.pending = append(r.pending, harnessEvent{r.now + time.Millisecond, policy.AttemptEnded{ID: a.ID, Attempt: a.Attempt, Code: policy.Cancelled}})
		case policy.Reject:
			r.rejected++
			r.answered[a.ID], r.finalAnswer[a.ID] = true, a
			r.retryAfters = append(r.retryAfters, a.RetryAfter)
			class, attempt, _ := strings.Cut(string(a.ID), "/")
			if left := r.timeout - (r.now + a.RetryAfter - r.arrivedAt[policy.RequestID(class)]); len(attempt) < r.retries && left > 0 {
				id := policy.RequestID(class + "/" + attempt + "x")
				r.pending = append(r.pending, harnessEvent{r.now + a.RetryAfter, policy.RequestArrived{ID: id, Class: strings.TrimRight(class,
					"0123456789"), Timeout: left}})
			}
		case policy.Fail:
			r.failed++
			r.answered[a.ID], r.finalAnswer[a.ID] = true, a
		case policy.SetTimer:
			r.pending = append(r.pending, harnessEvent{r.now + a.After, policy.TimerFired{Token: a.Token}})
		case policy.Log:
			r.logged++
		case policy.Subscribe:
			r.polls++
			r.pending = append(r.pending, harnessEvent{r.now + time.Second, policy.EndpointUpdate{Kind: policy.EndpointsFailed}})
		}
	}
}

// run runs some time with so many arrivals a second of a class.
func (r *harness) run(length time.Duration, rate float64, class string) {
	arrived := 0.0
	for end := r.now + length; r.now < end; r.now += 5 * time.Millisecond {
		var rest, now []harnessEvent
		for _, d := range r.pending {
			if d.at <= r.now {
				now = append(now, d)
			} else {
				rest = append(rest, d)
			}
		}
		r.pending = rest
		for _, d := range now {
			if e, ok := d.event.(policy.AttemptEnded); ok {
				e.Answered = r.answered[e.ID] || e.Code == policy.OK
				first, _, _ := strings.Cut(string(e.ID), "/")
				if e.Code == policy.OK && !r.answered[e.ID] && r.now-r.arrivedAt[policy.RequestID(first)] < 600*time.Millisecond {
					r.inTime[strings.TrimRight(first, "0123456789")]++
				}
				r.answered[e.ID] = e.Answered
				d.event = e
			}
			r.feed(d.event)
		}
		for arrived += rate * 0.005; arrived >= 1; arrived-- {
			r.lastID++
			id := policy.RequestID(fmt.Sprint(class, r.lastID))
			r.arrivedAt[id] = r.now
			r.feed(policy.RequestArrived{ID: id, Class: class, Timeout: r.timeout})
		}
	}
}

func (r *harness) reset() { r.sent, r.rejected, r.failed = map[policy.ServerID]int{}, 0, 0 }
