package drift

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"time"

	"meadowsill/internal/fleet"
)

// changesMost is how many changes one command carries; others wait for the next step.
const changesMost = 64

// proposeAgain is how long a proposed change may take before it is proposed again.
const proposeAgain = 500 * time.Millisecond

// Judge is the leader's soft part. All times are readings of the leader's own monotonic clock. It is not safe for
// concurrent use.
type Judge struct {
	bounds    Bounds
	book      book
	nodes     map[string]*node
	floor     map[string]uint64 // incarnations of nodes that are not in nodes
	leadSince fleet.Time
	stepped   fleet.Time
	ruling    bool

	bodies    map[string]json.RawMessage // settings by digest
	candidate string                     // settings that most nodes hold, and since when
	since     fleet.Time
	offered   fleet.Time // when a baseline was last proposed

	resends, strong rate
	doubting        bool
	calmAt          fleet.Time
	log             []Entry
	logged          uint64
}

// NewJudge makes a judge that does not lead yet.
func NewJudge(b Bounds) *Judge {
	return &Judge{bounds: b, nodes: map[string]*node{}, floor: map[string]uint64{}, bodies: map[string]json.RawMessage{}, calmAt: never, offered: never}
}

// Lead makes the judge that of a new leader: it forgets all that is soft, and counts every bound from now. What st
// holds it goes on from.
func (j *Judge) Lead(now fleet.Time, st *State) {
	log, logged := j.log, j.logged
	*j = *NewJudge(j.bounds)
	j.leadSince, j.stepped, j.ruling, j.log, j.logged = now, now, true, log, logged
	maps.Copy(j.floor, st.Incarnations)
	for name, v := range st.Verdicts {
		n := j.meet(now, v.Member)
		n.shown = finding{state: v.State, items: v.Items, more: v.More, overrides: v.Overrides, evidence: v.Evidence}
		n.repair.Repair = v.Repair
		n.repair.until = now + n.repair.wait(&j.bounds, max(v.Repair.Tries-1, 0))
		if v.Repair.Step == Restarting || v.Repair.Step == Out {
			n.repair.until = now + n.repair.wait(&j.bounds, j.bounds.Tries)
		}
		j.floor[name] = max(j.floor[name], v.Incarnation)
	}
}

func (j *Judge) meet(now fleet.Time, m fleet.Member) *node {
	n := &node{Member: m, born: now, back: now, aheadAt: never, shownAt: now, refreshed: now, repair: repairing{mended: never, eased: now}}
	j.nodes[m.Node] = n
	return n
}

// again counts every bound from now: the judge itself was away.
func (j *Judge) again(now fleet.Time) {
	j.leadSince, j.since = now, now
	for _, n := range j.nodes {
		n.counts(now)
		n.born = now
		n.repair.until = max(n.repair.until, now+j.bounds.Wait)
	}
}

// Observe takes a node's report. One of an older incarnation, or with a sequence number seen before, is refused with
// fleet.ErrFenced and changes nothing.
func (j *Judge) Observe(now fleet.Time, v fleet.NodeView) error {
	n := j.nodes[v.Node]
	known := j.floor[v.Node]
	if n != nil {
		known = max(known, n.Incarnation)
	}
	if v.Incarnation < known {
		return fmt.Errorf("%w: %s: %d, known %d", fleet.ErrFenced, v.Node, v.Incarnation, known)
	}
	switch {
	case n == nil:
		n = j.meet(now, v.Member)
	case v.Incarnation > n.Incarnation:
		was := n
		n = j.meet(now, v.Member)
		n.shown, n.shownAt, n.shownRev, n.repair, n.refreshed = was.shown, was.shownAt, was.shownRev, was.repair, was.refreshed
	case n.heard && v.Report.Seq <= n.report.Seq:
		return fmt.Errorf("%w: %s: sequence %d after %d", fleet.ErrFenced, v.Node, v.Report.Seq, n.report.Seq)
	}
	anew := !n.heard || now-n.at >= j.bounds.Fresh
	j.floor[v.Node] = v.Incarnation
	n.Member = v.Member
	if n.prevRev = 0; n.heard {
		n.prevRev = n.report.Revision
	}
	n.report, n.at, n.heard = v.Report, now, true
	n.reports++
	if n.windows++; anew {
		n.counts(now)
	}
	if body := n.hearLocal(); body != nil && (len(j.bodies) < 64 || j.bodies[n.settings] != nil) {
		j.bodies[n.settings] = body
	}
	n.follow(&j.book)
	n.compare(now, &j.book)
	n.behave(&j.book)
	n.report.Held = nil // all of it is taken
	return nil
}

