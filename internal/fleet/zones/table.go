package zones

import (
	"slices"

	"meadowsill/internal/fleet"
)

// Events of a zone.
const (
	Lost    = "lost"    // a quorum of nodes and of zones sees it fail; in a return: the step's attempts are lost
	CutOff  = "cut-off" // the nodes of one zone see it fail, the others see it well
	Gray    = "gray"    // a share of the fleet's attempts is lost, spread over its servers
	Region  = "region"  // most of its region's zones are lost
	Quiet   = "quiet"   // time has passed
	Answers = "answers" // fresh answers, enough of them
)

// Transition is a row of the state table: the core makes no other. Back says that the row counts a relapse.
type Transition struct {
	From, Event, Condition, To string
	Back                       bool
}

var table = []Transition{
	{fleet.Serving, Lost, "room for all of it", fleet.Left, false},
	{fleet.Serving, Lost, "room for a part", fleet.Left, false},
	{fleet.Serving, Lost, "returned in the last 60 s", fleet.Left, true},
	{fleet.Serving, Lost, "below the panic threshold", fleet.Serving, false},
	{fleet.Serving, CutOff, "of observers X", fleet.Left, false},
	{fleet.Serving, CutOff, "returned in the last 60 s", fleet.Left, true},
	{fleet.Serving, Gray, "share p lost", fleet.Left, false},
	{fleet.Serving, Gray, "returned in the last 60 s", fleet.Left, true},
	{fleet.Serving, Region, "most of its region's zones are lost", fleet.Left, false},
	{fleet.Serving, Quiet, "60 s without a relapse", fleet.Serving, false},
	{fleet.Left, Lost, "no more room", fleet.Left, false},
	{fleet.Left, Lost, "more room for what is still served", fleet.Left, false},
	{fleet.Left, CutOff, "more room for what is still served", fleet.Left, false},
	{fleet.Left, Gray, "p changed by 0.2 or more", fleet.Left, false},
	{fleet.Left, Quiet, "the hold-off is not over", fleet.Left, false},
	{fleet.Left, Quiet, "the hold-off is over", fleet.Probation, false},
	{fleet.Left, Answers, "a part was still served, the hold-off is over, enough", fleet.Returning, false},
	{fleet.Probation, Answers, "enough, under 0.1 lost", fleet.Probation, false},
	{fleet.Probation, Quiet, "the trial that had its answers is over", fleet.Returning, false},
	{fleet.Probation, Lost, "", fleet.Left, true},
	{fleet.Probation, Quiet, "3 s without answers enough", fleet.Probation, false},
	{fleet.Probation, Quiet, "the former trial is over, without answers enough", fleet.Probation, false},
	{fleet.Returning, Answers, "enough of this step, not the last", fleet.Returning, false},
	{fleet.Returning, Answers, "enough of the last step", fleet.Serving, false},
	{fleet.Returning, Lost, "step 1, or a quorum sees it fail", fleet.Left, true},
	{fleet.Returning, Lost, "a later step, in part", fleet.Returning, true},
	{fleet.Returning, Quiet, "10 s without answers enough", fleet.Returning, false},
}

// Table gives every transition that State.Apply takes, in the page's order.
func Table() []Transition { return slices.Clone(table) }

// legal tells whether some row goes so.
func legal(from, event, to string, back bool) bool {
	return slices.ContainsFunc(table, func(t Transition) bool {
		return t.From == from && t.Event == event && t.To == to && t.Back == back
	})
}
