package sim

import (
	"maps"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/session"
	"meadowsill/internal/fleet/tenants"
	"meadowsill/internal/fleet/zones"
)

// intent is one revision of what is intended; it is never changed.
type intent struct {
	revision   uint64
	directives map[string]zones.Entry
	tenants    map[string]fleet.Tenant
	leases     map[string]fleet.QuotaLease // by node
}

// within is what a node of these services holds of it.
func (it *intent) within(services []string) *intent {
	if len(services) == 0 {
		return it
	}
	scoped := *it
	scoped.tenants = maps.Clone(it.tenants)
	maps.DeleteFunc(scoped.tenants, func(_ string, t fleet.Tenant) bool { return !fleet.Serves(services, t.Service()) })
	return &scoped
}

// control is the replicated state and the leader of the moment.
type control struct {
	sim      *Sim
	state    zones.State
	tenants  tenants.State
	sessions session.State
	revision uint64
	intent   *intent

	term             int // of the leader; 0 while there is none
	terms            int
	clock            clock
	zoneController   *zones.Controller
	tenantController *tenants.Controller
	leadSince        time.Duration            // by its clock
	leases           map[string]time.Duration // until, by its clock
}

// lead elects a new leader.
func (c *control) lead() {
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
		c.log(term, func() { c.applyTenants(cmd) })
	}
	commands := c.zoneController.Step(now, &c.state, c.sessions.List())
	for _, cmd := range commands {
		if s.plan.Alone {
			break
		}
		if s.hooks.command != nil {
			s.hooks.command(&cmd)
		}
		c.log(term, func() { c.apply(cmd) })
	}
	s.after(c.clock.lasts(100*time.Millisecond), func() { c.tick(term) })
}

// log applies a command a little later. One that is in raft's log when its leader goes may be applied all the same.
func (c *control) log(term int, apply func()) {
	c.sim.after(2*time.Millisecond+time.Duration(c.sim.random.Int64N(int64(15*time.Millisecond))), func() {
		if c.term == term || c.sim.random.IntN(2) == 0 {
			apply()
		}
	})
}

// present is who is present, as the controller of the tenants is to count them.
func (c *control) present() tenants.Present {
	p := tenants.Present{Epoch: c.sessions.ScopeEpoch, Members: c.sessions.List(), Services: c.sessions.ServicesByNode()}
	if c.sim.hooks.forgets {
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
	c.sim.applied(before, cmd, changed)
	c.publish()
}

// publish sends the newest intent to every node's agent.
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
		c.sim.link(i, func() { c.sim.nodes[i].hear(it) })
	}
}

// report takes a node's report and answers it, if a leader hears it.
func (c *control) report(i int, r fleet.Report, answer func()) {
	if c.term == 0 {
		return
	}
	if r.Incarnation < c.sessions.NewestRuns[r.Node].Incarnation {
		return // 409 older incarnation
	}
	now := c.clock.read(c.sim.now)
	if !c.sessions.Present(r.Member) {
		share, _ := c.tenants.Item(fleet.KeyLease + "/" + r.Node) // or that it is removed
		if !c.sim.hooks.rejoin && (!tenants.CaughtUp(&c.tenants, r) || r.Revision < max(share.Revision, c.tenants.Compacted())) {
			return // it is answered as out, and says that it is not ready
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
	c.sim.link(i, answer)
}
