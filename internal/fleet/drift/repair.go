package drift

import (
	"time"

	"meadowsill/internal/fleet"
)

// repairState is a node's repair with the part that only the leader's memory has.
type repairState struct {
	Repair
	waitUntil      fleet.Time // end of the current wait
	repairedAt     fleet.Time // when the repair last returned to idle
	relapseEasedAt fleet.Time // when the relapse count was last decreased
	waiting        bool       // the node is idle and drifts: the first wait runs
	resendPending  bool       // the next answer must request the re-send
	restartPending bool       // the next answer must request the restart
}

// Actions in the log.
const (
	ActResend      = "resend"
	ActRestart     = "restart"
	ActTakeOut     = "out"
	ActReturn      = "back"   // back in the load balancer
	ActRepaired    = "mended" // in step after a repair
	ActSuspectSelf = "doubt"  // the detector suspects itself: repairs stop
	ActTrustSelf   = "trust"  // the detector trusts itself again
	ActAlarm       = "alarm"  // a node is ahead
)

// delay returns the wait after a repair attempt. Each attempt and each relapse doubles it.
func (r *repairState) delay(b *Bounds, attempt int) time.Duration {
	return min(b.InitialRepairDelay<<min(attempt+r.Relapses, 16), b.MaxRepairDelay)
}

// rateLimiter allows one action per interval, with bursts of as many actions as fit one second.
type rateLimiter struct{ nextAt fleet.Time }

func (r *rateLimiter) allow(now fleet.Time, interval time.Duration) bool {
	if r.nextAt > now+max(0, time.Second-interval) {
		return false
	}
	r.nextAt = max(r.nextAt, now) + interval
	return true
}

// advanceRepair advances the repair of one present node. It returns the action that was taken, or "".
func (det *Detector) advanceRepair(now fleet.Time, n *node, takenOut *int, maxTakenOut int) string {
	r, b := &n.repair, &det.bounds
	if r.Step == Idle && r.Relapses > 0 && !Drifts(n.verdict.state) && now-r.relapseEasedAt >= b.RelapseWindow {
		r.Relapses--
		r.relapseEasedAt = now
	}
	switch n.verdict.state {
	case Stuck, Diverged, Ahead:
	case InStep, Overridden:
		return r.finish(now, b, takenOut)
	default:
		return "" // catching up or silent: the node's content is unknown
	}
	switch {
	case r.Step == TakenOut:
		r.waitUntil = now + r.delay(b, b.MaxResends)
	case det.selfSuspecting:
	case r.Step == Idle:
		if !r.waiting {
			if r.repairedAt != longAgo && now-r.repairedAt < b.RelapseWindow {
				r.Relapses = min(r.Relapses+1, 5)
			}
			r.waiting, r.waitUntil = true, now+r.delay(b, 0)
		}
		if now >= r.waitUntil && det.resends.allow(now, b.ResendInterval) {
			return r.resend(now, b, 1)
		}
	case now < r.waitUntil:
	case r.Step == Resending && r.Resends < b.MaxResends:
		if det.resends.allow(now, b.ResendInterval) {
			return r.resend(now, b, r.Resends+1)
		}
	case r.Step == Resending:
		if det.disruptive.allow(now, b.DisruptiveInterval) {
			r.Step = Restarting
			r.restartPending = true
			r.waitUntil = now + r.delay(b, b.MaxResends)
			return ActRestart
		}
	case r.Step == Restarting:
		if *takenOut < maxTakenOut && det.disruptive.allow(now, b.DisruptiveInterval) {
			*takenOut++
			r.Step, r.waitUntil = TakenOut, now+r.delay(b, b.MaxResends)
			return ActTakeOut
		}
	}
	return ""
}

func (r *repairState) resend(now fleet.Time, b *Bounds, attempt int) string {
	r.Step = Resending
	r.Resends = attempt
	r.waiting = false
	r.resendPending = true
	r.waitUntil = now + r.delay(b, attempt-1)
	return ActResend
}

// finish ends a repair. A node that is taken out must first have been in step until the end of its wait.
func (r *repairState) finish(now fleet.Time, b *Bounds, takenOut *int) string {
	r.waiting = false
	if r.Step == Idle || r.Step == TakenOut && now < r.waitUntil {
		return ""
	}
	action := ActRepaired
	if r.Step == TakenOut {
		*takenOut--
		action = ActReturn
	}
	*r = repairState{Repair: Repair{Relapses: r.Relapses}, repairedAt: now, relapseEasedAt: now}
	return action
}

// abandon resets the repair of a node that has no session.
func (r *repairState) abandon() {
	if r.Step != Idle {
		*r = repairState{Repair: Repair{Relapses: r.Relapses}, repairedAt: r.repairedAt, relapseEasedAt: r.relapseEasedAt}
	}
}

// checkPlausibility checks whether so many nodes drift that a fault of the detector itself is more likely.
func (det *Detector) checkPlausibility(now fleet.Time, drifting, present int) {
	b := &det.bounds
	part := float64(drifting) / float64(max(present, 1))
	switch {
	case !det.selfSuspecting && drifting >= b.SuspectSelfMinNodes && part > b.SuspectSelfPart:
		det.selfSuspecting, det.fewDriftingSince = true, longAgo
		det.appendLog(now, LogEntry{Action: ActSuspectSelf, Reason: "so many nodes drift that the detector may be wrong: no repair"})
	case det.selfSuspecting && part >= b.TrustSelfPart:
		det.fewDriftingSince = longAgo
	case det.selfSuspecting && det.fewDriftingSince == longAgo:
		det.fewDriftingSince = now
	case det.selfSuspecting && now-det.fewDriftingSince >= b.TrustSelfDelay:
		det.selfSuspecting = false
		det.appendLog(now, LogEntry{Action: ActTrustSelf, Reason: "few nodes drift"})
	}
}

// LogEntry is one entry of the repair log. LoggedAt is by the leader's own clock.
type LogEntry struct {
	Sequence uint64     `json:"seq"`
	LoggedAt fleet.Time `json:"at_ns"`
	Node     string     `json:"node,omitempty"`
	Action   string     `json:"act"`
	Reason   string     `json:"why,omitempty"`
	Keys     []string   `json:"keys,omitempty"`
}

const maxLogEntries = 1024

func (det *Detector) appendLog(now fleet.Time, e LogEntry) {
	det.logCount++
	e.Sequence, e.LoggedAt = det.logCount, now
	if len(det.log) < maxLogEntries {
		det.log = append(det.log, e)
	} else {
		det.log[(e.Sequence-1)%maxLogEntries] = e
	}
}

// Log returns the remembered entries after seq, oldest first.
func (det *Detector) Log(seq uint64) (out []LogEntry) {
	from := max(seq, det.logCount-min(det.logCount, uint64(len(det.log))))
	for i := from; i < det.logCount; i++ {
		out = append(out, det.log[i%maxLogEntries])
	}
	return out
}
