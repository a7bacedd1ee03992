package fleet

import (
	"cmp"
	"slices"
)

// Bodies of AppliedItem: what a node's module says it holds, as the node has it applied (docs/drift.md, "What is held").
// Their canonical form (drift.Canonical) leaves out every member at its zero value, sorts names and writes numbers
// in one way: so a type of another package with the same JSON names has the same digest. No body carries a
// time or an age: the same content is the same body whenever it is read.

// Keys of AppliedItem. A zone's, tenant's, server's or ban's name follows the slash.
const (
	KeyZone      = "zone/"
	KeyTenant    = "tenant/"
	KeyServer    = "server/" // the id that discovery gives
	KeyExclusion = "ban/"    // the same ids
	KeyLease     = "share"
	KeySettings  = "settings"
)

// AppliedZone is the body of "zone/Y": the directive that holds at this node, as it was delivered. Nothing is held for a
// zone that is served as ever.
type AppliedZone struct {
	Revision uint64  `json:"rev"` // of the item delivered
	Share    float64 `json:"share"`
	Floor    float64 `json:"floor"`
	Rate     float64 `json:"rate"`  // requests/s that this node may send to each server; 0: no limit
	Trial    bool    `json:"trial"` // this node sends trial requests to the zone
	ValidMS  int64   `json:"valid_ms"`
}

// AppliedTenant is the body of "tenant/NAME". What is staged is not in it: its acknowledgement is TenantAck's.
type AppliedTenant struct {
	UID            uint64        `json:"uid"`
	Revision       uint64        `json:"rev"` // of the item delivered
	Committed      *AppliedRules `json:"committed"`
	Removing       bool          `json:"removing"`
	QuotaWithdrawn bool          `json:"quota_gone"`
}

// AppliedRules are the rules of the committed generation, as the module decides by them.
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

// AppliedLease is the body of "share": the leases as last delivered, whether or not the lease still runs. Nothing is
// held before the first is delivered, and where its rates are null.
type AppliedLease struct {
	Epoch uint64             `json:"epoch"`
	Slots int                `json:"slots"`
	Rates map[string]float64 `json:"rates"` // by tenant, requests/s
}

// AppliedServer is the body of "server/ID": an entry of the list in use. An entry that is removed is not held.
type AppliedServer struct {
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Cell   int     `json:"cell"`
	State  string  `json:"state"` // ready, draining
	Weight float64 `json:"size"`  // discovery's weight
}

// AppliedExclusion is the body of "ban/ID": an app server that the operators have taken out at this node. Who and since when
// are AppliedItem's ChangedBy and SinceMS: they are the node's to add, as the module does not know them.
type AppliedExclusion struct {
	Excluded bool `json:"out"` // always true
}

// AppliedSettings is the body of "settings": the settings that matter to what is decided, durations in ms. What differs
// from node to node by design (its number, its zone, its paths) is not in it.
type AppliedSettings struct {
	Nodes                int                `json:"nodes"`
	Classes              []AppliedClass     `json:"classes"` // by name
	Tenants              map[string]float64 `json:"tenants"` // quotas that the settings name, requests/s
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

// AppliedClass is one class of the settings.
type AppliedClass struct {
	Name               string  `json:"name"`
	PriorityWeight     float64 `json:"worth"`
	LatencyObjectiveMS float64 `json:"aim_ms"`
	DeadlineMS         float64 `json:"deadline_ms"`
	LateWeight         float64 `json:"late_worth"`
	Idempotency        int     `json:"effect"` // policy.Idempotency: 0 non-idempotent, 1 idempotent by key, 2 idempotent
}

// AppliedZoneOf is the directive as the node has it applied. The node tells its module by it, and drift compares with it.
func AppliedZoneOf(rev uint64, d Directive, node string) AppliedZone {
	h := AppliedZone{Revision: rev, Share: d.Share, Floor: d.Floor, ValidMS: d.ValidMS, Trial: slices.Contains(d.TrialNodes, node)}
	if d.Budget > 0 {
		h.Rate = d.Budget / float64(max(d.Slots, 1))
	}
	return h
}

// IsNarrower says which of two directives on a zone holds at a node of an observing zone: one for every node ("zone/Y"),
// one for its zone alone ("zone/Y@X"). The smaller share holds, then the smaller floor, then the one for every node.
// It is true for the one of the observing zone.
func IsNarrower(every, own Directive) bool {
	return cmp.Or(cmp.Compare(own.Share, every.Share), cmp.Compare(own.Floor, every.Floor)) < 0
}

// AppliedTenantOf is the tenant as the node has it applied.
func AppliedTenantOf(rev uint64, t Tenant) AppliedTenant {
	h := AppliedTenant{UID: t.UID, Revision: rev, Removing: t.Removing, QuotaWithdrawn: t.QuotaWithdrawn}
	if g := t.Committed; g != nil {
		h.Committed = &AppliedRules{
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
	return h
}

// AppliedLeaseOf is the node's leases as the node has it applied.
func AppliedLeaseOf(s QuotaLease) AppliedLease {
	return AppliedLease{Epoch: s.Epoch, Slots: s.Slots, Rates: s.Rates}
}
