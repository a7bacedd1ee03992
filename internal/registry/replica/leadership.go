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

// stepInterval is the interval between two steps of the controller.
const stepInterval = 100 * time.Millisecond

// leadership is a replica's part in the fleet (discovery serve --fleet). It serves the fleet's HTTP paths, and it runs the
// fleet's controller while the replica is the leader.
type leadership struct {
	replica      *Replica
	settings     control.Settings
	metrics      *fleetMetrics
	clockStart   time.Time  // start of the clock that now reads
	rejectionLog logLimiter // limits the log lines about rejected bodies, rejected commands and missing slots

	mu         sync.Mutex          // guards the fields down to driftCountedAt; locked before the fsm's mu
	controller *control.Controller // nil while this replica is not the leader
	term       uint64              // raft term of the controller
	bases      reportdelta.Bases   // base reports for deltas; discarded with the controller
	// The sequence number of the last logged entry of drift's repair log, and the time when the nodes were last counted by verdict.
	loggedRepairs  uint64
	driftCountedAt fleet.Time

	verifyLeader batchedCheck
}

func newLeadership(rep *Replica, set control.Settings) *leadership {
	l := &leadership{replica: rep, settings: set, metrics: newFleetMetrics(), clockStart: time.Now()}
	l.verifyLeader.check = func() error { return rep.raft.VerifyLeader().Error() }
	return l
}

// routes registers the handlers of the fleet's paths on mux.
func (l *leadership) routes(mux *http.ServeMux) {
	mux.HandleFunc("GET /fleet/v1/intent", l.intent)
	mux.HandleFunc("POST /fleet/v1/report", l.report)
	mux.HandleFunc("POST /fleet/v1/report/difference", l.reportDelta)
	mux.HandleFunc("GET /fleet/v1/zones", l.zones)
	mux.HandleFunc("GET /fleet/v1/tenants", l.tenants)
	mux.HandleFunc("GET /fleet/v1/tenants/{name}", l.tenant)
	mux.HandleFunc("PUT /fleet/v1/tenants/{name}", l.putTenant)
	mux.HandleFunc("DELETE /fleet/v1/tenants/{name}", l.deleteTenant)
	mux.HandleFunc("GET /fleet/v1/tenants/{name}/status", l.tenantStatus)
	mux.HandleFunc("GET /fleet/v1/drift", l.drift)
	mux.Handle("GET /metrics", l.metrics.handler)
}

// now returns the time on the leader's monotonic clock.
func (l *leadership) now() fleet.Time { return time.Since(l.clockStart) }

// run steps the controller every stepInterval while this replica is the leader, until the replica is closed.
func (l *leadership) run() {
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	for {
		select {
		case <-l.replica.done:
			return
		case <-t.C:
		}
		if l.lead() {
			l.step()
		}
	}
}

