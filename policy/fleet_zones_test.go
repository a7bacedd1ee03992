package policy_test

// The fleet's directives on zones, at one module and at many.

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"meadowsill/policy"
)

// Without items a fleet block changes no action: recorded events are simulated to a module with it and one without.
func TestFleetBlockAloneChangesNothing(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		w := newWorld(seed)
		w.capacity = testRate / 3
		w.run(6*time.Second, testRate, false)
		plain, set := policy.New(w.settings, seed), w.settings
		set.Fleet = true
		fleet := policy.New(set, seed)
		for i, e := range w.events {
			if i%50 == 0 {
				fleet.Window(w.times[i])
				fleet.Applied()
			}
			want, got := fmt.Sprintf("%#v", plain.Handle(w.times[i], e)), fmt.Sprintf("%#v", fleet.Handle(w.times[i], e))
			if want != got {
				t.Fatalf("seed %d, event %d, %#v: %s without the block, %s with it", seed, i, e, want, got)
			}
		}
	}
}

// zonesHarness has 30 servers in each of two zones; odd ids are in zone a, which is the node's. One of 30 nodes uses 16 of
// them, one of three uses all.
func zonesHarness(t *testing.T, nodes int) *harness {
	s := harnessSettings()
	s.Fleet = true
	s.Zone = "a"
	s.Zones = []string{"a", "b"}
	s.Nodes = nodes
	r := newHarness(t, s, 0)
	l := policy.EndpointUpdate{Kind: policy.EndpointsComplete}
	for i := range 60 {
		l.Servers = append(l.Servers, policy.Server{ID: policy.ServerID(i + 1), Zone: []string{"b", "a"}[(i+1)%2],
			Name: fmt.Sprint("s", i+1)})
	}
	r.feed(l)
	r.run(5*time.Second, 30, "priority")
	r.reset()
	return r
}

// sentTo returns the requests sent to servers of zone a, and to others.
func (r *harness) sentTo() (a, other int) {
	for id, n := range r.sent {
		if id%2 == 1 {
			a += n
		} else {
			other += n
		}
	}
	return a, other
}

// TestZoneDirectiveExpires has directives come complete, late, twice, out of order, malformed and age beyond their validity.
func TestZoneDirectiveExpires(t *testing.T) {
	const valid = time.Minute
	notified := func(rev uint64, share, floor float64, age time.Duration) policy.ZoneDirective {
		return policy.ZoneDirective{Zone: "a", Revision: rev, Share: share, Floor: floor, Age: age, ValidFor: valid}
	}
	ended := policy.ZoneDirective{Zone: "a", Revision: 9, Serving: true}
	open := policy.ZoneDirective{Zone: "a", Revision: 5, IntentRevision: 12, Share: 1, ValidFor: valid}
	for name, c := range map[string]struct {
		events []policy.Event
		idle   time.Duration
		want   float64 // of the zone's ordinary part
	}{
		"left":                           {events: []policy.Event{notified(5, 0, 0, 0)}, want: 0},
		"half":                           {events: []policy.Event{notified(5, 0.5, 0, 0)}, want: 0.5},
		"lapsed to its floor":            {events: []policy.Event{notified(5, 1, 0.25, 0)}, idle: time.Minute, want: 0.25},
		"lapsed to no floor":             {events: []policy.Event{notified(5, 1, 0, 0)}, idle: time.Minute, want: 0},
		"lapsed when notified":           {events: []policy.Event{notified(5, 1, 0, 61*time.Second)}, want: 0},
		"its age counts":                 {events: []policy.Event{notified(5, 1, 0, 31*time.Second)}, idle: 30 * time.Second, want: 0},
		"twice, the second older":        {events: []policy.Event{notified(5, 1, 0, 0), notified(5, 1, 0, 61*time.Second)}, want: 1},
		"after its successor":            {events: []policy.Event{notified(6, 0, 0, 0), notified(5, 1, 1, 0)}, want: 0},
		"after its end":                  {events: []policy.Event{notified(5, 0, 0, 0), ended, notified(5, 0, 0, 0)}, want: 1},
		"of an older item, newer intent": {events: []policy.Event{notified(9, 0, 0, 0), open}, want: 1},
		"a floor over its share":         {events: []policy.Event{notified(5, 0, 1, 0)}, idle: time.Minute, want: 0},
		"malformed":                      {events: []policy.Event{notified(5, math.NaN(), 0, 0), notified(6, -1, 0, 0), notified(7, 2, 0, 0)}, want: 1},
		"of another zone":                {events: []policy.Event{policy.ZoneDirective{Zone: "c", Revision: 5, ValidFor: valid}}, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := zonesHarness(t, 3)
			r.run(10*time.Second, 250, "priority")
			r.reset()
			r.run(4*time.Second, 250, "priority")
			before, rest := r.sentTo()
			for _, e := range c.events {
				r.feed(e)
			}
			r.run(c.idle+time.Second, 0, "")
			r.reset()
			r.run(4*time.Second, 250, "priority")
			a, other := r.sentTo()
			part := float64(a) / float64(a+other) / (float64(before) / float64(before+rest))
			if math.Abs(part-c.want) > 0.1*c.want || r.rejected > 5 {
				t.Errorf("%.2f of its ordinary part went to the zone, want %.2f; %d rejected", part, c.want, r.rejected)
			}
		})
	}
}

