// Package zones decides when the fleet leaves a zone or region and how it returns (docs/fleet.md, "Zones"). It is a
// pure core: no I/O, no clock, no goroutine. State is replicated and knows no time; Judge is the leader's own soft
// knowledge, is given the time, and gives the commands that change State.
package zones

import (
	"fmt"
	"math"
	"time"

	"meadowsill/internal/fleet"
)

// Settings are the bounds of the judgement. Default fills in what docs/fleet.md states; a zero field of the first
// group is taken as it is.
type Settings struct {
	Region   map[string]string // zone -> region; a zone that is not named counts for no quorum of zones, where any is
	Slots    int               // nodes at most: what budgets are divided by; more present nodes are divided by too
	ColdFrom float64           // part of its rate that a started server bears
	ColdTime fleet.Time        // after which it bears all

	Look      fleet.Time // evidence of so long is judged
	Stale     fleet.Time // a node's evidence older than this is not counted
	Hold      fleet.Time // a finding must hold for so long
	CutHold   fleet.Time // a zone cut off: longer, as a zone that is being lost looks so at first
	GrayHold  fleet.Time // a gray finding
	GraySlow  fleet.Time // a gray finding that bad servers may explain
	FailPart  float64    // of a node's tried servers lost: it sees the zone fail
	GrayFrom  float64    // share lost of the fleet's attempts: gray
	GrayStep  float64    // a gray share is changed by this or more
	GrayTries int        // attempts that a gray finding needs
	Headroom  float64    // a server that was never full bears this multiple of the most it gave
	RoomPart  float64    // of what others bear is reckoned with
	Panic     float64    // part of all servers that stays at least

	HoldOff    fleet.Time // before probation; doubled by each relapse
	HoldOffMax fleet.Time
	Calm       fleet.Time // without a relapse: hold-off halved
	Trials     int        // nodes that try in probation
	TrialTime  fleet.Time // without enough answers: other nodes
	TrialNeed  int        // answers that end probation
	Steps      []float64  // shares of the return; the last is 1
	StepTime   fleet.Time // each at least
	StepNeed   int        // answers of a step that it needs
	StepLost   float64    // under this share lost
	BackFrom   float64    // at this share lost the step is lost
	MinBudget  float64    // requests/s to a server of which nothing is known
	Valid      fleet.Time // of a directive since a replica confirmed it
}

// Default is Settings as docs/fleet.md states them, for a fleet of so many slots.
func Default(slots int) Settings {
	return Settings{Slots: slots, ColdFrom: 0.2, ColdTime: 5 * time.Second,
		Look: time.Second, Stale: 2 * time.Second, Hold: 200 * time.Millisecond, CutHold: 600 * time.Millisecond, GrayHold: time.Second, GraySlow: 5 * time.Second,
		FailPart: 0.6, GrayFrom: 0.15, GrayStep: 0.2, GrayTries: 20, Headroom: 2, RoomPart: 0.9, Panic: 0.4,
		HoldOff: 2 * time.Second, HoldOffMax: time.Minute, Calm: time.Minute,
		Trials: 3, TrialTime: 3 * time.Second, TrialNeed: 6,
		Steps: []float64{0.1, 0.25, 0.5, 1}, StepTime: time.Second, StepNeed: 20, StepLost: 0.1, BackFrom: 0.3,
		MinBudget: 4, Valid: 5 * time.Second}
}

// Check gives an error that names the first field with a value that can't be used.
func (s *Settings) Check() error {
	bad := func(field, why string) error { return fmt.Errorf("%w: zones %s: %s", fleet.ErrInvalid, field, why) }
	part := func(x float64) bool { return x >= 0 && x <= 1 } // no NaN
	switch {
	case s.Slots < 1:
		return bad("slots", "below 1")
	case !part(s.ColdFrom) || s.ColdFrom == 0:
		return bad("cold.from", "not in (0, 1]")
	case s.ColdTime < 0:
		return bad("cold.time_ms", "negative")
	case s.Look <= 0 || s.Stale < s.Look || s.Valid <= 0 || s.HoldOff <= 0 || s.HoldOffMax < s.HoldOff:
		return bad("times", "look, stale, valid or hold_off out of order")
	case !part(s.FailPart) || !part(s.GrayFrom) || !part(s.Panic) || !part(s.RoomPart) || !(s.Headroom >= 1):
		return bad("bounds", "a part is not in [0, 1]")
	case len(s.Steps) == 0 || s.Steps[len(s.Steps)-1] != 1:
		return bad("steps", "the last is not 1")
	}
	for i, x := range s.Steps {
		if !(x > 0) || i > 0 && x <= s.Steps[i-1] {
			return bad("steps", "not rising from above 0")
		}
	}
	return nil
}

// hold is the hold-off after so many relapses, and the most relapses that are counted.
func (s *Settings) hold(relapse int) fleet.Time {
	d := s.HoldOff
	for range relapse {
		if d *= 2; d >= s.HoldOffMax {
			return s.HoldOffMax
		}
	}
	return d
}

func (s *Settings) maxRelapse() (n int) {
	for s.hold(n) < s.HoldOffMax {
		n++
	}
	return n
}

// floor is what a directive of the return falls to: 0, or what was served all along, until the first step is proved.
func (s *Settings) floor(base float64, step int) float64 {
	if step < 2 {
		return base
	}
	return math.Max(base, s.Steps[0])
}
