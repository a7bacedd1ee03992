package policy

import (
	"cmp"
	"maps"
	"slices"
)

// maxRate is the largest rate that a sound control plane sends, requests/s.
const maxRate = 1e7

// fleetState is what is known of the control plane's intent while Settings.Fleet is set.
type fleetState struct {
	zones       map[string]*zoneState
	zoneOrder   []*zoneState // by zone
	tenants     map[string]*fleetTenant
	tenantOrder []*fleetTenant // by name
	lease       QuotaLease
	leaseUntil  Time
	windowStart Time

	fullSubsetSize int // of the subset as it is without directives
	ringStart      int // where on the ring of ready servers it began
}

func newFleetState(now Time) *fleetState {
	return &fleetState{zones: map[string]*zoneState{}, tenants: map[string]*fleetTenant{}, windowStart: now}
}

// handleFleetEvent takes an event of the control plane. FleetSynced changes no decision: a tenant that is not
// delivered yet is rejected as an unknown one.
func (m *Module) handleFleetEvent(e Event) {
	if m.fleet == nil {
		return
	}
	switch e := e.(type) {
	case ZoneDirective:
		m.applyZoneDirective(e)
	case TenantUpdate:
		m.applyTenantUpdate(e)
	case QuotaLease:
		m.applyQuotaLease(e)
	}
}

// adoptTenants takes the settings' tenants: each is generation 1 of the settings until intent commits one of
// its own.
func (f *fleetState) adoptTenants(tenants []Tenant) {
	for _, t := range f.tenants {
		t.fromSettings = false
	}
	for _, settings := range tenants {
		if t := f.tenants[settings.Name]; t == nil {
			f.putTenant(&fleetTenant{name: settings.Name, fromSettings: true})
		} else {
			t.fromSettings = t.committed == nil && !t.removed
		}
	}
}

// putTenant puts a tenant in the place of the one of its name.
func (f *fleetState) putTenant(t *fleetTenant) {
	f.tenants[t.name] = t
	f.tenantOrder = slices.SortedFunc(maps.Values(f.tenants),
		func(a, b *fleetTenant) int { return cmp.Compare(a.name, b.name) })
}

// governs reports whether the control plane has an intent for a tenant, which ends the settings' one.
func (f *fleetState) governs(name string) bool {
	return f != nil && f.tenants[name] != nil && !f.tenants[name].fromSettings
}
