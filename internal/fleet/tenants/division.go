package tenants

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"meadowsill/internal/fleet"
)

// slack is what sums of parts may be over by rounding alone, as a part of the quota.
const slack = 1e-9

// reserve is what of a quota the floors of all slots may come to, where the nodes of behind may still go by a
// larger rate: the largest of them, as no more than Slots nodes run at one time. Two runs of one name are one slot: a
// floor belongs to the name.
func (s *State) reserve(rate float64, behind map[string]float64) float64 {
	if s.Slots == 0 {
		return rate // no division yet: nothing to lease
	}
	larger := slices.Sorted(maps.Values(behind))
	larger = larger[max(0, len(larger)-s.Slots):]
	sum := float64(s.Slots-len(larger)) * rate
	for _, r := range larger {
		sum += max(r, rate)
	}
	return fleet.FloorPart * sum / float64(s.Slots)
}

// behindAt is Behind as it will be once rate is committed over the present generation.
func (s *State) behindAt(e *Entry, rate float64) map[string]float64 {
	out := map[string]float64{}
	for n, r := range e.Behind {
		if r > rate {
			out[n] = r
		}
	}
	if e.Committed != nil && e.Committed.Spec.Quota.Rate > rate {
		for n := range s.Known {
			out[n] = max(out[n], e.Committed.Spec.Quota.Rate)
		}
	}
	return out
}

func (s *State) keepBehind(e *Entry, rate float64) { e.Behind = s.behindAt(e, rate) }

// pool is what may be leased of a quota of rate: what its floors leave, never below 0.
func (s *State) pool(rate float64, behind map[string]float64) float64 {
	return max(0, rate-s.reserve(rate, behind))
}

// Pool is what all leases of a tenant may add up to now, requests/s. It goes down before a smaller quota is committed
// and up after a larger one is; a tenant that is being removed, or was never committed, leases nothing.
func (s *State) Pool(name string) float64 {
	e := s.Tenants[name]
	if e == nil || e.Committed == nil || e.Removing {
		return 0
	}
	p := s.pool(e.Committed.Spec.Quota.Rate, e.Behind)
	if e.Staged != nil {
		next := e.Staged.Spec.Quota.Rate
		p = min(p, s.pool(next, s.behindAt(e, next)))
	}
	return p
}

// CommitRoom says whether the leases that runs may hold of a name are within what the staged quota leaves. A
// smaller quota is committed only then, so that T3 holds for it from the first moment.
func (s *State) CommitRoom(name string) bool {
	e := s.Tenants[name]
	if e == nil || e.Staged == nil {
		return false
	}
	rate := e.Staged.Spec.Quota.Rate
	return s.most(name) <= s.pool(rate, s.behindAt(e, rate))+slack*rate
}

// most is the sum of what runs may hold leased of a name.
func (s *State) most(name string) float64 {
	sum := 0.0
	for _, n := range sortedKeys(s.Runs) {
		sum += s.Runs[n].Most[name]
	}
	for _, g := range s.OrphanedLeases {
		sum += g.Most[name]
	}
	return sum
}

// mosts gives it for every name, each sum taken in the order of the nodes.
func (s *State) mosts() map[string]float64 {
	sums := map[string]float64{}
	for _, n := range sortedKeys(s.Runs) {
		for name, r := range s.Runs[n].Most {
			sums[name] += r
		}
	}
	for _, g := range s.OrphanedLeases {
		for name, r := range g.Most {
			sums[name] += r
		}
	}
	return sums
}

// holder names a node that may hold more of a name than it is to, for people; empty where none does.
func (s *State) holder(name string) string {
	for _, n := range sortedKeys(s.Runs) {
		if l := s.Runs[n]; l.Most[name] > l.Rates[name] {
			return n
		}
	}
	for _, g := range s.OrphanedLeases {
		if g.Most[name] > 0 {
			return g.Node
		}
	}
	return ""
}

