package policy

import (
	"math"
	"time"
)

const (
	sheddingInterval = 500 * time.Millisecond // long enough for many arrivals, yet far shorter than a fault
	// sheddingDecay is the fraction of the arrival counts that carries over into the next period, as a period
	// may see no arrival.
	sheddingDecay = 0.9
)

// sheddingState holds the counts of the current shedding period and the drop probabilities computed at the
// end of the last one.
type sheddingState struct {
	periodStart      Time
	priorityArrivals float64 // arrivals in this period and, decayed, in earlier ones
	otherArrivals    float64
	excess           float64 // sum of the mean excess load over H, one term for each round of checks
	rounds           float64
	dropPriority     float64 // drop probability of priority requests, q1 of the paper
	dropOther        float64 // drop probability of other requests, q2 of the paper
}

// countArrival counts a request. Adding 1 to a decayed count is not exact in floating point, so the order of
// the operations matters for reproducible results.
func (s *sheddingState) countArrival(priority bool) {
	s.otherArrivals++
	if priority {
		s.priorityArrivals++
		s.otherArrivals--
	}
}

// ShedSplit splits an overall drop probability q into the drop probabilities of priority (q1) and other (q2)
// requests, given the arrivals of both. Other requests are dropped first.
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

// shouldShed decides at random whether to shed a request that arrives while no server is Normal.
func (m *Module) shouldShed(r *request) bool {
	if r.priority {
		return m.random.float64() < m.shedding.dropPriority
	}
	return m.random.float64() < m.shedding.dropOther
}

// beginSheddingPeriod computes the drop probabilities from the period that ends, and starts the next one.
// Requests are shed only while no server is Normal: all requests without priority are shed first, and the
// fraction of priority requests that is shed grows as the fleet's load approaches R. The subset and each
// server's rounding of H are chosen anew.
func (m *Module) beginSheddingPeriod() {
	s := &m.shedding
	q := 0.0
	if arrivals := s.priorityArrivals + s.otherArrivals; arrivals > 0 {
		q = (s.otherArrivals + s.priorityArrivals*s.excess/s.rounds) / arrivals
	}
	s.dropPriority, s.dropOther = ShedSplit(q, s.priorityArrivals, s.otherArrivals)
	s.priorityArrivals *= sheddingDecay
	s.otherArrivals *= sheddingDecay
	s.excess = 0
	s.rounds = 0
	s.periodStart = m.now
	m.chooseSubset()
	for _, server := range m.subset.servers {
		server.overload.rounding = m.random.float64()
	}
}
