package policy_test

// This file tests the control plane's tenants at one module: T1, T3, T6 and T7 of docs/fleet.md, quotas, routes and
// validation. It also tests what the module reports by Window and Applied.

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"meadowsill/policy"
)

func rules(generation uint64, change func(*policy.TenantRules)) *policy.TenantRules {
	g := &policy.TenantRules{Generation: generation, Digest: fmt.Sprint("d", generation), Rate: 1000, Burst: 3000}
	if change != nil {
		change(g)
	}
	return g
}

// submit feeds the module one request and returns the server that it was forwarded to, or 0 if the request was rejected
// at once, without an attempt.
func (h *harness) submit(tenant, class string) policy.ServerID {
	h.lastID++
	id := policy.RequestID(fmt.Sprint(class, h.lastID))
	h.arrivedAt[id] = h.now
	sent := len(h.attempts)
	h.feed(policy.RequestArrived{ID: id, Class: class, Tenant: tenant, Timeout: 2 * time.Second})
	if len(h.attempts) == sent {
		if _, ok := h.finalAnswer[id].(policy.Reject); !ok {
			h.t.Errorf("%s: neither forwarded nor rejected: %v", id, h.finalAnswer[id])
		}
		return 0
	}
	return h.pending[len(h.pending)-1].event.(policy.AttemptEnded).Server
}

// TestTenantFollowsIntent checks T1, T6 and the settings' tenants. Each row is a sequence of events, and whether a request
// is served after them.
func TestTenantFollowsIntent(t *testing.T) {
	update := func(uid, rev uint64, committed, staged *policy.TenantRules) policy.TenantUpdate {
		return policy.TenantUpdate{Name: "x", UID: uid, Revision: rev, Committed: committed, Staged: staged}
	}
	priorityOnly := func(g *policy.TenantRules) { g.Classes = []string{"priority"} }
	zeroQuota := func(g *policy.TenantRules) { g.Rate, g.Burst = 0, 0 }
	removing, removed, withdrawn := update(1, 7, rules(1, nil), nil), update(1, 8, nil, nil), update(1, 8, rules(1, nil), nil)
	removing.Removing = true
	removed.Removed = true
	withdrawn.Removing = true
	withdrawn.QuotaWithdrawn = true
	forSettingsTenant := func(e policy.TenantUpdate) policy.TenantUpdate { e.Name = "set"; return e }
	for name, c := range map[string]struct {
		events []policy.Event
		tenant string
		class  string
		served bool
	}{
		"unknown tenant":                             {tenant: "x", class: "priority"},
		"unknown tenant, fleet synced":               {events: []policy.Event{policy.FleetSynced{Revision: 4}}, tenant: "x", class: "priority"},
		"no tenant named":                            {tenant: "", class: "priority", served: true},
		"named by the settings":                      {tenant: "set", class: "priority", served: true},
		"T1 staged only":                             {events: []policy.Event{update(1, 5, nil, rules(1, nil))}, tenant: "x", class: "priority"},
		"committed":                                  {events: []policy.Event{update(1, 5, rules(1, nil), nil)}, tenant: "x", class: "priority", served: true},
		"T1 class outside the committed namespace":   {events: []policy.Event{update(1, 5, rules(1, priorityOnly), rules(2, nil))}, tenant: "x", class: "bulk"},
		"T1 class outside the staged namespace only": {events: []policy.Event{update(1, 5, rules(1, nil), rules(2, priorityOnly))}, tenant: "x", class: "bulk", served: true},
		"T1 next generation has no quota":            {events: []policy.Event{update(1, 5, rules(1, priorityOnly), nil), update(1, 6, rules(2, zeroQuota), nil)}, tenant: "x", class: "priority"},
		"older update":                               {events: []policy.Event{update(1, 6, rules(2, nil), nil), update(1, 5, rules(1, priorityOnly), nil)}, tenant: "x", class: "bulk", served: true},
		"same revision again":                        {events: []policy.Event{update(1, 6, rules(1, nil), nil), update(1, 6, nil, nil)}, tenant: "x", class: "bulk", served: true},
		"T6 removing":                                {events: []policy.Event{update(1, 6, rules(1, nil), nil), removing}, tenant: "x", class: "priority"},
		"T6 quota withdrawn":                         {events: []policy.Event{update(1, 6, rules(1, nil), nil), removing, withdrawn}, tenant: "x", class: "priority"},
		"T6 removed":                                 {events: []policy.Event{update(1, 6, rules(1, nil), nil), removing, removed}, tenant: "x", class: "priority"},
		"T6 late update of a removed tenant":         {events: []policy.Event{update(1, 6, rules(1, nil), nil), removed, update(1, 6, rules(1, nil), nil)}, tenant: "x", class: "priority"},
		"T6 name reused":                             {events: []policy.Event{removed, update(9, 9, rules(1, priorityOnly), nil)}, tenant: "x", class: "priority", served: true},
		"T6 name reused with another namespace":      {events: []policy.Event{update(1, 6, rules(1, nil), nil), removed, update(9, 9, rules(1, priorityOnly), nil)}, tenant: "x", class: "bulk"},
		"named by the settings, staged":              {events: []policy.Event{forSettingsTenant(update(1, 5, nil, rules(1, priorityOnly)))}, tenant: "set", class: "bulk", served: true},
		"named by the settings, rolled back":         {events: []policy.Event{forSettingsTenant(update(1, 5, nil, rules(1, nil))), forSettingsTenant(removed)}, tenant: "set", class: "bulk", served: true},
		"named by the settings, committed":           {events: []policy.Event{forSettingsTenant(update(1, 5, rules(1, priorityOnly), nil))}, tenant: "set", class: "bulk"},
		"named by the settings, removed":             {events: []policy.Event{forSettingsTenant(update(1, 5, rules(1, nil), nil)), forSettingsTenant(removed)}, tenant: "set", class: "bulk"},
		"malformed":                                  {events: []policy.Event{update(1, 5, rules(1, nil), nil), update(1, 6, rules(2, func(g *policy.TenantRules) { g.Rate = -1 }), nil)}, tenant: "x", class: "priority", served: true},
		"an hour without events":                     {events: []policy.Event{update(1, 5, rules(1, nil), nil), nil}, tenant: "x", class: "priority", served: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := harnessSettings()
			s.Fleet, s.Tenants = true, []policy.Tenant{{Name: "set", Quota: 100}}
			h := newHarness(t, s, 4)
			for _, e := range c.events {
				if e == nil {
					h.pending = nil
					h.now += time.Hour
				} else {
					h.feed(e)
				}
			}
			h.run(time.Second, 20, "priority") // the token bucket starts at a random level below one request
			if served := h.submit(c.tenant, c.class) != 0; served != c.served {
				t.Errorf("served: %v, want %v", served, c.served)
			}
		})
	}
}

