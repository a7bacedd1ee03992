package sim

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/tenants"
)

// rollout is one change of a tenant on its way.
type rollout struct {
	name string
	put  time.Duration
	done time.Duration
	// 0: not proposed yet
	uid       uint64
	gen       uint64
	digest    string // a number that was rolled back is given again
	committed bool
	refuse    bool
	heard     map[int]bool
}

// operate does what an operator wants, at the generation that there is; where the leader is away or a rollout is on it
// attempts again a second later.
func (s *Sim) operate(c Change, attempts int) {
	if attempts > 20 {
		return
	}
	again := func() { s.after(time.Second, func() { s.operate(c, attempts+1) }) }
	if s.control.term == 0 {
		again()
		return
	}
	cmd := tenants.Command{Operation: tenants.Put, Name: c.Tenant}
	if t, err := s.control.tenants.Tenant(c.Tenant); err == nil && t.Committed != nil {
		cmd.Generation = t.Committed.Number
	}
	if c.Rate > 0 {
		cmd.Spec = &fleet.Spec{Name: c.Tenant, Service: c.Service, Quota: fleet.Quota{Rate: c.Rate, Burst: c.Rate / 10}}
	} else if cmd.Operation = tenants.Delete; cmd.Generation == 0 {
		return
	}
	put := s.now
	s.control.log(s.control.term, func() {
		if err := s.control.applyTenants(cmd); errors.Is(err, fleet.ErrConflict) {
			again()
		} else if e := s.control.tenants.Tenants[c.Tenant]; err == nil && c.Rate > 0 && e != nil && e.Staged != nil {
			s.rollouts = append(s.rollouts, &rollout{name: c.Tenant, put: put, uid: e.UID, gen: e.Staged.Number, digest: e.Staged.Digest, refuse: c.Rejected, heard: map[int]bool{}})
		}
	})
}

func generation(name string, uid uint64, g *fleet.Generation) string {
	return fmt.Sprint(name, " ", uid, " ", g.Number, " ", g.Digest)
}

// applyTenants changes the replicated tenants, and notes what is committed: T5, all present runs have staged it.
func (c *control) applyTenants(cmd tenants.Command) error {
	s := c.sim
	var staged *fleet.Generation
	if e := c.tenants.Tenants[cmd.Name]; e != nil {
		staged = e.Staged
	}
	changed, err := c.tenants.Apply(cmd, c.sessions.ScopeEpoch, func() uint64 { c.revision++; return c.revision })
	if err != nil {
		return err
	}
	if e := c.tenants.Tenants[cmd.Name]; cmd.Operation == tenants.Commit && e != nil {
		s.committed[generation(cmd.Name, e.UID, staged)] = true
		for _, r := range s.rollouts {
			if r.name == cmd.Name && r.uid == e.UID && r.digest == staged.Digest && !r.committed {
				r.committed = true
				if r.refuse && c.counts(s.nodes[0], e.Service()) { // one that is not counts for no rollout
					s.recordBreach("T5", "%s committed at %d, which %s refuses", r.name, r.gen, s.nodes[0].name)
				}
			}
		}
		for _, n := range s.nodes {
			if c.sessions.Present(n.member()) && c.counts(n, e.Service()) && !n.down && !n.knows(cmd.Name, e.UID, staged.Digest) {
				s.recordBreach("T5", "%s committed at %d, and %s has not staged it", cmd.Name, staged.Number, n.name)
			}
		}
	}
	if len(changed) > 0 {
		c.publish()
	}
	return nil
}

// counts reports whether a run of a node is present that serves a service.
func (c *control) counts(n *node, service string) bool {
	_, present := c.sessions.Members[n.name]
	return present && fleet.Serves(n.services(), service)
}

// services are those of the node's scope; none: every service.
func (n *node) services() []string {
	if scopes := n.sim.plan.Scopes; len(scopes) > 0 {
		return scopes[n.index%len(scopes)]
	}
	return nil
}

// knows reports whether the newest that a node holds of a tenant has the generation staged or committed.
func (n *node) knows(name string, uid uint64, digest string) bool {
	t := n.intent.tenants[name]
	return t.UID == uid && (t.Staged != nil && t.Staged.Digest == digest || t.Committed != nil && t.Committed.Digest == digest)
}

