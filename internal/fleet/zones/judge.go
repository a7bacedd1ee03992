package zones

import "starlingvalve/internal/fleet"

// Judge is the leader's soft knowledge: what nodes reported of late, findings that must hold, hold-offs that run. It is
// not safe for concurrent use. Times are the leader's monotonic clock.
type Judge struct {
	set Settings
}

// Finding is what a zone is judged by now, for operators.
type Finding struct {
	Key   string     `json:"key"`
	Event string     `json:"event"`
	Since fleet.Time `json:"since"`          // by the leader's clock
	Held  string     `json:"held,omitempty"` // why nothing is done about it: "panic", "room", "hold"
	Nodes int        `json:"nodes"`          // that see it so
	Words int        `json:"words"`          // nodes that have a word on the zone
	Lost  float64    `json:"lost"`           // share of the fleet's attempts lost
}

// NewJudge makes a judge that has taken office at 0 and has seen nothing.
func NewJudge(set Settings) *Judge { return &Judge{set: set} }

// Office forgets all: this process leads from now on, by evidence that comes from now on.
func (j *Judge) Office(now fleet.Time) {}

// Observe takes a present node's newest report. One that is not newer than the last of its incarnation, or of an older
// incarnation, changes nothing; a count that no honest node can have is dropped.
func (j *Judge) Observe(now fleet.Time, v fleet.NodeView) {}

// Step judges, and gives the commands to apply in their order; call it each 100 ms. It changes nothing of s. A command
// that was not applied is given again.
func (j *Judge) Step(now fleet.Time, s *State, present []fleet.Member) []Command { return nil }

// Findings gives what the last Step found, by key.
func (j *Judge) Findings() []Finding { return nil }
