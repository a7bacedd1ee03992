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
	Seed           uint64
	Zones, PerZone int
	Base           float64 // loss everywhere
	Liar           int     // a node that lies; -1: none
	LiarZone       bool    // all of its zone do
	Lie            int
	Faults         []Fault
}

// Fault is one thing that happens.
type Fault struct {
	At, For    int // ms
	Kind       string
	Zone, From int
	Node       int
	P          float64
}

var kinds = []string{"kill", "kill", "gray", "cut", "deaf", "slow", "restart", "new leader", "mute", "replay", "fewer", "twice"}

// breach ends a run that broke a rule.
type breach string

type breaker struct{}

func (breaker) Fatalf(format string, args ...any) { panic(breach(fmt.Sprintf(format, args...))) }

// play runs a schedule under the rules, with the core as mutate leaves it, and gives the first breach.
func play(s Schedule, mutate func(*world)) (broken string) {
	defer func() {
		if b, ok := recover().(breach); ok {
			broken = string(b)
		}
	}()
	names := []string{"a", "b", "c", "d"}[:s.Zones]
	w := newWorld(breaker{}, s.Seed, s.PerZone, names...)
	on := func(f Fault) bool {
		at := w.now.Milliseconds()
		return int64(f.At) <= at && at < int64(f.At+f.For)
	}
	w.lose = func(n *wnode, y string) float64 {
		p := s.Base
		for _, f := range s.Faults {
			if on(f) && names[f.Zone] == y {
				switch {
				case f.Kind == "kill", f.Kind == "cut" && names[f.From] == n.Zone:
					p = 1
				case f.Kind == "gray":
					p = math.Max(p, f.P)
				}
			}
		}
		return p
	}
	w.hears = func(n *wnode) (delay fleet.Time, ok bool) {
		ok = true
		for _, f := range s.Faults {
			if on(f) && w.nodes[f.Node] == n && f.Kind == "deaf" {
				ok = false
			}
			if on(f) && f.Kind == "slow" && int(n.Node[len(n.Node)-1])%2 == f.Node%2 { // half of the nodes
				delay = time.Duration(f.For/4) * time.Millisecond
			}
		}
		return delay, ok
	}
	w.drop = func(n *wnode) bool {
		return slices.ContainsFunc(s.Faults, func(f Fault) bool { return on(f) && f.Kind == "mute" && w.nodes[f.Node] == n })
	}
	var old []fleet.NodeView
	w.twist = func(n *wnode, v *fleet.NodeView) {
		for _, f := range s.Faults {
			if on(f) && f.Kind == "replay" && len(old) > 0 { // late, out of order, and twice
				w.j.Observe(w.now, old[w.rng.IntN(len(old))])
			}
		}
		if old = append(old, *v); len(old) > 200 {
			old = old[100:]
		}
		if s.Liar >= 0 && (w.nodes[s.Liar] == n || s.LiarZone && w.nodes[s.Liar].Zone == n.Zone) {
			lie(s.Lie, v)
		}
	}
	w.apply = func(c zones.Command) zones.Command {
		for _, f := range s.Faults {
			if on(f) && f.Kind == "twice" {
				w.s.Apply(c, func() uint64 { w.rev++; return w.rev })
			}
		}
		return c
	}
	r := &rules{w: w, s: s, truth: map[string]fleet.Time{}, dead: map[string]fleet.Time{}, answers: map[string]map[string]int{}, min: map[string]float64{}, first: map[string]uint64{}, up: map[string]fleet.Time{}}
	w.check = func() {
		for _, f := range s.Faults {
			n := w.nodes[f.Node]
			switch {
			case f.Kind == "restart" && on(f) && !n.down:
				n.down = true
			case f.Kind == "restart" && !on(f) && n.down:
				n.down, n.seq, n.last = false, 0, w.now
				n.Incarnation++
				n.clear()
			case f.Kind == "new leader" && on(f) && w.now.Milliseconds()-int64(f.At) < int64(tick.Milliseconds()):
				raw, _ := json.Marshal(w.s)
				w.s = zones.State{}
				if err := json.Unmarshal(raw, &w.s); err != nil {
					w.t.Fatalf("snapshot: %v", err)
				}
				w.now += fleet.Time(f.For%7) * time.Second // the new leader's clock is its own
				w.j.Lead(w.now)
			case f.Kind == "fewer":
				w.listed[names[f.Zone]] = perWS
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
			c.Lost, c.Answered, c.LostServers = c.Attempts, 0, c.Servers
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
	s := Schedule{Seed: rng.Uint64(), Zones: 2 + rng.IntN(3), PerZone: 2 + rng.IntN(4), Base: 0.05 * rng.Float64(), Liar: -1}
	if rng.IntN(2) == 0 {
		s.Liar, s.Lie = rng.IntN(s.Zones*s.PerZone), rng.IntN(5)
		s.LiarZone = s.Zones > 2 && rng.IntN(2) == 0
	}
	for range rng.IntN(9) {
		s.Faults = append(s.Faults, Fault{At: 3000 + rng.IntN(27001), For: 100 + rng.IntN(19901), Kind: kinds[rng.IntN(len(kinds))],
			Zone: rng.IntN(s.Zones), From: rng.IntN(s.Zones), Node: rng.IntN(s.Zones * s.PerZone), P: 0.1 + 0.8*rng.Float64()})
	}
	return s
}

// Play runs a schedule for 45 s of the fleet's time; the error names the first rule of Z1 to Z5 that was broken.
func Play(s Schedule) error {
	if broken := play(s, nil); broken != "" {
		return errors.New(broken)
	}
	return nil
}
