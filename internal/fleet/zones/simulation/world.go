// Package simulation is a fleet in simulated time around the core that leaves zones and comes back to them: nodes that keep
// to what they heard and report what they saw, a seeded schedule of faults and liars, and the rules Z1 to Z5 as an
// observer sees them who knows the world's truth (docs/fleet.md). It does no I/O and reads no clock.
package simulation

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/zones"
)

const (
	tick  = 50 * time.Millisecond
	perWS = 4 // servers of a zone
)

// world is a fleet of nodes that keep to what they heard and report what they saw, before one judge.
type world struct {
	t     interface{ Fatalf(string, ...any) }
	set   zones.Settings
	j     *zones.Controller
	s     zones.State
	now   fleet.Time
	rev   uint64
	rng   *rand.Rand
	nodes []*wnode
	zones []string

	rate   float64                             // attempts/s of a node to one server of an ordinary zone
	lose   func(n *wnode, zone string) float64 // chance that an attempt is lost
	full   map[string]bool                     // zones that refuse half
	listed map[string]int
	bad    map[string]int                    // servers of a zone that never answer
	hears  func(n *wnode) (fleet.Time, bool) // delay of intent, and whether it is heard at all
	twist  func(n *wnode, v *fleet.NodeView) // what a liar makes of a report
	drop   func(n *wnode) bool               // reports lost
	steps  []step
	apply  func(zones.Command) zones.Command // what becomes of a command on its way; nil items: lost
	check  func()
}

// step is a transition that was applied.
type step struct {
	at            fleet.Time
	key, from, to string
	event         string
	before, after zones.Entry
	hadPast       bool
}

type wnode struct {
	fleet.Member
	down    bool
	seq     uint64
	next    fleet.Time
	holds   map[string]held
	rev     uint64
	carry   map[string]float64
	zones   map[string]*fleet.ZoneEvidence
	servers map[string]map[int][2]int // attempts, lost
	last    fleet.Time
	pick    int
	answers map[string]int // by zone, ever
}

type held struct {
	e  zones.Entry
	at fleet.Time // when last confirmed
}

func newWorld(t interface{ Fatalf(string, ...any) }, seed uint64, perZone int, names ...string) *world {
	w := &world{t: t, set: zones.Default(perZone * len(names)), rng: rand.New(rand.NewPCG(seed, 1)), zones: names, rate: 4,
		lose: func(*wnode, string) float64 { return 0 }, full: map[string]bool{}, listed: map[string]int{}, bad: map[string]int{}}
	w.j = zones.NewController(w.set)
	for _, z := range names {
		w.listed[z] = perWS
		for i := range perZone {
			w.add(fmt.Sprintf("%s%d", z, i), z)
		}
	}
	return w
}

func (w *world) add(name, zone string) *wnode {
	n := &wnode{Member: fleet.Member{Node: name, Zone: zone, Incarnation: 1}, holds: map[string]held{}, carry: map[string]float64{}, answers: map[string]int{},
		next: w.now + fleet.Time(w.rng.IntN(250))*time.Millisecond, last: w.now}
	n.clear()
	w.nodes = append(w.nodes, n)
	return n
}

func (n *wnode) clear() {
	n.zones, n.servers = map[string]*fleet.ZoneEvidence{}, map[string]map[int][2]int{}
}

func (w *world) present() (out []fleet.Member) {
	for _, n := range w.nodes {
		if !n.down {
			out = append(out, n.Member)
		}
	}
	return out
}

// portion is what a node may do at a zone by what it holds.
func (w *world) portion(n *wnode, y string) zones.NodeShare {
	p := zones.NodeShare{Share: 1}
	for _, key := range []string{zones.Key(y, ""), zones.Key(y, n.Zone)} {
		if h, ok := n.holds[key]; ok {
			past := w.now-h.at > fleet.Time(h.e.ValidMS)*time.Millisecond
			p = zones.MergeShares(zones.NodeShareOf(h.e.Directive, n.Node, past), p)
		}
	}
	return p
}

// run lets the world go on for d, or until done.
func (w *world) run(d fleet.Time, done func() bool) bool {
	for end := w.now + d; w.now < end; {
		w.now += tick
		for _, n := range w.nodes {
			if !n.down {
				w.hear(n)
				w.send(n)
				w.report(n)
			}
		}
		if w.now%(100*time.Millisecond) == 0 {
			for _, c := range w.j.Step(w.now, &w.s, w.present()) {
				w.put(c)
			}
		}
		if w.check != nil {
			w.check()
		}
		if done != nil && done() {
			return true
		}
	}
	return false
}

