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
	tick           = 50 * time.Millisecond
	serversPerZone = 4 // servers of a zone
)

// world is a fleet of nodes that keep to what they heard and report what they saw, before one controller.
type world struct {
	testing    interface{ Fatalf(string, ...any) }
	settings   zones.Settings
	controller *zones.Controller
	state      zones.State
	now        fleet.Time
	revision   uint64
	random     *rand.Rand
	nodes      []*simNode
	zones      []string

	rate          float64                               // attempts/s of a node to one server of an ordinary zone
	lossAt        func(n *simNode, zone string) float64 // chance that an attempt is lost
	rejecting     map[string]bool                       // zones that reject half
	listed        map[string]int
	silentServers map[string]int                      // servers of a zone that never answer
	intentDelay   func(n *simNode) (fleet.Time, bool) // delay of intent, and whether it is heard at all
	falsify       func(n *simNode, v *fleet.NodeView) // what a liar makes of a report
	dropsReport   func(n *simNode) bool               // reports lost
	steps         []step
	apply         func(zones.Command) zones.Command // what becomes of a command on its way; nil items: lost
	check         func()
}

// step is a transition that was applied.
type step struct {
	time    fleet.Time
	key     string
	source  string
	target  string
	event   string
	before  zones.Entry
	after   zones.Entry
	hadPast bool
}

type simNode struct {
	fleet.Member
	down            bool
	sequence        uint64
	nextReportAt    fleet.Time
	directives      map[string]heldDirective
	revision        uint64
	pendingAttempts map[string]float64
	zones           map[string]*fleet.ZoneEvidence
	servers         map[string]map[int][2]int // attempts, lost
	lastReportAt    fleet.Time
	nextServer      int
	answers         map[string]int // by zone, ever
}

type heldDirective struct {
	entry       zones.Entry
	confirmedAt fleet.Time // when last confirmed
}

func newWorld(t interface{ Fatalf(string, ...any) }, seed uint64, perZone int, names ...string) *world {
	w := &world{
		testing:       t,
		settings:      zones.Default(perZone * len(names)),
		random:        rand.New(rand.NewPCG(seed, 1)),
		zones:         names,
		rate:          4,
		lossAt:        func(*simNode, string) float64 { return 0 },
		rejecting:     map[string]bool{},
		listed:        map[string]int{},
		silentServers: map[string]int{},
	}
	w.controller = zones.NewController(w.settings)
	for _, z := range names {
		w.listed[z] = serversPerZone
		for i := range perZone {
			w.add(fmt.Sprintf("%s%d", z, i), z)
		}
	}
	return w
}

func (w *world) add(name, zone string) *simNode {
	n := &simNode{
		Member:          fleet.Member{Node: name, Zone: zone, Incarnation: 1},
		directives:      map[string]heldDirective{},
		pendingAttempts: map[string]float64{},
		answers:         map[string]int{},
		nextReportAt:    w.now + fleet.Time(w.random.IntN(250))*time.Millisecond,
		lastReportAt:    w.now,
	}
	n.clear()
	w.nodes = append(w.nodes, n)
	return n
}

