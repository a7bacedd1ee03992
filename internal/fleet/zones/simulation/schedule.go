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
	// ms
	StartMS    int
	DurationMS int
	Kind       string
	Zone       int
	From       int
	Node       int
	Loss       float64
}

var kinds = []string{"kill", "kill", "gray", "cut", "deaf", "slow", "restart", "new leader", "mute", "replay", "fewer", "twice"}

// violation ends a run that broke a rule.
type violation string

type breaker struct{}

func (breaker) Fatalf(format string, args ...any) { panic(violation(fmt.Sprintf(format, args...))) }

// runSchedule runs a schedule under the rules, with the core as mutate leaves it, and gives the first breach.
func runSchedule(s Schedule, mutate func(*world)) (broken string) {
	defer func() {
		if b, ok := recover().(violation); ok {
			broken = string(b)
		}
	}()
	names := []string{"a", "b", "c", "d"}[:s.Zones]
	w := newWorld(breaker{}, s.Seed, s.PerZone, names...)
	on := func(f Fault) bool {
		at := w.now.Milliseconds()
		return int64(f.StartMS) <= at && at < int64(f.StartMS+f.DurationMS)
	}
	w.lossAt = func(n *simNode, y string) float64 {
		p := s.BaseLoss
		for _, f := range s.Faults {
			if on(f) && names[f.Zone] == y {
				switch {
				case f.Kind == "kill", f.Kind == "cut" && names[f.From] == n.Zone:
					p = 1
				case f.Kind == "gray":
					p = math.Max(p, f.Loss)
				}
			}
		}
		return p
	}
	w.intentDelay = func(n *simNode) (delay fleet.Time, ok bool) {
		ok = true
		for _, f := range s.Faults {
			if on(f) && w.nodes[f.Node] == n && f.Kind == "deaf" {
				ok = false
			}
			if on(f) && f.Kind == "slow" && int(n.Node[len(n.Node)-1])%2 == f.Node%2 { // half of the nodes
				delay = time.Duration(f.DurationMS/4) * time.Millisecond
			}
		}
		return delay, ok
	}
	w.dropsReport = func(n *simNode) bool {
		return slices.ContainsFunc(s.Faults, func(f Fault) bool { return on(f) && f.Kind == "mute" && w.nodes[f.Node] == n })
	}
	var old []fleet.NodeView
	w.falsify = func(n *simNode, v *fleet.NodeView) {
		for _, f := range s.Faults {
			if on(f) && f.Kind == "replay" && len(old) > 0 { // late, out of order, and twice
				w.controller.Observe(w.now, old[w.random.IntN(len(old))])
			}
		}
		if old = append(old, *v); len(old) > 200 {
			old = old[100:]
		}
		if s.LyingNode >= 0 && (w.nodes[s.LyingNode] == n || s.LyingZone && w.nodes[s.LyingNode].Zone == n.Zone) {
			lie(s.LieKind, v)
		}
	}
	w.apply = func(c zones.Command) zones.Command {
		for _, f := range s.Faults {
			if on(f) && f.Kind == "twice" {
				w.state.Apply(c, func() uint64 { w.revision++; return w.revision })
			}
		}
		return c
	}
	r := &rules{world: w, schedule: s, lastLoss: map[string]fleet.Time{}, lostSince: map[string]fleet.Time{}, answers: map[string]map[string]int{}, minStepShare: map[string]float64{}, firstStepRevision: map[string]uint64{}, directiveSince: map[string]fleet.Time{}}
	w.check = func() {
		for _, f := range s.Faults {
			n := w.nodes[f.Node]
			switch {
			case f.Kind == "restart" && on(f) && !n.down:
				n.down = true
			case f.Kind == "restart" && !on(f) && n.down:
				n.down = false
				n.sequence = 0
				n.lastReportAt = w.now
				n.Incarnation++
				n.clear()
			case f.Kind == "new leader" && on(f) && w.now.Milliseconds()-int64(f.StartMS) < int64(tick.Milliseconds()):
				raw, _ := json.Marshal(w.state)
				w.state = zones.State{}
				if err := json.Unmarshal(raw, &w.state); err != nil {
					w.testing.Fatalf("snapshot: %v", err)
				}
				w.now += fleet.Time(f.DurationMS%7) * time.Second // the new leader's clock is its own
				w.controller.Lead(w.now)
			case f.Kind == "fewer":
				w.listed[names[f.Zone]] = serversPerZone
				if on(f) {
					w.listed[names[f.Zone]] = 2
				}
			}
		}
		r.check()
	}
	if mutate != nil {
		mutate(w)
	}
	w.run(45*time.Second, nil)
	return ""
}

func lie(kind int, v *fleet.NodeView) {
	for i := range v.Report.Zones {
		c := &v.Report.Zones[i]
		switch {
		case kind == 0 && i == 0, kind == 1:
			c.Lost = c.Attempts
			c.Answered = 0
			c.LostServers = c.Servers
		case kind == 2 && i == 0:
			*c = fleet.ZoneEvidence{Zone: c.Zone, Attempts: 1e6, Lost: 1e6, Servers: 9, LostServers: 9, Listed: 1}
		case kind == 3:
			*c = fleet.ZoneEvidence{Zone: c.Zone, Attempts: 1e6, Answered: 1e6, Servers: 9, Listed: 9000}
		case kind == 4:
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
		s.Faults = append(s.Faults, Fault{StartMS: 3000 + rng.IntN(27001), DurationMS: 100 + rng.IntN(19901), Kind: kinds[rng.IntN(len(kinds))],
			Zone: rng.IntN(s.Zones), From: rng.IntN(s.Zones), Node: rng.IntN(s.Zones * s.PerZone), Loss: 0.1 + 0.8*rng.Float64()})
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
