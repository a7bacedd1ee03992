package tenants

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"meadowsill/internal/fleet"
)

// roundingSlack is what sums of parts may be over by rounding alone, as a part of the quota.
const roundingSlack = 1e-9

// guaranteedRate is what of a quota the guaranteed parts of all slots may come to, where the nodes with outdated rates may still go by a
// larger rate: the largest of them, as no more than Slots nodes run at one time. Two runs of one name are one slot: a
// floor belongs to the name.
func (s *State) guaranteedRate(rate float64, behind map[string]float64) float64 {
	if s.Slots == 0 {
		return rate // no division yet: nothing to lease
	}
	larger := slices.Sorted(maps.Values(behind))
	larger = larger[max(0, len(larger)-s.Slots):]
	sum := float64(s.Slots-len(larger)) * rate
	for _, r := range larger {
		sum += max(r, rate)
	}
	return fleet.GuaranteedPart * sum / float64(s.Slots)
}

// outdatedRatesAt is OutdatedRates as it will be once rate is committed over the present generation.
func (s *State) outdatedRatesAt(e *Entry, rate float64) map[string]float64 {
	out := map[string]float64{}
	for n, r := range e.OutdatedRates {
		if r > rate {
			out[n] = r
		}
	}
	if e.Committed != nil && e.Committed.Spec.Quota.Rate > rate {
		for n := range s.CountedNodes {
			out[n] = max(out[n], e.Committed.Spec.Quota.Rate)
		}
	}
	return out
}

func (s *State) keepOutdatedRates(e *Entry, rate float64) {
	e.OutdatedRates = s.outdatedRatesAt(e, rate)
}

// leasableOf is what may be leased of a quota of rate: what its guaranteed parts leave, never below 0.
func (s *State) leasableOf(rate float64, behind map[string]float64) float64 {
	return max(0, rate-s.guaranteedRate(rate, behind))
}

// Leasable is what all leases of a tenant may add up to now, requests/s. It goes down before a smaller quota is committed
// and up after a larger one is; a tenant that is being removed, or was never committed, leases nothing.
func (s *State) Leasable(name string) float64 {
	e := s.Tenants[name]
	if e == nil || e.Committed == nil || e.Removing {
		return 0
	}
	p := s.leasableOf(e.Committed.Spec.Quota.Rate, e.OutdatedRates)
	if e.Staged != nil {
		next := e.Staged.Spec.Quota.Rate
		p = min(p, s.leasableOf(next, s.outdatedRatesAt(e, next)))
	}
	return p
}

// CanCommit reports whether the leases that runs may hold of a name are within what the staged quota leaves. A
// smaller quota is committed only then, so that T3 holds for it from the first moment.
func (s *State) CanCommit(name string) bool {
	e := s.Tenants[name]
	if e == nil || e.Staged == nil {
		return false
	}
	rate := e.Staged.Spec.Quota.Rate
	return s.maxLeased(name) <= s.leasableOf(rate, s.outdatedRatesAt(e, rate))+roundingSlack*rate
}

// maxLeased is the sum of what runs may hold leased of a name.
func (s *State) maxLeased(name string) float64 {
	sum := 0.0
	for _, n := range sortedKeys(s.Runs) {
		sum += s.Runs[n].MaxRates[name]
	}
	for _, g := range s.OrphanedLeases {
		sum += g.MaxRates[name]
	}
	return sum
}

// maxLeasedByTenant returns it for every name, each sum taken in the order of the nodes.
func (s *State) maxLeasedByTenant() map[string]float64 {
	sums := map[string]float64{}
	for _, n := range sortedKeys(s.Runs) {
		for name, r := range s.Runs[n].MaxRates {
			sums[name] += r
		}
	}
	for _, g := range s.OrphanedLeases {
		for name, r := range g.MaxRates {
			sums[name] += r
		}
	}
	return sums
}

// leaseHolder names a node that may hold more of a name than it is to, for people; empty where none does.
func (s *State) leaseHolder(name string) string {
	for _, n := range sortedKeys(s.Runs) {
		if l := s.Runs[n]; l.MaxRates[name] > l.Rates[name] {
			return n
		}
	}
	for _, g := range s.OrphanedLeases {
		if g.MaxRates[name] > 0 {
			return g.Node
		}
	}
	return ""
}