// TestLeaseExpires checks that a node's quota is the guaranteed part plus the leased part while the lease is valid, and the
// guaranteed part alone after that. T3: with the nodes' leases expired, late or old, the sum of what all nodes admit stays
// within the quota and its burst.
func TestLeaseExpires(t *testing.T) {
	const slots, rate, burst = 10, 50.0, 20.0
	start := func(t *testing.T, self int) *harness {
		s := harnessSettings()
		s.Fleet = true
		s.Nodes = slots
		s.NodeIndex = self
		h := newHarness(t, s, 12)
		h.feed(policy.TenantUpdate{Name: "x", UID: 1, Revision: 1, Committed: rules(1, func(g *policy.TenantRules) {
			g.Rate = rate
			g.Burst = burst
			g.ClassRates = map[string]float64{"bulk": rate / 5}
		})})
		return h
	}
	lease := func(epoch uint64, rate float64, valid time.Duration) policy.QuotaLease {
		return policy.QuotaLease{Epoch: epoch, Slots: slots, Rates: map[string]float64{"x": rate}, ValidFor: valid}
	}
	newTenant := policy.TenantUpdate{Name: "x", UID: 2, Revision: 2, Committed: rules(1, func(g *policy.TenantRules) { g.Rate = rate })}
	for name, c := range map[string]struct {
		events []policy.Event
		want   float64 // requests/s admitted over 20 s
	}{
		"none":                              {want: 1},
		"held":                              {events: []policy.Event{lease(1, 4, time.Minute)}, want: 5},
		"expires after half of the time":    {events: []policy.Event{lease(1, 4, 10*time.Second)}, want: 3},
		"ended by the agent":                {events: []policy.Event{lease(1, 4, time.Minute), lease(1, 4, 0)}, want: 1},
		"older division later":              {events: []policy.Event{lease(2, 1, time.Minute), lease(1, 4, time.Minute)}, want: 2},
		"over the quota":                    {events: []policy.Event{lease(1, 1e9, time.Minute)}, want: 41},
		"not a number":                      {events: []policy.Event{lease(1, math.NaN(), time.Minute)}, want: 1},
		"T6 divided for the earlier tenant": {events: []policy.Event{lease(1, 4, time.Minute), newTenant}, want: 1},
		"T6 divided for the new tenant":     {events: []policy.Event{newTenant, lease(1, 4, time.Minute)}, want: 5},
	} {
		t.Run(name, func(t *testing.T) {
			h := start(t, 0)
			for _, e := range c.events {
				h.feed(e)
			}
			h.module.Window(h.now)
			for range 20 * 100 {
				h.run(10*time.Millisecond, 0, "")
				h.submit("x", "priority")
			}
			w := h.module.Window(h.now).Tenants[0]
			if got := float64(w.Admitted); w.Arrived != 2000 || math.Abs(got-20*c.want) > 2+burst/slots {
				t.Errorf("%v of %d requests admitted in 20 s, want %v", got, w.Arrived, 20*c.want)
			}
		})
	}
	var all []*harness
	for i := range slots {
		all = append(all, start(t, i))
	}
	admitted := map[string]int{}
	for step := range 2000 {
		for i, h := range all {
			// Nodes 0, 3, 6 and 9 have lost their agents and get no lease. The others get a lease of a new division every 400
			// steps: equal parts at first, and from step 800 on half of the leased part for node 1 and nothing for the rest.
			if step%400 == 0 && i%3 > 0 {
				part := 0.8 * rate / slots
				if step >= 800 {
					part = []float64{0, 0.4 * rate, 0}[min(2, i)]
				}
				h.feed(lease(uint64(1+step/400), part, 5*time.Second))
			}
			h.run(10*time.Millisecond, 0, "")
			for _, class := range []string{"bulk", "priority"} {
				if n := len(h.attempts); h.submit("x", class) != 0 || len(h.attempts) > n {
					admitted[class]++
				}
			}
		}
	}
	sum := admitted["priority"] + admitted["bulk"]
	if float64(sum) > 20*rate+burst || float64(admitted["bulk"]) > 20*rate/5+slots || sum < 300 {
		t.Errorf("all nodes admitted %v in 20 s, %v at most", admitted, 20*rate+burst)
	}
}

