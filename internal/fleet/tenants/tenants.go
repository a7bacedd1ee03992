// Package tenants is the pure core of tenants (docs/fleet.md, "Tenants"): the schema of a tenant file, the
// replicated State with its rollouts and the division of quotas, and the leader's soft Controller. It does no I/O,
// reads no clock and starts no goroutine; time is passed in. It holds the invariants T1, T2, T3, T5 and T6.
package tenants

import (
	"errors"
	"time"

	"meadowsill/internal/fleet"
)

// Bounds of a rollout and of a division, by the leader's clock.
const (
	StageTimeout    = 10 * time.Second // a present node that has not staged by then rolls the rollout back
	ApplyTimeout    = 10 * time.Second // a present node that has not applied by then is late, and named
	DivideInterval  = time.Second      // at most one division in this time
	loadTau         = 2 * time.Second  // time constant of a node's offered load
	maxTombstones   = 1000             // names and nodes removed that are remembered
	hysteresis      = 0.15             // a run's part moves only by more than this part of it
	maxLoadPart     = 0.8              // and not while every run's load is within this part of its part
	keyTenant       = "tenant/"
	keyLease        = "share/"
	reasonNotStaged = "not staged in time"
	reasonLate      = "not applied in time"
)

// ErrStale rejects a command of the controller that was decided from what has changed since: the item's revision, the
// tenant's uid or generation, the session epoch, or a larger quota's lease that may still be held. The controller decides anew.
var ErrStale = errors.New("decided from an older state")

// Ops of a Command. Put and Delete are operators'; the others the controller's.
const (
	Put            = "put"      // propose Spec over Generation (0: the name is free)
	Delete         = "delete"   // remove the tenant at Generation: no new requests
	Commit         = "commit"   // staged on all of Runs, those present in the scope at Epoch
	Rollback       = "rollback" // Node rejected, or did not stage in time, for Reason
	Applied        = "applied"  // all of Runs serve by the committed generation: its predecessor is retired
	Drained        = "drained"  // removal: no node present in the scope has requests of it open; its quota goes
	QuotaWithdrawn = "unquoted" // removal: all nodes present in the scope hold that its quota is withdrawn; its namespace goes
	Divide         = "divide"   // change leases of quotas: Division
)

// Command is one change of State, as it stands in raft's log. It carries no time.
type Command struct {
	Operation  string      `json:"op"`
	Name       string      `json:"name,omitempty"`
	Generation uint64      `json:"generation,omitempty"` // put, delete: that was read; the controller's: that is meant
	Spec       *fleet.Spec `json:"spec,omitempty"`       // put
	UID        uint64      `json:"uid,omitempty"`        // the controller's: of the tenant meant
	IfRevision uint64      `json:"if_rev,omitempty"`     // the controller's: revision of the item that it decided from
	Epoch      uint64      `json:"epoch,omitempty"`      // the controller's: session epoch that Runs were counted at
	Scoped     bool        `json:"scoped,omitempty"`     // Epoch is that of the tenant's scope, and not the fleet's
	Runs       []Run       `json:"runs,omitempty"`       // commit, applied: the present runs of the tenant's scope
	Node       string      `json:"node,omitempty"`       // rollback
	Reason     string      `json:"reason,omitempty"`     // rollback
	Division   *Division   `json:"division,omitempty"`   // divide
}

// Division changes leases. The state leaves out the raises of a tenant whose runs might hold more after them
// than the quota leaves next to its guaranteed parts, whoever decided it.
type Division struct {
	Slots     int            `json:"slots"`            // the fleet's full number of nodes; fixed by the first division
	Confirmed []Confirmation `json:"held,omitempty"`   // what present runs have confirmed
	Expired   []Run          `json:"over,omitempty"`   // runs whose leases are over for certain
	Grants    []Grant        `json:"grants,omitempty"` // changed parts
}

// Run is one run of one node's process.
type Run struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
}

// Confirmation says that a run's module holds intent up to Revision. SoleRun says that it was present for a full TTL, so that no run
// before it can have a lease: its node's larger guaranteed parts are no more.
type Confirmation struct {
	Run
	Revision uint64 `json:"revision"`
	SoleRun  bool   `json:"sole,omitempty"`
}

// Grant sets a run's leases of the tenants named, requests/s; 0 takes one away; tenants not named stay.
type Grant struct {
	Run
	Rates map[string]float64 `json:"rates,omitempty"`
}

// Config is what a Controller must know of its fleet.
type Config struct {
	Slots int           // the fleet's full number of nodes, present or not
	TTL   time.Duration // of a session's lease
}

// NodeStatus is how far one node is with a tenant.
type NodeStatus struct {
	Node       string `json:"node"`
	Phase      string `json:"phase"`      // silent, behind, staged, refused, applied, draining, removed
	Generation uint64 `json:"generation"` // that it serves by; 0 none
	Staged     uint64 `json:"staged,omitempty"`
	Reason     string `json:"reason,omitempty"` // refused: the node's own; behind: why, where it is known, or that it is late
	AgeMS      int64  `json:"age_ms"`           // of its report; -1: it has none
}
