package fleet

import (
	"fmt"
	"slices"
)

// Limits on a scope.
const (
	MaxServiceNameBytes = 64  // bytes of a service's name
	MaxScopeServices    = 128 // services of one node
)

// Serves reports whether a node whose scope is services holds the tenants of service. A node without a scope holds every
// tenant, and a tenant without a service is held by every node.
func Serves(services []string, service string) bool {
	return len(services) == 0 || service == "" || slices.Contains(services, service)
}

// Service is the tenant's: the same in all its generations. None: every node holds it.
func (t *Tenant) Service() string {
	switch {
	case t.Committed != nil:
		return t.Committed.Spec.Service
	case t.Staged != nil:
		return t.Staged.Spec.Service
	}
	return ""
}

// ValidScope checks the services that a node names: sorted, each once, within the limits. The error wraps ErrInvalid.
func ValidScope(services []string) error {
	if len(services) > MaxScopeServices {
		return fmt.Errorf("%w: services: %d, at most %d", ErrInvalid, len(services), MaxScopeServices)
	}
	for i, service := range services {
		if service == "" || len(service) > MaxServiceNameBytes {
			return fmt.Errorf("%w: services: name %.70q: 1 to %d bytes", ErrInvalid, service, MaxServiceNameBytes)
		}
		if i > 0 && services[i-1] >= service {
			return fmt.Errorf("%w: services: %q is not in order, or named twice", ErrInvalid, service)
		}
	}
	return nil
}
