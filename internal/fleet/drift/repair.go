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

// wait is the time after the try-th step, doubled by each step and each relapse.
func (r *repairState) wait(b *Bounds, try int) time.Duration {
	return min(b.InitialRepairDelay<<min(try+r.Relapses, 16), b.MaxRepairDelay)
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
func (j *Detector) advanceRepair(now fleet.Time, n *node, outs *int, room int) string {
	r, b := &n.repair, &j.bounds
	if r.Step == Idle && r.Relapses > 0 && !Drifts(n.verdict.state) && now-r.relapseEasedAt >= b.RelapseWindow {
		r.Relapses--
		r.relapseEasedAt = now
	}
	switch n.verdict.state {
	case Stuck, Diverged, Ahead:
	case InStep, Overridden:
		return r.finish(now, b, outs)
	default:
		return "" // catching up, silent: nothing is known
	}
	switch {
	case r.Step == TakenOut:
		r.waitUntil = now + r.wait(b, b.MaxResends)
	case j.selfSuspecting:
	case r.Step == Idle:
		if !r.waiting {
			if r.repairedAt != longAgo && now-r.repairedAt < b.RelapseWindow {
				r.Relapses = min(r.Relapses+1, 5)
			}
			r.waiting, r.waitUntil = true, now+r.wait(b, 0)
		}
		if now >= r.waitUntil && j.resends.take(now, b.ResendInterval) {
			return r.resend(now, b, 1)
		}
	case now < r.waitUntil:
	case r.Step == Resending && r.Resends < b.MaxResends:
		if j.resends.take(now, b.ResendInterval) {
			return r.resend(now, b, r.Resends+1)
		}
	case r.Step == Resending:
		if j.disruptive.take(now, b.DisruptiveInterval) {
			r.Step, r.restartPending, r.waitUntil = Restarting, true, now+r.wait(b, b.MaxResends)
			return ActRestart
		}
	case r.Step == Restarting:
		if *outs < room && j.disruptive.take(now, b.DisruptiveInterval) {
			*outs++
			r.Step, r.waitUntil = TakenOut, now+r.wait(b, b.MaxResends)
			return ActTakeOut
		}
	}
	return ""
}

func (r *repairState) resend(now fleet.Time, b *Bounds, try int) string {
	r.Step, r.Resends, r.waiting, r.resendPending = Resending, try, false, true
	r.waitUntil = now + r.wait(b, try-1)
	return ActResend
}

// finish ends a repair, once the node has been in step for its wait where it is out.
func (r *repairState) finish(now fleet.Time, b *Bounds, outs *int) string {
	r.waiting = false
	if r.Step == Idle || r.Step == TakenOut && now < r.waitUntil {
		return ""
	}
	act := ActRepaired
	if r.Step == TakenOut {
		*outs--
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
func (j *Detector) checkPlausibility(now fleet.Time, drifting, present int) {
	b := &j.bounds
	part := float64(drifting) / float64(max(present, 1))
	switch {
	case !j.selfSuspecting && drifting >= b.SuspectSelfMinNodes && part > b.SuspectSelfPart:
		j.selfSuspecting, j.fewDriftingSince = true, longAgo
		j.appendLog(now, LogEntry{Action: ActSuspectSelf, Reason: "so many nodes drift that the detector may be wrong: no repair"})
	case j.selfSuspecting && part >= b.TrustSelfPart:
		j.fewDriftingSince = longAgo
	case j.selfSuspecting && j.fewDriftingSince == longAgo:
		j.fewDriftingSince = now
	case j.selfSuspecting && now-j.fewDriftingSince >= b.TrustSelfDelay:
		j.selfSuspecting = false
		j.appendLog(now, LogEntry{Action: ActTrustSelf, Reason: "few nodes drift"})
	}
}

// LogEntry is one line of the repair's log. At is by the leader's own clock.
type LogEntry struct {
	Sequence uint64     `json:"seq"`
	At       fleet.Time `json:"at_ns"`
	Node     string     `json:"node,omitempty"`
	Action   string     `json:"act"`
	Reason   string     `json:"why,omitempty"`
	Keys     []string   `json:"keys,omitempty"`
}

const maxLogEntries = 1024

func (j *Detector) appendLog(now fleet.Time, e LogEntry) {
	j.logCount++
	e.Sequence, e.At = j.logCount, now
	if len(j.log) < maxLogEntries {
		j.log = append(j.log, e)
	} else {
		j.log[(e.Sequence-1)%maxLogEntries] = e
	}
}

// Log returns the entries after seq that are still kept, oldest first.
func (j *Detector) Log(seq uint64) (out []LogEntry) {
	from := max(seq, j.logCount-min(j.logCount, uint64(len(j.log))))
	for i := from; i < j.logCount; i++ {
		out = append(out, j.log[i%maxLogEntries])
	}
	return out
}
