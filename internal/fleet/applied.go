package fleet

import (
	"cmp"
	"slices"
)

// The Applied types below are the bodies of AppliedItem: the state that a node's module has applied (docs/drift.md, "What
// is held"). Their canonical form (drift.Canonical) leaves out every member at its zero value, sorts names and writes each
// number in one way, so a type of another package with the same JSON names has the same digest. No body contains a time
// or an age, so the same content always gives the same body.

// Keys of AppliedItem. The name of the zone, tenant, server or excluded server follows the slash.
const (
	KeyZone      = "zone/"
	KeyTenant    = "tenant/"
	KeyServer    = "server/" // the id from discovery
	KeyExclusion = "ban/"    // the id from discovery
	KeyLease     = "share"
	KeySettings  = "settings"
)

// AppliedZone is the body of "zone/Y": the directive in force at this node, as it was delivered. A zone that is served
// normally has no body.
type AppliedZone struct {
	Revision uint64  `json:"rev"` // revision of the delivered item
	Share    float64 `json:"share"`
	Floor    float64 `json:"floor"`
	Rate     float64 `json:"rate"`  // requests/s that this node may send to each server; 0: no limit
	Trial    bool    `json:"trial"` // this node sends trial requests to the zone
	ValidMS  int64   `json:"valid_ms"`
}

// AppliedTenant is the body of "tenant/NAME". It doesn't include the staged generation, which TenantAck acknowledges.
type AppliedTenant struct {
	UID            uint64        `json:"uid"`
	Revision       uint64        `json:"rev"` // revision of the delivered item
	Committed      *AppliedRules `json:"committed"`
	Removing       bool          `json:"removing"`
	QuotaWithdrawn bool          `json:"quota_gone"`
}

// AppliedRules contains the rules of the committed generation that the module decides by.
type AppliedRules struct {
	Generation     uint64             `json:"generation"`
	Digest         string             `json:"digest"`
	Classes        []string           `json:"classes"`
	Rate           float64            `json:"rate"`  // over all nodes, requests/s
	Burst          float64            `json:"burst"` // over all nodes, requests
	ClassRates     map[string]float64 `json:"class_rates"`
	Routes         []Route            `json:"routes"` // in the order of the specification
	RejectUnrouted bool               `json:"refuse_else"`
}

// AppliedLease is the body of "share": the most recently delivered leases, including expired ones. There is no body
// before the first delivery, or if the delivered rates are null.
type AppliedLease struct {
	Epoch uint64             `json:"epoch"`
	Slots int                `json:"slots"`
	Rates map[string]float64 `json:"rates"` // by tenant, requests/s
}

// AppliedServer is the body of "server/ID": an entry of the server list in use. A removed entry has no body.
type AppliedServer struct {
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Cell   int     `json:"cell"`
	State  string  `json:"state"` // ready or draining
	Weight float64 `json:"size"`  // the weight from discovery
}

// AppliedExclusion is the body of "ban/ID": an app server that the operators have excluded at this node. The node adds
// who excluded the server and when, in AppliedItem's ChangedBy and SinceMS, because the module doesn't know them.
type AppliedExclusion struct {
	Excluded bool `json:"out"` // always true
}

// AppliedSettings is the body of "settings": the settings that affect decisions, with durations in ms. Settings that
// differ from node to node by design (number, zone, paths) are left out.
type AppliedSettings struct {
	Nodes                int                `json:"nodes"`
	Classes              []AppliedClass     `json:"classes"` // sorted by name
	Tenants              map[string]float64 `json:"tenants"` // quotas from the settings, requests/s
	MaxAttempts          int                `json:"max_attempts"`
	MayHedge             bool               `json:"may_overlap"`
	SendsRetryAfter      bool               `json:"hold_offs"`
	MaxRetryAfterMS      float64            `json:"max_hold_off_ms"`
	ConnectTimeoutMS     float64            `json:"connect_timeout_ms"`
	DrainGraceMS         float64            `json:"drain_grace_ms"`
	SlowStartMinCapacity float64            `json:"cold_from"`
	SlowStartWindowMS    float64            `json:"cold_time_ms"`
	OverloadFactor       float64            `json:"overload_factor"`
	OverloadDurationMS   float64            `json:"overload_time_ms"`
	OverQuotaWeight      float64            `json:"over_share_worth"`
	MaxOpenRequests      int                `json:"max_open"`
}

// AppliedClass is one request class of the settings.
type AppliedClass struct {
	Name               string  `json:"name"`
	PriorityWeight     float64 `json:"worth"`
	LatencyObjectiveMS float64 `json:"aim_ms"`
	DeadlineMS         float64 `json:"deadline_ms"`
	LateWeight         float64 `json:"late_worth"`
	Idempotency        int     `json:"effect"` // policy.Idempotency: 0 non-idempotent, 1 idempotent by key, 2 idempotent
}

// AppliedZoneOf returns the directive as a node applies it. The node uses it to update its module, and package drift to
// compute the expected state.
func AppliedZoneOf(rev uint64, d Directive, node string) AppliedZone {
	applied := AppliedZone{Revision: rev, Share: d.Share, Floor: d.Floor, ValidMS: d.ValidMS, Trial: slices.Contains(d.TrialNodes, node)}
	if d.Budget > 0 {
		applied.Rate = d.Budget / float64(max(d.Slots, 1))
	}
	return applied
}

// OwnTakesPrecedence reports whether own takes precedence over forAll at a node of the observing zone. forAll is the
// directive for all nodes ("zone/Y"), own the directive for the observing zone alone ("zone/Y@X"). The directive with
// the smaller share is in force, then the one with the smaller floor; on a tie forAll is in force.
func OwnTakesPrecedence(forAll, own Directive) bool {
	return cmp.Or(cmp.Compare(own.Share, forAll.Share), cmp.Compare(own.Floor, forAll.Floor)) < 0
}

// AppliedTenantOf returns the tenant as a node applies it.
func AppliedTenantOf(rev uint64, t Tenant) AppliedTenant {
	applied := AppliedTenant{UID: t.UID, Revision: rev, Removing: t.Removing, QuotaWithdrawn: t.QuotaWithdrawn}
	if g := t.Committed; g != nil {
		applied.Committed = &AppliedRules{
			Generation:     g.Number,
			Digest:         g.Digest,
			Classes:        g.Spec.Namespace.Classes,
			Rate:           g.Spec.Quota.Rate,
			Burst:          g.Spec.Quota.Burst,
			ClassRates:     g.Spec.Quota.Classes,
			Routes:         g.Spec.Routes,
			RejectUnrouted: g.Spec.Fallback == "refuse",
		}
	}
	return applied
}

// AppliedLeaseOf returns the leases as their node applies them.
func AppliedLeaseOf(lease QuotaLease) AppliedLease {
	return AppliedLease{Epoch: lease.Epoch, Slots: lease.Slots, Rates: lease.Rates}
}
