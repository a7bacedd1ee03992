package policy_test

// This file checks the rules on the module's actions, independently of the module's code, for the world of world_test.go.

import (
	"fmt"
	"time"

	"meadowsill/policy"
)

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

// sameGroup implements key scopes independently of the module.
func sameGroup(s policy.KeyScope, a, b *listedServer) bool {
	return s == policy.KeyScopeAll || s == policy.KeyScopeZone && a.Zone == b.Zone || s == policy.KeyScopeCell && a.Cell == b.Cell
}

func neverRan(c policy.OutcomeCode) bool {
	return c == policy.Rejected || c == policy.ConnectFailed || c == policy.NotSent
}

func (w *world) checkSend(q *liveRequest, a policy.Forward) {
	s := w.servers[a.Server]
	if s == nil {
		w.violate("send to server %d, which was never listed", a.Server)
		return
	}
	if q.answered || q.streaming {
		w.violate("send for a request that is over")
	}
	if w.now > q.deadline {
		w.violate("send after the deadline")
	}
	if len(q.attempts) >= w.settings.MaxAttempts {
		w.violate("more than %d attempts", w.settings.MaxAttempts)
	}
	if s.drainNotifiedAt > 0 && w.now > s.drainNotifiedAt+w.settings.DrainGrace {
		w.violate("send to a server that drains or is removed")
	}
	if s.excluded {
		w.violate("send to a server that is excluded")
	}
	for _, p := range q.attempts {
		if !p.ended && !w.settings.MayHedge {
			w.violate("two attempts out at once")
		}
		if p.ended && neverRan(p.code) || q.class.Idempotency == policy.Idempotent {
			continue
		}
		if q.class.Idempotency == policy.NonIdempotent {
			w.violate("unsafe request sent again")
		} else if !sameGroup(q.class.KeyScope, s, w.servers[p.server]) || w.now > p.at+q.class.DedupWindow {
			w.violate("keyed request sent outside its group or window")
		}
	}
	w.sentAt[a.Server] = append(w.sentAt[a.Server], w.now)
	started := max(s.StartedAt, s.includedAt)
	age := (w.now - started).Seconds() / w.settings.SlowStartWindow.Seconds()
	if (s.startNotified || s.includedAt > 0) && age < 1 {
		part := w.settings.SlowStartMinCapacity + (1-w.settings.SlowStartMinCapacity)*max(0, age)
		n := 0
		for _, at := range w.sentAt[a.Server] {
			if at > w.now-w.settings.OverloadDuration && at >= started {
				n++
			}
		}
		if limit := w.settings.OverloadFactor * part * w.capacity * w.settings.OverloadDuration.Seconds(); float64(n) > limit+3 {
			w.violate("warming server %d was sent %d, its budget is %.1f", a.Server, n, limit)
		}
	}
}

func (w *world) carryOut(a policy.Action) {
	switch a := a.(type) {
	case policy.Forward:
		q := w.requests[a.ID]
		if q == nil {
			w.violate("send for an unknown request")
			return
		}
		w.checkSend(q, a)
		if w.servers[a.Server] == nil {
			return
		}
		q.attempts = append(q.attempts, sentAttempt{server: a.Server, at: w.now})
		w.scheduleOutcome(a, q, len(q.attempts)-1)
	case policy.Reject:
		q := w.finalAnswer(a.ID)
		if q == nil {
			return
		}
		for _, p := range q.attempts {
			ran := !p.ended || !neverRan(p.code)
			if ran && (q.class.Idempotency == policy.NonIdempotent ||
				q.class.Idempotency == policy.IdempotentByKey && q.class.KeyScope != policy.KeyScopeAll) {
				w.violate("rejected although it may have run")
			}
		}
	case policy.Fail:
		w.finalAnswer(a.ID)
	case policy.CancelAttempt:
		q := w.requests[a.ID]
		if !w.settings.MayCancel || q == nil || a.Attempt >= len(q.attempts) {
			w.violate("forbidden or unknown cancel")
			return
		}
		w.schedule(time.Millisecond, scheduledEvent{id: a.ID, event: policy.AttemptEnded{ID: a.ID, Attempt: a.Attempt,
			Server: q.attempts[a.Attempt].server, Code: policy.Cancelled}})
	case policy.HealthCheck:
		if !w.settings.MayHealthCheck {
			w.violate("forbidden probe")
		}
	case policy.SendMessage:
		if !w.settings.MayMessagePeers || len(a.Data) > 256 {
			w.violate("forbidden message")
		}
	case policy.SetTimer:
		late := time.Duration(0)
		if w.random.Intn(20) == 0 {
			late = time.Duration(w.random.Intn(200)) * time.Millisecond
		}
		w.schedule(a.After+late, scheduledEvent{event: policy.TimerFired{Token: a.Token}})
	case policy.Subscribe, policy.FetchEndpoints:
		if w.random.Intn(3) == 0 {
			w.schedule(time.Second, scheduledEvent{event: policy.EndpointUpdate{Kind: policy.EndpointsFailed}})
		} else {
			w.schedule(50*time.Millisecond, scheduledEvent{event: policy.EndpointUpdate{Kind: policy.EndpointsChanged}})
		}
	}
}

func (w *world) finalAnswer(id policy.RequestID) *liveRequest {
	q := w.requests[id]
	if q == nil {
		w.violate("answer to an unknown request")
		return nil
	}
	if q.answered {
		w.violate("second final answer")
	}
	q.answered = true
	return q
}
