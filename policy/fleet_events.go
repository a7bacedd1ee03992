package policy

import "time"

// This file has the events that carry the control plane's intent, and the data that the module returns for
// reports. The events occur only where Settings.Fleet is set; without them the setting changes no decision.
// docs/fleet.md describes their meaning.

// Events of the control plane. Age is the age of an event's content at its delivery; the module counts on
// from there. IntentRevision is the revision of the intent that the content was read from; 0 stands for
// Revision. An event of an older intent changes nothing.
type (
	// ZoneDirective is the control plane's directive on a zone, as it applies to this node.
	ZoneDirective struct {
		Zone           string
		Revision       uint64 // revision of the item
		IntentRevision uint64
		Serving        bool    // no directive is in force, or it has been withdrawn
		Share          float64 // fraction of the ordinary attempts that may go to the zone's servers, 0 to 1
		Floor          float64 // share that applies once the directive is older than ValidFor
		Rate           float64 // requests/s that this node may send to each of its servers; 0: no limit
		Trial          bool    // this node sends trial requests to the zone, only idempotent ones
		Age            time.Duration
		ValidFor       time.Duration
	}
	// TenantUpdate is the control plane's intent for a tenant. Requests are served under Committed only.
	TenantUpdate struct {
		Name           string
		UID            uint64 // identifies the tenant; a reused name has another UID
		Revision       uint64 // revision of the item
		IntentRevision uint64
		Committed      *TenantRules
		Staged         *TenantRules
		Removing       bool // new requests are rejected; open ones finish
		QuotaWithdrawn bool // the removal has withdrawn the tenant's quota and routes
		Removed        bool // the tenant no longer exists, or has left the node's scope
		Age            time.Duration
	}
	// QuotaLease is this node's leased part of the tenants' quotas, in addition to the guaranteed part that
	// the node always has. It is valid for ValidFor from its delivery. It must be delivered after the tenants
	// of the same intent, because the quotas were divided by their rates.
	QuotaLease struct {
		Epoch    uint64             // number of the division of the quotas
		Slots    int                // number of nodes among which the guaranteed part is divided
		Rates    map[string]float64 // requests/s by tenant; nil: the lease has been revoked
		Age      time.Duration
		ValidFor time.Duration
	}
	// FleetSynced says that the whole intent as of the node's start, or the one that its agent had cached,
	// has been delivered. Until then requests of unknown tenants are rejected as not ready.
	FleetSynced struct{ Revision uint64 }
)

func (ZoneDirective) event() {}
func (TenantUpdate) event()  {}
func (QuotaLease) event()    {}
func (FleetSynced) event()   {}

// TenantRules are the rules of one generation of a tenant.
type TenantRules struct {
	Generation     uint64
	Digest         string
	Classes        []string           // request classes that the tenant may use; none: all
	Rate           float64            // quota over all nodes, requests/s
	Burst          float64            // over all nodes, requests
	ClassRates     map[string]float64 // requests/s over all nodes by class, each within Rate
	Routes         []TenantRoute      // none: all servers
	RejectUnrouted bool               // where no route matches a ready server, reject; else use any server
}

// TenantRoute selects servers; empty fields match every server. ID is a path.Match pattern for Server.Name.
type TenantRoute struct {
	Zone   string
	Kind   string
	ID     string
	Weight float64
}

// FleetWindow holds a module's observations since the previous call of Module.Window.
type FleetWindow struct {
	Start   Time
	Zones   []ZoneWindow   // sorted by name
	Tenants []TenantWindow // sorted by name
}

// ZoneWindow holds a node's observations of the servers of a zone.
type ZoneWindow struct {
	Zone        string
	Attempts    int     // attempts that ended in the window
	Lost        int     // of these, failures as in a zone's loss: connect failed, reset, no answer in time
	Servers     int     // distinct servers of the attempts that ended
	LostServers int     // of these, servers that lost every attempt
	Answered    int     // attempts that were answered
	Listed      int     // ready servers of the zone
	Started     int     // attempts that began in the window
	Rate        float64 // answers/s per server, smoothed
}

// TenantWindow holds the generations of a tenant that a module has applied, and counts of the tenant's
// requests. Rate is the tenant's quota at this node, in requests/s.
type TenantWindow struct {
	Name         string
	UID          uint64
	Committed    uint64 // generation in force
	Staged       uint64 // staged generation; 0: none
	Digest       string // digest of the staged generation, else of the committed one
	RejectReason string // why this node can't serve the staged generation
	Open         int    // open requests
	Arrived      int    // requests that arrived in the window
	Admitted     int    // of these, requests within the quota
	Rate         float64
}

// AppliedItem is one item of the state that the module bases its decisions on, under a key of docs/drift.md
// ("zone/Y", "tenant/NAME", "share", "server/ID", "ban/ID", "settings"). Value marshals to JSON; equal
// content gives equal JSON.
type AppliedItem struct {
	Key   string
	Value any
}
