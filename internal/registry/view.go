package registry

import (
	"iter"
	"slices"
	"strings"

	"meadowsill/internal/registry/index"
)

// Answer is PROTOCOL's body of a read or a watch.
type Answer struct {
	Version uint64  `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// View is the list as it was when the view was taken. It never changes, so that readers need no lock, and is safe for
// concurrent use.
type View struct {
	Version uint64 // of the list's last change
	Floor   uint64 // changes at or below it are compacted
	entries index.Snapshot[Entry]
}

// View returns the list as it is now. It is the same one until the list changes, and costs the same however long the list.
func (s *State) View() *View {
	if s.view == nil {
		s.view = &View{Version: s.ListRevision, Floor: s.Floor, entries: s.entries.Snapshot()}
	}
	return s.view
}

// Read answers from the list as it is now; see View.Read.
func (s *State) Read(since uint64, watch bool) Answer { return s.View().Read(since, watch) }

// Read answers a complete read (since 0, watch false) or a watch from since: the entries changed after it, or the
// complete list where since is compacted away or newer than this list. Gone entries appear only among changes. A watch costs
// what changed.
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

// Len is the number of entries known, removed ones among them.
func (v *View) Len() int { return v.entries.Len() }

// Each returns every entry that is known, removed ones too, by id, with the revision of its last change.
func (v *View) Each() iter.Seq2[Entry, uint64] {
	return func(yield func(Entry, uint64) bool) {
		for e := range v.entries.All("") {
			if !yield(e.Value, e.Revision) {
				return
			}
		}
	}
}
