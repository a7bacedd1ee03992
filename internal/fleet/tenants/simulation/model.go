// Package simulation runs a small fleet in simulated time around package tenants: replicas, a leader that changes, and runs of
// nodes that receive messages late, get disconnected, crash and are superseded. It checks the invariants T1, T2, T3, T5 and
// T6 at every step (docs/fleet.md). It does no I/O and reads no clock.
package simulation

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/session"
	"meadowsill/internal/fleet/tenants"
)

// model is a small fleet in one process: a replicated state, a leader that changes, and runs of nodes that receive messages
// late, get disconnected, crash, restart from their disks, or start while an older run goes on. pick makes every random
// choice. fault injects one fault into the simulated parts around package tenants, or into its input.
type model struct {
	pick  func(n int) int
	fault string
	now   fleet.Time
	// the second replica applies the same commands
	state        *tenants.State
	otherReplica *tenants.State
	revision     uint64
	controller   *tenants.Controller
	sessions     session.State
	renewedAt    map[string]fleet.Time // by node: when the leader last renewed its session
	runs         []*run
	queue        []event
	committed    map[uint64]map[uint64]string // digest by UID and generation
	firstStaged  map[string]fleet.Time        // by tenant and revision: when it was first seen staged
	leaderSince  fleet.Time
	incarnations uint64
	nodes        []string
	cachedIntent map[string]intentCopy // by node: cached intent, valid at its revision
	violation    string
}

type event struct {
	due    fleet.Time
	action func()
}

// run is one process of a node, together with its agent and its module.
type run struct {
	name         string
	services     []string // the scope of the run
	incarnation  uint64
	sequence     uint64
	applied      intentCopy
	disk         intentCopy
	lease        fleet.Time
	ready        bool
	ended        bool
	disconnected bool
	superseded   bool // a newer run of the node has started on its machine
	rejects      bool
	// digests that the run has ever staged, and ever rejected
	staged       map[string]bool
	rejected     map[string]bool
	load         float64
	nextReportAt fleet.Time
}

type intentCopy struct {
	revision uint64
	tenants  map[string]fleet.Tenant
	lease    fleet.QuotaLease
}

const (
	modelTTL   = 6 * time.Second
	modelTick  = 100 * time.Millisecond
	modelSlots = 5
)

var modelNames = []string{"amouage", "lulu"}

func newModel(pick func(int) int, fault string) *model {
	m := &model{
		pick:         pick,
		fault:        fault,
		state:        &tenants.State{},
		otherReplica: &tenants.State{},
		renewedAt:    map[string]fleet.Time{},
		committed:    map[uint64]map[uint64]string{},
		firstStaged:  map[string]fleet.Time{},
		cachedIntent: map[string]intentCopy{},
		controller:   tenants.NewController(tenants.Config{Slots: modelSlots, TTL: modelTTL}),
		nodes:        []string{"n1", "n2", "n3", "n4"},
	}
	for _, n := range m.nodes {
		m.startRun(n, intentCopy{})
	}
	return m
}

// startRun starts a run, whose scope may differ from that of the previous run. It drops the tenants on disk outside the scope.
func (m *model) startRun(name string, disk intentCopy) {
	m.incarnations++
	services := modelScopes[m.pick(len(modelScopes))]
	disk = disk.inScope(services)
	m.runs = append(m.runs, &run{
		name:        name,
		services:    services,
		incarnation: m.incarnations,
		applied:     disk,
		disk:        disk,
		load:        float64(m.pick(60)),
		staged:      map[string]bool{},
		rejected:    map[string]bool{},
	})
}

func (m *model) after(ticks int, action func()) {
	m.queue = append(m.queue, event{m.now + time.Duration(ticks)*modelTick, action})
}

func (m *model) fail(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf("at %v: ", m.now) + fmt.Sprintf(format, args...)
	}
}

