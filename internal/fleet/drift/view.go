package drift

import (
	"maps"
	"slices"

	"meadowsill/internal/fleet"
)

// Verdicts returns what is thought of every node now, by name: st's verdicts with what the detector has seen since. wallMS is
// the wall clock at now, Unix ms, for the times that people read. A node that st has in step and that has not yet
// been heard in this leadership is shown as catching up.
func (det *Detector) Verdicts(now fleet.Time, wallMS int64, st *State) []Verdict {
	names := slices.Collect(maps.Keys(det.nodes))
	for name := range st.Verdicts {
		if det.nodes[name] == nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	out := make([]Verdict, 0, len(names))
	for _, name := range names {
		n, old := det.nodes[name], st.Verdicts[name]
		var v Verdict
		if old != nil {
			v = *old
		}
		switch {
		case n == nil || old != nil && (n.verdict.state == "" || (!n.heard || n.receivedAt < det.leaderSince) && n.verdict.state == old.State):
			if v.State == InStep {
				v.State, v.Evidence = CatchingUp, evidenceNoReport
			}
		case n.verdict.state == "":
			continue
		case n.heard && n.report.Draining && n.absent:
			continue
		default:
			v.Member, v.Repair = n.Member, n.repair.Repair
			if old == nil || old.State != n.verdict.state {
				v.FirstRevision = n.verdictRevision
				v.FirstSeenMS = wallMS - (now - n.verdictSince).Milliseconds()
				v.Count = 0
			}
			v.State = n.verdict.state
			v.Differences = n.verdict.differences
			v.Omitted = n.verdict.omitted
			v.Overrides = n.verdict.overrides
			v.Evidence = n.verdict.evidence
			v.LastRevision, v.LastSeenMS = det.intents.revision, wallMS-max(0, now-max(n.receivedAt, det.leaderSince)).Milliseconds()
			v.Count += n.reports
		}
		out = append(out, v)
	}
	return out
}

// Summary is the fleet at a glance.
type Summary struct {
	States         map[string]int `json:"states"`  // nodes by state
	Repairs        map[string]int `json:"repairs"` // nodes by step of their repair, idle left out
	SelfSuspecting bool           `json:"suspect"` // the detector suspects itself: no repair is started
}

// Summary counts what Verdicts shows.
func (det *Detector) Summary(now fleet.Time, st *State) Summary {
	s := Summary{States: map[string]int{}, Repairs: map[string]int{}, SelfSuspecting: det.selfSuspecting}
	for _, v := range det.Verdicts(now, 0, st) {
		s.States[v.State]++
		if v.Repair.Step != Idle {
			s.Repairs[v.Repair.Step]++
		}
	}
	return s
}

// LocalDetector is an agent's evaluation of its own node: the leader's, with the agent's copy of intent, for one node. It
// repairs by re-sending alone, and knows no settings of the fleet.
type LocalDetector struct {
	detector *Detector
	state    State
}

// NewLocalDetector makes the evaluation of an agent that has just started.
func NewLocalDetector(b Bounds) *LocalDetector { return &LocalDetector{detector: NewDetector(b)} }

// Observe takes the node's report; see Detector.Observe.
func (l *LocalDetector) Observe(now fleet.Time, r fleet.Report) error {
	return l.detector.Observe(now, fleet.NodeView{Member: r.Member, ReceivedAt: now, Report: r})
}

// Step evaluates the node by the agent's copy. caughtUp says that a replica has answered since the agent's start:
// until then its copy may be older than what the node holds, and nothing is said to be newer than it.
func (l *LocalDetector) Step(now fleet.Time, in Intended, m fleet.Member, caughtUp bool) {
	l.detector.bounds.MaxAheadTime = Defaults().MaxAheadTime
	if !caughtUp {
		l.detector.bounds.MaxAheadTime = l.detector.bounds.ForgetAfter
	}
	for _, c := range l.detector.Step(now, &l.state, in, []fleet.Member{m}) {
		c.Baseline = nil
		l.state.Apply(c, func() uint64 { return l.state.Revision + 1 })
	}
}

// Answer returns what the agent is to send its node again, and what the next report is to carry.
func (l *LocalDetector) Answer(node string) (resend, want []string) {
	resend, want, _, _ = l.detector.Answer(node)
	return resend, want
}

// Verdict is the node's; ok is false before there is one.
func (l *LocalDetector) Verdict(now fleet.Time, wallMS int64, node string) (v Verdict, ok bool) {
	for _, v := range l.detector.Verdicts(now, wallMS, &l.state) {
		if v.Node == node {
			return v, true
		}
	}
	return Verdict{}, false
}
