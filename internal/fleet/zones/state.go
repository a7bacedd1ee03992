package zones

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"meadowsill/internal/fleet"
)

// Errors of Apply. Each leaves the state as it was.
var (
	ErrChanged           = errors.New("zone changed since the decision") // the compare of a compare-and-set failed
	ErrIllegalTransition = errors.New("no such transition")              // wraps what is wrong with it
)

// State is the replicated part: the directives in force, and the relapses of zones that are served again. It knows no
// time. Its JSON is its snapshot. The zero State is empty and ready for use.
type State struct {
	Revision     uint64                 `json:"rev"`                  // of its last change, 0: none yet
	Directives   map[string]Entry       `json:"directives,omitempty"` // by key: "zone/Y" or "zone/Y@X"
	PastRelapses map[string]PastRelapse `json:"past,omitempty"`       // by key: served again, backoffs not yet forgotten
}

// Entry is a directive in force and what its recovery needs to know of the zone as it was when it was evacuated.
type Entry struct {
	Revision uint64 `json:"rev"`
	fleet.Directive
	ProvedRate    float64 `json:"proved"` // answers/s that one of its servers had given; 0: not known
	ListedServers int     `json:"listed"` // its servers
	Demand        float64 `json:"demand"` // answers/s of all of it, for the observers that left it
	BaseShare     float64 `json:"base"`   // share served all along
	TrialAnswered bool    `json:"tried"`  // a trial has had its answers: the recovery begins once it is over
}

// PastRelapse is what is kept of a zone that is served again. Revision is the revision of its last change.
type PastRelapse struct {
	Revision uint64 `json:"rev"`
	Relapses int    `json:"relapse"`
}

// Command is one change, applied completely or not at all. IfStateRevision is the State's Revision that it was decided from; it is compared
// where a zone without a directive gets one, as the capacity for it depends on all the others.
type Command struct {
	IfStateRevision uint64   `json:"if_state"`
	Items           []Change `json:"items"`
}

// Change is the change of one item: Entry becomes its new content (Revision is given by Apply), or goes.
type Change struct {
	Key        string `json:"key"`
	IfRevision uint64 `json:"if_rev"` // revision of the entry, or of the past, that it was decided from; 0: there was none
	Event      string `json:"event"`
	Removed    bool   `json:"gone,omitempty"` // the zone is served as ever; with quiet: a relapse is forgotten
	Entry      Entry  `json:"entry"`
}

// Key is the item's key for zone y as the nodes of zone x are to see it; x "" is every node.
func Key(y, x string) string {
	if x == "" {
		return "zone/" + y
	}
	return "zone/" + y + "@" + x
}

// ParseKey undoes Key.
func ParseKey(key string) (y, x string, ok bool) {
	rest, ok := strings.CutPrefix(key, "zone/")
	y, x, at := strings.Cut(rest, "@")
	return y, x, ok && y != "" && (!at || x != "") && !strings.Contains(x, "@")
}

// Apply makes the command's change under one new revision, which rev is called for once, only if it is made. It gives
// the keys whose items changed, in order: a key that is then not among Items has been removed; none changed where only relapses
// were forgotten. A command decided from another revision gives ErrChanged, one that the state table does not have
// ErrIllegalTransition.
func (s *State) Apply(c Command, rev func() uint64) (changed []string, err error) {
	if len(c.Items) == 0 {
		return nil, fmt.Errorf("%w: an empty command", ErrIllegalTransition)
	}
	seen := map[string]bool{}
	for _, ch := range c.Items {
		if seen[ch.Key] {
			return nil, fmt.Errorf("%w: %s: twice in one command", ErrIllegalTransition, ch.Key)
		}
		seen[ch.Key] = true
		if err := s.check(c, ch); err != nil {
			return nil, fmt.Errorf("%s: %w", ch.Key, err)
		}
	}
	if s.Directives == nil {
		s.Directives = map[string]Entry{}
	}
	if s.PastRelapses == nil {
		s.PastRelapses = map[string]PastRelapse{}
	}
	s.Revision = rev()
	for _, ch := range c.Items {
		old, had := s.Directives[ch.Key]
		switch {
		case had && ch.Removed:
			delete(s.Directives, ch.Key)
			s.PastRelapses[ch.Key] = PastRelapse{Revision: s.Revision, Relapses: old.Relapses}
		case ch.Removed:
			if p := s.PastRelapses[ch.Key]; p.Relapses > 0 {
				s.PastRelapses[ch.Key] = PastRelapse{Revision: s.Revision, Relapses: p.Relapses - 1}
			} else {
				delete(s.PastRelapses, ch.Key)
			}
			continue
		default:
			delete(s.PastRelapses, ch.Key)
			ch.Entry.Revision = s.Revision
			ch.Entry.TrialNodes = slices.Clone(ch.Entry.TrialNodes)
			s.Directives[ch.Key] = ch.Entry
		}
		changed = append(changed, ch.Key)
	}
	slices.Sort(changed)
	return changed, nil
}