// Step judges every node, moves the repairs on and gives what is to be proposed: one command or none. present are
// the nodes that have a session.
func (j *Judge) Step(now fleet.Time, st *State, in Intended, present []fleet.Member) []Command {
	if !j.ruling {
		j.Lead(now, st)
	}
	if now-j.stepped >= j.bounds.Away {
		j.again(now)
	}
	j.stepped = now
	gen := j.book.gen
	if err := j.book.ingest(now, in); err != nil {
		j.note(now, Entry{Act: ActDoubt, Why: "an item can't be read: " + err.Error()})
	}
	var c Command
	here := make(map[string]bool, len(present))
	for _, m := range present {
		here[m.Node] = true
		if j.nodes[m.Node] == nil && m.Incarnation >= j.floor[m.Node] {
			j.meet(now, m)
		}
	}
	j.settle(now, st, here, &c)
	drifting, outs := 0, 0
	names := slices.Sorted(maps.Keys(j.nodes))
	for _, name := range names {
		n := j.nodes[name]
		if j.gone(now, n, here[name], st, &c) {
			continue
		}
		n.late = in.Late[name]
		if gen != j.book.gen {
			n.follow(&j.book)
		}
		if n.redo && n.heard {
			n.compare(now, &j.book)
		}
		j.settings(n, st)
		j.show(now, n, n.find(now, j.leadSince, &j.bounds, &j.book))
		if here[name] {
			if Drifts(n.shown.state) {
				drifting++
			}
			if n.repair.Step == Out {
				outs++
			}
		}
	}
	j.doubt(now, drifting, len(present))
	room := int(math.Floor(j.bounds.OutShare*float64(len(present)) + 1e-9))
	for _, name := range names {
		n := j.nodes[name]
		if _, going := c.Forget[name]; n == nil || going {
			continue
		}
		if !here[name] {
			n.repair.leave()
		} else if act := j.repairStep(now, n, &outs, room); act != "" {
			j.note(now, Entry{Node: name, Act: act, Why: n.shown.state + ": " + n.shown.evidence, Keys: n.keys()})
		}
		if len(c.Set) < changesMost {
			if ch, ok := j.change(now, n, st.Verdicts[name]); ok {
				c.Set = append(c.Set, ch)
			}
		}
	}
	if c.Set == nil && c.Forget == nil && c.Baseline == nil {
		return nil
	}
	return []Command{c}
}

// gone says that a node is no more: it left, or has been without a session and a report for long. Its verdict goes.
func (j *Judge) gone(now fleet.Time, n *node, here bool, st *State, c *Command) bool {
	if here {
		n.absent = false
		return false
	}
	if !n.absent {
		n.absent, n.gone = true, now
	}
	if !(n.heard && n.report.Leaving) && now-max(n.gone, n.at) < j.bounds.Forget {
		return false
	}
	if v := st.Verdicts[n.Node]; v != nil {
		if c.Forget == nil {
			c.Forget = map[string]uint64{}
		}
		c.Forget[n.Node] = v.Rev
		return true // until the verdict has gone
	}
	j.floor[n.Node] = max(j.floor[n.Node], n.Incarnation+1) // what comes late does not bring it back
	delete(j.nodes, n.Node)
	return true
}

// show makes a finding the one that is shown.
func (j *Judge) show(now fleet.Time, n *node, f finding) {
	if f.state == "" {
		return
	}
	if f.state != n.shown.state {
		n.shownAt, n.shownRev = now, j.book.rev
		if f.state == Ahead {
			j.note(now, Entry{Node: n.Node, Act: ActAlarm, Why: f.evidence})
		}
	}
	n.shown = f
}

