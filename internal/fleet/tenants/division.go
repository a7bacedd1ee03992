package tenants

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"meadowsill/internal/fleet"
)

// roundingTolerance is how far a sum of parts may exceed its limit because of rounding, as a fraction of the quota.
const roundingTolerance = 1e-9

// guaranteedRate returns the largest possible sum of the guaranteed parts of all slots, in requests/s. Nodes in outdated may
// still derive their part from a larger rate; the largest of these rates count, because no more than Slots nodes run at
// one time. Two runs of one node count as one slot, because the guaranteed part belongs to the node's name.
func (s *State) guaranteedRate(rate float64, outdated map[string]float64) float64 {
	if s.Slots == 0 {
		return rate // before the first division nothing can be leased
	}
	larger := slices.Sorted(maps.Values(outdated))
	larger = larger[max(0, len(larger)-s.Slots):]
	sum := float64(s.Slots-len(larger)) * rate
	for _, r := range larger {
		sum += max(r, rate)
	}
	return fleet.GuaranteedPart * sum / float64(s.Slots)
}

// outdatedRatesAt returns the OutdatedRates of e after a generation with this rate is committed.
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

// leasableRate returns how much of a quota may be leased, in requests/s: rate minus the guaranteed parts, never below 0.
func (s *State) leasableRate(rate float64, outdated map[string]float64) float64 {
	return max(0, rate-s.guaranteedRate(rate, outdated))
}

// Leasable returns the present upper limit of the sum of a tenant's leases, in requests/s. It decreases before a smaller
// quota is committed, and increases after a larger one is committed. It is 0 for a tenant that is being removed or was
// never committed.
func (s *State) Leasable(name string) float64 {
	e := s.Tenants[name]
	if e == nil || e.Committed == nil || e.Removing {
		return 0
	}
	leasable := s.leasableRate(e.Committed.Spec.Quota.Rate, e.OutdatedRates)
	if e.Staged != nil {
		next := e.Staged.Spec.Quota.Rate
		leasable = min(leasable, s.leasableRate(next, s.outdatedRatesAt(e, next)))
	}
	return leasable
}

// CanCommit reports whether the leases that runs may hold of a tenant fit into what the staged quota leaves for leases. A
// smaller quota is committed only then, so that T3 holds for it from the start.
func (s *State) CanCommit(name string) bool {
	e := s.Tenants[name]
	if e == nil || e.Staged == nil {
		return false
	}
	rate := e.Staged.Spec.Quota.Rate
	return s.maxLeased(name) <= s.leasableRate(rate, s.outdatedRatesAt(e, rate))+roundingTolerance*rate
}

// maxLeased returns the sum of the leases that runs may hold under a tenant's name, in requests/s.
func (s *State) maxLeased(name string) float64 {
	sum := 0.0
	for _, n := range sortedKeys(s.Runs) {
		sum += s.Runs[n].MaxRates[name]
	}
	for _, orphan := range s.OrphanedLeases {
		sum += orphan.MaxRates[name]
	}
	return sum
}

// maxLeasedByTenant returns maxLeased for every name. Each sum is added up in the order of the nodes.
func (s *State) maxLeasedByTenant() map[string]float64 {
	sums := map[string]float64{}
	for _, n := range sortedKeys(s.Runs) {
		for name, r := range s.Runs[n].MaxRates {
			sums[name] += r
		}
	}
	for _, orphan := range s.OrphanedLeases {
		for name, r := range orphan.MaxRates {
			sums[name] += r
		}
	}
	return sums
}

// leaseHolder returns a node that may hold more of a tenant's quota than it is leased now, for error messages; "" if none does.
func (s *State) leaseHolder(name string) string {
	for _, n := range sortedKeys(s.Runs) {
		if lease := s.Runs[n]; lease.MaxRates[name] > lease.Rates[name] {
			return n
		}
	}
	for _, orphan := range s.OrphanedLeases {
		if orphan.MaxRates[name] > 0 {
			return orphan.Node
		}
	}
	return ""
}

// applyDivision applies a division: first the confirmations and the expired runs, then the grants. A run with a larger
// incarnation replaces its node's run and starts without leases; the leases of the old run remain as an orphaned lease
// until they expire. If the raises for a tenant would let runs hold more than its leasable rate, none of them is applied.
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
	raises := map[string][]Grant{} // by tenant: grants with one rate each, which exceeds what the run may hold
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
		if sum > pool+roundingTolerance*max(pool, 1) {
			continue
		}
		for _, g := range grants {
			l := next.Runs[g.Node]
			l.Rates[name], l.MaxRates[name] = g.Rates[name], g.Rates[name]
		}
	}
	return s.adoptLeases(next, d, rev()), nil
}

// draftLeases returns the leases after the confirmations and expired runs of d, with an empty lease for each new run. The
// maps are shared with the state: a caller must copy a map before it changes it.
func (s *State) draftLeases(d *Division) *State {
	next := &State{Tenants: s.Tenants, CountedNodes: s.CountedNodes, Slots: d.Slots, Runs: map[string]*Lease{}}
	expired := map[Run]bool{}
	for _, r := range d.Expired {
		expired[r] = true
	}
	for _, g := range s.OrphanedLeases {
		if !expired[g.Run] {
			next.OrphanedLeases = append(next.OrphanedLeases, g)
		}
	}
	for n, l := range s.Runs {
		if !expired[Run{n, l.Incarnation}] {
			c := *l
			next.Runs[n] = &c
		}
	}
	for _, confirmation := range d.Confirmed {
		if l := next.Runs[confirmation.Node]; l != nil && l.Incarnation == confirmation.Incarnation && confirmation.Revision >= l.Revision {
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

// adoptLeases makes the leases of a draft those of the state. It is the only step of a division that changes the state.
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
	for _, c := range d.Confirmed {
		for _, e := range s.Tenants {
			if l := s.Runs[c.Node]; c.SoleRun && c.Revision >= e.Revision && l != nil && l.Incarnation == c.Incarnation {
				delete(e.OutdatedRates, c.Node)
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

// cloneRates copies a map. The copy is never nil.
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
