package policy

import (
	"maps"
	"math"
	"slices"
	"time"
)

// GuaranteedPart is the fraction of every quota that is permanently divided evenly among all slots; the rest
// is leased. The control plane divides the quotas by the same constant.
const GuaranteedPart = 0.2

// maxLeaseTime is the longest validity of a quota lease.
const maxLeaseTime = time.Hour

// applyQuotaLease replaces the leased quotas. A lease of an older division changes nothing.
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

// quotaSlots returns the number of nodes among which the guaranteed parts and the bursts of quotas are
// divided.
func (m *Module) quotaSlots() float64 {
	if n := m.fleet.lease.Slots; n > 0 {
		return float64(n)
	}
	return float64(m.settings.Nodes)
}

// tenantRates returns a tenant's quota at this node in requests/s: the guaranteed part, which the tenant
// always has, and the leased part. A lease that was divided for an earlier tenant of the same name counts as
// none. The control plane ensures that the sum of all other leases stays within the quota.
func (m *Module) tenantRates(t *fleetTenant) (guaranteed, leased float64) {
	if t.committed == nil || t.quotaWithdrawn {
		return 0, 0
	}
	rate := t.committed.Rate
	leased = m.fleet.lease.Rates[t.name]
	if t.leaseVoid || !(leased >= 0) { // also where leased is NaN
		leased = 0
	}
	return GuaranteedPart * rate / m.quotaSlots(), math.Min(leased, (1-GuaranteedPart)*rate)
}

// refillTenant refills a tenant's token buckets up to the present time. The leased part refills only for the
// time that the lease was valid.
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

// admitTenant reports whether a request is admitted under its tenant's committed generation, which applies to
// the request until its end. A request is rejected without an attempt if it exceeds the quota, which all
// nodes share, if its class is outside the namespace, or if no generation is committed. A request that names
// no tenant has no quota.
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

// releaseTenant removes a request from its tenant's count of open requests.
func (r *request) releaseTenant() {
	if r.tenant != nil {
		r.tenant.open--
		r.tenant = nil
	}
}

func (r *TenantRules) allowsClass(name string) bool {
	return len(r.Classes) == 0 || slices.Contains(r.Classes, name)
}

// takeQuota takes a token for a request from its tenant's quota, and from the quota of its class if the class
// has one. It reports whether there was a token.
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
