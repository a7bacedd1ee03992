package policy

import "math"

const (
	// Requests/s of all nodes to a server that warms up, where none has to compare with.
	minSlowStartRate   = 4.0
	maxSlowStartTokens = 2.0  // attempts that the budget saves up
	minSlowStartWindow = 1e-9 // s, where it divides
)

// slowStartState is a server's budget of attempts while it warms up.
type slowStartState struct {
	active   bool
	since    Time
	tokens   float64
	tokensAt Time
}

// beginSlowStart gives a server that warms up since a time a budget with a random beginning: a first request
// from every node at once would be a burst that none of them sees. What an older process answered says
// nothing of this one. A budget that was spent stays so where the server warms up already: notice of one
// start may come twice, and a trial is a guess.
func (m *Module) beginSlowStart(s *server, since Time) {
	tokens := m.random.float64()
	if s.slowStart.active {
		tokens = math.Min(tokens, s.slowStart.tokens)
	}
	s.slowStart = slowStartState{active: true, since: since, tokens: tokens, tokensAt: m.now}
	s.answers.perSecond = 0
}

// slowStartSpent reports whether a server warms up and its budget is spent. The budget is refilled with the
// part that the server can do by now of what one that has warmed up gives this node: the budgets of all nodes
// then sum up to a part of one server's capacity, however many servers warm up. Nodes that do not have it in
// their subsets send nothing.
func (m *Module) slowStartSpent(s *server) bool {
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
