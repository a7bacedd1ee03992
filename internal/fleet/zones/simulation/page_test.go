package simulation

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/statetable"
	. "meadowsill/internal/fleet/zones"
)

const sec = time.Second

// TestPage runs every row of the page's state table against the core, and checks that the core's table has the same rows.
func TestPage(t *testing.T) {
	rows, err := statetable.Table("../../../../docs/fleet.md", "Zones")
	if err != nil {
		t.Fatal(err)
	}
	var page []Transition
	for _, r := range rows {
		page = append(page, Transition{Source: r.State, Event: r.Event, Condition: r.Condition, Target: r.Next, CountsRelapse: strings.Contains(r.Effect, "relapse + 1")})
		t.Run(r.String(), func(t *testing.T) {
			run, ok := scenarios[r.State+" "+r.Event+" "+r.Condition]
			if !ok {
				t.Fatal("no scenario covers this row")
			}
			w, key, from := run(t)
			if from < 0 { // the row changes nothing
				if got := w.phase(key); got != r.Next || got != r.State {
					t.Fatalf("%s: %s, want it to stay %s: %v", key, got, r.Next, w.steps)
				}
				return
			}
			got := w.steps[from]
			relapsed := got.after.Relapses > got.before.Relapses
			if got.key != key || got.source != r.State || got.event != r.Event || got.target != r.Next || relapsed != page[len(page)-1].CountsRelapse {
				t.Fatalf("got %v, want %s", got, r)
			}
		})
	}
	if !slices.Equal(page, Table()) {
		t.Errorf("the page's rows and the core's differ:\n%v\n%v", page, Table())
	}
}

// TestApplyRejectsOtherTransitions checks that Apply accepts no transition without a row in the table.
func TestApplyRejectsOtherTransitions(t *testing.T) {
	phases := []string{fleet.Serving, fleet.Evacuated, fleet.Probation, fleet.Recovering}
	entry := map[string]Entry{}
	for _, p := range phases[1:] {
		e := Entry{Directive: fleet.Directive{Phase: p, ValidMS: 5000, BackoffMS: 2000, Budget: 1, Slots: 9}}
		if p == fleet.Recovering {
			e.Step, e.Share = 4, 1
		}
		entry[p] = e
	}
	for _, from := range phases {
		for _, event := range []string{Lost, CutOff, Gray, Region, TimeElapsed, Answered, "none"} {
			for _, to := range phases {
				s := State{Revision: 1, Directives: map[string]Entry{}, PastRelapses: map[string]PastRelapse{}}
				if e, ok := entry[from]; ok {
					e.Revision = 1
					s.Directives["zone/a"] = e
				} else {
					s.PastRelapses["zone/a"] = PastRelapse{Revision: 1}
				}
				c := Change{Key: "zone/a", IfRevision: 1, Event: event, Removed: to == fleet.Serving, Entry: entry[to]}
				_, err := s.Apply(Command{IfStateRevision: 1, Items: []Change{c}}, func() uint64 { return 2 })
				row := slices.ContainsFunc(Table(), func(x Transition) bool { return x.Source == from && x.Event == event && x.Target == to })
				if err == nil && !row || err != nil && !errors.Is(err, ErrIllegalTransition) {
					t.Errorf("%s, %s -> %s: %v, in the table: %v", from, event, to, err, row)
				}
				if err != nil && s.Revision != 1 {
					t.Errorf("%s, %s -> %s: refused, and changed", from, event, to)
				}
			}
		}
	}
}

// scenario runs one row and returns the world, the key and the index of the row's step; -1: the row changes nothing.
type scenario func(t *testing.T) (w *world, key string, step int)

// newCalmWorld returns a fleet with proved rates that has seen no fault. It has three zones unless others are given.
func newCalmWorld(t *testing.T, zones ...string) *world {
	if len(zones) == 0 {
		zones = []string{"a", "b", "c"}
	}
	w := newWorld(t, 7, 6, zones...)
	w.run(5*sec, nil)
	if len(w.steps) > 0 {
		t.Fatalf("steps without a fault: %v", w.steps)
	}
	return w
}

func (w *world) untilPhase(phase string) {
	w.until(phase, 90*sec, func() bool { return w.phase("zone/a") == phase })
}

func (w *world) untilStep(n int) {
	w.until("step", 90*sec, func() bool { return w.state.Directives["zone/a"].Step == n })
}

// last returns the result of a scenario whose row is the newest step.
func (w *world) last() (*world, string, int) {
	return w, w.steps[len(w.steps)-1].key, len(w.steps) - 1
}

