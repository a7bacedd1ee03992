package zones

import (
	"math"

	"meadowsill/internal/fleet"
)

// allLost is the share of the fleet's attempts lost from which a zone is lost, though its nodes have but one server of it
// in use and so no vote on it. It holds without any one node's and any one zone's attempts, and for most nodes.
const allLost = 0.9

// votes are how many nodes have a vote on a zone, and which.
type votes struct{ fail, well, cast int }

// poll gives the votes on zone y by the zone of the nodes, and of all.
func (v view) poll(y string) (by map[string]votes, all votes) {
	by = make(map[string]votes, len(v.present))
	for i := range v.sights {
		s := &v.sights[i]
		c := s.zones[y]
		w := c.vote
		if w == none && c.answered { // too little for a vote against the zone, and none that it fails
			w = well
		}
		if w == none || s.fault {
			continue
		}
		t := by[s.Zone]
		t.cast++
		all.cast++
		switch w {
		case fails:
			t.fail++
			all.fail++
		case well:
			t.well++
			all.well++
		}
		by[s.Zone] = t
	}
	return by, all
}

// lost tells whether a quorum of nodes and of zones sees zone y fail.
func (set *Settings) lost(v view, y string, by map[string]votes, all votes) bool {
	others := 0 // zones with nodes that could judge
	for x := range v.present {
		if x != y && set.observer(x) {
			others++
		}
	}
	heard, agree := 0, 0
	for x, t := range by {
		if x != y && set.observer(x) {
			heard++
			if 2*t.fail > t.cast {
				agree++
			}
		}
	}
	return 2*all.fail > all.cast && all.fail >= 2 && (heard == 0 || 2*agree > heard) && (others < 2 || agree >= 2)
}

// observer tells whether zone x counts for the quorum of zones.
func (set *Settings) observer(x string) bool { return len(set.Region) == 0 || set.Region[x] != "" }

// cutOff tells whether zone x's nodes see a zone fail while the others see it well.
func cutOff(v view, x string, by map[string]votes, all votes) bool {
	own := by[x]
	return 2*own.fail > own.cast && (own.fail >= 2 || own.fail == 1 && v.present[x] == 1) &&
		2*(all.well-own.well) > all.cast-own.cast
}

// tries are a node's attempts at a zone, for shares of the fleet's.
type tries struct {
	zone                        string
	attempts, lost, lostServers float64
}

// lossShare gives the share of the attempts lost that holds without any one node's vote and without any one zone's; and
// how many attempts of how many nodes it is of. Where two zones could speak and only one does, it is 0.
func lossShare(all []tries, zones int) (p float64, attempts float64, nodes int) {
	n := make([]float64, len(all))
	for i, t := range all {
		n[i] = t.attempts
	}
	byZone := map[string]tries{}
	var sum tries
	for i, c := range clamp(n) {
		if n[i] <= 0 {
			continue
		}
		f := c / n[i]
		all[i] = tries{all[i].zone, c, all[i].lost * f, all[i].lostServers * f}
		t := byZone[all[i].zone]
		byZone[all[i].zone] = tries{all[i].zone, t.attempts + c, t.lost + all[i].lost, 0}
		sum.attempts, sum.lost, nodes = sum.attempts+c, sum.lost+all[i].lost, nodes+1
	}
	if nodes == 0 || len(byZone) == 1 && zones > 1 {
		return 0, sum.attempts, nodes
	}
	share := func(without tries) float64 {
		if sum.attempts-without.attempts <= 0 {
			return 0
		}
		return math.Max(0, (sum.lost-without.lost)/(sum.attempts-without.attempts))
	}
	p = share(tries{})
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

// gray gives the share of the fleet's attempts at y that is lost, 0 where there is no such finding, and how long it must
// hold: longer where most was lost at servers that gave no answer at all in their windows, as those may be bad servers,
// which nodes avoid by themselves, and no bad zone.
func (set *Settings) gray(v view, y string) (p float64, nodes int, hold fleet.Time) {
	var all []tries
	lost, lostServers := 0, 0
	for _, s := range v.sights {
		c := s.zones[y]
		if s.fault || c.attempts == 0 {
			continue
		}
		all = append(all, tries{s.Zone, float64(c.attempts), float64(c.lost), float64(c.lostServers)})
		lost, lostServers = lost+c.lost, lostServers+c.lostServers
	}
	p, attempts, nodes := lossShare(all, len(v.present))
	if p < set.GrayFrom || attempts < float64(set.GrayTries) || nodes < 3 {
		return 0, nodes, 0
	}
	if 2*lostServers > lost {
		return p, nodes, set.GraySlow
	}
	return p, nodes, set.GrayHold
}

// grayShare is what is served of a zone that loses share p.
func grayShare(p float64) float64 { return math.Round(10*(1-p)) / 10 }

// find gives every finding of now, by key. The hold of each runs from when it was first found without a gap.
func (j *Judge) find(v view, s *State) map[string]Finding {
	out := map[string]Finding{}
	add := func(key, event string, nodes, votes int, p float64, hold fleet.Time) {
		out[key] = Finding{Key: key, Event: event, Nodes: nodes, Votes: votes, Lost: p, hold: hold}
	}
	for _, y := range v.zones {
		by, all := v.poll(y)
		if j.set.lost(v, y, by, all) {
			add(Key(y, ""), Lost, all.fail, all.cast, 1, j.set.Hold)
			continue
		}
		if p, nodes, hold := j.set.gray(v, y); p >= allLost && 2*nodes > len(v.sights) {
			add(Key(y, ""), Lost, nodes, nodes, p, j.set.Hold)
			continue
		} else if p > 0 {
			add(Key(y, ""), Gray, nodes, nodes, p, hold)
		}
		for x := range v.present {
			if cutOff(v, x, by, all) {
				add(Key(y, x), CutOff, by[x].fail, by[x].cast, 1, j.set.CutHold)
			}
		}
	}
	for key, f := range out {
		f.Since = v.now
		if old, ok := j.found[key]; ok && old.Event == f.Event && v.now-j.stepped <= maxGap {
			f.Since = old.Since
		}
		out[key] = f
	}
	return out
}

// holds tells whether a finding has held long enough to act on.
func (f Finding) holds(now fleet.Time) bool { return now-f.Since >= f.hold }
