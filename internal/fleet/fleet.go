// Package fleet defines the messages that the control plane, the agents and the nodes exchange (docs/fleet.md): items of
// intent under one revision, reports of what a node observed and applied, and the bodies of the items. It makes no
// decisions, does no I/O and reads no clock. The decisions are made in its subpackages session, zones, tenants and drift,
// which package control combines.
package fleet

import (
	"encoding/json"
	"errors"
	"time"
)

// Time is a reading of the caller's own monotonic clock. Readings from two processes are never compared.
type Time = time.Duration

// Errors of the API. A call that returns one of them changes nothing.
var (
	ErrInvalid  = errors.New("invalid")            // 400; wrapped with the member and what is wrong with it
	ErrConflict = errors.New("generation changed") // 409; wrapped with the current generation
	ErrNotFound = errors.New("not found")          // 404
	ErrFenced   = errors.New("older incarnation")  // 409; the report or command comes from a process that has been replaced
)

// Limits on bodies read from a peer or from disk, in bytes. A larger body is rejected completely.
const (
	MaxReportBytes = 256 << 10
	MaxIntentBytes = 16 << 20
	MaxTenantBytes = 64 << 10
)

// Member identifies one run of a node's process. Incarnation is the start of the process in Unix ns by the clock of its
// own machine. The control plane compares it only with incarnations of the same node, and accepts only larger ones.
type Member struct {
	Node        string `json:"node"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
}

// Item is one item of the intent. Its key is "zone/Y" (for all nodes), "zone/Y@X" (for the nodes of zone X),
// "tenant/NAME" or "share/NODE", and its body is the JSON of a Directive, Tenant or QuotaLease. Revision is the revision
// that last changed the item.
type Item struct {
	Key      string          `json:"key"`
	Revision uint64          `json:"rev"`
	Removed  bool            `json:"gone,omitempty"` // the item is withdrawn; only set in a list of changes
	Body     json.RawMessage `json:"body,omitempty"`
}

// Intent answers GET /fleet/v1/intent?since=R&timeout_ms=T&node=NAME with all items (Full) or with those changed after
// R. It leaves out the shares of other nodes. A replica leaves AgeMS and LeaseMS at 0; an agent fills them in.
type Intent struct {
	Revision uint64 `json:"revision"`
	Full     bool   `json:"full"`
	Items    []Item `json:"items"`
	AgeMS    int64  `json:"age_ms"`    // time since a replica last confirmed that this revision is the newest it has
	LeaseMS  int64  `json:"held_ms"`   // time left of the node's session as the agent measures it; 0: the session has expired
	CaughtUp bool   `json:"caught_up"` // a replica has answered since the agent started
}

// Phases of a zone's directive (docs/fleet.md, "Zones").
const (
	Serving    = "serving"
	Evacuated  = "left"
	Probation  = "probation"
	Recovering = "returning"
)

// Directive is the body of a zone item. A zone without a directive is served normally.
type Directive struct {
	Phase      string   `json:"phase"`
	Share      float64  `json:"share"`             // part of the zone's ordinary attempts that nodes may make: 0 none, 1 all
	Floor      float64  `json:"floor"`             // the share that applies once ValidMS has passed; never above Share
	Budget     float64  `json:"budget,omitempty"`  // requests/s that all nodes together may send to each server of the zone; 0: no limit
	Slots      int      `json:"slots,omitempty"`   // divisor of Budget: each node may use Budget/Slots
	TrialNodes []string `json:"trial,omitempty"`   // in probation: the nodes that may send trial requests to the zone, idempotent requests only
	Step       int      `json:"step,omitempty"`    // step of the recovery, from 1
	ValidMS    int64    `json:"valid_ms"`          // time from a replica's last confirmation until Floor applies
	Reason     string   `json:"reason,omitempty"`  // lost, cut-off, gray or region; for operators and logs
	BackoffMS  int64    `json:"hold_ms,omitempty"` // the backoff before probation; each relapse doubles it
	Relapses   int      `json:"relapse,omitempty"` // number of relapses so far
}

// Tenant is the body of a tenant item: the committed generation, and the staged one that nodes are to validate. Nodes
// serve requests by Committed only.
type Tenant struct {
	UID            uint64      `json:"uid"` // the revision that created the tenant; a reused name gets another
	Committed      *Generation `json:"committed,omitempty"`
	Staged         *Generation `json:"staged,omitempty"`
	Removing       bool        `json:"removing,omitempty"`    // nodes admit no new requests and finish the open ones
	QuotaWithdrawn bool        `json:"quota_gone,omitempty"`  // during removal: the quota and routes are withdrawn
	RolledBack     string      `json:"rolled_back,omitempty"` // why the last rollout was rolled back: node and reason
}

// Generation is one version of a tenant's specification. Digest is the xxhash64 of the specification's canonical JSON,
// in hex.
type Generation struct {
	Number uint64 `json:"number"`
	Spec   Spec   `json:"spec"`
	Digest string `json:"digest"`
}

// Spec is a tenant's specification. TOML files and the API use this one schema.
type Spec struct {
	Name      string    `json:"name" toml:"name"`
	Service   string    `json:"service,omitempty" toml:"service"` // the scope: only nodes that serve this service hold the tenant; "": all nodes hold it
	Namespace Namespace `json:"namespace" toml:"namespace"`
	Quota     Quota     `json:"quota" toml:"quota"`
	Routes    []Route   `json:"routes,omitempty" toml:"routes"`     // if empty, the tenant may use every server
	Fallback  string    `json:"fallback,omitempty" toml:"fallback"` // "any" or "refuse": what happens if no route matches a server; required with routes
}

// Namespace lists the classes that the tenant may use; an empty list allows all. The namespace is the key of the
// tenant's counters and logs.
type Namespace struct {
	Classes []string `json:"classes,omitempty" toml:"classes"`
}

// Quota limits a tenant's rate over all nodes, in requests/s. Burst is in requests, over all nodes.
type Quota struct {
	Rate    float64            `json:"rate" toml:"rate"`
	Burst   float64            `json:"burst" toml:"burst"`
	Classes map[string]float64 `json:"classes,omitempty" toml:"classes"` // requests/s by class, within Rate
}

// Route selects servers by zone, kind or id pattern (path.Match); an empty field matches all servers. Weight, above 0,
// sets the route's part of the tenant's requests among the routes that match a ready server.
type Route struct {
	Zone   string  `json:"zone,omitempty" toml:"zone"`
	Kind   string  `json:"kind,omitempty" toml:"kind"`
	ID     string  `json:"id,omitempty" toml:"id"`
	Weight float64 `json:"weight" toml:"weight"`
}

// QuotaLease is the body of "share/NODE": the part of each quota that is leased to the node, in requests/s, on top of
// the floor that every slot always has. It is valid while the node has its session (LeaseMS).
type QuotaLease struct {
	Epoch       uint64             `json:"epoch"`       // epoch of the division
	Incarnation uint64             `json:"incarnation"` // the run that Rates are leased to; other runs of the node have no lease
	Slots       int                `json:"slots"`       // the floor of a tenant is GuaranteedPart * rate / slots
	Rates       map[string]float64 `json:"rates"`       // by tenant name
}

// GuaranteedPart is the part of every quota that is permanently divided evenly among all slots. It leaves a share to a
// node that has lost its session or its agent, and keeps the sum within the quota while old incarnations and
// disconnected nodes still use their parts. The rest of the quota is leased to present nodes.
const GuaranteedPart = 0.2

// Report is the body of POST /fleet/v1/report, which a node sends to its agent and the agent to the control plane's
// leader.
type Report struct {
	Member
	Services           []string       `json:"services,omitempty"` // the scope of the run, sorted; if empty, every service
	Sequence           uint64         `json:"seq"`                // increases by one with each report of an incarnation
	Revision           uint64         `json:"revision"`           // newest intent that the node's module has applied
	Ready              bool           `json:"ready"`              // the node's answer to /health/ready is yes
	WindowMS           int64          `json:"window_ms"`          // length of the window of Zones and Tenants
	Zones              []ZoneEvidence `json:"zones,omitempty"`
	Tenants            []TenantAck    `json:"tenants,omitempty"` // every tenant that the module knows
	AppliedListVersion uint64         `json:"list,omitempty"`    // version of the server list that the module has applied; 0: none
	Applied            []AppliedItem  `json:"held,omitempty"`    // local items (settings, exclusions) and the keys that the last answer requested
	AppliedRoot        string         `json:"root"`              // digest over the applied zones, tenants and share (docs/drift.md)
	ListRoot           string         `json:"list_root"`         // digest over the list entries in use
	Draining           bool           `json:"leaving,omitempty"` // the node drains and its session ends with this report
}

// ZoneEvidence is a node's evidence about one zone over the report's window.
type ZoneEvidence struct {
	Zone        string  `json:"zone"`
	Attempts    int     `json:"attempts"`     // attempts that ended in the window
	Lost        int     `json:"lost"`         // attempts that ended as in the loss of a zone: connect failed, reset, or no answer in time
	Servers     int     `json:"servers"`      // distinct servers of those attempts
	LostServers int     `json:"lost_servers"` // servers whose attempts were all lost
	Answered    int     `json:"ok"`           // attempts that got an answer
	Listed      int     `json:"listed"`       // ready servers of the zone in the node's list
	Started     int     `json:"sent"`         // attempts started in the window
	Rate        float64 `json:"rate"`         // answers/s of one server of the zone, smoothed by this node
}

// TenantAck is the node's own state of a tenant, read from the module rather than from what the node was sent.
type TenantAck struct {
	Name         string  `json:"name"`
	UID          uint64  `json:"uid"`
	Committed    uint64  `json:"committed"`         // generation that the node serves by; 0: none
	Staged       uint64  `json:"staged,omitempty"`  // validated generation that the node could serve by; 0: none
	Digest       string  `json:"digest"`            // digest of the staged generation, or of the committed one if none is staged
	RejectReason string  `json:"refused,omitempty"` // why the node can't stage the generation it was sent
	Open         int     `json:"open"`              // open requests
	Offered      float64 `json:"offered"`           // arriving requests/s
	Admitted     float64 `json:"admitted"`          // admitted requests/s, within the share
	Rate         float64 `json:"rate"`              // current share, requests/s
}

// AppliedItem is one item that a node's module has applied, as drift detection uses it: the key of the item or local
// item ("zone/Y", "tenant/NAME", "share", "server/ID", "ban/ID", "settings") and its canonical JSON.
type AppliedItem struct {
	Key    string          `json:"key"`
	Digest string          `json:"digest"`
	Body   json.RawMessage `json:"body,omitempty"`
	// ChangedBy and SinceMS are set for local items (exclusions, settings): who made the change, and when by the clock
	// of the node's machine. They are for operators only; no digest includes them and no decision uses them.
	ChangedBy string `json:"by,omitempty"`
	SinceMS   int64  `json:"since_ms,omitempty"`
}

// ReportAnswer is the leader's answer to a report, which the agent passes on.
type ReportAnswer struct {
	LeaseTTLMS   int64    `json:"ttl_ms"`           // duration of the session's lease, from the sending of the report
	Revision     uint64   `json:"revision"`         // revision of the leader
	Resend       []string `json:"resend,omitempty"` // keys that the agent is to send to its node again
	WantedKeys   []string `json:"want,omitempty"`   // keys that the next report is to contain (drift.FillReport); that report is sent at once
	Restart      bool     `json:"restart,omitempty"`
	NotReady     bool     `json:"out,omitempty"`     // the node is to answer no at /health/ready
	AckSequence  uint64   `json:"ack_seq,omitempty"` // sequence number of the report if the leader accepts differences to it; only for agents
	SendComplete bool     `json:"whole,omitempty"`   // the difference was rejected and the agent is to send the complete report; all other fields are empty
}

// NodeView is the leader's knowledge of a present node: its session and its last report.
type NodeView struct {
	Member
	ReceivedAt Time // when the report arrived, by the leader's clock
	Report     Report
}
