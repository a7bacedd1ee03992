package drift

import "time"

// Bounds are the times and shares that verdicts and repairs go by (docs/drift.md).
type Bounds struct {
	CatchUp time.Duration // an item outstanding for so long is stuck
	Fresh   time.Duration // without a report for so long a node is silent
	Ahead   time.Duration // a revision above the leader's for so long is ahead
	Away    time.Duration // without a step for so long the judge itself was away
	Settle  time.Duration // settings that most nodes hold for so long are the fleet's
	Forget  time.Duration // a silent node without a session is forgotten
	Refresh time.Duration // counts of a verdict that lasts are written so often

	Wait, WaitMost time.Duration // after the first re-send, doubled by each further step; at most
	Tries          int           // re-sends before the agent restarts
	Damp           time.Duration // a node that drifts again within it has relapsed
	ResendEvery    time.Duration // over the fleet; as many as fit a second at once
	StrongEvery    time.Duration // over the fleet: restarts, and nodes taken out
	OutShare       float64       // of the present nodes: most that are out at once, rounded down
	DoubtShare     float64       // of the present nodes: with more drifting, the detector doubts itself
	DoubtMin       int           // and with no fewer than so many
	DoubtEnd       float64       // under this share for DoubtHold, it trusts itself again
	DoubtHold      time.Duration
}

// Defaults are the bounds that the page names.
func Defaults() Bounds {
	const s = time.Second
	return Bounds{CatchUp: 3 * s, Fresh: 2 * s, Ahead: s, Away: s, Settle: 3 * s, Forget: 600 * s, Refresh: 10 * s,
		Wait: 2 * s, WaitMost: 64 * s, Tries: 3, Damp: 60 * s, ResendEvery: 200 * time.Millisecond, StrongEvery: 5 * s,
		OutShare: 0.1, DoubtShare: 0.3, DoubtMin: 3, DoubtEnd: 0.15, DoubtHold: 10 * s}
}
