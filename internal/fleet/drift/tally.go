package drift

import (
	"slices"
	"strings"

	"meadowsill/internal/fleet"
)

// Tally is what one node's change of verdict means for the counts that are kept of drift.
type Tally struct {
	fleet.Member
	State string         // its new verdict; "" where it goes
	Found map[string]int // differences that the verdict before did not name, by the kind of their key
	Ended string         // the verdict of drift that this ends: stuck, diverged or ahead; "" none
	ForMS int64          // how long that lasted, from when it was first seen, by the leaders' wall clocks, ms
}

// Tally gives what a command means next to the state as it is before the command. It is for people: nothing is decided by it.
func (c Command) Tally(st *State) (out []Tally) {
	end := func(t *Tally, old *Verdict) {
		if old != nil && Drifts(old.State) && old.State != t.State {
			t.Ended, t.ForMS = old.State, max(0, c.AtMS-old.FirstSeenMS)
		}
	}
	for i := range c.Set {
		v := &c.Set[i].Verdict
		old := st.Verdicts[v.Node]
		t := Tally{Member: v.Member, State: v.State, Found: map[string]int{}}
		end(&t, old)
		for _, d := range v.Items {
			if Drifts(v.State) && (old == nil || !slices.ContainsFunc(old.Items, func(o Difference) bool { return o.Key == d.Key && o.Field == d.Field })) {
				kind, _, _ := strings.Cut(d.Key, "/")
				t.Found[kind]++
			}
		}
		if t.Ended != "" || len(t.Found) > 0 {
			out = append(out, t)
		}
	}
	for node := range c.Forget {
		if old := st.Verdicts[node]; old != nil {
			if t := (Tally{Member: old.Member}); Drifts(old.State) {
				end(&t, old)
				out = append(out, t)
			}
		}
	}
	return out
}
