package policy

import (
	"fmt"
	"maps"
	"path"
	"slices"
)

// fleetTenant is a tenant as the control plane knows it.
type fleetTenant struct {
	name           string
	uid            uint64
	revision       uint64 // of the item
	intentRevision uint64 // of the intent that it was read from
	committed      *TenantRules
	staged         *TenantRules
	fromSettings   bool // the settings name it, and the control plane has committed nothing yet
	removing       bool
	quotaWithdrawn bool
	removed        bool

	tokens      float64            // requests that its quota allows now
	classTokens map[string]float64 // the same by class, where a class has a rate
	refilledAt  Time
	leaseVoid   bool           // its lease was divided for another tenant of its name
	routes      []*TenantRoute // those that match a server in use, at the last choice of a subset

	open int // requests
	// Requests of this window.
	arrived  int
	admitted int
}

// applyTenantUpdate takes what is intended for a tenant. An older item changes nothing, nor does what no
// sound control plane commits. A name used again, which has another UID, has nothing of the tenant before.
func (m *Module) applyTenantUpdate(e TenantUpdate) {
	t := m.fleet.tenants[e.Name]
	switch {
	case e.Name == "", t != nil && t.revision > 0 && !t.isOlderThan(e):
		return
	case e.Committed != nil && e.Committed.flaw() != "":
		return
	}
	if t == nil || t.uid != e.UID {
		t = m.replaceTenant(t, e)
	}
	m.refillTenant(t) // what came by so far was under the old rate
	t.apply(e)
	if t.committed != nil {
		t.fromSettings = false
		delete(m.localQuotas, t.name) // the settings' quota of it ends
	}
	m.addRouteServers(t)
}

// replaceTenant puts a new tenant in the place of the one of its name, if there is one.
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

// apply takes an update's content.
func (t *fleetTenant) apply(e TenantUpdate) {
	t.revision, t.intentRevision = e.Revision, max(e.IntentRevision, e.Revision)
	t.committed, t.staged = e.Committed, e.Staged
	t.removing, t.quotaWithdrawn = e.Removing, e.QuotaWithdrawn
	t.removed = e.Removed && !t.fromSettings
	if e.Removed {
		t.committed, t.staged = nil, nil
	}
	if e.Removed && t.fromSettings {
		t.uid = 0 // its first rollout was rolled back: the settings' rules go on
	}
}

// isOlderThan reports whether an update is newer than what is known. A tenant that leaves the node's scope or
// comes back to it does so under the revision that it had: of an intent that is no older, that counts as
// well.
func (t *fleetTenant) isOlderThan(e TenantUpdate) bool {
	if e.IntentRevision == 0 {
		return e.Revision > t.revision
	}
	return e.IntentRevision >= t.intentRevision && (e.Revision > t.revision || e.Removed != t.removed)
}

// rejectReason tells why a generation can't be served here, or nothing if it can.
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
	return g.flaw()
}

func (s *Settings) hasClass(name string) bool {
	return slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == name })
}

// flaw tells what is wrong with a generation wherever it is served, or nothing.
func (g *TenantRules) flaw() string {
	if !validRate(g.Rate) || !validRate(g.Burst) {
		return fmt.Sprintf("quota: rate %v, burst %v", g.Rate, g.Burst)
	}
	for _, class := range slices.Sorted(maps.Keys(g.ClassRates)) {
		if rate := g.ClassRates[class]; !(rate >= 0 && rate <= g.Rate) {
			return fmt.Sprintf("quota.classes: class %q with rate %v", class, rate)
		}
	}
	for i, r := range g.Routes {
		if _, err := path.Match(r.ID, ""); err != nil || !(r.Weight > 0 && r.Weight <= maxRate) {
			return fmt.Sprintf("routes[%d]: id %q, weight %v", i, r.ID, r.Weight)
		}
	}
	return ""
}

// validRate reports whether a rate is within bounds, and a number.
func validRate(rate float64) bool { return rate >= 0 && rate <= maxRate }
