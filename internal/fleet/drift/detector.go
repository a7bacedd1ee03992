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

// maxChanges is the maximum number of verdict changes in one command. The remaining ones wait for the next step.
const maxChanges = 64

// proposalRetryDelay is how long the detector waits for a proposed change to be applied before it proposes the change
// again.
const proposalRetryDelay = 500 * time.Millisecond

// Detector is the leader's state in memory, which isn't replicated. All times are readings of the leader's own monotonic
// clock. It is not safe for concurrent use.
type Detector struct {
	bounds          Bounds
	intents         intentHistory
	nodes           map[string]*node
	minIncarnations map[string]uint64 // lowest accepted incarnation by node, also for nodes that are not in nodes
	leaderSince     fleet.Time
	steppedAt       fleet.Time
	leading         bool

	settingsBodies     map[string]json.RawMessage // bodies of settings by digest
	commonSettings     string                     // digest of the settings that most nodes have, since commonSince
	commonSince        fleet.Time
	baselineProposedAt fleet.Time // when a baseline was last proposed

	resends          rateLimiter
	disruptive       rateLimiter
	selfSuspecting   bool
	fewDriftingSince fleet.Time
	log              []LogEntry
	logCount         uint64
}

// NewDetector returns a detector that doesn't lead yet.
func NewDetector(b Bounds) *Detector {
	return &Detector{bounds: b, nodes: map[string]*node{}, minIncarnations: map[string]uint64{}, settingsBodies: map[string]json.RawMessage{}, fewDriftingSince: longAgo, baselineProposedAt: longAgo}
}

// Lead starts the detector at a new leader. It discards the state in memory except the log, measures all bounds from
// now, and continues from the replicated state st.
func (det *Detector) Lead(now fleet.Time, st *State) {
	log, entryCount := det.log, det.logCount
	*det = *NewDetector(det.bounds)
	det.leaderSince = now
	det.steppedAt = now
	det.leading = true
	det.log = log
	det.logCount = entryCount
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
	n := &node{Member: m, firstSeenAt: now, countedSince: now, aheadSince: longAgo, verdictSince: now, refreshedAt: now, repair: repairState{repairedAt: longAgo, relapseEasedAt: now}}
	det.nodes[m.Node] = n
	return n
}

// restartBounds measures all bounds from now, because the detector itself was paused.
func (det *Detector) restartBounds(now fleet.Time) {
	det.leaderSince, det.commonSince = now, now
	for _, n := range det.nodes {
		n.restartCounting(now)
		n.firstSeenAt = now
		n.repair.waitUntil = max(n.repair.waitUntil, now+det.bounds.InitialRepairDelay)
	}
}

// Observe processes a node's report. It rejects a report of an older incarnation or with an old sequence number with
// fleet.ErrFenced, and then changes nothing.
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
		previous := n
		n = det.addNode(now, v.Member)
		n.verdict = previous.verdict
		n.verdictSince = previous.verdictSince
		n.verdictRevision = previous.verdictRevision
		n.repair = previous.repair
		n.refreshedAt = previous.refreshedAt
	case n.hasReport && v.Report.Sequence <= n.report.Sequence:
		return fmt.Errorf("%w: %s: sequence %d after %d", fleet.ErrFenced, v.Node, v.Report.Sequence, n.report.Sequence)
	}
	resumed := !n.hasReport || now-n.receivedAt >= det.bounds.ReportLifetime
	det.minIncarnations[v.Node] = v.Incarnation
	n.Member = v.Member
	if n.previousRevision = 0; n.hasReport {
		n.previousRevision = n.report.Revision
	}
	n.report = v.Report
	n.receivedAt = now
	n.hasReport = true
	n.reportsSinceWrite++
	if n.countedReports++; resumed {
		n.restartCounting(now)
	}
	if body := n.readLocalItems(); body != nil && (len(det.settingsBodies) < 64 || det.settingsBodies[n.settingsDigest] != nil) {
		det.settingsBodies[n.settingsDigest] = body
	}
	n.updateLags(&det.intents)
	n.compareContent(now, &det.intents)
	n.checkBehaviour(&det.intents)
	n.report.Applied = nil // its content has been processed
	return nil
}

// Step evaluates all nodes, advances their repairs and returns the command to propose, if any. present lists the nodes
// that have a session.
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

// roundingSlack keeps a product that is a whole number except for a rounding error from being rounded down.
const roundingSlack = 1e-9

// step is the working state of one call of Step.
type step struct {
	now           fleet.Time
	state         *State
	present       map[string]bool // nodes that have a session
	intentChanged bool
	drifting      int // number of present nodes that drift
	takenOut      int // number of present nodes that are taken out
	maxTakenOut   int
	command       Command
}

