package main

import (
	"net/http"
	"slices"
	"testing"

	"meadowsill/internal/fleet"
)

// putFor proposes a tenant's next generation in a service.
func (f *fleetUp) putFor(service, name string, generation uint64) {
	f.t.Helper()
	spec := fleet.Spec{Name: name, Service: service, Quota: fleet.Quota{Rate: 100, Burst: 100}}
	code, text := f.api(http.MethodPut, "/fleet/v1/tenants/"+name, map[string]any{"generation": generation, "spec": spec})
	tenant := f.tenant(name)
	ours := func(g *fleet.Generation) bool { return g != nil && g.Number == generation+1 }
	if code != http.StatusOK && !ours(tenant.Staged) && !ours(tenant.Committed) { // an attempt before may have been taken
		f.t.Fatalf("put %s over generation %d: %d %s", name, generation, code, text)
	}
}

// An agent is started again with fewer services, first without a replica, then with: its node serves the tenants that are left and no
// others. Started with all of them it serves all again, and a rollout goes on as before.
func TestAgentsScopeChanges(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, "")
	f.present()
	for name, service := range map[string]string{"bill": "billing", "find": "search", "any": ""} {
		f.putFor(service, name, 0)
		f.settled(name, 1)
	}
	n := f.nodes[0]
	f.until("the copy of all", func() bool { return n.Look().Revision > 0 && n.Look().Revision == f.nodes[1].Look().Revision })
	serves := func(names ...string) bool {
		for _, name := range []string{"any", "bill", "find"} {
			if (n.Serves(name) > 0) != slices.Contains(names, name) {
				return false
			}
		}
		return true
	}
	restart := func(services ...string) {
		n.StopAgent()
		n.With(func() { n.Services = services })
		f.startAgent(n)
	}
	n.Cut(true)
	restart("billing")
	f.until("fewer services, from disk", func() bool { return serves("any", "bill") })
	if in := n.Look(); in.CaughtUp || in.AgeMS < 60_000 {
		t.Errorf("from the copy alone: %+v", in)
	}
	n.Cut(false)
	f.until("fewer services, with a replica", func() bool { return n.Look().CaughtUp })
	if !serves("any", "bill") {
		t.Errorf("with a replica: any %d, bill %d, find %d", n.Serves("any"), n.Serves("bill"), n.Serves("find"))
	}
	restart()
	f.until("all services again", func() bool { return n.Look().CaughtUp && serves("any", "bill", "find") })
	f.present()
	f.putFor("search", "find", 1)
	f.settled("find", 2)
}
