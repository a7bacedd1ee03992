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

	resends          rateLimiter
	disruptive       rateLimiter
	selfSuspecting   bool
	fewDriftingSince fleet.Time
	log              []LogEntry
	logCount         uint64
}

// NewDetector makes a detector that does not lead yet.
func NewDetector(b Bounds) *Detector {
	return &Detector{bounds: b, nodes: map[string]*node{}, minIncarnations: map[string]uint64{}, settingsBodies: map[string]json.RawMessage{}, fewDriftingSince: longAgo, baselineProposedAt: longAgo}
}

// Lead makes the detector that of a new leader: it forgets all that is soft, and counts every bound from now. What st
// holds it continues from.
func (det *Detector) Lead(now fleet.Time, st *State) {
	log, logged := det.log, det.logCount
	*det = *NewDetector(det.bounds)
	det.leaderSince = now
	det.steppedAt = now
	det.leading = true
	det.log = log
	det.logCount = logged
	maps.Copy(det.minIncarnations, st.Incarnations)
	for name, v := range st.Verdicts {
		n := det.addNode(now, v.Member)
		n.verdict = evaluation{state: v.State, differences: v.Differences, omitted: v.Omitted, overrides: v.Overrides, evidence: v.Evidence}
		n.repair.Repair = v.Repair
		n.repair.waitUntil = now + n.repair.delay(&det.bounds, max(v.Repair.Resends-1, 0))
		if v.Repair.Step == Restarting || v.Repair.Step == TakenOut {
			n.repair.waitUntil = now + n.repair.delay(&det.bounds, det.bounds.MaxResends)
		}
		det.minIncarnations[name] = max(det.minIncarnations[name], v.Incarnation)
	}
}

func (det *Detector) addNode(now fleet.Time, m fleet.Member) *node {
	n := &node{Member: m, metAt: now, countedSince: now, aheadSince: longAgo, verdictSince: now, refreshedAt: now, repair: repairState{repairedAt: longAgo, relapseEasedAt: now}}
	det.nodes[m.Node] = n
	return n
}

// restartBounds counts every bound from now: the detector itself was away.
func (det *Detector) restartBounds(now fleet.Time) {
	det.leaderSince, det.commonSince = now, now
	for _, n := range det.nodes {
		n.restartCounting(now)
		n.metAt = now
		n.repair.waitUntil = max(n.repair.waitUntil, now+det.bounds.InitialRepairDelay)
	}
}

// Observe takes a node's report. One of an older incarnation, or with a sequence number seen before, is rejected with
// fleet.ErrFenced and changes nothing.
func (det *Detector) Observe(now fleet.Time, v fleet.NodeView) error {
	n := det.nodes[v.Node]
	known := det.minIncarnations[v.Node]
	if n != nil {
		known = max(known, n.Incarnation)
	}
	if v.Incarnation < known {
		return fmt.Errorf("%w: %s: %d, known %d", fleet.ErrFenced, v.Node, v.Incarnation, known)
	}
	switch {
	case n == nil:
		n = det.addNode(now, v.Member)
	case v.Incarnation > n.Incarnation:
		was := n
		n = det.addNode(now, v.Member)
		n.verdict = was.verdict
		n.verdictSince = was.verdictSince
		n.verdictRevision = was.verdictRevision
		n.repair = was.repair
		n.refreshedAt = was.refreshedAt
	case n.heard && v.Report.Sequence <= n.report.Sequence:
		return fmt.Errorf("%w: %s: sequence %d after %d", fleet.ErrFenced, v.Node, v.Report.Sequence, n.report.Sequence)
	}
	anew := !n.heard || now-n.receivedAt >= det.bounds.ReportLifetime
	det.minIncarnations[v.Node] = v.Incarnation
	n.Member = v.Member
	if n.previousRevision = 0; n.heard {
		n.previousRevision = n.report.Revision
	}
	n.report = v.Report
	n.receivedAt = now
	n.heard = true
	n.reports++
	if n.windows++; anew {
		n.restartCounting(now)
	}
	if body := n.takeLocalItems(); body != nil && (len(det.settingsBodies) < 64 || det.settingsBodies[n.settingsDigest] != nil) {
		det.settingsBodies[n.settingsDigest] = body
	}
	n.updateLags(&det.intents)
	n.compareContent(now, &det.intents)
	n.checkBehaviour(&det.intents)
	n.report.Applied = nil // all of it is taken
	return nil
}

