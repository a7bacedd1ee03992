// Package fleet holds the words in which the control plane, the agents and the nodes speak of the fleet
// (docs/fleet.md): items of intent under one revision, reports of what a node saw and holds, and the bodies of
// the items. It decides nothing, does no I/O and reads no clock. The cores that decide are the packages below
// it: session, zones, tenants, drift; package control composes them.
package fleet

import (
	"encoding/json"
	"errors"
	"time"
)

// Time is a reading of the caller's own monotonic clock. Readings of two processes are never compared.
type Time = time.Duration

// Errors of the API. Each changes nothing.
var (
	ErrInvalid  = errors.New("invalid")            // 400; wrapped with the field and what is wrong with it
	ErrConflict = errors.New("generation changed") // 409; wrapped with the present generation
	ErrNotFound = errors.New("not found")          // 404
	ErrFenced   = errors.New("older incarnation")  // 409; a report or command of a process that has a successor
)

// Limits on what is read from a peer or from disk, in bytes; more is rejected completely.
const (
	MaxReportBytes = 256 << 10
	MaxIntentBytes = 16 << 20
	MaxTenantBytes = 64 << 10
)

// Member is one run of one node's process. Incarnation is the process's start, Unix ns, by its own machine's
// clock; the control plane only compares those of the same name, and takes only larger ones.
type Member struct {
	Node        string `json:"node"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
}

// Item is one thing intended. Its key is "zone/Y" (for every node), "zone/Y@X" (for nodes of zone X), "tenant/NAME"
// or "share/NODE"; its body is the JSON of Directive, Tenant or QuotaLease. Revision is the revision that last changed it.
type Item struct {
	Key      string          `json:"key"`
	Revision uint64          `json:"rev"`
	Removed  bool            `json:"gone,omitempty"` // taken back; only among changes
	Body     json.RawMessage `json:"body,omitempty"`
}

// Intent answers GET /fleet/v1/intent?since=R&timeout_ms=T&node=NAME: every item (Full) or those changed after R.
// Items of other nodes' shares are left out. A replica leaves AgeMS and LeaseMS 0; an agent fills them in.
type Intent struct {
	Revision uint64 `json:"revision"`
	Full     bool   `json:"full"`
	Items    []Item `json:"items"`
	AgeMS    int64  `json:"age_ms"`    // since a replica last confirmed that this is the newest it has
	LeaseMS  int64  `json:"held_ms"`   // what is left of the node's session by the agent's count; 0: counted out
	CaughtUp bool   `json:"caught_up"` // a replica has answered since the agent's start
}

// Phases of a zone's directive (docs/fleet.md, "Zones").
const (
	Serving    = "serving"
	Evacuated  = "left"
	Probation  = "probation"
	Recovering = "returning"
)

// Directive is the body of a zone item. A zone without one is served as ever.
type Directive struct {
	Phase      string   `json:"phase"`
	Share      float64  `json:"share"`             // part of the zone's ordinary attempts that may be made: 0 none, 1 all
	Floor      float64  `json:"floor"`             // the share that holds once ValidMS is over; never above Share
	Budget     float64  `json:"budget,omitempty"`  // requests/s that all nodes together may send to each of its servers; 0: no limit
	Slots      int      `json:"slots,omitempty"`   // what Budget is divided by: a node's part is Budget/Slots
	TrialNodes []string `json:"trial,omitempty"`   // in probation: the nodes that may send it trial requests, idempotent ones only
	Step       int      `json:"step,omitempty"`    // of the recovery, from 1
	ValidMS    int64    `json:"valid_ms"`          // counted from when a replica last confirmed it; then Floor holds
	Reason     string   `json:"reason,omitempty"`  // lost, cut-off, gray, region; for people and logs
	BackoffMS  int64    `json:"hold_ms,omitempty"` // the backoff before probation, doubled by each relapse
	Relapses   int      `json:"relapse,omitempty"` // relapses so far
}

// Tenant is the body of a tenant item: what is committed, and what nodes are to validate and stage. A node serves
// by Committed alone.
type Tenant struct {
	UID            uint64      `json:"uid"` // the revision that created the tenant: a name used again has another
	Committed      *Generation `json:"committed,omitempty"`
	Staged         *Generation `json:"staged,omitempty"`
	Removing       bool        `json:"removing,omitempty"`    // no new requests; open ones finish
	QuotaWithdrawn bool        `json:"quota_gone,omitempty"`  // removal: its quota and routes are withdrawn
	RolledBack     string      `json:"rolled_back,omitempty"` // why the last rollout was: node and reason
}

// Generation is one version of a tenant's specification. Digest is the xxhash64 of its canonical JSON, in hex.
type Generation struct {
	Number uint64 `json:"number"`
	Spec   Spec   `json:"spec"`
	Digest string `json:"digest"`
}

// Spec is what a tenant may do: one schema for TOML files and the API.
type Spec struct {
	Name      string    `json:"name" toml:"name"`
	Service   string    `json:"service,omitempty" toml:"service"` // the scope: nodes that serve it hold the tenant; "": every node does
	Namespace Namespace `json:"namespace" toml:"namespace"`
	Quota     Quota     `json:"quota" toml:"quota"`
	Routes    []Route   `json:"routes,omitempty" toml:"routes"`     // none: every server
	Fallback  string    `json:"fallback,omitempty" toml:"fallback"` // where no route matches a server: "any" or "refuse"; needed with routes
}

// Namespace says which classes the tenant may use; none named means all. It is the key of its counters and logs.
type Namespace struct {
	Classes []string `json:"classes,omitempty" toml:"classes"`
}

// Quota is requests per second over all nodes. Burst is in requests, over all nodes.
type Quota struct {
	Rate    float64            `json:"rate" toml:"rate"`
	Burst   float64            `json:"burst" toml:"burst"`
	Classes map[string]float64 `json:"classes,omitempty" toml:"classes"` // requests/s of a class, within Rate
}

// Route names servers by zone, kind or id pattern (path.Match); empty fields match all. Weight is its part of the
// tenant's requests among the routes that match a ready server; above 0.
type Route struct {
	Zone   string  `json:"zone,omitempty" toml:"zone"`
	Kind   string  `json:"kind,omitempty" toml:"kind"`
	ID     string  `json:"id,omitempty" toml:"id"`
	Weight float64 `json:"weight" toml:"weight"`
}

// QuotaLease is the body of "share/NODE": the node's leased part of each quota, requests/s, on top of the floor that
// every slot has always. It holds while the node's session is held (LeaseMS).
type QuotaLease struct {
	Epoch       uint64             `json:"epoch"`       // of the division
	Incarnation uint64             `json:"incarnation"` // the run that Rates are leased to; another run of the node has none of them
	Slots       int                `json:"slots"`       // floor of a tenant: GuaranteedPart * rate / slots
	Rates       map[string]float64 `json:"rates"`       // by tenant name
}

// GuaranteedPart is the part of every quota that is divided evenly among all slots for good, so that a node that has lost
// its session, or its agent, still has a share, and old incarnations and cut-off nodes never take the sum over
// the quota. The rest is leased to present nodes.
const GuaranteedPart = 0.2

// Report is what a node tells its agent and the agent the control plane's leader: POST /fleet/v1/report.
type Report struct {
	Member
	Services    []string       `json:"services,omitempty"` // the run's scope, sorted; none: every service
	Sequence    uint64         `json:"seq"`                // rises by one a report within an incarnation
	Revision    uint64         `json:"revision"`           // newest intent that the node's module holds
	Ready       bool           `json:"ready"`              // the node answers /health/ready with yes
	WindowMS    int64          `json:"window_ms"`          // that Zones and Tenants count over
	Zones       []ZoneEvidence `json:"zones,omitempty"`
	Tenants     []TenantAck    `json:"tenants,omitempty"` // every tenant the module knows
	List        uint64         `json:"list,omitempty"`    // version of the server list that the module holds; 0: none
	Applied     []AppliedItem  `json:"held,omitempty"`    // local items (settings, bans), and what the last answer wanted
	AppliedRoot string         `json:"root"`              // digest over the zones, tenants and share that the module holds (docs/drift.md)
	ListRoot    string         `json:"list_root"`         // the same over the list entries in use
	Draining    bool           `json:"leaving,omitempty"` // the node drains: its session ends with this report
}

// ZoneEvidence is a node's evidence on one zone, over the report's window.
type ZoneEvidence struct {
	Zone        string  `json:"zone"`
	Attempts    int     `json:"attempts"`     // that ended in the window
	Lost        int     `json:"lost"`         // of them, as a zone's loss ends them: connect failed, reset, no answer in time
	Servers     int     `json:"servers"`      // distinct servers of those attempts
	LostServers int     `json:"lost_servers"` // of them, those of which every attempt was lost
	Answered    int     `json:"ok"`           // answers
	Listed      int     `json:"listed"`       // ready servers of the zone in the node's list
	Started     int     `json:"sent"`         // attempts begun
	Rate        float64 `json:"rate"`         // answers/s of one of its servers as this node has smoothed it
}

// TenantAck is the node's own state of a tenant: read from the module, not from what it was sent.
type TenantAck struct {
	Name         string  `json:"name"`
	UID          uint64  `json:"uid"`
	Committed    uint64  `json:"committed"`         // generation it serves by; 0 none
	Staged       uint64  `json:"staged,omitempty"`  // generation it has validated and could serve; 0 none
	Digest       string  `json:"digest"`            // of the staged generation, or of the committed one where none is staged
	RejectReason string  `json:"refused,omitempty"` // why it can't stage what it was sent
	Open         int     `json:"open"`              // requests open
	Offered      float64 `json:"offered"`           // requests that came, per s
	Admitted     float64 `json:"admitted"`          // of them within the share, per s
	Rate         float64 `json:"rate"`              // its share now, requests/s
}

// AppliedItem is one item that a node's module holds, for drift: the key of the item or local item ("zone/Y", "tenant/NAME",
// "share", "server/ID", "ban/ID", "settings") and its canonical JSON.
type AppliedItem struct {
	Key    string          `json:"key"`
	Digest string          `json:"digest"`
	Body   json.RawMessage `json:"body,omitempty"`
	// Of a local item (a ban, the settings): who made it so, and when by that machine's clock. For people; it is in
	// no digest and decides nothing.
	ChangedBy string `json:"by,omitempty"`
	SinceMS   int64  `json:"since_ms,omitempty"`
}

// ReportAnswer is the leader's (through the agent) state of a report.
type ReportAnswer struct {
	LeaseTTLMS   int64    `json:"ttl_ms"`           // the session's lease, counted from the sending of the report
	Revision     uint64   `json:"revision"`         // the leader's
	Resend       []string `json:"resend,omitempty"` // keys that the agent is to send its node again
	WantedKeys   []string `json:"want,omitempty"`   // keys that the next report is to carry (drift.FillReport), sent at once
	Restart      bool     `json:"restart,omitempty"`
	NotReady     bool     `json:"out,omitempty"`     // the node is to say no at /health/ready
	AckSequence  uint64   `json:"ack_seq,omitempty"` // the report's seq, where the leader takes differences to it; to agents alone
	SendComplete bool     `json:"whole,omitempty"`   // the difference was not taken: the report is to be sent complete; nothing else is said then
}

// NodeView is what the leader's cores know of a present node: its session and its last report.
type NodeView struct {
	Member
	ReceivedAt Time // when the report came, by the leader's clock
	Report     Report
}
