package drift

import (
	"slices"
	"strings"

	"meadowsill/internal/fleet"
)

// VerdictCounts is what one node's change of verdict means for the counts that are kept of drift.
type VerdictCounts struct {
	fleet.Member
	State          string         // its new verdict; "" where it goes
	NewDifferences map[string]int // differences that the verdict before did not name, by the kind of their key
	EndedState     string         // the verdict of drift that this ends: stuck, diverged or ahead; "" none
	LastedMS       int64          // how long that lasted, from when it was first seen, by the leaders' wall clocks, ms
}

// VerdictCounts returns what a command means next to the state as it is before the command. It is for people: nothing is decided by it.
func (c Command) VerdictCounts(st *State) (out []VerdictCounts) {
	end := func(t *VerdictCounts, old *Verdict) {
		if old != nil && Drifts(old.State) && old.State != t.State {
			t.EndedState, t.LastedMS = old.State, max(0, c.AtMS-old.FirstSeenMS)
		}
	}
	for i := range c.Set {
		v := &c.Set[i].Verdict
		old := st.Verdicts[v.Node]
		t := VerdictCounts{Member: v.Member, State: v.State, NewDifferences: map[string]int{}}
		end(&t, old)
		for _, d := range v.Differences {
			if Drifts(v.State) && (old == nil || !slices.ContainsFunc(old.Differences, func(o Difference) bool { return o.Key == d.Key && o.Field == d.Field })) {
				kind, _, _ := strings.Cut(d.Key, "/")
				t.NewDifferences[kind]++
			}
		}
		if t.EndedState != "" || len(t.NewDifferences) > 0 {
			out = append(out, t)
		}
	}
	for node := range c.Forget {
		if old := st.Verdicts[node]; old != nil {
			if t := (VerdictCounts{Member: old.Member}); Drifts(old.State) {
				end(&t, old)
				out = append(out, t)
			}
		}
	}
	return out
}
