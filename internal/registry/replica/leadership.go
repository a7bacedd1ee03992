package replica

import (
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/control"
	"meadowsill/internal/fleet/drift"
	"meadowsill/internal/fleet/reportdelta"
	"meadowsill/internal/registry"
)

// stepEvery is how often the leader judges.
const stepEvery = 100 * time.Millisecond

// leadership is a replica's fleet half (discovery serve --fleet): while it leads, a judge that decides, and the fleet's paths.
type leadership struct {
	rep   *Replica
	set   control.Settings
	m     *fleetMetrics
	zero  time.Time // of the leader's clock
	quiet quiet     // of complaints on bad bodies

	mu    sync.Mutex          // taken before the fsm's
	judge *control.Controller // nil: this replica does not lead
	term  uint64              // that the judge is of
	bases reportdelta.Bases   // of differences; forgotten with the judge
	// of drift's log of repairs: the last entry that was logged; and when nodes were last counted
	logged  uint64
	counted fleet.Time

	verify batch
}

func newLeadership(rep *Replica, set control.Settings) *leadership {
	l := &leadership{rep: rep, set: set, m: newFleetMetrics(), zero: time.Now()}
	l.verify.check = func() error { return rep.raft.VerifyLeader().Error() }
	return l
}

// routes puts the fleet's paths on mux.
func (l *leadership) routes(mux *http.ServeMux) {
	mux.HandleFunc("GET /fleet/v1/intent", l.intent)
	mux.HandleFunc("POST /fleet/v1/report", l.report)
	mux.HandleFunc("POST /fleet/v1/report/difference", l.difference)
	mux.HandleFunc("GET /fleet/v1/zones", l.zones)
	mux.HandleFunc("GET /fleet/v1/tenants", l.tenants)
	mux.HandleFunc("GET /fleet/v1/tenants/{name}", l.tenant)
	mux.HandleFunc("PUT /fleet/v1/tenants/{name}", l.putTenant)
	mux.HandleFunc("DELETE /fleet/v1/tenants/{name}", l.deleteTenant)
	mux.HandleFunc("GET /fleet/v1/tenants/{name}/status", l.tenantStatus)
	mux.HandleFunc("GET /fleet/v1/drift", l.drift)
	mux.Handle("GET /metrics", l.m.handler)
}

// now reads the leader's monotonic clock.
func (l *leadership) now() fleet.Time { return time.Since(l.zero) }

// run judges while this replica leads.
func (l *leadership) run() {
	t := time.NewTicker(stepEvery)
	defer t.Stop()
	for {
		select {
		case <-l.rep.done:
			return
		case <-t.C:
		}
		if l.lead() {
			l.step()
		}
	}
}

