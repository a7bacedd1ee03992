// Package zones decides when the fleet evacuates a zone or region and how the fleet returns to it (docs/fleet.md, "Zones").
// The package is a pure core: it does no I/O, reads no clock and starts no goroutine. State is replicated and holds no
// times. Controller is knowledge that only the leader has and that is not replicated; it gets the time as an argument and
// returns the commands that change State.
package zones

import (
	"fmt"
	"math"
	"time"

	"meadowsill/internal/fleet"
)

// Settings are the bounds of the evaluation. Default fills in the values that docs/fleet.md states. In the first group a
// zero value is used as it is.
type Settings struct {
	Region               map[string]string // zone -> region; where any zone has a region, a zone without one does not count for the quorum of zones
	Slots                int               // expected maximum of nodes; budgets are divided by the greater of it and the number of present nodes
	SlowStartMinCapacity float64           // part of its full rate that a server can serve when it has just started
	SlowStartWindow      fleet.Time        // time after which a started server can serve its full rate

	EvidenceWindow     fleet.Time // length of the evidence that is evaluated
	EvidenceLifetime   fleet.Time // evidence of a node that is older than this is not counted
	LostDelay          fleet.Time // how long evidence of a lost zone must last
	CutOffDelay        fleet.Time // the same for a cut-off zone; longer, as a zone that is being lost looks cut off at first
	GrayDelay          fleet.Time // the same for a gray zone
	GrayServersDelay   fleet.Time // the same for a gray zone whose losses bad servers may explain
	FailingServersPart float64    // part of a node's tried servers lost from which the node sees the zone fail
	MinGrayLoss        float64    // part of the fleet's attempts lost from which a zone is gray
	MinShareChange     float64    // smallest change of a gray zone's share, and of an evacuated zone's share except to 0
	MinGrayAttempts    int        // attempts that evidence of a gray zone needs
	CapacityFactor     float64    // a server of a zone that was never full can serve this multiple of the highest rate seen
	UsableCapacityPart float64    // part of the other zones' capacity that an evacuation may use
	MinServersPart     float64    // part of all servers that must stay in use

	InitialBackoff    fleet.Time // time before probation; each relapse doubles it
	MaxBackoff        fleet.Time
	RelapseMemory     fleet.Time // time without a relapse after which the backoff is halved
	TrialNodes        int        // nodes that send trial requests in probation
	TrialTimeout      fleet.Time // a trial without enough answers ends after this, and other nodes follow
	MinTrialAnswers   int        // answers that a trial needs
	Steps             []float64  // shares of the recovery's steps, rising; the last is 1
	MinStepTime       fleet.Time // shortest time that a step takes
	MinStepAnswers    int        // answers that a step needs
	MaxStepLoss       float64    // part of the attempts lost below which a step or a trial succeeds
	RelapseLoss       float64    // part of the attempts lost from which a step fails
	MinServerBudget   float64    // requests/s to a server whose rate is not known
	DirectiveLifetime fleet.Time // validity of a directive since a replica last confirmed it
}

// Default returns the settings that docs/fleet.md states, for a fleet with the given number of slots.
func Default(slots int) Settings {
	return Settings{
		Slots:                slots,
		SlowStartMinCapacity: 0.2,
		SlowStartWindow:      5 * time.Second,
		EvidenceWindow:       time.Second,
		EvidenceLifetime:     2 * time.Second,
		LostDelay:            200 * time.Millisecond,
		CutOffDelay:          600 * time.Millisecond,
		GrayDelay:            time.Second,
		GrayServersDelay:     5 * time.Second,
		FailingServersPart:   0.6,
		MinGrayLoss:          0.15,
		MinShareChange:       0.2,
		MinGrayAttempts:      20,
		CapacityFactor:       2,
		UsableCapacityPart:   0.9,
		MinServersPart:       0.4,
		InitialBackoff:       2 * time.Second,
		MaxBackoff:           time.Minute,
		RelapseMemory:        time.Minute,
		TrialNodes:           3,
		TrialTimeout:         3 * time.Second,
		MinTrialAnswers:      6,
		Steps:                []float64{0.1, 0.25, 0.5, 1},
		MinStepTime:          time.Second,
		MinStepAnswers:       20,
		MaxStepLoss:          0.1,
		RelapseLoss:          0.3,
		MinServerBudget:      4,
		DirectiveLifetime:    5 * time.Second,
	}
}

// Check returns an error that names the first field whose value can't be used.
func (s *Settings) Check() error {
	invalid := func(field, why string) error { return fmt.Errorf("%w: zones %s: %s", fleet.ErrInvalid, field, why) }
	isFraction := func(x float64) bool { return x >= 0 && x <= 1 } // false for NaN
	switch {
	case s.Slots < 1:
		return invalid("slots", "below 1")
	case !isFraction(s.SlowStartMinCapacity) || s.SlowStartMinCapacity == 0:
		return invalid("cold.from", "not in (0, 1]")
	case s.SlowStartWindow < 0:
		return invalid("cold.time_ms", "negative")
	case s.EvidenceWindow <= 0 || s.EvidenceLifetime < s.EvidenceWindow || s.DirectiveLifetime <= 0 || s.InitialBackoff <= 0 || s.MaxBackoff < s.InitialBackoff:
		return invalid("times", "evidence window, evidence lifetime, directive lifetime or backoff out of order")
	case !isFraction(s.FailingServersPart) || !isFraction(s.MinGrayLoss) || !isFraction(s.MinServersPart) ||
		!isFraction(s.UsableCapacityPart) || !(s.CapacityFactor >= 1):
		return invalid("bounds", "a part is not in [0, 1]")
	case len(s.Steps) == 0 || s.Steps[len(s.Steps)-1] != 1:
		return invalid("steps", "the last is not 1")
	}
	for i, x := range s.Steps {
		if !(x > 0) || i > 0 && x <= s.Steps[i-1] {
			return invalid("steps", "not rising from above 0")
		}
	}
	return nil
}

// backoff returns the backoff after the given number of relapses, at most MaxBackoff. maxRelapses returns the number of
// relapses that leads to MaxBackoff; no more relapses are counted.
func (s *Settings) backoff(relapses int) fleet.Time {
	d := s.InitialBackoff
	for range relapses {
		if d *= 2; d >= s.MaxBackoff {
			return s.MaxBackoff
		}
	}
	return d
}

func (s *Settings) maxRelapses() (n int) {
	for s.backoff(n) < s.MaxBackoff {
		n++
	}
	return n
}

// floor returns the share that a directive of the recovery falls back to when it expires. Until the first step has
// succeeded, that is base: 0, or the share that was served all along. Afterwards it is at least the share of the first step.
func (s *Settings) floor(base float64, step int) float64 {
	if step < 2 {
		return base
	}
	return math.Max(base, s.Steps[0])
}
