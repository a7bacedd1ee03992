package simulation

import (
	"math"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/zones"
)

const (
	rounding      = 1e-9                    // of a sum of shares or rates
	lossValidity  = 5 * time.Second         // a zone may be evacuated for a loss of so long ago
	lossDetection = 1500 * time.Millisecond // a zone counts as serving for so long after it is lost
	noticedLoss   = 0.09                    // part of attempts lost from which a loss is reason to evacuate
	maxMovedPart  = 1.4                     // of the zones that serve: traffic that may be evacuated to them at once
)

// rules are Z1 to Z5 as an observer sees them, who knows the world's truth and nothing of the core's estimates.
type rules struct {
	world             *world
	schedule          Schedule
	lastLoss          map[string]fleet.Time     // zone, or zone@observers: when it last lost more than its share
	lostSince         map[string]fleet.Time     // zone: since when most nodes lose all there
	answers           map[string]map[string]int // key: answers of its zone by node when its directive came
	minStepShare      map[string]float64        // key: smallest step's share of this return
	firstStepRevision map[string]uint64         // key: revision of its first step
	directiveSince    map[string]fleet.Time     // key: when its directive came
	checkedSteps      int
}

// newRules makes an observer of a world.
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

// check checks the world as it is, and the changes of directives since the last check.
func (r *rules) check() {
	w := r.world
	want := zones.Default(1)
	for _, y := range w.zones {
		r.observeLoss(y)
	}
	for ; r.checkedSteps < len(w.steps); r.checkedSteps++ {
		r.step(w.steps[r.checkedSteps], want)
	}
	for _, y := range w.zones {
		r.checkBudget(y, want)
	}
}

// observeLoss notes whether a zone is lost, and to whom.
func (r *rules) observeLoss(y string) {
	w := r.world
	sum := 0.0
	for _, n := range w.nodes {
		sum += w.lossAt(n, y)
	}
	if _, lost := r.lostSince[y]; !lost {
		r.lostSince[y] = w.now
	}
	if sum < 0.5*float64(len(w.nodes)) {
		delete(r.lostSince, y)
	}
	for _, n := range w.nodes {
		if w.lossAt(n, y) > noticedLoss {
			r.lastLoss[y] = w.now
			r.lastLoss[zones.Key(y, n.Zone)] = w.now
		}
	}
}

// checkBudget checks of a zone that the nodes' parts keep its budget (Z3), and that a directive past its validity allows
// no more than its smallest step (Z5).
func (r *rules) checkBudget(y string, want zones.Settings) {
	w := r.world
	budget, sum := 0.0, 0.0
	for _, n := range w.nodes {
		for _, key := range []string{zones.Key(y, ""), zones.Key(y, n.Zone)} {
			h, ok := n.directives[key]
			if !ok {
				continue
			}
			past := w.now-h.confirmedAt > want.DirectiveLifetime
			p := zones.NodeShareOf(h.entry.Directive, n.Node, past)
			if key == zones.Key(y, "") && h.entry.Budget > 0 && (p.Share > 0 || p.Trial) {
				budget = math.Max(budget, h.entry.Budget)
				sum += p.Rate
			}
			low, ok := r.minStepShare[key]
			if ok && past && h.entry.Phase == fleet.Recovering && h.entry.Revision >= r.firstStepRevision[key] && p.Share > low+rounding {
				w.testing.Fatalf("Z5: %s past its validity has %g of %s, which had %g", n.Node, p.Share, key, low)
			}
		}
	}
	if sum > budget*(1+rounding) {
		w.testing.Fatalf("Z3: parts of %s add up to %g over the budget %g", y, sum, budget)
	}
}

// step checks one change of a directive.
func (r *rules) step(st step, want zones.Settings) {
	w := r.world
	y, x, _ := zones.ParseKey(st.key)
	r.checkServersKept(st, want)
	since, had := r.directiveSince[st.key]
	age := w.now - since
	switch {
	case st.source == fleet.Serving && st.target == fleet.Evacuated && st.event != zones.Region:
		r.checkEvacuation(st, y, x)
	case st.source == fleet.Evacuated && st.target == fleet.Probation:
		if had && age < min(want.InitialBackoff<<st.before.Relapses, want.MaxBackoff) {
			w.testing.Fatalf("Z4: probation %v after it was left, relapse %d", age, st.before.Relapses)
		}
	case st.event == zones.Answered && st.source != fleet.Evacuated:
		if had {
			r.checkStepEvidence(st, want, y, x, age)
		}
		r.checkStepOrder(st)
	}
	r.record(st, y)
}

