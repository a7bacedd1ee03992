package policy

import "math"

const (
	// minSlowStartRate is the minimum rate, in requests/s from all nodes, to a fully warmed-up server that slow
	// start assumes. It matters while no server has warmed up to compare with.
	minSlowStartRate   = 4.0
	maxSlowStartTokens = 2.0  // maximum number of attempts that the budget accumulates
	minSlowStartWindow = 1e-9 // s, lower bound of the slow-start window as a divisor
)

// slowStartState is a server's budget of attempts while it is warming up, as a token bucket. The server
// started at since, and tokensAt is when tokens was last updated.
type slowStartState struct {
	active   bool
	since    Time
	tokens   float64
	tokensAt Time
}

// beginSlowStart gives a server that has been warming up since a time a budget that starts with a random part
// of one attempt: a first request from every node at once would be a burst that no node can see. The answer
// rate of the server's earlier process is forgotten. If the server is already in slow start, its budget never
// grows: the same start may be notified twice, and a restart that a trial suggests is a guess.
func (m *Module) beginSlowStart(s *server, since Time) {
	tokens := m.random.float64()
	if s.slowStart.active {
		tokens = math.Min(tokens, s.slowStart.tokens)
	}
	s.slowStart = slowStartState{active: true, since: since, tokens: tokens, tokensAt: m.now}
	s.answers.perSecond = 0
}

// slowStartForbids reports whether a server is warming up and its budget is spent. The budget is refilled
// at the rate of answers that this node gets from a warm server, scaled by the fraction of its capacity that
// the server has reached. So the budgets of all nodes add up to that fraction of one server's capacity,
// however many servers are warming up. Nodes that do not have the server in their subsets send it no
// requests.
func (m *Module) slowStartForbids(s *server) bool {
	b := &s.slowStart
	progress := (m.now - b.since).Seconds() / math.Max(m.settings.SlowStartWindow.Seconds(), minSlowStartWindow)
	b.active = b.active && progress < 1
	if !b.active {
		return false
	}
	minCapacity := m.settings.SlowStartMinCapacity
	capacity := minCapacity + (1-minCapacity)*math.Max(0, progress)
	rate := capacity * math.Max(m.warmServerRate(s), minSlowStartRate/m.nodesPerServer())
	b.tokens = math.Min(maxSlowStartTokens, b.tokens+rate*(m.now-b.tokensAt).Seconds())
	b.tokensAt = m.now
	return b.tokens < 1 || !m.inSubset(s)
}