// evacuatedWorld returns a fleet that has evacuated zone a; recoveringWorld one in which a answers again.
func evacuatedWorld(t *testing.T) *world {
	w := newCalmWorld(t)
	w.kill("a")
	w.untilPhase(fleet.Evacuated)
	return w
}

func recoveringWorld(t *testing.T, step int) *world {
	w := evacuatedWorld(t)
	w.heal()
	w.untilStep(step)
	return w
}

func lossOf(zone string, p float64, observer string) func(*simNode, string) float64 {
	return func(n *simNode, target string) float64 {
		if target == zone && (observer == "" || n.Zone == observer) {
			return p
		}
		return 0
	}
}

func evacuateAgain(t *testing.T, p float64, observer string) (*world, string, int) {
	w := newCalmWorld(t)
	key := Key("a", observer)
	w.lossAt = lossOf("a", p, observer)
	w.until("left", 5*sec, func() bool { return w.phase(key) == fleet.Evacuated })
	w.heal()
	w.until("return", 90*sec, func() bool { return w.phase(key) == fleet.Serving })
	w.lossAt = lossOf("a", p, observer)
	w.until("left", 5*sec, func() bool { return w.phase(key) == fleet.Evacuated })
	return w.last()
}

var scenarios map[string]scenario // by state, event and condition