// rejects reports whether this node can't stage a generation: the first node, where the change says so.
func (n *node) refuses(name string, uid uint64, digest string) bool {
	return n.index == 0 && slices.ContainsFunc(n.sim.rollouts, func(r *rollout) bool {
		return r.refuse && r.name == name && r.uid == uid && r.digest == digest && !r.committed
	})
}

// acknowledge puts what the node holds of its tenants into a report.
func (n *node) acknowledge(r *fleet.Report) {
	for _, name := range slices.Sorted(maps.Keys(n.intent.tenants)) {
		t := n.intent.tenants[name]
		a := fleet.TenantAck{Name: name, UID: t.UID, Offered: float64(1 + n.index%5)}
		if t.Committed != nil {
			a.Committed, a.Digest = t.Committed.Number, t.Committed.Digest
		}
		if g := t.Staged; g != nil && n.refuses(name, t.UID, g.Digest) {
			a.RejectReason = "routes[0]: matches no server"
		} else if g != nil {
			a.Staged, a.Digest = g.Number, g.Digest
		}
		r.Tenants = append(r.Tenants, a)
	}
}

// heard notes how far a committed generation has come.
func (s *Sim) heard(n *node) {
	for _, r := range s.rollouts {
		t := n.intent.tenants[r.name]
		if r.done > 0 || !r.committed || t.UID != r.uid || t.Committed == nil || t.Committed.Number < r.gen {
			continue
		}
		r.heard[n.index] = true
		all := true
		for _, o := range s.nodes {
			all = all && (r.heard[o.index] || !s.control.counts(o, t.Service()))
		}
		if all {
			r.done = s.now
		}
	}
}

// by is the generation by which a node serves a tenant's requests now, nil for none.
func (n *node) by(name string) *fleet.Generation {
	t := n.intent.tenants[name]
	switch {
	case t.Removing:
		return nil
	case n.sim.hooks.staged && t.Staged != nil:
		return t.Staged
	}
	return t.Committed
}

// serves checks T1: a node serves by nothing that was not committed.
func (s *Sim) serves(n *node) {
	for _, name := range slices.Sorted(maps.Keys(n.intent.tenants)) {
		t := n.intent.tenants[name]
		if g := n.by(name); g != nil && !s.committed[generation(name, t.UID, g)] {
			s.recordBreach("T1", "%s serves %s by generation %d, which is not committed", n.name, name, g.Number)
		}
	}
}

// quotas checks T2, that present nodes serve by two adjacent generations at most, and T3, that what all running
// processes may admit is within the largest quota that any of them goes by.
func (s *Sim) quotas() {
	for _, name := range slices.Sorted(maps.Keys(s.control.tenants.Tenants)) {
		e := s.control.tenants.Tenants[name]
		lo := uint64(math.MaxUint64)
		hi := uint64(0)
		sum := 0.0
		quota := 0.0
		if e.Committed != nil {
			quota = e.Committed.Spec.Quota.Rate
		}
		for _, n := range s.nodes {
			g := n.by(name)
			if n.down || g == nil {
				continue
			}
			quota = math.Max(quota, g.Spec.Quota.Rate)
			sum += fleet.GuaranteedPart * g.Spec.Quota.Rate / float64(s.plan.Nodes)
			now := n.clock.read(s.now)
			if sh := n.intent.leases[n.name]; now < n.leasedUntil && sh.Incarnation == n.incarnation && n.intent.tenants[name].UID == e.UID {
				sum += sh.Rates[name]
			}
			if now < n.leasedUntil && s.control.sessions.Present(n.member()) && n.intent.tenants[name].UID == e.UID {
				lo, hi = min(lo, g.Number), max(hi, g.Number)
			}
		}
		if hi > lo+1 {
			s.recordBreach("T2", "present nodes serve %s by generations %d to %d", name, lo, hi)
		}
		if sum > quota*(1+1e-9)+1e-9 {
			s.recordBreach("T3", "nodes may admit %g of %s, whose quota is %g", sum, name, quota)
		}
	}
}
