package decide_test

// The fleet's directives on zones, at one module and at many.

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"starlingvalve/decide"
)

// Without facts a fleet block changes no action: recorded events are played to a module with it and one without.
func TestFleetBlockAloneChangesNothing(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		w := newWorld(seed)
		w.capacity = testRate / 3
		w.run(6*time.Second, testRate, false)
		plain, set := decide.New(w.set, seed), w.set
		set.Fleet = true
		fleet := decide.New(set, seed)
		for i, e := range w.events {
			if i%50 == 0 {
				fleet.Window(w.times[i])
				fleet.Holds()
			}
			want, got := fmt.Sprintf("%#v", plain.Handle(w.times[i], e)), fmt.Sprintf("%#v", fleet.Handle(w.times[i], e))
			if want != got {
				t.Fatalf("seed %d, event %d, %#v: %s without the block, %s with it", seed, i, e, want, got)
			}
		}
	}
}

// zonesRig has six servers in each of two zones; odd ids are in zone a, which is the node's.
func zonesRig(t *testing.T) *rig {
	s := rigSettings()
	s.Fleet, s.Zone, s.Zones, s.Nodes = true, "a", []string{"a", "b"}, 3
	r := newRig(t, s, 0)
	l := decide.ListUpdate{Kind: decide.ListFull}
	for i := range 12 {
		l.Entries = append(l.Entries, decide.Server{ID: decide.ServerID(i + 1), Zone: []string{"b", "a"}[(i+1)%2],
			Name: fmt.Sprint("s", i+1)})
	}
	r.feed(l)
	r.run(5*time.Second, 50, "dear")
	r.reset()
	return r
}

// sentTo gives the requests sent to servers of zone a, and to others.
func (r *rig) sentTo() (a, other int) {
	for id, n := range r.sent {
		if id%2 == 1 {
			a += n
		} else {
			other += n
		}
	}
	return a, other
}

// TestZoneDirectiveLapses has directives come whole, late, twice, out of order, malformed and age beyond their validity.
func TestZoneDirectiveLapses(t *testing.T) {
	const valid = time.Minute
	told := func(rev uint64, share, floor float64, age time.Duration) decide.ZoneTold {
		return decide.ZoneTold{Zone: "a", Revision: rev, Share: share, Floor: floor, Age: age, Valid: valid}
	}
	ended := decide.ZoneTold{Zone: "a", Revision: 9, Serving: true}
	open := decide.ZoneTold{Zone: "a", Revision: 5, Intent: 12, Share: 1, Valid: valid}
	for name, c := range map[string]struct {
		facts []decide.Event
		wait  time.Duration
		want  float64 // of the zone's ordinary part
	}{
		"left":                           {facts: []decide.Event{told(5, 0, 0, 0)}, want: 0},
		"half":                           {facts: []decide.Event{told(5, 0.5, 0, 0)}, want: 0.5},
		"lapsed to its floor":            {facts: []decide.Event{told(5, 1, 0.25, 0)}, wait: time.Minute, want: 0.25},
		"lapsed to no floor":             {facts: []decide.Event{told(5, 1, 0, 0)}, wait: time.Minute, want: 0},
		"lapsed when told":               {facts: []decide.Event{told(5, 1, 0, 61*time.Second)}, want: 0},
		"its age counts":                 {facts: []decide.Event{told(5, 1, 0, 31*time.Second)}, wait: 30 * time.Second, want: 0},
		"twice, the second older":        {facts: []decide.Event{told(5, 1, 0, 0), told(5, 1, 0, 61*time.Second)}, want: 1},
		"after its successor":            {facts: []decide.Event{told(6, 0, 0, 0), told(5, 1, 1, 0)}, want: 0},
		"after its end":                  {facts: []decide.Event{told(5, 0, 0, 0), ended, told(5, 0, 0, 0)}, want: 1},
		"of an older item, newer intent": {facts: []decide.Event{told(9, 0, 0, 0), open}, want: 1},
		"a floor over its share":         {facts: []decide.Event{told(5, 0, 1, 0)}, wait: time.Minute, want: 0},
		"malformed":                      {facts: []decide.Event{told(5, math.NaN(), 0, 0), told(6, -1, 0, 0), told(7, 2, 0, 0)}, want: 1},
		"of another zone":                {facts: []decide.Event{decide.ZoneTold{Zone: "c", Revision: 5, Valid: valid}}, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := zonesRig(t)
			r.run(10*time.Second, 50, "dear")
			before, rest := r.sentTo()
			for _, e := range c.facts {
				r.feed(e)
			}
			r.run(c.wait+time.Second, 0, "")
			r.reset()
			r.run(20*time.Second, 100, "dear")
			a, other := r.sentTo()
			part := float64(a) / float64(a+other) / (float64(before) / float64(before+rest))
			if math.Abs(part-c.want) > 0.15*c.want || r.refused > 5 {
				t.Errorf("%.2f of its ordinary part went to the zone, want %.2f; %d refused", part, c.want, r.refused)
			}
		})
	}
}

