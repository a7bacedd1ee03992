package sim

import (
	"math"
	"time"
)

// server is an app server that goes down when, while warming up, it gets more requests than allowed permits.
type server struct {
	running   bool
	started   time.Duration // when warming up began; negative: warm from the beginning
	downUntil time.Duration // until when the server is down after an overload
	arrived   []time.Duration
}

const warmingInterval = time.Second // over which the arrivals at a server that is warming up are counted

// allowed returns the number of requests that a server can handle in warmingInterval at the given time after its start:
// the expected number plus three standard deviations of a Poisson process and three more requests.
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
	if p == 1 || s.random.Float64() < p || s.now < sv.downUntil {
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
			sv.downUntil, sv.arrived = s.now+s.settings.SlowStartWindow, nil
			s.lastFault[zone] = sv.downUntil
			return false
		}
	}
	return true
}

// alone reports whether some nodes may have evaluated the zone by themselves when it returned. An overload of a server
// that is warming up is then no breach of the directives.
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

// restart restarts a zone's servers, which are warming up from now on.
func (s *Sim) restart(zone int) {
	for _, sv := range s.servers[zone] {
		sv.started = s.now
		sv.downUntil = 0
		sv.arrived = nil
	}
}
