package simulation

import (
	"maps"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/tenants"
)

// The services that tenants may be of, and the scopes that runs may have.
var (
	modelServices = []string{"", "perfume", "retail"}
	modelScopes   = [][]string{nil, {"perfume"}, {"retail"}, {"perfume", "retail"}, {"mail"}}
)

// within is the part of a copy that a node of these services holds.
func (c intentCopy) within(services []string) intentCopy {
	c.tenants = maps.Clone(c.tenants)
	maps.DeleteFunc(c.tenants, func(_ string, t fleet.Tenant) bool { return !fleet.Serves(services, t.Service()) })
	return c
}

// counts reports whether a run is present and serves a tenant.
func (m *model) counts(r *run, t fleet.Tenant) bool {
	return m.sessions.Present(r.member()) && fleet.Serves(r.services, t.Service())
}

func (r *run) member() fleet.Member {
	return fleet.Member{Node: r.name, Zone: "z", Incarnation: r.incarnation}
}

// present is who is present, as the controller is to count them.
func (m *model) present() tenants.Present {
	p := tenants.Present{Epoch: m.sessions.ScopeEpoch, Members: m.sessions.List(), Services: maps.Clone(m.sessions.ServicesByNode())}
	for node := range p.Services {
		switch m.fault {
		case "outside":
			delete(p.Services, node)
		case "inside":
			p.Services[node] = []string{"mail"}
		}
	}
	return p
}
