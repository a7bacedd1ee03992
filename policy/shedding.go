package policy

import (
	"math"
	"time"
)

const (
	sheddingInterval = 500 * time.Millisecond // many arrivals, yet far shorter than a fault
	// Part of the counts that a period hands on: one may see no arrival.
	sheddingMemory = 0.9
)

// sheddingState is what is counted over a shedding period, and the drop probabilities that follow from the
// last one.
type sheddingState struct {
	periodStart      Time
	priorityArrivals float64 // of this period and, fading, those before it
	otherArrivals    float64
	excess           float64 // sum of how far the fleet was above H, over the period's rounds of checks
	rounds           float64
	dropPriority     float64 // q1 of the paper
	dropOther        float64 // q2 of the paper
}

// countArrival counts a request. The sum of a decayed count and 1 is not exact, so the order of operations is
// kept.
func (s *sheddingState) countArrival(priority bool) {
	s.otherArrivals++
	if priority {
		s.priorityArrivals++
		s.otherArrivals--
	}
}

// ShedSplit returns the drop probabilities of priority (q1) and other requests (q2) for an overall drop
// probability q, by the arrivals of both.
func ShedSplit(q, priorityArrivals, otherArrivals float64) (q1, q2 float64) {
	arrivals := priorityArrivals + otherArrivals
	if otherArrivals == 0 {
		return q, 0
	}
	q2 = math.Min(1, q*arrivals/otherArrivals)
	if priorityArrivals > 0 {
		q1 = math.Max(0, (q*arrivals-q2*otherArrivals)/priorityArrivals)
	}
	return q1, q2
}

// drop draws whether a request is shed while no server is Normal.
func (m *Module) drop(r *request) bool {
	if r.priority {
		return m.random.float64() < m.shedding.dropPriority
	}
	return m.random.float64() < m.shedding.dropOther
}

// beginSheddingPeriod sets the drop probabilities by the period that ends. Shedding acts only with no server
// Normal: then all other requests go first, and priority ones the more, the nearer the fleet is to R. The
// subset is chosen anew with it.
func (m *Module) beginSheddingPeriod() {
	s := &m.shedding
	q := 0.0
	if arrivals := s.priorityArrivals + s.otherArrivals; arrivals > 0 {
		q = (s.otherArrivals + s.priorityArrivals*s.excess/s.rounds) / arrivals
	}
	s.dropPriority, s.dropOther = ShedSplit(q, s.priorityArrivals, s.otherArrivals)
	s.priorityArrivals *= sheddingMemory
	s.otherArrivals *= sheddingMemory
	s.excess = 0
	s.rounds = 0
	s.periodStart = m.now
	m.chooseSubset()
	for _, server := range m.subset.servers {
		server.overload.rounding = m.random.float64()
	}
}
