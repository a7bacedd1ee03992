package main

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"meadowsill/internal/fleet"
)

// A zone is lost, and the raft leader with it: every agent hears one directive; when the zone answers again it returns by steps,
// in order, until there is no directive.
func TestZoneLostWithTheLeader(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 10, "[cold]\ntime_ms = 1000")
	var lost atomic.Bool
	for _, n := range f.nodes {
		n.With(func() { n.Counts = n.World("zb", &lost) })
	}
	f.present()
	time.Sleep(2 * time.Second) // some seconds of a healthy fleet, so that rates are proved
	for _, n := range f.nodes {
		if d, ok := n.Directive("zone/zb"); ok {
			t.Fatalf("%s was told %+v of a zone that is well", n.Name, d)
		}
	}
	var steps []float64
	var phases []string
	watching := f.nodes[0]
	watching.With(func() {
		watching.Seen = func(it fleet.Item, d fleet.Directive) {
			if it.Key != "zone/zb" {
				return
			}
			if p := d.Phase; !it.Removed && (len(phases) == 0 || phases[len(phases)-1] != p) {
				phases = append(phases, p)
			}
			if d.Phase == fleet.Recovering {
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
			if d, ok := n.Directive("zone/zb"); !ok || d.Share != 0 {
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
			if _, ok := n.Directive("zone/zb"); ok {
				return false
			}
		}
		return true
	})
	t.Logf("back on 10 nodes after %v, by shares %v", time.Since(start), steps)
	watching.With(func() {
		if want := []string{fleet.Evacuated, fleet.Probation, fleet.Recovering}; !slices.Equal(phases, want) {
			t.Errorf("phases %v", phases)
		}
		if len(steps) < 3 || !slices.IsSorted(steps) {
			t.Errorf("returned by shares %v", steps)
		}
	})
	for _, n := range f.nodes {
		for _, z := range []string{"zone/za", "zone/zc"} {
			if d, ok := n.Directive(z); ok {
				t.Errorf("%s was told %+v of %s", n.Name, d, z)
			}
		}
	}
}
