package policy_test

// Tenants under the fleet, at one module: T1, T3, T6 and T7 of docs/fleet.md, quotas, routes, validation; and what
// the module tells of itself.

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

// submit has one request come and tells where it was sent; 0: it was rejected at once, without an attempt.
func (r *harness) submit(tenant, class string) policy.ServerID {
	r.lastID++
	id := policy.RequestID(fmt.Sprint(class, r.lastID))
	r.arrivedAt[id] = r.now
	sent := len(r.attempts)
	r.feed(policy.RequestArrived{ID: id, Class: class, Tenant: tenant, Timeout: 2 * time.Second})
	if len(r.attempts) == sent {
		if _, ok := r.finalAnswer[id].(policy.Reject); !ok {
			r.t.Errorf("%s: neither sent nor rejected: %v", id, r.finalAnswer[id])
		}
		return 0
	}
	return r.pending[len(r.pending)-1].event.(policy.AttemptEnded).Server
}

// TestTenantFollowsIntent: T1, T6 and the settings' tenants, as rows of items and who is served after them.
func TestTenantFollowsIntent(t *testing.T) {
	notified := func(uid, rev uint64, committed, staged *policy.TenantRules) policy.TenantUpdate {
		return policy.TenantUpdate{Name: "x", UID: uid, Revision: rev, Committed: committed, Staged: staged}
	}
	dearOnly := func(g *policy.TenantRules) { g.Classes = []string{"priority"} }
	none := func(g *policy.TenantRules) { g.Rate, g.Burst = 0, 0 }
	removing, removed, unquoted := notified(1, 7, rules(1, nil), nil), notified(1, 8, nil, nil), notified(1, 8, rules(1, nil), nil)
	removing.Removing = true
	removed.Removed = true
	unquoted.Removing = true
	unquoted.QuotaWithdrawn = true
	ofSettings := func(e policy.TenantUpdate) policy.TenantUpdate { e.Name = "set"; return e }
	for name, c := range map[string]struct {
		events []policy.Event
		tenant string
		class  string
		served bool
	}{
		"not known":                        {tenant: "x", class: "priority"},
		"not known, all notified":          {events: []policy.Event{policy.FleetSynced{Revision: 4}}, tenant: "x", class: "priority"},
		"no tenant named":                  {tenant: "", class: "priority", served: true},
		"of the settings":                  {tenant: "set", class: "priority", served: true},
		"T1 staged only":                   {events: []policy.Event{notified(1, 5, nil, rules(1, nil))}, tenant: "x", class: "priority"},
		"committed":                        {events: []policy.Event{notified(1, 5, rules(1, nil), nil)}, tenant: "x", class: "priority", served: true},
		"T1 the committed namespace":       {events: []policy.Event{notified(1, 5, rules(1, dearOnly), rules(2, nil))}, tenant: "x", class: "bulk"},
		"T1 not the staged namespace":      {events: []policy.Event{notified(1, 5, rules(1, nil), rules(2, dearOnly))}, tenant: "x", class: "bulk", served: true},
		"T1 the whole of the next":         {events: []policy.Event{notified(1, 5, rules(1, dearOnly), nil), notified(1, 6, rules(2, none), nil)}, tenant: "x", class: "priority"},
		"older news":                       {events: []policy.Event{notified(1, 6, rules(2, nil), nil), notified(1, 5, rules(1, dearOnly), nil)}, tenant: "x", class: "bulk", served: true},
		"the same again":                   {events: []policy.Event{notified(1, 6, rules(1, nil), nil), notified(1, 6, nil, nil)}, tenant: "x", class: "bulk", served: true},
		"T6 removing":                      {events: []policy.Event{notified(1, 6, rules(1, nil), nil), removing}, tenant: "x", class: "priority"},
		"T6 quota gone":                    {events: []policy.Event{notified(1, 6, rules(1, nil), nil), removing, unquoted}, tenant: "x", class: "priority"},
		"T6 gone":                          {events: []policy.Event{notified(1, 6, rules(1, nil), nil), removing, removed}, tenant: "x", class: "priority"},
		"T6 late news of one gone":         {events: []policy.Event{notified(1, 6, rules(1, nil), nil), removed, notified(1, 6, rules(1, nil), nil)}, tenant: "x", class: "priority"},
		"T6 its name again":                {events: []policy.Event{removed, notified(9, 9, rules(1, dearOnly), nil)}, tenant: "x", class: "priority", served: true},
		"T6 its name again, not as before": {events: []policy.Event{notified(1, 6, rules(1, nil), nil), removed, notified(9, 9, rules(1, dearOnly), nil)}, tenant: "x", class: "bulk"},
		"of the settings, staged":          {events: []policy.Event{ofSettings(notified(1, 5, nil, rules(1, dearOnly)))}, tenant: "set", class: "bulk", served: true},
		"of the settings, rolled back":     {events: []policy.Event{ofSettings(notified(1, 5, nil, rules(1, nil))), ofSettings(removed)}, tenant: "set", class: "bulk", served: true},
		"of the settings, committed":       {events: []policy.Event{ofSettings(notified(1, 5, rules(1, dearOnly), nil))}, tenant: "set", class: "bulk"},
		"of the settings, removed":         {events: []policy.Event{ofSettings(notified(1, 5, rules(1, nil), nil)), ofSettings(removed)}, tenant: "set", class: "bulk"},
		"malformed":                        {events: []policy.Event{notified(1, 5, rules(1, nil), nil), notified(1, 6, rules(2, func(g *policy.TenantRules) { g.Rate = -1 }), nil)}, tenant: "x", class: "priority", served: true},
		"an hour alone":                    {events: []policy.Event{notified(1, 5, rules(1, nil), nil), nil}, tenant: "x", class: "priority", served: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := harnessSettings()
			s.Fleet, s.Tenants = true, []policy.Tenant{{Name: "set", Quota: 100}}
			r := newHarness(t, s, 4)
			for _, e := range c.events {
				if e == nil {
					r.pending = nil
					r.now += time.Hour
				} else {
					r.feed(e)
				}
			}
			r.run(time.Second, 20, "priority") // the bucket has begun anywhere below one request
			if served := r.submit(c.tenant, c.class) != 0; served != c.served {
				t.Errorf("served: %v, want %v", served, c.served)
			}
		})
	}
}

