package policy_test

// An independent checker of the rules, for the world of world_test.go.

import (
	"fmt"
	"time"

	"meadowsill/policy"
)

func (w *world) fault(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

// sameGroup is the checker's own reading of the scopes.
func sameGroup(s policy.KeyScope, a, b *listed) bool {
	return s == policy.KeyScopeAll || s == policy.KeyScopeZone && a.Zone == b.Zone || s == policy.KeyScopeCell && a.Cell == b.Cell
}

func neverRan(c policy.OutcomeCode) bool {
	return c == policy.Rejected || c == policy.ConnectFailed || c == policy.NotSent
}

func (w *world) checkSend(q *liveRequest, a policy.Forward) {
	s := w.servers[a.Server]
	if s == nil {
		w.fault("send to server %d, which was never listed", a.Server)
		return
	}
	if q.final || q.stream {
		w.fault("send for a request that is over")
	}
	if w.now > q.deadline {
		w.fault("send after the deadline")
	}
	if len(q.attempts) >= w.set.MaxAttempts {
		w.fault("more than %d attempts", w.set.MaxAttempts)
	}
	if s.drainTold > 0 && w.now > s.drainTold+w.set.DrainGrace {
		w.fault("send to a server that drains or is gone")
	}
	if s.out {
		w.fault("send to a server that is taken out")
	}
	for _, p := range q.attempts {
		if !p.ended && !w.set.MayHedge {
			w.fault("two attempts out at once")
		}
		if p.ended && neverRan(p.code) || q.class.Idempotency == policy.Idempotent {
			continue
		}
		if q.class.Idempotency == policy.NonIdempotent {
			w.fault("unsafe request sent again")
		} else if !sameGroup(q.class.KeyScope, s, w.servers[p.server]) || w.now > p.at+q.class.DedupWindow {
			w.fault("keyed request sent outside its group or window")
		}
	}
	w.sends[a.Server] = append(w.sends[a.Server], w.now)
	started := max(s.StartedAt, s.back)
	age := (w.now - started).Seconds() / w.set.SlowStartWindow.Seconds()
	if (s.startTold || s.back > 0) && age < 1 {
		part := w.set.SlowStartMinCapacity + (1-w.set.SlowStartMinCapacity)*max(0, age)
		n := 0
		for _, at := range w.sends[a.Server] {
			if at > w.now-w.set.OverloadDuration && at >= started {
				n++
			}
		}
		if limit := w.set.OverloadFactor * part * w.capacity * w.set.OverloadDuration.Seconds(); float64(n) > limit+3 {
			w.fault("cold server %d was sent %d, its budget is %.1f", a.Server, n, limit)
		}
	}
}

func (w *world) carryOut(a policy.Action) {
	switch a := a.(type) {
	case policy.Forward:
		q := w.requests[a.ID]
		if q == nil {
			w.fault("send for an unknown request")
			return
		}
		w.checkSend(q, a)
		if w.servers[a.Server] == nil {
			return
		}
		q.attempts = append(q.attempts, sentAttempt{server: a.Server, at: w.now})
		w.outcome(a, q, len(q.attempts)-1)
	case policy.Reject:
		q := w.final(a.ID)
		if q == nil {
			return
		}
		for _, p := range q.attempts {
			ran := !p.ended || !neverRan(p.code)
			if ran && (q.class.Idempotency == policy.NonIdempotent ||
				q.class.Idempotency == policy.IdempotentByKey && q.class.KeyScope != policy.KeyScopeAll) {
				w.fault("refused although it may have run")
			}
		}
	case policy.Fail:
		w.final(a.ID)
	case policy.CancelAttempt:
		q := w.requests[a.ID]
		if !w.set.MayCancel || q == nil || a.Attempt >= len(q.attempts) {
			w.fault("forbidden or unknown cancel")
			return
		}
		w.later(time.Millisecond, pending{id: a.ID, event: policy.AttemptEnded{ID: a.ID, Attempt: a.Attempt,
			Server: q.attempts[a.Attempt].server, Code: policy.Cancelled}})
	case policy.HealthCheck:
		if !w.set.MayHealthCheck {
			w.fault("forbidden probe")
		}
	case policy.SendMessage:
		if !w.set.MayMessagePeers || len(a.Data) > 256 {
			w.fault("forbidden message")
		}
	case policy.SetTimer:
		late := time.Duration(0)
		if w.r.Intn(20) == 0 {
			late = time.Duration(w.r.Intn(200)) * time.Millisecond
		}
		w.later(a.After+late, pending{event: policy.TimerFired{Token: a.Token}})
	case policy.Subscribe, policy.FetchEndpoints:
		if w.r.Intn(3) == 0 {
			w.later(time.Second, pending{event: policy.EndpointUpdate{Kind: policy.EndpointsFailed}})
		} else {
			w.later(50*time.Millisecond, pending{event: policy.EndpointUpdate{Kind: policy.EndpointsChanged}})
		}
	}
}

func (w *world) final(id policy.RequestID) *liveRequest {
	q := w.requests[id]
	if q == nil {
		w.fault("answer to an unknown request")
		return nil
	}
	if q.final {
		w.fault("second final answer")
	}
	q.final = true
	return q
}