// divide carries out a division: first what runs have confirmed and which are over, then the grants. A run of a larger
// incarnation takes its node's place and begins with nothing; its predecessor stays an orphaned lease until it is over. Where the
// raises of a tenant would take what runs may hold over its pool, that tenant has none of them.
func (s *State) divide(c Command, rev func() uint64) ([]string, error) {
	d := c.Division
	switch {
	case d == nil || d.Slots <= 0:
		return nil, fault("division", "is missing, or has no slots")
	case c.IfRev != s.Divided:
		return nil, fmt.Errorf("%w: division after revision %d, the newest is at %d", ErrStale, c.IfRev, s.Divided)
	case s.Slots != 0 && d.Slots != s.Slots:
		return nil, fault("division.slots", "%d: floors are already held by %d slots", d.Slots, s.Slots)
	}
	for _, g := range d.Grants {
		for name, r := range g.Rates {
			if math.IsNaN(r) || r < 0 || r > rateLimit {
				return nil, fault("division.grants", "%s of %s: %g is no rate", name, g.Node, r)
			}
		}
		if l := s.Runs[g.Node]; l != nil && l.Incarnation > g.Incarnation {
			return nil, fmt.Errorf("%w: division for node %s, incarnation %d", ErrStale, g.Node, g.Incarnation)
		}
	}
	next := s.draft(d)
	for _, g := range d.Grants {
		l := next.Runs[g.Node]
		l.Rates, l.Most = clone(l.Rates), clone(l.Most)
	}
	raises := map[string][]Grant{} // by tenant: one rate each, above what the run may hold
	for _, g := range d.Grants {
		for name, r := range g.Rates {
			if l := next.Runs[g.Node]; r <= l.Most[name] {
				set(l.Rates, name, r)
			} else {
				raises[name] = append(raises[name], Grant{Run: g.Run, Rates: map[string]float64{name: r}})
			}
		}
	}
	most := next.mosts()
	for name, grants := range raises {
		pool, sum := next.Pool(name), most[name]
		for _, g := range grants {
			sum += g.Rates[name] - next.Runs[g.Node].Most[name]
		}
		if sum > pool+slack*max(pool, 1) {
			continue
		}
		for _, g := range grants {
			l := next.Runs[g.Node]
			l.Rates[name], l.Most[name] = g.Rates[name], g.Rates[name]
		}
	}
	return s.take(next, d, rev()), nil
}

// draft is the leases as they are after what d confirms and ends, with an empty one for each new run. Their maps are
// the state's own: whoever changes one takes a copy first.
func (s *State) draft(d *Division) *State {
	next := &State{Tenants: s.Tenants, Known: s.Known, Slots: d.Slots, Runs: map[string]*Lease{}}
	over := map[Run]bool{}
	for _, r := range d.Over {
		over[r] = true
	}
	for _, g := range s.OrphanedLeases {
		if !over[g.Run] {
			next.OrphanedLeases = append(next.OrphanedLeases, g)
		}
	}
	for n, l := range s.Runs {
		if !over[Run{n, l.Incarnation}] {
			c := *l
			next.Runs[n] = &c
		}
	}
	for _, h := range d.Held {
		if l := next.Runs[h.Node]; l != nil && l.Incarnation == h.Incarnation && h.Revision >= l.Rev {
			l.Most = l.Rates
		}
	}
	for _, g := range d.Grants {
		l := next.Runs[g.Node]
		if l != nil && l.Incarnation == g.Incarnation {
			continue
		}
		if l != nil {
			next.OrphanedLeases = append(next.OrphanedLeases, OrphanedLease{Run: Run{g.Node, l.Incarnation}, Most: l.Most})
		}
		next.Runs[g.Node] = &Lease{Incarnation: g.Incarnation, Rates: map[string]float64{}, Most: map[string]float64{}}
	}
	return next
}

// take makes a draft the state: nothing before has changed anything.
func (s *State) take(next *State, d *Division, rev uint64) (changed []string) {
	s.Division++
	s.Divided = rev
	runs := make([]Run, 0, len(next.Runs))
	for n, l := range next.Runs {
		runs = append(runs, Run{n, l.Incarnation})
	}
	for _, g := range d.Grants {
		l := next.Runs[g.Node]
		l.Rev, l.Division = rev, s.Division
		s.dropTombstone(keyShare + g.Node)
		changed = append(changed, keyShare+g.Node)
	}
	for n := range s.Runs {
		if next.Runs[n] == nil {
			changed = append(changed, keyShare+n)
		}
	}
	slices.Sort(changed)
	changed = slices.Compact(changed)
	s.Runs, s.OrphanedLeases, s.Slots = next.Runs, next.OrphanedLeases, next.Slots
	s.know(runs)
	for _, h := range d.Held {
		for _, e := range s.Tenants {
			if l := s.Runs[h.Node]; h.Sole && h.Revision >= e.Rev && l != nil && l.Incarnation == h.Incarnation {
				delete(e.Behind, h.Node)
			}
		}
	}
	for _, k := range changed {
		if s.Runs[strings.TrimPrefix(k, keyShare)] == nil {
			s.addTombstone(Tombstone{Key: k, Rev: rev})
		}
	}
	return changed
}

// clone copies a map, never to nil.
func clone(m map[string]float64) map[string]float64 {
	out := make(map[string]float64, len(m))
	maps.Copy(out, m)
	return out
}

func set(m map[string]float64, k string, v float64) {
	if v == 0 {
		delete(m, k)
		return
	}
	m[k] = v
}
