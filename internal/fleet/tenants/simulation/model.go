// Package simulation is a small fleet in simulated time around the core of tenants: replicas, a leader that changes, and runs of
// nodes that hear late, are cut off, crash and are outlived, with the rules T1, T2, T3, T5 and T6 held at every step
// (docs/fleet.md). It does no I/O and reads no clock.
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

// model is a small fleet in one process: a replicated state, a leader that changes, and runs of nodes that hear late,
// are cut off, crash, come back from their disks, or are outlived by an older run. Every choice is pick's. fault plants
// one mistake in the parts around the core, or in what it is given.
type model struct {
	pick      func(n int) int
	fault     string
	now       fleet.Time
	s, twin   *tenants.State // the twin replica is given the same commands
	rev       uint64
	j         *tenants.Controller
	sessions  session.State
	renewed   map[string]fleet.Time // when the leader last renewed a session, by node
	runs      []*run
	queue     []event
	committed map[uint64]map[uint64]string // uid, generation: digest
	staging   map[string]fleet.Time        // tenant and revision: first seen staged under this leader
	leadSince fleet.Time
	inc       uint64
	nodes     []string
	answers   map[string]copyOf // by node, while the revision is theirs
	breach    string
}

type event struct {
	at fleet.Time
	do func()
}

// run is one process: its agent and its module.
type run struct {
	name         string
	services     []string // its scope
	inc, seq     uint64
	held, disk   copyOf
	lease        fleet.Time
	ready        bool
	dead, cut    bool
	zombie       bool // has a successor on its machine
	refuses      bool
	staged, deny map[string]bool // digests ever staged, ever refused
	load         float64
	out          fleet.Time
}

type copyOf struct {
	rev     uint64
	tenants map[string]fleet.Tenant
	share   fleet.QuotaLease
}

const (
	modelTTL   = 6 * time.Second
	modelTick  = 100 * time.Millisecond
	modelSlots = 5
)

var modelNames = []string{"amouage", "lulu"}

func newModel(pick func(int) int, fault string) *model {
	m := &model{pick: pick, fault: fault, s: &tenants.State{}, twin: &tenants.State{}, renewed: map[string]fleet.Time{},
		committed: map[uint64]map[uint64]string{}, staging: map[string]fleet.Time{}, answers: map[string]copyOf{},
		j: tenants.NewController(tenants.Config{Slots: modelSlots, TTL: modelTTL}), nodes: []string{"n1", "n2", "n3", "n4"}}
	for _, n := range m.nodes {
		m.start(n, copyOf{})
	}
	return m
}

// start begins a run, which may have another scope than the one before. What the disk has outside of it is dropped.
func (m *model) start(name string, disk copyOf) {
	m.inc++
	services := modelScopes[m.pick(len(modelScopes))]
	disk = disk.within(services)
	m.runs = append(m.runs, &run{name: name, services: services, inc: m.inc, held: disk, disk: disk, load: float64(m.pick(60)),
		staged: map[string]bool{}, deny: map[string]bool{}})
}

func (m *model) after(ticks int, do func()) {
	m.queue = append(m.queue, event{m.now + time.Duration(ticks)*modelTick, do})
}

func (m *model) fail(format string, args ...any) {
	if m.breach == "" {
		m.breach = fmt.Sprintf("at %v: ", m.now) + fmt.Sprintf(format, args...)
	}
}

