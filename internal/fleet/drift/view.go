package drift

import (
	"maps"
	"slices"

	"meadowsill/internal/fleet"
)

// Verdicts returns the current verdicts on all nodes, sorted by name: st's verdicts with the changes that the detector
// has seen since. wallMS is the wall clock at now in Unix ms, for the times that operators read. A node that is in step
// in st but has not reported in this leadership is shown as catching up.
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
		case n == nil || old != nil && (n.verdict.state == "" || (!n.hasReport || n.receivedAt < det.leaderSince) && n.verdict.state == old.State):
			if v.State == InStep {
				v.State, v.Evidence = CatchingUp, evidenceNoReport
			}
		case n.verdict.state == "":
			continue
		case n.hasReport && n.report.Draining && n.absent:
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
			v.Count += n.reportsSinceWrite
		}
		out = append(out, v)
	}
	return out
}

// Summary gives the numbers of nodes by state and by repair step.
type Summary struct {
	States         map[string]int `json:"states"`  // number of nodes by state
	Repairs        map[string]int `json:"repairs"` // number of nodes by repair step, without idle
	SelfSuspecting bool           `json:"suspect"` // the detector suspects itself and starts no repair
}

// Summary counts the verdicts that Verdicts returns.
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

// LocalDetector is an agent's detector for its own node. It is the leader's detector with the agent's copy of the intent
// and a single node. Its only repair is the re-send, and it doesn't know the fleet's settings.
type LocalDetector struct {
	detector *Detector
	state    State
}

// NewLocalDetector returns the detector of an agent that has just started.
func NewLocalDetector(b Bounds) *LocalDetector { return &LocalDetector{detector: NewDetector(b)} }

// Observe processes the node's report; see Detector.Observe.
func (l *LocalDetector) Observe(now fleet.Time, r fleet.Report) error {
	return l.detector.Observe(now, fleet.NodeView{Member: r.Member, ReceivedAt: now, Report: r})
}

// Step evaluates the node against the agent's copy of the intent. caughtUp means that a replica has answered since the
// agent started. Before that, the copy may be older than the intent that the node has applied, and the node is not
// considered ahead.
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

// Answer returns the keys that the agent is to send to its node again, and the keys that the next report is to contain.
func (l *LocalDetector) Answer(node string) (resend, want []string) {
	resend, want, _, _ = l.detector.Answer(node)
	return resend, want
}

// Verdict returns the node's verdict. ok is false if there is none yet.
func (l *LocalDetector) Verdict(now fleet.Time, wallMS int64, node string) (v Verdict, ok bool) {
	for _, v := range l.detector.Verdicts(now, wallMS, &l.state) {
		if v.Node == node {
			return v, true
		}
	}
	return Verdict{}, false
}
