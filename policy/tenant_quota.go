package policy

import (
	"maps"
	"math"
	"slices"
	"time"
)

// GuaranteedPart is the part of every quota that is divided evenly among all slots for good; the rest is
// leased. It is the control plane's, which divides by the same.
const GuaranteedPart = 0.2

// maxLeaseTime is the longest time that a lease holds.
const maxLeaseTime = time.Hour

// applyQuotaLease takes the leased quotas; those of an older division change nothing.
func (m *Module) applyQuotaLease(e QuotaLease) {
	f := m.fleet
	if e.Epoch < f.lease.Epoch || e.Slots < 0 {
		return
	}
	for _, t := range f.tenantOrder {
		m.refillTenant(t)
		t.leaseVoid = t.leaseVoid && e.Epoch == f.lease.Epoch
	}
	e.Rates = maps.Clone(e.Rates)
	f.lease = e
	f.leaseUntil = m.now + min(max(0, e.ValidFor), maxLeaseTime)
}

// quotaSlots is what guaranteed parts and bursts of quotas are divided by.
func (m *Module) quotaSlots() float64 {
	if n := m.fleet.lease.Slots; n > 0 {
		return float64(n)
	}
	return float64(m.settings.Nodes)
}

// tenantRates returns a tenant's quota here, requests/s: the guaranteed part, which it always has, and what
// is leased. A lease that was of another tenant of its name is none: the control plane sees to it that others
// sum up.
func (m *Module) tenantRates(t *fleetTenant) (guaranteed, leased float64) {
	if t.committed == nil || t.quotaWithdrawn {
		return 0, 0
	}
	rate := t.committed.Rate
	leased = m.fleet.lease.Rates[t.name]
	if t.leaseVoid || !(leased >= 0) { // not a number either
		leased = 0
	}
	return GuaranteedPart * rate / m.quotaSlots(), math.Min(leased, (1-GuaranteedPart)*rate)
}

// refillTenant lets what a tenant's quota allows grow up to now, the leased part for as long as the lease
// held.
func (m *Module) refillTenant(t *fleetTenant) {
	g, since := t.committed, t.refilledAt
	t.refilledAt = m.now
	if g == nil || g.Rate == 0 {
		return
	}
	guaranteed, leased := m.tenantRates(t)
	leasedTime := max(0, min(m.now, m.fleet.leaseUntil)-since)
	gain := guaranteed*(m.now-since).Seconds() + leased*leasedTime.Seconds()
	burst := math.Max(1, g.Burst/m.quotaSlots())
	t.tokens = math.Min(burst, t.tokens+gain)
	for class, rate := range g.ClassRates {
		tokens, ok := t.classTokens[class]
		if !ok {
			tokens = t.tokens
		}
		t.classTokens[class] = math.Min(math.Max(1, burst*rate/g.Rate), tokens+gain*rate/g.Rate)
	}
}

// admitTenant takes a request under its tenant's committed generation, by which it is served to its end. Over
// the quota, which all nodes share, or outside the namespace it is rejected without an attempt, as it is
// where no generation is committed. A request that names no tenant has no quota.
func (m *Module) admitTenant(r *request, name string) bool {
	if m.fleet == nil || name == "" {
		return true
	}
	t := m.fleet.tenants[name]
	if t == nil || t.removed {
		return false
	}
	t.arrived++
	if t.removing || t.committed == nil && !t.fromSettings {
		return false
	}
	if g := t.committed; g != nil {
		if !g.allowsClass(r.class.Name) || !m.chooseRoute(r, t) || !m.takeQuota(r, t) {
			return false
		}
		t.admitted++
	}
	r.tenant = t
	t.open++
	return true
}

// leaveTenant ends a request's place among its tenant's open ones.
func (r *request) leaveTenant() {
	if r.tenant != nil {
		r.tenant.open--
		r.tenant = nil
	}
}

func (g *TenantRules) allowsClass(name string) bool {
	return len(g.Classes) == 0 || slices.Contains(g.Classes, name)
}

// takeQuota takes a request's token from its tenant's quota, and from that of its class.
func (m *Module) takeQuota(r *request, t *fleetTenant) bool {
	m.refillTenant(t)
	class := r.class.Name
	_, limited := t.committed.ClassRates[class]
	if t.tokens < 1 || limited && t.classTokens[class] < 1 {
		return false
	}
	t.tokens--
	if limited {
		t.classTokens[class]--
	}
	return true
}
