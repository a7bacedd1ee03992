package policy

import (
	"cmp"
	"maps"
	"slices"
)

// maxRate is the largest rate that is accepted from the control plane, in requests/s. It also limits bursts
// and route weights.
const maxRate = 1e7

// fleetState is the control plane's intent as far as the module has received it. It exists while
// Settings.Fleet is set.
type fleetState struct {
	zones       map[string]*zoneState
	zoneOrder   []*zoneState // sorted by zone
	tenants     map[string]*fleetTenant
	tenantOrder []*fleetTenant // sorted by name
	lease       QuotaLease
	leaseUntil  Time
	windowStart Time

	fullSubsetSize int // number of servers in the subset before directives are applied
	ringStart      int // index on the ring of ready servers at which that subset starts
}

func newFleetState(now Time) *fleetState {
	return &fleetState{zones: map[string]*zoneState{}, tenants: map[string]*fleetTenant{}, windowStart: now}
}

// handleFleetEvent applies an event of the control plane. FleetSynced changes no decision: requests of a
// tenant that has not been delivered yet are rejected like those of an unknown tenant.
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

// adoptTenants adds the tenants that the settings name. The settings' rules count as generation 1 of such a
// tenant until the control plane commits a generation of its own.
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

// putTenant adds a tenant, in place of any earlier tenant of the same name.
func (f *fleetState) putTenant(t *fleetTenant) {
	f.tenants[t.name] = t
	f.tenantOrder = slices.SortedFunc(maps.Values(f.tenants),
		func(a, b *fleetTenant) int { return cmp.Compare(a.name, b.name) })
}

// overridesSettings reports whether the control plane's intent for a tenant applies in place of the settings.
func (f *fleetState) overridesSettings(name string) bool {
	return f != nil && f.tenants[name] != nil && !f.tenants[name].fromSettings
}
