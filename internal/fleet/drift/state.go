package drift

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"meadowsill/internal/fleet"
)

// States of a verdict (docs/drift.md, "Verdicts").
const (
	InStep     = "in-step"
	CatchingUp = "catching-up"
	Stuck      = "stuck"
	Diverged   = "diverged"
	Ahead      = "ahead"
	Overridden = "overridden"
	Silent     = "silent"
)

// Drifts reports whether a node in this state has applied something other than the intent. The detector repairs such
// states.
func Drifts(state string) bool { return state == Stuck || state == Diverged || state == Ahead }

// Steps of a node's repair.
const (
	Idle       = "" // "idle" in docs/drift.md
	Resending  = "resending"
	Restarting = "restarting"
	TakenOut   = "out"
)

// Difference is one field of an item that differs from the intent, with both values in JSON. An empty Field stands for
// the whole item; "null" then means that the item is not applied, or not intended. The key "*" stands for content that
// the node has not identified.
type Difference struct {
	Key      string `json:"key"`
	Field    string `json:"field,omitempty"`
	Intended string `json:"intended"`
	Applied  string `json:"applied"`
}

// Override is a local item that differs from the rest of the fleet. It is legitimate and never repaired.
type Override struct {
	Key       string       `json:"key"`
	ChangedBy string       `json:"by,omitempty"`
	SinceMS   int64        `json:"since_ms,omitempty"` // Unix ms by the clock of the node's machine
	Fields    []Difference `json:"fields,omitempty"`   // for settings: the differences from the fleet's settings
}

// Repair is the replicated state of a node's repair.
type Repair struct {
	Step     string `json:"step,omitempty"`
	Resends  int    `json:"tries,omitempty"`   // number of re-sends
	Relapses int    `json:"relapse,omitempty"` // how often the first wait is doubled
}

// Verdict is the detector's finding on one node. Times are Unix ms by the leader's clock, for operators; no decision
// uses them. FirstRevision and FirstSeenMS stay as long as the state does, across failovers and restarts of the node.
type Verdict struct {
	fleet.Member
	State         string       `json:"state"`
	FirstRevision uint64       `json:"first_rev"` // revision of the intent that the state was first evaluated against
	FirstSeenMS   int64        `json:"first_seen_ms"`
	LastRevision  uint64       `json:"last_rev"`
	LastSeenMS    int64        `json:"last_seen_ms"`
	Count         uint64       `json:"count"` // reports, or evaluations without a report, that gave this state
	Differences   []Difference `json:"items,omitempty"`
	Omitted       int          `json:"more,omitempty"` // number of differences that are not listed
	Overrides     []Override   `json:"overrides,omitempty"`
	Evidence      string       `json:"evidence,omitempty"`
	Repair        Repair       `json:"repair,omitzero"`
	Revision      uint64       `json:"rev"` // revision of the verdict's last change
}

// Baseline is the fleet's settings: those that most nodes have.
type Baseline struct {
	Digest string          `json:"digest"`
	Body   json.RawMessage `json:"body,omitempty"`
}

// Change sets a verdict. State fills in the verdict's FirstRevision, FirstSeenMS and Revision. State rejects the change
// if the node's verdict is no longer at IfRevision (0: there is none) or belongs to a newer incarnation.
type Change struct {
	Verdict    Verdict `json:"verdict"`
	IfRevision uint64  `json:"if_rev"`
}

// Command is one entry of the replicated log with all changes of one step. AtMS is the leader's wall clock in Unix ms,
// set by the caller that proposes the command.
type Command struct {
	AtMS     int64             `json:"at_ms"`
	Set      []Change          `json:"set,omitempty"`
	Forget   map[string]uint64 `json:"forget,omitempty"` // nodes whose verdicts are removed, with the revisions of these verdicts
	Baseline *Baseline         `json:"baseline,omitempty"`
}

// State is the replicated state, which survives a failover. It marshals completely to JSON for snapshots; the zero State
// is empty and ready to use. It is not safe for concurrent use.
type State struct {
	Verdicts map[string]*Verdict `json:"verdicts,omitempty"`
	Baseline Baseline            `json:"fleet,omitzero"`
	Revision uint64              `json:"rev"` // revision of the last change
	// Incarnations contains the lowest accepted incarnation of every node that has or had a verdict, so that reports of
	// an earlier or ended run stay rejected. Beyond maxIncarnations entries the oldest are removed.
	Incarnations map[string]uint64 `json:"incarnations,omitempty"`
}

const maxIncarnations = 8192

// Apply executes a command. rev returns the revision of the change; it is called at most once, and only if something
// changes. The revision may have its own counter or be the control plane's, because no item of intent changes with it.
// Parts of the command that are outdated change nothing and give an error that wraps fleet.ErrConflict or
// fleet.ErrFenced.
func (s *State) Apply(c Command, rev func() uint64) error {
	if s.Verdicts == nil {
		s.Verdicts, s.Incarnations = map[string]*Verdict{}, map[string]uint64{}
	}
	var at uint64
	change := func() uint64 {
		if at == 0 {
			at = rev()
			s.Revision = at
		}
		return at
	}
	var rejected error
	for _, ch := range c.Set {
		v := ch.Verdict
		old := s.Verdicts[v.Node]
		if known := s.Incarnations[v.Node]; v.Incarnation < known {
			rejected = fmt.Errorf("%w: %s: %d, known %d", fleet.ErrFenced, v.Node, v.Incarnation, known)
			continue
		}
		if now := revisionOf(old); now != ch.IfRevision {
			rejected = fmt.Errorf("%w: %s: now at %d", fleet.ErrConflict, v.Node, now)
			continue
		}
		v.FirstRevision = v.LastRevision
		v.FirstSeenMS = c.AtMS
		v.LastSeenMS = c.AtMS
		if old != nil && old.State == v.State {
			v.FirstRevision = old.FirstRevision
			v.FirstSeenMS = old.FirstSeenMS
			v.Count = old.Count + v.Count
		}
		v.Revision = change()
		s.Verdicts[v.Node], s.Incarnations[v.Node] = &v, v.Incarnation
	}
	for node, at := range c.Forget {
		switch v := s.Verdicts[node]; {
		case v == nil:
		case v.Revision != at:
			rejected = fmt.Errorf("%w: %s: now at %d", fleet.ErrConflict, node, v.Revision)
		default:
			delete(s.Verdicts, node)
			s.Incarnations[node] = v.Incarnation + 1 // this run has ended, and the node's next run has a larger incarnation
			change()
		}
	}
	s.trimIncarnations()
	if c.Baseline != nil && (c.Baseline.Digest != s.Baseline.Digest || s.Baseline.Body == nil) {
		s.Baseline = *c.Baseline
		change()
	}
	return rejected
}

// trimIncarnations limits the number of incarnations. It removes only those of nodes without a verdict, the oldest
// first.
func (s *State) trimIncarnations() {
	if len(s.Incarnations) <= maxIncarnations {
		return
	}
	names := slices.SortedFunc(maps.Keys(s.Incarnations), func(a, b string) int {
		if x, y := s.Verdicts[a] != nil, s.Verdicts[b] != nil; x != y {
			if y {
				return -1
			}
			return 1
		}
		if x, y := s.Incarnations[a], s.Incarnations[b]; x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return 0
	})
	for _, n := range names[:len(names)-maxIncarnations] {
		if s.Verdicts[n] == nil {
			delete(s.Incarnations, n)
		}
	}
}

func revisionOf(v *Verdict) uint64 {
	if v == nil {
		return 0
	}
	return v.Revision
}