// change gives the change of a node's verdict that is due, if one is. That a node in step is catching up for a
// moment is not written: it happens to every node at every change of intent.
func (j *Judge) change(now fleet.Time, n *node, old *Verdict) (Change, bool) {
	s := n.shown
	if s.state == "" || n.absent && n.heard && n.report.Leaving {
		return Change{}, false
	}
	due := old == nil && s.state != CatchingUp || old != nil && (old.Incarnation < n.Incarnation || old.Repair != n.repair.Repair)
	state := s.state
	switch {
	case old == nil:
	case state == CatchingUp && old.State == InStep:
		s, state = finding{overrides: s.overrides, evidence: whySame}, InStep
	case old.State != state:
		due = true
	case state != InStep && state != CatchingUp:
		due = due || now-n.refreshed >= j.bounds.Refresh || !reflect.DeepEqual(old.Items, s.items) || !reflect.DeepEqual(old.Overrides, s.overrides)
	}
	if !due || n.proposing && n.proposedAt == revOf(old) && now-n.proposed < proposeAgain {
		return Change{}, false
	}
	n.proposing, n.proposedAt, n.proposed, n.refreshed = true, revOf(old), now, now
	v := Verdict{Member: n.Member, State: state, LastRev: j.book.rev, Count: max(n.reports, 1), Items: s.items, More: s.more,
		Overrides: s.overrides, Evidence: s.evidence, Repair: n.repair.Repair}
	n.reports = 0
	return Change{v, revOf(old)}, true
}

// settle finds the settings that most present nodes hold.
func (j *Judge) settle(now fleet.Time, st *State, here map[string]bool, c *Command) {
	counts := map[string]int{}
	most := ""
	for name, n := range j.nodes {
		if here[name] && n.heard && n.settings != "" && now-n.at < j.bounds.Fresh {
			if counts[n.settings]++; 2*counts[n.settings] > len(here) {
				most = n.settings
			}
		}
	}
	if most != j.candidate {
		j.candidate, j.since = most, now
	}
	if most == "" || now-j.since < j.bounds.Settle || now-j.offered < proposeAgain {
		return
	}
	if most != st.Fleet.Digest || st.Fleet.Body == nil && j.bodies[most] != nil {
		c.Baseline, j.offered = &Baseline{most, j.bodies[most]}, now
	}
}

// settings puts a node's own settings among its overrides, where they are not the fleet's.
func (j *Judge) settings(n *node, st *State) {
	n.local = slices.DeleteFunc(n.local, func(o Override) bool { return o.Key == fleet.KeySettings })
	if n.settings == "" || st.Fleet.Digest == "" || n.settings == st.Fleet.Digest {
		return
	}
	o := n.from
	if body := j.bodies[n.settings]; body != nil && st.Fleet.Body != nil {
		o.Fields = Differences(fleet.KeySettings, st.Fleet.Body, body)
		o.Fields = o.Fields[:min(len(o.Fields), itemsMost)]
	}
	n.local = append(n.local, o)
}

// keys are those of the items that are shown.
func (n *node) keys() (keys []string) {
	for _, d := range n.shown.items {
		if !slices.Contains(keys, d.Key) {
			keys = append(keys, d.Key)
		}
	}
	return keys
}

// Out says that a node's repair has come to its last step: it is to be out of the front.
func (j *Judge) Out(name string) bool {
	n := j.nodes[name]
	return n != nil && n.repair.Step == Out
}

// Answer gives what a report of the node is to be answered with: keys that the agent sends its node again ("*": all), what
// the node's next report is to carry (Fill), whether the agent is to restart, and whether the node is to be out of the
// front. What is asked of the agent is asked once a step of the repair.
func (j *Judge) Answer(name string) (resend, want []string, restart, out bool) {
	n := j.nodes[name]
	if n == nil {
		return nil, nil, false, false
	}
	if n.repair.send {
		resend = n.keys()
		if len(resend) == 0 || slices.Contains(resend, "*") || n.shown.more > 0 {
			resend = []string{"*"}
		}
	}
	restart = n.repair.restart
	n.repair.send, n.repair.restart = false, false
	if n.heard {
		want = append(append(want, n.trees[0].ask...), n.trees[1].ask...)
		if n.settings != "" && j.bodies[n.settings] == nil && len(j.bodies) < 64 {
			want = append(want, fleet.KeySettings)
		}
	}
	return resend, want, restart, n.repair.Step == Out
}