// apply carries a command out on both replicas, as raft would.
func (m *model) apply(c tenants.Command) error {
	if e := m.s.Tenants[c.Name]; m.fault == "epoch" && e != nil && c.Op != tenants.Divide {
		c.Epoch, c.Scoped = m.sessions.ScopeEpoch(e.Service()), true
	} else if m.fault == "epoch" {
		c.Epoch = m.sessions.Epoch
	}
	if c.Op == tenants.Divide && m.fault == "held" {
		for n, l := range m.s.Runs {
			c.Division.Confirmed = append(c.Division.Confirmed, tenants.Confirmation{Run: tenants.Run{Node: n, Incarnation: l.Incarnation}, Revision: m.rev})
		}
	}
	if c.Op == tenants.Divide && m.fault == "over" {
		for _, g := range m.s.OrphanedLeases {
			c.Division.Expired = append(c.Division.Expired, g.Run)
		}
	}
	before := m.s.Phase(c.Name)
	var was *fleet.Generation
	if e := m.s.Tenants[c.Name]; e != nil {
		was = e.Staged
	}
	at := m.rev
	_, err := m.s.Apply(c, m.sessions.ScopeEpoch, func() uint64 { m.rev++; return m.rev })
	_, err2 := m.twin.Apply(c, m.sessions.ScopeEpoch, func() uint64 { at++; return at })
	if fmt.Sprint(err) != fmt.Sprint(err2) || at != m.rev {
		m.fail("replicas differ: %v, %v", err, err2)
	}
	if err != nil {
		return err
	}
	switch e := m.s.Tenants[c.Name]; c.Op {
	case tenants.Commit:
		if m.committed[e.UID] == nil {
			m.committed[e.UID] = map[uint64]string{}
		}
		m.committed[e.UID][was.Number] = was.Digest
		for _, r := range m.runs {
			if m.counts(r, e.Tenant) && !r.dead && !r.staged[was.Digest] {
				m.fail("T5: %s is committed at %d, and %s has not staged it", c.Name, was.Number, r.name)
			}
		}
	case tenants.Rollback:
		if before != tenants.PhaseStaging || c.Node == "" || c.Reason == "" {
			m.fail("T5: rolled back from %s by %q for %q", before, c.Node, c.Reason)
		}
		if services := m.sessions.Services(c.Node); !fleet.Serves(services, was.Spec.Service) && !strings.Contains(c.Reason, "may still hold a share") {
			m.fail("T5: %s, of %q, rolled back by %s, which serves %q: %s", c.Name, was.Spec.Service, c.Node, services, c.Reason)
		}
	}
	return nil
}

// tick lets a tenth of a second go.
func (m *model) tick() {
	m.now += modelTick
	queue := m.queue
	m.queue = nil
	for _, e := range queue {
		if e.at <= m.now {
			e.do()
		} else {
			m.queue = append(m.queue, e)
		}
	}
	for _, n := range m.nodes {
		if member, ok := m.sessions.Members[n]; ok && m.now-max(m.renewed[n], m.leadSince) >= modelTTL {
			m.sessions.Apply(session.Command{Op: session.Expire, Member: member})
		}
	}
	for _, r := range m.runs {
		r.step(m)
	}
	for _, c := range m.j.Step(m.now, m.s, m.present()) {
		m.after(m.pick(3), func() { m.apply(c) })
	}
	m.check()
}

func (r *run) step(m *model) {
	if r.zombie && (m.now >= r.lease && m.fault != "lease") {
		r.dead = true
	}
	if r.dead || r.cut {
		return
	}
	m.after(m.pick(6), func() { // asks a replica for intent
		c := m.intent(r.name).within(r.services)
		m.after(m.pick(6), func() { r.hear(m, c) })
	})
	if m.now >= r.out {
		r.out = m.now + 3*modelTick
		rep, sent := r.report(m), m.now
		m.after(m.pick(6), func() { m.reported(r, rep, sent) })
	}
}

// intent is what a replica answers a node with.
func (m *model) intent(node string) copyOf {
	if c, ok := m.answers[node]; ok && c.rev == m.rev {
		return c
	}
	c := copyOf{rev: m.rev, tenants: map[string]fleet.Tenant{}}
	for _, it := range m.s.ItemsFor(node) {
		switch {
		case it.Removed:
		case it.Key == "share/"+node:
			json.Unmarshal(it.Body, &c.share)
		default:
			var t fleet.Tenant
			json.Unmarshal(it.Body, &t)
			c.tenants[it.Key[len("tenant/"):]] = t
		}
	}
	m.answers[node] = c
	return c
}

func (r *run) hear(m *model, c copyOf) {
	if r.dead || r.cut || c.rev < r.held.rev {
		return
	}
	c.tenants = maps.Clone(c.tenants)
	for name, t := range c.tenants {
		old := r.held.tenants[name]
		if m.fault == "uid" && t.UID != old.UID && old.Committed != nil && t.Committed == nil {
			t.Committed = old.Committed
			c.tenants[name] = t
		}
		if t.Staged != nil && r.refuses && !r.staged[t.Staged.Digest] {
			r.deny[t.Staged.Digest] = true
		} else if t.Staged != nil && !r.deny[t.Staged.Digest] {
			r.staged[t.Staged.Digest] = true
		}
	}
	r.disk, r.held = c, c // the copy is on disk before it is passed on
}