// check tells what is wrong with a change.
func (s *State) check(c Command, ch Change) error {
	if _, _, ok := ParseKey(ch.Key); !ok {
		return fmt.Errorf("%w: not a zone's key", ErrIllegalTransition)
	}
	old, had := s.Directives[ch.Key]
	past, returned := s.PastRelapses[ch.Key]
	if had && ch.IfRevision != old.Revision || !had && ch.IfRevision != past.Revision || !had && c.IfStateRevision != s.Revision {
		return ErrChanged
	}
	from := fleet.Serving
	to := ch.Entry.Phase
	e := ch.Entry
	if had {
		from = old.Phase
	}
	if ch.Removed {
		to = fleet.Serving
	}
	back := !ch.Removed && (had && e.Relapses > old.Relapses || !had && returned && e.Relapses > past.Relapses)
	at := func(why string) error {
		return fmt.Errorf("%w: %s, %s -> %s: %s", ErrIllegalTransition, from, ch.Event, to, why)
	}
	// Where the most relapses are counted already, one more changes nothing.
	if !isLegal(from, ch.Event, to, back) && !(to != fleet.Serving && !back && isLegal(from, ch.Event, to, true)) {
		return at("not in the table")
	}
	if ch.Removed {
		if had && (old.Step < 1 || old.Share != 1) || !had && !returned {
			return at("not after the last step")
		}
		return nil
	}
	if to == fleet.Serving {
		return at("serving has no directive")
	}
	if why := entryFlaw(e); why != "" {
		return at(why)
	}
	if why := sequenceFlaw(old, had, ch); why != "" {
		return at(why)
	}
	return nil
}

// entryFlaw tells what no directive may be.
func entryFlaw(e Entry) string {
	switch {
	case !(e.Floor >= 0) || !(e.Share <= 1) || !(e.Floor <= e.Share):
		return "floor and share are not 0 <= floor <= share <= 1"
	case !(e.Budget >= 0) || e.Budget > 1e12 || e.Budget > 0 && e.Slots < 1:
		return "a budget without slots"
	case e.ValidMS < 1 || e.BackoffMS < 0 || e.Relapses < 0 || !(e.BaseShare >= 0) || e.ListedServers < 0 || !(e.ProvedRate >= 0) || !(e.Demand >= 0):
		return "a negative number"
	case e.Phase != fleet.Recovering && (e.Step != 0 || e.Share != e.BaseShare || e.Floor != e.BaseShare):
		return "share or step before the return"
	case e.Phase == fleet.Recovering && (e.Step < 1 || e.Share <= e.BaseShare):
		return "a return without a step"
	case e.Phase != fleet.Probation && (len(e.TrialNodes) > 0 || e.TrialAnswered) || e.Phase == fleet.Probation && (e.Share != 0 || e.Budget <= 0):
		return "a trial out of place"
	}
	return ""
}

// sequenceFlaw tells what may not follow on the old entry.
func sequenceFlaw(old Entry, had bool, ch Change) string {
	e := ch.Entry
	if !had {
		if e.Share >= 1 {
			return "nothing is left"
		}
		return ""
	}
	switch {
	case e.Relapses < old.Relapses || e.Relapses > old.Relapses+1 || e.BackoffMS < old.BackoffMS:
		return "relapses or backoff out of order"
	case e.Phase != fleet.Evacuated && e.BaseShare != old.BaseShare || e.ProvedRate != old.ProvedRate || e.ListedServers != old.ListedServers || e.Demand != old.Demand:
		return "what was known of the zone has changed"
	case old.Phase == fleet.Evacuated && e.Phase == fleet.Evacuated && e.Share == old.Share:
		return "nothing changes"
	case old.Phase == fleet.Evacuated && e.Phase == fleet.Evacuated && ch.Event != Gray && e.Share > old.Share:
		return "a lost zone gets more"
	case old.Phase == fleet.Evacuated && e.Phase == fleet.Probation && old.Share != 0:
		return "a part is served: it needs no probation"
	case old.Phase == fleet.Evacuated && e.Phase == fleet.Recovering && (old.Share == 0 || e.Share <= old.Share):
		return "a return without a probation"
	case old.Phase == fleet.Probation && e.Phase == fleet.Probation && len(old.TrialNodes) > 0 && len(e.TrialNodes) > 0:
		return "a trial before the former one is over"
	case old.Phase == fleet.Probation && e.Phase == fleet.Recovering && (e.Step != 1 || !old.TrialAnswered || len(old.TrialNodes) > 0):
		return "the first step is 1, once a trial with its answers is over"
	case old.Phase == fleet.Probation && e.Phase == fleet.Probation && (old.TrialAnswered || e.TrialAnswered != (ch.Event == Answered) || e.TrialAnswered && len(old.TrialNodes) == 0):
		return "a trial that had its answers, or none that has"
	case old.Phase == fleet.Recovering && e.Phase == fleet.Recovering && ch.Event == Answered && (e.Step != old.Step+1 || e.Share <= old.Share):
		return "not the next step"
	case old.Phase == fleet.Recovering && e.Phase == fleet.Recovering && ch.Event == Lost && (e.Step != old.Step-1 || e.Share >= old.Share):
		return "not the step before"
	case e.Phase == fleet.Recovering && e.Step == 1 && e.Floor > e.BaseShare:
		return "a floor before a step is proved"
	}
	return ""
}

// Items returns the directives as items of intent, by key.
func (s *State) Items() []fleet.Item {
	out := make([]fleet.Item, 0, len(s.Directives))
	for _, key := range slices.Sorted(maps.Keys(s.Directives)) {
		item, _ := s.Item(key)
		out = append(out, item)
	}
	return out
}

// Item returns the item of a key, if there is one.
func (s *State) Item(key string) (fleet.Item, bool) {
	e, ok := s.Directives[key]
	if !ok {
		return fleet.Item{}, false
	}
	body, _ := json.Marshal(e.Directive) // numbers are finite: Apply has checked them
	return fleet.Item{Key: key, Revision: e.Revision, Body: body}, true
}

// backoff is the backoff of a directive.
func (e Entry) backoff() fleet.Time { return fleet.Time(e.BackoffMS) * 1e6 }
