package tenants

import (
	"fmt"
	"math"
	"slices"

	"meadowsill/internal/fleet"
)

// Judge is the leader's soft part: it sees what nodes report and says which commands the state is ready for. It
// loses everything when its leadership ends; what it decides is refused by the state where it is out of date.
type Judge struct {
	cfg       Config
	leadSince fleet.Time
	views     map[string]*view // by node
	begun     map[string]begun // by tenant: the step that its rollout or removal is at
	lend      lender
}

// view is a node's newest report, by tenant.
type view struct {
	fleet.NodeView
	reports map[string]tenantReport
}

// tenantReport is what a node last reported of a tenant, and what it was offered of late, requests/s.
type tenantReport struct {
	ack  *fleet.TenantAck
	load float64
}

type begun struct {
	uid, rev uint64
	at       fleet.Time // when this leader first saw it
}

// NewJudge makes a judge whose leadership began at 0.
func NewJudge(cfg Config) *Judge {
	j := &Judge{cfg: cfg}
	j.Lead(0)
	return j
}

// Lead begins a leadership: nothing seen before counts.
func (j *Judge) Lead(now fleet.Time) {
	j.leadSince, j.views, j.begun, j.lend = now, map[string]*view{}, map[string]begun{}, newLender()
}

// Observe takes a present node's newest report. Those of older incarnations, and older ones of a run, are left out.
func (j *Judge) Observe(now fleet.Time, v fleet.NodeView) {
	old := j.views[v.Node]
	if old != nil && (v.Incarnation < old.Incarnation || v.Incarnation == old.Incarnation && v.Report.Seq < old.Report.Seq) {
		return
	}
	part := 1.0
	if old == nil || old.Incarnation != v.Incarnation {
		old = &view{reports: make(map[string]tenantReport, len(v.Report.Tenants))}
		j.views[v.Node] = old
	} else {
		part = 1 - math.Exp(-float64(max(0, v.At-old.At))/float64(smoothing))
	}
	old.NodeView = v
	for i := range v.Report.Tenants {
		a := &v.Report.Tenants[i]
		x := a.Offered
		if !(x >= 0 && x <= rateLimit) {
			x = 0
		}
		r, known := old.reports[a.Name]
		if known {
			x = r.load + part*(x-r.load)
		}
		old.reports[a.Name] = tenantReport{ack: a, load: x}
	}
	if len(old.reports) > len(v.Report.Tenants) { // some are no more
		for name := range old.reports {
			if !slices.ContainsFunc(v.Report.Tenants, func(a fleet.TenantAck) bool { return a.Name == name }) {
				delete(old.reports, name)
			}
		}
	}
}

// Step gives the commands that the state is ready for, from what has been observed of those who are present. Of a tenant
// only the present members of its scope count. It is called about every 100 ms; a command that it gives again before the first was applied is refused by
// the state and does no harm. Over 200 tenants and 50 (300) nodes a step takes 0.1 (0.2) ms, one a second that divides 4 (25) ms,
// and a report observed 0.1 ms: BenchmarkStep.
func (j *Judge) Step(now fleet.Time, s *State, p Present) []Command {
	r := newRoster(p)
	for n := range j.views {
		if _, ok := slices.BinarySearchFunc(r.Members, fleet.Member{Node: n}, byNode); !ok {
			delete(j.views, n)
		}
	}
	for name := range j.begun {
		if phase := s.Phase(name); phase == PhaseSettled || phase == PhaseNone {
			delete(j.begun, name)
		}
	}
	var out []Command
	for _, name := range sortedKeys(s.Tenants) {
		e := s.Tenants[name]
		if c, ok := j.rollout(now, s, e, name, r); ok {
			service := e.Service()
			c.Name, c.UID, c.IfRev, c.Epoch, c.Scoped = name, e.UID, e.Rev, r.Epoch(service), service != ""
			if c.Op == Commit || c.Op == Applied {
				c.Runs = r.of(service).runs
			}
			out = append(out, c)
		}
	}
	if d := j.divide(now, s, r); d != nil {
		out = append(out, Command{Op: Divide, IfRev: s.Divided, Epoch: r.Epoch(""), Division: d})
	}
	return out
}