// apply applies a command on both replicas, as Raft would.
func (m *model) apply(c tenants.Command) error {
	if e := m.state.Tenants[c.Name]; m.fault == "epoch" && e != nil && c.Operation != tenants.Divide {
		c.Epoch, c.Scoped = m.sessions.ScopeEpoch(e.Service()), true
	} else if m.fault == "epoch" {
		c.Epoch = m.sessions.Epoch
	}
	if c.Operation == tenants.Divide && m.fault == "held" {
		for n, l := range m.state.Runs {
			c.Division.Confirmed = append(c.Division.Confirmed, tenants.Confirmation{Run: tenants.Run{Node: n, Incarnation: l.Incarnation}, Revision: m.revision})
		}
	}
	if c.Operation == tenants.Divide && m.fault == "over" {
		for _, g := range m.state.OrphanedLeases {
			c.Division.Expired = append(c.Division.Expired, g.Run)
		}
	}
	phaseBefore := m.state.Phase(c.Name)
	var stagedBefore *fleet.Generation
	if e := m.state.Tenants[c.Name]; e != nil {
		stagedBefore = e.Staged
	}
	otherRevision := m.revision
	_, err := m.state.Apply(c, m.sessions.ScopeEpoch, func() uint64 { m.revision++; return m.revision })
	_, otherErr := m.otherReplica.Apply(c, m.sessions.ScopeEpoch, func() uint64 { otherRevision++; return otherRevision })
	if fmt.Sprint(err) != fmt.Sprint(otherErr) || otherRevision != m.revision {
		m.fail("replicas differ: %v, %v", err, otherErr)
	}
	if err != nil {
		return err
	}
	switch e := m.state.Tenants[c.Name]; c.Operation {
	case tenants.Commit:
		if m.committed[e.UID] == nil {
			m.committed[e.UID] = map[uint64]string{}
		}
		m.committed[e.UID][stagedBefore.Number] = stagedBefore.Digest
		for _, r := range m.runs {
			if m.presentInScope(r, e.Tenant) && !r.ended && !r.staged[stagedBefore.Digest] {
				m.fail("T5: %s is committed at %d, and %s has not staged it", c.Name, stagedBefore.Number, r.name)
			}
		}
	case tenants.Rollback:
		if phaseBefore != tenants.PhaseStaging || c.Node == "" || c.Reason == "" {
			m.fail("T5: rolled back from %s by %q for %q", phaseBefore, c.Node, c.Reason)
		}
		if services := m.sessions.Services(c.Node); !fleet.Serves(services, stagedBefore.Spec.Service) && !strings.Contains(c.Reason, "may still hold a share") {
			m.fail("T5: %s, of %q, rolled back by %s, which serves %q: %s", c.Name, stagedBefore.Spec.Service, c.Node, services, c.Reason)
		}
	}
	return nil
}

// tick advances the simulated time by a tenth of a second.
func (m *model) tick() {
	m.now += modelTick
	queue := m.queue
	m.queue = nil
	for _, e := range queue {
		if e.due <= m.now {
			e.action()
		} else {
			m.queue = append(m.queue, e)
		}
	}
	for _, n := range m.nodes {
		if member, ok := m.sessions.Members[n]; ok && m.now-max(m.renewedAt[n], m.leaderSince) >= modelTTL {
			m.sessions.Apply(session.Command{Operation: session.Expire, Member: member})
		}
	}
	for _, r := range m.runs {
		r.step(m)
	}
	for _, c := range m.controller.Step(m.now, m.state, m.present()) {
		m.after(m.pick(3), func() { m.apply(c) })
	}
	m.check()
}

func (r *run) step(m *model) {
	if r.superseded && (m.now >= r.lease && m.fault != "lease") {
		r.ended = true
	}
	if r.ended || r.disconnected {
		return
	}
	m.after(m.pick(6), func() { // the agent requests intent from a replica
		c := m.intent(r.name).inScope(r.services)
		m.after(m.pick(6), func() { r.receiveIntent(m, c) })
	})
	if m.now >= r.nextReportAt {
		r.nextReportAt = m.now + 3*modelTick
		rep, sent := r.report(m), m.now
		m.after(m.pick(6), func() { m.receiveReport(r, rep, sent) })
	}
}

