package drift

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"meadowsill/internal/fleet"
)

// Intended is the control plane's complete intent at a revision. Items contains every item, and every removed item that
// the replica still remembers, each with its revision; without the removed items, removals are detected a little later.
// Servers is the server list under the same revisions, with removed entries. It is nil if the control plane doesn't
// provide the nodes' list; then no list is compared.
type Intended struct {
	Revision  uint64
	Items     []fleet.Item
	Servers   []ListedServer
	LateSteps map[string][]Difference // by present node: rollout steps that the node has delayed past their bound
}

// ListedServer is an entry of the server list.
type ListedServer struct {
	ID       string
	Revision uint64
	Removed  bool
	Body     fleet.AppliedServer
}

// Expect returns the items that a node's module has applied once it has processed all of in, in key order, with bodies
// and without local items. services is the node's scope; without services, every tenant is included. An error means that
// an item's body can't be decoded, so that nothing is known about that item.
func Expect(in Intended, m fleet.Member, services ...string) ([]fleet.AppliedItem, error) {
	var b intentHistory
	err := b.ingest(0, in)
	list := b.list(b.newestRevision)
	applied, _ := b.expect(in.Revision, m, services)
	applied = append(applied, list...)
	slices.SortFunc(applied, func(a, b fleet.AppliedItem) int { return strings.Compare(a.Key, b.Key) })
	return applied, err
}

// removedItemRevisions is for how many revisions a removed item that is no longer listed is remembered.
const removedItemRevisions = 1000

// maxVersions is how many versions of an item are remembered for nodes that lag behind.
const maxVersions = 8

// version is the state of an item from a revision on.
type version struct {
	revision       uint64
	certainFrom    uint64 // the item may or may not have had this state from revision to here
	knownUntil     uint64 // the last revision at which the item is known to have had this state; later changes may have been missed
	removed        bool
	unknown        bool       // nothing is known about the item before the next version
	seenAt         fleet.Time // when the detector first saw this version
	directive      *fleet.Directive
	tenant         *fleet.Tenant
	lease          *fleet.QuotaLease
	applied        fleet.AppliedItem // for all items except directives, which depend on the node
	appliesNothing bool              // a node applies nothing for this version
}

// entry is the history of one item.
type entry struct {
	key string
	// zone and observer are set for zone items only.
	zone     string
	observer string
	versions []version
}

func (e *entry) newest() *version { return &e.versions[len(e.versions)-1] }

// at returns the version at atRevision, or nil if it is unknown.
func (e *entry) at(atRevision uint64) *version {
	for i := len(e.versions) - 1; i >= 0; i-- {
		if v := &e.versions[i]; v.revision <= atRevision {
			if v.unknown || atRevision < v.certainFrom || i < len(e.versions)-1 && atRevision > v.knownUntil {
				return nil
			}
			return v
		}
	}
	return nil
}

// intentHistory is the detector's record of recent intent.
type intentHistory struct {
	revision            uint64 // revision of the intent
	newestRevision      uint64 // newest processed revision of the list or the intent
	generation          uint64 // increases with each change
	started             bool   // some intent has been processed
	entries             map[string]*entry
	zones               []*entry // sorted by zone and observer
	tenants             []*entry
	leases              map[string]*entry // by node
	servers             []*entry
	withoutList         bool
	newestFleetRevision uint64 // newest revision of a zone or tenant
	newestListRevision  uint64 // newest revision of a server

	listTrees map[uint64]*appliedList // by effective version of the list
}

// appliedList is the expected server list of one version, with its tree.
type appliedList struct {
	items []fleet.AppliedItem
	tree  *Tree
}

// ingest adds the current intent to the history. It skips items of known revisions. An item that can't be decoded is
// recorded as unknown, and the first such error is returned.
func (h *intentHistory) ingest(now fleet.Time, in Intended) error {
	newest := in.Revision // a change of the list alone leaves the intent's revision as it is
	for i := range in.Servers {
		newest = max(newest, in.Servers[i].Revision)
	}
	if h.started && newest == h.newestRevision && in.Revision == h.revision {
		return nil
	}
	if h.entries == nil {
		h.entries = map[string]*entry{}
		h.leases = map[string]*entry{}
		h.listTrees = map[uint64]*appliedList{}
	}
	h.generation++
	h.withoutList = in.Servers == nil
	var firstErr error
	seen := make(map[string]bool, len(in.Items)+len(in.Servers))
	for i := range in.Items {
		it := &in.Items[i]
		seen[it.Key] = true
		if e := h.entries[it.Key]; e != nil && e.newest().revision >= it.Revision {
			continue
		}
		v, err := decodeItem(it)
		if err != nil && firstErr == nil {
			firstErr = err
		}
		v.seenAt = now
		h.add(it.Key, v)
	}
	for i := range in.Servers {
		s := &in.Servers[i]
		key := fleet.KeyServer + s.ID
		seen[key] = true
		if e := h.entries[key]; e != nil && e.newest().revision >= s.Revision {
			continue
		}
		v := version{revision: s.Revision, removed: s.Removed, seenAt: now}
		if !s.Removed {
			h, _, err := AppliedItemOf(key, s.Body)
			if v.applied = h; err != nil {
				v.unknown = true
			}
		}
		h.add(key, v)
	}
	for key, e := range h.entries {
		switch {
		case seen[key] || h.withoutList && isList(key):
		case !e.newest().removed: // removed without a record, at some revision since the last call
			h.add(key, version{revision: h.newestRevision + 1, certainFrom: newest, removed: true, seenAt: now})
		case e.newest().revision+removedItemRevisions < newest:
			h.remove(e)
		}
	}
	h.revision = in.Revision
	h.newestRevision = newest
	h.started = true
	return firstErr
}

