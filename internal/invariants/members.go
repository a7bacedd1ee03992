package invariants

import (
	"fmt"
	"time"
)

// Sighting is a change of what one member thinks of another ("alive", "suspect", "dead", "left"), by node.
type Sighting struct {
	By    int
	Of    int
	State string
	At    time.Duration
}

// falseDeaths finds members taken for dead that no fault kept from speaking, by members that none kept from hearing.
func (r Run) falseDeaths() []Breach {
	var out []Breach
	for _, s := range r.Sightings {
		if s.State == "dead" && !r.excused("", s.Of, s.At, s.At) && !r.excused("", s.By, s.At, s.At) {
			out = append(out, Breach{"M-dead", "", s.At, fmt.Sprintf("node %d took node %d for dead", s.By, s.Of)})
		}
	}
	return out
}