func (r *run) report(m *model) fleet.Report {
	r.seq++
	rep := fleet.Report{Member: r.member(), Services: r.services, Sequence: r.seq, Revision: r.held.rev}
	for name, t := range r.held.tenants {
		a := fleet.TenantAck{Name: name, UID: t.UID, Offered: r.load}
		if t.Committed != nil {
			a.Committed, a.Digest = t.Committed.Number, t.Committed.Digest
		}
		if g := t.Staged; g != nil {
			switch {
			case r.staged[g.Digest] || m.fault == "liar":
				a.Staged, a.Digest = g.Number, g.Digest
			case r.deny[g.Digest]:
				a.RejectReason = "routes[0]: matches no server"
			}
		}
		rep.Tenants = append(rep.Tenants, a)
	}
	return rep
}

// reported is the leader's part in sessions, as docs/fleet.md has it: a run joins, or comes back, once it has caught up.
func (m *model) reported(r *run, rep fleet.Report, sent fleet.Time) {
	if r.cut {
		return
	}
	if rep.Incarnation < m.sessions.NewestRuns[r.name].Incarnation {
		m.after(m.pick(4), func() {
			if r.zombie {
				r.dead = true
			} else if r.inc == rep.Incarnation && !r.cut { // the process goes on as a new run
				m.inc++
				r.inc, r.seq, r.lease, r.ready = m.inc, 0, 0, false
			}
		})
		return
	}
	if !m.sessions.Present(rep.Member) {
		share, _ := m.s.Item("share/" + r.name)
		if (!tenants.CaughtUp(m.s, rep) || rep.Revision < share.Revision) && m.fault != "ready" {
			m.after(m.pick(4), func() { r.ready = r.ready && (r.cut || r.inc != rep.Incarnation) })
			return
		}
		m.sessions.Apply(session.Command{Op: session.Join, Member: rep.Member, Services: rep.Services})
	}
	m.renewed[r.name] = m.now
	m.j.Observe(m.now, fleet.NodeView{Member: rep.Member, ReceivedAt: m.now, Report: rep})
	m.after(m.pick(4), func() {
		if r.inc == rep.Incarnation && !r.cut {
			r.lease, r.ready = max(r.lease, sent+modelTTL*98/100), true
		}
	})
}

// check holds the invariants against what every process would do with a request now.
func (m *model) check() {
	for _, name := range modelNames {
		e := m.s.Tenants[name]
		lo, hi, uids := ^uint64(0), uint64(0), map[uint64]bool{}
		floors, leased := map[string]float64{}, 0.0
		for _, r := range m.runs {
			t, ok := r.held.tenants[name]
			if r.dead || !ok && e == nil {
				continue
			}
			g := t.Committed
			if m.fault == "staged" && t.Staged != nil && r.staged[t.Staged.Digest] {
				g = t.Staged
			}
			if e != nil && m.counts(r, e.Tenant) && r.ready && !e.Removing {
				if g != nil && t.UID != e.UID && e.Committed != nil && !t.Removing {
					uids[t.UID] = true
				} else if t.UID == e.UID && g != nil {
					lo, hi = min(lo, g.Number), max(hi, g.Number)
					uids[t.UID] = true
				} else if e.Committed != nil {
					lo = 0
				}
			}
			if g == nil || t.Removing {
				continue
			}
			if m.committed[t.UID][g.Number] != g.Digest || tenants.Digest(g.Spec) != g.Digest {
				m.fail("T1: %s serves %s by generation %d of %d, never committed", r.name, name, g.Number, t.UID)
			}
			if e == nil || t.UID != e.UID {
				continue
			}
			if r.held.share.Slots > 0 {
				floors[r.name] = max(floors[r.name], fleet.GuaranteedPart*g.Spec.Quota.Rate/float64(r.held.share.Slots))
			}
			if (m.now < r.lease || m.fault == "lease") && (r.held.share.Incarnation == r.inc || m.fault == "run") {
				leased += r.held.share.Rates[name]
			}
		}
		if hi > 0 && hi > lo+1 {
			m.fail("T2: generations %d to %d of %s are served at one time", lo, hi, name)
		}
		if len(uids) > 1 {
			m.fail("T6: %s is served as two tenants: %v", name, uids)
		}
		if e == nil || e.Committed == nil {
			continue
		}
		sum := leased
		for _, f := range floors {
			sum += f
		}
		if rate := e.Committed.Spec.Quota.Rate; leased > 0 && sum > rate*(1+1e-6) {
			m.fail("T3: shares of %s come to %g of %g", name, sum, rate)
		}
		key := fmt.Sprint(name, e.Revision)
		if e.Staged == nil {
			continue
		}
		if _, ok := m.staging[key]; !ok {
			m.staging[key] = m.now
		}
		if d := m.now - max(m.staging[key], m.leadSince); d > tenants.StageTimeout+modelTTL {
			m.fail("T5: %s is being staged for %v", name, d)
		}
	}
}