// A zone that falls and is left: nothing is sent there any more, not as a further attempt or trial either; what is out
// goes elsewhere if it is safe, within the budget; the subset is made up for and not larger. It returns by idempotent requests
// within the rate, and so it does again the next time.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	r := zonesHarness(t, 30)
	answer := r.delay
	r.delay = func(id policy.ServerID) (time.Duration, policy.OutcomeCode) {
		if id%2 == 1 {
			return time.Hour, policy.TimedOut
		}
		return 50 * time.Millisecond, policy.OK
	}
	for range 10 {
		r.run(20*time.Millisecond, 300, "priority")
		r.run(20*time.Millisecond, 100, "unsafe")
	}
	r.reset()
	for revision := uint64(1); revision < 9; revision += 4 {
		r.feed(policy.ZoneDirective{Zone: "a", Revision: revision, ValidFor: time.Hour})
		r.run(60*time.Millisecond, 0, "")
		if a, b := r.sentTo(); revision == 1 && (a > 0 || b < 3 || b > 10 || r.rejected+r.failed > 0) {
			t.Errorf("%d attempts there, %d elsewhere as it was left, want 3 to 10; %d rejected, %d failed", a, b, r.rejected, r.failed)
		}
		r.run(30*time.Second, 30, "priority")
		if a, other := r.sentTo(); a > 0 || other < 880 || len(r.sent) < 14 || len(r.sent) > 24 {
			t.Errorf("%d sent to the left zone, %d elsewhere, to %d servers", a, other, len(r.sent))
		}
		r.delay = answer
		r.reset()
		r.feed(policy.ZoneDirective{Zone: "a", Revision: revision + 1, Rate: 0.2, Trial: true, ValidFor: time.Hour})
		r.run(5*time.Second, 30, "priority")
		tried, _ := r.sentTo()
		r.run(5*time.Second, 30, "unsafe")
		if a, _ := r.sentTo(); a > tried || a < 13 || a > 16*2 {
			t.Errorf("%d idempotent requests tried the zone in 5 s at a rate of 0.2/s to each of 16, then %d unsafe ones", tried, a-tried)
		}
		r.feed(policy.ZoneDirective{Zone: "a", Revision: revision + 2, Serving: true})
		r.run(15*time.Second, 30, "priority")
		r.reset()
		r.run(5*time.Second, 30, "priority")
		if a, _ := r.sentTo(); a < 80 {
			t.Errorf("%d of 150 sent to the zone once it serves", a)
		}
		r.reset()
	}
}