// newerThanLeader reports which version of a report is newer than the detector's history: "revision", "list", or "" for
// neither. That is normal for a short time, because nodes get updates from any replica while the detector reads the
// intent periodically.
func (h *intentHistory) newerThanLeader(r *fleet.Report) string {
	switch {
	case r.Revision > h.revision:
		return "revision"
	case !h.withoutList && r.AppliedListVersion > h.newestRevision:
		return "list"
	}
	return ""
}

// add records a version. The state of an item before the detector's first intent is unknown; an item that appears later
// didn't exist before.
func (h *intentHistory) add(key string, v version) {
	e := h.entries[key]
	if e == nil {
		e = &entry{key: key, versions: []version{{unknown: !h.started, removed: true}}}
		h.entries[key] = e
		kind, name, _ := strings.Cut(key, "/")
		switch kind {
		case "zone":
			e.zone, e.observer, _ = strings.Cut(name, "@")
			h.zones = insertSorted(h.zones, e)
		case "tenant":
			h.tenants = insertSorted(h.tenants, e)
		case "share":
			h.leases[name] = e
		case "server":
			h.servers = insertSorted(h.servers, e)
		}
	}
	e.newest().knownUntil = h.newestRevision
	e.versions = append(e.versions, v)
	if over := len(e.versions) - maxVersions; over > 0 { // the state before the first remembered version is unknown
		e.versions = slices.Delete(e.versions, 0, over)
	}
	switch {
	case isList(key):
		h.newestListRevision = max(h.newestListRevision, v.revision)
		clear(h.listTrees)
	case !strings.HasPrefix(key, "share/"):
		h.newestFleetRevision = max(h.newestFleetRevision, v.revision)
	}
}

func (h *intentHistory) remove(e *entry) {
	delete(h.entries, e.key)
	isEntry := func(o *entry) bool { return o == e }
	h.zones = slices.DeleteFunc(h.zones, isEntry)
	h.tenants = slices.DeleteFunc(h.tenants, isEntry)
	h.servers = slices.DeleteFunc(h.servers, isEntry)
	maps.DeleteFunc(h.leases, func(_ string, o *entry) bool { return o == e })
}

// insertSorted inserts an entry in the order of zones, observers and keys, so that the entries of a zone are adjacent.
func insertSorted(in []*entry, e *entry) []*entry {
	i, _ := slices.BinarySearchFunc(in, e, func(a, b *entry) int {
		return cmp.Or(strings.Compare(a.zone, b.zone), strings.Compare(a.observer, b.observer), strings.Compare(a.key, b.key))
	})
	return slices.Insert(in, i, e)
}

// decodeItem decodes an item's body. Nodes apply nothing for an item of an unknown kind.
func decodeItem(it *fleet.Item) (version, error) {
	v := version{revision: it.Revision, removed: it.Removed}
	if it.Removed {
		return v, nil
	}
	if err := it.Check(); err != nil {
		v.unknown = true
		return v, err
	}
	var err error
	var isApplied bool
	switch kind, _, _ := strings.Cut(it.Key, "/"); kind {
	case "zone":
		err = json.Unmarshal(it.Body, &v.directive)
	case "tenant":
		if err = json.Unmarshal(it.Body, &v.tenant); err == nil {
			v.applied, isApplied, err = AppliedItemOf(it.Key, fleet.AppliedTenantOf(it.Revision, *v.tenant))
			v.appliesNothing = !isApplied
		}
	case "share":
		if err = json.Unmarshal(it.Body, &v.lease); err == nil {
			v.applied, isApplied, err = AppliedItemOf(fleet.KeyLease, fleet.AppliedLeaseOf(*v.lease))
			v.appliesNothing = !isApplied || v.lease.Rates == nil
		}
	default:
		v.appliesNothing = true
	}
	if err != nil {
		v.unknown = true
		return v, fmt.Errorf("%s: %w", it.Key, err)
	}
	return v, nil
}
