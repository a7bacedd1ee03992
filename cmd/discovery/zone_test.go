package main

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"meadowsill/internal/fleet"
)

// TestZoneLostWithTheLeader loses a zone and the raft leader at once. Every agent must receive a directive for that zone only. When
// the zone answers again, it must pass through the phases in order, and its traffic must return by increasing shares until there
// is no directive.
func TestZoneLostWithTheLeader(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 10, "[cold]\ntime_ms = 1000")
	var lost atomic.Bool
	for _, n := range f.nodes {
		n.With(func() { n.Counts = n.World("zb", &lost) })
	}
	f.awaitSessions()
	time.Sleep(2 * time.Second) // let the healthy fleet report for 2 s, so that the zones' rates are established
	for _, n := range f.nodes {
		if d, ok := n.Directive("zone/zb"); ok {
			t.Fatalf("%s received directive %+v for the healthy zone zb", n.Name, d)
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
	f.until("every node to receive the evacuation of zb", func() bool {
		for _, n := range f.nodes {
			if d, ok := n.Directive("zone/zb"); !ok || d.Share != 0 {
				return false
			}
		}
		return true
	})
	t.Logf("zb evacuated on 10 nodes %v after the loss, with a failover", time.Since(start))
	lost.Store(false)
	start = time.Now()
	f.until("zb to be served again on every node", func() bool {
		for _, n := range f.nodes {
			if _, ok := n.Directive("zone/zb"); ok {
				return false
			}
		}
		return true
	})
	t.Logf("zb back on 10 nodes after %v, by shares %v", time.Since(start), steps)
	watching.With(func() {
		if want := []string{fleet.Evacuated, fleet.Probation, fleet.Recovering}; !slices.Equal(phases, want) {
			t.Errorf("unexpected phases %v", phases)
		}
		if len(steps) < 3 || !slices.IsSorted(steps) {
			t.Errorf("traffic returned by shares %v", steps)
		}
	})
	for _, n := range f.nodes {
		for _, z := range []string{"zone/za", "zone/zc"} {
			if d, ok := n.Directive(z); ok {
				t.Errorf("%s received directive %+v for the healthy zone %s", n.Name, d, z)
			}
		}
	}
}
