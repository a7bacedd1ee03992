package policy_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"meadowsill/policy"
)

// rig feeds one module with a fleet of servers whose delays the test sets.
type rig struct {
	t        *testing.T
	m        *policy.Module
	now      time.Duration
	delay    func(s policy.ServerID) (time.Duration, policy.OutcomeCode)
	due      []rigEvent
	sent     map[policy.ServerID]int
	last     map[policy.RequestID]policy.Action
	legs     map[policy.RequestID]int
	over     map[policy.RequestID]bool
	retries  int           // of a refused client, after its hold-off
	patience time.Duration // of a first try
	work     func(policy.RequestID) time.Duration
	waits    []time.Duration // that refused clients were told
	inTime   map[string]int
	came     map[policy.RequestID]time.Duration
	refused, failed,
	asks, next, accused int
}

type rigEvent struct {
	at time.Duration
	e  policy.Event
}

func rigSettings() policy.Settings {
	return policy.Settings{Nodes: 1, MaxAttempts: 3, MayCancel: true, MinTick: 5 * time.Millisecond, MaxPollInterval: 10 * time.Second,
		ConnectTimeout: 100 * time.Millisecond, SlowStartMinCapacity: 0.3, SlowStartWindow: 8 * time.Second, OverloadFactor: 2.5,
		OverloadDuration: time.Second, SendsRetryAfter: true, MaxRetryAfter: time.Second,
		Classes: []policy.Class{
			{Name: "dear", PriorityWeight: 12, LatencyObjective: 600 * time.Millisecond, Deadline: 1200 * time.Millisecond, Idempotency: policy.Idempotent},
			{Name: "cheap", PriorityWeight: 1, LatencyObjective: 1500 * time.Millisecond, Deadline: 4 * time.Second, Idempotency: policy.Idempotent},
			{Name: "once", PriorityWeight: 1, LatencyObjective: 1500 * time.Millisecond, Deadline: 2 * time.Second, Idempotency: policy.NonIdempotent}}}
}

func newRig(t *testing.T, s policy.Settings, servers int) *rig {
	r := &rig{t: t, m: policy.New(s, 5), now: time.Hour, sent: map[policy.ServerID]int{}, over: map[policy.RequestID]bool{},
		last: map[policy.RequestID]policy.Action{}, legs: map[policy.RequestID]int{}, patience: 2 * time.Second,
		inTime: map[string]int{}, came: map[policy.RequestID]time.Duration{}}
	r.work = func(policy.RequestID) time.Duration { return 0 }
	r.delay = func(policy.ServerID) (time.Duration, policy.OutcomeCode) { return 50 * time.Millisecond, policy.OK }
	var list []policy.Server
	for i := range servers {
		list = append(list, policy.Server{ID: policy.ServerID(i + 1), Zone: "z"})
	}
	r.feed(policy.EndpointUpdate{Kind: policy.EndpointsCached, Servers: list})
	return r
}

func (r *rig) feed(e policy.Event) {
	for _, a := range r.m.Handle(r.now, e) {
		switch a := a.(type) {
		case policy.Forward:
			r.sent[a.Server]++
			leg := r.legs[a.ID]
			r.legs[a.ID]++
			d, code := r.delay(a.Server)
			d += r.work(a.ID)
			if d > a.Timeout {
				d, code = a.Timeout, policy.TimedOut
			}
			r.due = append(r.due, rigEvent{r.now + d, policy.AttemptEnded{ID: a.ID, Attempt: leg, Server: a.Server, Code: code, Elapsed: d}})
		case policy.CancelAttempt:
			r.due = append(r.due, rigEvent{r.now + time.Millisecond, policy.AttemptEnded{ID: a.ID, Attempt: a.Attempt, Code: policy.Cancelled}})
		case policy.Reject:
			r.refused++
			r.over[a.ID], r.last[a.ID] = true, a
			r.waits = append(r.waits, a.RetryAfter)
			class, try, _ := strings.Cut(string(a.ID), "/")
			if left := r.patience - (r.now + a.RetryAfter - r.came[policy.RequestID(class)]); len(try) < r.retries && left > 0 {
				id := policy.RequestID(class + "/" + try + "x")
				r.due = append(r.due, rigEvent{r.now + a.RetryAfter, policy.RequestArrived{ID: id, Class: strings.TrimRight(class,
					"0123456789"), Timeout: left}})
			}
		case policy.Fail:
			r.failed++
			r.over[a.ID], r.last[a.ID] = true, a
		case policy.SetTimer:
			r.due = append(r.due, rigEvent{r.now + a.After, policy.TimerFired{Token: a.Token}})
		case policy.Log:
			r.accused++
		case policy.Subscribe:
			r.asks++
			r.due = append(r.due, rigEvent{r.now + time.Second, policy.EndpointUpdate{Kind: policy.EndpointsFailed}})
		}
	}
}

// run plays some time with so many arrivals a second of a class.
func (r *rig) run(length time.Duration, rate float64, class string) {
	arrived := 0.0
	for end := r.now + length; r.now < end; r.now += 5 * time.Millisecond {
		var rest, now []rigEvent
		for _, d := range r.due {
			if d.at <= r.now {
				now = append(now, d)
			} else {
				rest = append(rest, d)
			}
		}
		r.due = rest
		for _, d := range now {
			if e, ok := d.e.(policy.AttemptEnded); ok {
				e.Answered = r.over[e.ID] || e.Code == policy.OK
				first, _, _ := strings.Cut(string(e.ID), "/")
				if e.Code == policy.OK && !r.over[e.ID] && r.now-r.came[policy.RequestID(first)] < 600*time.Millisecond {
					r.inTime[strings.TrimRight(first, "0123456789")]++
				}
				r.over[e.ID] = e.Answered
				d.e = e
			}
			r.feed(d.e)
		}
		for arrived += rate * 0.005; arrived >= 1; arrived-- {
			r.next++
			id := policy.RequestID(fmt.Sprint(class, r.next))
			r.came[id] = r.now
			r.feed(policy.RequestArrived{ID: id, Class: class, Timeout: r.patience})
		}
	}
}

func (r *rig) reset() { r.sent, r.refused, r.failed = map[policy.ServerID]int{}, 0, 0 }
