package policy

import (
	"fmt"
	"maps"
	"path"
	"slices"
)

// fleetTenant is the state of a tenant: the control plane's intent for it, its token buckets and its
// requests.
type fleetTenant struct {
	name           string
	uid            uint64
	revision       uint64 // revision of the item
	intentRevision uint64 // revision of the intent that the item was read from
	committed      *TenantRules
	staged         *TenantRules
	fromSettings   bool // the settings name the tenant, and the control plane has not committed a generation
	removing       bool
	quotaWithdrawn bool
	removed        bool

	tokens      float64            // requests that the quota allows now
	classTokens map[string]float64 // requests that a class's quota allows now, for classes with a rate
	refilledAt  Time
	leaseVoid   bool           // the lease was divided for an earlier tenant of the same name
	routes      []*TenantRoute // routes that matched a server in use when the subset was last chosen

	open int // open requests
	// Requests in the current window.
	arrived  int
	admitted int
}

// applyTenantUpdate applies the control plane's intent for a tenant. An older item changes nothing, nor does
// an item whose committed generation is invalid. A tenant that reuses a name has another UID and inherits
// neither the tokens nor the lease of the earlier tenant.
func (m *Module) applyTenantUpdate(e TenantUpdate) {
	t := m.fleet.tenants[e.Name]
	switch {
	case e.Name == "", t != nil && t.revision > 0 && !t.isSupersededBy(e):
		return
	case e.Committed != nil && e.Committed.invalidReason() != "":
		return
	}
	if t == nil || t.uid != e.UID {
		t = m.replaceTenant(t, e)
	}
	m.refillTenant(t) // tokens up to now accrue at the old rate
	t.apply(e)
	if t.committed != nil {
		t.fromSettings = false
		delete(m.localQuotas, t.name) // the settings' quota no longer applies
	}
	m.addRouteServers(t)
}

// replaceTenant adds a new tenant, in place of the earlier tenant of the same name if there is one.
func (m *Module) replaceTenant(earlier *fleetTenant, e TenantUpdate) *fleetTenant {
	t := &fleetTenant{
		name:        e.Name,
		uid:         e.UID,
		tokens:      m.random.float64(),
		refilledAt:  m.now,
		classTokens: map[string]float64{},
	}
	if earlier != nil {
		t.leaseVoid = earlier.uid != 0
		t.fromSettings = earlier.fromSettings && earlier.committed == nil
	}
	m.fleet.putTenant(t)
	return t
}

// apply copies the content of an update into the tenant's state.
func (t *fleetTenant) apply(e TenantUpdate) {
	t.revision, t.intentRevision = e.Revision, max(e.IntentRevision, e.Revision)
	t.committed, t.staged = e.Committed, e.Staged
	t.removing, t.quotaWithdrawn = e.Removing, e.QuotaWithdrawn
	t.removed = e.Removed && !t.fromSettings
	if e.Removed {
		t.committed, t.staged = nil, nil
	}
	if e.Removed && t.fromSettings {
		t.uid = 0 // the tenant's first rollout was rolled back: the settings' rules stay in force
	}
}

// isSupersededBy reports whether an update is newer than the tenant's state. A tenant keeps its item's
// revision when it leaves the node's scope or returns to it. Such an update therefore counts as newer too,
// provided that its intent is not older.
func (t *fleetTenant) isSupersededBy(e TenantUpdate) bool {
	if e.IntentRevision == 0 {
		return e.Revision > t.revision
	}
	return e.IntentRevision >= t.intentRevision && (e.Revision > t.revision || e.Removed != t.removed)
}

// rejectReason returns why this node can't serve a generation, or "" if it can.
func (m *Module) rejectReason(g *TenantRules) string {
	for _, class := range g.Classes {
		if !m.settings.hasClass(class) {
			return fmt.Sprintf("namespace.classes: class %q is not known here", class)
		}
	}
	for _, class := range slices.Sorted(maps.Keys(g.ClassRates)) {
		if !m.settings.hasClass(class) {
			return fmt.Sprintf("quota.classes: class %q is not known here", class)
		}
	}
	listed := m.endpoints.listed
	for i := range g.Routes {
		if len(listed) > 0 && !slices.ContainsFunc(listed, g.Routes[i].matches) {
			return fmt.Sprintf("routes[%d]: no listed server matches", i)
		}
	}
	return g.invalidReason()
}

func (s *Settings) hasClass(name string) bool {
	return slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == name })
}

// invalidReason returns why a generation is invalid at every node, or "" if it is valid.
func (r *TenantRules) invalidReason() string {
	if !validRate(r.Rate) || !validRate(r.Burst) {
		return fmt.Sprintf("quota: rate %v, burst %v", r.Rate, r.Burst)
	}
	for _, class := range slices.Sorted(maps.Keys(r.ClassRates)) {
		if rate := r.ClassRates[class]; !(rate >= 0 && rate <= r.Rate) {
			return fmt.Sprintf("quota.classes: class %q with rate %v", class, rate)
		}
	}
	for i, route := range r.Routes {
		if _, err := path.Match(route.ID, ""); err != nil || !(route.Weight > 0 && route.Weight <= maxRate) {
			return fmt.Sprintf("routes[%d]: id %q, weight %v", i, route.ID, route.Weight)
		}
	}
	return ""
}

// validRate reports whether a rate is between 0 and maxRate, and not NaN.
func validRate(rate float64) bool { return rate >= 0 && rate <= maxRate }
