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

// Serves reports whether a node with the scope services holds the tenants of service. A node without a scope holds every
// tenant, and every node holds a tenant without a service.
func Serves(services []string, service string) bool {
	return len(services) == 0 || service == "" || slices.Contains(services, service)
}

// Service returns the tenant's service, which is the same in all its generations. If it is empty, every node holds the
// tenant.
func (t *Tenant) Service() string {
	switch {
	case t.Committed != nil:
		return t.Committed.Spec.Service
	case t.Staged != nil:
		return t.Staged.Spec.Service
	}
	return ""
}

// ValidScope checks the services of a node: they must be sorted, without duplicates and within the limits. The error
// wraps ErrInvalid.
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
