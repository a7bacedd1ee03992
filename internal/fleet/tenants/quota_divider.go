package tenants

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"meadowsill/internal/fleet"
)

// quotaDivider is the part of the controller that divides quotas. It holds the targets, and which leases have expired.
type quotaDivider struct {
	started       bool
	dividedAt     fleet.Time         // when the quotas were last evaluated
	targets       map[string]target  // by tenant name
	presentBefore map[string]uint64  // runs present at the last step: incarnation by node
	presentSince  map[Run]fleet.Time // when each present run was first seen under this leadership
	epoch         uint64             // session epoch at the last step
	vanishedAt    map[Run]fleet.Time // when a leased run was first seen to be absent
	expired       map[Run]bool       // leased runs whose sessions have lapsed for certain
}

// target is the division of one tenant's quota that the leases move toward, with the leasable rate and the service that it
// was computed for. All targets are discarded when the present runs change.
type target struct {
	leasable float64
	service  string
	rates    []float64 // requests/s of each run present in the scope, in the order of the nodes
}

func newQuotaDivider() quotaDivider {
	return quotaDivider{targets: map[string]target{}, presentSince: map[Run]fleet.Time{}, vanishedAt: map[Run]fleet.Time{}, expired: map[Run]bool{}}
}

// trackLeases records which leased runs have expired. A run whose session lapsed has expired, because it stops using its
// lease before the leader ends the session. A run that was replaced by a larger incarnation may hold its lease for another
// TTL. So may a run that vanished when this controller can't tell why: the controller did not lead yet, or the session
// epoch changed more often than the set of present runs did.
func (ctl *Controller) trackLeases(now fleet.Time, s *State, epoch uint64, present []fleet.Member) {
	qd := &ctl.divider
	current := make(map[string]uint64, len(present))
	changes := uint64(0)
	for _, m := range present {
		current[m.Node] = m.Incarnation
		if qd.presentBefore[m.Node] != m.Incarnation {
			changes++
		}
	}
	for n := range qd.presentBefore {
		if _, ok := current[n]; !ok {
			changes++
		}
	}
	if changes > 0 || epoch != qd.epoch { // a run that rejoined may have another scope
		clear(qd.targets)
	}
	for r := range qd.presentSince {
		if current[r.Node] != r.Incarnation {
			delete(qd.presentSince, r)
		}
	}
	for n, inc := range current {
		if _, ok := qd.presentSince[Run{n, inc}]; !ok {
			qd.presentSince[Run{n, inc}] = now
		}
	}
	sawEveryChange := qd.presentBefore != nil && epoch-qd.epoch == changes
	leased := map[Run]bool{}
	track := func(r Run) {
		leased[r] = true
		inc, nodePresent := current[r.Node]
		if nodePresent && inc == r.Incarnation { // the run may have rejoined
			delete(qd.vanishedAt, r)
			delete(qd.expired, r)
			return
		}
		if _, ok := qd.vanishedAt[r]; !ok {
			qd.vanishedAt[r] = now
			qd.expired[r] = sawEveryChange && !nodePresent && qd.presentBefore[r.Node] == r.Incarnation
		}
		if now-qd.vanishedAt[r] >= ctl.config.TTL {
			qd.expired[r] = true
		}
	}
	for n, lease := range s.Runs {
		track(Run{n, lease.Incarnation})
	}
	for _, g := range s.OrphanedLeases {
		track(g.Run)
	}
	for r := range qd.vanishedAt {
		if !leased[r] {
			delete(qd.vanishedAt, r)
			delete(qd.expired, r)
		}
	}
	qd.presentBefore, qd.epoch = current, epoch
}

