package tenants

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"starlingvalve/internal/fleet"
)

// lender is the judge's part that divides quotas: what it aims at, and which leases are over.
type lender struct {
	began   bool
	divided fleet.Time         // when the last division was decided
	aims    map[string]aim     // by tenant
	prev    map[string]uint64  // present runs at the last step
	epoch   uint64             // and its epoch
	vanish  map[Run]fleet.Time // when a leased run was first seen not to be present
	over    map[Run]bool       // leased runs whose sessions have lapsed for certain
}

// aim is what a tenant's division moves to, and for what pool it was made. All are dropped when the runs change.
type aim struct {
	pool  float64
	rates []float64 // by present run, in order
}

func newLender() lender {
	return lender{aims: map[string]aim{}, vanish: map[Run]fleet.Time{}, over: map[Run]bool{}}
}

// sessions notes which leased runs are over. A run that lapsed is over: it counted itself out before the leader did.
// One that a larger incarnation ended may hold its lease for another TTL; so may any that vanished while this judge
// can't tell how: it had no office yet, or the epoch moved more often than the present runs did.
func (j *Judge) sessions(now fleet.Time, s *State, epoch uint64, present []fleet.Member) {
	l := &j.lend
	cur := make(map[string]uint64, len(present))
	moves := uint64(0)
	for _, m := range present {
		cur[m.Node] = m.Incarnation
		if l.prev[m.Node] != m.Incarnation {
			moves++
		}
	}
	for n := range l.prev {
		if _, ok := cur[n]; !ok {
			moves++
		}
	}
	if moves > 0 {
		clear(l.aims)
	}
	told := l.prev != nil && epoch-l.epoch == moves
	leased := map[Run]bool{}
	look := func(r Run) {
		leased[r] = true
		inc, there := cur[r.Node]
		if there && inc == r.Incarnation {
			return
		}
		if _, ok := l.vanish[r]; !ok {
			l.vanish[r] = now
			l.over[r] = told && !there && l.prev[r.Node] == r.Incarnation
		}
		if now-l.vanish[r] >= j.cfg.TTL {
			l.over[r] = true
		}
	}
	for n, le := range s.Runs {
		look(Run{n, le.Incarnation})
	}
	for _, g := range s.Ghosts {
		look(g.Run)
	}
	for r := range l.vanish {
		if !leased[r] {
			delete(l.vanish, r)
			delete(l.over, r)
		}
	}
	l.prev, l.epoch = cur, epoch
}