func (n *simNode) clear() {
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

// nodeShare is what a node may do at a zone by what it holds.
func (w *world) nodeShare(n *simNode, y string) zones.NodeShare {
	p := zones.NodeShare{Share: 1}
	for _, key := range []string{zones.Key(y, ""), zones.Key(y, n.Zone)} {
		if h, ok := n.directives[key]; ok {
			past := w.now-h.confirmedAt > fleet.Time(h.entry.ValidMS)*time.Millisecond
			p = zones.MergeShares(zones.NodeShareOf(h.entry.Directive, n.Node, past), p)
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
				w.receiveIntent(n)
				w.send(n)
				w.report(n)
			}
		}
		if w.now%(100*time.Millisecond) == 0 {
			for _, c := range w.controller.Step(w.now, &w.state, w.present()) {
				w.applyCommand(c)
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

func (w *world) applyCommand(c zones.Command) {
	if w.apply != nil {
		c = w.apply(c)
	}
	if c.Items == nil {
		return
	}
	old := map[string]zones.Entry{}
	past := map[string]bool{}
	for _, ch := range c.Items {
		old[ch.Key] = w.state.Directives[ch.Key]
		_, past[ch.Key] = w.state.PastRelapses[ch.Key]
	}
	if _, err := w.state.Apply(c, func() uint64 { w.revision++; return w.revision }); err != nil {
		if !errors.Is(err, zones.ErrChanged) {
			w.testing.Fatalf("%v: %v of %+v", w.now, err, c)
		}
		return
	}
	for _, ch := range c.Items {
		st := step{
			time:    w.now,
			key:     ch.Key,
			event:   ch.Event,
			source:  fleet.Serving,
			target:  ch.Entry.Phase,
			before:  old[ch.Key],
			after:   w.state.Directives[ch.Key],
			hadPast: past[ch.Key],
		}
		if st.before.Phase != "" {
			st.source = st.before.Phase
		}
		if ch.Removed {
			st.target = fleet.Serving
		}
		w.steps = append(w.steps, st)
	}
}

func (w *world) receiveIntent(n *simNode) {
	var delay fleet.Time
	if w.intentDelay != nil {
		d, ok := w.intentDelay(n)
		if !ok {
			return
		}
		delay = d
	}
	if delay > 0 && len(w.steps) > 0 && w.now-w.steps[len(w.steps)-1].time < delay {
		return // hears the newest later, and goes on with what it holds
	}
	for key := range n.directives {
		if _, ok := w.state.Directives[key]; !ok {
			delete(n.directives, key)
		}
	}
	for key, e := range w.state.Directives {
		n.directives[key] = heldDirective{e, w.now}
	}
	n.revision = w.revision
}

func (w *world) send(n *simNode) {
	all, open := 0.0, 0.0 // what is left goes to the others
	for _, y := range w.zones {
		all, open = all+float64(w.listed[y]), open+float64(w.listed[y])*w.nodeShare(n, y).Share
	}
	for _, y := range w.zones {
		p := w.nodeShare(n, y)
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
		n.pendingAttempts[y] += rate * float64(w.listed[y]) * tick.Seconds()
		for ; n.pendingAttempts[y] >= 1; n.pendingAttempts[y]-- {
			n.nextServer++
			id := n.nextServer % max(1, w.listed[y])
			if n.pendingAttempts[y] >= 1 && w.random.IntN(4) == 0 {
				n.nextServer++
			}
			sv := n.servers[y][id]
			sv[0]++
			c.Started++
			c.Attempts++
			switch {
			case id < w.silentServers[y] || w.random.Float64() < w.lossAt(n, y):
				c.Lost++
				sv[1]++
			case w.rejecting[y] && w.random.IntN(2) == 0: // rejected: neither lost nor an answer
			default:
				c.Answered++
				n.answers[y]++
			}
			n.servers[y][id] = sv
		}
	}
}

func (w *world) report(n *simNode) {
	if w.now < n.nextReportAt {
		return
	}
	n.nextReportAt = w.now + 250*time.Millisecond
	n.sequence++
	r := fleet.Report{Member: n.Member, Sequence: n.sequence, Revision: n.revision, Ready: true, WindowMS: (w.now - n.lastReportAt).Milliseconds()}
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
	n.lastReportAt = w.now
	if w.dropsReport != nil && w.dropsReport(n) {
		return
	}
	v := fleet.NodeView{Member: n.Member, ReceivedAt: w.now, Report: r}
	if w.falsify != nil {
		w.falsify(n, &v)
	}
	w.controller.Observe(w.now, v)
}

// kill takes a zone away: its attempts are lost, and its nodes see all others fail if they are cut off with it.
func (w *world) kill(names ...string) {
	w.lossAt = func(_ *simNode, y string) float64 {
		if slices.Contains(names, y) {
			return 1
		}
		return 0
	}
}

func (w *world) heal() { w.lossAt = func(*simNode, string) float64 { return 0 } }

// until runs until the condition, and fails the test where it does not come.
func (w *world) until(what string, d fleet.Time, done func() bool) {
	if t, ok := w.testing.(interface{ Helper() }); ok {
		t.Helper()
	}
	if !w.run(d, done) {
		w.testing.Fatalf("%v: no %s; steps %v; findings %+v", w.now, what, w.steps, w.controller.Evidence())
	}
}

func (s step) String() string {
	return fmt.Sprintf("\n  %v %s %s %s->%s share %g step %d relapse %d", s.time, s.key, s.event, s.source, s.target, s.after.Share, s.after.Step, s.after.Relapses)
}

func (w *world) phase(key string) string {
	if e, ok := w.state.Directives[key]; ok {
		return e.Phase
	}
	return fleet.Serving
}
