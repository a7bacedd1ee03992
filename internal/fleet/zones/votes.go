package zones

import (
	"math"

	"meadowsill/internal/fleet"
)

// lostZonePart is the share of the fleet's attempts lost from which a zone is lost, though its nodes have but one server of it
// in use and so no vote on it. It holds without any one node's and any one zone's attempts, and for most nodes.
const lostZonePart = 0.9

// voteCount are how many nodes have a vote on a zone, and which.
type voteCount struct {
	failing int
	healthy int
	cast    int
}

// countVotes returns the votes on zone y by the zone of the nodes, and of all.
func (v fleetView) countVotes(y string) (by map[string]voteCount, all voteCount) {
	by = make(map[string]voteCount, len(v.presentByZone))
	for i := range v.nodes {
		s := &v.nodes[i]
		c := s.zones[y]
		w := c.vote
		if w == noVote && c.newestAnswered { // too little for a vote against the zone, and none that it fails
			w = voteHealthy
		}
		if w == noVote || s.faulty {
			continue
		}
		t := by[s.Zone]
		t.cast++
		all.cast++
		switch w {
		case voteFailing:
			t.failing++
			all.failing++
		case voteHealthy:
			t.healthy++
			all.healthy++
		}
		by[s.Zone] = t
	}
	return by, all
}

// isLost reports whether a quorum of nodes and of zones sees zone y fail.
func (s *Settings) isLost(v fleetView, y string, by map[string]voteCount, all voteCount) bool {
	others := 0 // zones with nodes that could vote
	for x := range v.presentByZone {
		if x != y && s.countsForQuorum(x) {
			others++
		}
	}
	heard, agree := 0, 0
	for x, t := range by {
		if x != y && s.countsForQuorum(x) {
			heard++
			if 2*t.failing > t.cast {
				agree++
			}
		}
	}
	return 2*all.failing > all.cast && all.failing >= 2 && (heard == 0 || 2*agree > heard) && (others < 2 || agree >= 2)
}

// countsForQuorum reports whether zone x counts for the quorum of zones.
func (s *Settings) countsForQuorum(x string) bool {
	return len(s.Region) == 0 || s.Region[x] != ""
}

// isCutOff reports whether zone x's nodes see a zone fail while the others see it well.
func isCutOff(v fleetView, x string, by map[string]voteCount, all voteCount) bool {
	own := by[x]
	return 2*own.failing > own.cast && (own.failing >= 2 || own.failing == 1 && v.presentByZone[x] == 1) &&
		2*(all.healthy-own.healthy) > all.cast-own.cast
}

// nodeAttempts are a node's attempts at a zone, for shares of the fleet's.
type nodeAttempts struct {
	zone        string
	attempts    float64
	lost        float64
	lostServers float64
}

// robustLossPart returns the share of the attempts lost that holds without any one node's vote and without any one zone's; and
// how many attempts of how many nodes it is of. Where two zones could speak and only one does, it is 0.
func robustLossPart(all []nodeAttempts, zones int) (p float64, attempts float64, nodes int) {
	n := make([]float64, len(all))
	for i, t := range all {
		n[i] = t.attempts
	}
	byZone := map[string]nodeAttempts{}
	var sum nodeAttempts
	for i, c := range clampToMedian(n) {
		if n[i] <= 0 {
			continue
		}
		f := c / n[i]
		all[i] = nodeAttempts{all[i].zone, c, all[i].lost * f, all[i].lostServers * f}
		t := byZone[all[i].zone]
		byZone[all[i].zone] = nodeAttempts{all[i].zone, t.attempts + c, t.lost + all[i].lost, 0}
		sum.attempts += c
		sum.lost += all[i].lost
		nodes += 1
	}
	if nodes == 0 || len(byZone) == 1 && zones > 1 {
		return 0, sum.attempts, nodes
	}
	share := func(without nodeAttempts) float64 {
		if sum.attempts-without.attempts <= 0 {
			return 0
		}
		return math.Max(0, (sum.lost-without.lost)/(sum.attempts-without.attempts))
	}
	p = share(nodeAttempts{})
	for _, t := range all {
		p = math.Min(p, share(t))
	}
	if len(byZone) > 1 {
		for _, t := range byZone {
			p = math.Min(p, share(t))
		}
	}
	return p, sum.attempts, nodes
}

// grayLoss returns the share of the fleet's attempts at y that is lost, 0 where there is no such evidence, and how long it must
// hold: longer where most was lost at servers that gave no answer at all in their windows, as those may be bad servers,
// which nodes avoid by themselves, and no bad zone.
func (s *Settings) grayLoss(v fleetView, y string) (p float64, nodes int, delay fleet.Time) {
	var all []nodeAttempts
	lost, lostServers := 0, 0
	for _, s := range v.nodes {
		c := s.zones[y]
		if s.faulty || c.attempts == 0 {
			continue
		}
		all = append(all, nodeAttempts{s.Zone, float64(c.attempts), float64(c.lost), float64(c.lostServers)})
		lost, lostServers = lost+c.lost, lostServers+c.lostServers
	}
	p, attempts, nodes := robustLossPart(all, len(v.presentByZone))
	if p < s.MinGrayLoss || attempts < float64(s.MinGrayAttempts) || nodes < 3 {
		return 0, nodes, 0
	}
	if 2*lostServers > lost {
		return p, nodes, s.GrayServersDelay
	}
	return p, nodes, s.GrayDelay
}

// grayTrafficShare is what is served of a zone that loses share p.
func grayTrafficShare(p float64) float64 { return math.Round(10*(1-p)) / 10 }

// findEvidence returns the evidence of now, by key. The delay of each runs from when it was first found without a gap.
func (ctl *Controller) findEvidence(v fleetView, s *State) map[string]Evidence {
	out := map[string]Evidence{}
	add := func(key, event string, nodes, votes int, p float64, delay fleet.Time) {
		out[key] = Evidence{Key: key, Event: event, Nodes: nodes, Votes: votes, Lost: p, requiredTime: delay}
	}
	for _, y := range v.zones {
		by, all := v.countVotes(y)
		if ctl.settings.isLost(v, y, by, all) {
			add(Key(y, ""), Lost, all.failing, all.cast, 1, ctl.settings.LostDelay)
			continue
		}
		if p, nodes, delay := ctl.settings.grayLoss(v, y); p >= lostZonePart && 2*nodes > len(v.nodes) {
			add(Key(y, ""), Lost, nodes, nodes, p, ctl.settings.LostDelay)
			continue
		} else if p > 0 {
			add(Key(y, ""), Gray, nodes, nodes, p, delay)
		}
		for x := range v.presentByZone {
			if isCutOff(v, x, by, all) {
				add(Key(y, x), CutOff, by[x].failing, by[x].cast, 1, ctl.settings.CutOffDelay)
			}
		}
	}
	for key, f := range out {
		f.Since = v.now
		if old, ok := ctl.evidence[key]; ok && old.Event == f.Event && v.now-ctl.steppedAt <= maxStepGap {
			f.Since = old.Since
		}
		out[key] = f
	}
	return out
}

// isEstablished reports whether evidence has lasted long enough to act on.
func (f Evidence) isEstablished(now fleet.Time) bool { return now-f.Since >= f.requiredTime }