// TestRoutes checks that routes are drawn by weight among those that match a server in use, and that RejectUnrouted decides
// where no route matches. T7: a request keeps its generation, and so its route, to its end.
func TestRoutes(t *testing.T) {
	h := zonesHarness(t, 30)
	commitRoutes := func(generation uint64, reject bool, routes ...policy.TenantRoute) {
		h.feed(policy.TenantUpdate{Name: "x", UID: 1, Revision: generation, Committed: rules(generation,
			func(g *policy.TenantRules) { g.Rate, g.Routes, g.RejectUnrouted = 1e4, routes, reject })})
	}
	countByServer := func() map[string]int {
		got := map[string]int{}
		for range 400 {
			h.run(20*time.Millisecond, 0, "")
			id := h.submit("x", "priority")
			got[map[bool]string{id == 0: "rejected", id != 0: fmt.Sprint("s", id)}[true]]++
		}
		return got
	}
	commitRoutes(1, true, policy.TenantRoute{ID: "s3", Weight: 3}, policy.TenantRoute{Zone: "b", ID: "s1?", Weight: 1},
		policy.TenantRoute{Zone: "nowhere", Weight: 50})
	if got := countByServer(); got["s3"] < 270 || got["s3"] > 330 || got["s10"]+got["s12"]+got["s14"]+got["s16"]+got["s18"] < 65 {
		t.Errorf("routes 3 to 1: %v", got)
	}
	matched := 0
	for id := range policy.ServerID(60) {
		commitRoutes(uint64(2+id), true, policy.TenantRoute{ID: fmt.Sprint("s", id+1), Weight: 1})
		if h.run(20*time.Millisecond, 0, ""); h.submit("x", "priority") == id+1 {
			matched++
		}
	}
	if matched < 55 {
		t.Errorf("%d of 60 requests went to the one server of their route", matched)
	}
	commitRoutes(72, true, policy.TenantRoute{Zone: "nowhere", Weight: 1})
	if got := countByServer(); got["rejected"] != 400 {
		t.Errorf("no route matches, want rejections only: %v", got)
	}
	commitRoutes(73, false, policy.TenantRoute{Zone: "nowhere", Weight: 1})
	if got := countByServer(); got["rejected"] > 4 || len(got) < 8 {
		t.Errorf("no route matches, want all servers in use: %v", got)
	}
	commitRoutes(74, true, policy.TenantRoute{ID: "s3", Weight: 1}, policy.TenantRoute{ID: "s5", Weight: 1})
	h.run(3*time.Second, 0, "")
	h.delay = func(policy.ServerID) (time.Duration, policy.OutcomeCode) {
		return 50 * time.Millisecond, policy.ConnectFailed
	}
	h.reset()
	if first := h.submit("x", "priority"); first != 3 && first != 5 {
		t.Fatalf("sent to server %d, want 3 or 5", first)
	}
	commitRoutes(75, false, policy.TenantRoute{Zone: "b", Weight: 1})
	h.run(time.Second, 0, "")
	if a, b := h.sentTo(); a != 1 || b != 0 || h.rejected != 1 {
		t.Errorf("T7: %d attempts under the request's own generation, %d under the next one, %d rejected", a, b, h.rejected)
	}
}

