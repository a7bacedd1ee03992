package zones

import (
	"math"

	"meadowsill/internal/fleet"
)

// Portion is a directive as it holds for one node.
type Portion struct {
	Share float64 // of the zone's ordinary attempts that the node may make
	Rate  float64 // requests/s that it may send to each of the zone's servers, ordinary or trial; 0: no limit
	Trial bool    // it tries the zone, with safe requests only, within Rate
}

// Part gives a node's portion of a directive, by fleet.ZoneBody: while it is valid, or past its ValidMS.
func Part(d fleet.Directive, node string, past bool) Portion {
	h := fleet.ZoneBody(0, d, node)
	p := Portion{Share: h.Share, Rate: h.Rate, Trial: h.Trial && !past}
	if past {
		if p.Share > 0 {
			p.Rate *= d.Floor / p.Share // the budget of the floor, as the larger one's is no longer known to hold
		}
		p.Share = d.Floor
	}
	return p
}

// Merge gives what holds where two directives are on one zone, for all and for the node's zone: the less of each. A
// trial holds only where the other serves or tries too.
func Merge(a, b Portion) Portion {
	p := Portion{Share: math.Min(a.Share, b.Share), Rate: a.Rate}
	if b.Rate > 0 && (a.Rate == 0 || b.Rate < a.Rate) {
		p.Rate = b.Rate
	}
	p.Trial = a.Trial && (b.Trial || b.Share > 0) || b.Trial && a.Share > 0
	return p
}
