package zones

import (
	"math"
	"slices"

	"meadowsill/internal/fleet"
)

const (
	bucketDuration   = 10 * 1e9 // fleet.Time
	bucketCount      = 60       // of the 10 min for which a proved rate counts
	demandWindow     = 3 * 1e9  // demand is the most of so long: from before a loss is seen
	listedWindow     = 10 * 1e9 // servers that left the list of late were there when it was lost
	fullRejectedPart = 0.05     // share of attempts rejected: the zone is full
)

// rateSample is what a zone carried at one step.
type rateSample struct {
	takenAt  fleet.Time
	answered float64 // answers/s
	listed   int
}

// rateBucket is the most that one server gave in 10 s, and whether the zone was full.
type rateBucket struct {
	number  int64
	maxRate float64
	wasFull bool
}

// zoneLoad is what is known of a zone's rates.
type zoneLoad struct {
	history []rateSample // the newest last
	buckets [bucketCount]rateBucket
}

// recordLoads keeps what the zones carry now.
func (ctl *Controller) recordLoads(v fleetView) {
	total := 0.0
	for _, y := range v.zones {
		z := ctl.loads[y]
		if z == nil {
			z = &zoneLoad{}
			ctl.loads[y] = z
		}
		var rates, rejected []float64
		attempts := 0
		for _, s := range v.nodes {
			c := s.zones[y]
			rates = append(rates, c.rate)
			rejected = append(rejected, float64(c.attempts-c.answered-c.lost))
			attempts += c.attempts
		}
		now := rateSample{takenAt: v.now, listed: v.medianListed(y), answered: sum(clampToMedian(rates))}
		z.history = recentSamples(append(z.history, now), v.now)
		total += now.answered
		b := &z.buckets[int64(v.now/bucketDuration)%bucketCount]
		if n := int64(v.now / bucketDuration); b.number != n {
			*b = rateBucket{number: n}
		}
		if listed := z.maxListed(v.now); listed > 0 {
			b.maxRate = math.Max(b.maxRate, now.answered/float64(listed))
		}
		b.wasFull = b.wasFull || attempts >= 20 && sum(clampToMedian(rejected)) > fullRejectedPart*float64(attempts)
	}
	ctl.totalRates = recentSamples(append(ctl.totalRates, rateSample{takenAt: v.now, answered: total}), v.now)
}

func recentSamples(h []rateSample, now fleet.Time) []rateSample {
	return slices.DeleteFunc(h, func(s rateSample) bool { return now-s.takenAt > listedWindow })
}

func sum(values []float64) (t float64) {
	for _, x := range values {
		t += x
	}
	return t
}

// maxRecentRate answers/s of the last 3 s.
func maxRecentRate(h []rateSample, now fleet.Time) (ok float64) {
	for _, s := range h {
		if now-s.takenAt <= demandWindow {
			ok = math.Max(ok, s.answered)
		}
	}
	return ok
}

// maxListed is the most servers of the last 10 s.
func (z *zoneLoad) maxListed(now fleet.Time) (n int) {
	for _, s := range z.history {
		if now-s.takenAt <= listedWindow {
			n = max(n, s.listed)
		}
	}
	return n
}

// provedRate is the most that a server gave in the last 10 min, and whether the zone was full in them.
func (z *zoneLoad) provedRate(now fleet.Time) (rate float64, full bool) {
	for _, b := range z.buckets {
		if int64(now/bucketDuration)-b.number < bucketCount {
			rate, full = math.Max(rate, b.maxRate), full || b.wasFull
		}
	}
	return rate, full
}

// provedRate is what one of zone y's servers has given; where nothing is known, what one of the others has.
func (ctl *Controller) provedRate(y string, now fleet.Time) (rate float64) {
	if z := ctl.loads[y]; z != nil {
		if rate, _ = z.provedRate(now); rate > 0 {
			return rate
		}
	}
	for _, z := range ctl.loads {
		if r, _ := z.provedRate(now); r > 0 && (rate == 0 || r < rate) {
			rate = r
		}
	}
	return rate
}

// plannedDirectives is the directives as they will be with what this step decides.
type plannedDirectives map[string]Entry

// servedShare that nodes of zone x may send of zone y's ordinary attempts.
func (p plannedDirectives) servedShare(y, x string) float64 {
	s := 1.0
	if e, ok := p[Key(y, "")]; ok {
		s = e.Share
	}
	if e, ok := p[Key(y, x)]; ok && x != "" {
		s = math.Min(s, e.Share)
	}
	return s
}

