package control

import (
	"errors"
	"strconv"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/drift"
	"meadowsill/internal/fleet/session"
	"meadowsill/internal/fleet/tenants"
	"meadowsill/internal/fleet/zones"
)

// Settings are the fleet's, from the file that discovery serve --fleet names.
type Settings struct {
	Slots int           // nodes at most
	TTL   time.Duration // of a session's lease
	Zones zones.Settings
}

// Judge is the soft part of a leader: leases, and what the cores' judges saw. It is not safe for concurrent
// use. Times are the leader's monotonic clock.
type Judge struct {
	set     Settings
	leases  *session.Leases
	zones   *zones.Judge
	tenants *tenants.Judge
	drift   *drift.Judge
	seqs    map[string]seen   // the newest report taken, by node
	ready   map[string]uint64 // incarnations that were found to be caught up since they joined, by node
	ended   map[string]uint64 // incarnations whose leases are not renewed, as they hold up a rollout, by node
}

type seen struct{ incarnation, seq uint64 }

// NewJudge makes the judge of a leader whose leadership begins at now. It is called once the leader has applied all that was
// committed before it.
func NewJudge(set Settings, now fleet.Time, s *State) *Judge {
	j := &Judge{set: set, leases: session.NewLeases(now, set.TTL), zones: zones.NewJudge(set.Zones),
		tenants: tenants.NewJudge(tenants.Config{Slots: set.Slots, TTL: set.TTL}), drift: drift.NewJudge(drift.Defaults()),
		seqs: map[string]seen{}, ready: map[string]uint64{}, ended: map[string]uint64{}}
	for node, m := range s.Session.Members {
		j.ready[node] = m.Incarnation // a former leader has seen to it, or the run has served since
	}
	j.zones.Lead(now)
	j.tenants.Lead(now)
	j.drift.Lead(now, &s.Drift)
	return j
}

// Errors of a report that can't be answered as it is.
var (
	ErrPending = session.ErrPending // the session's end is on its way: ask again
	ErrOlder   = errors.New("older report")
)

// Admit looks at a report as it comes, before it is known whether this process still leads. It gives the command that must be
// applied first (a join, a leave), or out where the run is not present and can't be yet.
func (j *Judge) Admit(s *State, r fleet.Report) (c *Command, out bool, err error) {
	if err := s.Session.Check(r.Member); err != nil {
		return nil, false, err
	}
	if err := s.Session.CheckScope(r.Member, r.Services); err != nil {
		return nil, false, err
	}
	present := s.Session.Present(r.Member)
	switch {
	case r.Leaving && present:
		return &Command{Session: &session.Command{Op: session.Leave, Member: r.Member}}, false, nil
	case r.Leaving:
		return nil, true, nil
	case present:
		return nil, false, nil
	case !s.MayJoin(r) || j.holdsUp(s, r):
		return nil, true, nil
	}
	join := &session.Command{Op: session.Join, Member: r.Member, Services: r.Services, Slots: j.set.Slots}
	return &Command{Session: join, Guard: s.Guard(r.Node, r.Services)}, false, nil
}

// holdsUp says that a run is not to be present, as it held up a rollout, was taken out of the front for it, and has not
// followed since.
func (j *Judge) holdsUp(s *State, r fleet.Report) bool {
	if inc, ok := j.ended[r.Node]; ok && (inc != r.Incarnation || tenants.Follows(&s.Tenants, r)) {
		delete(j.ended, r.Node)
	}
	_, ok := j.ended[r.Node]
	return ok
}

// Out is the answer to a run that is not present.
func Out(s *State) fleet.ReportAnswer { return fleet.ReportAnswer{Revision: s.Rev, Out: true} }

