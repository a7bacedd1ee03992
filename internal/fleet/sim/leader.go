package sim

import (
	"maps"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/session"
	"meadowsill/internal/fleet/tenants"
	"meadowsill/internal/fleet/zones"
)

// intent is one immutable revision of the control plane's intent.
type intent struct {
	revision   uint64
	directives map[string]zones.Entry
	tenants    map[string]fleet.Tenant
	leases     map[string]fleet.QuotaLease // by node
}

// within returns the part of the intent that a node with these services holds; without services it is the whole intent.
func (it *intent) within(services []string) *intent {
	if len(services) == 0 {
		return it
	}
	scoped := *it
	scoped.tenants = maps.Clone(it.tenants)
	maps.DeleteFunc(scoped.tenants, func(_ string, t fleet.Tenant) bool { return !fleet.Serves(services, t.Service()) })
	return &scoped
}

// control is the replicated state of the control plane and its current leader.
type control struct {
	sim      *Sim
	state    zones.State
	tenants  tenants.State
	sessions session.State
	revision uint64
	intent   *intent

	term             int // the current leader's term; 0 while there is no leader
	terms            int
	clock            clock
	zoneController   *zones.Controller
	tenantController *tenants.Controller
	leadSince        time.Duration            // start of the leader's term, by the leader's clock
	leases           map[string]time.Duration // by node: when its session's lease expires, by the leader's clock
}

// startTerm starts the term of a newly elected leader.
func (c *control) startTerm() {
	c.terms++
	c.term, c.clock = c.terms, newClock(c.sim.random)
	c.leadSince, c.leases = c.clock.read(c.sim.now), map[string]time.Duration{}
	c.zoneController = zones.NewController(c.sim.settings)
	c.zoneController.Lead(c.leadSince)
	c.tenantController = tenants.NewController(tenants.Config{Slots: c.sim.plan.Nodes, TTL: ttl})
	c.tenantController.Lead(c.leadSince)
	c.tick(c.term)
}

func (c *control) tick(term int) {
	if c.term != term {
		return
	}
	s, now := c.sim, c.clock.read(c.sim.now)
	for _, m := range c.sessions.List() {
		if now >= max(c.leases[m.Node], c.leadSince+ttl) {
			c.sessions.Apply(session.Command{Operation: session.Expire, Member: m})
		}
	}
	for _, cmd := range c.tenantController.Step(now, &c.tenants, c.present()) {
		c.propose(term, func() { c.applyTenants(cmd) })
	}
	commands := c.zoneController.Step(now, &c.state, c.sessions.List())
	for _, cmd := range commands {
		if s.plan.Alone {
			break
		}
		if s.hooks.command != nil {
			s.hooks.command(&cmd)
		}
		c.propose(term, func() { c.apply(cmd) })
	}
	s.after(c.clock.realDuration(100*time.Millisecond), func() { c.tick(term) })
}

// propose appends a command to raft's log and applies it after a short delay. A command that is in the log when its leader
// is lost is applied with a probability of one half.
func (c *control) propose(term int, apply func()) {
	c.sim.after(2*time.Millisecond+time.Duration(c.sim.random.Int64N(int64(15*time.Millisecond))), func() {
		if c.term == term || c.sim.random.IntN(2) == 0 {
			apply()
		}
	})
}

// present returns the members, their services and the scope epoch that the tenant controller takes into account.
func (c *control) present() tenants.Present {
	p := tenants.Present{Epoch: c.sessions.ScopeEpoch, Members: c.sessions.List(), Services: c.sessions.ServicesByNode()}
	if c.sim.hooks.ignoreScopes {
		p.Services = maps.Clone(p.Services)
		for node := range p.Services {
			p.Services[node] = []string{"none at all"}
		}
	}
	return p
}

func (c *control) apply(cmd zones.Command) {
	before := maps.Clone(c.state.Directives)
	changed, err := c.state.Apply(cmd, func() uint64 { c.revision++; return c.revision })
	if err != nil || len(changed) == 0 {
		return
	}
	c.sim.checkCommand(before, cmd, changed)
	c.publish()
}

// publish builds the newest intent from the replicated state and sends it to every node's agent.
func (c *control) publish() {
	it := &intent{c.revision, maps.Clone(c.state.Directives), map[string]fleet.Tenant{}, map[string]fleet.QuotaLease{}}
	for name, e := range c.tenants.Tenants {
		it.tenants[name] = e.Tenant
	}
	for name, l := range c.tenants.Runs {
		it.leases[name] = fleet.QuotaLease{Epoch: l.Division, Incarnation: l.Incarnation, Slots: c.tenants.Slots, Rates: maps.Clone(l.Rates)}
	}
	c.intent = it
	for i := range c.sim.nodes {
		c.sim.deliver(i, func() { c.sim.nodes[i].receive(it) })
	}
}

// report handles a node's report and answers it. Without a leader the report is dropped.
func (c *control) report(i int, r fleet.Report, answer func()) {
	if c.term == 0 {
		return
	}
	if r.Incarnation < c.sessions.NewestRuns[r.Node].Incarnation {
		return // a real leader answers 409 to an older incarnation
	}
	now := c.clock.read(c.sim.now)
	if !c.sessions.Present(r.Member) {
		lease, _ := c.tenants.Item(fleet.KeyLease + "/" + r.Node) // the node's quota lease, or its removal
		if !c.sim.hooks.joinEarly && (!tenants.CaughtUp(&c.tenants, r) || r.Revision < max(lease.Revision, c.tenants.Compacted())) {
			return // the node isn't a member until it has caught up; a real leader's answer tells it so
		}
		c.sessions.Apply(session.Command{Operation: session.Join, Member: r.Member, Services: r.Services})
		delete(c.leases, r.Node)
	}
	c.leases[r.Node] = max(c.leases[r.Node], now+ttl)
	c.zoneController.Observe(now, fleet.NodeView{Member: r.Member, ReceivedAt: now, Report: r})
	c.tenantController.Observe(now, fleet.NodeView{Member: r.Member, ReceivedAt: now, Report: r})
	if c.sim.hooks.observe != nil {
		c.sim.hooks.observe(c, now, r)
	}
	c.sim.deliver(i, answer)
}
