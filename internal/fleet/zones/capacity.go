package zones

import (
	"math"
	"slices"

	"meadowsill/internal/fleet"
)

const (
	bucketDuration   = 10 * 1e9 // 10 s, as fleet.Time in ns
	bucketCount      = 60       // a proved rate counts for 10 min
	demandWindow     = 3 * 1e9  // demand is the highest rate of this window, which reaches back before a loss is seen
	listedWindow     = 10 * 1e9 // servers that left the list in this window count: they were listed when the zone was lost
	fullRejectedPart = 0.05     // part of attempts rejected above which the zone is full
)

// rateSample is what a zone served at one call of Step.
type rateSample struct {
	takenAt  fleet.Time
	answered float64 // answers/s
	listed   int
}

// rateBucket holds the highest rate of one server in a period of 10 s, and whether the zone was full then.
type rateBucket struct {
	number  int64
	maxRate float64
	wasFull bool
}

// zoneLoad holds the recent rates of a zone.
type zoneLoad struct {
	history []rateSample // newest last
	buckets [bucketCount]rateBucket
}

// recordLoads records what each zone serves now.
func (ctl *Controller) recordLoads(v fleetView) {
	total := 0.0
	for _, zone := range v.zones {
		load := ctl.loads[zone]
		if load == nil {
			load = &zoneLoad{}
			ctl.loads[zone] = load
		}
		var rates, rejected []float64
		attempts := 0
		for _, node := range v.nodes {
			c := node.zones[zone]
			rates = append(rates, c.rate)
			rejected = append(rejected, float64(c.attempts-c.answered-c.lost))
			attempts += c.attempts
		}
		now := rateSample{takenAt: v.now, listed: v.medianListed(zone), answered: sum(clampToMedian(rates))}
		load.history = recentSamples(append(load.history, now), v.now)
		total += now.answered
		b := &load.buckets[int64(v.now/bucketDuration)%bucketCount]
		if n := int64(v.now / bucketDuration); b.number != n {
			*b = rateBucket{number: n}
		}
		if listed := load.maxListed(v.now); listed > 0 {
			b.maxRate = math.Max(b.maxRate, now.answered/float64(listed))
		}
		b.wasFull = b.wasFull || attempts >= 20 && sum(clampToMedian(rejected)) > fullRejectedPart*float64(attempts)
	}
	ctl.totalRates = recentSamples(append(ctl.totalRates, rateSample{takenAt: v.now, answered: total}), v.now)
}

func recentSamples(samples []rateSample, now fleet.Time) []rateSample {
	return slices.DeleteFunc(samples, func(s rateSample) bool { return now-s.takenAt > listedWindow })
}

func sum(values []float64) (total float64) {
	for _, x := range values {
		total += x
	}
	return total
}

// maxRecentRate returns the highest answers/s of the last 3 s.
func maxRecentRate(samples []rateSample, now fleet.Time) (rate float64) {
	for _, s := range samples {
		if now-s.takenAt <= demandWindow {
			rate = math.Max(rate, s.answered)
		}
	}
	return rate
}

// maxListed returns the highest number of listed servers in the last 10 s.
func (z *zoneLoad) maxListed(now fleet.Time) (n int) {
	for _, s := range z.history {
		if now-s.takenAt <= listedWindow {
			n = max(n, s.listed)
		}
	}
	return n
}

// provedRate returns the highest rate of one server in the last 10 min, and whether the zone was full in that time.
func (z *zoneLoad) provedRate(now fleet.Time) (rate float64, full bool) {
	for _, b := range z.buckets {
		if int64(now/bucketDuration)-b.number < bucketCount {
			rate, full = math.Max(rate, b.maxRate), full || b.wasFull
		}
	}
	return rate, full
}

// provedRate returns the highest recent rate of one server of a zone. Where none is known, it returns the lowest of the rates
// that are known of other zones.
func (ctl *Controller) provedRate(zone string, now fleet.Time) (rate float64) {
	if load := ctl.loads[zone]; load != nil {
		if rate, _ = load.provedRate(now); rate > 0 {
			return rate
		}
	}
	for _, load := range ctl.loads {
		if r, _ := load.provedRate(now); r > 0 && (rate == 0 || r < rate) {
			rate = r
		}
	}
	return rate
}

// plannedDirectives are the directives, by key, as they will be with the decisions of this Step.
type plannedDirectives map[string]Entry

// servedShare returns the part of a zone's ordinary attempts that the nodes of the observer zone may make.
func (p plannedDirectives) servedShare(zone, observer string) float64 {
	share := 1.0
	if e, ok := p[Key(zone, "")]; ok {
		share = e.Share
	}
	if e, ok := p[Key(zone, observer)]; ok && observer != "" {
		share = math.Min(share, e.Share)
	}
	return share
}

