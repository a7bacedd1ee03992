package control

import (
	"cmp"
	"slices"
	"strings"

	"meadowsill/internal/fleet"
	"meadowsill/internal/registry/index"
)

// View is the intent at the moment at which the view was taken. It never changes, so readers need no lock, and it is safe for
// concurrent use.
type View struct {
	Revision uint64 // the last revision that changed an item
	Floor    uint64 // changes up to this revision can no longer be listed
	items    index.Snapshot[scopedItem]
}

// View returns a view of the present intent. It returns the same view until an item changes, at a cost that is independent of the
// number of items.
func (s *State) View() *View {
	if s.items.view == nil {
		s.items.view = &View{Revision: s.Revision, Floor: s.Floor, items: s.items.index.Snapshot()}
	}
	return s.items.view
}

// Read answers from a view of the present intent; see View.Read.
func (s *State) Read(since uint64, node string, services ...string) fleet.Intent {
	return s.View().Read(since, node, services...)
}

// Read answers GET /fleet/v1/intent: the items that changed after since, or all items where since is 0, compacted or newer than
// the view. If node is given, the quota leases of other nodes are left out; if services are given, the tenants of other services
// are left out. The cost is proportional to the number of changes in that scope.
func (v *View) Read(since uint64, node string, services ...string) fleet.Intent {
	full := v.full(since)
	return fleet.Intent{Revision: v.Revision, Full: full, Items: v.read(ReaderScopes(node, services...), full, since, false)}
}

// HasChanges reports whether a reader that holds everything up to since has anything to read: a change in one of its scopes, or
// the complete intent where the changes after since can't be listed. It is false where since is the view's revision, so that an
// empty view (revision 0) has nothing for a reader that holds nothing.
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

// read returns the items of scopes by key: all of them (removed items only if tombstones is set), or those that changed after
// since. Where several scopes have an item of the same key, because a tenant's name was used again in another service, it returns
// the newest.
func (v *View) read(scopes []index.Scope, complete bool, since uint64, tombstones bool) []fleet.Item {
	out := []fleet.Item{}
	for _, scope := range scopes {
		entries := v.items.Changed(scope, since)
		if complete {
			entries = v.items.All(scope)
		}
		for entry := range entries {
			if !complete || tombstones || !entry.Value.Removed {
				out = append(out, entry.Value.Item)
			}
		}
	}
	slices.SortFunc(out, func(a, b fleet.Item) int {
		return cmp.Or(strings.Compare(a.Key, b.Key), cmp.Compare(b.Revision, a.Revision))
	})
	return slices.CompactFunc(out, func(a, b fleet.Item) bool { return a.Key == b.Key })
}
