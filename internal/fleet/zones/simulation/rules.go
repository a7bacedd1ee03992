package simulation

import (
	"math"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/zones"
)

// rules are Z1 to Z5 as an observer sees them, who knows the world's truth and none of the core's reckoning.
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

func (r *rules) check() {
	w, want := r.world, zones.Default(1)
	for _, y := range w.zones {
		sum := 0.0
		for _, n := range w.nodes {
			sum += w.lossAt(n, y)
		}
		if _, dead := r.lostSince[y]; !dead {
			r.lostSince[y] = w.now
		}
		if sum < 0.5*float64(len(w.nodes)) {
			delete(r.lostSince, y)
		}
		for _, n := range w.nodes {
			if p := w.lossAt(n, y); p > 0.09 {
				r.lastLoss[y], r.lastLoss[zones.Key(y, n.Zone)] = w.now, w.now
			}
		}
	}
	for ; r.checkedSteps < len(w.steps); r.checkedSteps++ {
		r.step(w.steps[r.checkedSteps], want)
	}
	for _, y := range w.zones { // Z3, Z5
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
					budget, sum = math.Max(budget, h.entry.Budget), sum+p.Rate
				}
				if low, ok := r.minStepShare[key]; ok && past && h.entry.Phase == fleet.Recovering && h.entry.Revision >= r.firstStepRevision[key] && p.Share > low+1e-9 {
					w.testing.Fatalf("Z5: %s past its validity has %g of %s, which had %g", n.Node, p.Share, key, low)
				}
			}
		}
		if sum > budget*(1+1e-9) {
			w.testing.Fatalf("Z3: parts of %s add up to %g over the budget %g", y, sum, budget)
		}
	}
}

func (r *rules) step(st step, want zones.Settings) {
	w := r.world
	y, x, _ := zones.ParseKey(st.key)
	for _, o := range append([]string{""}, w.zones...) { // Z2, by the servers of now or of before
		var total, stay [2]float64
		for _, z := range w.zones {
			for i, n := range []int{w.listed[z], serversPerZone} {
				total[i] += float64(n)
				stay[i] += float64(n) * trafficShare(w.state.Directives, z, o)
			}
		}
		if st.target == fleet.Evacuated && stay[0] < want.MinServersPart*total[0]-1e-9 && stay[1] < want.MinServersPart*total[1]-1e-9 {
			w.testing.Fatalf("Z2: %g of %g servers stay for nodes of %q: %v", stay[0], total[0], o, st)
		}
	}
	at, had := r.directiveSince[st.key]
	switch {
	case st.source == fleet.Serving && st.target == fleet.Evacuated && st.event != zones.Region: // Z1
		seen, ok := r.lastLoss[y]
		if x != "" {
			seen, ok = r.lastLoss[st.key]
		}
		liars := r.schedule.LyingNode >= 0 && x == w.nodes[r.schedule.LyingNode].Zone && (r.schedule.LyingZone || w.alone(x))
		if !liars && (!ok || w.now-seen > 5*time.Second) {
			w.testing.Fatalf("Z1: %s left, and nothing was lost there: %v", st.key, st)
		}
		moved := 0.0
		stay := 0.0
		since := w.now // Z2: no more is left at once than the zones that live had proved to bear
		for _, z := range w.zones {
			share := trafficShare(w.state.Directives, z, "")
			if w.phase(zones.Key(z, "")) == fleet.Evacuated {
				moved += 1 - share
				if at, ok := r.directiveSince[zones.Key(z, "")]; ok && z != y {
					since = min(since, at)
				}
			}
			if from, dead := r.lostSince[z]; !dead || w.now-from < 1500*time.Millisecond {
				stay++
			}
		}
		if x == "" && st.event == zones.Lost && moved > 1.4*stay && w.now-since < time.Second && (r.schedule.LyingNode < 0 || r.schedule.LieKind != 3) {
			w.testing.Fatalf("Z2: %g zones moved to %g", moved, stay)
		}
	case st.source == fleet.Evacuated && st.target == fleet.Probation: // Z4
		if had && w.now-at < min(want.InitialBackoff<<st.before.Relapses, want.MaxBackoff) {
			w.testing.Fatalf("Z4: probation %v after it was left, relapse %d", w.now-at, st.before.Relapses)
		}
	case st.event == zones.Answered && st.source != fleet.Evacuated:
		nodes, sum := 0, 0
		for _, n := range w.nodes {
			if got := n.answers[y] - r.answers[st.key][n.Node]; got > 0 {
				nodes, sum = nodes+1, sum+got
			}
		}
		if st.source == fleet.Recovering && had && w.now-at < want.MinStepTime {
			w.testing.Fatalf("Z4: a step of %v", w.now-at)
		}
		need := want.MinStepAnswers
		if st.source == fleet.Probation {
			need = want.MinTrialAnswers
		}
		if had && r.schedule.LyingNode < 0 && (sum < need || nodes < 2 && x == "" && len(st.before.TrialNodes) != 1) {
			w.testing.Fatalf("Z4: a step with %d answers of %d nodes: %v", sum, nodes, st)
		}
		if st.target == fleet.Recovering && st.source == fleet.Recovering && st.after.Step != st.before.Step+1 || st.source == fleet.Probation && st.after.Step != 0 {
			w.testing.Fatalf("Z4: out of order: %v", st)
		}
	}
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