// Step evaluates every node, moves the repairs on and gives what is to be proposed: one command or none. present are
// the nodes that have a session.
func (det *Detector) Step(now fleet.Time, st *State, in Intended, present []fleet.Member) []Command {
	if !det.leading {
		det.Lead(now, st)
	}
	if now-det.steppedAt >= det.bounds.MaxStepGap {
		det.restartBounds(now)
	}
	det.steppedAt = now
	generation := det.intents.generation
	if err := det.intents.ingest(now, in); err != nil {
		det.appendLog(now, LogEntry{Action: ActSuspectSelf, Reason: "an item can't be read: " + err.Error()})
	}
	s := &step{now: now, state: st, present: make(map[string]bool, len(present)), intentChanged: generation != det.intents.generation}
	for _, m := range present {
		s.present[m.Node] = true
		if det.nodes[m.Node] == nil && m.Incarnation >= det.minIncarnations[m.Node] {
			det.addNode(now, m)
		}
	}
	det.findBaseline(now, st, s.present, &s.command)
	names := slices.Sorted(maps.Keys(det.nodes))
	for _, name := range names {
		det.evaluateNode(s, det.nodes[name], in.LateSteps[name])
	}
	det.checkPlausibility(now, s.drifting, len(present))
	s.maxTakenOut = int(math.Floor(det.bounds.MaxTakenOutPart*float64(len(present)) + roundingSlack))
	for _, name := range names {
		if n := det.nodes[name]; n != nil {
			det.repairNode(s, n)
		}
	}
	return s.commands()
}

// roundingSlack keeps a product that is a whole number but for rounding from being rounded down.
const roundingSlack = 1e-9

// step is what one Step works out.
type step struct {
	now           fleet.Time
	state         *State
	present       map[string]bool // nodes that have a session
	intentChanged bool
	drifting      int // present nodes that drift
	takenOut      int // present nodes that are taken out
	maxTakenOut   int
	command       Command
}

// commands returns the command, if it changes anything.
func (s *step) commands() []Command {
	if s.command.Set == nil && s.command.Forget == nil && s.command.Baseline == nil {
		return nil
	}
	return []Command{s.command}
}

// evaluateNode evaluates one node, or forgets it.
func (det *Detector) evaluateNode(s *step, n *node, lateSteps []Difference) {
	if det.forgetNode(s.now, n, s.present[n.Node], s.state, &s.command) {
		return
	}
	n.lateSteps = lateSteps
	if s.intentChanged {
		n.updateLags(&det.intents)
	}
	if n.compareAgain && n.heard {
		n.compareContent(s.now, &det.intents)
	}
	det.compareSettings(n, s.state)
	det.setVerdict(s.now, n, n.evaluate(s.now, det.leaderSince, &det.bounds, &det.intents))
	if !s.present[n.Node] {
		return
	}
	if Drifts(n.verdict.state) {
		s.drifting++
	}
	if n.repair.Step == TakenOut {
		s.takenOut++
	}
}

// repairNode moves one node's repair on, and adds the change of its verdict that is due.
func (det *Detector) repairNode(s *step, n *node) {
	if _, forgotten := s.command.Forget[n.Node]; forgotten {
		return
	}
	if !s.present[n.Node] {
		n.repair.abandon()
	} else if action := det.advanceRepair(s.now, n, &s.takenOut, s.maxTakenOut); action != "" {
		reason := n.verdict.state + ": " + n.verdict.evidence
		det.appendLog(s.now, LogEntry{Node: n.Node, Action: action, Reason: reason, Keys: n.differingKeys()})
	}
	if len(s.command.Set) >= maxChanges {
		return
	}
	if change, ok := det.verdictChange(s.now, n, s.state.Verdicts[n.Node]); ok {
		s.command.Set = append(s.command.Set, change)
	}
}

// forgetNode reports whether a node is no more: it left, or has been without a session and a report for long. Its verdict goes.
func (det *Detector) forgetNode(now fleet.Time, n *node, here bool, st *State, c *Command) bool {
	if here {
		n.absent = false
		return false
	}
	if !n.absent {
		n.absent, n.absentSince = true, now
	}
	if !(n.heard && n.report.Draining) && now-max(n.absentSince, n.receivedAt) < det.bounds.ForgetAfter {
		return false
	}
	if v := st.Verdicts[n.Node]; v != nil {
		if c.Forget == nil {
			c.Forget = map[string]uint64{}
		}
		c.Forget[n.Node] = v.Revision
		return true // until the verdict is removed
	}
	det.minIncarnations[n.Node] = max(det.minIncarnations[n.Node], n.Incarnation+1) // what comes late does not bring it back
	delete(det.nodes, n.Node)
	return true
}

