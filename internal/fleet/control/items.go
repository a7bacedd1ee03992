package control

import (
	"slices"
	"strings"

	"meadowsill/internal/fleet"
	"meadowsill/internal/registry/index"
)

// Prefixes of the keys of items.
const (
	tenantPrefix = "tenant/"
	leasePrefix  = "share/"
)

// Scopes of the intent. An item is either in scopeEveryone or in the scope of one service or one node. An item of a service or
// a node is also in scopeAllServices or scopeAllNodes, for readers that name no service or no node.
const (
	scopeEveryone    index.Scope = "everyone"     // zones, and tenants without a service: every node holds them
	scopeAllServices index.Scope = "all services" // every tenant that has a service
	scopeAllNodes    index.Scope = "all nodes"    // every quota lease
)

func serviceScope(service string) index.Scope { return index.Scope("service/" + service) }

func nodeScope(node string) index.Scope { return index.Scope("node/" + node) }

// ReaderScopes returns the scopes that a reader of the intent reads: without services those of every service, without a node
// the quota leases of every node.
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

// itemScopes returns the scopes that contain an item.
func itemScopes(key, service string) []index.Scope {
	if node, ok := strings.CutPrefix(key, leasePrefix); ok {
		return []index.Scope{nodeScope(node), scopeAllNodes}
	}
	if service != "" {
		return []index.Scope{serviceScope(service), scopeAllServices}
	}
	return []index.Scope{scopeEveryone}
}

// scopedItem is an item as it is indexed. Service is the service of a tenant's item, "" for other items.
type scopedItem struct {
	fleet.Item
	Service string
}

// Tombstone records that an item was removed and, for a tenant, the service that it belonged to: when the name is used again in
// another service, the nodes of the first service still have to remove it. Builds that knew no services wrote tombstones without
// a service; these apply to every node.
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
	view  *View        // nil: the items have changed since the last view
	all   []fleet.Item // all items of the view, for State.All; nil: not requested yet
}

func newItems() items { return items{index: index.New[scopedItem]()} }

// put indexes an item in its scopes and returns these scopes.
func (i *items) put(it scopedItem) []index.Scope {
	scopes := itemScopes(it.Key, it.Service)
	for _, scope := range scopes {
		i.index.Set(scope, it.Key, it.Revision, it)
	}
	i.view, i.all = nil, nil
	return scopes
}

// removeTombstone removes a tombstone from the index, unless something newer has replaced it.
func (i *items) removeTombstone(t Tombstone) {
	for _, scope := range itemScopes(t.Key, t.Service) {
		if entry := i.index.Get(scope, t.Key); entry != nil && entry.Revision == t.Revision && entry.Value.Removed {
			i.index.Remove(scope, t.Key)
		}
	}
	i.view, i.all = nil, nil
}

// newest returns the newest item or tombstone of a key.
func (i *items) newest(key string) (scopedItem, bool) {
	scopes := []index.Scope{scopeEveryone, scopeAllServices}
	if strings.HasPrefix(key, leasePrefix) {
		scopes = []index.Scope{scopeAllNodes}
	}
	var newest *index.Entry[scopedItem]
	for _, scope := range scopes {
		if entry := i.index.Get(scope, key); entry != nil && (newest == nil || entry.Revision > newest.Revision) {
			newest = entry
		}
	}
	if newest == nil {
		return scopedItem{}, false
	}
	return newest.Value, true
}

// reindex builds the index from the items of the cores and the tombstones.
func (s *State) reindex() {
	s.items = newItems()
	for _, t := range s.Tombstones { // oldest first, and before the items, which are newer than any tombstone of their key
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

// service returns the service of a tenant's item, "" where the item is not a tenant or the tenant has no service.
func (s *State) service(key string) string {
	name, ok := strings.CutPrefix(key, tenantPrefix)
	e := s.Tenants.Tenants[name]
	if !ok || e == nil {
		return ""
	}
	return e.Service()
}

// intended returns the item of a key as the cores have it, and whether there is one.
func (s *State) intended(key string) (fleet.Item, bool) {
	if it, ok := s.Zones.Item(key); ok {
		return it, true
	}
	it, ok := s.Tenants.Item(key)
	return it, ok && !it.Removed
}

// refresh indexes the present item of a key that changed at rev, or a tombstone where the item was removed, and returns the scopes
// that changed.
func (s *State) refresh(key string, rev uint64) []index.Scope {
	if it, ok := s.intended(key); ok {
		service := s.service(key)
		s.Tombstones = withoutTombstone(s.Tombstones, key, service)
		return s.items.put(scopedItem{Item: it, Service: service})
	}
	previous, _ := s.items.newest(key)
	s.Tombstones = withoutTombstone(s.Tombstones, key, previous.Service)
	t := Tombstone{Key: key, Revision: rev, Service: previous.Service}
	s.Tombstones = append(s.Tombstones, t)
	scopes := s.items.put(t.item())
	for len(s.Tombstones) > maxTombstones {
		s.Floor = s.Tombstones[0].Revision
		s.items.removeTombstone(s.Tombstones[0])
		s.Tombstones = s.Tombstones[1:]
	}
	return scopes
}

// withoutTombstone returns the tombstones without the one of a key in a service.
func withoutTombstone(tombstones []Tombstone, key, service string) []Tombstone {
	for i, t := range tombstones {
		if t.Key == key && t.Service == service {
			return slices.Delete(slices.Clone(tombstones), i, i+1)
		}
	}
	return tombstones
}

// All returns every item and every tombstone that is kept, by key; of a key that was in several services, only the newest. The
// caller must not change the result.
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

// leaseRevision returns the revision of a node's quota lease or of its tombstone, 0 where there is neither.
func (s *State) leaseRevision(node string) uint64 {
	it, _ := s.items.newest(leasePrefix + node)
	return it.Revision
}
