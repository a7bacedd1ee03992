package drift

import (
	"time"

	"meadowsill/internal/fleet"
)

// repairState is a node's repair with what a leader keeps of it in memory.
type repairState struct {
	Repair
	waitUntil      fleet.Time // the wait runs till then
	repairedAt     fleet.Time // when it last went back to idle
	relapseEasedAt fleet.Time // when a relapse was last taken back
	waiting        bool       // idle and drifting: the first wait runs
	resendPending  bool       // the next answer is to request the re-sending
	restartPending bool       // or for the restart
}

// Acts of the log.
const (
	ActResend      = "resend"
	ActRestart     = "restart"
	ActTakeOut     = "out"
	ActReturn      = "back"   // in the load balancer again
	ActRepaired    = "mended" // after a repair
	ActSuspectSelf = "doubt"  // the detector suspects itself: nothing more is done
	ActTrustSelf   = "trust"  // it no longer does
	ActAlarm       = "alarm"  // a node is ahead
)

// delay is the time after the attempt-th step, doubled by each step and each relapse.
func (r *repairState) delay(b *Bounds, attempt int) time.Duration {
	return min(b.InitialRepairDelay<<min(attempt+r.Relapses, 16), b.MaxRepairDelay)
}

// rateLimiter lets one thing happen every so often, and as many as fit a second at once.
type rateLimiter struct{ nextAt fleet.Time }

func (r *rateLimiter) take(now fleet.Time, every time.Duration) bool {
	if r.nextAt > now+max(0, time.Second-every) {
		return false
	}
	r.nextAt = max(r.nextAt, now) + every
	return true
}

// advanceRepair moves one present node's repair on. It gives what was done, or "".
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
		return "" // catching up, silent: nothing is known
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
		if now >= r.waitUntil && det.resends.take(now, b.ResendInterval) {
			return r.resend(now, b, 1)
		}
	case now < r.waitUntil:
	case r.Step == Resending && r.Resends < b.MaxResends:
		if det.resends.take(now, b.ResendInterval) {
			return r.resend(now, b, r.Resends+1)
		}
	case r.Step == Resending:
		if det.disruptive.take(now, b.DisruptiveInterval) {
			r.Step = Restarting
			r.restartPending = true
			r.waitUntil = now + r.delay(b, b.MaxResends)
			return ActRestart
		}
	case r.Step == Restarting:
		if *takenOut < maxTakenOut && det.disruptive.take(now, b.DisruptiveInterval) {
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

// finish ends a repair, once the node has been in step for its wait where it is out.
func (r *repairState) finish(now fleet.Time, b *Bounds, takenOut *int) string {
	r.waiting = false
	if r.Step == Idle || r.Step == TakenOut && now < r.waitUntil {
		return ""
	}
	act := ActRepaired
	if r.Step == TakenOut {
		*takenOut--
		act = ActReturn
	}
	*r = repairState{Repair: Repair{Relapses: r.Relapses}, repairedAt: now, relapseEasedAt: now}
	return act
}

// abandon gives up the place of a node that has no session.
func (r *repairState) abandon() {
	if r.Step != Idle {
		*r = repairState{Repair: Repair{Relapses: r.Relapses}, repairedAt: r.repairedAt, relapseEasedAt: r.relapseEasedAt}
	}
}

// checkPlausibility looks whether so many drift that the detector is the likelier fault.
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

// LogEntry is one line of the repair's log. At is by the leader's own clock.
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

// Log returns the entries after seq that are still kept, oldest first.
func (det *Detector) Log(seq uint64) (out []LogEntry) {
	from := max(seq, det.logCount-min(det.logCount, uint64(len(det.log))))
	for i := from; i < det.logCount; i++ {
		out = append(out, det.log[i%maxLogEntries])
	}
	return out
}
