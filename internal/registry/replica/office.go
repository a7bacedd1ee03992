package replica

import (
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"starlingvalve/internal/fleet"
	"starlingvalve/internal/fleet/control"
	"starlingvalve/internal/fleet/drift"
	"starlingvalve/internal/registry"
)

// stepEvery is how often the leader judges.
const stepEvery = 100 * time.Millisecond

// office is a replica's fleet half (listd serve --fleet): while it leads, a judge that decides, and the fleet's paths.
type office struct {
	rep   *Replica
	set   control.Settings
	m     *fleetMetrics
	zero  time.Time // of the leader's clock
	quiet quiet     // of complaints on bad bodies

	mu    sync.Mutex     // taken before the fsm's
	judge *control.Judge // nil: this replica is not in office
	term  uint64         // that the judge is of
	// of drift's log of repairs: the last entry that was logged; and when nodes were last counted
	logged  uint64
	counted fleet.Time

	verify batch
}

func newOffice(rep *Replica, set control.Settings) *office {
	o := &office{rep: rep, set: set, m: newFleetMetrics(), zero: time.Now()}
	o.verify.check = func() error { return rep.raft.VerifyLeader().Error() }
	return o
}

// routes puts the fleet's paths on mux.
func (o *office) routes(mux *http.ServeMux) {
	mux.HandleFunc("GET /fleet/v1/intent", o.intent)
	mux.HandleFunc("POST /fleet/v1/report", o.report)
	mux.HandleFunc("GET /fleet/v1/zones", o.zones)
	mux.HandleFunc("GET /fleet/v1/tenants", o.tenants)
	mux.HandleFunc("GET /fleet/v1/tenants/{name}", o.tenant)
	mux.HandleFunc("PUT /fleet/v1/tenants/{name}", o.putTenant)
	mux.HandleFunc("DELETE /fleet/v1/tenants/{name}", o.deleteTenant)
	mux.HandleFunc("GET /fleet/v1/tenants/{name}/status", o.tenantStatus)
	mux.HandleFunc("GET /fleet/v1/drift", o.drift)
	mux.Handle("GET /metrics", o.m.handler)
}

// now reads the leader's monotonic clock.
func (o *office) now() fleet.Time { return time.Since(o.zero) }

// run judges while this replica leads.
func (o *office) run() {
	t := time.NewTicker(stepEvery)
	defer t.Stop()
	for {
		select {
		case <-o.rep.done:
			return
		case <-t.C:
		}
		if o.take() {
			o.step()
		}
	}
}

