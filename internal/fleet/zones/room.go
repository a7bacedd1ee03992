package zones

import (
	"math"
	"slices"

	"meadowsill/internal/fleet"
)

const (
	bucketTime = 10 * 1e9 // fleet.Time
	buckets    = 60       // of the 10 min for which a proved rate counts
	demandTime = 3 * 1e9  // demand is the most of so long: from before a loss is seen
	listedTime = 10 * 1e9 // servers that left the list of late were there when it was lost
	fullFrom   = 0.05     // share of attempts refused: the zone is full
)

// sample is what a zone carried at one step.
type sample struct {
	at     fleet.Time
	ok     float64 // answers/s
	listed int
}

// bucket is the most that one server gave in 10 s, and whether the zone was full.
type bucket struct {
	n    int64
	best float64
	full bool
}

// carried is what is known of a zone's rates.
type carried struct {
	hist    []sample // the newest last
	buckets [buckets]bucket
}

// note keeps what the zones carry now.
func (j *Judge) note(v view) {
	total := 0.0
	for _, y := range v.zones {
		z := j.zones[y]
		if z == nil {
			z = &carried{}
			j.zones[y] = z
		}
		var rates, refused []float64
		attempts := 0
		for _, s := range v.sights {
			c := s.zones[y]
			rates = append(rates, c.rate)
			refused = append(refused, float64(c.attempts-c.ok-c.lost))
			attempts += c.attempts
		}
		now := sample{at: v.now, listed: v.listed(y), ok: sum(clamp(rates))}
		z.hist = trim(append(z.hist, now), v.now)
		total += now.ok
		b := &z.buckets[int64(v.now/bucketTime)%buckets]
		if n := int64(v.now / bucketTime); b.n != n {
			*b = bucket{n: n}
		}
		if listed := z.listed(v.now); listed > 0 {
			b.best = math.Max(b.best, now.ok/float64(listed))
		}
		b.full = b.full || attempts >= 20 && sum(clamp(refused)) > fullFrom*float64(attempts)
	}
	j.total = trim(append(j.total, sample{at: v.now, ok: total}), v.now)
}

func trim(h []sample, now fleet.Time) []sample {
	return slices.DeleteFunc(h, func(s sample) bool { return now-s.at > listedTime })
}

func sum(values []float64) (t float64) {
	for _, x := range values {
		t += x
	}
	return t
}

// most answers/s of the last 3 s.
func most(h []sample, now fleet.Time) (ok float64) {
	for _, s := range h {
		if now-s.at <= demandTime {
			ok = math.Max(ok, s.ok)
		}
	}
	return ok
}

// listed is the most servers of the last 10 s.
func (z *carried) listed(now fleet.Time) (n int) {
	for _, s := range z.hist {
		if now-s.at <= listedTime {
			n = max(n, s.listed)
		}
	}
	return n
}

// proved is the most that a server gave in the last 10 min, and whether the zone was full in them.
func (z *carried) proved(now fleet.Time) (rate float64, full bool) {
	for _, b := range z.buckets {
		if int64(now/bucketTime)-b.n < buckets {
			rate, full = math.Max(rate, b.best), full || b.full
		}
	}
	return rate, full
}

// proved is what one of zone y's servers has given; where nothing is known, what one of the others has.
func (j *Judge) proved(y string, now fleet.Time) (rate float64) {
	if z := j.zones[y]; z != nil {
		if rate, _ = z.proved(now); rate > 0 {
			return rate
		}
	}
	for _, z := range j.zones {
		if r, _ := z.proved(now); r > 0 && (rate == 0 || r < rate) {
			rate = r
		}
	}
	return rate
}

// plan is the directives as they will be with what this step decides.
type plan map[string]Entry

// share that nodes of zone x may send of zone y's ordinary attempts.
func (p plan) share(y, x string) float64 {
	s := 1.0
	if e, ok := p[Key(y, "")]; ok {
		s = e.Share
	}
	if e, ok := p[Key(y, x)]; ok && x != "" {
		s = math.Min(s, e.Share)
	}
	return s
}

// least is what is left of zone y by one directive, whatever becomes of a return that is on.
func (p plan) least(y, x string) float64 {
	if e, ok := p[Key(y, x)]; ok {
		return e.Base
	}
	return 1
}

// listed is how many servers zone y has: as it was when it was left, or of late.
func (j *Judge) listed(p plan, y string, now fleet.Time) (n int) {
	if z := j.zones[y]; z != nil {
		n = z.listed(now)
	}
	if e, ok := p[Key(y, "")]; ok {
		n = max(n, e.Listed)
	}
	return n
}

// stays tells whether, with share of zone y as nodes of x see it (x "": all), enough servers stay for everyone.
func (j *Judge) stays(v view, p plan, y, x string, share float64) bool {
	observers := []string{x}
	if x == "" {
		for z := range v.present {
			observers = append(observers, z)
		}
	}
	for _, o := range observers {
		total, stay := 0.0, 0.0
		for _, z := range j.known() {
			n := float64(j.listed(p, z, v.now))
			total += n
			s := math.Min(p.least(z, ""), p.least(z, o))
			if z == y {
				s = math.Min(s, share)
			}
			stay += n * s
		}
		if total == 0 || stay < j.set.Panic*total {
			return false
		}
	}
	return true
}

// part gives how much of zone y the nodes of x (x "": all) may leave: what the others bear more than they carry, of
// the demand that would move. For a zone that is left in part, it is what more may be left.
func (j *Judge) part(v view, p plan, y, x string) (part, demand float64) {
	y0 := j.zones[y]
	if y0 == nil {
		return 0, 0
	}
	demand = most(y0.hist, v.now)
	now, moves := demand, demand
	if x != "" && v.nodes > 0 {
		moves *= float64(v.present[x]) / float64(v.nodes)
	}
	if e, ok := p[Key(y, x)]; ok { // what it carried has moved already, but for its share
		now, moves = 0, e.Demand
		if last := y0.hist[len(y0.hist)-1]; last.at == v.now {
			now = last.ok
		}
	}
	bear, carry, moving := 0.0, 0.0, 0.0
	for _, z := range j.known() {
		if z == y {
			continue
		}
		if e, left := p[Key(z, "")]; left && e.Phase == fleet.Left && (e.Rev == 0 || j.fresh(Key(z, ""), v.now)) {
			moving += e.Demand * (1 - e.Share)
		}
		if j.found[Key(z, "")].Event == Lost {
			continue // it bears nothing
		}
		carry += most(j.zones[z].hist, v.now)
		rate, full := j.zones[z].proved(v.now)
		if rate == 0 {
			rate = j.proved(z, v.now)
		}
		if !full {
			rate *= j.set.Headroom
		}
		bear += rate * float64(j.listed(p, z, v.now)) * p.share(z, x)
	}
	if moves <= 0 {
		return 1, moves
	}
	// Load that nodes have moved by themselves is in what the others carry, though not in the total but for y; load of
	// zones that are lost too is the other way round. The less of the two is what they carry.
	room := bear*j.set.RoomPart - math.Min(carry+moving, math.Max(0, most(j.total, v.now)-now))
	return math.Max(0, math.Min(1, room/moves)), moves
}

// fresh tells whether a directive is so new that the load may still be moving.
func (j *Judge) fresh(key string, now fleet.Time) bool {
	b := j.backs[key]
	return b != nil && now-b.begun < demandTime
}

// known zones, in order.
func (j *Judge) known() []string {
	out := make([]string, 0, len(j.zones))
	for y := range j.zones {
		out = append(out, y)
	}
	slices.Sort(out)
	return out
}
