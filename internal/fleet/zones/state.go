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

// Errors of Apply. The state is unchanged after either of them.
var (
	ErrChanged           = errors.New("zone changed since the decision") // the comparison of a compare-and-set failed
	ErrIllegalTransition = errors.New("no such transition")              // the error that wraps it says what is wrong
)

// State is the replicated part: the directives in force, and the relapses of zones that are served again. It holds no
// times. Its JSON form is its snapshot. The zero State is empty and ready for use.
type State struct {
	Revision     uint64                 `json:"rev"`                  // of the last change; 0: none yet
	Directives   map[string]Entry       `json:"directives,omitempty"` // by key: "zone/Y" or "zone/Y@X"
	PastRelapses map[string]PastRelapse `json:"past,omitempty"`       // by key: zones that are served again, relapses not yet forgotten
}

// Entry is a directive in force, with what the recovery needs to know about the zone at the time of its evacuation.
type Entry struct {
	Revision uint64 `json:"rev"`
	fleet.Directive
	ProvedRate    float64 `json:"proved"` // highest answers/s of one of the zone's servers; 0: not known
	ListedServers int     `json:"listed"` // servers of the zone
	Demand        float64 `json:"demand"` // answers/s that the directive's observers got from the whole zone
	BaseShare     float64 `json:"base"`   // share that is served all along
	TrialAnswered bool    `json:"tried"`  // a trial had enough answers: the recovery begins once the trial is over
}

// PastRelapse is what is kept of a zone that is served again. Revision is that of the zone's last change.
type PastRelapse struct {
	Revision uint64 `json:"rev"`
	Relapses int    `json:"relapse"`
}

// Command is a list of changes that are applied completely or not at all. IfStateRevision is the State's Revision that the
// command was decided from. It is compared for zones without a directive, as the capacity for a new directive depends on all
// the others.
type Command struct {
	IfStateRevision uint64   `json:"if_state"`
	Items           []Change `json:"items"`
}

// Change is the change of one item: Entry becomes its new content (Apply sets the Revision), or the item is removed.
type Change struct {
	Key        string `json:"key"`
	IfRevision uint64 `json:"if_rev"` // revision of the entry or past relapse that the change was decided from; 0: there was none
	Event      string `json:"event"`
	Removed    bool   `json:"gone,omitempty"` // the zone is served in full again; without a directive: a relapse is forgotten
	Entry      Entry  `json:"entry"`
}

// Key returns the key of the item on a zone for the nodes of the observer zone, or for every node where observer is "".
func Key(zone, observer string) string {
	if observer == "" {
		return "zone/" + zone
	}
	return "zone/" + zone + "@" + observer
}

// ParseKey splits a key into the arguments of Key that give it. ok is false for a text that Key does not return.
func ParseKey(key string) (zone, observer string, ok bool) {
	rest, ok := strings.CutPrefix(key, "zone/")
	zone, observer, at := strings.Cut(rest, "@")
	return zone, observer, ok && zone != "" && (!at || observer != "") && !strings.Contains(observer, "@")
}

// Apply makes the changes of a command under one new revision. It calls nextRevision once, and only if it makes the changes.
// It returns the sorted keys of the items that changed: a key that is not among Items afterwards has been removed, and a change
// that only forgets a relapse returns no key. Apply returns ErrChanged for a command that was decided from another revision,
// and ErrIllegalTransition for a transition that the state table does not have.
func (s *State) Apply(c Command, nextRevision func() uint64) (changed []string, err error) {
	if len(c.Items) == 0 {
		return nil, fmt.Errorf("%w: an empty command", ErrIllegalTransition)
	}
	seen := map[string]bool{}
	for _, change := range c.Items {
		if seen[change.Key] {
			return nil, fmt.Errorf("%w: %s: twice in one command", ErrIllegalTransition, change.Key)
		}
		seen[change.Key] = true
		if err := s.check(c, change); err != nil {
			return nil, fmt.Errorf("%s: %w", change.Key, err)
		}
	}
	if s.Directives == nil {
		s.Directives = map[string]Entry{}
	}
	if s.PastRelapses == nil {
		s.PastRelapses = map[string]PastRelapse{}
	}
	s.Revision = nextRevision()
	for _, change := range c.Items {
		old, had := s.Directives[change.Key]
		switch {
		case had && change.Removed:
			delete(s.Directives, change.Key)
			s.PastRelapses[change.Key] = PastRelapse{Revision: s.Revision, Relapses: old.Relapses}
		case change.Removed:
			if p := s.PastRelapses[change.Key]; p.Relapses > 0 {
				s.PastRelapses[change.Key] = PastRelapse{Revision: s.Revision, Relapses: p.Relapses - 1}
			} else {
				delete(s.PastRelapses, change.Key)
			}
			continue
		default:
			delete(s.PastRelapses, change.Key)
			change.Entry.Revision = s.Revision
			change.Entry.TrialNodes = slices.Clone(change.Entry.TrialNodes)
			s.Directives[change.Key] = change.Entry
		}
		changed = append(changed, change.Key)
	}
	slices.Sort(changed)
	return changed, nil
}

