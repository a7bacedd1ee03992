package stub

import (
	"math"
	"time"

	"meadowsill/internal/invariants"
)

// SlowStart is what a warming app server bears (the standing test's cold rule): it comes up at From of its capacity
// and is warm after For; it falls when it gets more than N + 3*sqrt(N) + 3 requests of mean work within Span, N
// being Factor times its present capacity over Span. The zero rule never fells.
type SlowStart struct {
	From   float64       // share of its capacity at the start, above 0
	For    time.Duration // until it is warm, in an even rise
	Factor float64       // overload that it bears
	Span   time.Duration // for so long
	Rate   float64       // requests/s of mean work that it can do when warm
}

// Share is the present part of its capacity, age after its start.
func (c SlowStart) Share(age time.Duration) float64 {
	if age >= c.For || c.For <= 0 || c.From <= 0 {
		return 1
	}
	return c.From + (1-c.From)*float64(max(age, 0))/float64(c.For)
}

// Allowed is how many requests it bears within Span, age after its start.
func (c SlowStart) Allowed(age time.Duration) float64 {
	n := c.Factor * c.Rate * c.Share(age) * c.Span.Seconds()
	return n + 3*math.Sqrt(n) + 3
}

// slowStartState is one server's present life by the rule. Times are the recorder's.
type slowStartState struct {
	rule    SlowStart
	on      bool // it started in this run, so that it is or was cold
	start   time.Duration
	fallen  time.Duration // until when it is down; 0 if it never fell
	arrived []invariants.Part
}

// restart begins a cold life at now.
func (c *slowStartState) restart(now time.Duration) {
	c.on = true
	c.start = now
	c.fallen = 0
	c.arrived = nil
}

// down says whether it lies fallen at now. Once its cold time is over it is up again, cold as at a start.
func (c *slowStartState) down(now time.Duration) bool {
	if c.fallen == 0 {
		return false
	}
	if now < c.fallen {
		return true
	}
	c.restart(c.fallen)
	return false
}

// arrive counts a request from node, whatever becomes of it, and gives the fall where it was one too many.
func (c *slowStartState) arrive(now time.Duration, node int) (invariants.Fall, bool) {
	if !c.on || c.rule.Span <= 0 || now-c.start >= c.rule.For {
		return invariants.Fall{}, false
	}
	for len(c.arrived) > 0 && c.arrived[0].At <= now-c.rule.Span {
		c.arrived = c.arrived[1:]
	}
	c.arrived = append(c.arrived, invariants.Part{Node: node, At: now})
	allowed := c.rule.Allowed(now - c.start)
	if float64(len(c.arrived)) <= allowed {
		return invariants.Fall{}, false
	}
	fall := invariants.Fall{Start: c.start, At: now, Allowed: allowed, Got: c.arrived}
	c.fallen, c.arrived = now+c.rule.For, nil
	return fall, true
}
