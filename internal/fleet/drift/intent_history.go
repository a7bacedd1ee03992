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

// Intended is all that the control plane intends at a revision. Items are every item there is, and the removed ones
// that the replica still knows of, each with its revision (without those, what is removed is evaluated a little later). Servers is the list under the same revisions, removed
// entries too; nil where the nodes' list is not the control plane's: then no list is compared.
type Intended struct {
	Revision  uint64
	Items     []fleet.Item
	Servers   []ListedServer
	LateSteps map[string][]Difference // by present node: what it holds up, a rollout's step, past its bound
}

// ListedServer is an entry of the server list.
type ListedServer struct {
	ID       string
	Revision uint64
	Removed  bool
	Body     fleet.AppliedServer
}

// Expect returns what a node's module holds once it has taken all of in, in key order, with bodies; local items are
// not among them. services are the node's scope; none: every tenant. An error is an item whose body can't be read: nothing
// can be said of that item.
func Expect(in Intended, m fleet.Member, services ...string) ([]fleet.AppliedItem, error) {
	var b intentHistory
	err := b.ingest(0, in)
	list := b.list(b.newestRevision)
	applied, _ := b.expect(in.Revision, m, services)
	applied = append(applied, list...)
	slices.SortFunc(applied, func(a, b fleet.AppliedItem) int { return strings.Compare(a.Key, b.Key) })
	return applied, err
}

// removedItemRevisions is for how many revisions an item that is removed and no longer listed is remembered.
const removedItemRevisions = 1000

// maxVersions is how many versions of an item are remembered, for nodes that are a little behind.
const maxVersions = 8

// version is an item as it was from a revision on.
type version struct {
	revision       uint64
	sureFrom       uint64 // from rev to here it may have held already or not
	knownUntil     uint64 // it is known to have held up to this revision; what came then may not have been seen
	removed        bool
	unknown        bool       // nothing is known of it before the next version
	seenAt         fleet.Time // when the detector first saw it
	directive      *fleet.Directive
	tenant         *fleet.Tenant
	lease          *fleet.QuotaLease
	applied        fleet.AppliedItem // of all but directives, which depend on the node
	appliesNothing bool              // nothing is held for it
}

type entry struct {
	key string
	// of zone items
	zone     string
	observer string
	versions []version
}

func (e *entry) newest() *version { return &e.versions[len(e.versions)-1] }

// at returns the version that held at revision n; nil where that is not known.
func (e *entry) at(n uint64) *version {
	for i := len(e.versions) - 1; i >= 0; i-- {
		if v := &e.versions[i]; v.revision <= n {
			if v.unknown || n < v.sureFrom || i < len(e.versions)-1 && n > v.knownUntil {
				return nil
			}
			return v
		}
	}
	return nil
}

// intentHistory is the detector's memory of what was intended of late.
type intentHistory struct {
	revision            uint64 // of the intent
	newestRevision      uint64 // newest revision taken in, the list's or the intent's
	generation          uint64 // counts changes
	started             bool   // something has been taken in
	entries             map[string]*entry
	zones               []*entry // by key
	tenants             []*entry
	leases              map[string]*entry // by node
	servers             []*entry
	withoutList         bool
	newestFleetRevision uint64 // newest revision of a zone or a tenant
	newestListRevision  uint64 // of a server

	listTrees map[uint64]*appliedList // by effective version of the list
}

type appliedList struct {
	items []fleet.AppliedItem
	tree  *Tree
}

// ingest takes in what is intended now. Items of a revision already known are left; one that can't be read counts
// as unknown, and the first such is the error.
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
	var failed error
	seen := make(map[string]bool, len(in.Items)+len(in.Servers))
	for i := range in.Items {
		it := &in.Items[i]
		seen[it.Key] = true
		if e := h.entries[it.Key]; e != nil && e.newest().revision >= it.Revision {
			continue
		}
		v, err := readItem(it)
		if err != nil && failed == nil {
			failed = err
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
		case !e.newest().removed: // without notice: at some revision since the last
			h.add(key, version{revision: h.newestRevision + 1, sureFrom: newest, removed: true, seenAt: now})
		case e.newest().revision+removedItemRevisions < newest:
			h.remove(e)
		}
	}
	h.revision = in.Revision
	h.newestRevision = newest
	h.started = true
	return failed
}

// newerThanLeader says which of a report's two versions is newer than all that the detector has taken in, as the detector looks now and then
// and nodes hear from any replica: "revision", "list" or "" for neither.
func (h *intentHistory) newerThanLeader(r *fleet.Report) string {
	switch {
	case r.Revision > h.revision:
		return "revision"
	case !h.withoutList && r.List > h.newestRevision:
		return "list"
	}
	return ""
}

// add puts a version on record. What an item was before the detector first heard of anything is unknown; one that
// appears later was not there.
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
	if over := len(e.versions) - maxVersions; over > 0 { // what was before the first kept is not known
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
	is := func(o *entry) bool { return o == e }
	h.zones = slices.DeleteFunc(h.zones, is)
	h.tenants = slices.DeleteFunc(h.tenants, is)
	h.servers = slices.DeleteFunc(h.servers, is)
	maps.DeleteFunc(h.leases, func(_ string, o *entry) bool { return o == e })
}

// insertSorted keeps entries in the order of their zones and observers, then of their keys: a zone's are together.
func insertSorted(in []*entry, e *entry) []*entry {
	i, _ := slices.BinarySearchFunc(in, e, func(a, b *entry) int {
		return cmp.Or(strings.Compare(a.zone, b.zone), strings.Compare(a.observer, b.observer), strings.Compare(a.key, b.key))
	})
	return slices.Insert(in, i, e)
}

// readItem takes an item's body. One of a kind that is not known here holds nothing at a node.
func readItem(it *fleet.Item) (version, error) {
	v := version{revision: it.Revision, removed: it.Removed}
	if it.Removed {
		return v, nil
	}
	if err := it.Check(); err != nil {
		v.unknown = true
		return v, err
	}
	var err error
	var held bool
	switch kind, _, _ := strings.Cut(it.Key, "/"); kind {
	case "zone":
		err = json.Unmarshal(it.Body, &v.directive)
	case "tenant":
		if err = json.Unmarshal(it.Body, &v.tenant); err == nil {
			v.applied, held, err = AppliedItemOf(it.Key, fleet.AppliedTenantOf(it.Revision, *v.tenant))
			v.appliesNothing = !held
		}
	case "share":
		if err = json.Unmarshal(it.Body, &v.lease); err == nil {
			v.applied, held, err = AppliedItemOf(fleet.KeyLease, fleet.AppliedLeaseOf(*v.lease))
			v.appliesNothing = !held || v.lease.Rates == nil
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
