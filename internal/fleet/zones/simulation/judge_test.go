package simulation

import (
	"strings"
	"testing"
	"time"

	"meadowsill/internal/fleet"
	. "meadowsill/internal/fleet/zones"
)

// TestHardCases plays the cases that docs/fleet.md names; each is judged by what is left and for whom.
func TestHardCases(t *testing.T) {
	for name, play := range map[string]func(*testing.T){
		"two zones lost within a second, room for one": func(t *testing.T) {
			w := started(t)
			w.kill("a")
			w.run(600*time.Millisecond, nil)
			w.kill("a", "b")
			w.run(8*sec, nil)
			d := w.s.Directives
			if moved := 2 - share(d, "a", "") - share(d, "b", ""); moved < 0.5 || moved > 1.3 || share(d, "c", "") != 1 {
				t.Errorf("%g zones moved: %v", moved, w.steps)
			}
		},
		"a zone that flaps every 3 s": func(t *testing.T) {
			w := started(t)
			w.lose = func(_ *wnode, y string) float64 {
				if y == "a" && w.now/(3*sec)%2 == 0 {
					return 1
				}
				return 0
			}
			w.run(2*time.Minute, nil)
			n := 0
			for _, s := range w.steps {
				if s.to == fleet.Evacuated {
					n++
				}
			}
			if n < 2 || n > 10 || w.s.Directives["zone/a"].BackoffMS < 16000 {
				t.Errorf("left %d times in 40 losses, hold-off now %d ms", n, w.s.Directives["zone/a"].BackoffMS)
			}
		},
		"lost while a third of the nodes restart": func(t *testing.T) {
			w := started(t)
			for i, n := range w.nodes {
				n.down = i%3 == 0
			}
			w.kill("a")
			w.until("left", 2*sec, func() bool { return w.phase("zone/a") == fleet.Evacuated })
			for _, n := range w.nodes {
				if n.down {
					n.down, n.seq, n.holds = false, 0, map[string]held{}
					n.Incarnation++
				}
			}
			w.run(sec, nil)
			if w.phase("zone/a") != fleet.Evacuated {
				t.Errorf("%v", w.steps)
			}
		},
		"cut off from half of the others": func(t *testing.T) {
			w := started(t, "a", "b", "c", "d", "e")
			w.lose = func(n *wnode, y string) float64 {
				if y == "a" && (n.Zone == "b" || n.Zone == "c") {
					return 1
				}
				return 0
			}
			w.run(4*sec, nil)
			if len(w.s.Directives) != 2 || w.phase("zone/a@b") == fleet.Serving || w.phase("zone/a@c") == fleet.Serving {
				t.Errorf("%v", w.steps)
			}
		},
		"back with fewer servers": func(t *testing.T) {
			w := gone(t)
			w.listed["a"] = 1
			w.run(4*sec, nil)
			w.heal()
			w.untilPhase(fleet.Serving)
			for _, s := range w.steps {
				if s.after.Budget > s.after.ProvedRate {
					t.Errorf("%v: a server gets %g, it gave %g", s, s.after.Budget, s.after.ProvedRate)
				}
			}
		},
		"a node whose zone nobody else has": func(t *testing.T) {
			w := started(t)
			odd := w.add("odd", "nowhere")
			w.lose = func(n *wnode, y string) float64 {
				if n == odd && y != "c" {
					return 1
				}
				return 0
			}
			w.run(10*sec, nil)
			for key := range w.s.Directives {
				if !strings.HasSuffix(key, "@nowhere") {
					t.Errorf("%s left by its vote", key)
				}
			}
		},
		"a new leader in the middle of a return": func(t *testing.T) {
			w := back(t, 2)
			w.j.Lead(w.now)
			n := len(w.steps)
			w.untilPhase(fleet.Serving)
			if got := w.steps[n]; got.at-w.steps[n-1].at < w.set.SlowStartWindow {
				t.Errorf("it went on before the cold time, which it does not know, was over: %v", w.steps)
			}
		},
		"a command twice and after its successor": func(t *testing.T) {
			w := started(t)
			var old []Command
			w.apply = func(c Command) Command {
				if old = append(old, c); len(old) > 0 {
					w.s.Apply(old[w.rng.IntN(len(old))], func() uint64 { w.rev++; return w.rev })
				}
				return c
			}
			w.kill("a")
			w.run(6*sec, nil)
			w.heal()
			w.untilPhase(fleet.Serving)
			if w.run(5*sec, nil); len(w.s.Directives) > 0 {
				t.Errorf("an old command was taken: %v", w.s.Directives)
			}
		},
	} {
		t.Run(name, play)
	}
}

// TestPart: a node's portion of a directive, and of two on one zone.
func TestPart(t *testing.T) {
	probation := fleet.Directive{Phase: fleet.Probation, Budget: 6, Slots: 3, TrialNodes: []string{"x", "y", "z"}}
	if got := NodeShareOf(probation, "x", false); got != (NodeShare{Rate: 2, Trial: true}) {
		t.Errorf("trial: %+v", got)
	}
	if NodeShareOf(probation, "other", false).Trial || NodeShareOf(probation, "x", true).Trial {
		t.Error("others try, or past the validity")
	}
	d := fleet.Directive{Phase: fleet.Recovering, Share: 0.5, Floor: 0.1, Budget: 50, Slots: 10, Step: 3}
	if p := NodeShareOf(d, "x", true); p.Share != 0.1 || p.Rate != 1 {
		t.Errorf("past its validity: %+v", p)
	}
	if got := MergeShares(NodeShare{Share: 0, Rate: 2, Trial: true}, NodeShare{Share: 1}); got != (NodeShare{Rate: 2, Trial: true}) {
		t.Errorf("merged: %+v", got)
	}
}
