package zones

import (
	"math"

	"meadowsill/internal/fleet"
)

// lostZonePart is the part of the fleet's attempts lost from which a zone is lost even though each node uses only one of
// its servers and so has no vote on it. The part must be reached without the attempts of any one node and of any one zone,
// and most nodes must have made attempts.
const lostZonePart = 0.9

// voteCount is how many nodes have a vote on a zone, and how they vote.
type voteCount struct {
	failing int
	healthy int
	cast    int
}

// countVotes returns the votes on a zone, by the zone of the voting nodes and in total.
func (v fleetView) countVotes(zone string) (byZone map[string]voteCount, total voteCount) {
	byZone = make(map[string]voteCount, len(v.presentByZone))
	for i := range v.nodes {
		node := &v.nodes[i]
		c := node.zones[zone]
		nodeVote := c.vote
		if nodeVote == noVote && c.newestAnswered { // too little evidence for a vote, and no sign that the zone fails
			nodeVote = voteHealthy
		}
		if nodeVote == noVote || node.faulty {
			continue
		}
		count := byZone[node.Zone]
		count.cast++
		total.cast++
		switch nodeVote {
		case voteFailing:
			count.failing++
			total.failing++
		case voteHealthy:
			count.healthy++
			total.healthy++
		}
		byZone[node.Zone] = count
	}
	return byZone, total
}

// isLost reports whether a quorum of nodes and a quorum of zones see the zone fail.
func (s *Settings) isLost(v fleetView, zone string, byZone map[string]voteCount, total voteCount) bool {
	observers := 0 // other zones with nodes, which could vote
	for observer := range v.presentByZone {
		if observer != zone && s.countsForQuorum(observer) {
			observers++
		}
	}
	voting, agreeing := 0, 0
	for observer, count := range byZone {
		if observer != zone && s.countsForQuorum(observer) {
			voting++
			if 2*count.failing > count.cast {
				agreeing++
			}
		}
	}
	return 2*total.failing > total.cast && total.failing >= 2 && (voting == 0 || 2*agreeing > voting) && (observers < 2 || agreeing >= 2)
}

// countsForQuorum reports whether a zone counts for the quorum of zones: where regions are set, only a zone with a region does.
func (s *Settings) countsForQuorum(zone string) bool {
	return len(s.Region) == 0 || s.Region[zone] != ""
}

// isCutOff reports whether the nodes of the observing zone see a zone fail while the nodes of the other zones see it healthy.
func isCutOff(v fleetView, observer string, byZone map[string]voteCount, total voteCount) bool {
	own := byZone[observer]
	return 2*own.failing > own.cast && (own.failing >= 2 || own.failing == 1 && v.presentByZone[observer] == 1) &&
		2*(total.healthy-own.healthy) > total.cast-own.cast
}

// nodeAttempts are one node's attempts at a zone. The fleet's loss is computed from those of all nodes.
type nodeAttempts struct {
	zone        string
	attempts    float64
	lost        float64
	lostServers float64
}

// robustLossPart returns the part of the attempts that is lost, and the numbers of attempts and of nodes that it is computed
// from. The part is the smallest result with all attempts, without those of any one node, and without those of any one zone.
// It is 0 where several zones have nodes but only one zone's nodes made attempts. robustLossPart clamps the counts in perNode.
func robustLossPart(perNode []nodeAttempts, observerZones int) (p float64, attempts float64, nodes int) {
	counts := make([]float64, len(perNode))
	for i, t := range perNode {
		counts[i] = t.attempts
	}
	byZone := map[string]nodeAttempts{}
	var sum nodeAttempts
	for i, c := range clampToMedian(counts) {
		if counts[i] <= 0 {
			continue
		}
		scale := c / counts[i]
		perNode[i] = nodeAttempts{perNode[i].zone, c, perNode[i].lost * scale, perNode[i].lostServers * scale}
		t := byZone[perNode[i].zone]
		byZone[perNode[i].zone] = nodeAttempts{perNode[i].zone, t.attempts + c, t.lost + perNode[i].lost, 0}
		sum.attempts += c
		sum.lost += perNode[i].lost
		nodes += 1
	}
	if nodes == 0 || len(byZone) == 1 && observerZones > 1 {
		return 0, sum.attempts, nodes
	}
	share := func(excluded nodeAttempts) float64 {
		if sum.attempts-excluded.attempts <= 0 {
			return 0
		}
		return math.Max(0, (sum.lost-excluded.lost)/(sum.attempts-excluded.attempts))
	}
	p = share(nodeAttempts{})
	for _, t := range perNode {
		p = math.Min(p, share(t))
	}
	if len(byZone) > 1 {
		for _, t := range byZone {
			p = math.Min(p, share(t))
		}
	}
	return p, sum.attempts, nodes
}

