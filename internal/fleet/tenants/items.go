package tenants

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"meadowsill/internal/fleet"
)

// Phases of a tenant (docs/fleet.md, "Tenants").
const (
	PhaseNone           = "none"
	PhaseSettled        = "settled"
	PhaseStaging        = "staging"
	PhaseApplying       = "applying"
	PhaseRemoving       = "removing"
	PhaseQuotaWithdrawn = "unquoted"
)

// Phase returns where a tenant is in its rollout or removal.
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

// Tenant returns a tenant as it is intended; fleet.ErrNotFound wrapped, with the reason of the rollback where there was
// one, for a name that has none.
func (s *State) Tenant(name string) (fleet.Tenant, error) {
	if e := s.Tenants[name]; e != nil {
		return e.Tenant, nil
	}
	return fleet.Tenant{}, s.notFound(name)
}

// Items returns every item, by key, in order: tenants and shares, and as Removed those whose tombstone is kept. A reader
// of changes takes those with Revision after its own, or all that are not Removed where its own is before Compacted.
func (s *State) Items() []fleet.Item { return s.items("") }

// ItemsFor returns the same for one node: every tenant, and no other node's quota lease.
func (s *State) ItemsFor(node string) []fleet.Item { return s.items(node) }

// Compacted is the revision up to which changes can no longer be read from the tombstones kept.
func (s *State) Compacted() uint64 { return s.Floor }

// Item returns one item by its key: live, or Removed where its tombstone is kept; false for neither.
func (s *State) Item(key string) (fleet.Item, bool) {
	if name, ok := strings.CutPrefix(key, keyTenant); ok && s.Tenants[name] != nil {
		e := s.Tenants[name]
		return item(key, e.Revision, e.Tenant), true
	}
	if node, ok := strings.CutPrefix(key, keyLease); ok && s.Runs[node] != nil {
		l := s.Runs[node]
		rates := l.Rates
		if rates == nil { // as after a restore: the item's bytes are the same on every replica
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
	raw, _ := json.Marshal(body) // finite numbers: Validate and divide see to it
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

// notFound is the error of a name that has no tenant, with why the last rollout under it was rolled back.
func (s *State) notFound(name string) error {
	for _, t := range s.Tombstones {
		if t.Key == keyTenant+name && t.RolledBack != "" {
			return fmt.Errorf("%w: tenant %q: rolled back: %s", fleet.ErrNotFound, name, t.RolledBack)
		}
	}
	return fmt.Errorf("%w: tenant %q", fleet.ErrNotFound, name)
}