// lead reports whether this replica leads with a controller of the current term. A newly elected leader starts a new controller
// once it has applied all that was committed before.
func (l *leadership) lead() bool {
	r := l.replica.raft
	term := r.CurrentTerm()
	if r.State() != raft.Leader {
		l.resign("not the leader")
		return false
	}
	l.mu.Lock()
	alreadyLeading := l.controller != nil && l.term == term
	l.mu.Unlock()
	if alreadyLeading {
		return true
	}
	if err := r.Barrier(5 * time.Second).Error(); err != nil || r.CurrentTerm() != term {
		l.resign("lost the leadership before the controller started")
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replica.fsm.mu.Lock()
	l.controller = control.NewController(l.settings, l.now(), l.replica.fsm.fleet)
	l.term = term
	l.loggedRepairs = 0
	l.replica.fsm.mu.Unlock()
	l.bases = reportdelta.Bases{}
	l.metrics.leading.Set(1)
	l.replica.cfg.Log.Info("leadership begins", "term", term)
	return true
}

// resign ends the leadership and discards the controller and its state.
func (l *leadership) resign(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.controller != nil {
		l.controller, l.bases = nil, reportdelta.Bases{}
		l.metrics.leading.Set(0)
		l.replica.cfg.Log.Info("leadership ends", "term", l.term, "reason", reason)
	}
}

// step runs the controller once, commits its commands and records their outcomes.
func (l *leadership) step() {
	start := time.Now()
	l.mu.Lock()
	controller := l.controller
	if controller == nil {
		l.mu.Unlock()
		return
	}
	l.replica.fsm.mu.Lock()
	now := l.now()
	cmds := controller.Step(now, l.replica.fsm.fleet, l.replica.fsm.servers())
	verdictCounts := make([][]drift.VerdictCounts, len(cmds))
	for i, c := range cmds {
		if c.Drift != nil {
			c.Drift.AtMS = time.Now().UnixMilli()
			verdictCounts[i] = c.Drift.VerdictCounts(&l.replica.fsm.fleet.Drift)
		}
	}
	l.recordDrift(controller, now)
	l.bases.Retain(l.replica.fsm.fleet.Session.Present)
	l.metrics.bases.Set(float64(l.bases.Len()))
	l.metrics.sessions.Set(float64(len(l.replica.fsm.fleet.Session.Members)))
	l.metrics.revision.Set(float64(l.replica.fsm.fleet.Revision))
	l.replica.fsm.mu.Unlock()
	l.mu.Unlock()
	l.metrics.step.Observe(time.Since(start).Seconds())
	futures := make([]raft.ApplyFuture, len(cmds))
	for i, c := range cmds {
		futures[i] = l.replica.raft.Apply(fleetCommand(c), 5*time.Second)
	}
	lost := false
	for i, c := range cmds {
		if err := futures[i].Error(); err != nil {
			// The command's outcome is unknown: it may still be committed. The controller holds back the sessions that
			// the command may end, so it is discarded; the next controller starts after all committed commands are
			// applied.
			lost = true
			l.metrics.commands.WithLabelValues(coreName(c), "lost").Inc()
			continue
		}
		a := futures[i].Response().(applyResult)
		l.recordOutcome(c, a)
		if a.err == nil && a.changed {
			l.metrics.countVerdicts(verdictCounts[i])
		}
		l.mu.Lock()
		controller.Resolved(c)
		l.mu.Unlock()
	}
	if lost {
		l.resign("the outcome of a command is unknown")
	}
}

// recordDrift logs the repairs that have begun since the last call, and once a second counts the nodes by drift verdict. The
// caller holds both locks.
func (l *leadership) recordDrift(controller *control.Controller, now fleet.Time) {
	for _, e := range controller.Repairs(l.loggedRepairs) {
		l.loggedRepairs = e.Sequence
		l.metrics.repairs.WithLabelValues(e.Action).Inc()
		l.replica.cfg.Log.Warn("drift", "action", e.Action, "node", e.Node, "reason", e.Reason, "keys", e.Keys)
	}
	if now-l.driftCountedAt < time.Second {
		return
	}
	l.driftCountedAt = now
	sum := controller.DriftSummary(now, l.replica.fsm.fleet)
	l.metrics.drift.Reset()
	for state, n := range sum.States {
		l.metrics.drift.WithLabelValues(state).Set(float64(n))
	}
	l.metrics.selfSuspecting.Set(map[bool]float64{true: 1}[sum.SelfSuspecting])
}

// recordOutcome counts and logs the outcome of a fleet command.
func (l *leadership) recordOutcome(c control.Command, a applyResult) {
	log, result := l.replica.cfg.Log, "applied"
	if a.err != nil {
		result = "refused"
		if skipped, ok := l.rejectionLog.allow(); ok && errors.Is(a.err, fleet.ErrInvalid) {
			log.Warn("controller command rejected", "core", coreName(c), "err", a.err, "more", skipped)
		}
		log.Debug("command rejected", "core", coreName(c), "err", a.err)
	}
	l.metrics.commands.WithLabelValues(coreName(c), result).Inc()
	if a.err != nil || !a.changed {
		return
	}
	switch {
	case c.Session != nil:
		log.Info("session", "op", c.Session.Operation, "node", c.Session.Member.Node, "zone", c.Session.Member.Zone, "incarnation", c.Session.Member.Incarnation, "revision", a.revision)
	case c.Zones != nil:
		for _, it := range c.Zones.Items {
			log.Info("directive", "zone", it.Key, "event", it.Event, "phase", it.Entry.Phase, "share", it.Entry.Share, "step", it.Entry.Step, "removed", it.Removed, "revision", a.revision)
		}
	case c.Tenants != nil && c.Tenants.Name != "":
		log.Info("tenant", "op", c.Tenants.Operation, "tenant", c.Tenants.Name, "generation", c.Tenants.Generation, "node", c.Tenants.Node, "reason", c.Tenants.Reason, "revision", a.revision)
	}
}

// coreName returns the name of the core that a command is for.
func coreName(c control.Command) string {
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

// fleetCommand encodes a command of the fleet as an entry of raft's log.
func fleetCommand(c control.Command) []byte {
	inner, _ := json.Marshal(c)
	raw, _ := json.Marshal(registry.Command{Op: registry.FleetCommand, Fleet: inner})
	return raw
}

// proposeFleet proposes a command to raft and waits until it is committed and applied. The returned error is raft's; the
// error of the fleet's state is in the applyResult.
func (l *leadership) proposeFleet(c control.Command) (applyResult, error) {
	fut := l.replica.raft.Apply(fleetCommand(c), 5*time.Second)
	if err := fut.Error(); err != nil {
		return applyResult{}, err
	}
	a := fut.Response().(applyResult)
	l.recordOutcome(c, a)
	return a, nil
}

// batchedCheck shares one check among many concurrent callers. The check begins after all of their calls.
type batchedCheck struct {
	check   func() error
	mu      sync.Mutex // guards waiting
	waiting []chan error
}

// batchDelay is how long a batch collects callers before its check begins.
const batchDelay = 50 * time.Millisecond

// wait returns the outcome of a check that began after the call to wait.
func (b *batchedCheck) wait() error {
	c := make(chan error, 1)
	b.mu.Lock()
	b.waiting = append(b.waiting, c)
	if len(b.waiting) == 1 {
		time.AfterFunc(batchDelay, b.flush)
	}
	b.mu.Unlock()
	return <-c
}

func (b *batchedCheck) flush() {
	b.mu.Lock()
	all := b.waiting
	b.waiting = nil
	b.mu.Unlock()
	err := b.check()
	for _, c := range all {
		c <- err
	}
}
