package tenants

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"meadowsill/internal/fleet"
)

// Phases of a tenant's rollout or removal (docs/fleet.md, "Tenants").
const (
	PhaseNone           = "none"
	PhaseSettled        = "settled"
	PhaseStaging        = "staging"
	PhaseApplying       = "applying"
	PhaseRemoving       = "removing"
	PhaseQuotaWithdrawn = "unquoted"
)

// Phase returns the phase of the tenant with this name.
func (s *State) Phase(name string) string {
	switch e := s.Tenants[name]; {
	case e == nil:
		return PhaseNone
	case e.QuotaWithdrawn:
		return PhaseQuotaWithdrawn
	case e.Removing:
		return PhaseRemoving
	case e.Staged != nil:
		return PhaseStaging
	case e.Applying:
		return PhaseApplying
	}
	return PhaseSettled
}

// Tenant returns a tenant as the fleet intends it. If no tenant has this name, the error wraps fleet.ErrNotFound and
// includes the reason if its last rollout was rolled back.
func (s *State) Tenant(name string) (fleet.Tenant, error) {
	if e := s.Tenants[name]; e != nil {
		return e.Tenant, nil
	}
	return fleet.Tenant{}, s.notFound(name)
}

// Items returns every item in the order of the keys: tenants and quota leases, and as Removed the items that have a
// tombstone. A reader of changes takes the items whose Revision is after its own; if its own revision is before Compacted,
// the reader takes all items that are not Removed.
func (s *State) Items() []fleet.Item { return s.items("") }

// ItemsFor returns the items for one node: those that Items returns, without the quota leases of other nodes.
func (s *State) ItemsFor(node string) []fleet.Item { return s.items(node) }

// Compacted returns the revision up to which removals may be missing, because their tombstones were dropped.
func (s *State) Compacted() uint64 { return s.Floor }

// Item returns the item with a key: the present one, or one marked Removed if there is a tombstone; false if there is neither.
func (s *State) Item(key string) (fleet.Item, bool) {
	if name, ok := strings.CutPrefix(key, keyTenant); ok && s.Tenants[name] != nil {
		e := s.Tenants[name]
		return item(key, e.Revision, e.Tenant), true
	}
	if node, ok := strings.CutPrefix(key, keyLease); ok && s.Runs[node] != nil {
		l := s.Runs[node]
		rates := l.Rates
		if rates == nil { // a restored snapshot has nil here; the bytes of the item must be the same on every replica
			rates = map[string]float64{}
		}
		return item(key, l.Revision, fleet.QuotaLease{Epoch: l.Division, Incarnation: l.Incarnation, Slots: s.Slots, Rates: rates}), true
	}
	for _, t := range s.Tombstones {
		if t.Key == key {
			return fleet.Item{Key: key, Revision: t.Revision, Removed: true}, true
		}
	}
	return fleet.Item{}, false
}

func item(key string, rev uint64, body any) fleet.Item {
	raw, _ := json.Marshal(body) // marshalling can't fail: Validate and divide allow only finite numbers
	return fleet.Item{Key: key, Revision: rev, Body: raw}
}

func (s *State) items(node string) []fleet.Item {
	var keys []string
	for name := range s.Tenants {
		keys = append(keys, keyTenant+name)
	}
	for n := range s.Runs {
		keys = append(keys, keyLease+n)
	}
	for _, t := range s.Tombstones {
		keys = append(keys, t.Key)
	}
	slices.Sort(keys)
	var out []fleet.Item
	for _, k := range keys {
		if n, isLease := strings.CutPrefix(k, keyLease); isLease && node != "" && node != n {
			continue
		}
		it, _ := s.Item(k)
		out = append(out, it)
	}
	return out
}

// notFound returns the error for a name that has no tenant, with the reason if its last rollout was rolled back.
func (s *State) notFound(name string) error {
	for _, t := range s.Tombstones {
		if t.Key == keyTenant+name && t.RolledBack != "" {
			return fmt.Errorf("%w: tenant %q: rolled back: %s", fleet.ErrNotFound, name, t.RolledBack)
		}
	}
	return fmt.Errorf("%w: tenant %q", fleet.ErrNotFound, name)
}