// Report takes a report of a present run that came at at, and renews its lease at now. It is called after a VerifyLeader that
// began after the report came. A report again (a lost answer) renews and is not counted twice.
func (j *Judge) Report(now, at fleet.Time, s *State, r fleet.Report) (fleet.ReportAnswer, error) {
	v := fleet.NodeView{Member: r.Member, At: at, Report: r}
	if !s.Session.Present(r.Member) {
		j.drift.Observe(now, v) // of a run that is too far behind, or says goodbye, too; what came before changes nothing
		ans := Out(s)
		_, ans.Want, _, _ = j.drift.Answer(r.Node)
		return ans, nil
	}
	if err := s.Session.CheckScope(r.Member, r.Services); err != nil {
		return fleet.ReportAnswer{}, err
	}
	last := j.seqs[r.Node]
	if last.incarnation == r.Incarnation && r.Seq < last.seq {
		return fleet.ReportAnswer{}, ErrOlder
	}
	held := !j.holdsUp(s, r)
	if held {
		if err := j.leases.Renew(now, r.Member); err != nil {
			return fleet.ReportAnswer{}, err
		}
	}
	if last.incarnation != r.Incarnation || r.Seq > last.seq {
		j.seqs[r.Node] = seen{r.Incarnation, r.Seq}
		j.zones.Observe(now, v)
		j.tenants.Observe(now, v)
		j.drift.Observe(now, v) // refuses only what is refused above
	}
	ans := fleet.ReportAnswer{TTLMS: j.set.TTL.Milliseconds(), Revision: s.Rev}
	ans.Resend, ans.Want, ans.Restart, ans.Out = j.drift.Answer(r.Node)
	if !held {
		ans.TTLMS, ans.Out = 0, true
	}
	if j.ready[r.Node] != r.Incarnation {
		if s.CaughtUp(r) {
			j.ready[r.Node] = r.Incarnation
		} else {
			ans.Out = true
		}
	}
	return ans, nil
}

// Step gives the commands that the state is ready for, in their order; call it each 100 ms. servers is the list of app
// servers under the same revisions, nil where there is none. Settled must be given the outcome of each.
func (j *Judge) Step(now fleet.Time, s *State, servers []drift.Listed) []Command {
	var out []Command
	for _, m := range j.leases.Lapsed(now, &s.Session) {
		out = append(out, Command{Session: &session.Command{Op: session.Lapse, Member: m}})
	}
	present := s.Session.List()
	for _, c := range j.zones.Step(now, &s.Zones, present) {
		out = append(out, Command{Zones: &c})
	}
	for _, c := range j.tenants.Step(now, &s.Tenants, s.present()) {
		out = append(out, Command{Tenants: &c})
	}
	late := j.late(now, s)
	for _, c := range j.drift.Step(now, &s.Drift, drift.Intended{Revision: s.Rev, Items: s.All(), Servers: servers, Late: late}, present) {
		out = append(out, Command{Drift: &c})
	}
	for _, m := range present {
		if late[m.Node] != nil && j.drift.Out(m.Node) {
			j.ended[m.Node] = m.Incarnation
		}
	}
	for node := range j.seqs {
		if _, ok := s.Session.Members[node]; !ok {
			delete(j.seqs, node)
		}
	}
	for node := range j.ready {
		if _, ok := s.Session.Members[node]; !ok {
			delete(j.ready, node)
		}
	}
	return out
}

// late is what present nodes hold up past its bound, as drift names it.
func (j *Judge) late(now fleet.Time, s *State) map[string][]drift.Difference {
	out := map[string][]drift.Difference{}
	for _, l := range j.tenants.Late(now, &s.Tenants, s.present()) {
		out[l.Node] = append(out[l.Node], drift.Difference{Key: "tenant/" + l.Tenant, Field: "applied",
			Intended: strconv.FormatUint(l.Want, 10), Applied: strconv.FormatUint(l.Has, 10)})
	}
	return out
}

// Settled says that a command's outcome is known: it was applied, refused, or will surely never be.
func (j *Judge) Settled(c Command) {
	if c.Session != nil && c.Session.Op == session.Lapse {
		j.leases.Settled(c.Session.Member)
	}
}

// Findings is what zones are judged by now.
func (j *Judge) Findings() []zones.Finding { return j.zones.Findings() }

// Status is how far each node present in a tenant's scope is with it.
func (j *Judge) Status(now fleet.Time, s *State, name string) ([]tenants.NodeStatus, error) {
	return j.tenants.Status(now, &s.Tenants, name, s.present())
}

// Verdicts is what is thought of each node. wallMS is the wall clock at now, for people.
func (j *Judge) Verdicts(now fleet.Time, wallMS int64, s *State) []drift.Verdict {
	return j.drift.Verdicts(now, wallMS, &s.Drift)
}

// Drift is the fleet's drift at a glance.
func (j *Judge) Drift(now fleet.Time, s *State) drift.Summary { return j.drift.Summary(now, &s.Drift) }

// Repairs is the log of the repairs after an entry's number.
func (j *Judge) Repairs(after uint64) []drift.Entry { return j.drift.Log(after) }
