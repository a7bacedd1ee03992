package simulation

import (
	"maps"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/tenants"
)

// Services that tenants may belong to, and scopes that runs may have.
var (
	modelServices = []string{"", "perfume", "retail"}
	modelScopes   = [][]string{nil, {"perfume"}, {"retail"}, {"perfume", "retail"}, {"mail"}}
)

// inScope returns the part of a copy that a node with these services holds.
func (c intentCopy) inScope(services []string) intentCopy {
	c.tenants = maps.Clone(c.tenants)
	maps.DeleteFunc(c.tenants, func(_ string, t fleet.Tenant) bool { return !fleet.Serves(services, t.Service()) })
	return c
}

// presentInScope reports whether a run is present and serves a tenant.
func (m *model) presentInScope(r *run, t fleet.Tenant) bool {
	return m.sessions.Present(r.member()) && fleet.Serves(r.services, t.Service())
}

func (r *run) member() fleet.Member {
	return fleet.Member{Node: r.name, Zone: "z", Incarnation: r.incarnation}
}

// present returns the present members as the controller must count them, except for an injected fault.
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