// Random directives and tenants among all else that a world does: rules on sending hold, nothing goes to a zone that is
// left or tried by others, nor under a tenant that none has committed.
func TestRulesUnderRandomFleetEvents(t *testing.T) {
	for seed := int64(1); seed <= 30; seed++ {
		w := newWorld(seed)
		w.settings.Fleet, w.settings.Tenants = true, []policy.Tenant{{Name: "a", Quota: 10}, {Name: "b", Quota: 100}}
		w.start()
		applied := map[string]policy.ZoneDirective{}
		born := map[string]time.Duration{}
		served := true
		w.capacity = testRate / 3
		w.mutate = func(w *world, out []policy.Action) []policy.Action {
			for _, a := range out {
				s, ok := a.(policy.Forward)
				if !ok {
					continue
				}
				d, q := applied[w.servers[s.Server].Zone], w.requests[s.ID]
				fresh := w.now-born[d.Zone] <= d.ValidFor
				if trial := fresh && d.Trial && q.class.Idempotency == policy.Idempotent && len(q.attempts) == 0; d.Zone != "" &&
					!d.Serving && !trial && (fresh && d.Share == 0 || !fresh && d.Floor == 0) {
					w.violate("sent to zone %s: %+v", d.Zone, d)
				}
				if e, ok := w.events[len(w.events)-1].(policy.RequestArrived); ok && e.Tenant == "b" && !served {
					w.violate("sent for a tenant that is not committed")
				}
			}
			return out
		}
		for i := range 160 {
			d := policy.ZoneDirective{Zone: fmt.Sprint("z", w.random.Intn(2)), Revision: uint64(1 + i - w.random.Intn(5)%(i+1)), Serving: w.random.Intn(4) == 0,
				Share: []float64{0, 0, 0.5, 1}[w.random.Intn(4)], Rate: float64(w.random.Intn(3)) / 2, Trial: w.random.Intn(3) == 0,
				Age: time.Duration(w.random.Intn(500)) * time.Millisecond, ValidFor: time.Duration(w.random.Intn(2000)) * time.Millisecond}
			if last, ok := applied[d.Zone]; !ok || d.Revision > last.Revision {
				applied[d.Zone], born[d.Zone] = d, w.now-d.Age
				w.handle(d)
				w.handle(d) // twice
			} else if d.Revision < last.Revision {
				w.handle(d) // late: no effect
			}
			if i%9 == 8 {
				e := policy.TenantUpdate{Name: "b", UID: uint64(i), Revision: uint64(i), Removing: i%2 == 0, Committed: rules(uint64(i), nil)}
				served = !e.Removing
				w.handle(e)
			}
			w.run(50*time.Millisecond, testRate, false)
		}
		w.run(12*time.Second, 0, false)
		if len(w.violations) > 0 || len(w.sends) == 0 {
			t.Fatalf("seed %d: %d faults, the first: %s", seed, len(w.violations), w.violations[:min(1, len(w.violations))])
		}
	}
}

// All nodes together stay under the slow-start rule at each server of a returning zone, however they are notified of it: late, never, of
// two overlapping directives, idle before a rush. 300 nodes have shares that are parts of a request.
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
		budget := 20.0 // requests/s of one server
		var all []*policy.Module
		for i := range c.nodes {
			s.NodeIndex, s.Zone = i, s.Zones[i%zones]
			all = append(all, policy.New(s, int64(i)))
			all[i].Handle(time.Hour, list)
			all[i].Handle(time.Hour, policy.ZoneDirective{Zone: "z0", Revision: 1, ValidFor: time.Hour})
		}
		sent := map[policy.ServerID][]time.Duration{}
		id := 0
		total := 0
		due := map[int][]policy.Event{}
		for step := range 12 * 40 {
			now := time.Hour + time.Duration(step)*25*time.Millisecond
			for i, m := range all {
				hears := step - i%40 // up to a second late
				for k, share := range []float64{0.1, 0.5, 1} {
					if hears == 40+k*120 && i%7 != 3*(k%2) {
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
				for range 4 { // a rush of a second every three, at other times nothing
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
			t.Errorf("%d nodes: a server got %d requests in %v, %.0f at most; %d in all", c.nodes, maximum, window, limit, total)
		}
		t.Logf("%d nodes: at most %d of %.0f in %v; %d in all", c.nodes, maximum, limit, window, total)
	}
}
