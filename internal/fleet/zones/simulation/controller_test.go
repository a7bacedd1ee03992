package simulation

import (
	"strings"
	"testing"
	"time"

	"meadowsill/internal/fleet"
	. "meadowsill/internal/fleet/zones"
)

// TestHardCases runs the hard cases that docs/fleet.md names, and checks which zones are evacuated and for which nodes.
func TestHardCases(t *testing.T) {
	for name, scenario := range map[string]func(*testing.T){
		"two zones lost within a second, room for one": func(t *testing.T) {
			w := newCalmWorld(t)
			w.kill("a")
			w.run(600*time.Millisecond, nil)
			w.kill("a", "b")
			w.run(8*sec, nil)
			d := w.state.Directives
			if moved := 2 - trafficShare(d, "a", "") - trafficShare(d, "b", ""); moved < 0.5 || moved > 1.3 || trafficShare(d, "c", "") != 1 {
				t.Errorf("%g zones moved: %v", moved, w.steps)
			}
		},
		"a zone that flaps every 3 s": func(t *testing.T) {
			w := newCalmWorld(t)
			w.lossAt = func(_ *simNode, zone string) float64 {
				if zone == "a" && w.now/(3*sec)%2 == 0 {
					return 1
				}
				return 0
			}
			w.run(2*time.Minute, nil)
			n := 0
			for _, s := range w.steps {
				if s.target == fleet.Evacuated {
					n++
				}
			}
			if n < 2 || n > 10 || w.state.Directives["zone/a"].BackoffMS < 16000 {
				t.Errorf("evacuated %d times in 40 losses, backoff now %d ms", n, w.state.Directives["zone/a"].BackoffMS)
			}
		},
		"lost while a third of the nodes restart": func(t *testing.T) {
			w := newCalmWorld(t)
			for i, n := range w.nodes {
				n.down = i%3 == 0
			}
			w.kill("a")
			w.until("left", 2*sec, func() bool { return w.phase("zone/a") == fleet.Evacuated })
			for _, n := range w.nodes {
				if n.down {
					n.down = false
					n.sequence = 0
					n.directives = map[string]heldDirective{}
					n.Incarnation++
				}
			}
			w.run(sec, nil)
			if w.phase("zone/a") != fleet.Evacuated {
				t.Errorf("%v", w.steps)
			}
		},
		"cut off from half of the others": func(t *testing.T) {
			w := newCalmWorld(t, "a", "b", "c", "d", "e")
			w.lossAt = func(n *simNode, zone string) float64 {
				if zone == "a" && (n.Zone == "b" || n.Zone == "c") {
					return 1
				}
				return 0
			}
			w.run(4*sec, nil)
			if len(w.state.Directives) != 2 || w.phase("zone/a@b") == fleet.Serving || w.phase("zone/a@c") == fleet.Serving {
				t.Errorf("%v", w.steps)
			}
		},
		"back with fewer servers": func(t *testing.T) {
			w := evacuatedWorld(t)
			w.listed["a"] = 1
			w.run(4*sec, nil)
			w.heal()
			w.untilPhase(fleet.Serving)
			for _, s := range w.steps {
				if s.after.Budget > s.after.ProvedRate {
					t.Errorf("%v: budget of %g for a server whose proved rate is %g", s, s.after.Budget, s.after.ProvedRate)
				}
			}
		},
		"a node whose zone nobody else has": func(t *testing.T) {
			w := newCalmWorld(t)
			odd := w.add("odd", "nowhere")
			w.lossAt = func(n *simNode, zone string) float64 {
				if n == odd && zone != "c" {
					return 1
				}
				return 0
			}
			w.run(10*sec, nil)
			for key := range w.state.Directives {
				if !strings.HasSuffix(key, "@nowhere") {
					t.Errorf("%s evacuated by that node's vote", key)
				}
			}
		},
		"a new leader in the middle of a return": func(t *testing.T) {
			w := recoveringWorld(t, 2)
			w.controller.Lead(w.now)
			n := len(w.steps)
			w.untilPhase(fleet.Serving)
			if got := w.steps[n]; got.time-w.steps[n-1].time < w.settings.SlowStartWindow {
				t.Errorf("the new leader, which can't know the time of the first answers, advanced before the slow start was over: %v", w.steps)
			}
		},
		"a command twice and after its successor": func(t *testing.T) {
			w := newCalmWorld(t)
			var old []Command
			w.apply = func(c Command) Command {
				if old = append(old, c); len(old) > 0 {
					w.state.Apply(old[w.random.IntN(len(old))], func() uint64 { w.revision++; return w.revision })
				}
				return c
			}
			w.kill("a")
			w.run(6*sec, nil)
			w.heal()
			w.untilPhase(fleet.Serving)
			if w.run(5*sec, nil); len(w.state.Directives) > 0 {
				t.Errorf("an old command was applied: %v", w.state.Directives)
			}
		},
	} {
		t.Run(name, scenario)
	}
}

// TestNodeShare checks what one directive, and two merged directives on one zone, allow a node.
func TestNodeShare(t *testing.T) {
	probation := fleet.Directive{Phase: fleet.Probation, Budget: 6, Slots: 3, TrialNodes: []string{"x", "y", "z"}}
	if got := NodeShareOf(probation, "x", false); got != (NodeShare{Rate: 2, Trial: true}) {
		t.Errorf("trial: %+v", got)
	}
	if NodeShareOf(probation, "other", false).Trial || NodeShareOf(probation, "x", true).Trial {
		t.Error("trial requests by a node outside the trial, or after the directive expired")
	}
	d := fleet.Directive{Phase: fleet.Recovering, Share: 0.5, Floor: 0.1, Budget: 50, Slots: 10, Step: 3}
	if p := NodeShareOf(d, "x", true); p.Share != 0.1 || p.Rate != 1 {
		t.Errorf("expired directive: %+v", p)
	}
	if got := MergeShares(NodeShare{Share: 0, Rate: 2, Trial: true}, NodeShare{Share: 1}); got != (NodeShare{Rate: 2, Trial: true}) {
		t.Errorf("merged: %+v", got)
	}
}
