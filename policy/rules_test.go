package policy_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"meadowsill/policy"
)

const testRate = 60 // arrivals/s

func runWorld(seed int64, length time.Duration, mutate func(*world, []policy.Action) []policy.Action) *world {
	w := newWorld(seed)
	w.capacity, w.mutate = testRate/3, mutate
	w.run(length, testRate, true)
	w.run(12*time.Second, 0, false) // let all deadlines pass
	return w
}

// TestRulesUnderRandomEvents checks the rules of forwarding under random valid sequences of events and random settings.
func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := int64(1); seed <= 60; seed++ {
		w := runWorld(seed, 15*time.Second, nil)
		if len(w.violations) > 0 {
			t.Fatalf("seed %d: %d faults, the first:\n%s", seed, len(w.violations), strings.Join(w.violations[:min(5, len(w.violations))], "\n"))
		}
	}
}

func FuzzRules(f *testing.F) {
	for seed := int64(1000); seed < 1005; seed++ {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		if w := runWorld(seed, 5*time.Second, nil); len(w.violations) > 0 {
			t.Fatal(w.violations[0])
		}
	})
}

// TestSameEventsSameActions checks that two runs with the same seed give the same actions.
func TestSameEventsSameActions(t *testing.T) {
	w := newWorld(7)
	w.run(10*time.Second, testRate, false)
	repeat := newWorld(7)
	repeat.run(10*time.Second, testRate, false)
	if len(w.actions) < 500 || len(w.actions) != len(repeat.actions) {
		t.Fatalf("the runs have %d and %d steps", len(w.actions), len(repeat.actions))
	}
	for i := range w.actions {
		if w.actions[i] != repeat.actions[i] {
			t.Fatalf("step %d: first run %s, second run %s", i, w.actions[i], repeat.actions[i])
		}
	}
}

// TestCheckerDetectsViolations changes the module's actions in each way that the rules forbid. The checker must report each.
func TestCheckerDetectsViolations(t *testing.T) {
	each := func(change func(*world, policy.Action) []policy.Action) func(*world, []policy.Action) []policy.Action {
		return func(w *world, in []policy.Action) (out []policy.Action) {
			for _, a := range in {
				out = append(out, change(w, a)...)
			}
			return out
		}
	}
	withOtherServer := func(w *world, s policy.Forward) policy.Forward {
		for _, id := range w.ids {
			if l := w.servers[id]; id != s.Server && l.drainNotifiedAt == 0 {
				s.Server = id
				return s
			}
		}
		return s
	}
	for _, c := range []struct {
		want   string
		change func(w *world, a policy.Action) []policy.Action
	}{
		{"no answer in time", func(w *world, a policy.Action) []policy.Action {
			switch a.(type) {
			case policy.Fail, policy.Reject:
				return nil
			}
			return []policy.Action{a}
		}},
		{"second final answer", func(w *world, a policy.Action) []policy.Action {
			if f, ok := a.(policy.Fail); ok {
				return []policy.Action{a, f}
			}
			return []policy.Action{a}
		}},
		{"never listed", func(w *world, a policy.Action) []policy.Action {
			if s, ok := a.(policy.Forward); ok {
				s.Server = 12345
				return []policy.Action{s}
			}
			return []policy.Action{a}
		}},
		{"drains or is removed", func(w *world, a policy.Action) []policy.Action {
			if s, ok := a.(policy.Forward); ok {
				for _, id := range w.ids {
					if w.servers[id].drainNotifiedAt > 0 {
						s.Server = id
					}
				}
				return []policy.Action{s}
			}
			return []policy.Action{a}
		}},
		{"excluded", func(w *world, a policy.Action) []policy.Action {
			if s, ok := a.(policy.Forward); ok {
				for _, id := range w.ids {
					if w.servers[id].excluded {
						s.Server = id
					}
				}
				return []policy.Action{s}
			}
			return []policy.Action{a}
		}},
		{"unsafe request sent again", func(w *world, a policy.Action) []policy.Action {
			if s, ok := a.(policy.Forward); ok {
				return []policy.Action{a, withOtherServer(w, s)}
			}
			return []policy.Action{a}
		}},
		{"two attempts out", func(w *world, a policy.Action) []policy.Action {
			if s, ok := a.(policy.Forward); ok {
				return []policy.Action{a, withOtherServer(w, s)}
			}
			return []policy.Action{a}
		}},
		{"outside its group or window", func(w *world, a policy.Action) []policy.Action {
			if s, ok := a.(policy.Forward); ok {
				return []policy.Action{a, withOtherServer(w, s)}
			}
			return []policy.Action{a}
		}},
		{"attempts", func(w *world, a policy.Action) []policy.Action {
			if s, ok := a.(policy.Forward); ok {
				return []policy.Action{a, s, s, s, s, s}
			}
			return []policy.Action{a}
		}},
		{"for a request that is over", func(w *world, a policy.Action) []policy.Action {
			if r, ok := a.(policy.Reject); ok {
				return []policy.Action{a, policy.Forward{ID: r.ID, Server: w.ids[0]}}
			}
			return []policy.Action{a}
		}},
		{"rejected although", func(w *world, a policy.Action) []policy.Action {
			if f, ok := a.(policy.Fail); ok {
				return []policy.Action{policy.Reject{ID: f.ID}}
			}
			return []policy.Action{a}
		}},
		{"its budget is", func(w *world, a policy.Action) []policy.Action {
			if s, ok := a.(policy.Forward); ok {
				for _, id := range w.ids {
					if l := w.servers[id]; l.startNotified && l.drainNotifiedAt == 0 && w.now-l.StartedAt < 2*time.Second {
						s.Server = id
					}
				}
				return []policy.Action{s}
			}
			return []policy.Action{a}
		}},
		{"cancel", func(w *world, a policy.Action) []policy.Action {
			if s, ok := a.(policy.Forward); ok {
				return []policy.Action{a, policy.CancelAttempt{ID: s.ID, Attempt: 9}}
			}
			return []policy.Action{a}
		}},
		{"forbidden probe", func(w *world, a policy.Action) []policy.Action {
			return []policy.Action{a, policy.HealthCheck{Server: w.ids[0]}}
		}},
		{"forbidden message", func(w *world, a policy.Action) []policy.Action {
			return []policy.Action{a, policy.SendMessage{ToAll: true}}
		}},
	} {
		found := false
		for seed := int64(1); seed <= 25 && !found; seed++ {
			w := runWorld(seed, 10*time.Second, each(c.change))
			found = strings.Contains(fmt.Sprint(w.violations), c.want)
		}
		if !found {
			t.Errorf("the checker did not detect a violation that contains %q", c.want)
		}
	}
}
