package capacity

import (
	"cmp"
	"slices"
)

// Mechanism is what carries a cost at the planned size, or is missing for it.
type Mechanism string

// The mechanisms that are missing, and none.
const (
	None               Mechanism = "as it is"
	ScopedState        Mechanism = "scoped state: indexed store and scoped watches (stage 1, built)"
	ReportsByChange    Mechanism = "reports by difference (stage 2, built)"
	ScopedRollouts     Mechanism = "rollouts counted in scope (stage 3, built)"
	FewerLoads         Mechanism = "loads that are sent less often or coarser"
	WorkAtNode         Mechanism = "Window, Holds and digests at the node by what changed"
	PagedReads         Mechanism = "the operators' reads in pages"
	LeasesByLoad       Mechanism = "quota leases by load (stage 4)"
	WorkByChange       Mechanism = "the leader's work by what changed, snapshots outside the lock (stage 5)"
	RenewalsOutsideLog Mechanism = "renewals outside raft's log"
	ListByService      Mechanism = "a list by service"
)

// check is one cost against what is allowed. Its formula says what cost computes.
type check struct {
	role      Role
	quantity  string
	formula   string
	slopes    []ID // that cost uses
	unit      string
	cost      func(p Plan, s Slopes) float64
	allowed   func(p Plan, s Slopes) float64
	why       string // of what is allowed, where the plan does not say it
	reckoned  string // why a part of it is not measured; empty: all of it is
	mechanism Mechanism
	past      *past // what it was before the mechanism; nil: the same, by the slopes of then
}

// past is a cost as it was before the mechanism.
type past struct {
	slopes []ID // that cost uses
	cost   func(p Plan, s Slopes) float64
}

// Row is a check carried out.
type Row struct {
	check
	Result  float64
	Allowed float64
	Part    float64 // of the planned size at which Allowed is reached; 1: it holds
	NotRun  bool    // a slope of it was never measured: there is no result
}

// IsWithinBound says whether the cost is within what is allowed at the planned size.
func (r Row) IsWithinBound() bool { return !r.NotRun && r.Result <= r.Allowed }

// Rows carries out every check.
func Rows(plan Plan, slopes Slopes) []Row { return runChecks(allChecks(), plan, slopes) }

// PastRows carries out every check by the costs and the slopes of before the mechanism, in the order of Rows. A cost that was not
// measured then is not run.
func PastRows(plan Plan, before Slopes) []Row {
	checks := allChecks()
	for i := range checks {
		if past := checks[i].past; past != nil {
			checks[i].slopes, checks[i].cost = past.slopes, past.cost
		}
	}
	return runChecks(checks, plan, before)
}

func allChecks() []check {
	return slices.Concat(nodeChecks, agentChecks, leaderChecks, followerChecks, otherChecks)
}

func runChecks(checks []check, plan Plan, slopes Slopes) []Row {
	var out []Row
	for _, c := range checks {
		row := Row{check: c, Result: c.cost(plan, slopes), Allowed: c.allowed(plan, slopes), Part: 1}
		row.NotRun = slices.ContainsFunc(c.slopes, func(id ID) bool { return !slopes.Get(id).Measured() })
		if !row.NotRun && !row.IsWithinBound() {
			row.Part = largestWithinBounds(c, plan, slopes)
		}
		out = append(out, row)
	}
	return out
}

const halvings = 60 // of the interval in which a part is looked for

// largestWithinBounds is the part of the planned size up to which a cost is allowed.
func largestWithinBounds(c check, plan Plan, slopes Slopes) float64 {
	low, high := 0.0, 1.0
	for range halvings {
		middle := (low + high) / 2
		scaled := plan.Scaled(middle)
		if c.cost(scaled, slopes) <= c.allowed(scaled, slopes) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// Missing is a mechanism that is not there, and the check that breaks first for want of it.
type Missing struct {
	Mechanism Mechanism
	First     Row
	Others    int // further checks that break for want of it
}

// MissingFirst gives the missing mechanisms, that whose first check breaks at the smallest part of the plan first.
func MissingFirst(rows []Row) []Missing {
	var out []Missing
	for _, row := range rows {
		if row.NotRun || row.IsWithinBound() {
			continue
		}
		i := slices.IndexFunc(out, func(m Missing) bool { return m.Mechanism == row.mechanism })
		switch {
		case i < 0:
			out = append(out, Missing{Mechanism: row.mechanism, First: row})
		case row.Part < out[i].First.Part:
			out[i].First = row
			out[i].Others++
		default:
			out[i].Others++
		}
	}
	slices.SortStableFunc(out, func(a, b Missing) int { return cmp.Compare(a.First.Part, b.First.Part) })
	return out
}
