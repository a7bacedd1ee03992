package policy_test

// This file tests the control plane's directives on zones, at one module and at many.

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"meadowsill/policy"
)

// TestFleetBlockAloneChangesNothing checks that Settings.Fleet changes no action while no fleet event arrives. It replays
// recorded events to a module with the setting and to one without.
func TestFleetBlockAloneChangesNothing(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		w := newWorld(seed)
		w.capacity = testRate / 3
		w.run(6*time.Second, testRate, false)
		plain, withFleet := policy.New(w.settings, seed), w.settings
		withFleet.Fleet = true
		fleet := policy.New(withFleet, seed)
		for i, e := range w.events {
			if i%50 == 0 {
				fleet.Window(w.times[i])
				fleet.Applied()
			}
			want, got := fmt.Sprintf("%#v", plain.Handle(w.times[i], e)), fmt.Sprintf("%#v", fleet.Handle(w.times[i], e))
			if want != got {
				t.Fatalf("seed %d, event %d, %#v: actions %s without Settings.Fleet, %s with it", seed, i, e, want, got)
			}
		}
	}
}

// zonesHarness returns a harness with 30 servers in each of two zones. Servers with odd ids are in zone a, which is the
// node's own. With 30 nodes the node uses 16 of the servers, with three nodes it uses all.
func zonesHarness(t *testing.T, nodes int) *harness {
	s := harnessSettings()
	s.Fleet = true
	s.Zone = "a"
	s.Zones = []string{"a", "b"}
	s.Nodes = nodes
	h := newHarness(t, s, 0)
	list := policy.EndpointUpdate{Kind: policy.EndpointsComplete}
	for i := range 60 {
		list.Servers = append(list.Servers, policy.Server{ID: policy.ServerID(i + 1), Zone: []string{"b", "a"}[(i+1)%2],
			Name: fmt.Sprint("s", i+1)})
	}
	h.feed(list)
	h.run(5*time.Second, 30, "priority")
	h.reset()
	return h
}

// sentTo returns the number of attempts sent to servers of zone a, and to other servers.
func (h *harness) sentTo() (a, other int) {
	for id, n := range h.sent {
		if id%2 == 1 {
			a += n
		} else {
			other += n
		}
	}
	return a, other
}

// TestZoneDirectiveExpires checks directives that arrive in order, late, twice, out of order or malformed, and directives
// that are older than their validity.
func TestZoneDirectiveExpires(t *testing.T) {
	const valid = time.Minute
	directive := func(rev uint64, share, floor float64, age time.Duration) policy.ZoneDirective {
		return policy.ZoneDirective{Zone: "a", Revision: rev, Share: share, Floor: floor, Age: age, ValidFor: valid}
	}
	withdrawn := policy.ZoneDirective{Zone: "a", Revision: 9, Serving: true}
	fullShare := policy.ZoneDirective{Zone: "a", Revision: 5, IntentRevision: 12, Share: 1, ValidFor: valid}
	for name, c := range map[string]struct {
		events []policy.Event
		idle   time.Duration
		want   float64 // fraction of the zone's ordinary attempts
	}{
		"left":                                {events: []policy.Event{directive(5, 0, 0, 0)}, want: 0},
		"half":                                {events: []policy.Event{directive(5, 0.5, 0, 0)}, want: 0.5},
		"expired, with a floor":               {events: []policy.Event{directive(5, 1, 0.25, 0)}, idle: time.Minute, want: 0.25},
		"expired, without a floor":            {events: []policy.Event{directive(5, 1, 0, 0)}, idle: time.Minute, want: 0},
		"expired at its delivery":             {events: []policy.Event{directive(5, 1, 0, 61*time.Second)}, want: 0},
		"age at delivery counts":              {events: []policy.Event{directive(5, 1, 0, 31*time.Second)}, idle: 30 * time.Second, want: 0},
		"twice, the second with a higher age": {events: []policy.Event{directive(5, 1, 0, 0), directive(5, 1, 0, 61*time.Second)}, want: 1},
		"older directive after a newer one":   {events: []policy.Event{directive(6, 0, 0, 0), directive(5, 1, 1, 0)}, want: 0},
		"directive after its withdrawal":      {events: []policy.Event{directive(5, 0, 0, 0), withdrawn, directive(5, 0, 0, 0)}, want: 1},
		"older item of a newer intent":        {events: []policy.Event{directive(9, 0, 0, 0), fullShare}, want: 1},
		"floor above the share":               {events: []policy.Event{directive(5, 0, 1, 0)}, idle: time.Minute, want: 0},
		"malformed":                           {events: []policy.Event{directive(5, math.NaN(), 0, 0), directive(6, -1, 0, 0), directive(7, 2, 0, 0)}, want: 1},
		"directive on another zone":           {events: []policy.Event{policy.ZoneDirective{Zone: "c", Revision: 5, ValidFor: valid}}, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := zonesHarness(t, 3)
			h.run(10*time.Second, 250, "priority")
			h.reset()
			h.run(4*time.Second, 250, "priority")
			before, otherBefore := h.sentTo()
			for _, e := range c.events {
				h.feed(e)
			}
			h.run(c.idle+time.Second, 0, "")
			h.reset()
			h.run(4*time.Second, 250, "priority")
			a, other := h.sentTo()
			part := float64(a) / float64(a+other) / (float64(before) / float64(before+otherBefore))
			if math.Abs(part-c.want) > 0.1*c.want || h.rejected > 5 {
				t.Errorf("the zone got %.2f of its ordinary attempts, want %.2f; %d requests rejected", part, c.want, h.rejected)
			}
		})
	}
}

