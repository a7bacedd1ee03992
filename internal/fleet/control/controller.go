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

// Controller is the soft part of a leader: leases, and what the cores' controllers observed. It is not safe for concurrent
// use. Times are the leader's monotonic clock.
type Controller struct {
	settings        Settings
	leases          *session.Leases
	zones           *zones.Controller
	tenants         *tenants.Controller
	drift           *drift.Detector
	newestReports   map[string]reportID // the newest report taken, by node
	caughtUp        map[string]uint64   // incarnations that were found to be caught up since they joined, by node
	rolloutBlockers map[string]uint64   // incarnations whose leases are not renewed, as they hold up a rollout, by node
}

type reportID struct {
	incarnation uint64
	sequence    uint64
}

// NewController makes the controller of a leader whose leadership begins at now. It is called once the leader has applied all that was
// committed before it.
func NewController(set Settings, now fleet.Time, s *State) *Controller {
	j := &Controller{
		settings:        set,
		leases:          session.NewLeases(now, set.TTL),
		zones:           zones.NewController(set.Zones),
		tenants:         tenants.NewController(tenants.Config{Slots: set.Slots, TTL: set.TTL}),
		drift:           drift.NewDetector(drift.Defaults()),
		newestReports:   map[string]reportID{},
		caughtUp:        map[string]uint64{},
		rolloutBlockers: map[string]uint64{},
	}
	for node, m := range s.Session.Members {
		j.caughtUp[node] = m.Incarnation // a former leader has seen to it, or the run has served since
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
func (ctl *Controller) Admit(s *State, r fleet.Report) (c *Command, out bool, err error) {
	if err := s.Session.Check(r.Member); err != nil {
		return nil, false, err
	}
	if err := s.Session.CheckScope(r.Member, r.Services); err != nil {
		return nil, false, err
	}
	present := s.Session.Present(r.Member)
	switch {
	case r.Draining && present:
		return &Command{Session: &session.Command{Operation: session.Leave, Member: r.Member}}, false, nil
	case r.Draining:
		return nil, true, nil
	case present:
		return nil, false, nil
	case !s.MayJoin(r) || ctl.blocksRollout(s, r):
		return nil, true, nil
	}
	join := &session.Command{Operation: session.Join, Member: r.Member, Services: r.Services, Slots: ctl.settings.Slots}
	return &Command{Session: join, ScopeDigest: s.ScopeDigest(r.Node, r.Services)}, false, nil
}

// blocksRollout reports that a run is not to be present, as it held up a rollout, was taken out of the load balancer for it, and has not
// followed since.
func (ctl *Controller) blocksRollout(s *State, r fleet.Report) bool {
	if inc, ok := ctl.rolloutBlockers[r.Node]; ok && (inc != r.Incarnation || tenants.HasFollowed(&s.Tenants, r)) {
		delete(ctl.rolloutBlockers, r.Node)
	}
	_, ok := ctl.rolloutBlockers[r.Node]
	return ok
}

// NotReadyAnswer is the answer to a run that is not present.
func NotReadyAnswer(s *State) fleet.ReportAnswer {
	return fleet.ReportAnswer{Revision: s.Revision, NotReady: true}
}

// Report takes a report of a present run that came at at, and renews its lease at now. It is called after a VerifyLeader that
// began after the report came. A report again (a lost answer) renews and is not counted twice.
func (ctl *Controller) Report(now, at fleet.Time, s *State, r fleet.Report) (fleet.ReportAnswer, error) {
	v := fleet.NodeView{Member: r.Member, ReceivedAt: at, Report: r}
	if !s.Session.Present(r.Member) {
		ctl.drift.Observe(now, v) // of a run that is too far behind, or leaves, too; what came before changes nothing
		ans := NotReadyAnswer(s)
		_, ans.WantedKeys, _, _ = ctl.drift.Answer(r.Node)
		return ans, nil
	}
	if err := s.Session.CheckScope(r.Member, r.Services); err != nil {
		return fleet.ReportAnswer{}, err
	}
	last := ctl.newestReports[r.Node]
	if last.incarnation == r.Incarnation && r.Sequence < last.sequence {
		return fleet.ReportAnswer{}, ErrOlder
	}
	renewable := !ctl.blocksRollout(s, r)
	if renewable {
		if err := ctl.leases.Renew(now, r.Member); err != nil {
			return fleet.ReportAnswer{}, err
		}
	}
	if last.incarnation != r.Incarnation || r.Sequence > last.sequence {
		ctl.newestReports[r.Node] = reportID{r.Incarnation, r.Sequence}
		ctl.zones.Observe(now, v)
		ctl.tenants.Observe(now, v)
		ctl.drift.Observe(now, v) // rejects only what is rejected above
	}
	ans := fleet.ReportAnswer{LeaseTTLMS: ctl.settings.TTL.Milliseconds(), Revision: s.Revision}
	ans.Resend, ans.WantedKeys, ans.Restart, ans.NotReady = ctl.drift.Answer(r.Node)
	if !renewable {
		ans.LeaseTTLMS, ans.NotReady = 0, true
	}
	if ctl.caughtUp[r.Node] != r.Incarnation {
		if s.CaughtUp(r) {
			ctl.caughtUp[r.Node] = r.Incarnation
		} else {
			ans.NotReady = true
		}
	}
	return ans, nil
}

// Step returns the commands that the state is ready for, in their order; call it each 100 ms. servers is the list of app
// servers under the same revisions, nil where there is none. Resolved must be given the outcome of each.
func (ctl *Controller) Step(now fleet.Time, s *State, servers []drift.ListedServer) []Command {
	var out []Command
	for _, m := range ctl.leases.Expired(now, &s.Session) {
		out = append(out, Command{Session: &session.Command{Operation: session.Expire, Member: m}})
	}
	present := s.Session.List()
	for _, c := range ctl.zones.Step(now, &s.Zones, present) {
		out = append(out, Command{Zones: &c})
	}
	for _, c := range ctl.tenants.Step(now, &s.Tenants, s.present()) {
		out = append(out, Command{Tenants: &c})
	}
	late := ctl.lateNodes(now, s)
	for _, c := range ctl.drift.Step(now, &s.Drift, drift.Intended{Revision: s.Revision, Items: s.All(), Servers: servers, LateSteps: late}, present) {
		out = append(out, Command{Drift: &c})
	}
	for _, m := range present {
		if late[m.Node] != nil && ctl.drift.IsTakenOut(m.Node) {
			ctl.rolloutBlockers[m.Node] = m.Incarnation
		}
	}
	for node := range ctl.newestReports {
		if _, ok := s.Session.Members[node]; !ok {
			delete(ctl.newestReports, node)
		}
	}
	for node := range ctl.caughtUp {
		if _, ok := s.Session.Members[node]; !ok {
			delete(ctl.caughtUp, node)
		}
	}
	return out
}

// lateNodes is what present nodes hold up past its bound, as drift names it.
func (ctl *Controller) lateNodes(now fleet.Time, s *State) map[string][]drift.Difference {
	out := map[string][]drift.Difference{}
	for _, l := range ctl.tenants.Late(now, &s.Tenants, s.present()) {
		out[l.Node] = append(out[l.Node], drift.Difference{Key: "tenant/" + l.Tenant, Field: "applied",
			Intended: strconv.FormatUint(l.WantedGeneration, 10), Applied: strconv.FormatUint(l.Generation, 10)})
	}
	return out
}

// Resolved notes that a command's outcome is known: it was applied, rejected, or will surely never be.
func (ctl *Controller) Resolved(c Command) {
	if c.Session != nil && c.Session.Operation == session.Expire {
		ctl.leases.Resolved(c.Session.Member)
	}
}

// ZoneEvidence is what zones are evaluated by now.
func (ctl *Controller) ZoneEvidence() []zones.Evidence { return ctl.zones.Evidence() }

// TenantStatus is how far each node present in a tenant's scope is with it.
func (ctl *Controller) TenantStatus(now fleet.Time, s *State, name string) ([]tenants.NodeStatus, error) {
	return ctl.tenants.Status(now, &s.Tenants, name, s.present())
}

// Verdicts is what is thought of each node. wallMS is the wall clock at now, for people.
func (ctl *Controller) Verdicts(now fleet.Time, wallMS int64, s *State) []drift.Verdict {
	return ctl.drift.Verdicts(now, wallMS, &s.Drift)
}

// DriftSummary is the fleet's drift at a glance.
func (ctl *Controller) DriftSummary(now fleet.Time, s *State) drift.Summary {
	return ctl.drift.Summary(now, &s.Drift)
}

// Repairs is the log of the repairs after an entry's number.
func (ctl *Controller) Repairs(after uint64) []drift.LogEntry { return ctl.drift.Log(after) }
