package drift

import (
	"time"

	"meadowsill/internal/fleet"
)

// repairing is a node's repair with what a leader keeps of it in memory.
type repairing struct {
	Repair
	until   fleet.Time // the wait runs till then
	mended  fleet.Time // when it last went back to idle
	eased   fleet.Time // when a relapse was last taken back
	waiting bool       // idle and drifting: the first wait runs
	send    bool       // the next answer is to ask for the re-sending
	restart bool       // or for the restart
}

// Acts of the log.
const (
	ActResend  = "resend"
	ActRestart = "restart"
	ActOut     = "out"
	ActBack    = "back"   // in front again
	ActMended  = "mended" // after a repair
	ActDoubt   = "doubt"  // the detector suspects itself: nothing more is done
	ActTrust   = "trust"  // it no longer does
	ActAlarm   = "alarm"  // a node is ahead
)

// wait is the time after the try-th step, doubled by each step and each relapse.
func (r *repairing) wait(b *Bounds, try int) time.Duration {
	return min(b.Wait<<min(try+r.Relapse, 16), b.WaitMost)
}

// rate lets one thing happen every so often, and as many as fit a second at once.
type rate struct{ next fleet.Time }

func (r *rate) take(now fleet.Time, every time.Duration) bool {
	if r.next > now+max(0, time.Second-every) {
		return false
	}
	r.next = max(r.next, now) + every
	return true
}

// repairStep moves one present node's repair on. It gives what was done, or "".
func (j *Judge) repairStep(now fleet.Time, n *node, outs *int, room int) string {
	r, b := &n.repair, &j.bounds
	if r.Step == Idle && r.Relapse > 0 && !Drifts(n.shown.state) && now-r.eased >= b.Damp {
		r.Relapse--
		r.eased = now
	}
	switch n.shown.state {
	case Stuck, Diverged, Ahead:
	case InStep, Overridden:
		return r.mends(now, b, outs)
	default:
		return "" // catching up, silent: nothing is known
	}
	switch {
	case r.Step == Out:
		r.until = now + r.wait(b, b.Tries)
	case j.doubting:
	case r.Step == Idle:
		if !r.waiting {
			if r.mended != never && now-r.mended < b.Damp {
				r.Relapse = min(r.Relapse+1, 5)
			}
			r.waiting, r.until = true, now+r.wait(b, 0)
		}
		if now >= r.until && j.resends.take(now, b.ResendEvery) {
			return r.resend(now, b, 1)
		}
	case now < r.until:
	case r.Step == Resending && r.Tries < b.Tries:
		if j.resends.take(now, b.ResendEvery) {
			return r.resend(now, b, r.Tries+1)
		}
	case r.Step == Resending:
		if j.strong.take(now, b.StrongEvery) {
			r.Step, r.restart, r.until = Restarting, true, now+r.wait(b, b.Tries)
			return ActRestart
		}
	case r.Step == Restarting:
		if *outs < room && j.strong.take(now, b.StrongEvery) {
			*outs++
			r.Step, r.until = Out, now+r.wait(b, b.Tries)
			return ActOut
		}
	}
	return ""
}

func (r *repairing) resend(now fleet.Time, b *Bounds, try int) string {
	r.Step, r.Tries, r.waiting, r.send = Resending, try, false, true
	r.until = now + r.wait(b, try-1)
	return ActResend
}

// mends ends a repair, once the node has been in step for its wait where it is out.
func (r *repairing) mends(now fleet.Time, b *Bounds, outs *int) string {
	r.waiting = false
	if r.Step == Idle || r.Step == Out && now < r.until {
		return ""
	}
	act := ActMended
	if r.Step == Out {
		*outs--
		act = ActBack
	}
	*r = repairing{Repair: Repair{Relapse: r.Relapse}, mended: now, eased: now}
	return act
}

// leave gives up the place of a node that has no session.
func (r *repairing) leave() {
	if r.Step != Idle {
		*r = repairing{Repair: Repair{Relapse: r.Relapse}, mended: r.mended, eased: r.eased}
	}
}

// doubt looks whether so many drift that the detector is the likelier fault.
func (j *Judge) doubt(now fleet.Time, drifting, present int) {
	b := &j.bounds
	part := float64(drifting) / float64(max(present, 1))
	switch {
	case !j.doubting && drifting >= b.DoubtMin && part > b.DoubtShare:
		j.doubting, j.calmAt = true, never
		j.note(now, Entry{Act: ActDoubt, Why: "so many nodes drift that the detector may be wrong: no repair"})
	case j.doubting && part >= b.DoubtEnd:
		j.calmAt = never
	case j.doubting && j.calmAt == never:
		j.calmAt = now
	case j.doubting && now-j.calmAt >= b.DoubtHold:
		j.doubting = false
		j.note(now, Entry{Act: ActTrust, Why: "few nodes drift"})
	}
}

// Entry is one line of the repair's log. At is by the leader's own clock.
type Entry struct {
	Seq  uint64     `json:"seq"`
	At   fleet.Time `json:"at_ns"`
	Node string     `json:"node,omitempty"`
	Act  string     `json:"act"`
	Why  string     `json:"why,omitempty"`
	Keys []string   `json:"keys,omitempty"`
}

const logMost = 1024

func (j *Judge) note(now fleet.Time, e Entry) {
	j.logged++
	e.Seq, e.At = j.logged, now
	if len(j.log) < logMost {
		j.log = append(j.log, e)
	} else {
		j.log[(e.Seq-1)%logMost] = e
	}
}

// Log gives the entries after seq that are still kept, oldest first.
func (j *Judge) Log(seq uint64) (out []Entry) {
	from := max(seq, j.logged-min(j.logged, uint64(len(j.log))))
	for i := from; i < j.logged; i++ {
		out = append(out, j.log[i%logMost])
	}
	return out
}
