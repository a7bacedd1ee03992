package tenants

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"meadowsill/internal/fleet"
)

// quotaDivider is the controller's part that divides quotas: its targets, and which leases have expired.
type quotaDivider struct {
	started       bool
	dividedAt     fleet.Time         // when a division was last thought of
	targets       map[string]target  // by tenant
	presentBefore map[string]uint64  // present runs at the last step
	presentSince  map[Run]fleet.Time // and since when each was, in this leadership
	epoch         uint64             // and its epoch
	vanishedAt    map[Run]fleet.Time // when a leased run was first seen not to be present
	expired       map[Run]bool       // leased runs whose sessions have lapsed for certain
}

// target is what a tenant's division moves to, and for what pool and service it was made. All are dropped when the runs change.
type target struct {
	leasable float64
	service  string
	rates    []float64 // by run present in the scope, in order
}

func newQuotaDivider() quotaDivider {
	return quotaDivider{targets: map[string]target{}, presentSince: map[Run]fleet.Time{}, vanishedAt: map[Run]fleet.Time{}, expired: map[Run]bool{}}
}

// trackLeases notes which leased runs are over. A run that lapsed is over: it counted itself out before the leader did.
// One that a larger incarnation ended may hold its lease for another TTL; so may any that vanished while this controller
// can't tell how: it did not lead yet, or the epoch moved more often than the present runs did.
func (ctl *Controller) trackLeases(now fleet.Time, s *State, epoch uint64, present []fleet.Member) {
	l := &ctl.divider
	cur := make(map[string]uint64, len(present))
	moves := uint64(0)
	for _, m := range present {
		cur[m.Node] = m.Incarnation
		if l.presentBefore[m.Node] != m.Incarnation {
			moves++
		}
	}
	for n := range l.presentBefore {
		if _, ok := cur[n]; !ok {
			moves++
		}
	}
	if moves > 0 || epoch != l.epoch { // a run that is back may have another scope
		clear(l.targets)
	}
	for r := range l.presentSince {
		if cur[r.Node] != r.Incarnation {
			delete(l.presentSince, r)
		}
	}
	for n, inc := range cur {
		if _, ok := l.presentSince[Run{n, inc}]; !ok {
			l.presentSince[Run{n, inc}] = now
		}
	}
	allSeen := l.presentBefore != nil && epoch-l.epoch == moves
	leased := map[Run]bool{}
	look := func(r Run) {
		leased[r] = true
		inc, there := cur[r.Node]
		if there && inc == r.Incarnation { // it may be back
			delete(l.vanishedAt, r)
			delete(l.expired, r)
			return
		}
		if _, ok := l.vanishedAt[r]; !ok {
			l.vanishedAt[r] = now
			l.expired[r] = allSeen && !there && l.presentBefore[r.Node] == r.Incarnation
		}
		if now-l.vanishedAt[r] >= ctl.config.TTL {
			l.expired[r] = true
		}
	}
	for n, le := range s.Runs {
		look(Run{n, le.Incarnation})
	}
	for _, g := range s.OrphanedLeases {
		look(g.Run)
	}
	for r := range l.vanishedAt {
		if !leased[r] {
			delete(l.vanishedAt, r)
			delete(l.expired, r)
		}
	}
	l.presentBefore, l.epoch = cur, epoch
}

