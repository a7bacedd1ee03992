package capacity

import (
	"cmp"
	"slices"
)

// Mechanism is a part of the design that keeps a cost within its bound at the planned size, or would do so if it were built.
type Mechanism string

// The mechanisms, built or missing; None stands for a cost that needs no mechanism.
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

// check compares one cost with its allowed value. formula describes in words what cost computes.
type check struct {
	role        Role
	quantity    string
	formula     string
	slopes      []ID // slopes that cost uses
	unit        string
	cost        func(p Plan, s Slopes) float64
	allowed     func(p Plan, s Slopes) float64
	boundReason string // origin of the allowed value where the plan does not state it
	assumptions string // assumptions for a part of the cost that is not measured; empty if all of it is measured
	mechanism   Mechanism
	past        *past // the cost before the mechanism; nil: the same formula with the earlier slopes
}

// past is a cost as it was computed before the mechanism.
type past struct {
	slopes []ID // slopes that cost uses
	cost   func(p Plan, s Slopes) float64
}

// Row is a check with its result.
type Row struct {
	check
	Result  float64
	Allowed float64
	Part    float64 // part of the planned size at which Allowed is reached; 1 if the cost is within it at the planned size
	NotRun  bool    // there is no result because one of the slopes was never measured
}

// IsWithinBound reports whether the cost at the planned size is measured and at most the allowed value.
func (r Row) IsWithinBound() bool { return !r.NotRun && r.Result <= r.Allowed }

// Rows runs every check.
func Rows(plan Plan, slopes Slopes) []Row { return runChecks(allChecks(), plan, slopes) }

// PastRows runs every check with the costs and the slopes from before the mechanism, in the order of Rows. A cost without a
// measurement from that time is not run.
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

const bisections = 60 // bisection steps in the search for a part

// largestWithinBounds returns the largest part of the planned size at which a cost is within its allowed value.
func largestWithinBounds(c check, plan Plan, slopes Slopes) float64 {
	low, high := 0.0, 1.0
	for range bisections {
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

// Missing is a mechanism that is not built, with the check that fails first without it.
type Missing struct {
	Mechanism Mechanism
	First     Row
	Others    int // number of further checks that fail without the mechanism
}

// MissingFirst returns the missing mechanisms, ordered by the part of the plan at which their first check fails.
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