// rollout says what a tenant is ready for.
func (j *Judge) rollout(now fleet.Time, s *State, e *Entry, name string, r *roster) (Command, bool) {
	phase := s.Phase(name)
	if phase == PhaseSettled {
		return Command{}, false
	}
	present := r.of(e.Service())
	if b := j.begun[name]; b.uid != e.UID || b.rev != e.Rev {
		j.begun[name] = begun{uid: e.UID, rev: e.Rev, at: now}
	}
	switch phase {
	case PhaseStaging:
		return j.staging(now, s, e, name, present.members)
	case PhaseApplying:
		return Command{Op: Applied, Generation: e.Committed.Number}, present.all(func(m fleet.Member) bool { return j.applied(e, name, m) })
	case PhaseRemoving:
		return Command{Op: Drained}, present.all(func(m fleet.Member) bool {
			a, held := j.ack(e, name, m)
			return j.heard(e, m) && (!held || a.Open == 0)
		})
	case PhaseUnquoted:
		return Command{Op: Unquoted}, present.all(func(m fleet.Member) bool { return j.heard(e, m) })
	}
	return Command{}, false
}

func (j *Judge) staging(now fleet.Time, s *State, e *Entry, name string, present []fleet.Member) (Command, bool) {
	back := Command{Op: Rollback, Generation: e.Staged.Number}
	for _, m := range present {
		ok, refused, why := j.hasStaged(e, name, m)
		if refused {
			back.Node, back.Reason = m.Node, trim(why)
			return back, true
		}
		if !ok && back.Node == "" {
			back.Node, back.Reason = m.Node, reasonTimeout+": "+why
		}
	}
	if back.Node == "" {
		if s.CommitRoom(name) {
			return Command{Op: Commit, Generation: e.Staged.Number}, true
		}
		back.Node, back.Reason = s.holder(name), reasonTimeout+": may still hold a share of the larger quota"
	}
	return back, now-j.begun[name].at >= StageTimeout
}

// hasStaged says whether a node has validated and staged what is intended, by its own report with its module's digest;
// refused, that it can't; why, as text.
func (j *Judge) hasStaged(e *Entry, name string, m fleet.Member) (ok, refused bool, why string) {
	if !j.heard(e, m) {
		return false, false, "has not heard of it"
	}
	a, held := j.ack(e, name, m)
	switch {
	case !held:
		return false, false, "does not hold the tenant"
	case a.Refused != "":
		return false, true, a.Refused
	case a.Staged != e.Staged.Number:
		return false, false, fmt.Sprintf("has staged generation %d", a.Staged)
	case a.Digest != e.Staged.Digest:
		return false, false, "holds digest " + trim(a.Digest) + " and not " + e.Staged.Digest
	}
	return true, false, ""
}

// heard says whether a present run's module holds intent as new as the tenant's item.
func (j *Judge) heard(e *Entry, m fleet.Member) bool {
	v := j.views[m.Node]
	return v != nil && v.Incarnation == m.Incarnation && v.Report.Revision >= e.Rev
}

// ack is a present run's report on this tenant, and on none that had its name before.
func (j *Judge) ack(e *Entry, name string, m fleet.Member) (fleet.TenantAck, bool) {
	v := j.views[m.Node]
	if v == nil || v.Incarnation != m.Incarnation {
		return fleet.TenantAck{}, false
	}
	r, ok := v.reports[name]
	if !ok || r.ack.UID != e.UID {
		return fleet.TenantAck{}, false
	}
	return *r.ack, true
}

func (j *Judge) applied(e *Entry, name string, m fleet.Member) bool {
	a, ok := j.ack(e, name, m)
	return ok && j.heard(e, m) && a.Committed == e.Committed.Number && a.Digest == e.Committed.Digest
}

// trim keeps a node's text short enough for the log, and on one line.
func trim(s string) string { return oneLine(s[:min(len(s), 200)]) }
