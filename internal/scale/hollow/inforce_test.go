package hollow

import (
	"sync/atomic"
	"testing"
	"time"

	"meadowsill/internal/fleet"
)

// TestInForceByScope checks that inForce considers exactly the running nodes that have the tenant in their scope.
func TestInForceByScope(t *testing.T) {
	t.Parallel()
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	g := &group{state: newFleetState(), nodes: make([]atomic.Pointer[node], 5)}
	up := func(i int, services []string, tenants map[string]served) {
		g.nodes[i].Store(&node{fleet: g.state, services: services, member: fleet.Member{Node: NodeName(i)}, serving: tenants, synced: true})
	}
	up(0, []string{"svc-000"}, map[string]served{"a": {3, at(10)}})
	up(1, []string{"svc-000", "svc-001"}, map[string]served{"a": {4, at(30)}, "b": {1, at(5)}})
	up(2, []string{"svc-001"}, map[string]served{"b": {0, at(20)}})
	up(3, nil, map[string]served{"a": {2, at(1)}}) // without a scope; node 4 is down
	g.state.setService("b", "svc-001")
	for what, c := range map[string]struct {
		request     Request
		nodes, have int
		worst       string
		last        time.Time
		times       int
	}{
		"one node lacks the generation": {Request{Tenant: "a", Service: "svc-000", Generation: 3}, 3, 2, "h00003", at(30), 2},
		"a later generation counts":     {Request{Tenant: "a", Service: "svc-000", Generation: 2}, 3, 3, "h00001", at(30), 3},
		"removed, or never held":        {Request{Tenant: "b", Generation: 0}, 3, 2, "h00001", at(20), 1},
		"service known from the intent": {Request{Tenant: "b", Generation: 1}, 3, 1, "h00003", at(5), 1},
		"tenant without a service":      {Request{Tenant: "c", Generation: 1}, 4, 0, "h00003", time.Time{}, 0},
	} {
		got := g.inForce(t.Context(), c.request)
		if got.Nodes != c.nodes || got.Have != c.have || got.Worst != c.worst || !got.Last.Equal(c.last) || len(got.Times) != c.times {
			t.Errorf("%s: %+v, want %+v", what, got, c)
		}
	}
}

// TestLoadFollowsTenants checks that a node's load goes to the first tenants in its own order, and to the next ones after a tenant is
// removed.
func TestLoadFollowsTenants(t *testing.T) {
	t.Parallel()
	n := &node{cfg: &Config{ActiveTenants: 2}, fleet: newFleetState(), module: &module{}, serving: map[string]served{}, services: []string{"svc-000"}}
	n.fleet.setService("elsewhere", "svc-001")
	for _, name := range []string{"a", "b", "c", "elsewhere"} {
		n.serving[name] = served{generation: 1}
		n.setLoad(name)
	}
	if len(n.module.active) != 2 || n.compareRank(n.module.active[0], n.module.active[1]) >= 0 {
		t.Fatalf("active: %v", n.module.active)
	}
	removed := n.module.active[0]
	n.serving[removed] = served{}
	n.setLoad(removed)
	seen := map[string]bool{}
	for _, name := range n.module.active {
		seen[name] = true
	}
	if len(seen) != 2 || seen[removed] || seen["elsewhere"] {
		t.Errorf("after the removal of %s: %v", removed, n.module.active)
	}
}
