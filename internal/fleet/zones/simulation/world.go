// Package simulation runs a fleet in simulated time around the core that evacuates zones and returns to them. It consists of
// nodes that apply the directives they received and report what they saw, seeded schedules of faults and false reports, and
// checks of the rules Z1 to Z5 against the true state of the fleet (docs/fleet.md). It does no I/O and reads no clock.
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
	serversPerZone = 4 // servers that a zone lists, unless a fault or a test changes it
)

// world is a simulated fleet with one controller. Its nodes apply the directives that they received and report what they saw.
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

	rate          float64                               // attempts/s of a node to one server of a zone without a directive
	lossAt        func(n *simNode, zone string) float64 // probability that an attempt is lost
	rejecting     map[string]bool                       // zones that reject half of the attempts
	listed        map[string]int
	silentServers map[string]int                      // servers of a zone that never answer
	intentDelay   func(n *simNode) (fleet.Time, bool) // delay of intent at a node, and whether it arrives at all
	falsify       func(n *simNode, v *fleet.NodeView) // changes a report before the controller gets it
	dropsReport   func(n *simNode) bool               // whether a report of the node is lost
	steps         []step
	apply         func(zones.Command) zones.Command // returns the command that reaches the state; nil items: the command is lost
	check         func()
}

// step is a transition that was applied to the state.
type step struct {
	time   fleet.Time
	key    string
	source string
	target string
	event  string
	before zones.Entry
	after  zones.Entry
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
	servers         map[string]map[int][2]int // by zone and server: attempts, and how many of them were lost
	lastReportAt    fleet.Time
	nextServer      int
	answers         map[string]int // by zone, since the start
}

type heldDirective struct {
	entry       zones.Entry
	confirmedAt fleet.Time // when a replica last confirmed the directive
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

// nodeShare returns what the directives that a node holds allow it at a zone.
func (w *world) nodeShare(n *simNode, zone string) zones.NodeShare {
	share := zones.NodeShare{Share: 1}
	for _, key := range []string{zones.Key(zone, ""), zones.Key(zone, n.Zone)} {
		if held, ok := n.directives[key]; ok {
			expired := w.now-held.confirmedAt > fleet.Time(held.entry.ValidMS)*time.Millisecond
			share = zones.MergeShares(zones.NodeShareOf(held.entry.Directive, n.Node, expired), share)
		}
	}
	return share
}

// run advances the world by d, or until done returns true, and reports whether it did.
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
	for _, change := range c.Items {
		old[change.Key] = w.state.Directives[change.Key]
	}
	if _, err := w.state.Apply(c, func() uint64 { w.revision++; return w.revision }); err != nil {
		if !errors.Is(err, zones.ErrChanged) {
			w.testing.Fatalf("%v: %v of %+v", w.now, err, c)
		}
		return
	}
	for _, change := range c.Items {
		applied := step{
			time:   w.now,
			key:    change.Key,
			event:  change.Event,
			source: fleet.Serving,
			target: change.Entry.Phase,
			before: old[change.Key],
			after:  w.state.Directives[change.Key],
		}
		if applied.before.Phase != "" {
			applied.source = applied.before.Phase
		}
		if change.Removed {
			applied.target = fleet.Serving
		}
		w.steps = append(w.steps, applied)
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
		return // the newest intent arrives later; until then the node applies what it holds
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
	all, open := 0.0, 0.0 // attempts that directives keep from a zone go to the other zones
	for _, zone := range w.zones {
		all, open = all+float64(w.listed[zone]), open+float64(w.listed[zone])*w.nodeShare(n, zone).Share
	}
	for _, zone := range w.zones {
		allowed := w.nodeShare(n, zone)
		evidence := n.zones[zone]
		if evidence == nil {
			evidence = &fleet.ZoneEvidence{Zone: zone}
			n.zones[zone] = evidence
			n.servers[zone] = map[int][2]int{}
		}
		evidence.Listed = w.listed[zone]
		rate := w.rate * allowed.Share * all / math.Max(open, all/4)
		if allowed.Trial {
			rate = math.Min(w.rate, allowed.Rate)
		} else if allowed.Rate > 0 {
			rate = math.Min(rate, allowed.Rate)
		}
		n.pendingAttempts[zone] += rate * float64(w.listed[zone]) * tick.Seconds()
		for ; n.pendingAttempts[zone] >= 1; n.pendingAttempts[zone]-- {
			n.nextServer++
			id := n.nextServer % max(1, w.listed[zone])
			if n.pendingAttempts[zone] >= 1 && w.random.IntN(4) == 0 {
				n.nextServer++
			}
			counts := n.servers[zone][id]
			counts[0]++
			evidence.Started++
			evidence.Attempts++
			switch {
			case id < w.silentServers[zone] || w.random.Float64() < w.lossAt(n, zone):
				evidence.Lost++
				counts[1]++
			case w.rejecting[zone] && w.random.IntN(2) == 0: // rejected: neither lost nor an answer
			default:
				evidence.Answered++
				n.answers[zone]++
			}
			n.servers[zone][id] = counts
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
	for _, zone := range w.zones {
		evidence := n.zones[zone]
		for _, counts := range n.servers[zone] {
			evidence.Servers++
			if counts[0] == counts[1] {
				evidence.LostServers++
			}
		}
		r.Zones = append(r.Zones, *evidence)
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

// kill makes the named zones fail: every attempt of any node at them is lost, and no attempt at other zones.
func (w *world) kill(names ...string) {
	w.lossAt = func(_ *simNode, zone string) float64 {
		if slices.Contains(names, zone) {
			return 1
		}
		return 0
	}
}

func (w *world) heal() { w.lossAt = func(*simNode, string) float64 { return 0 } }

// until runs the world until done returns true, and fails the test where that does not happen within d. condition is the name
// of the awaited condition.
func (w *world) until(condition string, d fleet.Time, done func() bool) {
	if t, ok := w.testing.(interface{ Helper() }); ok {
		t.Helper()
	}
	if !w.run(d, done) {
		w.testing.Fatalf("%v: timed out waiting for %s; steps %v; evidence %+v", w.now, condition, w.steps, w.controller.Evidence())
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
