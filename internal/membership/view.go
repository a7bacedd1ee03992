// Package membership tells a node which other members of the fleet are present. It gossips by hashicorp/memberlist (SWIM with
// Lifeguard's suspicion and refutation), keeps a view of the members with their states, and computes a fleet size that is safe
// to divide by on both sides of a network split (docs/membership.md). view.go is the pure part: it does no I/O and takes the
// time as an argument.
package membership

import (
	"sort"
	"time"
)

// State is a member's state in a view.
type State string

const (
	Alive   State = "alive"
	Suspect State = "suspect" // has missed probes, and may still refute the suspicion
	Dead    State = "dead"    // has not refuted the suspicion within the suspicion timeout
	Left    State = "left"    // has announced its departure, as for a drain
)

// Member is one process of the fleet, as a view records it.
type Member struct {
	Name        string `json:"name"`
	Addr        string `json:"addr"`
	Zone        string `json:"zone"`
	State       State  `json:"state"`
	Incarnation int64  `json:"incarnation"` // Unix time in ms at which the member started; a restart makes a new incarnation
}

// View is one member's knowledge of the fleet. Epoch goes up by one with each change of the members or their states.
type View struct {
	Epoch   uint64   `json:"epoch"`
	Members []Member `json:"members"`
	// Size is the number to divide fleet-wide quantities by, according to the rule of Sizer. Agreed is the last agreed
	// size. Sure reports whether exactly Agreed members are alive now.
	Size        int
	Alive       int
	Agreed      int
	Sure        bool
	AgreedAgeMS int64 `json:"agreed_age_ms"`
}

// Count returns the number of members in a state.
func (v View) Count(s State) int {
	n := 0
	for _, m := range v.Members {
		if m.State == s {
			n++
		}
	}
	return n
}

// Sizer computes a fleet size that is safe to divide a fleet-wide quantity by while views disagree. Examples are the rate of
// a server that is warming up, and a global limit that the nodes share.
//
// A number of alive members that has not changed for Stable becomes the agreed size. While fewer members are alive than agreed, the
// size is the agreed one until the smaller number has not changed for Hold; then the smaller number is agreed. More alive members
// than agreed count at once. So both sides of a split divide by the size of the whole fleet for Hold, and together never take more
// than the whole. A fleet that really lost members takes over their share after Hold.
type Sizer struct {
	Stable        time.Duration
	Hold          time.Duration
	agreed        int
	observed      int   // the number of alive members at the last call of Observe
	observedSince int64 // ns, when observed took its present value
}

// Observe records the number of alive members at the time now (ns). It returns the size to divide by, the agreed size, and
// whether exactly the agreed number is alive.
func (s *Sizer) Observe(alive int, now int64) (size, agreed int, sure bool) {
	if alive != s.observed {
		s.observed, s.observedSince = alive, now
	}
	steady := time.Duration(now - s.observedSince)
	switch {
	case alive >= s.agreed && (steady >= s.Stable || s.agreed == 0):
		s.agreed = alive
	case alive > s.agreed:
	case alive < s.agreed && steady >= s.Hold:
		s.agreed = alive
	}
	return max(alive, s.agreed), s.agreed, alive == s.agreed
}

// AgreedAge returns for how long the number of alive members has not changed, at the time now (ns).
func (s *Sizer) AgreedAge(now int64) time.Duration { return time.Duration(now - s.observedSince) }

func sortMembers(ms []Member) {
	sort.Slice(ms, func(i, j int) bool { return ms[i].Name < ms[j].Name })
}
