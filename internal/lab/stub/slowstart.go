package stub

import (
	"math"
	"time"

	"meadowsill/internal/invariants"
)

// SlowStart is the load limit of a warming app server (the cold rule of the standing test). The server starts with the fraction From
// of its capacity and is warm after For. It goes down if it receives more than N + 3*sqrt(N) + 3 requests of mean work within Span,
// where N is Factor times its current capacity over Span. The zero SlowStart has no limit.
type SlowStart struct {
	From   float64       // fraction of the capacity at the start, above 0
	For    time.Duration // time until the server is warm; the capacity rises linearly
	Factor float64       // tolerated load as a multiple of the current capacity
	Span   time.Duration // length of the window in which requests are counted
	Rate   float64       // capacity when warm, in requests/s of mean work
}

// Share returns the fraction of its capacity that a server has at the given time after its start.
func (s SlowStart) Share(age time.Duration) float64 {
	if age >= s.For || s.For <= 0 || s.From <= 0 {
		return 1
	}
	return s.From + (1-s.From)*float64(max(age, 0))/float64(s.For)
}

// Allowed returns the largest number of requests within Span that a server tolerates at the given time after its start.
func (s SlowStart) Allowed(age time.Duration) float64 {
	n := s.Factor * s.Rate * s.Share(age) * s.Span.Seconds()
	return n + 3*math.Sqrt(n) + 3
}

// slowStartState is the state of one server under its SlowStart rule. Times are relative to the recorder's start.
type slowStartState struct {
	rule      SlowStart
	started   bool // the server was restarted in this run, so that it is or was warming up
	start     time.Duration
	downUntil time.Duration // end of the downtime after an overload; 0 if there was none since the start
	arrivals  []invariants.Part
}

// restart records a start at now, from which the server warms up.
func (s *slowStartState) restart(now time.Duration) {
	s.started = true
	s.start = now
	s.downUntil = 0
	s.arrivals = nil
}

// isDown reports whether the server is down at now because of an overload. After a downtime of For the server warms up again as at a start.
func (s *slowStartState) isDown(now time.Duration) bool {
	if s.downUntil == 0 {
		return false
	}
	if now < s.downUntil {
		return true
	}
	s.restart(s.downUntil)
	return false
}

// arrive counts a request from node, whatever its outcome, and returns the overload if the request exceeds the limit.
func (s *slowStartState) arrive(now time.Duration, node int) (invariants.Fall, bool) {
	if !s.started || s.rule.Span <= 0 || now-s.start >= s.rule.For {
		return invariants.Fall{}, false
	}
	for len(s.arrivals) > 0 && s.arrivals[0].At <= now-s.rule.Span {
		s.arrivals = s.arrivals[1:]
	}
	s.arrivals = append(s.arrivals, invariants.Part{Node: node, At: now})
	allowed := s.rule.Allowed(now - s.start)
	if float64(len(s.arrivals)) <= allowed {
		return invariants.Fall{}, false
	}
	overload := invariants.Fall{Start: s.start, At: now, Allowed: allowed, Got: s.arrivals}
	s.downUntil, s.arrivals = now+s.rule.For, nil
	return overload, true
}
