package simulation

import (
	"math"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/zones"
)

const (
	roundingTolerance = 1e-9                    // tolerance for the rounding of a sum of shares or rates
	lossValidity      = 5 * time.Second         // a zone may be evacuated because of a loss at most this long ago
	lossDetection     = 1500 * time.Millisecond // a lost zone still counts as serving for this long
	noticedLoss       = 0.09                    // part of a node's attempts lost above which a loss is a reason to evacuate
	maxMovedPart      = 1.4                     // traffic that may be moved at once to the serving zones, in multiples of what they serve
)

// rules checks Z1 to Z5 from the true state of the world, without use of the core's estimates.
type rules struct {
	world             *world
	schedule          Schedule
	lastLoss          map[string]fleet.Time     // by zone, or key of a zone and its observers: when more than noticedLoss was last lost
	lostSince         map[string]fleet.Time     // by zone: since when at least half of all attempts there are lost
	answers           map[string]map[string]int // by key and node: answers of the zone when the directive came into force
	minStepShare      map[string]float64        // by key: smallest share of a step in this recovery
	firstStepRevision map[string]uint64         // by key: revision of the first step
	directiveSince    map[string]fleet.Time     // by key: when the directive came into force
	checkedSteps      int
}

// newRules returns the rules for a world.
func newRules(w *world, s Schedule) *rules {
	return &rules{
		world:             w,
		schedule:          s,
		lastLoss:          map[string]fleet.Time{},
		lostSince:         map[string]fleet.Time{},
		answers:           map[string]map[string]int{},
		minStepShare:      map[string]float64{},
		firstStepRevision: map[string]uint64{},
		directiveSince:    map[string]fleet.Time{},
	}
}

// check checks the present state of the world, and the changes of directives since the last check.
func (r *rules) check() {
	w := r.world
	settings := zones.Default(1)
	for _, zone := range w.zones {
		r.observeLoss(zone)
	}
	for ; r.checkedSteps < len(w.steps); r.checkedSteps++ {
		r.step(w.steps[r.checkedSteps], settings)
	}
	for _, zone := range w.zones {
		r.checkBudget(zone, settings)
	}
}

// observeLoss records whether a zone is lost, and for the nodes of which zones.
func (r *rules) observeLoss(zone string) {
	w := r.world
	totalLoss := 0.0
	for _, n := range w.nodes {
		totalLoss += w.lossAt(n, zone)
	}
	if _, lost := r.lostSince[zone]; !lost {
		r.lostSince[zone] = w.now
	}
	if totalLoss < 0.5*float64(len(w.nodes)) {
		delete(r.lostSince, zone)
	}
	for _, n := range w.nodes {
		if w.lossAt(n, zone) > noticedLoss {
			r.lastLoss[zone] = w.now
			r.lastLoss[zones.Key(zone, n.Zone)] = w.now
		}
	}
}

// checkBudget checks that the rates of all nodes at a zone add up to no more than its budget (Z3), and that an expired
// directive allows a node no more than the smallest step of the recovery (Z5).
func (r *rules) checkBudget(zone string, settings zones.Settings) {
	w := r.world
	budget, totalRate := 0.0, 0.0
	for _, n := range w.nodes {
		for _, key := range []string{zones.Key(zone, ""), zones.Key(zone, n.Zone)} {
			held, ok := n.directives[key]
			if !ok {
				continue
			}
			expired := w.now-held.confirmedAt > settings.DirectiveLifetime
			share := zones.NodeShareOf(held.entry.Directive, n.Node, expired)
			if key == zones.Key(zone, "") && held.entry.Budget > 0 && (share.Share > 0 || share.Trial) {
				budget = math.Max(budget, held.entry.Budget)
				totalRate += share.Rate
			}
			minShare, ok := r.minStepShare[key]
			if ok && expired && held.entry.Phase == fleet.Recovering &&
				held.entry.Revision >= r.firstStepRevision[key] && share.Share > minShare+roundingTolerance {
				w.testing.Fatalf("Z5: %s past its validity has %g of %s, which had %g", n.Node, share.Share, key, minShare)
			}
		}
	}
	if totalRate > budget*(1+roundingTolerance) {
		w.testing.Fatalf("Z3: parts of %s add up to %g over the budget %g", zone, totalRate, budget)
	}
}

// step checks one change of a directive.
func (r *rules) step(st step, settings zones.Settings) {
	w := r.world
	zone, observer, _ := zones.ParseKey(st.key)
	r.checkServersKept(st, settings)
	since, had := r.directiveSince[st.key]
	age := w.now - since
	switch {
	case st.source == fleet.Serving && st.target == fleet.Evacuated && st.event != zones.Region:
		r.checkEvacuation(st, zone, observer)
	case st.source == fleet.Evacuated && st.target == fleet.Probation:
		if had && age < min(settings.InitialBackoff<<st.before.Relapses, settings.MaxBackoff) {
			w.testing.Fatalf("Z4: probation %v after it was left, relapse %d", age, st.before.Relapses)
		}
	case st.event == zones.Answered && st.source != fleet.Evacuated:
		if had {
			r.checkStepEvidence(st, settings, zone, observer, age)
		}
		r.checkStepOrder(st)
	}
	r.record(st, zone)
}

