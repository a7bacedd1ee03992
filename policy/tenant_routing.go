package policy

import "path"

// minRouteServers is the number of a route's servers that a subset should contain: with fewer there is too
// little choice.
const minRouteServers = 4

// matches reports whether a route selects a server.
func (t *TenantRoute) matches(s *server) bool {
	if t.ID != "" {
		if ok, _ := path.Match(t.ID, s.Name); !ok {
			return false
		}
	}
	return (t.Zone == "" || t.Zone == s.Zone) && (t.Kind == "" || t.Kind == s.Kind)
}

// chooseRoute draws a request's route by weight among the tenant's routes that match a server in use, and
// reports whether the request may be served. If no route matches, the committed generation's RejectUnrouted
// decides.
func (m *Module) chooseRoute(r *request, t *fleetTenant) bool {
	sum := 0.0
	for _, route := range t.routes {
		sum += route.Weight
	}
	if sum == 0 {
		return len(t.committed.Routes) == 0 || !t.committed.RejectUnrouted
	}
	remaining := m.random.float64() * sum
	for _, route := range t.routes {
		r.route = route
		if remaining < route.Weight {
			break
		}
		remaining -= route.Weight
	}
	return true
}

// addRouteServers adds the servers that a tenant's routes need to the subset, from the node's start position
// on the ring, and records which routes match a server in use.
func (m *Module) addRouteServers(t *fleetTenant) {
	t.routes = t.routes[:0]
	if t.committed == nil || t.removed {
		return
	}
	for i := range t.committed.Routes {
		route := &t.committed.Routes[i]
		if m.addServersOfRoute(route) > 0 && route.Weight > 0 {
			t.routes = append(t.routes, route)
		}
	}
}

// addServersOfRoute adds servers of a route to the subset until it has minRouteServers of them, and returns
// how many it has.
func (m *Module) addServersOfRoute(route *TenantRoute) int {
	count := 0
	for _, s := range m.subset.servers {
		if route.matches(s) {
			count++
		}
	}
	ring := m.endpoints.ready
	for i := 0; i < len(ring) && count < minRouteServers; i++ {
		s := ring[(m.fleet.ringStart+i)%len(ring)]
		if m.zoneShare(m.directive(s.Zone)) > 0 && !m.inSubset(s) && route.matches(s) {
			m.addToSubset(s)
			count++
		}
	}
	return count
}
