package invariants

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// tenants finds attempts for tenants that had no committed generation or were removed, and tenants that exceeded their quota over all nodes.
func (r Run) tenants(byKey map[string][]IntentChange) []Breach {
	var out []Breach
	accounts := map[string]string{}
	for _, s := range r.Sent {
		accounts[s.ID] = s.Account
	}
	seen := map[string]bool{}
	firstAttempts := map[string][]time.Duration{} // times of the first attempt of each request, by tenant
	for _, a := range r.Attempts {
		name := accounts[a.ID]
		if name == "" {
			continue
		}
		changes := byKey["tenant/"+name]
		if !seen[a.ID] {
			seen[a.ID] = true
			firstAttempts[name] = append(firstAttempts[name], a.Start)
		}
		current := IntentChange{}
		ok := false
		everCommitted := false
		committedNearby := r.Fleet.Settings[name] && len(changes) == 0
		for _, t := range changes {
			if t.At <= a.Start {
				current = t
				ok = true
				everCommitted = everCommitted || t.Committed
			}
			if t.At <= a.Start+zoneBound && t.At >= a.Start-r.Slack && t.Committed && !t.Removing && !t.Removed {
				committedNearby = true // nodes may receive a change a little before the lab, and apply the next one a little later
			}
		}
		switch {
		case committedNearby, ok && current.Committed && !current.Removing && !current.Removed:
		case ok && (current.Removing || current.Removed):
			if a.Start > current.At+r.Slack && !r.exempt("after-grace", a.Node, current.At, a.Start) {
				out = append(out, Breach{"T-removed", a.ID, a.Start, fmt.Sprintf("node %d sent on a request of %s, removed at %v", a.Node, name, current.At)})
			}
		case r.Fleet.Settings[name] && !everCommitted: // the settings still apply
		default:
			out = append(out, Breach{"T-uncommitted", a.ID, a.Start, fmt.Sprintf("node %d sent on a request of %s, which had no committed generation",
				a.Node, name)})
		}
	}
	for name, at := range firstAttempts {
		out = append(out, r.quota(name, byKey["tenant/"+name], at)...)
	}
	return out
}

// quota adds a tenant's first attempts at all nodes to a leaky bucket that drains at the rate of its quota. The quota is exceeded if the
// level is above the burst plus two for each incarnation of a node, one for the token that it starts with and one for random variation,
// plus 20 ms of the rate.
func (r Run) quota(name string, changes []IntentChange, firstAttempts []time.Duration) []Breach {
	slices.Sort(firstAttempts)
	level, last := 0.0, time.Duration(0)
	for _, at := range firstAttempts {
		rate := 0.0
		burst := 0.0
		limited := false
		for i, t := range changes {
			// A generation counts from its arrival until r.Slack after the arrival of the next one.
			if t.At > at || !t.Committed || i+1 < len(changes) && changes[i+1].At+r.Slack < at {
				continue
			}
			rate = max(rate, t.Rate)
			burst = max(burst, t.Burst)
			limited = true
		}
		if !limited || rate <= 0 {
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

// drift finds verdicts about drifts that nothing caused, drifts caused by the lab that no verdict reported, and nodes that were shown in
// step while they could not report.
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
		case r.exempt("", v.Node, v.At-driftBound, v.At):
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
