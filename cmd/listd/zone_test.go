package main

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"starlingvalve/internal/fleet"
)

// world makes a node's counts of zones za, zb and zc as a node would: it keeps to the directives, and attempts at zb are lost while
// lost says so.
func (n *played) world(lost *atomic.Bool) func() []fleet.ZoneCount {
	return func() []fleet.ZoneCount {
		var out []fleet.ZoneCount
		for _, z := range []string{"za", "zb", "zc"} {
			tries := 8
			if d, ok := n.directiveLocked("zone/" + z); ok {
				tries = int(d.Share * 8)
				switch {
				case d.Share > 0:
					tries = max(tries, 1)
				case d.Phase == fleet.Probation && slices.Contains(d.Trial, n.name):
					tries = 2
				}
			}
			c := fleet.ZoneCount{Zone: z, Attempts: tries, Servers: min(tries, 4), OK: tries, Listed: 4, Sent: tries, Rate: 20}
			if z == "zb" && lost.Load() {
				c.Lost, c.LostServers, c.OK = c.Attempts, c.Servers, 0
			}
			if tries > 0 {
				out = append(out, c)
			} else {
				out = append(out, fleet.ZoneCount{Zone: z, Listed: 4})
			}
		}
		return out
	}
}

// A zone is lost, and the raft leader with it: every agent hears one directive; when the zone answers again it returns by steps,
// in order, until there is no directive.
func TestZoneLostWithTheLeader(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 10, "[cold]\ntime_ms = 1000")
	var lost atomic.Bool
	for _, n := range f.nodes {
		n.with(func() { n.counts = n.world(&lost) })
	}
	f.present()
	time.Sleep(2 * time.Second) // some seconds of a healthy fleet, so that rates are proved
	for _, n := range f.nodes {
		if d, ok := n.directive("zone/zb"); ok {
			t.Fatalf("%s was told %+v of a zone that is well", n.name, d)
		}
	}
	var steps []float64
	var phases []string
	watching := f.nodes[0]
	watching.with(func() {
		watching.seen = func(it fleet.Item, d fleet.Directive) {
			if it.Key != "zone/zb" {
				return
			}
			if p := d.Phase; !it.Gone && (len(phases) == 0 || phases[len(phases)-1] != p) {
				phases = append(phases, p)
			}
			if d.Phase == fleet.Returning {
				steps = append(steps, d.Share)
			}
		}
	})
	lead := f.leader()
	lost.Store(true)
	start := time.Now()
	f.Kill(lead)
	f.until("every agent to hear that zb is left", func() bool {
		for _, n := range f.nodes {
			if d, ok := n.directive("zone/zb"); !ok || d.Share != 0 {
				return false
			}
		}
		return true
	})
	t.Logf("left on 10 nodes %v after the loss, with a failover", time.Since(start))
	lost.Store(false)
	start = time.Now()
	f.until("zb served again on every node", func() bool {
		for _, n := range f.nodes {
			if _, ok := n.directive("zone/zb"); ok {
				return false
			}
		}
		return true
	})
	t.Logf("back on 10 nodes after %v, by shares %v", time.Since(start), steps)
	watching.with(func() {
		if want := []string{fleet.Left, fleet.Probation, fleet.Returning}; !slices.Equal(phases, want) {
			t.Errorf("phases %v", phases)
		}
		if len(steps) < 3 || !slices.IsSorted(steps) {
			t.Errorf("returned by shares %v", steps)
		}
	})
	for _, n := range f.nodes {
		for _, z := range []string{"zone/za", "zone/zc"} {
			if d, ok := n.directive(z); ok {
				t.Errorf("%s was told %+v of %s", n.name, d, z)
			}
		}
	}
}
