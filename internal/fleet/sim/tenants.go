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

// rollout tracks one change of a tenant; appliedAt is 0 until the change is applied on every present node that serves the
// tenant.
type rollout struct {
	name       string
	proposedAt time.Duration
	appliedAt  time.Duration
	// uid and gen identify the proposed generation, together with digest.
	uid       uint64
	gen       uint64
	digest    string // needed because the number of a generation that was rolled back is assigned again
	committed bool
	rejected  bool
	received  map[int]bool
}

// applyChange proposes an operator's change against the tenant's current generation. Without a leader, or during another
// rollout of the tenant, it tries again a second later, up to 20 times.
func (s *Sim) applyChange(c Change, attempts int) {
	if attempts > 20 {
		return
	}
	retry := func() { s.after(time.Second, func() { s.applyChange(c, attempts+1) }) }
	if s.control.term == 0 {
		retry()
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
	proposedAt := s.now
	s.control.propose(s.control.term, func() {
		if err := s.control.applyTenants(cmd); errors.Is(err, fleet.ErrConflict) {
			retry()
		} else if e := s.control.tenants.Tenants[c.Tenant]; err == nil && c.Rate > 0 && e != nil && e.Staged != nil {
			s.rollouts = append(s.rollouts, &rollout{name: c.Tenant, proposedAt: proposedAt, uid: e.UID, gen: e.Staged.Number,
				digest: e.Staged.Digest, rejected: c.Rejected, received: map[int]bool{}})
		}
	})
}

func generation(name string, uid uint64, g *fleet.Generation) string {
	return fmt.Sprint(name, " ", uid, " ", g.Number, " ", g.Digest)
}

// applyTenants applies a command to the replicated tenants and records a committed generation. It checks T5: all present
// processes that serve the tenant have staged the generation.
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
				if r.rejected && c.counts(s.nodes[0], e.Service()) { // an absent node, or one out of scope, has no say
					s.recordBreach("T5", "%s committed at %d, which %s refuses", r.name, r.gen, s.nodes[0].name)
				}
			}
		}
		for _, n := range s.nodes {
			if c.sessions.Present(n.member()) && c.counts(n, e.Service()) && !n.down && !n.holds(cmd.Name, e.UID, staged.Digest) {
				s.recordBreach("T5", "%s committed at %d, and %s has not staged it", cmd.Name, staged.Number, n.name)
			}
		}
	}
	if len(changed) > 0 {
		c.publish()
	}
	return nil
}

// counts reports whether a process of the node is present and serves the service.
func (c *control) counts(n *node, service string) bool {
	_, present := c.sessions.Members[n.name]
	return present && fleet.Serves(n.services(), service)
}

// services returns the services of the node's scope; an empty list stands for every service.
func (n *node) services() []string {
	if scopes := n.sim.plan.Scopes; len(scopes) > 0 {
		return scopes[n.index%len(scopes)]
	}
	return nil
}

// holds reports whether the node's intent has the generation of a tenant as staged or committed.
func (n *node) holds(name string, uid uint64, digest string) bool {
	t := n.intent.tenants[name]
	return t.UID == uid && (t.Staged != nil && t.Staged.Digest == digest || t.Committed != nil && t.Committed.Digest == digest)
}

// rejects reports whether this node can't stage a generation: the first node rejects a generation whose change says so.
func (n *node) rejects(name string, uid uint64, digest string) bool {
	return n.index == 0 && slices.ContainsFunc(n.sim.rollouts, func(r *rollout) bool {
		return r.rejected && r.name == name && r.uid == uid && r.digest == digest && !r.committed
	})
}

// acknowledge adds the node's staged, committed or rejected generation of each tenant to a report.
func (n *node) acknowledge(r *fleet.Report) {
	for _, name := range slices.Sorted(maps.Keys(n.intent.tenants)) {
		t := n.intent.tenants[name]
		a := fleet.TenantAck{Name: name, UID: t.UID, Offered: float64(1 + n.index%5)}
		if t.Committed != nil {
			a.Committed, a.Digest = t.Committed.Number, t.Committed.Digest
		}
		if g := t.Staged; g != nil && n.rejects(name, t.UID, g.Digest) {
			a.RejectReason = "routes[0]: matches no server"
		} else if g != nil {
			a.Staged, a.Digest = g.Number, g.Digest
		}
		r.Tenants = append(r.Tenants, a)
	}
}

// received records that a node holds the committed generations of its intent, and completes the rollouts that have reached
// every present node that serves the tenant.
func (s *Sim) received(n *node) {
	for _, r := range s.rollouts {
		t := n.intent.tenants[r.name]
		if r.appliedAt > 0 || !r.committed || t.UID != r.uid || t.Committed == nil || t.Committed.Number < r.gen {
			continue
		}
		r.received[n.index] = true
		all := true
		for _, o := range s.nodes {
			all = all && (r.received[o.index] || !s.control.counts(o, t.Service()))
		}
		if all {
			r.appliedAt = s.now
		}
	}
}

// servingGeneration returns the generation by which a node serves a tenant's requests now, or nil if it serves none.
func (n *node) servingGeneration(name string) *fleet.Generation {
	t := n.intent.tenants[name]
	switch {
	case t.Removing:
		return nil
	case n.sim.hooks.serveStaged && t.Staged != nil:
		return t.Staged
	}
	return t.Committed
}

// checkServing checks T1: a node serves tenants only by committed generations.
func (s *Sim) checkServing(n *node) {
	for _, name := range slices.Sorted(maps.Keys(n.intent.tenants)) {
		t := n.intent.tenants[name]
		if g := n.servingGeneration(name); g != nil && !s.committed[generation(name, t.UID, g)] {
			s.recordBreach("T1", "%s serves %s by generation %d, which is not committed", n.name, name, g.Number)
		}
	}
}

// checkQuotas checks T2 and T3. T2: present nodes serve a tenant by at most two adjacent generations. T3: the rates that all
// running processes may admit add up to no more than the largest quota that is committed or that any of them serves by.
func (s *Sim) checkQuotas() {
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
			g := n.servingGeneration(name)
			if n.down || g == nil {
				continue
			}
			quota = math.Max(quota, g.Spec.Quota.Rate)
			sum += fleet.GuaranteedPart * g.Spec.Quota.Rate / float64(s.plan.Nodes)
			now := n.clock.read(s.now)
			if lease := n.intent.leases[n.name]; now < n.leasedUntil && lease.Incarnation == n.incarnation && n.intent.tenants[name].UID == e.UID {
				sum += lease.Rates[name]
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
