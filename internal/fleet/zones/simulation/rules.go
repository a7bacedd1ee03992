package simulation

import (
	"math"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/zones"
)

// rules are Z1 to Z5 as an observer sees them, who knows the world's truth and none of the core's reckoning.
type rules struct {
	w       *world
	s       Schedule
	truth   map[string]fleet.Time     // zone, or zone@observers: when it last lost more than its share
	dead    map[string]fleet.Time     // zone: since when most nodes lose all there
	answers map[string]map[string]int // key: answers of its zone by node when its directive came
	min     map[string]float64        // key: smallest step's share of this return
	first   map[string]uint64         // key: revision of its first step
	up      map[string]fleet.Time     // key: when its directive came
	done    int
}

func (r *rules) check() {
	w, want := r.w, zones.Default(1)
	for _, y := range w.zones {
		sum := 0.0
		for _, n := range w.nodes {
			sum += w.lose(n, y)
		}
		if _, dead := r.dead[y]; !dead {
			r.dead[y] = w.now
		}
		if sum < 0.5*float64(len(w.nodes)) {
			delete(r.dead, y)
		}
		for _, n := range w.nodes {
			if p := w.lose(n, y); p > 0.09 {
				r.truth[y], r.truth[zones.Key(y, n.Zone)] = w.now, w.now
			}
		}
	}
	for ; r.done < len(w.steps); r.done++ {
		r.step(w.steps[r.done], want)
	}
	for _, y := range w.zones { // Z3, Z5
		most, sum := 0.0, 0.0
		for _, n := range w.nodes {
			for _, key := range []string{zones.Key(y, ""), zones.Key(y, n.Zone)} {
				h, ok := n.holds[key]
				if !ok {
					continue
				}
				past := w.now-h.at > want.DirectiveLifetime
				p := zones.NodeShareOf(h.e.Directive, n.Node, past)
				if key == zones.Key(y, "") && h.e.Budget > 0 && (p.Share > 0 || p.Trial) {
					most, sum = math.Max(most, h.e.Budget), sum+p.Rate
				}
				if low, ok := r.min[key]; ok && past && h.e.Phase == fleet.Recovering && h.e.Revision >= r.first[key] && p.Share > low+1e-9 {
					w.t.Fatalf("Z5: %s past its validity has %g of %s, which had %g", n.Node, p.Share, key, low)
				}
			}
		}
		if sum > most*(1+1e-9) {
			w.t.Fatalf("Z3: parts of %s add up to %g over the budget %g", y, sum, most)
		}
	}
}

func (r *rules) step(st step, want zones.Settings) {
	w := r.w
	y, x, _ := zones.ParseKey(st.key)
	for _, o := range append([]string{""}, w.zones...) { // Z2, by the servers of now or of before
		var total, stay [2]float64
		for _, z := range w.zones {
			for i, n := range []int{w.listed[z], perWS} {
				total[i] += float64(n)
				stay[i] += float64(n) * share(w.s.Directives, z, o)
			}
		}
		if st.to == fleet.Evacuated && stay[0] < want.MinServersPart*total[0]-1e-9 && stay[1] < want.MinServersPart*total[1]-1e-9 {
			w.t.Fatalf("Z2: %g of %g servers stay for nodes of %q: %v", stay[0], total[0], o, st)
		}
	}
	at, had := r.up[st.key]
	switch {
	case st.from == fleet.Serving && st.to == fleet.Evacuated && st.event != zones.Region: // Z1
		seen, ok := r.truth[y]
		if x != "" {
			seen, ok = r.truth[st.key]
		}
		liars := r.s.Liar >= 0 && x == w.nodes[r.s.Liar].Zone && (r.s.LiarZone || w.alone(x))
		if !liars && (!ok || w.now-seen > 5*time.Second) {
			w.t.Fatalf("Z1: %s left, and nothing was lost there: %v", st.key, st)
		}
		moved, stay, since := 0.0, 0.0, w.now // Z2: no more is left at once than the zones that live had proved to bear
		for _, z := range w.zones {
			share := share(w.s.Directives, z, "")
			if w.phase(zones.Key(z, "")) == fleet.Evacuated {
				moved += 1 - share
				if at, ok := r.up[zones.Key(z, "")]; ok && z != y {
					since = min(since, at)
				}
			}
			if from, dead := r.dead[z]; !dead || w.now-from < 1500*time.Millisecond {
				stay++
			}
		}
		if x == "" && st.event == zones.Lost && moved > 1.4*stay && w.now-since < time.Second && (r.s.Liar < 0 || r.s.Lie != 3) {
			w.t.Fatalf("Z2: %g zones moved to %g", moved, stay)
		}
	case st.from == fleet.Evacuated && st.to == fleet.Probation: // Z4
		if had && w.now-at < min(want.InitialBackoff<<st.before.Relapses, want.MaxBackoff) {
			w.t.Fatalf("Z4: probation %v after it was left, relapse %d", w.now-at, st.before.Relapses)
		}
	case st.event == zones.Answered && st.from != fleet.Evacuated:
		nodes, sum := 0, 0
		for _, n := range w.nodes {
			if got := n.answers[y] - r.answers[st.key][n.Node]; got > 0 {
				nodes, sum = nodes+1, sum+got
			}
		}
		if st.from == fleet.Recovering && had && w.now-at < want.MinStepTime {
			w.t.Fatalf("Z4: a step of %v", w.now-at)
		}
		need := want.MinStepAnswers
		if st.from == fleet.Probation {
			need = want.MinTrialAnswers
		}
		if had && r.s.Liar < 0 && (sum < need || nodes < 2 && x == "" && len(st.before.TrialNodes) != 1) {
			w.t.Fatalf("Z4: a step with %d answers of %d nodes: %v", sum, nodes, st)
		}
		if st.to == fleet.Recovering && st.from == fleet.Recovering && st.after.Step != st.before.Step+1 || st.from == fleet.Probation && st.after.Step != 0 {
			w.t.Fatalf("Z4: out of order: %v", st)
		}
	}
	if st.to == fleet.Evacuated {
		delete(r.min, st.key)
	}
	if st.to == fleet.Recovering {
		low, ok := r.min[st.key]
		if !ok {
			r.first[st.key] = st.after.Revision
		}
		if !ok || st.after.Share < low {
			r.min[st.key] = st.after.Share
		}
	}
	r.up[st.key] = w.now
	r.answers[st.key] = map[string]int{}
	for _, n := range w.nodes {
		r.answers[st.key][n.Node] = n.answers[y]
	}
}

// share is what nodes of zone x may send of zone y's ordinary attempts by the directives.
func share(d map[string]zones.Entry, y, x string) float64 {
	s := 1.0
	if e, ok := d[zones.Key(y, "")]; ok {
		s = e.Share
	}
	if e, ok := d[zones.Key(y, x)]; ok && x != "" {
		s = math.Min(s, e.Share)
	}
	return s
}

// alone says whether zone x has one node present.
func (w *world) alone(x string) bool {
	n := 0
	for _, m := range w.present() {
		if m.Zone == x {
			n++
		}
	}
	return n == 1
}
