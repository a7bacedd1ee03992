package policy

import "path"

// minRouteServers is how many servers of a route a subset is to have: fewer leave no choice.
const minRouteServers = 4

// matches reports whether a route names a server.
func (t *TenantRoute) matches(s *server) bool {
	if t.ID != "" {
		if ok, _ := path.Match(t.ID, s.Name); !ok {
			return false
		}
	}
	return (t.Zone == "" || t.Zone == s.Zone) && (t.Kind == "" || t.Kind == s.Kind)
}

// chooseRoute draws a request's route by weight among those that match a server in use, and reports whether
// the request may be served. Where no route matches, the generation says so.
func (m *Module) chooseRoute(r *request, t *fleetTenant) bool {
	sum := 0.0
	for _, route := range t.routes {
		sum += route.Weight
	}
	if sum == 0 {
		return len(t.committed.Routes) == 0 || !t.committed.RejectUnrouted
	}
	at := m.random.float64() * sum
	for _, route := range t.routes {
		r.route = route
		if at < route.Weight {
			break
		}
		at -= route.Weight
	}
	return true
}

// addRouteServers adds to the subset what a tenant's routes need, from the node's place on the ring on, and
// notes which routes match a server in use.
func (m *Module) addRouteServers(t *fleetTenant) {
	t.routes = t.routes[:0]
	if t.committed == nil || t.removed {
		return
	}
	for i := range t.committed.Routes {
		route := &t.committed.Routes[i]
		if m.serversOfRoute(route) > 0 && route.Weight > 0 {
			t.routes = append(t.routes, route)
		}
	}
}

// serversOfRoute fills the subset up to minRouteServers of a route, and returns how many it has.
func (m *Module) serversOfRoute(route *TenantRoute) int {
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
