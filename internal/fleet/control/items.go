package control

import (
	"slices"
	"strings"

	"meadowsill/internal/fleet"
	"meadowsill/internal/registry/index"
)

// Prefixes of items' keys.
const (
	tenantPrefix = "tenant/"
	leasePrefix  = "share/"
)

// Scopes of the intent. An item is in one of the first kind or in one of a service or node; what is in one of those is also
// in the scope of all services, or of all nodes, for readers that name none.
const (
	scopeEveryone    index.Scope = "everyone"     // zones, and tenants without a service: every node holds them
	scopeAllServices index.Scope = "all services" // every tenant that has a service
	scopeAllNodes    index.Scope = "all nodes"    // every share
)

func serviceScope(service string) index.Scope { return index.Scope("service/" + service) }

func nodeScope(node string) index.Scope { return index.Scope("node/" + node) }

// ReaderScopes returns the scopes that a reader of the intent hears: with no services those of every service, with no node
// the shares of every node.
func ReaderScopes(node string, services ...string) []index.Scope {
	scopes := []index.Scope{scopeEveryone}
	if len(services) == 0 {
		scopes = append(scopes, scopeAllServices)
	}
	for _, service := range services {
		scopes = append(scopes, serviceScope(service))
	}
	if node == "" {
		return append(scopes, scopeAllNodes)
	}
	return append(scopes, nodeScope(node))
}

// itemScopes returns the scopes that an item is in.
func itemScopes(key, service string) []index.Scope {
	if node, ok := strings.CutPrefix(key, leasePrefix); ok {
		return []index.Scope{nodeScope(node), scopeAllNodes}
	}
	if service != "" {
		return []index.Scope{serviceScope(service), scopeAllServices}
	}
	return []index.Scope{scopeEveryone}
}

// scopedItem is an item as it is indexed. Service is the tenant's, "" for other items.
type scopedItem struct {
	fleet.Item
	Service string
}

// Tombstone remembers that an item is removed, and for a tenant of which service it was: a name that is used again in another
// service is removed for the nodes of the first. Builds before services wrote none: those tombstones count for every node.
type Tombstone struct {
	Key      string `json:"key"`
	Revision uint64 `json:"rev"`
	Service  string `json:"service,omitempty"`
}

func (t Tombstone) item() scopedItem {
	return scopedItem{Item: fleet.Item{Key: t.Key, Revision: t.Revision, Removed: true}, Service: t.Service}
}

// items indexes the intent's items and tombstones by scope and revision.
type items struct {
	index *index.Index[scopedItem]
	view  *View        // nil: the items have changed since the last
	all   []fleet.Item // of the view; nil: not requested yet
}

func newItems() items { return items{index: index.New[scopedItem]()} }

// put takes in an item, in its scopes, and gives these.
func (x *items) put(it scopedItem) []index.Scope {
	scopes := itemScopes(it.Key, it.Service)
	for _, scope := range scopes {
		x.index.Set(scope, it.Key, it.Revision, it)
	}
	x.view, x.all = nil, nil
	return scopes
}

// forget takes out a tombstone, where nothing newer is in its place.
func (x *items) forget(t Tombstone) {
	for _, scope := range itemScopes(t.Key, t.Service) {
		if entry := x.index.Get(scope, t.Key); entry != nil && entry.Revision == t.Revision && entry.Value.Removed {
			x.index.Remove(scope, t.Key)
		}
	}
	x.view, x.all = nil, nil
}

// newest returns the newest item or tombstone of a key.
func (x *items) newest(key string) (scopedItem, bool) {
	scopes := []index.Scope{scopeEveryone, scopeAllServices}
	if strings.HasPrefix(key, leasePrefix) {
		scopes = []index.Scope{scopeAllNodes}
	}
	var newest *index.Entry[scopedItem]
	for _, scope := range scopes {
		if entry := x.index.Get(scope, key); entry != nil && (newest == nil || entry.Revision > newest.Revision) {
			newest = entry
		}
	}
	if newest == nil {
		return scopedItem{}, false
	}
	return newest.Value, true
}

// reindex makes the index anew from the cores and the tombstones.
func (s *State) reindex() {
	s.items = newItems()
	for _, t := range s.Tombstones { // the oldest first, and before the items, which are newer than any of their key
		s.items.put(t.item())
	}
	for _, it := range s.Zones.Items() {
		s.items.put(scopedItem{Item: it})
	}
	for _, it := range s.Tenants.Items() {
		if !it.Removed {
			s.items.put(scopedItem{Item: it, Service: s.service(it.Key)})
		}
	}
}

// service is that of a tenant's item, "" where the item is of something else or the tenant has none.
func (s *State) service(key string) string {
	name, ok := strings.CutPrefix(key, tenantPrefix)
	e := s.Tenants.Tenants[name]
	if !ok || e == nil {
		return ""
	}
	return e.Service()
}

// intended returns the item of a key as the cores have it, if there is one.
func (s *State) intended(key string) (fleet.Item, bool) {
	if it, ok := s.Zones.Item(key); ok {
		return it, true
	}
	it, ok := s.Tenants.Item(key)
	return it, ok && !it.Removed
}

// refresh brings the item of a key that changed at rev up to date, or leaves a tombstone, and gives the scopes that changed.
func (s *State) refresh(key string, rev uint64) []index.Scope {
	if it, ok := s.intended(key); ok {
		service := s.service(key)
		s.Tombstones = without(s.Tombstones, key, service)
		return s.items.put(scopedItem{Item: it, Service: service})
	}
	was, _ := s.items.newest(key)
	s.Tombstones = without(s.Tombstones, key, was.Service)
	t := Tombstone{Key: key, Revision: rev, Service: was.Service}
	s.Tombstones = append(s.Tombstones, t)
	scopes := s.items.put(t.item())
	for len(s.Tombstones) > maxTombstones {
		s.Floor = s.Tombstones[0].Revision
		s.items.forget(s.Tombstones[0])
		s.Tombstones = s.Tombstones[1:]
	}
	return scopes
}

// without leaves out the tombstone of a key in a service.
func without(tombstones []Tombstone, key, service string) []Tombstone {
	for i, t := range tombstones {
		if t.Key == key && t.Service == service {
			return slices.Delete(slices.Clone(tombstones), i, i+1)
		}
	}
	return tombstones
}

// All returns every item and the tombstones kept, by key; of a key that was in several services the newest alone. It must not
// be changed.
func (s *State) All() []fleet.Item {
	if s.items.all == nil {
		s.items.all = s.View().read([]index.Scope{scopeEveryone, scopeAllServices, scopeAllNodes}, true, 0, true)
	}
	return s.items.all
}

// Item returns the newest item of a key, or its tombstone.
func (s *State) Item(key string) (fleet.Item, bool) {
	it, ok := s.items.newest(key)
	return it.Item, ok
}

// leaseRevision is the revision of a node's quota lease, or of its tombstone; 0 for neither.
func (s *State) leaseRevision(node string) uint64 {
	it, _ := s.items.newest(leasePrefix + node)
	return it.Revision
}
