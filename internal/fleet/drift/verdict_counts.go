package drift

import (
	"slices"
	"strings"

	"meadowsill/internal/fleet"
)

// VerdictCounts is the effect of one verdict change on the drift metrics.
type VerdictCounts struct {
	fleet.Member
	State          string         // the new state; "" if the verdict is removed
	NewDifferences map[string]int // differences that the previous verdict didn't have, by the kind of their key
	EndedState     string         // state that ends with this change if it was stuck, diverged or ahead; else ""
	LastedMS       int64          // duration of that state in ms, since it was first seen, by the leaders' wall clocks
}

// VerdictCounts returns the effect of a command on the drift metrics, given the state before the command. It is for
// operators; no decision uses it.
func (c Command) VerdictCounts(st *State) (out []VerdictCounts) {
	setEnded := func(counts *VerdictCounts, old *Verdict) {
		if old != nil && Drifts(old.State) && old.State != counts.State {
			counts.EndedState, counts.LastedMS = old.State, max(0, c.AtMS-old.FirstSeenMS)
		}
	}
	for i := range c.Set {
		v := &c.Set[i].Verdict
		old := st.Verdicts[v.Node]
		counts := VerdictCounts{Member: v.Member, State: v.State, NewDifferences: map[string]int{}}
		setEnded(&counts, old)
		for _, d := range v.Differences {
			if Drifts(v.State) && (old == nil || !slices.ContainsFunc(old.Differences, func(o Difference) bool { return o.Key == d.Key && o.Field == d.Field })) {
				kind, _, _ := strings.Cut(d.Key, "/")
				counts.NewDifferences[kind]++
			}
		}
		if counts.EndedState != "" || len(counts.NewDifferences) > 0 {
			out = append(out, counts)
		}
	}
	for node := range c.Forget {
		if old := st.Verdicts[node]; old != nil {
			if counts := (VerdictCounts{Member: old.Member}); Drifts(old.State) {
				setEnded(&counts, old)
				out = append(out, counts)
			}
		}
	}
	return out
}
