// Package tenants contains the decision logic for tenants (docs/fleet.md, "Tenants"): the schema of a tenant file, the
// replicated State with its rollouts and the division of quotas, and the leader's Controller, whose state is not
// replicated. The package does no I/O, reads no clock and starts no goroutine; callers pass the time in. It maintains
// the invariants T1, T2, T3, T5 and T6.
package tenants

import (
	"errors"
	"time"

	"meadowsill/internal/fleet"
)

// Bounds of a rollout and of a division, by the leader's clock.
const (
	StageTimeout     = 10 * time.Second // a rollout is rolled back if a present node has not staged it within this time
	ApplyTimeout     = 10 * time.Second // a present node that has not applied a generation within this time is reported as late
	DivideInterval   = time.Second      // minimum time between two divisions
	loadTimeConstant = 2 * time.Second  // time constant of the moving average of a node's offered load
	maxTombstones    = 1000             // number of removed items, tenants and quota leases together, that are remembered
	hysteresis       = 0.15             // a run's part changes only if it would change by more than this fraction of itself
	maxUtilization   = 0.8              // no part changes while every run's load is within this fraction of the run's part
	keyTenant        = "tenant/"
	keyLease         = "share/"
	reasonNotStaged  = "not staged in time"
	reasonLate       = "not applied in time"
)

// ErrStale rejects a command of the controller if the state that it was decided from has changed: the item's revision, the
// tenant's UID or generation, or the session epoch. It also rejects a commit while a lease of the larger quota may still be
// held. The controller then decides again.
var ErrStale = errors.New("decided from an older state")

// Operations of a Command. Operators send Put and Delete; the controller sends the others.
const (
	Put            = "put"      // propose Spec as the successor of Generation (0: the tenant does not exist yet)
	Delete         = "delete"   // remove the tenant, which is at Generation: it takes no new requests
	Commit         = "commit"   // all of Runs, which are those present in the scope at Epoch, have staged the generation
	Rollback       = "rollback" // Node rejected the generation or did not stage it in time; Reason says why
	Applied        = "applied"  // all of Runs serve by the committed generation, so its predecessor is no longer in use
	Drained        = "drained"  // removal: no node present in the scope has open requests of the tenant; its quota is withdrawn
	QuotaWithdrawn = "unquoted" // removal: all nodes present in the scope know that the quota is withdrawn; the tenant is deleted
	Divide         = "divide"   // change the quota leases as Division says
)

// Command is one change of State, as it is stored in the Raft log. It contains no time.
type Command struct {
	Operation  string      `json:"op"`
	Name       string      `json:"name,omitempty"`
	Generation uint64      `json:"generation,omitempty"` // put, delete: as the operator read it; others: the one that the command is about
	Spec       *fleet.Spec `json:"spec,omitempty"`       // only for put
	UID        uint64      `json:"uid,omitempty"`        // of the tenant that the command is about; set by the controller
	IfRevision uint64      `json:"if_rev,omitempty"`     // revision of the item that the controller decided from
	Epoch      uint64      `json:"epoch,omitempty"`      // session epoch at which the controller determined Runs
	Scoped     bool        `json:"scoped,omitempty"`     // Epoch is the epoch of the tenant's scope instead of the fleet's
	Runs       []Run       `json:"runs,omitempty"`       // commit, applied: the runs present in the tenant's scope
	Node       string      `json:"node,omitempty"`       // rollback: the node that caused it
	Reason     string      `json:"reason,omitempty"`     // rollback: why
	Division   *Division   `json:"division,omitempty"`   // only for divide
}

// Division changes quota leases. The state does not carry out the raises for a tenant if its runs might then hold more
// than the quota leaves beside the guaranteed parts, even if the controller decided so.
type Division struct {
	Slots     int            `json:"slots"`            // full number of nodes of the fleet; the first division fixes it
	Confirmed []Confirmation `json:"held,omitempty"`   // what present runs have confirmed to hold
	Expired   []Run          `json:"over,omitempty"`   // runs whose leases have certainly expired
	Grants    []Grant        `json:"grants,omitempty"` // changed leases
}

// Run identifies one run of a node's process.
type Run struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
}

// Confirmation says that a run's module holds intent up to Revision. SoleRun says that the run has been present for a
// full TTL, so that no earlier run of the node can still have a lease or use a larger guaranteed part.
type Confirmation struct {
	Run
	Revision uint64 `json:"revision"`
	SoleRun  bool   `json:"sole,omitempty"`
}

// Grant sets a run's leases, in requests/s, for the tenants in Rates; 0 removes a lease. Leases of other tenants don't change.
type Grant struct {
	Run
	Rates map[string]float64 `json:"rates,omitempty"`
}

// Config describes the fleet to a Controller.
type Config struct {
	Slots int           // full number of nodes of the fleet, present or not
	TTL   time.Duration // lifetime of a session's lease
}

// NodeStatus says how far one node has followed a tenant's rollout or removal.
type NodeStatus struct {
	Node       string `json:"node"`
	Phase      string `json:"phase"`      // silent, behind, staged, refused, applied, draining, removed
	Generation uint64 `json:"generation"` // by which the node serves; 0: none
	Staged     uint64 `json:"staged,omitempty"`
	Reason     string `json:"reason,omitempty"` // refused: the reason that the node gave; behind: the cause, if known, or that the node is late
	AgeMS      int64  `json:"age_ms"`           // age of the node's report, ms; -1: no report
}
