package drift

import "time"

// Bounds are the time limits and ratios for verdicts and repairs (docs/drift.md).
type Bounds struct {
	MaxLag          time.Duration // an item outstanding for this long makes the node stuck
	ReportLifetime  time.Duration // without a report for this long a node is silent
	MaxAheadTime    time.Duration // a node above the leader's revision for this long is ahead
	MaxStepGap      time.Duration // if no step ran for this long, the detector itself was paused
	BaselineDelay   time.Duration // settings that most nodes have for this long become the fleet's
	ForgetAfter     time.Duration // a silent node without a session is forgotten after this time
	RefreshInterval time.Duration // how often the counts of an unchanged verdict are written

	// InitialRepairDelay is the wait after the first re-send; each further step doubles it, up to MaxRepairDelay.
	InitialRepairDelay  time.Duration
	MaxRepairDelay      time.Duration
	MaxResends          int           // re-sends before the agent restarts
	RelapseWindow       time.Duration // a node that drifts again within this time has relapsed
	ResendInterval      time.Duration // between re-sends in the whole fleet, with bursts of one second's worth
	DisruptiveInterval  time.Duration // between restarts and removals from the load balancer in the whole fleet
	MaxTakenOutPart     float64       // part of the present nodes that may be taken out at the same time, rounded down
	SuspectSelfPart     float64       // the detector suspects itself if more than this part of the present nodes drifts
	SuspectSelfMinNodes int           // and at least this many nodes drift
	TrustSelfPart       float64       // it trusts itself again after TrustSelfDelay below this part
	TrustSelfDelay      time.Duration
}

// Defaults returns the bounds that docs/drift.md names.
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
