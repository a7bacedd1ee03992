package sim

import (
	"math"
	"time"
)

// server is an app server that falls when it gets more than the warming up rule allows.
type server struct {
	running bool
	started time.Duration // warming up from then on; negative: warm ever since
	fallen  time.Duration // down until then
	arrived []time.Duration
}

const warmingInterval = time.Second // in which a warming server bears what it can

// allowed is what a server of a rate bears in warmingInterval, so long after its start.
func (s *Sim) allowed(age time.Duration) float64 {
	part := math.Min(1, s.settings.SlowStartMinCapacity+(1-s.settings.SlowStartMinCapacity)*age.Seconds()/s.settings.SlowStartWindow.Seconds())
	n := part * s.capacity * warmingInterval.Seconds()
	return n + 3*math.Sqrt(n) + 3
}

// request sends one attempt of node n to a server and reports whether it is answered.
func (s *Sim) request(n *node, zone, id int) bool {
	sv := s.servers[zone][id]
	p := s.plan.Loss
	for _, f := range s.plan.Faults {
		switch {
		case !f.isActive(s.now) || f.Zone != zone:
		case f.Kind == ZoneLost, f.Kind == ZoneCut && f.From == n.zone && f.From != zone:
			p = 1
		case f.Kind == ZoneGray:
			p = math.Max(p, f.Probability)
		}
	}
	if p == 1 || s.random.Float64() < p || s.now < sv.fallen {
		return false
	}
	if age := s.now - sv.started; sv.started >= 0 && age < s.settings.SlowStartWindow {
		for len(sv.arrived) > 0 && sv.arrived[0] <= s.now-warmingInterval {
			sv.arrived = sv.arrived[1:]
		}
		sv.arrived = append(sv.arrived, s.now)
		if float64(len(sv.arrived)) > s.allowed(age) {
			s.result.WarmingOverloads++
			if !s.alone(zone) {
				s.recordBreach("cold", "server %d of zone %s got %d in a second, %v after its start", id, s.zones[zone], len(sv.arrived), age)
			}
			sv.fallen, sv.arrived = s.now+s.settings.SlowStartWindow, nil
			s.lastFault[zone] = sv.fallen
			return false
		}
	}
	return true
}

// alone reports whether some nodes may have been judging for themselves when a zone returned: then a warming up fall is no
// breach of the directives.
func (s *Sim) alone(zone int) bool {
	if s.plan.Alone || !s.directed[s.zones[zone]] {
		return true
	}
	for _, f := range s.plan.Faults {
		if f.Start < s.now && f.Kind != ZoneLost && f.Kind != Liar {
			return true
		}
	}
	return len(s.plan.Faults) > 1
}

// restart makes a zone's servers warming up.
func (s *Sim) restart(zone int) {
	for _, sv := range s.servers[zone] {
		sv.started = s.now
		sv.fallen = 0
		sv.arrived = nil
	}
}
