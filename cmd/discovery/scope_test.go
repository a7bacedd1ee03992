package main

import (
	"net/http"
	"slices"
	"testing"

	"meadowsill/internal/fleet"
)

// mustPutInService proposes a tenant's next generation in a service and fails the test unless the proposal is accepted.
func (f *testFleet) mustPutInService(service, name string, generation uint64) {
	f.t.Helper()
	spec := fleet.Spec{Name: name, Service: service, Quota: fleet.Quota{Rate: 100, Burst: 100}}
	code, text := f.callAPI(http.MethodPut, "/fleet/v1/tenants/"+name, map[string]any{"generation": generation, "spec": spec})
	tenant := f.tenant(name)
	ours := func(g *fleet.Generation) bool { return g != nil && g.Number == generation+1 }
	if code != http.StatusOK && !ours(tenant.Staged) && !ours(tenant.Committed) { // an earlier attempt may have been accepted
		f.t.Fatalf("put %s over generation %d: %d %s", name, generation, code, text)
	}
}

// TestAgentsScopeChanges restarts an agent with fewer services, first without and then with a replica. The node must serve the
// tenants in the new scope and no others. After another restart with all services the node must serve all tenants again, and a
// rollout must work as before.
func TestAgentsScopeChanges(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, "")
	f.awaitSessions()
	for name, service := range map[string]string{"bill": "billing", "find": "search", "any": ""} {
		f.mustPutInService(service, name, 0)
		f.awaitSettled(name, 1)
	}
	n := f.nodes[0]
	f.until("the same revision on both nodes", func() bool { return n.Look().Revision > 0 && n.Look().Revision == f.nodes[1].Look().Revision })
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
	f.until("the tenants of fewer services from disk", func() bool { return serves("any", "bill") })
	if in := n.Look(); in.CaughtUp || in.AgeMS < 60_000 {
		t.Errorf("served from the copy alone: %+v", in)
	}
	n.Cut(false)
	f.until("the agent to catch up with fewer services", func() bool { return n.Look().CaughtUp })
	if !serves("any", "bill") {
		t.Errorf("with a replica: any %d, bill %d, find %d", n.Serves("any"), n.Serves("bill"), n.Serves("find"))
	}
	restart()
	f.until("the tenants of all services again", func() bool { return n.Look().CaughtUp && serves("any", "bill", "find") })
	f.awaitSessions()
	f.mustPutInService("search", "find", 1)
	f.awaitSettled("find", 2)
}