// divide decides on a division, or returns nil. It evaluates the quotas once per DivideInterval, and grants only the rates
// that change.
func (ctl *Controller) divide(now fleet.Time, s *State, r *presentByScope) *Division {
	present := r.Members
	ctl.trackLeases(now, s, r.Epoch(""), present)
	qd := &ctl.divider
	if ctl.config.Slots <= 0 || qd.started && now-qd.dividedAt < DivideInterval {
		return nil
	}
	qd.started, qd.dividedAt = true, now
	d := &Division{Slots: ctl.config.Slots}
	for r, isExpired := range qd.expired {
		if isExpired {
			d.Expired = append(d.Expired, r)
		}
	}
	slices.SortFunc(d.Expired, func(a, b Run) int {
		return cmp.Or(strings.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	grants := make([]Grant, len(present))
	fresh := make([]bool, len(present)) // whether the run has no lease yet
	for i, m := range present {
		grants[i] = Grant{Run: Run{m.Node, m.Incarnation}}
		held := s.Runs[m.Node]
		fresh[i] = held == nil || held.Incarnation != m.Incarnation
		v := ctl.reports[m.Node]
		if v == nil || v.Incarnation != m.Incarnation || fresh[i] {
			continue
		}
		confirmation := Confirmation{Run: grants[i].Run, Revision: v.Report.Revision, SoleRun: now-qd.presentSince[grants[i].Run] >= ctl.config.TTL}
		if s.freesQuota(confirmation, held) {
			d.Confirmed = append(d.Confirmed, confirmation)
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
		held := s.Runs[g.Node]
		return len(g.Rates) == 0 && held != nil && held.Incarnation == g.Incarnation
	})
	if len(d.Grants) == 0 && len(d.Expired) == 0 && len(d.Confirmed) == 0 {
		return nil
	}
	return d
}

// freesQuota reports whether a confirmation releases quota: a rate above the run's lease, or an outdated rate of its node.
func (s *State) freesQuota(confirmation Confirmation, lease *Lease) bool {
	if confirmation.Revision >= lease.Revision {
		for name, m := range lease.MaxRates {
			if m > lease.Rates[name] {
				return true
			}
		}
	}
	for _, e := range s.Tenants {
		if _, ok := e.OutdatedRates[confirmation.Node]; ok && confirmation.SoleRun && confirmation.Revision >= e.Revision {
			return true
		}
	}
	return false
}

// names returns the names that have a tenant or under which runs may hold leases, in order.
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

// presentRun is a present run with the inputs and the result of a division.
type presentRun struct {
	lease   *Lease
	reports map[string]tenantReport // nil: the run has not reported to this leader
	grant   *Grant
}

// setRate sets the rate in the run's grant.
func (p presentRun) setRate(name string, rate float64) {
	if p.grant.Rates == nil {
		p.grant.Rates = map[string]float64{}
	}
	p.grant.Rates[name] = rate
}

// withdrawOutOfScope withdraws the leases of tenants outside the given services, which are the run's scope. A run has such
// leases if its scope or the service of the tenant's name was another one before.
func (p presentRun) withdrawOutOfScope(next *State, services []string) {
	for name := range p.lease.Rates {
		if e := next.Tenants[name]; e != nil && !fleet.Serves(services, e.Service()) {
			p.setRate(name, 0)
		}
	}
}

// grantTenant moves the leases of one tenant toward their targets. Leases decrease at once, and increase only by what no
// run may hold.
func (ctl *Controller) grantTenant(next *State, name, service string, maxLeased float64, runs []presentRun) {
	pool := next.Leasable(name)
	if pool == 0 && maxLeased == 0 {
		return
	}
	targets := ctl.targetRates(next, name, service, pool, runs)
	leased := make([]float64, len(runs))
	need := 0.0
	for i, run := range runs {
		leased[i] = run.lease.MaxRates[name]
		need += max(0, targets[i]-leased[i])
	}
	fraction := 0.0
	if need > 0 {
		fraction = min(1, max(0, pool-maxLeased)/need)
	}
	for i, run := range runs {
		rate := min(targets[i], leased[i])
		rate = roundDown(rate + fraction*max(0, targets[i]-rate))
		if rate != run.lease.Rates[name] {
			run.setRate(name, rate)
		}
	}
}

// targetRates returns the target lease of each run present in the scope, in requests/s. The targets don't change while the
// leasable rate and the runs are the same and either every run has capacity to spare, or no run's part would change by more
// than the hysteresis.
func (ctl *Controller) targetRates(next *State, name, service string, pool float64, runs []presentRun) []float64 {
	guaranteed := 0.0
	if e := next.Tenants[name]; e != nil && e.Committed != nil {
		guaranteed = fleet.GuaranteedPart * e.Committed.Spec.Quota.Rate / float64(next.Slots)
	}
	loads := make([]float64, len(runs))
	for i, run := range runs {
		if run.reports != nil {
			loads[i] = max(0, run.reports[name].load-guaranteed)
		} else {
			loads[i] = run.lease.Rates[name] // no report yet: assume a load equal to the lease
		}
	}
	old, ok := ctl.divider.targets[name]
	if ok = ok && old.service == service; !ok { // a new leader continues with the present leases if they use up nearly all of the leasable rate
		old = target{leasable: pool, service: service, rates: make([]float64, len(runs))}
		sum := 0.0
		for i, run := range runs {
			old.rates[i] = run.lease.Rates[name]
			sum += old.rates[i]
		}
		ok = sum <= pool && sum > pool*(1-hysteresis/10)
	}
	want := divideByLoad(pool, loads)
	if ok && old.leasable == pool {
		withinHysteresis, withinUtilization := true, true
		for i := range want {
			withinHysteresis = withinHysteresis && math.Abs(want[i]-old.rates[i]) <= hysteresis*max(old.rates[i], pool/float64(len(runs)))
			withinUtilization = withinUtilization && loads[i] <= maxUtilization*old.rates[i]
		}
		if withinHysteresis || withinUtilization {
			want = old.rates
		}
	}
	ctl.divider.targets[name] = target{leasable: pool, service: service, rates: want}
	return want
}

// divideByLoad divides a pool of requests/s. If the pool exceeds the sum of the loads, each run gets its load and an equal
// part of the rest; otherwise the pool is divided in proportion to the loads. One run's load counts at most as the pool.
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

// roundDown rounds a rate down to four significant digits, so that small changes of load don't change leases. Rounding a
// rounded rate again does not change it.
func roundDown(v float64) float64 {
	if v <= 0 {
		return 0
	}
	unit := math.Pow(10, math.Floor(math.Log10(v))-3)
	return math.Floor(v/unit*(1+1e-12)) * unit
}
