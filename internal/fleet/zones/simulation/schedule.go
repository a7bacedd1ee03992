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

// Schedule is a random sequence of faults in a fleet of random size.
type Schedule struct {
	Seed      uint64
	Zones     int
	PerZone   int
	BaseLoss  float64 // part of the attempts that is lost in every zone
	LyingNode int     // index of a node that reports false counts; -1: none
	LyingZone bool    // all nodes of LyingNode's zone report false counts
	LieKind   int
	Faults    []Fault
}

// Fault is one fault of a schedule.
type Fault struct {
	StartMS    int
	DurationMS int
	Kind       string
	Zone       int
	From       int // zone whose nodes a faultCutOff concerns
	Node       int
	Loss       float64
}

// Kinds of faults.
const (
	faultKill            = "kill"       // every attempt at the zone is lost
	faultGray            = "gray"       // a part of the attempts at the zone is lost
	faultCutOff          = "cut"        // every attempt at the zone by the nodes of one zone is lost
	faultIntentLost      = "deaf"       // no intent reaches a node
	faultIntentLate      = "slow"       // intent reaches half of the nodes late
	faultRestart         = "restart"    // a node is down and comes back as a new incarnation
	faultNewLeader       = "new leader" // another replica becomes leader, from a snapshot
	faultReportsLost     = "mute"       // a node's reports are lost
	faultReportsReplayed = "replay"     // old reports arrive again
	faultFewerServers    = "fewer"      // the zone lists fewer servers
	faultCommandsTwice   = "twice"      // commands are applied twice
)

// kinds are the kinds that Draw chooses from. A kill is the most likely.
var kinds = []string{faultKill, faultKill, faultGray, faultCutOff, faultIntentLost, faultIntentLate, faultRestart,
	faultNewLeader, faultReportsLost, faultReportsReplayed, faultFewerServers, faultCommandsTwice}

// Kinds of false reports, the values of Schedule.LieKind.
const (
	lieZoneLost     = iota // every attempt at the first zone was lost
	lieAllLost             // every attempt at every zone was lost
	lieManyAttempts        // a million attempts at the first zone were lost
	lieServedLoad          // every zone answered a million attempts
	lieInvalid             // counts that are impossible
)

// runFor is the simulated time that a schedule runs for.
const runFor = 45 * time.Second

// maxReplayable is the maximum number of old reports that are kept for replays.
const maxReplayable = 200

// fewerServers is the number of servers that a zone lists during a faultFewerServers.
const fewerServers = 2

// violation is the panic value that ends a run which broke a rule.
type violation string

// panicReporter ends a run by a panic, in place of the test that would fail.
type panicReporter struct{}

// Fatalf ends the run with a violation.
func (panicReporter) Fatalf(format string, args ...any) {
	panic(violation(fmt.Sprintf(format, args...)))
}

// scheduledRun is the run of a schedule in a world.
type scheduledRun struct {
	Schedule
	world   *world
	zones   []string
	reports []fleet.NodeView // old reports, for replays
}

// runSchedule runs a schedule and checks the rules, after mutate has changed the world, and returns the first violation, or "".
func runSchedule(s Schedule, mutate func(*world)) (broken string) {
	defer func() {
		if v, ok := recover().(violation); ok {
			broken = string(v)
		}
	}()
	names := []string{"a", "b", "c", "d"}[:s.Zones]
	w := newWorld(panicReporter{}, s.Seed, s.PerZone, names...)
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

// active reports whether a fault is active now.
func (r *scheduledRun) active(f Fault) bool {
	at := r.world.now.Milliseconds()
	return int64(f.StartMS) <= at && at < int64(f.StartMS+f.DurationMS)
}

// loss returns the part of a node's attempts at a zone that is lost now.
func (r *scheduledRun) loss(n *simNode, zone string) float64 {
	loss := r.BaseLoss
	for _, f := range r.Faults {
		if !r.active(f) || r.zones[f.Zone] != zone {
			continue
		}
		switch {
		case f.Kind == faultKill, f.Kind == faultCutOff && r.zones[f.From] == n.Zone:
			loss = 1
		case f.Kind == faultGray:
			loss = math.Max(loss, f.Loss)
		}
	}
	return loss
}

// intentDelay returns the delay with which intent reaches a node now. ok is false where no intent reaches it.
func (r *scheduledRun) intentDelay(n *simNode) (delay fleet.Time, ok bool) {
	ok = true
	for _, f := range r.Faults {
		if !r.active(f) {
			continue
		}
		if f.Kind == faultIntentLost && r.world.nodes[f.Node] == n {
			ok = false
		}
		if f.Kind == faultIntentLate && int(n.Node[len(n.Node)-1])%2 == f.Node%2 { // half of the nodes
			delay = time.Duration(f.DurationMS/4) * time.Millisecond
		}
	}
	return delay, ok
}

// dropsReport reports whether a node's report is lost now.
func (r *scheduledRun) dropsReport(n *simNode) bool {
	return slices.ContainsFunc(r.Faults, func(f Fault) bool {
		return r.active(f) && f.Kind == faultReportsLost && r.world.nodes[f.Node] == n
	})
}

// falsify replays old reports before a node's report v, and falsifies v if the node is one that reports false counts.
func (r *scheduledRun) falsify(n *simNode, v *fleet.NodeView) {
	w := r.world
	for _, f := range r.Faults {
		if r.active(f) && f.Kind == faultReportsReplayed && len(r.reports) > 0 { // late, out of order and repeatedly
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
	lyingNode := w.nodes[r.LyingNode]
	if lyingNode == n || r.LyingZone && lyingNode.Zone == n.Zone {
		falsifyCounts(r.LieKind, v)
	}
}

// apply applies a command once for each active faultCommandsTwice, and returns it to be applied again.
func (r *scheduledRun) apply(c zones.Command) zones.Command {
	w := r.world
	for _, f := range r.Faults {
		if r.active(f) && f.Kind == faultCommandsTwice {
			w.state.Apply(c, func() uint64 { w.revision++; return w.revision })
		}
	}
	return c
}

// applyFaults applies the faults that change nodes, the leader or the list of servers.
func (r *scheduledRun) applyFaults() {
	w := r.world
	for _, f := range r.Faults {
		node := w.nodes[f.Node]
		active := r.active(f)
		switch f.Kind {
		case faultRestart:
			r.restart(node, active)
		case faultNewLeader:
			if active && w.now.Milliseconds()-int64(f.StartMS) < tick.Milliseconds() {
				r.changeLeader(time.Duration(f.DurationMS%7) * time.Second)
			}
		case faultFewerServers:
			w.listed[r.zones[f.Zone]] = serversPerZone
			if active {
				w.listed[r.zones[f.Zone]] = fewerServers
			}
		}
	}
}

// restart takes a node down, or brings it back as a new incarnation.
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

// changeLeader makes another replica the leader, from a snapshot and with a clock that is ahead.
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

// falsifyCounts replaces the counts of a report by false ones.
func falsifyCounts(kind int, v *fleet.NodeView) {
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

// Draw returns the schedule of a seed, with values from the same ranges as the random tests of this package.
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

// Run runs a schedule for 45 s of simulated time. The error names the first rule of Z1 to Z5 that was broken.
func Run(s Schedule) error {
	if broken := runSchedule(s, nil); broken != "" {
		return errors.New(broken)
	}
	return nil
}