// divide decides one division, or none: it looks once in DivideInterval, and changes only what is to change.
func (ctl *Controller) divide(now fleet.Time, s *State, r *presentByScope) *Division {
	present := r.Members
	ctl.trackLeases(now, s, r.Epoch(""), present)
	l := &ctl.divider
	if ctl.config.Slots <= 0 || l.started && now-l.dividedAt < DivideInterval {
		return nil
	}
	l.started, l.dividedAt = true, now
	d := &Division{Slots: ctl.config.Slots}
	for r, over := range l.expired {
		if over {
			d.Expired = append(d.Expired, r)
		}
	}
	slices.SortFunc(d.Expired, func(a, b Run) int {
		return cmp.Or(strings.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	grants := make([]Grant, len(present))
	fresh := make([]bool, len(present)) // a run that has no lease yet
	for i, m := range present {
		grants[i] = Grant{Run: Run{m.Node, m.Incarnation}}
		le := s.Runs[m.Node]
		fresh[i] = le == nil || le.Incarnation != m.Incarnation
		v := ctl.reports[m.Node]
		if v == nil || v.Incarnation != m.Incarnation || fresh[i] {
			continue
		}
		h := Confirmation{Run: grants[i].Run, Revision: v.Report.Revision, SoleRun: now-l.presentSince[grants[i].Run] >= ctl.config.TTL}
		if s.freesQuota(h, le) {
			d.Confirmed = append(d.Confirmed, h)
		}
	}
	next := s.draftLeases(&Division{Slots: ctl.config.Slots, Confirmed: d.Confirmed, Expired: d.Expired, Grants: grants})
	runs := make([]presentRun, len(present))
	for i, m := range present {
		runs[i] = presentRun{lease: next.Runs[m.Node], grant: &grants[i]}
		if v := ctl.reports[m.Node]; v != nil && v.Incarnation == m.Incarnation {
			runs[i].reports = v.tenants
		}
	}
	maxLeased := next.maxLeasedByTenant()
	for _, name := range next.names(maxLeased) {
		service := ""
		if e := next.Tenants[name]; e != nil {
			service = e.Service()
		}
		ctl.grantTenant(next, name, service, maxLeased[name], r.of(service).pick(runs))
	}
	for i, m := range present {
		runs[i].withdrawOutOfScope(next, r.Services[m.Node])
	}
	d.Grants = slices.DeleteFunc(grants, func(g Grant) bool {
		le := s.Runs[g.Node]
		return len(g.Rates) == 0 && le != nil && le.Incarnation == g.Incarnation
	})
	if len(d.Grants) == 0 && len(d.Expired) == 0 && len(d.Confirmed) == 0 {
		return nil
	}
	return d
}

// freesQuota reports whether what a run holds frees anything.
func (s *State) freesQuota(h Confirmation, le *Lease) bool {
	if h.Revision >= le.Revision {
		for name, m := range le.MaxRates {
			if m > le.Rates[name] {
				return true
			}
		}
	}
	for _, e := range s.Tenants {
		if _, ok := e.OutdatedRates[h.Node]; ok && h.SoleRun && h.Revision >= e.Revision {
			return true
		}
	}
	return false
}

// names are the tenants that lease something or may.
func (s *State) names(maxLeased map[string]float64) []string {
	all := sortedKeys(s.Tenants)
	for name := range maxLeased {
		if s.Tenants[name] == nil {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return all
}

// presentRun is a present run as a division sees it.
type presentRun struct {
	lease   *Lease
	reports map[string]tenantReport // nil: it has not reported to this leader
	grant   *Grant
}

// setRate has the division lease a rate to the run.
func (p presentRun) setRate(name string, rate float64) {
	if p.grant.Rates == nil {
		p.grant.Rates = map[string]float64{}
	}
	p.grant.Rates[name] = rate
}

// withdrawOutOfScope takes from a run of these services what it is leased of tenants outside of them: its scope was another before,
// or the tenant's name was.
func (p presentRun) withdrawOutOfScope(next *State, services []string) {
	for name := range p.lease.Rates {
		if e := next.Tenants[name]; e != nil && !fleet.Serves(services, e.Service()) {
			p.setRate(name, 0)
		}
	}
}

// grantTenant moves one tenant's parts to its aim as far as may be now: down at once, up out of what no run may hold.
func (ctl *Controller) grantTenant(next *State, name, service string, maxLeased float64, runs []presentRun) {
	pool := next.Leasable(name)
	if pool == 0 && maxLeased == 0 {
		return
	}
	want := ctl.targetRates(next, name, service, pool, runs)
	leased := make([]float64, len(runs))
	need := 0.0
	for i, st := range runs {
		leased[i] = st.lease.MaxRates[name]
		need += max(0, want[i]-leased[i])
	}
	part := 0.0
	if need > 0 {
		part = min(1, max(0, pool-maxLeased)/need)
	}
	for i, st := range runs {
		to := min(want[i], leased[i])
		to = roundDown(to + part*max(0, want[i]-to))
		if to != st.lease.Rates[name] {
			st.setRate(name, to)
		}
	}
}

// targetRates returns the part of what may be leased of each run present in the scope. It stays as it was while that and the runs are the same and
// either every run has capacity, or no run's part would move by more than the hysteresis.
func (ctl *Controller) targetRates(next *State, name, service string, pool float64, runs []presentRun) []float64 {
	floor := 0.0
	if e := next.Tenants[name]; e != nil && e.Committed != nil {
		floor = fleet.GuaranteedPart * e.Committed.Spec.Quota.Rate / float64(next.Slots)
	}
	loads := make([]float64, len(runs))
	for i, st := range runs {
		if st.reports != nil {
			loads[i] = max(0, st.reports[name].load-floor)
		} else {
			loads[i] = st.lease.Rates[name] // nothing heard: as it is
		}
	}
	old, ok := ctl.divider.targets[name]
	if ok = ok && old.service == service; !ok { // a new leader continues from what is leased, where that is nearly all
		old = target{leasable: pool, service: service, rates: make([]float64, len(runs))}
		sum := 0.0
		for i, st := range runs {
			old.rates[i] = st.lease.Rates[name]
			sum += old.rates[i]
		}
		ok = sum <= pool && sum > pool*(1-hysteresis/10)
	}
	want := divideByLoad(pool, loads)
	if ok && old.leasable == pool {
		withinHysteresis, withinLoad := true, true
		for i := range want {
			withinHysteresis = withinHysteresis && math.Abs(want[i]-old.rates[i]) <= hysteresis*max(old.rates[i], pool/float64(len(runs)))
			withinLoad = withinLoad && loads[i] <= maxLoadPart*old.rates[i]
		}
		if withinHysteresis || withinLoad {
			want = old.rates
		}
	}
	ctl.divider.targets[name] = target{leasable: pool, service: service, rates: want}
	return want
}

// divideByLoad divides a pool: where it is enough everybody gets its load and the rest evenly, else all in proportion to
// their loads. One run's report counts for no more than the pool.
func divideByLoad(pool float64, loads []float64) []float64 {
	out := make([]float64, len(loads))
	sum := 0.0
	for i, l := range loads {
		out[i] = min(l, pool)
		sum += out[i]
	}
	for i := range out {
		if sum >= pool && sum > 0 {
			out[i] *= pool / sum
		} else {
			out[i] += (pool - sum) / float64(len(out))
		}
	}
	return out
}

// roundDown takes a rate down to four digits, so that small moves change nothing; it leaves what it gave as it is.
func roundDown(v float64) float64 {
	if v <= 0 {
		return 0
	}
	unit := math.Pow(10, math.Floor(math.Log10(v))-3)
	return math.Floor(v/unit*(1+1e-12)) * unit
}
