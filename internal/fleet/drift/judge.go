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

// maxChanges is how many changes one command carries; others wait for the next step.
const maxChanges = 64

// proposalRetryDelay is how long a proposed change may take before it is proposed again.
const proposalRetryDelay = 500 * time.Millisecond

// Detector is the leader's soft part. All times are readings of the leader's own monotonic clock. It is not safe for
// concurrent use.
type Detector struct {
	bounds          Bounds
	intents         intentHistory
	nodes           map[string]*node
	minIncarnations map[string]uint64 // incarnations of nodes that are not in nodes
	leaderSince     fleet.Time
	steppedAt       fleet.Time
	leading         bool

	settingsBodies     map[string]json.RawMessage // settings by digest
	commonSettings     string                     // settings that most nodes hold, and since when
	commonSince        fleet.Time
	baselineProposedAt fleet.Time // when a baseline was last proposed

	resends, disruptive rateLimiter
	selfSuspecting      bool
	fewDriftingSince    fleet.Time
	log                 []LogEntry
	logCount            uint64
}

// NewDetector makes a detector that does not lead yet.
func NewDetector(b Bounds) *Detector {
	return &Detector{bounds: b, nodes: map[string]*node{}, minIncarnations: map[string]uint64{}, settingsBodies: map[string]json.RawMessage{}, fewDriftingSince: longAgo, baselineProposedAt: longAgo}
}

// Lead makes the detector that of a new leader: it forgets all that is soft, and counts every bound from now. What st
// holds it continues from.
func (j *Detector) Lead(now fleet.Time, st *State) {
	log, logged := j.log, j.logCount
	*j = *NewDetector(j.bounds)
	j.leaderSince, j.steppedAt, j.leading, j.log, j.logCount = now, now, true, log, logged
	maps.Copy(j.minIncarnations, st.Incarnations)
	for name, v := range st.Verdicts {
		n := j.addNode(now, v.Member)
		n.verdict = evaluation{state: v.State, differences: v.Differences, omitted: v.Omitted, overrides: v.Overrides, evidence: v.Evidence}
		n.repair.Repair = v.Repair
		n.repair.waitUntil = now + n.repair.wait(&j.bounds, max(v.Repair.Resends-1, 0))
		if v.Repair.Step == Restarting || v.Repair.Step == TakenOut {
			n.repair.waitUntil = now + n.repair.wait(&j.bounds, j.bounds.MaxResends)
		}
		j.minIncarnations[name] = max(j.minIncarnations[name], v.Incarnation)
	}
}

func (j *Detector) addNode(now fleet.Time, m fleet.Member) *node {
	n := &node{Member: m, metAt: now, countedSince: now, aheadSince: longAgo, verdictSince: now, refreshedAt: now, repair: repairState{repairedAt: longAgo, relapseEasedAt: now}}
	j.nodes[m.Node] = n
	return n
}

// restartBounds counts every bound from now: the detector itself was away.
func (j *Detector) restartBounds(now fleet.Time) {
	j.leaderSince, j.commonSince = now, now
	for _, n := range j.nodes {
		n.restartCounting(now)
		n.metAt = now
		n.repair.waitUntil = max(n.repair.waitUntil, now+j.bounds.InitialRepairDelay)
	}
}

// Observe takes a node's report. One of an older incarnation, or with a sequence number seen before, is rejected with
// fleet.ErrFenced and changes nothing.
func (j *Detector) Observe(now fleet.Time, v fleet.NodeView) error {
	n := j.nodes[v.Node]
	known := j.minIncarnations[v.Node]
	if n != nil {
		known = max(known, n.Incarnation)
	}
	if v.Incarnation < known {
		return fmt.Errorf("%w: %s: %d, known %d", fleet.ErrFenced, v.Node, v.Incarnation, known)
	}
	switch {
	case n == nil:
		n = j.addNode(now, v.Member)
	case v.Incarnation > n.Incarnation:
		was := n
		n = j.addNode(now, v.Member)
		n.verdict, n.verdictSince, n.verdictRevision, n.repair, n.refreshedAt = was.verdict, was.verdictSince, was.verdictRevision, was.repair, was.refreshedAt
	case n.heard && v.Report.Sequence <= n.report.Sequence:
		return fmt.Errorf("%w: %s: sequence %d after %d", fleet.ErrFenced, v.Node, v.Report.Sequence, n.report.Sequence)
	}
	anew := !n.heard || now-n.receivedAt >= j.bounds.ReportLifetime
	j.minIncarnations[v.Node] = v.Incarnation
	n.Member = v.Member
	if n.previousRevision = 0; n.heard {
		n.previousRevision = n.report.Revision
	}
	n.report, n.receivedAt, n.heard = v.Report, now, true
	n.reports++
	if n.windows++; anew {
		n.restartCounting(now)
	}
	if body := n.takeLocalItems(); body != nil && (len(j.settingsBodies) < 64 || j.settingsBodies[n.settingsDigest] != nil) {
		j.settingsBodies[n.settingsDigest] = body
	}
	n.updateLags(&j.intents)
	n.compareContent(now, &j.intents)
	n.checkBehaviour(&j.intents)
	n.report.Applied = nil // all of it is taken
	return nil
}

