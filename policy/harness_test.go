package policy_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"meadowsill/policy"
)

// harness drives one module and simulates servers whose answers and delays the test sets.
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
	retries     int           // most retries of a rejected client, each after its Retry-After
	timeout     time.Duration // until the client stops waiting, its retries included
	work        func(policy.RequestID) time.Duration
	retryAfters []time.Duration // Retry-After values of the rejections
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
	h := &harness{t: t, module: policy.New(s, 5), now: time.Hour, sent: map[policy.ServerID]int{}, answered: map[policy.RequestID]bool{},
		finalAnswer: map[policy.RequestID]policy.Action{}, attempts: map[policy.RequestID]int{}, timeout: 2 * time.Second,
		inTime: map[string]int{}, arrivedAt: map[policy.RequestID]time.Duration{}}
	h.work = func(policy.RequestID) time.Duration { return 0 }
	h.delay = func(policy.ServerID) (time.Duration, policy.OutcomeCode) { return 50 * time.Millisecond, policy.OK }
	var list []policy.Server
	for i := range servers {
		list = append(list, policy.Server{ID: policy.ServerID(i + 1), Zone: "z"})
	}
	h.feed(policy.EndpointUpdate{Kind: policy.EndpointsCached, Servers: list})
	return h
}

func (h *harness) feed(e policy.Event) {
	for _, a := range h.module.Handle(h.now, e) {
		switch a := a.(type) {
		case policy.Forward:
			h.sent[a.Server]++
			attempt := h.attempts[a.ID]
			h.attempts[a.ID]++
			elapsed, code := h.delay(a.Server)
			elapsed += h.work(a.ID)
			if elapsed > a.Timeout {
				elapsed, code = a.Timeout, policy.TimedOut
			}
			h.pending = append(h.pending, harnessEvent{h.now + elapsed, policy.AttemptEnded{ID: a.ID, Attempt: attempt, Server: a.Server, Code: code,
				Elapsed: elapsed}})
		case policy.CancelAttempt:
			h.pending = append(h.pending, harnessEvent{h.now + time.Millisecond, policy.AttemptEnded{ID: a.ID, Attempt: a.Attempt, Code: policy.Cancelled}})
		case policy.Reject:
			h.rejected++
			h.answered[a.ID], h.finalAnswer[a.ID] = true, a
			h.retryAfters = append(h.retryAfters, a.RetryAfter)
			firstID, retrySuffix, _ := strings.Cut(string(a.ID), "/")
			if remaining := h.timeout - (h.now + a.RetryAfter - h.arrivedAt[policy.RequestID(firstID)]); len(retrySuffix) < h.retries && remaining > 0 {
				id := policy.RequestID(firstID + "/" + retrySuffix + "x")
				h.pending = append(h.pending, harnessEvent{h.now + a.RetryAfter, policy.RequestArrived{ID: id, Class: strings.TrimRight(firstID,
					"0123456789"), Timeout: remaining}})
			}
		case policy.Fail:
			h.failed++
			h.answered[a.ID], h.finalAnswer[a.ID] = true, a
		case policy.SetTimer:
			h.pending = append(h.pending, harnessEvent{h.now + a.After, policy.TimerFired{Token: a.Token}})
		case policy.Log:
			h.logged++
		case policy.Subscribe:
			h.polls++
			h.pending = append(h.pending, harnessEvent{h.now + time.Second, policy.EndpointUpdate{Kind: policy.EndpointsFailed}})
		}
	}
}

// run runs the module for length, with rate arrivals per second of a class.
func (h *harness) run(length time.Duration, rate float64, class string) {
	arrived := 0.0
	for end := h.now + length; h.now < end; h.now += 5 * time.Millisecond {
		var rest, now []harnessEvent
		for _, p := range h.pending {
			if p.at <= h.now {
				now = append(now, p)
			} else {
				rest = append(rest, p)
			}
		}
		h.pending = rest
		for _, p := range now {
			if e, ok := p.event.(policy.AttemptEnded); ok {
				e.Answered = h.answered[e.ID] || e.Code == policy.OK
				first, _, _ := strings.Cut(string(e.ID), "/")
				if e.Code == policy.OK && !h.answered[e.ID] && h.now-h.arrivedAt[policy.RequestID(first)] < 600*time.Millisecond {
					h.inTime[strings.TrimRight(first, "0123456789")]++
				}
				h.answered[e.ID] = e.Answered
				p.event = e
			}
			h.feed(p.event)
		}
		for arrived += rate * 0.005; arrived >= 1; arrived-- {
			h.lastID++
			id := policy.RequestID(fmt.Sprint(class, h.lastID))
			h.arrivedAt[id] = h.now
			h.feed(policy.RequestArrived{ID: id, Class: class, Timeout: h.timeout})
		}
	}
}

func (h *harness) reset() { h.sent, h.rejected, h.failed = map[policy.ServerID]int{}, 0, 0 }