// lead says whether this replica leads. Where it has just been elected it begins with a new judge, once all that was committed
// before is applied.
func (l *leadership) lead() bool {
	r := l.rep.raft
	term := r.CurrentTerm()
	if r.State() != raft.Leader {
		l.end("not the leader")
		return false
	}
	l.mu.Lock()
	in := l.judge != nil && l.term == term
	l.mu.Unlock()
	if in {
		return true
	}
	if err := r.Barrier(5 * time.Second).Error(); err != nil || r.CurrentTerm() != term {
		l.end("lost the lead before it began to judge")
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rep.fsm.mu.Lock()
	l.judge, l.term, l.logged = control.NewController(l.set, l.now(), l.rep.fsm.fleet), term, 0
	l.rep.fsm.mu.Unlock()
	l.bases = reportdelta.Bases{}
	l.m.leading.Set(1)
	l.rep.cfg.Log.Info("leadership begins", "term", term)
	return true
}

// end gives the leadership up: what the judge knew is forgotten.
func (l *leadership) end(why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.judge != nil {
		l.judge, l.bases = nil, reportdelta.Bases{}
		l.m.leading.Set(0)
		l.rep.cfg.Log.Info("leadership ends", "term", l.term, "reason", why)
	}
}

// step judges once and sees its commands through.
func (l *leadership) step() {
	start := time.Now()
	l.mu.Lock()
	judge := l.judge
	if judge == nil {
		l.mu.Unlock()
		return
	}
	l.rep.fsm.mu.Lock()
	now := l.now()
	cmds := judge.Step(now, l.rep.fsm.fleet, l.rep.fsm.servers())
	tallies := make([][]drift.VerdictCounts, len(cmds))
	for i, c := range cmds {
		if c.Drift != nil {
			c.Drift.AtMS = time.Now().UnixMilli()
			tallies[i] = c.Drift.VerdictCounts(&l.rep.fsm.fleet.Drift)
		}
	}
	l.note(judge, now)
	l.bases.Retain(l.rep.fsm.fleet.Session.Present)
	l.m.bases.Set(float64(l.bases.Nodes()))
	l.m.sessions.Set(float64(len(l.rep.fsm.fleet.Session.Members)))
	l.m.revision.Set(float64(l.rep.fsm.fleet.Revision))
	l.rep.fsm.mu.Unlock()
	l.mu.Unlock()
	l.m.step.Observe(time.Since(start).Seconds())
	futures := make([]raft.ApplyFuture, len(cmds))
	for i, c := range cmds {
		futures[i] = l.rep.raft.Apply(fleetCommand(c), 5*time.Second)
	}
	lost := false
	for i, c := range cmds {
		if err := futures[i].Error(); err != nil {
			// What becomes of it is not known: it may yet be committed. The judge, which holds back the sessions
			// that it may end, goes with it; the next one comes after all that is committed is applied.
			lost = true
			l.m.commands.WithLabelValues(core(c), "lost").Inc()
			continue
		}
		a := futures[i].Response().(applied)
		l.outcome(c, a)
		if a.err == nil && a.changed {
			l.m.tally(tallies[i])
		}
		l.mu.Lock()
		judge.Resolved(c)
		l.mu.Unlock()
	}
	if lost {
		l.end("a command's outcome is not known")
	}
}

// note logs the repairs that were begun, and counts what drifts once a second. The caller holds both locks.
func (l *leadership) note(judge *control.Controller, now fleet.Time) {
	for _, e := range judge.Repairs(l.logged) {
		l.logged = e.Sequence
		l.m.repairs.WithLabelValues(e.Action).Inc()
		l.rep.cfg.Log.Warn("drift", "act", e.Action, "node", e.Node, "reason", e.Reason, "keys", e.Keys)
	}
	if now-l.counted < time.Second {
		return
	}
	l.counted = now
	sum := judge.DriftSummary(now, l.rep.fsm.fleet)
	l.m.drift.Reset()
	for state, n := range sum.States {
		l.m.drift.WithLabelValues(state).Set(float64(n))
	}
	l.m.suspect.Set(map[bool]float64{true: 1}[sum.SelfSuspecting])
}

// outcome counts and logs what a command of the judge came to.
func (l *leadership) outcome(c control.Command, a applied) {
	log, result := l.rep.cfg.Log, "applied"
	if a.err != nil {
		result = "refused"
		if skipped, ok := l.quiet.ok(); ok && errors.Is(a.err, fleet.ErrInvalid) {
			log.Warn("the judge's command refused", "core", core(c), "err", a.err, "more", skipped)
		}
		log.Debug("command refused", "core", core(c), "err", a.err)
	}
	l.m.commands.WithLabelValues(core(c), result).Inc()
	if a.err != nil || !a.changed {
		return
	}
	switch {
	case c.Session != nil:
		log.Info("session", "op", c.Session.Op, "node", c.Session.Member.Node, "zone", c.Session.Member.Zone, "incarnation", c.Session.Member.Incarnation, "revision", a.rev)
	case c.Zones != nil:
		for _, it := range c.Zones.Items {
			log.Info("directive", "zone", it.Key, "event", it.Event, "phase", it.Entry.Phase, "share", it.Entry.Share, "step", it.Entry.Step, "gone", it.Removed, "revision", a.rev)
		}
	case c.Tenants != nil && c.Tenants.Name != "":
		log.Info("tenant", "op", c.Tenants.Op, "tenant", c.Tenants.Name, "generation", c.Tenants.Generation, "node", c.Tenants.Node, "reason", c.Tenants.Reason, "revision", a.rev)
	}
}

// core names the core that a command is for.
func core(c control.Command) string {
	switch {
	case c.Session != nil:
		return "session"
	case c.Zones != nil:
		return "zones"
	case c.Tenants != nil:
		return "tenants"
	case c.Drift != nil:
		return "drift"
	}
	return "none"
}

// fleetCommand is a command of the fleet as raft's log has it.
func fleetCommand(c control.Command) []byte {
	inner, _ := json.Marshal(c)
	raw, _ := json.Marshal(registry.Command{Op: registry.Fleet, Fleet: inner})
	return raw
}

// proposeFleet has a command committed and applied; the error is raft's, the applied one the state's.
func (l *leadership) proposeFleet(c control.Command) (applied, error) {
	fut := l.rep.raft.Apply(fleetCommand(c), 5*time.Second)
	if err := fut.Error(); err != nil {
		return applied{}, err
	}
	a := fut.Response().(applied)
	l.outcome(c, a)
	return a, nil
}

// batch answers many askers by one check that begins after all of them asked.
type batch struct {
	check   func() error
	mu      sync.Mutex
	waiting []chan error
}

// batchWait is how long a batch gathers askers.
const batchWait = 50 * time.Millisecond

// ask waits for the outcome of a check that began after the call.
func (b *batch) ask() error {
	c := make(chan error, 1)
	b.mu.Lock()
	b.waiting = append(b.waiting, c)
	if len(b.waiting) == 1 {
		time.AfterFunc(batchWait, b.flush)
	}
	b.mu.Unlock()
	return <-c
}

func (b *batch) flush() {
	b.mu.Lock()
	all := b.waiting
	b.waiting = nil
	b.mu.Unlock()
	err := b.check()
	for _, c := range all {
		c <- err
	}
}
