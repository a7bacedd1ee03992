package registry

import (
	"iter"
	"slices"
	"strings"

	"meadowsill/internal/registry/index"
)

// Answer is the body that PROTOCOL specifies for the answer to a read or a watch.
type Answer struct {
	Version uint64  `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// View is an immutable snapshot of the list. Readers need no lock: a View is safe for concurrent use.
type View struct {
	Version uint64 // revision of the list's last change
	Floor   uint64 // changes at or below this revision are compacted
	entries index.Snapshot[Entry]
}

// View returns a view of the current list. It returns the same view until the list changes, and its cost does not depend on
// the list's length.
func (s *State) View() *View {
	if s.view == nil {
		s.view = &View{Version: s.ListRevision, Floor: s.Floor, entries: s.entries.Snapshot()}
	}
	return s.view
}

// Read answers from the current list; see View.Read.
func (s *State) Read(since uint64, watch bool) Answer { return s.View().Read(since, watch) }

// Read answers a complete read (since 0, watch false) or a watch. A watch gets the entries that changed after since, or the
// complete list where since is compacted or newer than this list. Removed entries (state "gone") appear only among changes.
// The cost of a watch depends on the number of changed entries, not on the length of the list.
func (v *View) Read(since uint64, watch bool) Answer {
	if !watch || since < v.Floor || since > v.Version {
		return v.complete()
	}
	a := Answer{Version: v.Version, Servers: []Entry{}}
	for e := range v.entries.Changed("", since) {
		a.Servers = append(a.Servers, e.Value)
	}
	slices.SortFunc(a.Servers, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) })
	return a
}

func (v *View) complete() Answer {
	a := Answer{Version: v.Version, Full: true, Servers: make([]Entry, 0, v.entries.Len())}
	for e := range v.entries.All("") {
		if e.Value.State != "gone" {
			a.Servers = append(a.Servers, e.Value)
		}
	}
	return a
}

// Len returns the number of entries, including removed entries that are not yet compacted.
func (v *View) Len() int { return v.entries.Len() }

// Each iterates over all entries in the order of their ids, including removed entries that are not yet compacted, each with
// the revision of its last change.
func (v *View) Each() iter.Seq2[Entry, uint64] {
	return func(yield func(Entry, uint64) bool) {
		for e := range v.entries.All("") {
			if !yield(e.Value, e.Revision) {
				return
			}
		}
	}
}
