package session

import (
	"fmt"
	"slices"

	"meadowsill/internal/fleet"
)

// maxServiceEpochs is the maximum number of services whose epochs are remembered one by one.
const maxServiceEpochs = 4096

// Scopes is what the state keeps about scopes once a run with a scope has joined. Until then State has no Scopes, and the epoch of
// every scope is the fleet's.
type Scopes struct {
	Services map[string][]string `json:"services,omitempty"` // of the present members that have a scope, by node
	Epochs   map[string]uint64   `json:"epochs,omitempty"`   // by service: the epoch of the last change of a member whose scope names the service
	Unscoped uint64              `json:"everyone,omitempty"` // the epoch of the last change of a member without a scope, which serves every service
}

// ScopeEpoch returns the epoch of a service's scope: the fleet's epoch at the last join, leave or lapse of a member that serves
// the service. For the service "" it returns the epoch of the whole fleet.
func (s *State) ScopeEpoch(service string) uint64 {
	if service == "" || s.Scopes == nil {
		return s.Epoch
	}
	return max(s.Scopes.Unscoped, s.Scopes.Epochs[service])
}

// Services returns the services of a present member's scope; none: it serves every service.
func (s *State) Services(node string) []string { return s.ServicesByNode()[node] }

// ServicesByNode returns the scopes of the present members that have one. The caller must not change them.
func (s *State) ServicesByNode() map[string][]string {
	if s.Scopes == nil {
		return nil
	}
	return s.Scopes.Services
}

// CheckScope reports whether services may be the scope of m: they must be valid, and if exactly this run is present, they must be
// the scope that it joined with. The error wraps fleet.ErrInvalid.
func (s *State) CheckScope(m fleet.Member, services []string) error {
	if err := fleet.ValidScope(services); err != nil {
		return err
	}
	if joined := s.Services(m.Node); s.Present(m) && !slices.Equal(joined, services) {
		return fmt.Errorf("%w: services: %s is present with other ones: %d, not these %d", fleet.ErrInvalid, m.Node, len(joined), len(services))
	}
	return nil
}

// advanceEpochs records that the present epoch began with a change of members that have these scopes.
func (s *State) advanceEpochs(changed ...[]string) {
	for _, services := range changed {
		if len(services) > 0 && s.Scopes == nil {
			s.Scopes = &Scopes{Unscoped: s.Epoch - 1}
		}
	}
	if s.Scopes == nil {
		return
	}
	for _, services := range changed {
		if len(services) == 0 {
			s.Scopes.Unscoped = s.Epoch
		}
		for _, service := range services {
			if s.Scopes.Epochs == nil {
				s.Scopes.Epochs = map[string]uint64{}
			}
			s.Scopes.Epochs[service] = s.Epoch
		}
	}
	if len(s.Scopes.Epochs) > maxServiceEpochs { // this only moves epochs forward: at worst a command is rejected as stale and decided again
		s.Scopes.Epochs, s.Scopes.Unscoped = nil, s.Epoch
	}
}

// setServices stores the scope of a member that has joined. For a member without a scope, or one that is no longer present, it
// removes what is stored.
func (s *State) setServices(node string, services []string) {
	switch {
	case s.Scopes == nil:
	case len(services) == 0:
		delete(s.Scopes.Services, node)
	default:
		if s.Scopes.Services == nil {
			s.Scopes.Services = map[string][]string{}
		}
		s.Scopes.Services[node] = services
	}
}
