// Package zones decides when the fleet evacuates a zone or region and how it returns (docs/fleet.md, "Zones"). It is a
// pure core: no I/O, no clock, no goroutine. State is replicated and knows no time; Controller is the leader's own soft
// knowledge, is given the time, and gives the commands that change State.
package zones

import (
	"fmt"
	"math"
	"time"

	"meadowsill/internal/fleet"
)

// Settings are the bounds of the evaluation. Default fills in what docs/fleet.md states; a zero field of the first
// group is taken as it is.
type Settings struct {
	Region               map[string]string // zone -> region; a zone that is not named counts for no quorum of zones, where any is
	Slots                int               // nodes at most: what budgets are divided by; more present nodes are divided by too
	SlowStartMinCapacity float64           // part of its rate that a started server bears
	SlowStartWindow      fleet.Time        // after which it bears all

	EvidenceWindow     fleet.Time // evidence of so long is evaluated
	EvidenceLifetime   fleet.Time // a node's evidence older than this is not counted
	LostDelay          fleet.Time // a finding must hold for so long
	CutOffDelay        fleet.Time // a zone cut off: longer, as a zone that is being lost looks so at first
	GrayDelay          fleet.Time // a gray finding
	GrayServersDelay   fleet.Time // a gray finding that bad servers may explain
	FailingServersPart float64    // of a node's tried servers lost: it sees the zone fail
	MinGrayLoss        float64    // share lost of the fleet's attempts: gray
	MinShareChange     float64    // a gray share is changed by this or more
	MinGrayAttempts    int        // attempts that a gray finding needs
	CapacityFactor     float64    // a server that was never full bears this multiple of the most it gave
	UsableCapacityPart float64    // of what others bear is reckoned with
	MinServersPart     float64    // part of all servers that stays at least

	InitialBackoff    fleet.Time // before probation; doubled by each relapse
	MaxBackoff        fleet.Time
	RelapseMemory     fleet.Time // without a relapse: backoff halved
	TrialNodes        int        // nodes that try in probation
	TrialTimeout      fleet.Time // without enough answers: other nodes
	MinTrialAnswers   int        // answers that end probation
	Steps             []float64  // shares of the recovery; the last is 1
	MinStepTime       fleet.Time // each at least
	MinStepAnswers    int        // answers of a step that it needs
	MaxStepLoss       float64    // under this share lost
	RelapseLoss       float64    // at this share lost the step is lost
	MinServerBudget   float64    // requests/s to a server of which nothing is known
	DirectiveLifetime fleet.Time // of a directive since a replica confirmed it
}

// Default is Settings as docs/fleet.md states them, for a fleet of so many slots.
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

// Check returns an error that names the first field with a value that can't be used.
func (s *Settings) Check() error {
	bad := func(field, why string) error { return fmt.Errorf("%w: zones %s: %s", fleet.ErrInvalid, field, why) }
	part := func(x float64) bool { return x >= 0 && x <= 1 } // no NaN
	switch {
	case s.Slots < 1:
		return bad("slots", "below 1")
	case !part(s.SlowStartMinCapacity) || s.SlowStartMinCapacity == 0:
		return bad("cold.from", "not in (0, 1]")
	case s.SlowStartWindow < 0:
		return bad("cold.time_ms", "negative")
	case s.EvidenceWindow <= 0 || s.EvidenceLifetime < s.EvidenceWindow || s.DirectiveLifetime <= 0 || s.InitialBackoff <= 0 || s.MaxBackoff < s.InitialBackoff:
		return bad("times", "evidence window, evidence lifetime, directive lifetime or backoff out of order")
	case !part(s.FailingServersPart) || !part(s.MinGrayLoss) || !part(s.MinServersPart) || !part(s.UsableCapacityPart) || !(s.CapacityFactor >= 1):
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

// backoff is the backoff after so many relapses, and the most relapses that are counted.
func (s *Settings) backoff(relapse int) fleet.Time {
	d := s.InitialBackoff
	for range relapse {
		if d *= 2; d >= s.MaxBackoff {
			return s.MaxBackoff
		}
	}
	return d
}

func (s *Settings) maxRelapse() (n int) {
	for s.backoff(n) < s.MaxBackoff {
		n++
	}
	return n
}

// floor is what a directive of the recovery falls to: 0, or what was served all along, until the first step is proved.
func (s *Settings) floor(base float64, step int) float64 {
	if step < 2 {
		return base
	}
	return math.Max(base, s.Steps[0])
}
