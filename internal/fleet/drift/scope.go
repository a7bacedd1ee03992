package drift

import "meadowsill/internal/fleet"

// serves reports whether a node of these services holds a version of a tenant.
func (v *version) serves(services []string) bool {
	return fleet.Serves(services, v.tenant.Service())
}

// outside reports that a node of these services holds nothing for a tenant's item at revision n: the version of then is of a
// service outside of its scope, or every version on record is.
func (e *entry) outside(n uint64, services []string) bool {
	if len(services) == 0 {
		return false
	}
	if v := e.at(n); v != nil {
		return v.tenant != nil && !v.serves(services)
	}
	known := false
	for i := range e.versions {
		if v := &e.versions[i]; v.tenant != nil {
			if v.serves(services) {
				return false
			}
			known = true
		}
	}
	return known
}

// movedAfter reports whether a tenant's item changed after revision n in a way that a node of these services is notified of: to a
// tenant of its scope, or from one. Of a name that is only known to be removed it is not known, and may be.
func (e *entry) movedAfter(n uint64, services []string) bool {
	var before *version // the newest of a tenant so far
	for i := range e.versions {
		v := &e.versions[i]
		unknown := v.tenant == nil && before == nil
		if v.revision > n && (unknown || v.tenant != nil && v.serves(services) || before != nil && before.serves(services)) {
			return true
		}
		if v.tenant != nil {
			before = v
		}
	}
	return false
}