// TestEvacuatedZoneGetsNothing checks a zone that fails and is evacuated. Nothing is sent to the zone any more, neither
// retries nor trial requests. Attempts in flight there are retried elsewhere where that is safe, within the retry budget.
// Servers of other zones replace the zone's servers in the subset, which grows no larger. The zone returns by idempotent
// requests within the rate, and does so again after a second evacuation.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	h := zonesHarness(t, 30)
	answer := h.delay
	h.delay = func(id policy.ServerID) (time.Duration, policy.OutcomeCode) {
		if id%2 == 1 {
			return time.Hour, policy.TimedOut
		}
		return 50 * time.Millisecond, policy.OK
	}
	for range 10 {
		h.run(20*time.Millisecond, 300, "priority")
		h.run(20*time.Millisecond, 100, "unsafe")
	}
	h.reset()
	for revision := uint64(1); revision < 9; revision += 4 {
		h.feed(policy.ZoneDirective{Zone: "a", Revision: revision, ValidFor: time.Hour})
		h.run(60*time.Millisecond, 0, "")
		if a, b := h.sentTo(); revision == 1 && (a > 0 || b < 3 || b > 10 || h.rejected+h.failed > 0) {
			t.Errorf("at the evacuation: %d attempts to the zone, want 0; %d to other zones, want 3 to 10; %d requests rejected, %d failed", a, b, h.rejected, h.failed)
		}
		h.run(30*time.Second, 30, "priority")
		if a, other := h.sentTo(); a > 0 || other < 880 || len(h.sent) < 14 || len(h.sent) > 24 {
			t.Errorf("%d attempts to the evacuated zone, %d to other zones, on %d servers", a, other, len(h.sent))
		}
		h.delay = answer
		h.reset()
		h.feed(policy.ZoneDirective{Zone: "a", Revision: revision + 1, Rate: 0.2, Trial: true, ValidFor: time.Hour})
		h.run(5*time.Second, 30, "priority")
		tried, _ := h.sentTo()
		h.run(5*time.Second, 30, "unsafe")
		if a, _ := h.sentTo(); a > tried || a < 13 || a > 16*2 {
			t.Errorf("%d idempotent requests went to the zone in 5 s at a rate of 0.2/s for each of 16 servers, then %d unsafe ones, want 0",
				tried, a-tried)
		}
		h.feed(policy.ZoneDirective{Zone: "a", Revision: revision + 2, Serving: true})
		h.run(15*time.Second, 30, "priority")
		h.reset()
		h.run(5*time.Second, 30, "priority")
		if a, _ := h.sentTo(); a < 80 {
			t.Errorf("%d of 150 attempts went to the zone after it returned to service, want at least 80", a)
		}
		h.reset()
	}
}

// TestRulesUnderRandomFleetEvents adds random directives and tenant updates to the world's other events. The rules on
// forwarding must hold: nothing is sent to a zone that is evacuated or only gets trial requests from other nodes, nor for
// a tenant without a committed generation.
func TestRulesUnderRandomFleetEvents(t *testing.T) {
	for seed := int64(1); seed <= 30; seed++ {
		w := newWorld(seed)
		w.settings.Fleet, w.settings.Tenants = true, []policy.Tenant{{Name: "a", Quota: 10}, {Name: "b", Quota: 100}}
		w.start()
		applied := map[string]policy.ZoneDirective{}
		issuedAt := map[string]time.Duration{}
		accepted := true
		w.capacity = testRate / 3
		w.mutate = func(w *world, actions []policy.Action) []policy.Action {
			for _, a := range actions {
				s, ok := a.(policy.Forward)
				if !ok {
					continue
				}
				d, q := applied[w.servers[s.Server].Zone], w.requests[s.ID]
				current := w.now-issuedAt[d.Zone] <= d.ValidFor
				if trial := current && d.Trial && q.class.Idempotency == policy.Idempotent && len(q.attempts) == 0; d.Zone != "" &&
					!d.Serving && !trial && (current && d.Share == 0 || !current && d.Floor == 0) {
					w.violate("sent to evacuated zone %s: %+v", d.Zone, d)
				}
				if e, ok := w.events[len(w.events)-1].(policy.RequestArrived); ok && e.Tenant == "b" && !accepted {
					w.violate("sent for a tenant that accepts no requests")
				}
			}
			return actions
		}
		for i := range 160 {
			d := policy.ZoneDirective{Zone: fmt.Sprint("z", w.random.Intn(2)), Revision: uint64(1 + i - w.random.Intn(5)%(i+1)), Serving: w.random.Intn(4) == 0,
				Share: []float64{0, 0, 0.5, 1}[w.random.Intn(4)], Rate: float64(w.random.Intn(3)) / 2, Trial: w.random.Intn(3) == 0,
				Age: time.Duration(w.random.Intn(500)) * time.Millisecond, ValidFor: time.Duration(w.random.Intn(2000)) * time.Millisecond}
			if last, ok := applied[d.Zone]; !ok || d.Revision > last.Revision {
				applied[d.Zone], issuedAt[d.Zone] = d, w.now-d.Age
				w.handle(d)
				w.handle(d) // a repetition has no effect
			} else if d.Revision < last.Revision {
				w.handle(d) // an older directive has no effect
			}
			if i%9 == 8 {
				e := policy.TenantUpdate{Name: "b", UID: uint64(i), Revision: uint64(i), Removing: i%2 == 0, Committed: rules(uint64(i), nil)}
				accepted = !e.Removing
				w.handle(e)
			}
			w.run(50*time.Millisecond, testRate, false)
		}
		w.run(12*time.Second, 0, false)
		if len(w.violations) > 0 || len(w.sentAt) == 0 {
			t.Fatalf("seed %d: %d violations, the first: %s", seed, len(w.violations), w.violations[:min(1, len(w.violations))])
		}
	}
}