// grayLoss returns the part of the fleet's attempts at a zone that is lost (0 where the evidence is too weak), the number of
// nodes that made attempts, and how long the evidence must last. The delay is longer where most was lost at servers that
// gave no answer at all in their windows: those may be bad servers in a good zone, which nodes avoid by themselves.
func (s *Settings) grayLoss(v fleetView, zone string) (p float64, nodes int, delay fleet.Time) {
	var perNode []nodeAttempts
	lost, lostServers := 0, 0
	for _, s := range v.nodes {
		c := s.zones[zone]
		if s.faulty || c.attempts == 0 {
			continue
		}
		perNode = append(perNode, nodeAttempts{s.Zone, float64(c.attempts), float64(c.lost), float64(c.lostServers)})
		lost, lostServers = lost+c.lost, lostServers+c.lostServers
	}
	p, attempts, nodes := robustLossPart(perNode, len(v.presentByZone))
	if p < s.MinGrayLoss || attempts < float64(s.MinGrayAttempts) || nodes < 3 {
		return 0, nodes, 0
	}
	if 2*lostServers > lost {
		return p, nodes, s.GrayServersDelay
	}
	return p, nodes, s.GrayDelay
}

// grayTrafficShare returns the share, in tenths, that is still served of a zone that loses part p of its attempts.
func grayTrafficShare(p float64) float64 { return math.Round(10*(1-p)) / 10 }

// findEvidence returns the present evidence by key. The delay of each runs since the evidence was first found without a gap.
func (ctl *Controller) findEvidence(v fleetView, s *State) map[string]Evidence {
	out := map[string]Evidence{}
	add := func(key, event string, nodes, votes int, p float64, delay fleet.Time) {
		out[key] = Evidence{Key: key, Event: event, Nodes: nodes, Votes: votes, Lost: p, requiredTime: delay}
	}
	for _, zone := range v.zones {
		byZone, total := v.countVotes(zone)
		if ctl.settings.isLost(v, zone, byZone, total) {
			add(Key(zone, ""), Lost, total.failing, total.cast, 1, ctl.settings.LostDelay)
			continue
		}
		if p, nodes, delay := ctl.settings.grayLoss(v, zone); p >= lostZonePart && 2*nodes > len(v.nodes) {
			add(Key(zone, ""), Lost, nodes, nodes, p, ctl.settings.LostDelay)
			continue
		} else if p > 0 {
			add(Key(zone, ""), Gray, nodes, nodes, p, delay)
		}
		for observer := range v.presentByZone {
			if isCutOff(v, observer, byZone, total) {
				add(Key(zone, observer), CutOff, byZone[observer].failing, byZone[observer].cast, 1, ctl.settings.CutOffDelay)
			}
		}
	}
	for key, ev := range out {
		ev.Since = v.now
		if old, ok := ctl.evidence[key]; ok && old.Event == ev.Event && v.now-ctl.steppedAt <= maxStepGap {
			ev.Since = old.Since
		}
		out[key] = ev
	}
	return out
}

// isEstablished reports whether the evidence has lasted long enough to act on it.
func (e Evidence) isEstablished(now fleet.Time) bool { return now-e.Since >= e.requiredTime }