// take says whether this replica is in office, and puts it there where it has come to lead: with a new judge, once all that was
// committed before is applied.
func (o *office) take() bool {
	r := o.rep.raft
	term := r.CurrentTerm()
	if r.State() != raft.Leader {
		o.leave("not the leader")
		return false
	}
	o.mu.Lock()
	in := o.judge != nil && o.term == term
	o.mu.Unlock()
	if in {
		return true
	}
	if err := r.Barrier(5 * time.Second).Error(); err != nil || r.CurrentTerm() != term {
		o.leave("lost the lead before taking office")
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rep.fsm.mu.Lock()
	o.judge, o.term, o.logged = control.Office(o.set, o.now(), o.rep.fsm.fleet), term, 0
	o.rep.fsm.mu.Unlock()
	o.m.office.Set(1)
	o.rep.cfg.Log.Info("takes office", "term", term)
	return true
}

// leave ends the office: what the judge knew is forgotten.
func (o *office) leave(why string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.judge != nil {
		o.judge = nil
		o.m.office.Set(0)
		o.rep.cfg.Log.Info("leaves office", "term", o.term, "reason", why)
	}
}

// step judges once and sees its commands through.
func (o *office) step() {
	start := time.Now()
	o.mu.Lock()
	judge := o.judge
	if judge == nil {
		o.mu.Unlock()
		return
	}
	o.rep.fsm.mu.Lock()
	now := o.now()
	cmds := judge.Step(now, o.rep.fsm.fleet, o.rep.fsm.servers())
	tallies := make([][]drift.Tally, len(cmds))
	for i, c := range cmds {
		if c.Drift != nil {
			c.Drift.AtMS = time.Now().UnixMilli()
			tallies[i] = c.Drift.Tally(&o.rep.fsm.fleet.Drift)
		}
	}
	o.note(judge, now)
	o.m.sessions.Set(float64(len(o.rep.fsm.fleet.Session.Members)))
	o.m.revision.Set(float64(o.rep.fsm.fleet.Rev))
	o.rep.fsm.mu.Unlock()
	o.mu.Unlock()
	o.m.step.Observe(time.Since(start).Seconds())
	futures := make([]raft.ApplyFuture, len(cmds))
	for i, c := range cmds {
		futures[i] = o.rep.raft.Apply(fleetCommand(c), 5*time.Second)
	}
	lost := false
	for i, c := range cmds {
		if err := futures[i].Error(); err != nil {
			// What becomes of it is not known: it may yet be committed. The judge, which holds back the sessions
			// that it may end, goes with it; the next one comes after all that is committed is applied.
			lost = true
			o.m.commands.WithLabelValues(core(c), "lost").Inc()
			continue
		}
		a := futures[i].Response().(applied)
		o.outcome(c, a)
		if a.err == nil && a.changed {
			o.m.tally(tallies[i])
		}
		o.mu.Lock()
		judge.Settled(c)
		o.mu.Unlock()
	}
	if lost {
		o.leave("a command's outcome is not known")
	}
}

// note logs the repairs that were begun, and counts what drifts once a second. The caller holds both locks.
func (o *office) note(judge *control.Judge, now fleet.Time) {
	for _, e := range judge.Repairs(o.logged) {
		o.logged = e.Seq
		o.m.repairs.WithLabelValues(e.Act).Inc()
		o.rep.cfg.Log.Warn("drift", "act", e.Act, "node", e.Node, "reason", e.Why, "keys", e.Keys)
	}
	if now-o.counted < time.Second {
		return
	}
	o.counted = now
	sum := judge.Drift(now, o.rep.fsm.fleet)
	o.m.drift.Reset()
	for state, n := range sum.States {
		o.m.drift.WithLabelValues(state).Set(float64(n))
	}
	o.m.suspect.Set(map[bool]float64{true: 1}[sum.Suspect])
}

// outcome counts and logs what a command of the judge came to.
func (o *office) outcome(c control.Command, a applied) {
	log, result := o.rep.cfg.Log, "applied"
	if a.err != nil {
		result = "refused"
		if skipped, ok := o.quiet.ok(); ok && errors.Is(a.err, fleet.ErrInvalid) {
			log.Warn("the judge's command refused", "core", core(c), "err", a.err, "more", skipped)
		}
		log.Debug("command refused", "core", core(c), "err", a.err)
	}
	o.m.commands.WithLabelValues(core(c), result).Inc()
	if a.err != nil || !a.changed {
		return
	}
	switch {
	case c.Session != nil:
		log.Info("session", "op", c.Session.Op, "node", c.Session.Member.Node, "zone", c.Session.Member.Zone, "incarnation", c.Session.Member.Incarnation, "revision", a.rev)
	case c.Zones != nil:
		for _, it := range c.Zones.Items {
			log.Info("directive", "zone", it.Key, "event", it.Event, "phase", it.Entry.Phase, "share", it.Entry.Share, "step", it.Entry.Step, "gone", it.Gone, "revision", a.rev)
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
func (o *office) proposeFleet(c control.Command) (applied, error) {
	fut := o.rep.raft.Apply(fleetCommand(c), 5*time.Second)
	if err := fut.Error(); err != nil {
		return applied{}, err
	}
	a := fut.Response().(applied)
	o.outcome(c, a)
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