// Step evaluates every node, moves the repairs on and gives what is to be proposed: one command or none. present are
// the nodes that have a session.
func (j *Detector) Step(now fleet.Time, st *State, in Intended, present []fleet.Member) []Command {
	if !j.leading {
		j.Lead(now, st)
	}
	if now-j.steppedAt >= j.bounds.MaxStepGap {
		j.restartBounds(now)
	}
	j.steppedAt = now
	gen := j.intents.generation
	if err := j.intents.ingest(now, in); err != nil {
		j.appendLog(now, LogEntry{Action: ActSuspectSelf, Reason: "an item can't be read: " + err.Error()})
	}
	var c Command
	here := make(map[string]bool, len(present))
	for _, m := range present {
		here[m.Node] = true
		if j.nodes[m.Node] == nil && m.Incarnation >= j.minIncarnations[m.Node] {
			j.addNode(now, m)
		}
	}
	j.findBaseline(now, st, here, &c)
	drifting, outs := 0, 0
	names := slices.Sorted(maps.Keys(j.nodes))
	for _, name := range names {
		n := j.nodes[name]
		if j.forgetNode(now, n, here[name], st, &c) {
			continue
		}
		n.lateSteps = in.LateSteps[name]
		if gen != j.intents.generation {
			n.updateLags(&j.intents)
		}
		if n.compareAgain && n.heard {
			n.compareContent(now, &j.intents)
		}
		j.compareSettings(n, st)
		j.setVerdict(now, n, n.evaluate(now, j.leaderSince, &j.bounds, &j.intents))
		if here[name] {
			if Drifts(n.verdict.state) {
				drifting++
			}
			if n.repair.Step == TakenOut {
				outs++
			}
		}
	}
	j.checkPlausibility(now, drifting, len(present))
	room := int(math.Floor(j.bounds.MaxTakenOutPart*float64(len(present)) + 1e-9))
	for _, name := range names {
		n := j.nodes[name]
		if _, going := c.Forget[name]; n == nil || going {
			continue
		}
		if !here[name] {
			n.repair.abandon()
		} else if act := j.advanceRepair(now, n, &outs, room); act != "" {
			j.appendLog(now, LogEntry{Node: name, Action: act, Reason: n.verdict.state + ": " + n.verdict.evidence, Keys: n.differingKeys()})
		}
		if len(c.Set) < maxChanges {
			if ch, ok := j.verdictChange(now, n, st.Verdicts[name]); ok {
				c.Set = append(c.Set, ch)
			}
		}
	}
	if c.Set == nil && c.Forget == nil && c.Baseline == nil {
		return nil
	}
	return []Command{c}
}

// forgetNode reports whether a node is no more: it left, or has been without a session and a report for long. Its verdict goes.
func (j *Detector) forgetNode(now fleet.Time, n *node, here bool, st *State, c *Command) bool {
	if here {
		n.absent = false
		return false
	}
	if !n.absent {
		n.absent, n.absentSince = true, now
	}
	if !(n.heard && n.report.Draining) && now-max(n.absentSince, n.receivedAt) < j.bounds.ForgetAfter {
		return false
	}
	if v := st.Verdicts[n.Node]; v != nil {
		if c.Forget == nil {
			c.Forget = map[string]uint64{}
		}
		c.Forget[n.Node] = v.Revision
		return true // until the verdict is removed
	}
	j.minIncarnations[n.Node] = max(j.minIncarnations[n.Node], n.Incarnation+1) // what comes late does not bring it back
	delete(j.nodes, n.Node)
	return true
}

// setVerdict makes a finding the one that is shown.
func (j *Detector) setVerdict(now fleet.Time, n *node, f evaluation) {
	if f.state == "" {
		return
	}
	if f.state != n.verdict.state {
		n.verdictSince, n.verdictRevision = now, j.intents.revision
		if f.state == Ahead {
			j.appendLog(now, LogEntry{Node: n.Node, Action: ActAlarm, Reason: f.evidence})
		}
	}
	n.verdict = f
}

