package invariants

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// tenants finds attempts for tenants that had no committed generation, or were removed, and quotas over their sum.
func (r Run) tenants(byKey map[string][]IntentChange) []Breach {
	var out []Breach
	account := map[string]string{}
	for _, s := range r.Sent {
		account[s.ID] = s.Account
	}
	seen := map[string]bool{}
	begun := map[string][]time.Duration{} // by tenant, the first attempt of each request
	for _, a := range r.Attempts {
		name := account[a.ID]
		if name == "" {
			continue
		}
		changes := byKey["tenant/"+name]
		if !seen[a.ID] {
			seen[a.ID] = true
			begun[name] = append(begun[name], a.Start)
		}
		now := IntentChange{}
		ok := false
		ever := false
		soon := r.Fleet.Settings[name] && len(changes) == 0
		for _, t := range changes {
			if t.At <= a.Start {
				now = t
				ok = true
				ever = ever || t.Committed
			}
			if t.At <= a.Start+zoneBound && t.At >= a.Start-r.Slack && t.Committed && !t.Removing && !t.Removed {
				soon = true // the nodes may hear a little before the lab, and go on a little after
			}
		}
		switch {
		case soon, ok && now.Committed && !now.Removing && !now.Removed:
		case ok && (now.Removing || now.Removed):
			if a.Start > now.At+r.Slack && !r.excused("after-grace", a.Node, now.At, a.Start) {
				out = append(out, Breach{"T-removed", a.ID, a.Start, fmt.Sprintf("node %d sent on a request of %s, removed at %v", a.Node, name, now.At)})
			}
		case r.Fleet.Settings[name] && !ever: // the settings go on
		default:
			out = append(out, Breach{"T-uncommitted", a.ID, a.Start, fmt.Sprintf("node %d sent on a request of %s, which had no committed generation",
				a.Node, name)})
		}
	}
	for name, at := range begun {
		out = append(out, r.quota(name, byKey["tenant/"+name], at)...)
	}
	return out
}

// quota plays a tenant's first attempts into a bucket that its quota drains, over all nodes: more than the burst, and a
// token and chance's one for each incarnation of a node, is over.
func (r Run) quota(name string, changes []IntentChange, begun []time.Duration) []Breach {
	slices.Sort(begun)
	level, last := 0.0, time.Duration(0)
	for _, at := range begun {
		rate := 0.0
		burst := 0.0
		on := false
		for i, t := range changes {
			// A generation counts from when it was seen until the next had been for the bound.
			if t.At > at || !t.Committed || i+1 < len(changes) && changes[i+1].At+r.Slack < at {
				continue
			}
			rate = max(rate, t.Rate)
			burst = max(burst, t.Burst)
			on = true
		}
		if !on || rate <= 0 {
			level, last = 0, at
			continue
		}
		level = max(0, level-rate*(at-last).Seconds()) + 1
		if last = at; level > burst+2*float64(r.Fleet.Incarnations)+0.02*rate {
			return []Breach{{"T-quota", "", at, fmt.Sprintf("%s: %.1f requests over %.1f/s, burst %.1f, lives %d", name, level, rate, burst, r.Fleet.Incarnations)}}
		}
	}
	return nil
}

// drift finds verdicts that cry of what nobody caused, planted drifts that no verdict found, and nodes shown in step
// while they could say nothing.
func (r Run) drift() []Breach {
	var out []Breach
	f := r.Fleet
	for _, v := range f.Verdicts {
		planted := false
		for _, p := range f.Planted {
			planted = planted || p.Node == v.Node && p.At <= v.At
		}
		switch {
		case v.State == "ahead":
			out = append(out, Breach{"D-ahead", "", v.At, fmt.Sprintf("node %d holds what was never committed: %s", v.Node, v.What)})
		case v.State != "stuck" && v.State != "diverged" && v.State != "overridden", planted:
		case r.excused("", v.Node, v.At-driftBound, v.At):
		default:
			out = append(out, Breach{"D-false", "", v.At, fmt.Sprintf("node %d is %s though no fault was on it: %s", v.Node, v.State, v.What)})
		}
	}
	for _, p := range f.Planted {
		if p.At+driftBound > r.End {
			continue
		}
		found := false
		for _, v := range f.Verdicts {
			found = found || v.Node == p.Node && v.At >= p.At && v.At <= p.At+driftBound &&
				(v.State == "overridden" || v.State == "diverged" || v.State == "stuck")
		}
		if !found {
			out = append(out, Breach{"D-missed", "", p.At, fmt.Sprintf("node %d was made to drift, and no verdict said so in %v", p.Node, driftBound)})
		}
	}
	for _, e := range r.Exemptions {
		if !strings.HasPrefix(e.Why, "stopped ") && !strings.HasPrefix(e.Why, "down ") {
			continue
		}
		state, since := "", time.Duration(0)
		for _, v := range f.Verdicts {
			if v.Node == e.Node && v.At <= e.From+driftBound {
				state, since = v.State, v.At
			}
		}
		if (state == "in-step" || state == "overridden") && e.Back-e.From > driftBound {
			out = append(out, Breach{"D-silent", "", e.From + driftBound, fmt.Sprintf("node %d, %s since %v, is shown %s since %v", e.Node,
				strings.Fields(e.Why)[0], e.From, state, since)})
		}
	}
	return out
}