// TestLeaseExpires: a node's quota lease is floor and lease while the lease holds, then the floor; T3: with every node's
// lapsed, late or old, the sum stays under the quota and its burst.
func TestLeaseExpires(t *testing.T) {
	const slots, rate, burst = 10, 50.0, 20.0
	start := func(t *testing.T, self int) *harness {
		s := harnessSettings()
		s.Fleet = true
		s.Nodes = slots
		s.NodeIndex = self
		r := newHarness(t, s, 12)
		r.feed(policy.TenantUpdate{Name: "x", UID: 1, Revision: 1, Committed: rules(1, func(g *policy.TenantRules) {
			g.Rate = rate
			g.Burst = burst
			g.ClassRates = map[string]float64{"bulk": rate / 5}
		})})
		return r
	}
	lease := func(epoch uint64, rate float64, valid time.Duration) policy.QuotaLease {
		return policy.QuotaLease{Epoch: epoch, Slots: slots, Rates: map[string]float64{"x": rate}, ValidFor: valid}
	}
	other := policy.TenantUpdate{Name: "x", UID: 2, Revision: 2, Committed: rules(1, func(g *policy.TenantRules) { g.Rate = rate })}
	for name, c := range map[string]struct {
		events []policy.Event
		want   float64 // requests/s admitted over 20 s
	}{
		"none":                           {want: 1},
		"held":                           {events: []policy.Event{lease(1, 4, time.Minute)}, want: 5},
		"lapses in the half":             {events: []policy.Event{lease(1, 4, 10*time.Second)}, want: 3},
		"ended by its agent":             {events: []policy.Event{lease(1, 4, time.Minute), lease(1, 4, 0)}, want: 1},
		"older division":                 {events: []policy.Event{lease(2, 1, time.Minute), lease(1, 4, time.Minute)}, want: 2},
		"over the quota":                 {events: []policy.Event{lease(1, 1e9, time.Minute)}, want: 41},
		"no number":                      {events: []policy.Event{lease(1, math.NaN(), time.Minute)}, want: 1},
		"T6 of the name's tenant before": {events: []policy.Event{lease(1, 4, time.Minute), other}, want: 1},
		"T6 divided since":               {events: []policy.Event{other, lease(1, 4, time.Minute)}, want: 5},
	} {
		t.Run(name, func(t *testing.T) {
			r := start(t, 0)
			for _, e := range c.events {
				r.feed(e)
			}
			r.module.Window(r.now)
			for range 20 * 100 {
				r.run(10*time.Millisecond, 0, "")
				r.submit("x", "priority")
			}
			w := r.module.Window(r.now).Tenants[0]
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
		for i, r := range all {
			if step%400 == 0 && i%3 > 0 { // a third has lost its agent; the rest is divided anew, two of them by all of it
				part := 0.8 * rate / slots
				if step >= 800 {
					part = []float64{0, 0.4 * rate, 0}[min(2, i)]
				}
				r.feed(lease(uint64(1+step/400), part, 5*time.Second))
			}
			r.run(10*time.Millisecond, 0, "")
			for _, class := range []string{"bulk", "priority"} {
				if n := len(r.attempts); r.submit("x", class) != 0 || len(r.attempts) > n {
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

// Routes are weighed among those that match a server in use; the fallback is the written one; T7: a request keeps its
// generation, and so its route, to its end.
func TestRoutes(t *testing.T) {
	r := zonesHarness(t, 30)
	route := func(generation uint64, reject bool, routes ...policy.TenantRoute) {
		r.feed(policy.TenantUpdate{Name: "x", UID: 1, Revision: generation, Committed: rules(generation,
			func(g *policy.TenantRules) { g.Rate, g.Routes, g.RejectUnrouted = 1e4, routes, reject })})
	}
	requested := func() map[string]int {
		got := map[string]int{}
		for range 400 {
			r.run(20*time.Millisecond, 0, "")
			id := r.submit("x", "priority")
			got[map[bool]string{id == 0: "rejected", id != 0: fmt.Sprint("s", id)}[true]]++
		}
		return got
	}
	route(1, true, policy.TenantRoute{ID: "s3", Weight: 3}, policy.TenantRoute{Zone: "b", ID: "s1?", Weight: 1},
		policy.TenantRoute{Zone: "nowhere", Weight: 50})
	if got := requested(); got["s3"] < 270 || got["s3"] > 330 || got["s10"]+got["s12"]+got["s14"]+got["s16"]+got["s18"] < 65 {
		t.Errorf("routes 3 to 1: %v", got)
	}
	hit := 0
	for id := range policy.ServerID(60) {
		route(uint64(2+id), true, policy.TenantRoute{ID: fmt.Sprint("s", id+1), Weight: 1})
		if r.run(20*time.Millisecond, 0, ""); r.submit("x", "priority") == id+1 {
			hit++
		}
	}
	if hit < 55 {
		t.Errorf("%d of 60 requests went to the one server of their route", hit)
	}
	route(72, true, policy.TenantRoute{Zone: "nowhere", Weight: 1})
	if got := requested(); got["rejected"] != 400 {
		t.Errorf("nothing matches, to be rejected: %v", got)
	}
	route(73, false, policy.TenantRoute{Zone: "nowhere", Weight: 1})
	if got := requested(); got["rejected"] > 4 || len(got) < 8 {
		t.Errorf("nothing matches, to go anywhere: %v", got)
	}
	route(74, true, policy.TenantRoute{ID: "s3", Weight: 1}, policy.TenantRoute{ID: "s5", Weight: 1})
	r.run(3*time.Second, 0, "")
	r.delay = func(policy.ServerID) (time.Duration, policy.OutcomeCode) {
		return 50 * time.Millisecond, policy.ConnectFailed
	}
	r.reset()
	if first := r.submit("x", "priority"); first != 3 && first != 5 {
		t.Fatalf("sent to %d", first)
	}
	route(75, false, policy.TenantRoute{Zone: "b", Weight: 1})
	r.run(time.Second, 0, "")
	if a, b := r.sentTo(); a != 1 || b != 0 || r.rejected != 1 {
		t.Errorf("T7: %d attempts by its own generation, %d by the next, %d rejected", a, b, r.rejected)
	}
}

// A staged generation is held against what the node has; what is applied is notified in the fleet's words.
func TestWindowAndApplied(t *testing.T) {
	r := zonesHarness(t, 30)
	r.feed(policy.ZoneDirective{Zone: "b", Revision: 4, Share: 0.5, Floor: 0.1, Rate: 2, ValidFor: 5 * time.Second})
	r.feed(policy.ServerExcluded{Server: 3})
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
		r.feed(policy.TenantUpdate{Name: "x", UID: 1, Revision: uint64(i + 1), Committed: rules(7, nil), Staged: rules(8, c.change)})
		w := r.module.Window(r.now).Tenants[0]
		if w.Committed != 7 || !strings.HasPrefix(w.RejectReason, c.rejected) || (w.RejectReason == "") != (c.rejected == "") ||
			(w.Staged == 8 && w.Digest == "d8") != (c.rejected == "") {
			t.Errorf("want rejection %q, got %+v", c.rejected, w)
		}
	}
	r.run(100*time.Millisecond, 0, "")
	r.module.Window(r.now)
	r.delay = func(id policy.ServerID) (time.Duration, policy.OutcomeCode) {
		if id%2 == 1 {
			return time.Hour, policy.TimedOut // silent; the client's two seconds are not over yet
		}
		return 50 * time.Millisecond, []policy.OutcomeCode{policy.OK, policy.Rejected, policy.ServerError}[id%3]
	}
	r.reset()
	r.run(600*time.Millisecond, 100, "priority")
	r.submit("x", "priority")
	r.run(500*time.Millisecond, 0, "")
	a, b := r.sentTo()
	w := r.module.Window(r.now)
	open := 0
	for id := range r.attempts {
		if string(id) == fmt.Sprint("priority", r.lastID) && !r.answered[id] {
			open++
		}
	}
	if got := w.Tenants[0]; got.Open != open || got.Admitted != 1 {
		t.Errorf("%d of the tenant's requests are open: %+v", open, got)
	}
	if i := slices.IndexFunc(w.Zones, func(z policy.ZoneWindow) bool { return z.Zone == "a" }); i != 0 || len(w.Zones) != 2 {
		t.Fatalf("zones: %+v", w.Zones)
	}
	if z := w.Zones[0]; z.Started != a || z.Attempts != z.Lost || z.Lost < 5 || z.Servers != z.LostServers || z.Listed != 29 {
		t.Errorf("the silent zone, sent %d: %+v", a, z)
	}
	if z := w.Zones[1]; z.Started != b || z.Attempts < b/2 || z.Lost != 0 || z.Answered == 0 || z.Answered == z.Attempts || z.Rate <= 0 {
		t.Errorf("the other zone, sent %d: %+v", b, z)
	}
	if z := r.module.Window(r.now).Zones[0]; z.Attempts+z.Started > 0 {
		t.Errorf("counted twice: %+v", z)
	}
	var keys []string
	text := map[string]string{}
	for _, f := range r.module.Applied() {
		raw, err := json.Marshal(f.Value)
		if err != nil {
			t.Fatal(err)
		}
		keys = append(keys, f.Key)
		text[f.Key] = string(raw)
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

// A node that sends little loses attempts one by one: a loss is notified with another of the last second.
func TestSparseLossesAreRelated(t *testing.T) {
	r := zonesHarness(t, 30)
	r.run(time.Second, 0, "")
	r.module.Window(r.now)
	r.delay = func(id policy.ServerID) (time.Duration, policy.OutcomeCode) {
		if id%2 == 1 {
			return time.Millisecond, policy.Reset
		}
		return 20 * time.Millisecond, policy.OK
	}
	maximum, lost := 0, 0
	for range 12 {
		r.lastID++
		r.feed(policy.RequestArrived{ID: policy.RequestID(fmt.Sprint("unsafe", r.lastID)), Class: "unsafe", Timeout: time.Second})
		r.run(250*time.Millisecond, 0, "")
		for _, z := range r.module.Window(r.now).Zones {
			if lost += z.Lost; z.Zone == "a" {
				maximum = max(maximum, z.LostServers)
			}
			if z.Lost+z.Answered > z.Attempts || z.LostServers > z.Lost || z.Servers > z.Attempts || z.Zone == "b" && z.Lost > 0 {
				t.Errorf("%+v", z)
			}
		}
	}
	a, _ := r.sentTo()
	if maximum != 2 || a < 4 || lost > 2*a {
		t.Errorf("%d servers in one window at most, of %d attempts lost, notified as %d", maximum, a, lost)
	}
	r.run(2*time.Second, 0, "")
	if z := r.module.Window(r.now).Zones[0]; z.Lost > 0 {
		t.Errorf("long after: %+v", z)
	}
}
