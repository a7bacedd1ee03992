package zones

import (
	"math"

	"meadowsill/internal/fleet"
)

// NodeShare is what a directive allows one node.
type NodeShare struct {
	Share float64 // part of the zone's ordinary attempts that the node may make: 0 none, 1 all
	Rate  float64 // requests/s that the node may send to each of the zone's servers, ordinary or trial; 0: no limit
	Trial bool    // the node sends trial requests to the zone: idempotent requests only, within Rate
}

// NodeShareOf returns what directive d allows a node, by fleet.AppliedZoneOf. expired says that the directive is past its
// ValidMS: the floor then holds instead of the share, and the node sends no trial requests.
func NodeShareOf(d fleet.Directive, node string, expired bool) NodeShare {
	applied := fleet.AppliedZoneOf(0, d, node)
	share := NodeShare{Share: applied.Share, Rate: applied.Rate, Trial: applied.Trial && !expired}
	if expired {
		if share.Share > 0 {
			// The budget is scaled down to the floor, as the budget of the larger share may no longer be in force.
			share.Rate *= d.Floor / share.Share
		}
		share.Share = d.Floor
	}
	return share
}

// MergeShares combines two directives on one zone, the one for every node and the one for the nodes of this node's zone:
// the smaller share and the smaller rate apply. The node sends trial requests only where one directive has it send them and
// the other one gives it a share of the zone or has it send trial requests too.
func MergeShares(a, b NodeShare) NodeShare {
	merged := NodeShare{Share: math.Min(a.Share, b.Share), Rate: a.Rate}
	if b.Rate > 0 && (a.Rate == 0 || b.Rate < a.Rate) {
		merged.Rate = b.Rate
	}
	merged.Trial = a.Trial && (b.Trial || b.Share > 0) || b.Trial && a.Share > 0
	return merged
}
