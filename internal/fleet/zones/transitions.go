package zones

import (
	"slices"

	"meadowsill/internal/fleet"
)

// Events of a zone.
const (
	Lost        = "lost"    // a quorum of nodes and of zones sees the zone fail; in a recovery: the attempts of the step are lost
	CutOff      = "cut-off" // the nodes of one zone see the zone fail, the others see it healthy
	Gray        = "gray"    // a part of the fleet's attempts is lost, spread over the zone's servers
	Region      = "region"  // most zones of the zone's region are lost
	TimeElapsed = "quiet"   // time has passed
	Answered    = "answers" // there are enough fresh answers
)

// Transition is a row of the state table. The core makes no other transition. CountsRelapse says that it counts a relapse.
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

// Table returns every transition that State.Apply accepts, in the order of the page's state table.
func Table() []Transition { return slices.Clone(table) }

// isLegal reports whether the state table has a row for a transition.
func isLegal(source, event, target string, countsRelapse bool) bool {
	return slices.ContainsFunc(table, func(t Transition) bool {
		return t.Source == source && t.Event == event && t.Target == target && t.CountsRelapse == countsRelapse
	})
}
