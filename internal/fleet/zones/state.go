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
	ErrChanged = errors.New("zone changed since the decision") // the compare of a compare-and-set failed
	ErrIllegal = errors.New("no such transition")              // wraps what is wrong with it
)

// State is the replicated part: the directives in force, and the relapses of zones that are served again. It knows no
// time. Its JSON is its snapshot. The zero State is empty and ready for use.
type State struct {
	Rev        uint64           `json:"rev"`                  // of its last change, 0: none yet
	Directives map[string]Entry `json:"directives,omitempty"` // by key: "zone/Y" or "zone/Y@X"
	Past       map[string]Past  `json:"past,omitempty"`       // by key: served again, hold-offs not yet forgotten
}

// Entry is a directive in force and what its return needs to know of the zone as it was when it was left.
type Entry struct {
	Rev uint64 `json:"rev"`
	fleet.Directive
	Proved float64 `json:"proved"` // answers/s that one of its servers had given; 0: not known
	Listed int     `json:"listed"` // its servers
	Demand float64 `json:"demand"` // answers/s of all of it, for the observers that left it
	Base   float64 `json:"base"`   // share served all along
	Tried  bool    `json:"tried"`  // a trial has had its answers: the return begins once it is over
}

// Past is what is kept of a zone that is served again. Rev is the revision of its last change.
type Past struct {
	Rev     uint64 `json:"rev"`
	Relapse int    `json:"relapse"`
}

// Command is one change, taken whole or not at all. IfState is the State's Rev that it was decided from; it is compared
// where a zone without a directive gets one, as the room for it depends on all the others.
type Command struct {
	IfState uint64   `json:"if_state"`
	Items   []Change `json:"items"`
}

