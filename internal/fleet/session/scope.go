package session

import (
	"fmt"
	"slices"

	"meadowsill/internal/fleet"
)

// maxServiceEpochs bounds the services whose epochs are remembered one by one.
const maxServiceEpochs = 4096

// Scopes is what the state keeps once a run with a scope has joined. Without one there is none, and the epoch of every
// scope is the fleet's.
type Scopes struct {
	Services map[string][]string `json:"services,omitempty"` // of the present members that have a scope, by node
	Epochs   map[string]uint64   `json:"epochs,omitempty"`   // by service: the last change of a member whose scope names it
	Unscoped uint64              `json:"everyone,omitempty"` // the last change of a member without a scope, which serves every service
}

// ScopeEpoch is the epoch of a service's scope: the fleet's at the last join, leave or lapse of a member that serves it. The
// scope of no service is the whole fleet.
func (s *State) ScopeEpoch(service string) uint64 {
	if service == "" || s.Scopes == nil {
		return s.Epoch
	}
	return max(s.Scopes.Unscoped, s.Scopes.Epochs[service])
}

// Services are those of a present member's scope; none: it serves every service.
func (s *State) Services(node string) []string { return s.ServicesByNode()[node] }

// ServicesByNode are the scopes of the present members that have one. They are not to be changed.
func (s *State) ServicesByNode() map[string][]string {
	if s.Scopes == nil {
		return nil
	}
	return s.Scopes.Services
}

// CheckScope reports whether services may be the scope of m: valid, and where this very run is present, the scope that it
// joined with. The error is fleet.ErrInvalid.
func (s *State) CheckScope(m fleet.Member, services []string) error {
	if err := fleet.ValidScope(services); err != nil {
		return err
	}
	if joined := s.Services(m.Node); s.Present(m) && !slices.Equal(joined, services) {
		return fmt.Errorf("%w: services: %s is present with other ones: %d, not these %d", fleet.ErrInvalid, m.Node, len(joined), len(services))
	}
	return nil
}

// advanceEpochs notes that the present epoch began with a change of members with these scopes.
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
	if len(s.Scopes.Epochs) > maxServiceEpochs { // an epoch only moves forward: at worst a command is decided anew
		s.Scopes.Epochs, s.Scopes.Unscoped = nil, s.Epoch
	}
}

// rememberServices keeps the scope of a member that has joined; of one without, and of one that is no longer present, nothing is kept.
func (s *State) rememberServices(node string, services []string) {
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
