package drift

import (
	"maps"
	"slices"

	"meadowsill/internal/fleet"
)

// Verdicts gives what is thought of every node now, by name: st's verdicts with what the judge has seen since. wallMS is
// the wall clock at now, Unix ms, for the times that people read. A node that st has in step and that has not yet
// been heard in this leadership is shown as catching up.
func (j *Judge) Verdicts(now fleet.Time, wallMS int64, st *State) []Verdict {
	names := slices.Collect(maps.Keys(j.nodes))
	for name := range st.Verdicts {
		if j.nodes[name] == nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	out := make([]Verdict, 0, len(names))
	for _, name := range names {
		n, old := j.nodes[name], st.Verdicts[name]
		var v Verdict
		if old != nil {
			v = *old
		}
		switch {
		case n == nil || old != nil && (n.shown.state == "" || (!n.heard || n.at < j.leadSince) && n.shown.state == old.State):
			if v.State == InStep {
				v.State, v.Evidence = CatchingUp, whyUnheard
			}
		case n.shown.state == "":
			continue
		case n.heard && n.report.Leaving && n.absent:
			continue
		default:
			v.Member, v.Repair = n.Member, n.repair.Repair
			if old == nil || old.State != n.shown.state {
				v.FirstRev, v.FirstSeenMS, v.Count = n.shownRev, wallMS-(now-n.shownAt).Milliseconds(), 0
			}
			v.State, v.Items, v.More, v.Overrides, v.Evidence = n.shown.state, n.shown.items, n.shown.more, n.shown.overrides, n.shown.evidence
			v.LastRev, v.LastSeenMS = j.book.rev, wallMS-max(0, now-max(n.at, j.leadSince)).Milliseconds()
			v.Count += n.reports
		}
		out = append(out, v)
	}
	return out
}

// Summary is the fleet at a glance.
type Summary struct {
	States  map[string]int `json:"states"`  // nodes by state
	Repairs map[string]int `json:"repairs"` // nodes by step of their repair, idle left out
	Suspect bool           `json:"suspect"` // the detector suspects itself: no repair is started
}

// Summary counts what Verdicts shows.
func (j *Judge) Summary(now fleet.Time, st *State) Summary {
	s := Summary{States: map[string]int{}, Repairs: map[string]int{}, Suspect: j.doubting}
	for _, v := range j.Verdicts(now, 0, st) {
		s.States[v.State]++
		if v.Repair.Step != Idle {
			s.Repairs[v.Repair.Step]++
		}
	}
	return s
}

// Local is an agent's judgement of its own node: the leader's, with the agent's copy of intent, for one node. It
// repairs by re-sending alone, and knows no settings of the fleet.
type Local struct {
	j  *Judge
	st State
}

// NewLocal makes the judgement of an agent that has just started.
func NewLocal(b Bounds) *Local { return &Local{j: NewJudge(b)} }

// Observe takes the node's report; see Judge.Observe.
func (l *Local) Observe(now fleet.Time, r fleet.Report) error {
	return l.j.Observe(now, fleet.NodeView{Member: r.Member, At: now, Report: r})
}

// Step judges the node by the agent's copy. caughtUp says that a replica has answered since the agent's start:
// until then its copy may be older than what the node holds, and nothing is said to be newer than it.
func (l *Local) Step(now fleet.Time, in Intended, m fleet.Member, caughtUp bool) {
	l.j.bounds.Ahead = Defaults().Ahead
	if !caughtUp {
		l.j.bounds.Ahead = l.j.bounds.Forget
	}
	for _, c := range l.j.Step(now, &l.st, in, []fleet.Member{m}) {
		c.Baseline = nil
		l.st.Apply(c, func() uint64 { return l.st.Rev + 1 })
	}
}

// Answer gives what the agent is to send its node again, and what the next report is to carry.
func (l *Local) Answer(node string) (resend, want []string) {
	resend, want, _, _ = l.j.Answer(node)
	return resend, want
}

// Verdict is the node's; ok is false before there is one.
func (l *Local) Verdict(now fleet.Time, wallMS int64, node string) (v Verdict, ok bool) {
	for _, v := range l.j.Verdicts(now, wallMS, &l.st) {
		if v.Node == node {
			return v, true
		}
	}
	return Verdict{}, false
}