// A zone that falls and is left: nothing is sent there any more, not as a further attempt or trial either; what is out
// goes elsewhere if it is safe, within the budget; the subset is made up for and not larger.
func TestLeftZoneIsLeft(t *testing.T) {
	r := zonesRig(t)
	r.run(5*time.Second, 50, "dear")
	near := len(r.sent)
	r.delay = func(id decide.ServerID) (time.Duration, decide.OutcomeCode) {
		if id%2 == 1 {
			return time.Hour, decide.TimedOut
		}
		return 50 * time.Millisecond, decide.OK
	}
	r.run(100*time.Millisecond, 100, "dear")
	r.run(100*time.Millisecond, 100, "once")
	r.reset()
	r.feed(decide.ZoneTold{Zone: "a", Revision: 1, Valid: time.Hour})
	r.run(20*time.Millisecond, 0, "")
	moved := 0
	for id, n := range r.legs {
		if n > 1 {
			moved++
			if string(id[:4]) == "once" {
				t.Errorf("%s was sent %d times", id, n)
			}
		}
	}
	if moved == 0 || moved > 10 {
		t.Errorf("%d open requests went elsewhere, want some, and 10 at most", moved)
	}
	r.run(40*time.Second, 50, "dear")
	if a, other := r.sentTo(); a > 0 || other < 1950 || len(r.sent) > near {
		t.Errorf("%d sent to the left zone, %d elsewhere, to %d servers; %d before", a, other, len(r.sent), near)
	}
	// The trial is for safe requests, within the rate; then a step, then all.
	r.delay = func(decide.ServerID) (time.Duration, decide.OutcomeCode) { return 50 * time.Millisecond, decide.OK }
	r.reset()
	r.feed(decide.ZoneTold{Zone: "a", Revision: 2, Rate: 1, Trial: true, Valid: time.Hour})
	r.run(5*time.Second, 50, "once")
	if a, _ := r.sentTo(); a > 0 {
		t.Errorf("%d unsafe requests tried the zone", a)
	}
	r.run(5*time.Second, 50, "dear")
	if a, _ := r.sentTo(); a < 10 || a > 36 {
		t.Errorf("%d safe requests tried the zone in 5 s at a rate of 1/s to each of 6", a)
	}
	r.feed(decide.ZoneTold{Zone: "a", Revision: 3, Serving: true})
	r.run(15*time.Second, 50, "dear")
	r.reset()
	r.run(5*time.Second, 50, "dear")
	if a, _ := r.sentTo(); a < 100 {
		t.Errorf("%d of 250 sent to the zone once it serves", a)
	}
}

// All nodes together stay under the cold rule at each server of a returning zone, however they hear of it: late, never, of
// two overlapping directives, idle before a rush. 300 nodes have shares that are parts of a request.
func TestReturnStaysUnderTheColdRule(t *testing.T) {
	const zones, window = 3, time.Second
	for _, c := range []struct{ nodes, servers int }{{30, 12}, {300, 48}} {
		s := rigSettings()
		s.Fleet, s.Nodes, s.Zones = true, c.nodes, []string{"z0", "z1", "z2"}
		list := decide.ListUpdate{Kind: decide.ListCached}
		for i := range c.servers {
			list.Entries = append(list.Entries, decide.Server{ID: decide.ServerID(i + 1), Zone: s.Zones[i%zones]})
		}
		budget := 20.0 // requests/s of one server
		var all []*decide.Module
		for i := range c.nodes {
			s.Self, s.Zone = i, s.Zones[i%zones]
			all = append(all, decide.New(s, int64(i)))
			all[i].Handle(time.Hour, list)
			all[i].Handle(time.Hour, decide.ZoneTold{Zone: "z0", Revision: 1, Valid: time.Hour})
		}
		sent, id, total := map[decide.ServerID][]time.Duration{}, 0, 0
		due := map[int][]decide.Event{}
		for step := range 12 * 40 {
			now := time.Hour + time.Duration(step)*25*time.Millisecond
			for i, m := range all {
				hears := step - i%40 // up to a second late
				for k, share := range []float64{0.1, 0.5, 1} {
					if hears == 40+k*120 && i%7 != 3*(k%2) {
						m.Handle(now, decide.ZoneTold{Zone: "z0", Revision: uint64(2 + k), Share: share, Floor: share / 2,
							Rate: budget / float64(c.nodes), Valid: 2 * time.Second})
					}
				}
				if step%4 == 0 {
					m.Handle(now, decide.TimerFired{})
				}
				for _, e := range due[step*c.nodes+i] {
					m.Handle(now, e)
				}
				delete(due, step*c.nodes+i)
				for range 8 { // a rush of a second every three, at other times nothing
					if step%120 >= 40 {
						break
					}
					id++
					for _, a := range m.Handle(now, decide.RequestArrived{ID: decide.RequestID(fmt.Sprint(id)), Class: "dear",
						Patience: time.Second}) {
						if a, ok := a.(decide.Send); ok {
							if int(a.Server-1)%zones == 0 {
								sent[a.Server] = append(sent[a.Server], now)
								total++
							}
							at := (step+1)*c.nodes + i
							due[at] = append(due[at], decide.AttemptEnded{ID: a.ID, Server: a.Server, Over: true,
								Elapsed: 20 * time.Millisecond})
						}
					}
				}
			}
		}
		n := budget * window.Seconds()
		limit, most := n+3*math.Sqrt(n)+3, 0
		for _, times := range sent {
			for i, at := range times {
				first, _ := slices.BinarySearch(times, at-window+1)
				most = max(most, i-first+1)
			}
		}
		if float64(most) > limit || total < c.servers*10/zones {
			t.Errorf("%d nodes: a server got %d requests in %v, %.0f at most; %d in all", c.nodes, most, window, limit, total)
		}
		t.Logf("%d nodes: at most %d of %.0f in %v; %d in all", c.nodes, most, limit, window, total)
	}
}
