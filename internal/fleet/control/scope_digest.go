package control

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/tenants"
)

// present returns the present members with their scopes.
func (s *State) present() tenants.Present {
	return tenants.Present{Epoch: s.Session.ScopeEpoch, Members: s.Session.List(), Services: s.Session.ServicesByNode()}
}

// ScopeDigest returns a digest of everything that a run with these services must hold before it may be present: the committed
// generations of its scope, and its node's quota lease. A join carries the digest, so that the join is rejected if any of this has
// changed since the run was checked. The cost is proportional to the size of the scope. Without services it is the digest that
// joins carried before there were scopes.
func (s *State) ScopeDigest(node string, services []string) uint64 {
	var names []string
	for name := range s.Tenants.InScope(services) {
		names = append(names, name)
	}
	slices.Sort(names)
	digest := xxhash.New()
	var line []byte
	for _, name := range names {
		line = appendTenantDigest(line[:0], name, s.Tenants.Tenants[name])
		digest.Write(line)
	}
	digest.Write(append(strconv.AppendUint(line[:0], s.leaseRevision(node), 10), '\n'))
	return digest.Sum64()
}

// appendTenantDigest appends a tenant's line of the digest: name, UID, generation, and how far its removal has come.
func appendTenantDigest(line []byte, name string, e *tenants.Entry) []byte {
	generation := uint64(0)
	if e.Committed != nil {
		generation = e.Committed.Number
	}
	line = strconv.AppendQuote(line, name)
	line = strconv.AppendUint(append(line, ' '), e.UID, 10)
	line = strconv.AppendUint(append(line, ' '), generation, 10)
	line = strconv.AppendBool(append(line, ' '), e.Removing)
	line = strconv.AppendBool(append(line, ' '), e.QuotaWithdrawn)
	return append(line, '\n')
}

// MayJoin reports whether a run with this report may be present: either it holds nothing yet, so that it is counted before it
// learns of any quota, or it has caught up.
func (s *State) MayJoin(r fleet.Report) bool {
	acked := slices.ContainsFunc(r.Tenants, func(a fleet.TenantAck) bool { return a.UID != 0 })
	return r.Revision == 0 && !acked || s.CaughtUp(r)
}

// CaughtUp reports whether a run with this report may begin to serve: it holds what is committed in its scope, nothing outside of
// it, and the present version of its node's quota lease, so that renewing the session never makes an older quota lease valid again.
func (s *State) CaughtUp(r fleet.Report) bool {
	if r.Revision < s.Floor || r.Revision < s.leaseRevision(r.Node) {
		return false
	}
	for _, e := range s.Tenants.InScope(r.Services) {
		if (e.Removing || e.QuotaWithdrawn) && r.Revision < e.Revision {
			return false
		}
	}
	return tenants.CaughtUp(&s.Tenants, r)
}
