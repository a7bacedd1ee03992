package simulation

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/zones"
)

// Schedule is a random course of faults over a random fleet.
type Schedule struct {
	Seed      uint64
	Zones     int
	PerZone   int
	BaseLoss  float64 // loss everywhere
	LyingNode int     // a node that lies; -1: none
	LyingZone bool    // all of its zone do
	LieKind   int
	Faults    []Fault
}

// Fault is one thing that happens.
type Fault struct {
	StartMS    int
	DurationMS int
	Kind       string
	Zone       int
	From       int // a zone that the fault concerns the nodes of
	Node       int
	Loss       float64
}

// Kinds of faults.
const (
	faultKill      = "kill"       // every attempt at the zone is lost
	faultGray      = "gray"       // a part of them is
	faultCut       = "cut"        // every attempt of one zone's nodes at it is
	faultDeaf      = "deaf"       // a node gets no intent
	faultSlow      = "slow"       // half of the nodes get it late
	faultRestart   = "restart"    // a node is down, and comes back as a new incarnation
	faultNewLeader = "new leader" // another replica leads, from a snapshot
	faultMute      = "mute"       // a node's reports are lost
	faultReplay    = "replay"     // old reports come again
	faultFewer     = "fewer"      // the zone lists fewer servers
	faultTwice     = "twice"      // commands are applied twice
)

// kinds are those that Draw draws from: a kill is the likeliest.
var kinds = []string{faultKill, faultKill, faultGray, faultCut, faultDeaf, faultSlow, faultRestart, faultNewLeader, faultMute, faultReplay, faultFewer, faultTwice}

// Kinds of false reports.
const (
	lieZoneLost     = iota // the first zone lost every attempt
	lieAllLost             // every zone did
	lieManyAttempts        // the first zone lost a million
	lieServedLoad          // every zone answered a million
	lieInvalid             // figures that can't be
)

// runFor is how long a schedule runs, of the fleet's time.
const runFor = 45 * time.Second

// maxReplayable is how many old reports are kept for replays.
const maxReplayable = 200

// fewerServers is how many servers a zone lists that lists fewer.
const fewerServers = 2

// violation ends a run that broke a rule.
type violation string

// breaker ends a run by a panic, where a test would fail.
type breaker struct{}

// Fatalf ends the run.
func (breaker) Fatalf(format string, args ...any) { panic(violation(fmt.Sprintf(format, args...))) }

// scheduledRun is a schedule that runs in a world.
type scheduledRun struct {
	Schedule
	world   *world
	zones   []string
	reports []fleet.NodeView // old ones, for replays
}

// runSchedule runs a schedule under the rules, with the core as mutate leaves it, and returns the first breach.
func runSchedule(s Schedule, mutate func(*world)) (broken string) {
	defer func() {
		if b, ok := recover().(violation); ok {
			broken = string(b)
		}
	}()
	names := []string{"a", "b", "c", "d"}[:s.Zones]
	w := newWorld(breaker{}, s.Seed, s.PerZone, names...)
	run := &scheduledRun{Schedule: s, world: w, zones: names}
	observer := newRules(w, s)
	w.lossAt = run.loss
	w.intentDelay = run.intentDelay
	w.dropsReport = run.dropsReport
	w.falsify = run.falsify
	w.apply = run.apply
	w.check = func() {
		run.applyFaults()
		observer.check()
	}
	if mutate != nil {
		mutate(w)
	}
	w.run(runFor, nil)
	return ""
}

// active reports whether a fault lasts now.
func (r *scheduledRun) active(f Fault) bool {
	at := r.world.now.Milliseconds()
	return int64(f.StartMS) <= at && at < int64(f.StartMS+f.DurationMS)
}

// loss is the part of a node's attempts at a zone that is lost now.
func (r *scheduledRun) loss(n *simNode, y string) float64 {
	loss := r.BaseLoss
	for _, f := range r.Faults {
		if !r.active(f) || r.zones[f.Zone] != y {
			continue
		}
		switch {
		case f.Kind == faultKill, f.Kind == faultCut && r.zones[f.From] == n.Zone:
			loss = 1
		case f.Kind == faultGray:
			loss = math.Max(loss, f.Loss)
		}
	}
	return loss
}

// intentDelay is how late intent reaches a node now; ok is false where it doesn't.
func (r *scheduledRun) intentDelay(n *simNode) (delay fleet.Time, ok bool) {
	ok = true
	for _, f := range r.Faults {
		if !r.active(f) {
			continue
		}
		if f.Kind == faultDeaf && r.world.nodes[f.Node] == n {
			ok = false
		}
		if f.Kind == faultSlow && int(n.Node[len(n.Node)-1])%2 == f.Node%2 { // half of the nodes
			delay = time.Duration(f.DurationMS/4) * time.Millisecond
		}
	}
	return delay, ok
}

// dropsReport reports whether a node's report is lost now.
func (r *scheduledRun) dropsReport(n *simNode) bool {
	return slices.ContainsFunc(r.Faults, func(f Fault) bool {
		return r.active(f) && f.Kind == faultMute && r.world.nodes[f.Node] == n
	})
}