func init() {
	scenarios = map[string]scenario{
		"serving lost room for all of it": func(t *testing.T) (*world, string, int) {
			w := evacuatedWorld(t)
			if e := w.state.Directives["zone/a"]; e.Share != 0 || e.Floor != 0 || e.Reason != Lost {
				t.Errorf("%+v", e)
			}
			return w.last()
		},
		"serving lost room for a part": func(t *testing.T) (*world, string, int) {
			w := newWorld(t, 7, 6, "a", "b", "c")
			w.rate = 24
			w.rejecting["b"], w.rejecting["c"] = true, true // b and c reject half of the attempts, which shows that they are full
			w.run(5*sec, nil)
			w.rate /= 4
			w.run(4*sec, nil) // low load: each server serves a quarter of its capacity
			w.rate *= 2.4
			w.run(4*sec, nil)
			w.kill("a")
			w.untilPhase(fleet.Evacuated)
			if e := w.state.Directives["zone/a"]; e.Share <= 0 || e.Share >= 1 || e.Budget <= 0 {
				t.Errorf("%+v", e)
			}
			return w.last()
		},
		"serving lost returned in the last 60 s": func(t *testing.T) (*world, string, int) { return evacuateAgain(t, 1, "") },
		"serving lost below the panic threshold": func(t *testing.T) (*world, string, int) {
			w := newCalmWorld(t)
			w.listed["a"] = 4 * serversPerZone // of 6 * serversPerZone
			w.rate /= 8
			w.run(12*sec, nil)
			w.kill("a")
			w.run(4*sec, nil)
			if f := w.controller.Evidence(); len(f) != 1 || f[0].Event != Lost || f[0].Blocked != "panic" {
				t.Errorf("%+v", f)
			}
			return w, "zone/a", -1
		},
		"serving cut-off of observers X": func(t *testing.T) (*world, string, int) {
			w := newCalmWorld(t)
			w.lossAt = lossOf("a", 1, "b")
			w.until("left", 5*sec, func() bool { return w.phase("zone/a@b") == fleet.Evacuated })
			if w.phase("zone/a") != fleet.Serving || w.nodeShare(w.nodes[0], "a").Share != 1 {
				t.Error("nodes of other zones than b no longer send to a")
			}
			return w, "zone/a@b", len(w.steps) - 1
		},
		"serving cut-off returned in the last 60 s": func(t *testing.T) (*world, string, int) { return evacuateAgain(t, 1, "b") },
		"serving gray share p lost": func(t *testing.T) (*world, string, int) {
			w := newCalmWorld(t)
			w.lossAt = lossOf("a", 0.3, "")
			w.untilPhase(fleet.Evacuated)
			if e := w.state.Directives["zone/a"]; e.Share < 0.5 || e.Share > 0.8 || e.Floor != e.Share {
				t.Errorf("%+v", e)
			}
			return w.last()
		},
		"serving gray returned in the last 60 s": func(t *testing.T) (*world, string, int) { return evacuateAgain(t, 0.4, "") },
		"serving region most of its region's zones are lost": func(t *testing.T) (*world, string, int) {
			w := newWorld(t, 7, 4, "a", "b", "c", "d", "e", "f", "g")
			w.settings.Region = map[string]string{"a": "1", "b": "1", "c": "1", "d": "2", "e": "2", "f": "2", "g": "2"}
			w.controller = NewController(w.settings)
			w.run(5*sec, nil)
			w.kill("a", "b")
			w.until("left", 5*sec, func() bool { return w.phase("zone/c") == fleet.Evacuated })
			n := len(w.steps) - 1
			if w.steps[n].time != w.steps[n-1].time || w.steps[n-1].event != Lost || w.state.Directives["zone/c"].Share != 0 {
				t.Errorf("the region was not evacuated by one command: %v", w.steps)
			}
			return w, "zone/c", n
		},
		"serving quiet 60 s without a relapse": func(t *testing.T) (*world, string, int) {
			w, _, _ := evacuateAgain(t, 1, "")
			w.heal()
			w.untilPhase(fleet.Serving)
			n := len(w.steps)
			w.until("calm", 70*sec, func() bool { return len(w.steps) > n })
			if w.state.PastRelapses["zone/a"].Relapses != 0 {
				t.Errorf("%+v", w.state.PastRelapses)
			}
			return w, "zone/a", n
		},
		"left lost no more room": func(t *testing.T) (*world, string, int) {
			w := evacuatedWorld(t) // nodes that get no intent still send and report losses: the backoff does not begin
			w.intentDelay = func(*simNode) (fleet.Time, bool) { return 0, false }
			for _, n := range w.nodes {
				n.directives = map[string]heldDirective{}
			}
			w.run(6*sec, nil)
			return w, "zone/a", -1
		},
		"left lost more room for what is still served": func(t *testing.T) (*world, string, int) {
			w, _, n := scenarios["serving lost room for a part"](t)
			w.rejecting = map[string]bool{}
			w.rate *= 2 // the other zones prove a higher rate, then serve less
			w.run(3*sec, nil)
			w.rate /= 4
			w.until("less", 20*sec, func() bool { return len(w.steps) > n+1 })
			if got := w.steps[n+1]; got.after.Share >= got.before.Share {
				t.Errorf("%v", w.steps)
			}
			return w, "zone/a", n + 1
		},
		"left cut-off more room for what is still served": func(t *testing.T) (*world, string, int) {
			w := newWorld(t, 7, 6, "a", "b", "c")
			w.rate = 24
			w.rejecting["b"], w.rejecting["c"] = true, true
			w.run(5*sec, nil)
			w.rate *= 0.9
			w.run(4*sec, nil)
			w.lossAt = lossOf("a", 1, "b")
			w.until("left", 5*sec, func() bool { return w.phase("zone/a@b") == fleet.Evacuated })
			n := len(w.steps)
			w.rate /= 4 // the other zones serve less
			w.until("less", 20*sec, func() bool { return len(w.steps) > n })
			if got := w.steps[n]; got.before.Share <= 0 || got.after.Share >= got.before.Share {
				t.Errorf("%v", w.steps)
			}
			return w, "zone/a@b", n
		},
		"left gray p changed by 0.2 or more": func(t *testing.T) (*world, string, int) {
			w, _, n := scenarios["serving gray share p lost"](t)
			w.lossAt = lossOf("a", 0.5, "")
			w.until("less", 20*sec, func() bool { return len(w.steps) > n+1 })
			return w, "zone/a", n + 1
		},
		"left quiet the hold-off is not over": func(t *testing.T) (*world, string, int) {
			w := evacuatedWorld(t)
			w.run(1900*time.Millisecond, nil)
			return w, "zone/a", -1
		},
		"left quiet the hold-off is over": func(t *testing.T) (*world, string, int) {
			w := evacuatedWorld(t)
			w.untilPhase(fleet.Probation)
			e := w.state.Directives["zone/a"]
			zones := map[byte]bool{}
			for _, n := range e.TrialNodes {
				zones[n[0]] = true
			}
			if len(e.TrialNodes) != 3 || len(zones) != 3 || e.Floor != 0 || e.Share != 0 || e.Budget <= 0 {
				t.Errorf("%+v", e)
			}
			return w.last()
		},
		"left answers a part was still served, the hold-off is over, enough": func(t *testing.T) (*world, string, int) {
			w, _, _ := scenarios["serving gray share p lost"](t)
			w.heal()
			at := w.now
			w.untilPhase(fleet.Recovering)
			if e := w.state.Directives["zone/a"]; w.now-at < 2*sec || e.Share != 1 || e.Step != 4 || e.Floor != e.BaseShare {
				t.Errorf("%+v", e)
			}
			return w.last()
		},
		"probation answers enough, under 0.1 lost": func(t *testing.T) (*world, string, int) {
			w := recoveringWorld(t, 0)
			w.until("answers", 20*sec, func() bool { return w.state.Directives["zone/a"].TrialAnswered })
			return w.last()
		},
		"probation quiet the trial that had its answers is over": func(t *testing.T) (*world, string, int) {
			w := recoveringWorld(t, 1)
			if e := w.state.Directives["zone/a"]; e.Share != 0.1 || e.Floor != 0 || e.TrialNodes != nil {
				t.Errorf("%+v", e)
			}
			return w.last()
		},
		"probation lost ": func(t *testing.T) (*world, string, int) {
			w := evacuatedWorld(t)
			w.untilPhase(fleet.Probation)
			w.untilPhase(fleet.Evacuated)
			if e := w.state.Directives["zone/a"]; e.BackoffMS != 4000 {
				t.Errorf("%+v", e)
			}
			return w.last()
		},
		"probation quiet 3 s without answers enough": func(t *testing.T) (*world, string, int) {
			w := evacuatedWorld(t)
			w.heal()
			w.untilPhase(fleet.Probation)
			n, trial := len(w.steps), w.state.Directives["zone/a"].TrialNodes
			w.intentDelay = func(x *simNode) (fleet.Time, bool) { return 0, !slices.Contains(trial, x.Node) } // the trial nodes never get the directive
			for _, x := range w.nodes {
				delete(x.directives, "zone/a")
				x.directives["zone/a"] = heldDirective{entry: Entry{Directive: fleet.Directive{Phase: fleet.Evacuated, ValidMS: 1e6}}, confirmedAt: w.now}
			}
			w.until("end", 4*sec, func() bool { return len(w.steps) > n })
			return w, "zone/a", n
		},
		"probation quiet the former trial is over, without answers enough": func(t *testing.T) (*world, string, int) {
			w, _, n := scenarios["probation quiet 3 s without answers enough"](t)
			end := w.now
			w.until("other trial", 10*sec, func() bool { return len(w.steps) > n+1 })
			if got := w.steps[n+1]; w.now-end < w.settings.DirectiveLifetime || slices.ContainsFunc(got.after.TrialNodes, func(x string) bool {
				return slices.Contains(w.steps[n].before.TrialNodes, x)
			}) {
				t.Errorf("next trial after %v: %+v", w.now-end, got.after.Directive)
			}
			return w, "zone/a", n + 1
		},
		"returning answers enough of this step, not the last": func(t *testing.T) (*world, string, int) {
			w := recoveringWorld(t, 2)
			n := len(w.steps)
			if w.steps[n-1].time-w.steps[n-2].time < sec || w.state.Directives["zone/a"].Floor != 0.1 {
				t.Errorf("%v", w.steps)
			}
			return w.last()
		},
		"returning answers enough of the last step": func(t *testing.T) (*world, string, int) {
			w := recoveringWorld(t, 4)
			w.untilPhase(fleet.Serving)
			return w.last()
		},
		"returning lost step 1, or a quorum sees it fail": func(t *testing.T) (*world, string, int) {
			w := recoveringWorld(t, 1)
			w.kill("a")
			w.untilPhase(fleet.Evacuated)
			n := len(w.steps) - 1
			w.heal()
			w.untilStep(4)
			w.run(sec, nil)
			w.kill("a")
			w.until("left", 5*sec, func() bool { return w.phase("zone/a") == fleet.Evacuated || w.state.Directives["zone/a"].Step < 4 })
			return w, "zone/a", n
		},
		"returning lost a later step, in part": func(t *testing.T) (*world, string, int) {
			w := recoveringWorld(t, 3)
			w.lossAt = lossOf("a", 0.5, "")
			n := len(w.steps)
			w.until("step back", 5*sec, func() bool { return len(w.steps) > n })
			if e := w.steps[n].after; e.Step != 2 || e.Floor != 0 || e.Relapses != 1 {
				t.Errorf("%+v", e)
			}
			return w, "zone/a", n
		},
		"returning quiet 10 s without answers enough": func(t *testing.T) (*world, string, int) {
			w := recoveringWorld(t, 2)
			w.rate = 0.01
			for _, n := range w.nodes {
				n.pendingAttempts = map[string]float64{}
			}
			n := len(w.steps)
			w.run(12*sec, nil)
			if len(w.steps) != n {
				t.Errorf("%v", w.steps[n:])
			}
			return w, "zone/a", -1
		},
	}
}