// setVerdict makes a finding the one that is shown.
func (det *Detector) setVerdict(now fleet.Time, n *node, f evaluation) {
	if f.state == "" {
		return
	}
	if f.state != n.verdict.state {
		n.verdictSince, n.verdictRevision = now, det.intents.revision
		if f.state == Ahead {
			det.appendLog(now, LogEntry{Node: n.Node, Action: ActAlarm, Reason: f.evidence})
		}
	}
	n.verdict = f
}

// verdictChange returns the change of a node's verdict that is due, if one is. That a node in step is catching up for a
// moment is not written: it happens to every node at every change of intent.
func (det *Detector) verdictChange(now fleet.Time, n *node, old *Verdict) (Change, bool) {
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
		due = due || now-n.refreshedAt >= det.bounds.RefreshInterval || !reflect.DeepEqual(old.Differences, s.differences) || !reflect.DeepEqual(old.Overrides, s.overrides)
	}
	if !due || n.proposing && n.proposedRevision == revisionOf(old) && now-n.proposedAt < proposalRetryDelay {
		return Change{}, false
	}
	n.proposing = true
	n.proposedRevision = revisionOf(old)
	n.proposedAt = now
	n.refreshedAt = now
	v := Verdict{
		Member:       n.Member,
		State:        state,
		LastRevision: det.intents.revision,
		Count:        max(n.reports, 1),
		Differences:  s.differences,
		Omitted:      s.omitted,
		Overrides:    s.overrides,
		Evidence:     s.evidence,
		Repair:       n.repair.Repair,
	}
	n.reports = 0
	return Change{v, revisionOf(old)}, true
}

// findBaseline finds the settings that most present nodes hold.
func (det *Detector) findBaseline(now fleet.Time, st *State, here map[string]bool, c *Command) {
	counts := map[string]int{}
	common := ""
	for name, n := range det.nodes {
		if here[name] && n.heard && n.settingsDigest != "" && now-n.receivedAt < det.bounds.ReportLifetime {
			if counts[n.settingsDigest]++; 2*counts[n.settingsDigest] > len(here) {
				common = n.settingsDigest
			}
		}
	}
	if common != det.commonSettings {
		det.commonSettings, det.commonSince = common, now
	}
	if common == "" || now-det.commonSince < det.bounds.BaselineDelay || now-det.baselineProposedAt < proposalRetryDelay {
		return
	}
	if common != st.Baseline.Digest || st.Baseline.Body == nil && det.settingsBodies[common] != nil {
		c.Baseline, det.baselineProposedAt = &Baseline{common, det.settingsBodies[common]}, now
	}
}

// compareSettings puts a node's own settings among its overrides, where they are not the fleet's.
func (det *Detector) compareSettings(n *node, st *State) {
	n.overrides = slices.DeleteFunc(n.overrides, func(o Override) bool { return o.Key == fleet.KeySettings })
	if n.settingsDigest == "" || st.Baseline.Digest == "" || n.settingsDigest == st.Baseline.Digest {
		return
	}
	o := n.settingsOverride
	if body := det.settingsBodies[n.settingsDigest]; body != nil && st.Baseline.Body != nil {
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
func (det *Detector) IsTakenOut(name string) bool {
	n := det.nodes[name]
	return n != nil && n.repair.Step == TakenOut
}

// Answer returns what a report of the node is to be answered with: keys that the agent sends its node again ("*": all), what
// the node's next report is to carry (FillReport), whether the agent is to restart, and whether the node is to be out of the
// front. What is requested of the agent is requested once a step of the repair.
func (det *Detector) Answer(name string) (resend, want []string, restart, out bool) {
	n := det.nodes[name]
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
		if n.settingsDigest != "" && det.settingsBodies[n.settingsDigest] == nil && len(det.settingsBodies) < 64 {
			want = append(want, fleet.KeySettings)
		}
	}
	return resend, want, restart, n.repair.Step == TakenOut
}
