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

// Drifts reports whether a node of that state holds what it should not: a state that is repaired.
func Drifts(state string) bool { return state == Stuck || state == Diverged || state == Ahead }

// Steps of a node's repair.
const (
	Idle       = "" // the page's idle
	Resending  = "resending"
	Restarting = "restarting"
	TakenOut   = "out"
)

// Difference is one field of one item that is not as intended, in JSON. An empty Field is the complete item: "null" is
// not held, or not intended. Key "*" stands for content that the node does not name.
type Difference struct {
	Key      string `json:"key"`
	Field    string `json:"field,omitempty"`
	Intended string `json:"intended"`
	Applied  string `json:"applied"`
}

// Override is a local item that stands against what the rest of the fleet has: legitimate, and never repaired.
type Override struct {
	Key       string       `json:"key"`
	ChangedBy string       `json:"by,omitempty"`
	SinceMS   int64        `json:"since_ms,omitempty"` // Unix ms by the node's machine
	Fields    []Difference `json:"fields,omitempty"`   // of settings: against the fleet's
}

// Repair is where a node's repair stands.
type Repair struct {
	Step     string `json:"step,omitempty"`
	Resends  int    `json:"tries,omitempty"`   // re-sends
	Relapses int    `json:"relapse,omitempty"` // doublings of its first wait
}

// Verdict is what is thought of one node. Times are Unix ms by the leader's clock, for people: nothing is decided
// by them. The first ones stay while the state does, over failovers and the node's restarts.
type Verdict struct {
	fleet.Member
	State         string       `json:"state"`
	FirstRevision uint64       `json:"first_rev"` // revision of the intent it was first evaluated against
	FirstSeenMS   int64        `json:"first_seen_ms"`
	LastRevision  uint64       `json:"last_rev"`
	LastSeenMS    int64        `json:"last_seen_ms"`
	Count         uint64       `json:"count"` // reports, or looks without one, that said so
	Differences   []Difference `json:"items,omitempty"`
	Omitted       int          `json:"more,omitempty"` // items beyond those listed
	Overrides     []Override   `json:"overrides,omitempty"`
	Evidence      string       `json:"evidence,omitempty"`
	Repair        Repair       `json:"repair,omitzero"`
	Revision      uint64       `json:"rev"` // of the verdict's last change
}

// Baseline is the fleet's settings: those that most nodes hold.
type Baseline struct {
	Digest string          `json:"digest"`
	Body   json.RawMessage `json:"body,omitempty"`
}

// Change puts a verdict: its Verdict's First* and Revision are State's to fill in. It is rejected where the node's verdict
// is no longer the one of IfRevision (0: there is none), or is of a newer incarnation.
type Change struct {
	Verdict    Verdict `json:"verdict"`
	IfRevision uint64  `json:"if_rev"`
}

// Command is one entry of the replicated log: a step's changes together. AtMS is the leader's wall clock, Unix ms, put
// in by the shell that proposes it.
type Command struct {
	AtMS     int64             `json:"at_ms"`
	Set      []Change          `json:"set,omitempty"`
	Forget   map[string]uint64 `json:"forget,omitempty"` // nodes whose verdicts go, with the revisions of these
	Baseline *Baseline         `json:"baseline,omitempty"`
}

// State is what survives a failover. It marshals to JSON whole, for snapshots; the zero State is empty and ready.
// It is not safe for concurrent use.
type State struct {
	Verdicts map[string]*Verdict `json:"verdicts,omitempty"`
	Baseline Baseline            `json:"fleet,omitzero"`
	Revision uint64              `json:"rev"` // of the last change
	// Incarnations are the least that are taken of every node that has or had a verdict, so that reports of an
	// earlier run, or of one that has ended, stay rejected. Beyond a bound the oldest go.
	Incarnations map[string]uint64 `json:"incarnations,omitempty"`
}

const maxIncarnations = 8192

// Apply carries out a command. rev gives the revision of the change; it is called at most once, and only where
// something changes. It may count on its own or be the control plane's: no item of intent changes with it. Parts of a command
// that came too late change nothing and are named in the error, which is fleet.ErrConflict or fleet.ErrFenced.
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
			s.Incarnations[node] = v.Incarnation + 1 // it ended: its next run has a larger one
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

// trimIncarnations keeps the incarnations within their bound: first go those of nodes without a verdict, the oldest first.
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