// TestWindowAndApplied checks that a staged generation is validated against the node's classes and servers, and that the
// applied state is reported in the names of package fleet.
func TestWindowAndApplied(t *testing.T) {
	h := zonesHarness(t, 30)
	h.feed(policy.ZoneDirective{Zone: "b", Revision: 4, Share: 0.5, Floor: 0.1, Rate: 2, ValidFor: 5 * time.Second})
	h.feed(policy.ServerExcluded{Server: 3})
	for i, c := range []struct {
		change   func(*policy.TenantRules)
		rejected string
	}{
		{func(g *policy.TenantRules) { g.Classes = []string{"priority", "odd"} }, `namespace.classes: class "odd" is not known here`},
		{func(g *policy.TenantRules) { g.ClassRates = map[string]float64{"odd": 1} }, `quota.classes: class "odd"`},
		{func(g *policy.TenantRules) { g.Rate = math.Inf(1) }, "quota: rate"},
		{func(g *policy.TenantRules) {
			g.Routes = []policy.TenantRoute{{Zone: "a", Weight: 1}, {Kind: "k", Weight: 1}}
		},
			"routes[1]: no listed server matches"},
		{func(g *policy.TenantRules) { g.Routes = []policy.TenantRoute{{ID: "s[", Weight: 1}} }, "routes[0]"},
		{func(g *policy.TenantRules) { g.Routes = []policy.TenantRoute{{ID: "s1*", Weight: 1}} }, ""},
	} {
		h.feed(policy.TenantUpdate{Name: "x", UID: 1, Revision: uint64(i + 1), Committed: rules(7, nil), Staged: rules(8, c.change)})
		w := h.module.Window(h.now).Tenants[0]
		if w.Committed != 7 || !strings.HasPrefix(w.RejectReason, c.rejected) || (w.RejectReason == "") != (c.rejected == "") ||
			(w.Staged == 8 && w.Digest == "d8") != (c.rejected == "") {
			t.Errorf("want rejection %q, got %+v", c.rejected, w)
		}
	}
	h.run(100*time.Millisecond, 0, "")
	h.module.Window(h.now)
	h.delay = func(id policy.ServerID) (time.Duration, policy.OutcomeCode) {
		if id%2 == 1 {
			return time.Hour, policy.TimedOut // silent; the client's timeout of two seconds has not passed yet
		}
		return 50 * time.Millisecond, []policy.OutcomeCode{policy.OK, policy.Rejected, policy.ServerError}[id%3]
	}
	h.reset()
	h.run(600*time.Millisecond, 100, "priority")
	h.submit("x", "priority")
	h.run(500*time.Millisecond, 0, "")
	a, b := h.sentTo()
	w := h.module.Window(h.now)
	open := 0
	for id := range h.attempts {
		if string(id) == fmt.Sprint("priority", h.lastID) && !h.answered[id] {
			open++
		}
	}
	if got := w.Tenants[0]; got.Open != open || got.Admitted != 1 {
		t.Errorf("%d of the tenant's requests are open, reported: %+v", open, got)
	}
	if i := slices.IndexFunc(w.Zones, func(z policy.ZoneWindow) bool { return z.Zone == "a" }); i != 0 || len(w.Zones) != 2 {
		t.Fatalf("zones: %+v", w.Zones)
	}
	if z := w.Zones[0]; z.Started != a || z.Attempts != z.Lost || z.Lost < 5 || z.Servers != z.LostServers || z.Listed != 29 {
		t.Errorf("silent zone, %d attempts sent: %+v", a, z)
	}
	if z := w.Zones[1]; z.Started != b || z.Attempts < b/2 || z.Lost != 0 || z.Answered == 0 || z.Answered == z.Attempts || z.Rate <= 0 {
		t.Errorf("other zone, %d attempts sent: %+v", b, z)
	}
	if z := h.module.Window(h.now).Zones[0]; z.Attempts+z.Started > 0 {
		t.Errorf("counted twice: %+v", z)
	}
	var keys []string
	text := map[string]string{}
	for _, item := range h.module.Applied() {
		raw, err := json.Marshal(item.Value)
		if err != nil {
			t.Fatal(err)
		}
		keys = append(keys, item.Key)
		text[item.Key] = string(raw)
	}
	if !slices.IsSorted(keys) || len(keys) != 60+1+3 {
		t.Errorf("keys: %v", keys)
	}
	for key, want := range map[string]string{
		"ban/s3":    `{"out":true}`,
		"server/s4": `{"zone":"b","kind":"","cell":0,"state":"ready","size":0}`,
		"zone/b":    `{"rev":4,"share":0.5,"floor":0.1,"rate":2,"trial":false,"valid_ms":5000}`,
		"tenant/x": `{"uid":1,"rev":6,"committed":{"generation":7,"digest":"d7","classes":null,"rate":1000,"burst":3000,` +
			`"class_rates":null,"routes":null,"refuse_else":false},"removing":false,"quota_gone":false}`,
	} {
		if text[key] != want {
			t.Errorf("%s: %s, want %s", key, text[key], want)
		}
	}
}

