package drift

import "meadowsill/internal/fleet"

// serves reports whether a node with these services holds this version of a tenant.
func (v *version) serves(services []string) bool {
	return fleet.Serves(services, v.tenant.Service())
}

// outsideScope reports whether a node with these services applies nothing for a tenant's item at atRevision: the version
// at that revision belongs to a service outside the node's scope, or every remembered version does.
func (e *entry) outsideScope(atRevision uint64, services []string) bool {
	if len(services) == 0 {
		return false
	}
	if v := e.at(atRevision); v != nil {
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

// changedAfter reports whether a tenant's item changed after afterRevision in a way that a node with these services is
// notified of: to a tenant of its scope, or from one. If the item is only known to be removed, its service is unknown
// and the result is true.
func (e *entry) changedAfter(afterRevision uint64, services []string) bool {
	var before *version // the newest version so far that has a tenant
	for i := range e.versions {
		v := &e.versions[i]
		unknown := v.tenant == nil && before == nil
		if v.revision > afterRevision && (unknown || v.tenant != nil && v.serves(services) || before != nil && before.serves(services)) {
			return true
		}
		if v.tenant != nil {
			before = v
		}
	}
	return false
}
