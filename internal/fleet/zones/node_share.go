package zones

import (
	"math"

	"meadowsill/internal/fleet"
)

// NodeShare is a directive as it holds for one node.
type NodeShare struct {
	Share float64 // of the zone's ordinary attempts that the node may make
	Rate  float64 // requests/s that it may send to each of the zone's servers, ordinary or trial; 0: no limit
	Trial bool    // it sends trial requests to the zone, idempotent requests only, within Rate
}

// NodeShareOf returns a node's portion of a directive, by fleet.AppliedZoneOf: while it is valid, or past its ValidMS.
func NodeShareOf(d fleet.Directive, node string, past bool) NodeShare {
	h := fleet.AppliedZoneOf(0, d, node)
	p := NodeShare{Share: h.Share, Rate: h.Rate, Trial: h.Trial && !past}
	if past {
		if p.Share > 0 {
			p.Rate *= d.Floor / p.Share // the budget of the floor, as the larger one's is no longer known to hold
		}
		p.Share = d.Floor
	}
	return p
}

// MergeShares returns what holds where two directives are on one zone, for all and for the node's zone: the less of each. A
// trial holds only where the other serves or sends trial requests too.
func MergeShares(a, b NodeShare) NodeShare {
	p := NodeShare{Share: math.Min(a.Share, b.Share), Rate: a.Rate}
	if b.Rate > 0 && (a.Rate == 0 || b.Rate < a.Rate) {
		p.Rate = b.Rate
	}
	p.Trial = a.Trial && (b.Trial || b.Share > 0) || b.Trial && a.Share > 0
	return p
}
