package zones

import (
	"slices"

	"meadowsill/internal/fleet"
)

// Events of a zone.
const (
	Lost        = "lost"    // a quorum of nodes and of zones sees it fail; in a recovery: the step's attempts are lost
	CutOff      = "cut-off" // the nodes of one zone see it fail, the others see it well
	Gray        = "gray"    // a share of the fleet's attempts is lost, spread over its servers
	Region      = "region"  // most of its region's zones are lost
	TimeElapsed = "quiet"   // time has passed
	Answered    = "answers" // fresh answers, enough of them
)

// Transition is a row of the state table: the core makes no other. CountsRelapse says that the row counts a relapse.
type Transition struct {
	Source        string
	Event         string
	Condition     string
	Target        string
	CountsRelapse bool
}

var table = []Transition{
	{fleet.Serving, Lost, "room for all of it", fleet.Evacuated, false},
	{fleet.Serving, Lost, "room for a part", fleet.Evacuated, false},
	{fleet.Serving, Lost, "returned in the last 60 s", fleet.Evacuated, true},
	{fleet.Serving, Lost, "below the panic threshold", fleet.Serving, false},
	{fleet.Serving, CutOff, "of observers X", fleet.Evacuated, false},
	{fleet.Serving, CutOff, "returned in the last 60 s", fleet.Evacuated, true},
	{fleet.Serving, Gray, "share p lost", fleet.Evacuated, false},
	{fleet.Serving, Gray, "returned in the last 60 s", fleet.Evacuated, true},
	{fleet.Serving, Region, "most of its region's zones are lost", fleet.Evacuated, false},
	{fleet.Serving, TimeElapsed, "60 s without a relapse", fleet.Serving, false},
	{fleet.Evacuated, Lost, "no more room", fleet.Evacuated, false},
	{fleet.Evacuated, Lost, "more room for what is still served", fleet.Evacuated, false},
	{fleet.Evacuated, CutOff, "more room for what is still served", fleet.Evacuated, false},
	{fleet.Evacuated, Gray, "p changed by 0.2 or more", fleet.Evacuated, false},
	{fleet.Evacuated, TimeElapsed, "the hold-off is not over", fleet.Evacuated, false},
	{fleet.Evacuated, TimeElapsed, "the hold-off is over", fleet.Probation, false},
	{fleet.Evacuated, Answered, "a part was still served, the hold-off is over, enough", fleet.Recovering, false},
	{fleet.Probation, Answered, "enough, under 0.1 lost", fleet.Probation, false},
	{fleet.Probation, TimeElapsed, "the trial that had its answers is over", fleet.Recovering, false},
	{fleet.Probation, Lost, "", fleet.Evacuated, true},
	{fleet.Probation, TimeElapsed, "3 s without answers enough", fleet.Probation, false},
	{fleet.Probation, TimeElapsed, "the former trial is over, without answers enough", fleet.Probation, false},
	{fleet.Recovering, Answered, "enough of this step, not the last", fleet.Recovering, false},
	{fleet.Recovering, Answered, "enough of the last step", fleet.Serving, false},
	{fleet.Recovering, Lost, "step 1, or a quorum sees it fail", fleet.Evacuated, true},
	{fleet.Recovering, Lost, "a later step, in part", fleet.Recovering, true},
	{fleet.Recovering, TimeElapsed, "10 s without answers enough", fleet.Recovering, false},
}

// Table returns every transition that State.Apply takes, in the page's order.
func Table() []Transition { return slices.Clone(table) }

// isLegal reports whether some row goes so.
func isLegal(from, event, to string, back bool) bool {
	return slices.ContainsFunc(table, func(t Transition) bool {
		return t.Source == from && t.Event == event && t.Target == to && t.CountsRelapse == back
	})
}