// intent returns the answer of a replica to a node that requests intent.
func (m *model) intent(node string) intentCopy {
	if c, ok := m.cachedIntent[node]; ok && c.revision == m.revision {
		return c
	}
	c := intentCopy{revision: m.revision, tenants: map[string]fleet.Tenant{}}
	for _, it := range m.state.ItemsFor(node) {
		switch {
		case it.Removed:
		case it.Key == "share/"+node:
			json.Unmarshal(it.Body, &c.lease)
		default:
			var t fleet.Tenant
			json.Unmarshal(it.Body, &t)
			c.tenants[it.Key[len("tenant/"):]] = t
		}
	}
	m.cachedIntent[node] = c
	return c
}

func (r *run) receiveIntent(m *model, c intentCopy) {
	if r.ended || r.disconnected || c.revision < r.applied.revision {
		return
	}
	c.tenants = maps.Clone(c.tenants)
	for name, t := range c.tenants {
		old := r.applied.tenants[name]
		if m.fault == "uid" && t.UID != old.UID && old.Committed != nil && t.Committed == nil {
			t.Committed = old.Committed
			c.tenants[name] = t
		}
		if t.Staged != nil && r.rejects && !r.staged[t.Staged.Digest] {
			r.rejected[t.Staged.Digest] = true
		} else if t.Staged != nil && !r.rejected[t.Staged.Digest] {
			r.staged[t.Staged.Digest] = true
		}
	}
	r.disk, r.applied = c, c // the agent writes the copy to disk before it passes it on to the module
}

func (r *run) report(m *model) fleet.Report {
	r.sequence++
	rep := fleet.Report{Member: r.member(), Services: r.services, Sequence: r.sequence, Revision: r.applied.revision}
	for name, t := range r.applied.tenants {
		a := fleet.TenantAck{Name: name, UID: t.UID, Offered: r.load}
		if t.Committed != nil {
			a.Committed, a.Digest = t.Committed.Number, t.Committed.Digest
		}
		if g := t.Staged; g != nil {
			switch {
			case r.staged[g.Digest] || m.fault == "liar":
				a.Staged, a.Digest = g.Number, g.Digest
			case r.rejected[g.Digest]:
				a.RejectReason = "routes[0]: matches no server"
			}
		}
		rep.Tenants = append(rep.Tenants, a)
	}
	return rep
}

// receiveReport is the leader's handling of sessions (docs/fleet.md): a run joins, or rejoins, once it has caught up.
func (m *model) receiveReport(r *run, rep fleet.Report, sent fleet.Time) {
	if r.disconnected {
		return
	}
	if rep.Incarnation < m.sessions.NewestRuns[r.name].Incarnation {
		m.after(m.pick(4), func() {
			if r.superseded {
				r.ended = true
			} else if r.incarnation == rep.Incarnation && !r.disconnected { // the process continues as a new run
				m.incarnations++
				r.incarnation = m.incarnations
				r.sequence = 0
				r.lease = 0
				r.ready = false
			}
		})
		return
	}
	if !m.sessions.Present(rep.Member) {
		quotaLease, _ := m.state.Item("share/" + r.name)
		if (!tenants.CaughtUp(m.state, rep) || rep.Revision < quotaLease.Revision) && m.fault != "ready" {
			m.after(m.pick(4), func() { r.ready = r.ready && (r.disconnected || r.incarnation != rep.Incarnation) })
			return
		}
		m.sessions.Apply(session.Command{Operation: session.Join, Member: rep.Member, Services: rep.Services})
	}
	m.renewedAt[r.name] = m.now
	m.controller.Observe(m.now, fleet.NodeView{Member: rep.Member, ReceivedAt: m.now, Report: rep})
	m.after(m.pick(4), func() {
		if r.incarnation == rep.Incarnation && !r.disconnected {
			r.lease, r.ready = max(r.lease, sent+modelTTL*98/100), true
		}
	})
}