// TestSparseLossesAreRelated guards against a zone's failure that a node with few requests does not report, because it loses
// attempts one at a time. A loss is reported together with another server's loss in the last second.
func TestSparseLossesAreRelated(t *testing.T) {
	h := zonesHarness(t, 30)
	h.run(time.Second, 0, "")
	h.module.Window(h.now)
	h.delay = func(id policy.ServerID) (time.Duration, policy.OutcomeCode) {
		if id%2 == 1 {
			return time.Millisecond, policy.Reset
		}
		return 20 * time.Millisecond, policy.OK
	}
	maxLostServers, lost := 0, 0
	for range 12 {
		h.lastID++
		h.feed(policy.RequestArrived{ID: policy.RequestID(fmt.Sprint("unsafe", h.lastID)), Class: "unsafe", Timeout: time.Second})
		h.run(250*time.Millisecond, 0, "")
		for _, z := range h.module.Window(h.now).Zones {
			if lost += z.Lost; z.Zone == "a" {
				maxLostServers = max(maxLostServers, z.LostServers)
			}
			if z.Lost+z.Answered > z.Attempts || z.LostServers > z.Lost || z.Servers > z.Attempts || z.Zone == "b" && z.Lost > 0 {
				t.Errorf("%+v", z)
			}
		}
	}
	a, _ := h.sentTo()
	if maxLostServers != 2 || a < 4 || lost > 2*a {
		t.Errorf("at most %d lost servers in one window, want 2; %d attempts were lost, reported as %d", maxLostServers, a, lost)
	}
	h.run(2*time.Second, 0, "")
	if z := h.module.Window(h.now).Zones[0]; z.Lost > 0 {
		t.Errorf("2 s after the last loss: %+v", z)
	}
}