// TestZoneReturnStaysUnderTheSlowStartRule guards against an overload of a returning zone by the sum of what all nodes send to
// a server. The nodes receive the directives late or never, have two overlapping ones, or are idle before a burst of requests.
// With 300 nodes a node's part of the budget is a fraction of a request.
func TestZoneReturnStaysUnderTheSlowStartRule(t *testing.T) {
	const zones, window = 3, time.Second
	for _, c := range []struct{ nodes, servers int }{{30, 12}, {300, 168}} {
		s := harnessSettings()
		s.Fleet = true
		s.Nodes = c.nodes
		s.Zones = []string{"z0", "z1", "z2"}
		list := policy.EndpointUpdate{Kind: policy.EndpointsCached}
		for i := range c.servers {
			list.Servers = append(list.Servers, policy.Server{ID: policy.ServerID(i + 1), Zone: s.Zones[i%zones]})
		}
		budget := 20.0 // requests/s per server
		var modules []*policy.Module
		for i := range c.nodes {
			s.NodeIndex, s.Zone = i, s.Zones[i%zones]
			modules = append(modules, policy.New(s, int64(i)))
			modules[i].Handle(time.Hour, list)
			modules[i].Handle(time.Hour, policy.ZoneDirective{Zone: "z0", Revision: 1, ValidFor: time.Hour})
		}
		sent := map[policy.ServerID][]time.Duration{}
		id := 0
		total := 0
		due := map[int][]policy.Event{}
		for step := range 12 * 40 {
			now := time.Hour + time.Duration(step)*25*time.Millisecond
			for i, m := range modules {
				receivedStep := step - i%40 // directives arrive up to a second late
				for k, share := range []float64{0.1, 0.5, 1} {
					if receivedStep == 40+k*120 && i%7 != 3*(k%2) {
						m.Handle(now, policy.ZoneDirective{Zone: "z0", Revision: uint64(2 + k), Share: share, Floor: share / 2,
							Rate: budget / float64(c.nodes), ValidFor: 2 * time.Second})
					}
				}
				if step%4 == 0 {
					m.Handle(now, policy.TimerFired{})
				}
				for _, e := range due[step*c.nodes+i] {
					m.Handle(now, e)
				}
				delete(due, step*c.nodes+i)
				for range 4 { // a burst of one second every three seconds, nothing at other times
					if step%120 >= 40 {
						break
					}
					id++
					for _, a := range m.Handle(now, policy.RequestArrived{ID: policy.RequestID(fmt.Sprint(id)), Class: "priority",
						Timeout: time.Second}) {
						if a, ok := a.(policy.Forward); ok {
							if int(a.Server-1)%zones == 0 {
								sent[a.Server] = append(sent[a.Server], now)
								total++
							}
							at := (step+1)*c.nodes + i
							due[at] = append(due[at], policy.AttemptEnded{ID: a.ID, Server: a.Server, Answered: true,
								Elapsed: 20 * time.Millisecond})
						}
					}
				}
			}
		}
		n := budget * window.Seconds()
		limit, maximum := n+3*math.Sqrt(n)+3, 0
		for _, times := range sent {
			for i, at := range times {
				first, _ := slices.BinarySearch(times, at-window+1)
				maximum = max(maximum, i-first+1)
			}
		}
		if float64(maximum) > limit || total < c.servers*10/zones {
			t.Errorf("%d nodes: a server got %d requests in %v, want at most %.0f; %d requests in total", c.nodes, maximum, window, limit, total)
		}
		t.Logf("%d nodes: at most %d requests to a server, limit %.0f, in %v; %d requests in total", c.nodes, maximum, limit, window, total)
	}
}