// check returns an error that says what is wrong with a change.
func (s *State) check(c Command, change Change) error {
	if _, _, ok := ParseKey(change.Key); !ok {
		return fmt.Errorf("%w: not a zone's key", ErrIllegalTransition)
	}
	old, had := s.Directives[change.Key]
	past, servedAgain := s.PastRelapses[change.Key]
	if had && change.IfRevision != old.Revision || !had && change.IfRevision != past.Revision || !had && c.IfStateRevision != s.Revision {
		return ErrChanged
	}
	source := fleet.Serving
	target := change.Entry.Phase
	e := change.Entry
	if had {
		source = old.Phase
	}
	if change.Removed {
		target = fleet.Serving
	}
	countsRelapse := !change.Removed && (had && e.Relapses > old.Relapses || !had && servedAgain && e.Relapses > past.Relapses)
	illegal := func(reason string) error {
		return fmt.Errorf("%w: %s, %s -> %s: %s", ErrIllegalTransition, source, change.Event, target, reason)
	}
	// At the maximum the number of relapses does not rise any more, so a row that counts a relapse applies too.
	if !isLegal(source, change.Event, target, countsRelapse) &&
		!(target != fleet.Serving && !countsRelapse && isLegal(source, change.Event, target, true)) {
		return illegal("not in the table")
	}
	if change.Removed {
		if had && (old.Step < 1 || old.Share != 1) || !had && !servedAgain {
			return illegal("not after the last step")
		}
		return nil
	}
	if target == fleet.Serving {
		return illegal("serving has no directive")
	}
	if reason := invalidEntryReason(e); reason != "" {
		return illegal(reason)
	}
	if reason := invalidSequenceReason(old, had, change); reason != "" {
		return illegal(reason)
	}
	return nil
}

// invalidEntryReason returns why no directive may have this entry, or "".
func invalidEntryReason(e Entry) string {
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

// invalidSequenceReason returns why the change may not follow the old entry, or "".
func invalidSequenceReason(old Entry, had bool, change Change) string {
	e := change.Entry
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
	case old.Phase == fleet.Evacuated && e.Phase == fleet.Evacuated && change.Event != Gray && e.Share > old.Share:
		return "a lost zone gets more"
	case old.Phase == fleet.Evacuated && e.Phase == fleet.Probation && old.Share != 0:
		return "a part is served: it needs no probation"
	case old.Phase == fleet.Evacuated && e.Phase == fleet.Recovering && (old.Share == 0 || e.Share <= old.Share):
		return "a return without a probation"
	case old.Phase == fleet.Probation && e.Phase == fleet.Probation && len(old.TrialNodes) > 0 && len(e.TrialNodes) > 0:
		return "a trial before the former one is over"
	case old.Phase == fleet.Probation && e.Phase == fleet.Recovering && (e.Step != 1 || !old.TrialAnswered || len(old.TrialNodes) > 0):
		return "the first step is 1, once a trial with its answers is over"
	case old.Phase == fleet.Probation && e.Phase == fleet.Probation && (old.TrialAnswered ||
		e.TrialAnswered != (change.Event == Answered) || e.TrialAnswered && len(old.TrialNodes) == 0):
		return "a trial that had its answers, or none that has"
	case old.Phase == fleet.Recovering && e.Phase == fleet.Recovering && change.Event == Answered && (e.Step != old.Step+1 || e.Share <= old.Share):
		return "not the next step"
	case old.Phase == fleet.Recovering && e.Phase == fleet.Recovering && change.Event == Lost && (e.Step != old.Step-1 || e.Share >= old.Share):
		return "not the step before"
	case e.Phase == fleet.Recovering && e.Step == 1 && e.Floor > e.BaseShare:
		return "a floor before a step is proved"
	}
	return ""
}

// Items returns the directives as items of intent, sorted by key.
func (s *State) Items() []fleet.Item {
	out := make([]fleet.Item, 0, len(s.Directives))
	for _, key := range slices.Sorted(maps.Keys(s.Directives)) {
		item, _ := s.Item(key)
		out = append(out, item)
	}
	return out
}

// Item returns the item with the given key, if there is one.
func (s *State) Item(key string) (fleet.Item, bool) {
	e, ok := s.Directives[key]
	if !ok {
		return fleet.Item{}, false
	}
	body, _ := json.Marshal(e.Directive) // can't fail: Apply has checked that the numbers are finite
	return fleet.Item{Key: key, Revision: e.Revision, Body: body}, true
}

// backoff returns the time before the probation of the zone.
func (e Entry) backoff() fleet.Time { return fleet.Time(e.BackoffMS) * 1e6 }