// baseShare returns the share of a zone that one directive serves all along, whatever the outcome of a recovery.
func (p plannedDirectives) baseShare(zone, observer string) float64 {
	if e, ok := p[Key(zone, observer)]; ok {
		return e.BaseShare
	}
	return 1
}

// listedServers returns the number of servers of a zone: recently or, if that is more, when the zone was evacuated.
func (ctl *Controller) listedServers(planned plannedDirectives, zone string, now fleet.Time) (n int) {
	if load := ctl.loads[zone]; load != nil {
		n = load.maxListed(now)
	}
	if e, ok := planned[Key(zone, "")]; ok {
		n = max(n, e.ListedServers)
	}
	return n
}

// keepsEnoughServers reports whether enough servers stay in use for the nodes of the observer zone ("": of every zone) when only
// the given share of a zone is served to them.
func (ctl *Controller) keepsEnoughServers(v fleetView, planned plannedDirectives, zone, observer string, share float64) bool {
	observers := []string{observer}
	if observer == "" {
		for z := range v.presentByZone {
			observers = append(observers, z)
		}
	}
	for _, o := range observers {
		total, remaining := 0.0, 0.0
		for _, z := range ctl.knownZones() {
			n := float64(ctl.listedServers(planned, z, v.now))
			total += n
			kept := math.Min(planned.baseShare(z, ""), planned.baseShare(z, o))
			if z == zone {
				kept = math.Min(kept, share)
			}
			remaining += n * kept
		}
		if total == 0 || remaining < ctl.settings.MinServersPart*total {
			return false
		}
	}
	return true
}

// evacuablePart returns how much of a zone may be evacuated for the nodes of the observer zone ("": for all nodes), as a part of
// the demand that would move: the spare capacity of the other zones limits it. For a zone that is already evacuated in part,
// it is the further part. demand is the demand that would move.
func (ctl *Controller) evacuablePart(v fleetView, planned plannedDirectives, zone, observer string) (part, demand float64) {
	load := ctl.loads[zone]
	if load == nil {
		return 0, 0
	}
	demand = maxRecentRate(load.history, v.now)
	now, toMove := demand, demand
	if observer != "" && v.presentCount > 0 {
		toMove *= float64(v.presentByZone[observer]) / float64(v.presentCount)
	}
	if e, ok := planned[Key(zone, observer)]; ok { // the zone's demand has already moved, except for its share
		now, toMove = 0, e.Demand
		if last := load.history[len(load.history)-1]; last.takenAt == v.now {
			now = last.answered
		}
	}
	available := 0.0
	served := 0.0
	moving := 0.0
	for _, z := range ctl.knownZones() {
		if z == zone {
			continue
		}
		if e, evacuated := planned[Key(z, "")]; evacuated && e.Phase == fleet.Evacuated && (e.Revision == 0 || ctl.isLoadMoving(Key(z, ""), v.now)) {
			moving += e.Demand * (1 - e.Share)
		}
		if ctl.evidence[Key(z, "")].Event == Lost {
			continue // a lost zone has no capacity
		}
		served += maxRecentRate(ctl.loads[z].history, v.now)
		rate, full := ctl.loads[z].provedRate(v.now)
		if rate == 0 {
			rate = ctl.provedRate(z, v.now)
		}
		if !full {
			rate *= ctl.settings.CapacityFactor
		}
		available += rate * float64(ctl.listedServers(planned, z, v.now)) * planned.servedShare(z, observer)
	}
	if toMove <= 0 {
		return 1, toMove
	}
	// Load that nodes have already moved from the zone by themselves is included in what the other zones serve, but not in the
	// total without this zone. For load of other lost zones it is the reverse. The smaller figure is what the others carry.
	spare := available*ctl.settings.UsableCapacityPart - math.Min(served+moving, math.Max(0, maxRecentRate(ctl.totalRates, v.now)-now))
	return math.Max(0, math.Min(1, spare/toMove)), toMove
}

// isLoadMoving reports whether a directive is so new that the load which it moves may still be moving.
func (ctl *Controller) isLoadMoving(key string, now fleet.Time) bool {
	r := ctl.recoveries[key]
	return r != nil && now-r.startedAt < demandWindow
}

// knownZones returns the names of all zones with recorded loads, sorted.
func (ctl *Controller) knownZones() []string {
	out := make([]string, 0, len(ctl.loads))
	for zone := range ctl.loads {
		out = append(out, zone)
	}
	slices.Sort(out)
	return out
}