func (w *world) put(c zones.Command) {
	if w.apply != nil {
		c = w.apply(c)
	}
	if c.Items == nil {
		return
	}
	old := map[string]zones.Entry{}
	past := map[string]bool{}
	for _, ch := range c.Items {
		old[ch.Key] = w.s.Directives[ch.Key]
		_, past[ch.Key] = w.s.PastRelapses[ch.Key]
	}
	if _, err := w.s.Apply(c, func() uint64 { w.rev++; return w.rev }); err != nil {
		if !errors.Is(err, zones.ErrChanged) {
			w.t.Fatalf("%v: %v of %+v", w.now, err, c)
		}
		return
	}
	for _, ch := range c.Items {
		st := step{at: w.now, key: ch.Key, event: ch.Event, from: fleet.Serving, to: ch.Entry.Phase, before: old[ch.Key],
			after: w.s.Directives[ch.Key], hadPast: past[ch.Key]}
		if st.before.Phase != "" {
			st.from = st.before.Phase
		}
		if ch.Removed {
			st.to = fleet.Serving
		}
		w.steps = append(w.steps, st)
	}
}

func (w *world) hear(n *wnode) {
	var delay fleet.Time
	if w.hears != nil {
		d, ok := w.hears(n)
		if !ok {
			return
		}
		delay = d
	}
	if delay > 0 && len(w.steps) > 0 && w.now-w.steps[len(w.steps)-1].at < delay {
		return // hears the newest later, and goes on with what it holds
	}
	for key := range n.holds {
		if _, ok := w.s.Directives[key]; !ok {
			delete(n.holds, key)
		}
	}
	for key, e := range w.s.Directives {
		n.holds[key] = held{e, w.now}
	}
	n.rev = w.rev
}

func (w *world) send(n *wnode) {
	all, open := 0.0, 0.0 // what is left goes to the others
	for _, y := range w.zones {
		all, open = all+float64(w.listed[y]), open+float64(w.listed[y])*w.portion(n, y).Share
	}
	for _, y := range w.zones {
		p := w.portion(n, y)
		c := n.zones[y]
		if c == nil {
			c = &fleet.ZoneEvidence{Zone: y}
			n.zones[y] = c
			n.servers[y] = map[int][2]int{}
		}
		c.Listed = w.listed[y]
		rate := w.rate * p.Share * all / math.Max(open, all/4)
		if p.Trial {
			rate = math.Min(w.rate, p.Rate)
		} else if p.Rate > 0 {
			rate = math.Min(rate, p.Rate)
		}
		n.carry[y] += rate * float64(w.listed[y]) * tick.Seconds()
		for ; n.carry[y] >= 1; n.carry[y]-- {
			n.pick++
			id := n.pick % max(1, w.listed[y])
			if n.carry[y] >= 1 && w.rng.IntN(4) == 0 {
				n.pick++
			}
			sv := n.servers[y][id]
			sv[0]++
			c.Started++
			c.Attempts++
			switch {
			case id < w.bad[y] || w.rng.Float64() < w.lose(n, y):
				c.Lost++
				sv[1]++
			case w.full[y] && w.rng.IntN(2) == 0: // refused: neither lost nor an answer
			default:
				c.Answered++
				n.answers[y]++
			}
			n.servers[y][id] = sv
		}
	}
}

func (w *world) report(n *wnode) {
	if w.now < n.next {
		return
	}
	n.next = w.now + 250*time.Millisecond
	n.seq++
	r := fleet.Report{Member: n.Member, Sequence: n.seq, Revision: n.rev, Ready: true, WindowMS: (w.now - n.last).Milliseconds()}
	for _, y := range w.zones {
		c := n.zones[y]
		for _, sv := range n.servers[y] {
			c.Servers++
			if sv[0] == sv[1] {
				c.LostServers++
			}
		}
		r.Zones = append(r.Zones, *c)
	}
	n.clear()
	n.last = w.now
	if w.drop != nil && w.drop(n) {
		return
	}
	v := fleet.NodeView{Member: n.Member, ReceivedAt: w.now, Report: r}
	if w.twist != nil {
		w.twist(n, &v)
	}
	w.j.Observe(w.now, v)
}

// kill takes a zone away: its attempts are lost, and its nodes see all others fail if they are cut off with it.
func (w *world) kill(names ...string) {
	w.lose = func(_ *wnode, y string) float64 {
		if slices.Contains(names, y) {
			return 1
		}
		return 0
	}
}

func (w *world) heal() { w.lose = func(*wnode, string) float64 { return 0 } }

// until runs until the condition, and fails the test where it does not come.
func (w *world) until(what string, d fleet.Time, done func() bool) {
	if t, ok := w.t.(interface{ Helper() }); ok {
		t.Helper()
	}
	if !w.run(d, done) {
		w.t.Fatalf("%v: no %s; steps %v; findings %+v", w.now, what, w.steps, w.j.Evidence())
	}
}

func (s step) String() string {
	return fmt.Sprintf("\n  %v %s %s %s->%s share %g step %d relapse %d", s.at, s.key, s.event, s.from, s.to, s.after.Share, s.after.Step, s.after.Relapses)
}

func (w *world) phase(key string) string {
	if e, ok := w.s.Directives[key]; ok {
		return e.Phase
	}
	return fleet.Serving
}