// Change is the change of one item: Entry becomes its new content (Rev is given by Apply), or goes.
type Change struct {
	Key   string `json:"key"`
	IfRev uint64 `json:"if_rev"` // revision of the entry, or of the past, that it was decided from; 0: there was none
	Event string `json:"event"`
	Gone  bool   `json:"gone,omitempty"` // the zone is served as ever; with quiet: a relapse is forgotten
	Entry Entry  `json:"entry"`
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
// the keys whose items changed, in order: a key that is then not among Items has gone; none changed where only relapses
// were forgotten. A command decided from another revision gives ErrChanged, one that the state table does not have
// ErrIllegal.
func (s *State) Apply(c Command, rev func() uint64) (changed []string, err error) {
	if len(c.Items) == 0 {
		return nil, fmt.Errorf("%w: an empty command", ErrIllegal)
	}
	seen := map[string]bool{}
	for _, ch := range c.Items {
		if seen[ch.Key] {
			return nil, fmt.Errorf("%w: %s: twice in one command", ErrIllegal, ch.Key)
		}
		seen[ch.Key] = true
		if err := s.check(c, ch); err != nil {
			return nil, fmt.Errorf("%s: %w", ch.Key, err)
		}
	}
	if s.Directives == nil {
		s.Directives = map[string]Entry{}
	}
	if s.Past == nil {
		s.Past = map[string]Past{}
	}
	s.Rev = rev()
	for _, ch := range c.Items {
		old, had := s.Directives[ch.Key]
		switch {
		case had && ch.Gone:
			delete(s.Directives, ch.Key)
			s.Past[ch.Key] = Past{Rev: s.Rev, Relapse: old.Relapse}
		case ch.Gone:
			if p := s.Past[ch.Key]; p.Relapse > 0 {
				s.Past[ch.Key] = Past{Rev: s.Rev, Relapse: p.Relapse - 1}
			} else {
				delete(s.Past, ch.Key)
			}
			continue
		default:
			delete(s.Past, ch.Key)
			ch.Entry.Rev = s.Rev
			ch.Entry.Trial = slices.Clone(ch.Entry.Trial)
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
		return fmt.Errorf("%w: not a zone's key", ErrIllegal)
	}
	old, had := s.Directives[ch.Key]
	past, returned := s.Past[ch.Key]
	if had && ch.IfRev != old.Rev || !had && ch.IfRev != past.Rev || !had && c.IfState != s.Rev {
		return ErrChanged
	}
	from, to, e := fleet.Serving, ch.Entry.Phase, ch.Entry
	if had {
		from = old.Phase
	}
	if ch.Gone {
		to = fleet.Serving
	}
	back := !ch.Gone && (had && e.Relapse > old.Relapse || !had && returned && e.Relapse > past.Relapse)
	at := func(why string) error {
		return fmt.Errorf("%w: %s, %s -> %s: %s", ErrIllegal, from, ch.Event, to, why)
	}
	// Where the most relapses are counted already, one more changes nothing.
	if !legal(from, ch.Event, to, back) && !(to != fleet.Serving && !back && legal(from, ch.Event, to, true)) {
		return at("not in the table")
	}
	if ch.Gone {
		if had && (old.Step < 1 || old.Share != 1) || !had && !returned {
			return at("not after the last step")
		}
		return nil
	}
	if to == fleet.Serving {
		return at("serving has no directive")
	}
	if why := wrong(e); why != "" {
		return at(why)
	}
	if why := outOfOrder(old, had, ch); why != "" {
		return at(why)
	}
	return nil
}

// wrong tells what no directive may be.
func wrong(e Entry) string {
	switch {
	case !(e.Floor >= 0) || !(e.Share <= 1) || !(e.Floor <= e.Share):
		return "floor and share are not 0 <= floor <= share <= 1"
	case !(e.Budget >= 0) || e.Budget > 1e12 || e.Budget > 0 && e.Slots < 1:
		return "a budget without slots"
	case e.ValidMS < 1 || e.HoldMS < 0 || e.Relapse < 0 || !(e.Base >= 0) || e.Listed < 0 || !(e.Proved >= 0) || !(e.Demand >= 0):
		return "a negative number"
	case e.Phase != fleet.Returning && (e.Step != 0 || e.Share != e.Base || e.Floor != e.Base):
		return "share or step before the return"
	case e.Phase == fleet.Returning && (e.Step < 1 || e.Share <= e.Base):
		return "a return without a step"
	case e.Phase != fleet.Probation && (len(e.Trial) > 0 || e.Tried) || e.Phase == fleet.Probation && (e.Share != 0 || e.Budget <= 0):
		return "a trial out of place"
	}
	return ""
}

// outOfOrder tells what may not follow on the old entry.
func outOfOrder(old Entry, had bool, ch Change) string {
	e := ch.Entry
	if !had {
		if e.Share >= 1 {
			return "nothing is left"
		}
		return ""
	}
	switch {
	case e.Relapse < old.Relapse || e.Relapse > old.Relapse+1 || e.HoldMS < old.HoldMS:
		return "relapses or hold-off out of order"
	case e.Phase != fleet.Left && e.Base != old.Base || e.Proved != old.Proved || e.Listed != old.Listed || e.Demand != old.Demand:
		return "what was known of the zone has changed"
	case old.Phase == fleet.Left && e.Phase == fleet.Left && e.Share == old.Share:
		return "nothing changes"
	case old.Phase == fleet.Left && e.Phase == fleet.Left && ch.Event != Gray && e.Share > old.Share:
		return "a lost zone gets more"
	case old.Phase == fleet.Left && e.Phase == fleet.Probation && old.Share != 0:
		return "a part is served: it needs no probation"
	case old.Phase == fleet.Left && e.Phase == fleet.Returning && (old.Share == 0 || e.Share <= old.Share):
		return "a return without a probation"
	case old.Phase == fleet.Probation && e.Phase == fleet.Probation && len(old.Trial) > 0 && len(e.Trial) > 0:
		return "a trial before the former one is over"
	case old.Phase == fleet.Probation && e.Phase == fleet.Returning && (e.Step != 1 || !old.Tried || len(old.Trial) > 0):
		return "the first step is 1, once a trial with its answers is over"
	case old.Phase == fleet.Probation && e.Phase == fleet.Probation && (old.Tried || e.Tried != (ch.Event == Answers) || e.Tried && len(old.Trial) == 0):
		return "a trial that had its answers, or none that has"
	case old.Phase == fleet.Returning && e.Phase == fleet.Returning && ch.Event == Answers && (e.Step != old.Step+1 || e.Share <= old.Share):
		return "not the next step"
	case old.Phase == fleet.Returning && e.Phase == fleet.Returning && ch.Event == Lost && (e.Step != old.Step-1 || e.Share >= old.Share):
		return "not the step before"
	case e.Phase == fleet.Returning && e.Step == 1 && e.Floor > e.Base:
		return "a floor before a step is proved"
	}
	return ""
}

// Items gives the directives as items of intent, by key.
func (s *State) Items() []fleet.Item {
	out := make([]fleet.Item, 0, len(s.Directives))
	for _, key := range slices.Sorted(maps.Keys(s.Directives)) {
		item, _ := s.Item(key)
		out = append(out, item)
	}
	return out
}

// Item gives the item of a key, if there is one.
func (s *State) Item(key string) (fleet.Item, bool) {
	e, ok := s.Directives[key]
	if !ok {
		return fleet.Item{}, false
	}
	body, _ := json.Marshal(e.Directive) // numbers are finite: Apply has checked them
	return fleet.Item{Key: key, Rev: e.Rev, Body: body}, true
}

// Hold is the hold-off of a directive.
func (e Entry) hold() fleet.Time { return fleet.Time(e.HoldMS) * 1e6 }