// checkServersKept checks that enough servers stay for the nodes of every zone (Z2), counted as they are now listed or as
// they were before.
func (r *rules) checkServersKept(st step, want zones.Settings) {
	w := r.world
	for _, origin := range append([]string{""}, w.zones...) {
		var total, stay [2]float64
		for _, z := range w.zones {
			for i, n := range []int{w.listed[z], serversPerZone} {
				total[i] += float64(n)
				stay[i] += float64(n) * trafficShare(w.state.Directives, z, origin)
			}
		}
		if st.target == fleet.Evacuated && stay[0] < want.MinServersPart*total[0]-rounding && stay[1] < want.MinServersPart*total[1]-rounding {
			w.testing.Fatalf("Z2: %g of %g servers stay for nodes of %q: %v", stay[0], total[0], origin, st)
		}
	}
}

// checkEvacuation checks that a zone is evacuated for a loss that was there (Z1), and that no more is evacuated at once
// than the zones that serve had proved to bear (Z2).
func (r *rules) checkEvacuation(st step, y, x string) {
	w := r.world
	seen, ok := r.lastLoss[y]
	if x != "" {
		seen, ok = r.lastLoss[st.key]
	}
	lying := r.schedule.LyingNode >= 0
	lyingZone := lying && x == w.nodes[r.schedule.LyingNode].Zone && (r.schedule.LyingZone || w.alone(x))
	if !lyingZone && (!ok || w.now-seen > lossValidity) {
		w.testing.Fatalf("Z1: %s left, and nothing was lost there: %v", st.key, st)
	}
	moved := 0.0
	serving := 0.0
	since := w.now
	for _, z := range w.zones {
		share := trafficShare(w.state.Directives, z, "")
		if w.phase(zones.Key(z, "")) == fleet.Evacuated {
			moved += 1 - share
			if at, ok := r.directiveSince[zones.Key(z, "")]; ok && z != y {
				since = min(since, at)
			}
		}
		if from, lost := r.lostSince[z]; !lost || w.now-from < lossDetection {
			serving++
		}
	}
	falseCapacity := lying && r.schedule.LieKind == lieServedLoad
	if x == "" && st.event == zones.Lost && moved > maxMovedPart*serving && w.now-since < time.Second && !falseCapacity {
		w.testing.Fatalf("Z2: %g zones moved to %g", moved, serving)
	}
}

// checkStepEvidence checks that a step toward serving had the time and the answers that it needs (Z4).
func (r *rules) checkStepEvidence(st step, want zones.Settings, y, x string, age fleet.Time) {
	w := r.world
	nodes, sum := 0, 0
	for _, n := range w.nodes {
		if got := n.answers[y] - r.answers[st.key][n.Node]; got > 0 {
			nodes++
			sum += got
		}
	}
	if st.source == fleet.Recovering && age < want.MinStepTime {
		w.testing.Fatalf("Z4: a step of %v", age)
	}
	need := want.MinStepAnswers
	if st.source == fleet.Probation {
		need = want.MinTrialAnswers
	}
	tooFewNodes := nodes < 2 && x == "" && len(st.before.TrialNodes) != 1
	if r.schedule.LyingNode < 0 && (sum < need || tooFewNodes) {
		w.testing.Fatalf("Z4: a step with %d answers of %d nodes: %v", sum, nodes, st)
	}
}

// checkStepOrder checks that steps toward serving come one after the other (Z4).
func (r *rules) checkStepOrder(st step) {
	skipped := st.target == fleet.Recovering && st.source == fleet.Recovering && st.after.Step != st.before.Step+1
	if skipped || st.source == fleet.Probation && st.after.Step != 0 {
		r.world.testing.Fatalf("Z4: out of order: %v", st)
	}
}

// record notes a step for the checks of later ones.
func (r *rules) record(st step, y string) {
	w := r.world
	if st.target == fleet.Evacuated {
		delete(r.minStepShare, st.key)
	}
	if st.target == fleet.Recovering {
		low, ok := r.minStepShare[st.key]
		if !ok {
			r.firstStepRevision[st.key] = st.after.Revision
		}
		if !ok || st.after.Share < low {
			r.minStepShare[st.key] = st.after.Share
		}
	}
	r.directiveSince[st.key] = w.now
	r.answers[st.key] = map[string]int{}
	for _, n := range w.nodes {
		r.answers[st.key][n.Node] = n.answers[y]
	}
}

// trafficShare is what nodes of zone x may send of zone y's ordinary attempts by the directives.
func trafficShare(d map[string]zones.Entry, y, x string) float64 {
	s := 1.0
	if e, ok := d[zones.Key(y, "")]; ok {
		s = e.Share
	}
	if e, ok := d[zones.Key(y, x)]; ok && x != "" {
		s = math.Min(s, e.Share)
	}
	return s
}

// alone reports whether zone x has one node present.
func (w *world) alone(x string) bool {
	n := 0
	for _, m := range w.present() {
		if m.Zone == x {
			n++
		}
	}
	return n == 1
}
