// Package membership tells a node who else is present: gossip by hashicorp/memberlist (SWIM with Lifeguard's
// suspicion and refutation), a view of members with their states, and the fleet size to divide by that is safe
// on both sides of a split (docs/membership.md). view.go is the pure part: no I/O, time given as input.
package membership

import (
	"sort"
	"time"
)

// State is a member's state in a view.
type State string

const (
	Alive   State = "alive"
	Suspect State = "suspect" // missed probes; it may refute
	Dead    State = "dead"    // suspected past the suspicion timeout, not refuted
	Left    State = "left"    // said goodbye, as at a drain
)

// Member is one process of the fleet as a view holds it.
type Member struct {
	Name        string `json:"name"`
	Addr        string `json:"addr"`
	Zone        string `json:"zone"`
	State       State  `json:"state"`
	Incarnation int64  `json:"incarnation"` // the member's start, Unix ms: a restart is a new incarnation
}

// View is what one member believes, at one epoch: it goes up by one at each change.
type View struct {
	Epoch   uint64   `json:"epoch"`
	Members []Member `json:"members"`
	// Size is what shares of the fleet are divided by, per the rule of Sizer; Agreed the last size held
	// steady; Sure that the view holds Agreed alive members now.
	Size        int
	Alive       int
	Agreed      int
	Sure        bool
	AgreedAgeMS int64 `json:"agreed_age_ms"`
}

// Count gives the members in a state.
func (v View) Count(s State) int {
	n := 0
	for _, m := range v.Members {
		if m.State == s {
			n++
		}
	}
	return n
}

// Sizer keeps the fleet size that is safe to divide a fleet-wide quantity by (the pace of a server that warms up, a share of a
// global limit) while views disagree.
//
// The rule: a size that has held for Stable is agreed. While fewer are alive than agreed, a member divides by
// the agreed size, for Hold after the fall; then the smaller size is agreed. More alive than agreed counts at
// once. So the two sides of a split each divide by the whole for Hold and together never take more than the
// whole; a fleet that truly lost members takes up their share after Hold.
type Sizer struct {
	Stable    time.Duration
	Hold      time.Duration
	agreed    int
	seen      int   // the alive count last observed
	seenSince int64 // ns, when it became that
}

// Observe takes the alive count at now (ns) and gives the size to divide by, the agreed size and whether the
// view is sure (alive equals agreed).
func (s *Sizer) Observe(alive int, now int64) (size, agreed int, sure bool) {
	if alive != s.seen {
		s.seen, s.seenSince = alive, now
	}
	steady := time.Duration(now - s.seenSince)
	switch {
	case alive >= s.agreed && (steady >= s.Stable || s.agreed == 0):
		s.agreed = alive
	case alive > s.agreed:
	case alive < s.agreed && steady >= s.Hold:
		s.agreed = alive
	}
	return max(alive, s.agreed), s.agreed, alive == s.agreed
}

// AgreedAge is how long the present alive count has held, at now (ns).
func (s *Sizer) AgreedAge(now int64) time.Duration { return time.Duration(now - s.seenSince) }

func sortMembers(ms []Member) {
	sort.Slice(ms, func(i, j int) bool { return ms[i].Name < ms[j].Name })
}
