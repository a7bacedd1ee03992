package invariants

import (
	"fmt"
	"time"
)

// Sighting is a change of the state ("alive", "suspect", "dead", "left") that member By assigns to member Of. Both are node numbers.
type Sighting struct {
	By    int
	Of    int
	State string
	At    time.Duration
}

// falseDeaths finds members that were declared dead though no fault affected them or the members that declared it.
func (r Run) falseDeaths() []Breach {
	var out []Breach
	for _, s := range r.Sightings {
		if s.State == "dead" && !r.exempt("", s.Of, s.At, s.At) && !r.exempt("", s.By, s.At, s.At) {
			out = append(out, Breach{"M-dead", "", s.At, fmt.Sprintf("node %d took node %d for dead", s.By, s.Of)})
		}
	}
	return out
}