// applyDivision carries out a division: first what runs have confirmed and which are over, then the grants. A run of a larger
// incarnation takes its node's place and begins with nothing; its predecessor stays an orphaned lease until it is over. Where the
// raises of a tenant would take what runs may hold over its pool, that tenant has none of them.
func (s *State) applyDivision(c Command, rev func() uint64) ([]string, error) {
	d := c.Division
	switch {
	case d == nil || d.Slots <= 0:
		return nil, fieldError("division", "is missing, or has no slots")
	case c.IfRevision != s.DividedRevision:
		return nil, fmt.Errorf("%w: division after revision %d, the newest is at %d", ErrStale, c.IfRevision, s.DividedRevision)
	case s.Slots != 0 && d.Slots != s.Slots:
		return nil, fieldError("division.slots", "%d: floors are already held by %d slots", d.Slots, s.Slots)
	}
	for _, g := range d.Grants {
		for name, r := range g.Rates {
			if math.IsNaN(r) || r < 0 || r > maxRate {
				return nil, fieldError("division.grants", "%s of %s: %g is no rate", name, g.Node, r)
			}
		}
		if l := s.Runs[g.Node]; l != nil && l.Incarnation > g.Incarnation {
			return nil, fmt.Errorf("%w: division for node %s, incarnation %d", ErrStale, g.Node, g.Incarnation)
		}
	}
	next := s.draftLeases(d)
	for _, g := range d.Grants {
		l := next.Runs[g.Node]
		l.Rates, l.MaxRates = cloneRates(l.Rates), cloneRates(l.MaxRates)
	}
	raises := map[string][]Grant{} // by tenant: one rate each, above what the run may hold
	for _, g := range d.Grants {
		for name, r := range g.Rates {
			if l := next.Runs[g.Node]; r <= l.MaxRates[name] {
				setRate(l.Rates, name, r)
			} else {
				raises[name] = append(raises[name], Grant{Run: g.Run, Rates: map[string]float64{name: r}})
			}
		}
	}
	maxLeased := next.maxLeasedByTenant()
	for name, grants := range raises {
		pool, sum := next.Leasable(name), maxLeased[name]
		for _, g := range grants {
			sum += g.Rates[name] - next.Runs[g.Node].MaxRates[name]
		}
		if sum > pool+roundingSlack*max(pool, 1) {
			continue
		}
		for _, g := range grants {
			l := next.Runs[g.Node]
			l.Rates[name], l.MaxRates[name] = g.Rates[name], g.Rates[name]
		}
	}
	return s.adoptLeases(next, d, rev()), nil
}

// draftLeases is the leases as they are after what d confirms and ends, with an empty one for each new run. Their maps are
// the state's own: whoever changes one takes a copy first.
func (s *State) draftLeases(d *Division) *State {
	next := &State{Tenants: s.Tenants, CountedNodes: s.CountedNodes, Slots: d.Slots, Runs: map[string]*Lease{}}
	over := map[Run]bool{}
	for _, r := range d.Expired {
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
	for _, h := range d.Confirmed {
		if l := next.Runs[h.Node]; l != nil && l.Incarnation == h.Incarnation && h.Revision >= l.Revision {
			l.MaxRates = l.Rates
		}
	}
	for _, g := range d.Grants {
		l := next.Runs[g.Node]
		if l != nil && l.Incarnation == g.Incarnation {
			continue
		}
		if l != nil {
			next.OrphanedLeases = append(next.OrphanedLeases, OrphanedLease{Run: Run{g.Node, l.Incarnation}, MaxRates: l.MaxRates})
		}
		next.Runs[g.Node] = &Lease{Incarnation: g.Incarnation, Rates: map[string]float64{}, MaxRates: map[string]float64{}}
	}
	return next
}

// adoptLeases makes a draft the state: nothing before has changed anything.
func (s *State) adoptLeases(next *State, d *Division, rev uint64) (changed []string) {
	s.Division++
	s.DividedRevision = rev
	runs := make([]Run, 0, len(next.Runs))
	for n, l := range next.Runs {
		runs = append(runs, Run{n, l.Incarnation})
	}
	for _, g := range d.Grants {
		l := next.Runs[g.Node]
		l.Revision, l.Division = rev, s.Division
		s.dropTombstone(keyLease + g.Node)
		changed = append(changed, keyLease+g.Node)
	}
	for n := range s.Runs {
		if next.Runs[n] == nil {
			changed = append(changed, keyLease+n)
		}
	}
	slices.Sort(changed)
	changed = slices.Compact(changed)
	s.Runs = next.Runs
	s.OrphanedLeases = next.OrphanedLeases
	s.Slots = next.Slots
	s.countNodes(runs)
	for _, h := range d.Confirmed {
		for _, e := range s.Tenants {
			if l := s.Runs[h.Node]; h.SoleRun && h.Revision >= e.Revision && l != nil && l.Incarnation == h.Incarnation {
				delete(e.OutdatedRates, h.Node)
			}
		}
	}
	for _, k := range changed {
		if s.Runs[strings.TrimPrefix(k, keyLease)] == nil {
			s.addTombstone(Tombstone{Key: k, Revision: rev})
		}
	}
	return changed
}

// cloneRates copies a map, never to nil.
func cloneRates(m map[string]float64) map[string]float64 {
	out := make(map[string]float64, len(m))
	maps.Copy(out, m)
	return out
}

func setRate(m map[string]float64, k string, v float64) {
	if v == 0 {
		delete(m, k)
		return
	}
	m[k] = v
}