// verdictChange returns the change of a node's verdict that is due, if one is. That a node in step is catching up for a
// moment is not written: it happens to every node at every change of intent.
func (j *Detector) verdictChange(now fleet.Time, n *node, old *Verdict) (Change, bool) {
	s := n.verdict
	if s.state == "" || n.absent && n.heard && n.report.Draining {
		return Change{}, false
	}
	due := old == nil && s.state != CatchingUp || old != nil && (old.Incarnation < n.Incarnation || old.Repair != n.repair.Repair)
	state := s.state
	switch {
	case old == nil:
	case state == CatchingUp && old.State == InStep:
		s, state = evaluation{overrides: s.overrides, evidence: evidenceSame}, InStep
	case old.State != state:
		due = true
	case state != InStep && state != CatchingUp:
		due = due || now-n.refreshedAt >= j.bounds.RefreshInterval || !reflect.DeepEqual(old.Differences, s.differences) || !reflect.DeepEqual(old.Overrides, s.overrides)
	}
	if !due || n.proposing && n.proposedRevision == revisionOf(old) && now-n.proposedAt < proposalRetryDelay {
		return Change{}, false
	}
	n.proposing, n.proposedRevision, n.proposedAt, n.refreshedAt = true, revisionOf(old), now, now
	v := Verdict{Member: n.Member, State: state, LastRevision: j.intents.revision, Count: max(n.reports, 1), Differences: s.differences, Omitted: s.omitted,
		Overrides: s.overrides, Evidence: s.evidence, Repair: n.repair.Repair}
	n.reports = 0
	return Change{v, revisionOf(old)}, true
}

// findBaseline finds the settings that most present nodes hold.
func (j *Detector) findBaseline(now fleet.Time, st *State, here map[string]bool, c *Command) {
	counts := map[string]int{}
	most := ""
	for name, n := range j.nodes {
		if here[name] && n.heard && n.settingsDigest != "" && now-n.receivedAt < j.bounds.ReportLifetime {
			if counts[n.settingsDigest]++; 2*counts[n.settingsDigest] > len(here) {
				most = n.settingsDigest
			}
		}
	}
	if most != j.commonSettings {
		j.commonSettings, j.commonSince = most, now
	}
	if most == "" || now-j.commonSince < j.bounds.BaselineDelay || now-j.baselineProposedAt < proposalRetryDelay {
		return
	}
	if most != st.Baseline.Digest || st.Baseline.Body == nil && j.settingsBodies[most] != nil {
		c.Baseline, j.baselineProposedAt = &Baseline{most, j.settingsBodies[most]}, now
	}
}

// compareSettings puts a node's own settings among its overrides, where they are not the fleet's.
func (j *Detector) compareSettings(n *node, st *State) {
	n.overrides = slices.DeleteFunc(n.overrides, func(o Override) bool { return o.Key == fleet.KeySettings })
	if n.settingsDigest == "" || st.Baseline.Digest == "" || n.settingsDigest == st.Baseline.Digest {
		return
	}
	o := n.settingsOverride
	if body := j.settingsBodies[n.settingsDigest]; body != nil && st.Baseline.Body != nil {
		o.Fields = Differences(fleet.KeySettings, st.Baseline.Body, body)
		o.Fields = o.Fields[:min(len(o.Fields), maxDifferences)]
	}
	n.overrides = append(n.overrides, o)
}

// differingKeys are those of the items that are shown.
func (n *node) differingKeys() (keys []string) {
	for _, d := range n.verdict.differences {
		if !slices.Contains(keys, d.Key) {
			keys = append(keys, d.Key)
		}
	}
	return keys
}

// IsTakenOut reports that a node's repair has come to its last step: it is to be out of the load balancer.
func (j *Detector) IsTakenOut(name string) bool {
	n := j.nodes[name]
	return n != nil && n.repair.Step == TakenOut
}

// Answer returns what a report of the node is to be answered with: keys that the agent sends its node again ("*": all), what
// the node's next report is to carry (FillReport), whether the agent is to restart, and whether the node is to be out of the
// front. What is requested of the agent is requested once a step of the repair.
func (j *Detector) Answer(name string) (resend, want []string, restart, out bool) {
	n := j.nodes[name]
	if n == nil {
		return nil, nil, false, false
	}
	if n.repair.resendPending {
		resend = n.differingKeys()
		if len(resend) == 0 || slices.Contains(resend, "*") || n.verdict.omitted > 0 {
			resend = []string{"*"}
		}
	}
	restart = n.repair.restartPending
	n.repair.resendPending, n.repair.restartPending = false, false
	if n.heard {
		want = append(append(want, n.trees[0].wanted...), n.trees[1].wanted...)
		if n.settingsDigest != "" && j.settingsBodies[n.settingsDigest] == nil && len(j.settingsBodies) < 64 {
			want = append(want, fleet.KeySettings)
		}
	}
	return resend, want, restart, n.repair.Step == TakenOut
}
