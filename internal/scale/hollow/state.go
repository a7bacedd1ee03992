package hollow

import (
	"encoding/json"
	"sync"
	"sync/atomic"

	"meadowsill/internal/fleet"
)

// fleetState is the state that the nodes of a process share: what they have learned about the fleet, and the process's counters.
type fleetState struct {
	sockets   *sockets
	newest    atomic.Uint64 // newest revision of the intent that a node has
	copyBytes atomic.Uint64 // bytes that nodes which have been stopped wrote to their durable copies

	mu       sync.Mutex
	services map[string]string // keyed by tenant; only tenants that have a service
}

func newFleetState() *fleetState {
	return &fleetState{sockets: newSockets(), services: map[string]string{}}
}

// recordRevision raises newest to a revision that a node has.
func (s *fleetState) recordRevision(revision uint64) {
	for {
		newest := s.newest.Load()
		if revision <= newest || s.newest.CompareAndSwap(newest, revision) {
			return
		}
	}
}

// recordTenantService records the service of a tenant, read from the body of the tenant's intent item.
func (s *fleetState) recordTenantService(name string, body json.RawMessage) {
	var tenant fleet.Tenant
	if json.Unmarshal(body, &tenant) != nil {
		return
	}
	for _, generation := range []*fleet.Generation{tenant.Committed, tenant.Staged} {
		if generation != nil {
			s.setService(name, generation.Spec.Service)
			return
		}
	}
}

func (s *fleetState) setService(tenant, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if service == "" {
		delete(s.services, tenant)
		return
	}
	s.services[tenant] = service
}

// serviceOf returns the last known service of a tenant, "" if it has none.
func (s *fleetState) serviceOf(tenant string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.services[tenant]
}
