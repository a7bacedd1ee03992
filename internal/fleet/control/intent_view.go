package control

import (
	"cmp"
	"slices"
	"strings"

	"meadowsill/internal/fleet"
	"meadowsill/internal/registry/index"
)

// View is the intent as it was when the view was taken. It never changes, so that readers need no lock, and is safe for
// concurrent use.
type View struct {
	Revision uint64 // that last changed an item
	Floor    uint64 // changes up to here can no longer be listed
	items    index.Snapshot[scopedItem]
}

// View returns the intent as it is now. It is the same one until an item changes, and costs the same however many there are.
func (s *State) View() *View {
	if s.items.view == nil {
		s.items.view = &View{Revision: s.Revision, Floor: s.Floor, items: s.items.index.Snapshot()}
	}
	return s.items.view
}

// Read answers from the intent as it is now; see View.Read.
func (s *State) Read(since uint64, node string, services ...string) fleet.Intent {
	return s.View().Read(since, node, services...)
}

// Read answers GET /fleet/v1/intent: the items changed after since, or all where since is 0, compacted or newer than the
// view. node leaves out the shares of other nodes, services the tenants of other services; none leaves out none. It costs
// what changed in that scope.
func (v *View) Read(since uint64, node string, services ...string) fleet.Intent {
	full := v.full(since)
	return fleet.Intent{Revision: v.Revision, Full: full, Items: v.read(ReaderScopes(node, services...), full, since, false)}
}

// HasChanges reports whether a reader that holds everything up to since has anything to take: a change in one of its scopes, or all,
// where the changes after since can't be listed. A view without a revision has nothing for anybody.
func (v *View) HasChanges(since uint64, node string, services ...string) bool {
	if since == v.Revision {
		return false
	}
	if v.full(since) {
		return true
	}
	for _, scope := range ReaderScopes(node, services...) {
		for range v.items.Changed(scope, since) {
			return true
		}
	}
	return false
}

func (v *View) full(since uint64) bool { return since == 0 || since < v.Floor || since > v.Revision }

// read returns the items of scopes by key: all of them, removed ones only with tombstones, or those changed after since. Of a key
// that several scopes have, as a tenant's name is used again in another service, it gives the newest.
func (v *View) read(scopes []index.Scope, all bool, since uint64, tombstones bool) []fleet.Item {
	out := []fleet.Item{}
	for _, scope := range scopes {
		entries := v.items.Changed(scope, since)
		if all {
			entries = v.items.All(scope)
		}
		for entry := range entries {
			if !all || tombstones || !entry.Value.Removed {
				out = append(out, entry.Value.Item)
			}
		}
	}
	slices.SortFunc(out, func(a, b fleet.Item) int {
		return cmp.Or(strings.Compare(a.Key, b.Key), cmp.Compare(b.Revision, a.Revision))
	})
	return slices.CompactFunc(out, func(a, b fleet.Item) bool { return a.Key == b.Key })
}
