package hollow

import (
	"encoding/json"
	"sync"
	"sync/atomic"

	"meadowsill/internal/fleet"
)

// fleetState is what the nodes of a process have seen of the fleet together, and the process's counts.
type fleetState struct {
	sockets   *sockets
	newest    atomic.Uint64 // revision of the intent
	copyBytes atomic.Uint64 // written to the durable copies of runs that have ended

	mu       sync.Mutex
	services map[string]string // by tenant, where it has one
}

func newFleetState() *fleetState {
	return &fleetState{sockets: newSockets(), services: map[string]string{}}
}

// sawRevision notes a revision that a node has.
func (s *fleetState) recordRevision(revision uint64) {
	for {
		newest := s.newest.Load()
		if revision <= newest || s.newest.CompareAndSwap(newest, revision) {
			return
		}
	}
}

// sawTenant notes a tenant's service, by the body of its item.
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

// serviceOf is a tenant's service, as last seen.
func (s *fleetState) serviceOf(tenant string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.services[tenant]
}