// baseShare is what is left of zone y by one directive, whatever becomes of a recovery that is on.
func (p plannedDirectives) baseShare(y, x string) float64 {
	if e, ok := p[Key(y, x)]; ok {
		return e.BaseShare
	}
	return 1
}

// listedServers is how many servers zone y has: as it was when it was evacuated, or of late.
func (ctl *Controller) listedServers(p plannedDirectives, y string, now fleet.Time) (n int) {
	if z := ctl.loads[y]; z != nil {
		n = z.maxListed(now)
	}
	if e, ok := p[Key(y, "")]; ok {
		n = max(n, e.ListedServers)
	}
	return n
}

// keepsEnoughServers reports whether, with share of zone y as nodes of x see it (x "": all), enough servers stay for everyone.
func (ctl *Controller) keepsEnoughServers(v fleetView, p plannedDirectives, y, x string, share float64) bool {
	observers := []string{x}
	if x == "" {
		for z := range v.presentByZone {
			observers = append(observers, z)
		}
	}
	for _, o := range observers {
		total, stay := 0.0, 0.0
		for _, z := range ctl.knownZones() {
			n := float64(ctl.listedServers(p, z, v.now))
			total += n
			s := math.Min(p.baseShare(z, ""), p.baseShare(z, o))
			if z == y {
				s = math.Min(s, share)
			}
			stay += n * s
		}
		if total == 0 || stay < ctl.settings.MinServersPart*total {
			return false
		}
	}
	return true
}

// evacuablePart returns how much of zone y the nodes of x (x "": all) may leave: what the others can take beyond what they serve, of
// the demand that would move. For a zone that is evacuated in part, it is what more may be left.
func (ctl *Controller) evacuablePart(v fleetView, p plannedDirectives, y, x string) (part, demand float64) {
	y0 := ctl.loads[y]
	if y0 == nil {
		return 0, 0
	}
	demand = maxRecentRate(y0.history, v.now)
	now, moves := demand, demand
	if x != "" && v.presentCount > 0 {
		moves *= float64(v.presentByZone[x]) / float64(v.presentCount)
	}
	if e, ok := p[Key(y, x)]; ok { // what it carried has moved already, but for its share
		now, moves = 0, e.Demand
		if last := y0.history[len(y0.history)-1]; last.takenAt == v.now {
			now = last.answered
		}
	}
	available := 0.0
	served := 0.0
	moving := 0.0
	for _, z := range ctl.knownZones() {
		if z == y {
			continue
		}
		if e, left := p[Key(z, "")]; left && e.Phase == fleet.Evacuated && (e.Revision == 0 || ctl.isLoadMoving(Key(z, ""), v.now)) {
			moving += e.Demand * (1 - e.Share)
		}
		if ctl.evidence[Key(z, "")].Event == Lost {
			continue // it bears nothing
		}
		served += maxRecentRate(ctl.loads[z].history, v.now)
		rate, full := ctl.loads[z].provedRate(v.now)
		if rate == 0 {
			rate = ctl.provedRate(z, v.now)
		}
		if !full {
			rate *= ctl.settings.CapacityFactor
		}
		available += rate * float64(ctl.listedServers(p, z, v.now)) * p.servedShare(z, x)
	}
	if moves <= 0 {
		return 1, moves
	}
	// Load that nodes have moved by themselves is in what the others carry, though not in the total but for y; load of
	// zones that are lost too is the other way round. The less of the two is what they carry.
	spare := available*ctl.settings.UsableCapacityPart - math.Min(served+moving, math.Max(0, maxRecentRate(ctl.totalRates, v.now)-now))
	return math.Max(0, math.Min(1, spare/moves)), moves
}

// isLoadMoving reports whether a directive is so new that the load may still be moving.
func (ctl *Controller) isLoadMoving(key string, now fleet.Time) bool {
	b := ctl.recoveries[key]
	return b != nil && now-b.startedAt < demandWindow
}

// knownZones zones, in order.
func (ctl *Controller) knownZones() []string {
	out := make([]string, 0, len(ctl.loads))
	for y := range ctl.loads {
		out = append(out, y)
	}
	slices.Sort(out)
	return out
}