// falsify replays old reports before a node's report v, and makes v false if the node lies.
func (r *scheduledRun) falsify(n *simNode, v *fleet.NodeView) {
	w := r.world
	for _, f := range r.Faults {
		if r.active(f) && f.Kind == faultReplay && len(r.reports) > 0 { // late, out of order, and twice
			w.controller.Observe(w.now, r.reports[w.random.IntN(len(r.reports))])
		}
	}
	r.reports = append(r.reports, *v)
	if len(r.reports) > maxReplayable {
		r.reports = r.reports[maxReplayable/2:]
	}
	if r.LyingNode < 0 {
		return
	}
	liar := w.nodes[r.LyingNode]
	if liar == n || r.LyingZone && liar.Zone == n.Zone {
		lie(r.LieKind, v)
	}
}

// apply applies a command once more for each fault that doubles commands, before it is applied.
func (r *scheduledRun) apply(c zones.Command) zones.Command {
	w := r.world
	for _, f := range r.Faults {
		if r.active(f) && f.Kind == faultTwice {
			w.state.Apply(c, func() uint64 { w.revision++; return w.revision })
		}
	}
	return c
}

// applyFaults carries out the faults that change nodes, the leader or the list of servers.
func (r *scheduledRun) applyFaults() {
	w := r.world
	for _, f := range r.Faults {
		n := w.nodes[f.Node]
		active := r.active(f)
		switch f.Kind {
		case faultRestart:
			r.restart(n, active)
		case faultNewLeader:
			if active && w.now.Milliseconds()-int64(f.StartMS) < tick.Milliseconds() {
				r.changeLeader(time.Duration(f.DurationMS%7) * time.Second)
			}
		case faultFewer:
			w.listed[r.zones[f.Zone]] = serversPerZone
			if active {
				w.listed[r.zones[f.Zone]] = fewerServers
			}
		}
	}
}

// restart takes a node down, or has it come back as a new incarnation.
func (r *scheduledRun) restart(n *simNode, down bool) {
	if n.down == down {
		return
	}
	n.down = down
	if down {
		return
	}
	n.sequence = 0
	n.lastReportAt = r.world.now
	n.Incarnation++
	n.clear()
}

// changeLeader has another replica lead, from a snapshot and with a clock of its own.
func (r *scheduledRun) changeLeader(clockAhead time.Duration) {
	w := r.world
	raw, err := json.Marshal(w.state)
	if err != nil {
		w.testing.Fatalf("snapshot: %v", err)
	}
	w.state = zones.State{}
	if err := json.Unmarshal(raw, &w.state); err != nil {
		w.testing.Fatalf("snapshot: %v", err)
	}
	w.now += clockAhead
	w.controller.Lead(w.now)
}

// lie makes a report false.
func lie(kind int, v *fleet.NodeView) {
	for i := range v.Report.Zones {
		c := &v.Report.Zones[i]
		switch {
		case kind == lieZoneLost && i == 0, kind == lieAllLost:
			c.Lost = c.Attempts
			c.Answered = 0
			c.LostServers = c.Servers
		case kind == lieManyAttempts && i == 0:
			*c = fleet.ZoneEvidence{Zone: c.Zone, Attempts: 1e6, Lost: 1e6, Servers: 9, LostServers: 9, Listed: 1}
		case kind == lieServedLoad:
			*c = fleet.ZoneEvidence{Zone: c.Zone, Attempts: 1e6, Answered: 1e6, Servers: 9, Listed: 9000}
		case kind == lieInvalid:
			*c = fleet.ZoneEvidence{Zone: c.Zone + "/@", Attempts: -5, Lost: 7, Servers: 1 << 40, Rate: math.NaN()}
		}
	}
}

// Draw makes a schedule of a seed, of the same ranges as the core's tests draw from.
func Draw(seed uint64) Schedule {
	rng := rand.New(rand.NewPCG(seed, 2))
	s := Schedule{Seed: rng.Uint64(), Zones: 2 + rng.IntN(3), PerZone: 2 + rng.IntN(4), BaseLoss: 0.05 * rng.Float64(), LyingNode: -1}
	if rng.IntN(2) == 0 {
		s.LyingNode, s.LieKind = rng.IntN(s.Zones*s.PerZone), rng.IntN(5)
		s.LyingZone = s.Zones > 2 && rng.IntN(2) == 0
	}
	for range rng.IntN(9) {
		s.Faults = append(s.Faults, Fault{
			StartMS:    3000 + rng.IntN(27001),
			DurationMS: 100 + rng.IntN(19901),
			Kind:       kinds[rng.IntN(len(kinds))],
			Zone:       rng.IntN(s.Zones),
			From:       rng.IntN(s.Zones),
			Node:       rng.IntN(s.Zones * s.PerZone),
			Loss:       0.1 + 0.8*rng.Float64(),
		})
	}
	return s
}

// Run runs a schedule for 45 s of the fleet's time; the error names the first rule of Z1 to Z5 that was broken.
func Run(s Schedule) error {
	if broken := runSchedule(s, nil); broken != "" {
		return errors.New(broken)
	}
	return nil
}
