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

// Settings are the settings of the fleet, read from the file that discovery serve --fleet names.
type Settings struct {
	Slots int           // maximum number of nodes
	TTL   time.Duration // lifetime of a session's lease
	Zones zones.Settings
}

// Controller is the part of a leader's state that is not replicated: the session leases, and what the controllers of zones,
// tenants and drift have observed. It is not safe for concurrent use. Times are readings of the leader's monotonic clock.
type Controller struct {
	settings        Settings
	leases          *session.Leases
	zones           *zones.Controller
	tenants         *tenants.Controller
	drift           *drift.Detector
	newestReports   map[string]reportID // newest report accepted from each node
	caughtUp        map[string]uint64   // incarnation that was found to be caught up since it joined, by node
	rolloutBlockers map[string]uint64   // incarnation whose lease is not renewed because it holds up a rollout, by node
}

// reportID identifies a report within the reports of one node.
type reportID struct {
	incarnation uint64
	sequence    uint64
}

// NewController returns the controller of a leader whose leadership begins at now. It must be called only after the leader has
// applied all commands that were committed before its leadership.
func NewController(set Settings, now fleet.Time, s *State) *Controller {
	ctl := &Controller{
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
		ctl.caughtUp[node] = m.Incarnation // a former leader found it caught up, or the run has served since
	}
	ctl.zones.Lead(now)
	ctl.tenants.Lead(now)
	ctl.drift.Lead(now, &s.Drift)
	return ctl
}

// Errors of a report that can't be answered.
var (
	ErrPending = session.ErrPending // the session's expiry is proposed and its outcome unknown: the report is to be repeated
	ErrOlder   = errors.New("older report")
)

// Admit checks a report on arrival, before this process has verified that it still leads. It returns the command that must be
// applied before the report is answered (a join or a leave). notReady is set where the run is not present and must not join yet.
func (ctl *Controller) Admit(s *State, r fleet.Report) (c *Command, notReady bool, err error) {
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

// blocksRollout reports whether a run must not be present because it held up a rollout, was taken out of the load balancer for
// that, and has not yet applied what is committed.
func (ctl *Controller) blocksRollout(s *State, r fleet.Report) bool {
	if inc, ok := ctl.rolloutBlockers[r.Node]; ok && (inc != r.Incarnation || tenants.HasFollowed(&s.Tenants, r)) {
		delete(ctl.rolloutBlockers, r.Node)
	}
	_, ok := ctl.rolloutBlockers[r.Node]
	return ok
}

// NotReadyAnswer returns the answer to a report of a run that is not present.
func NotReadyAnswer(s *State) fleet.ReportAnswer {
	return fleet.ReportAnswer{Revision: s.Revision, NotReady: true}
}

// Report processes a report that was received at receivedAt and returns the answer to it. It renews the lease of a present run
// at now. The caller must have completed a VerifyLeader that began after the report was received. A report that is repeated
// because its answer was lost renews the lease again, but is not counted twice.
func (ctl *Controller) Report(now, receivedAt fleet.Time, s *State, r fleet.Report) (fleet.ReportAnswer, error) {
	v := fleet.NodeView{Member: r.Member, ReceivedAt: receivedAt, Report: r}
	if !s.Session.Present(r.Member) {
		ctl.drift.Observe(now, v) // also observes runs that are too far behind or leaving; an older report changes nothing
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
		ctl.drift.Observe(now, v) // its error is ignored: it rejects only reports that are rejected above
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

// Step returns the commands that the present state calls for, in the order in which they are to be proposed. It is called every
// 100 ms. servers is the list of app servers, which has the same revisions as the state; nil where there is no list. Resolved
// must be called with each command once its outcome is known.
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

// lateNodes returns the rollout steps that present nodes hold up past the time limit, by node, in the form that package drift uses.
func (ctl *Controller) lateNodes(now fleet.Time, s *State) map[string][]drift.Difference {
	out := map[string][]drift.Difference{}
	for _, l := range ctl.tenants.Late(now, &s.Tenants, s.present()) {
		out[l.Node] = append(out[l.Node], drift.Difference{Key: "tenant/" + l.Tenant, Field: "applied",
			Intended: strconv.FormatUint(l.WantedGeneration, 10), Applied: strconv.FormatUint(l.Generation, 10)})
	}
	return out
}

// Resolved records that a command's outcome is known: it was applied or rejected, or can no longer be applied.
func (ctl *Controller) Resolved(c Command) {
	if c.Session != nil && c.Session.Operation == session.Expire {
		ctl.leases.Resolved(c.Session.Member)
	}
}

// ZoneEvidence returns the evidence by which zones are evaluated now.
func (ctl *Controller) ZoneEvidence() []zones.Evidence { return ctl.zones.Evidence() }

// TenantStatus returns the progress that each node present in a tenant's scope has made with the tenant.
func (ctl *Controller) TenantStatus(now fleet.Time, s *State, name string) ([]tenants.NodeStatus, error) {
	return ctl.tenants.Status(now, &s.Tenants, name, s.present())
}

// Verdicts returns the drift verdict on each node. wallMS is the wall clock at now, for the times that people read.
func (ctl *Controller) Verdicts(now fleet.Time, wallMS int64, s *State) []drift.Verdict {
	return ctl.drift.Verdicts(now, wallMS, &s.Drift)
}

// DriftSummary returns a summary of the fleet's drift.
func (ctl *Controller) DriftSummary(now fleet.Time, s *State) drift.Summary {
	return ctl.drift.Summary(now, &s.Drift)
}

// Repairs returns the entries of the repair log whose numbers are above after.
func (ctl *Controller) Repairs(after uint64) []drift.LogEntry { return ctl.drift.Log(after) }