// divide decides one division, or none: at most one in DivideEvery, and only where something changes by it.
func (j *Judge) divide(now fleet.Time, s *State, epoch uint64, present []fleet.Member) *Division {
	j.sessions(now, s, epoch, present)
	l := &j.lend
	if j.cfg.Slots <= 0 || l.began && now-l.divided < DivideEvery {
		return nil
	}
	d := &Division{Slots: j.cfg.Slots}
	for r, over := range l.over {
		if over {
			d.Over = append(d.Over, r)
		}
	}
	slices.SortFunc(d.Over, func(a, b Run) int {
		return cmp.Or(strings.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	grants := make([]Grant, len(present))
	fresh := make([]bool, len(present)) // a run that has no lease yet
	for i, m := range present {
		grants[i] = Grant{Run: Run{m.Node, m.Incarnation}}
		le := s.Runs[m.Node]
		fresh[i] = le == nil || le.Incarnation != m.Incarnation
		if v := j.views[m.Node]; v != nil && v.Incarnation == m.Incarnation && !fresh[i] && j.news(s, m.Node, le, v.Report.Revision) {
			d.Held = append(d.Held, Held{Run: grants[i].Run, Revision: v.Report.Revision})
		}
	}
	next := s.draft(&Division{Slots: j.cfg.Slots, Held: d.Held, Over: d.Over, Grants: grants})
	most := next.mosts()
	for _, name := range next.names(most) {
		j.grant(next, name, most[name], present, grants)
	}
	d.Grants = slices.DeleteFunc(grants, func(g Grant) bool {
		le := s.Runs[g.Node]
		return len(g.Rates) == 0 && le != nil && le.Incarnation == g.Incarnation
	})
	if len(d.Grants) == 0 && len(d.Over) == 0 && len(d.Held) == 0 {
		return nil
	}
	l.began, l.divided = true, now
	return d
}

// news says whether a run's word that it holds intent up to rev frees anything.
func (j *Judge) news(s *State, node string, le *Lease, rev uint64) bool {
	if rev >= le.Rev {
		for name, m := range le.Most {
			if m > le.Rates[name] {
				return true
			}
		}
	}
	ghost := slices.ContainsFunc(s.Ghosts, func(g Ghost) bool { return g.Node == node })
	for _, e := range s.Tenants {
		if _, ok := e.Behind[node]; ok && rev >= e.Rev && !ghost {
			return true
		}
	}
	return false
}

// names are the tenants that lease something or may.
func (s *State) names(most map[string]float64) []string {
	all := sortedKeys(s.Tenants)
	for name := range most {
		if s.Tenants[name] == nil {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return all
}

// grant moves one tenant's parts to its aim as far as may be now: down at once, up out of what no run may hold.
func (j *Judge) grant(next *State, name string, most float64, present []fleet.Member, grants []Grant) {
	pool := next.Pool(name)
	want := j.aimAt(next, name, pool, present)
	need := 0.0
	for i, m := range present {
		need += max(0, want[i]-next.Runs[m.Node].Most[name])
	}
	part := 0.0
	if need > 0 {
		part = min(1, max(0, pool-most)/need)
	}
	for i, m := range present {
		le := next.Runs[m.Node]
		to := min(want[i], le.Most[name])
		to = round(to + part*max(0, want[i]-to))
		if to != le.Rates[name] {
			if grants[i].Rates == nil {
				grants[i].Rates = map[string]float64{}
			}
			grants[i].Rates[name] = to
		}
	}
}

// aimAt gives each present run's part of the pool. It stays as it was while the pool and the runs are the same and no
// run's part would move by more than the hysteresis.
func (j *Judge) aimAt(next *State, name string, pool float64, present []fleet.Member) []float64 {
	loads := make([]float64, len(present))
	floor := 0.0
	if e := next.Tenants[name]; e != nil && e.Committed != nil {
		floor = fleet.FloorPart * e.Committed.Spec.Quota.Rate / float64(next.Slots)
	}
	for i, m := range present {
		if v := j.views[m.Node]; v != nil && v.Incarnation == m.Incarnation {
			loads[i] = max(0, v.load[name]-floor)
		} else {
			loads[i] = next.Runs[m.Node].Rates[name] // nothing heard: as it is
		}
	}
	want := fill(pool, loads)
	old, ok := j.lend.aims[name]
	if !ok { // a new leader goes on from what is leased
		old = aim{pool: pool, rates: make([]float64, len(present))}
		sum := 0.0
		for i, m := range present {
			old.rates[i] = next.Runs[m.Node].Rates[name]
			sum += old.rates[i]
		}
		ok = sum <= pool && sum > pool*(1-hysteresis)
	}
	if ok && old.pool == pool && len(old.rates) == len(present) {
		near := true
		for i := range want {
			near = near && math.Abs(want[i]-old.rates[i]) <= hysteresis*max(old.rates[i], pool/float64(len(present)))
		}
		if near {
			want = old.rates
		}
	}
	j.lend.aims[name] = aim{pool: pool, rates: want}
	return want
}

// fill divides a pool: where it is enough everybody gets its load and the rest evenly, else all in proportion to
// their loads. One run's word counts for no more than the pool.
func fill(pool float64, loads []float64) []float64 {
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

// round takes a rate down to four digits, so that small moves change nothing; it leaves what it gave as it is.
func round(v float64) float64 {
	if v <= 0 {
		return 0
	}
	unit := math.Pow(10, math.Floor(math.Log10(v))-3)
	return math.Floor(v/unit*(1+1e-12)) * unit
}
