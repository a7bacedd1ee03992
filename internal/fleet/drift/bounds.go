package drift

import "time"

// Bounds are the times and shares that verdicts and repairs go by (docs/drift.md).
type Bounds struct {
	MaxLag          time.Duration // an item outstanding for so long is stuck
	ReportLifetime  time.Duration // without a report for so long a node is silent
	MaxAheadTime    time.Duration // a revision above the leader's for so long is ahead
	MaxStepGap      time.Duration // without a step for so long the detector itself was away
	BaselineDelay   time.Duration // settings that most nodes hold for so long are the fleet's
	ForgetAfter     time.Duration // a silent node without a session is forgotten
	RefreshInterval time.Duration // counts of a verdict that lasts are written so often

	// after the first re-send, doubled by each further step; at most
	InitialRepairDelay  time.Duration
	MaxRepairDelay      time.Duration
	MaxResends          int           // re-sends before the agent restarts
	RelapseWindow       time.Duration // a node that drifts again within it has relapsed
	ResendInterval      time.Duration // over the fleet; as many as fit a second at once
	DisruptiveInterval  time.Duration // over the fleet: restarts, and nodes taken out
	MaxTakenOutPart     float64       // of the present nodes: most that are out at once, rounded down
	SuspectSelfPart     float64       // of the present nodes: with more drifting, the detector suspects itself
	SuspectSelfMinNodes int           // and with no fewer than so many
	TrustSelfPart       float64       // under this share for TrustSelfDelay, it trusts itself again
	TrustSelfDelay      time.Duration
}

// Defaults are the bounds that the page names.
func Defaults() Bounds {
	const s = time.Second
	return Bounds{
		MaxLag:              3 * s,
		ReportLifetime:      2 * s,
		MaxAheadTime:        s,
		MaxStepGap:          s,
		BaselineDelay:       3 * s,
		ForgetAfter:         600 * s,
		RefreshInterval:     10 * s,
		InitialRepairDelay:  2 * s,
		MaxRepairDelay:      64 * s,
		MaxResends:          3,
		RelapseWindow:       60 * s,
		ResendInterval:      200 * time.Millisecond,
		DisruptiveInterval:  5 * s,
		MaxTakenOutPart:     0.1,
		SuspectSelfPart:     0.3,
		SuspectSelfMinNodes: 3,
		TrustSelfPart:       0.15,
		TrustSelfDelay:      10 * s,
	}
}