// commands returns the command if it changes anything.
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
	if n.compareAgain && n.hasReport {
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

// repairNode advances one node's repair, and adds the change of its verdict to the command if one is due.
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

// forgetNode reports whether a node is gone: it has left, or has had neither a session nor a report for ForgetAfter. It
// adds the removal of the node's verdict to the command.
func (det *Detector) forgetNode(now fleet.Time, n *node, isPresent bool, st *State, c *Command) bool {
	if isPresent {
		n.absent = false
		return false
	}
	if !n.absent {
		n.absent, n.absentSince = true, now
	}
	if !(n.hasReport && n.report.Draining) && now-max(n.absentSince, n.receivedAt) < det.bounds.ForgetAfter {
		return false
	}
	if v := st.Verdicts[n.Node]; v != nil {
		if c.Forget == nil {
			c.Forget = map[string]uint64{}
		}
		c.Forget[n.Node] = v.Revision
		return true // the node is deleted once the verdict is removed
	}
	det.minIncarnations[n.Node] = max(det.minIncarnations[n.Node], n.Incarnation+1) // late reports must not bring the node back
	delete(det.nodes, n.Node)
	return true
}

// setVerdict makes an evaluation the node's current verdict. An empty state leaves the verdict unchanged.
func (det *Detector) setVerdict(now fleet.Time, n *node, e evaluation) {
	if e.state == "" {
		return
	}
	if e.state != n.verdict.state {
		n.verdictSince, n.verdictRevision = now, det.intents.revision
		if e.state == Ahead {
			det.appendLog(now, LogEntry{Node: n.Node, Action: ActAlarm, Reason: e.evidence})
		}
	}
	n.verdict = e
}

// verdictChange returns the due change of a node's verdict, if any. A short change from in step to catching up is not
// written, because every change of intent causes one at every node.
func (det *Detector) verdictChange(now fleet.Time, n *node, old *Verdict) (Change, bool) {
	e := n.verdict
	if e.state == "" || n.absent && n.hasReport && n.report.Draining {
		return Change{}, false
	}
	due := old == nil && e.state != CatchingUp || old != nil && (old.Incarnation < n.Incarnation || old.Repair != n.repair.Repair)
	state := e.state
	switch {
	case old == nil:
	case state == CatchingUp && old.State == InStep:
		e, state = evaluation{overrides: e.overrides, evidence: evidenceSame}, InStep
	case old.State != state:
		due = true
	case state != InStep && state != CatchingUp:
		due = due || now-n.refreshedAt >= det.bounds.RefreshInterval || !reflect.DeepEqual(old.Differences, e.differences) || !reflect.DeepEqual(old.Overrides, e.overrides)
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
		Count:        max(n.reportsSinceWrite, 1),
		Differences:  e.differences,
		Omitted:      e.omitted,
		Overrides:    e.overrides,
		Evidence:     e.evidence,
		Repair:       n.repair.Repair,
	}
	n.reportsSinceWrite = 0
	return Change{v, revisionOf(old)}, true
}

// findBaseline finds the settings that most present nodes have, and proposes them as the baseline.
func (det *Detector) findBaseline(now fleet.Time, st *State, present map[string]bool, c *Command) {
	counts := map[string]int{}
	common := ""
	for name, n := range det.nodes {
		if present[name] && n.hasReport && n.settingsDigest != "" && now-n.receivedAt < det.bounds.ReportLifetime {
			if counts[n.settingsDigest]++; 2*counts[n.settingsDigest] > len(present) {
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

// compareSettings adds a node's settings to its overrides if they differ from the fleet's.
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

// differingKeys returns the keys of the differences in the node's verdict, without duplicates.
func (n *node) differingKeys() (keys []string) {
	for _, d := range n.verdict.differences {
		if !slices.Contains(keys, d.Key) {
			keys = append(keys, d.Key)
		}
	}
	return keys
}

// IsTakenOut reports whether a node's repair has reached its last step: the node must be out of the load balancer.
func (det *Detector) IsTakenOut(name string) bool {
	n := det.nodes[name]
	return n != nil && n.repair.Step == TakenOut
}

// Answer returns the answer to a node's report: keys that the agent is to send to the node again ("*": all), keys that
// the next report is to contain (FillReport), whether the agent is to restart, and whether the node must be out of the
// load balancer. Re-sends and restarts are requested once per repair step.
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
	if n.hasReport {
		want = append(append(want, n.trees[0].wanted...), n.trees[1].wanted...)
		if n.settingsDigest != "" && det.settingsBodies[n.settingsDigest] == nil && len(det.settingsBodies) < 64 {
			want = append(want, fleet.KeySettings)
		}
	}
	return resend, want, restart, n.repair.Step == TakenOut
}