// checkServersKept checks that enough servers stay in use for the nodes of every zone (Z2), counted by the servers that are
// listed now or by those that are listed without faults.
func (r *rules) checkServersKept(st step, settings zones.Settings) {
	w := r.world
	for _, observer := range append([]string{""}, w.zones...) {
		var total, remaining [2]float64
		for _, zone := range w.zones {
			for i, n := range []int{w.listed[zone], serversPerZone} {
				total[i] += float64(n)
				remaining[i] += float64(n) * trafficShare(w.state.Directives, zone, observer)
			}
		}
		if st.target == fleet.Evacuated && remaining[0] < settings.MinServersPart*total[0]-roundingTolerance &&
			remaining[1] < settings.MinServersPart*total[1]-roundingTolerance {
			w.testing.Fatalf("Z2: %g of %g servers stay for nodes of %q: %v", remaining[0], total[0], observer, st)
		}
	}
}

// checkEvacuation checks that a zone is evacuated because of a real loss (Z1), and that no more traffic is moved at once than
// the serving zones have proved that they can serve (Z2).
func (r *rules) checkEvacuation(st step, zone, observer string) {
	w := r.world
	lostAt, ok := r.lastLoss[zone]
	if observer != "" {
		lostAt, ok = r.lastLoss[st.key]
	}
	lying := r.schedule.LyingNode >= 0
	lyingZone := lying && observer == w.nodes[r.schedule.LyingNode].Zone && (r.schedule.LyingZone || w.hasOneNode(observer))
	if !lyingZone && (!ok || w.now-lostAt > lossValidity) {
		w.testing.Fatalf("Z1: %s left, and nothing was lost there: %v", st.key, st)
	}
	moved := 0.0
	serving := 0.0
	since := w.now
	for _, z := range w.zones {
		share := trafficShare(w.state.Directives, z, "")
		if w.phase(zones.Key(z, "")) == fleet.Evacuated {
			moved += 1 - share
			if at, ok := r.directiveSince[zones.Key(z, "")]; ok && z != zone {
				since = min(since, at)
			}
		}
		if from, lost := r.lostSince[z]; !lost || w.now-from < lossDetection {
			serving++
		}
	}
	falseCapacity := lying && r.schedule.LieKind == lieServedLoad
	if observer == "" && st.event == zones.Lost && moved > maxMovedPart*serving && w.now-since < time.Second && !falseCapacity {
		w.testing.Fatalf("Z2: %g zones moved to %g", moved, serving)
	}
}

// checkStepEvidence checks that a step toward serving had the time and the answers that it needs (Z4).
func (r *rules) checkStepEvidence(st step, settings zones.Settings, zone, observer string, age fleet.Time) {
	w := r.world
	nodes, total := 0, 0
	for _, n := range w.nodes {
		if answered := n.answers[zone] - r.answers[st.key][n.Node]; answered > 0 {
			nodes++
			total += answered
		}
	}
	if st.source == fleet.Recovering && age < settings.MinStepTime {
		w.testing.Fatalf("Z4: a step of %v", age)
	}
	need := settings.MinStepAnswers
	if st.source == fleet.Probation {
		need = settings.MinTrialAnswers
	}
	tooFewNodes := nodes < 2 && observer == "" && len(st.before.TrialNodes) != 1
	if r.schedule.LyingNode < 0 && (total < need || tooFewNodes) {
		w.testing.Fatalf("Z4: a step with %d answers of %d nodes: %v", total, nodes, st)
	}
}

// checkStepOrder checks that no step toward serving is skipped (Z4).
func (r *rules) checkStepOrder(st step) {
	skipped := st.target == fleet.Recovering && st.source == fleet.Recovering && st.after.Step != st.before.Step+1
	if skipped || st.source == fleet.Probation && st.after.Step != 0 {
		r.world.testing.Fatalf("Z4: out of order: %v", st)
	}
}

// record stores what the checks of later steps need to know of this one.
func (r *rules) record(st step, zone string) {
	w := r.world
	if st.target == fleet.Evacuated {
		delete(r.minStepShare, st.key)
	}
	if st.target == fleet.Recovering {
		minShare, ok := r.minStepShare[st.key]
		if !ok {
			r.firstStepRevision[st.key] = st.after.Revision
		}
		if !ok || st.after.Share < minShare {
			r.minStepShare[st.key] = st.after.Share
		}
	}
	r.directiveSince[st.key] = w.now
	r.answers[st.key] = map[string]int{}
	for _, n := range w.nodes {
		r.answers[st.key][n.Node] = n.answers[zone]
	}
}

// trafficShare returns the part of a zone's ordinary attempts that the directives allow the nodes of the observer zone.
func trafficShare(directives map[string]zones.Entry, zone, observer string) float64 {
	share := 1.0
	if e, ok := directives[zones.Key(zone, "")]; ok {
		share = e.Share
	}
	if e, ok := directives[zones.Key(zone, observer)]; ok && observer != "" {
		share = math.Min(share, e.Share)
	}
	return share
}

// hasOneNode reports whether exactly one node of a zone is present.
func (w *world) hasOneNode(zone string) bool {
	n := 0
	for _, m := range w.present() {
		if m.Zone == zone {
			n++
		}
	}
	return n == 1
}
