package policy

import "time"

// What the control plane intends, as events, and what the module gives back for reports. These events come
// only where Settings.Fleet is set; without them nothing is decided otherwise. docs/fleet.md tells what they
// mean.

// Events of the control plane. Age is how old an event's content was when it was delivered; the module goes
// on counting from there. IntentRevision is the revision of the intent that it was read from, 0: Revision; an
// older one changes nothing.
type (
	// ZoneDirective is the control plane's directive on a zone, as it holds for this node.
	ZoneDirective struct {
		Zone           string
		Revision       uint64 // of the item
		IntentRevision uint64
		Serving        bool    // there is no directive, or no longer
		Share          float64 // part of the ordinary attempts that may go to the zone's servers: 0 to 1
		Floor          float64 // the share once the directive is older than ValidFor
		Rate           float64 // requests/s that this node may send to each of its servers; 0: no limit
		Trial          bool    // this node tries the zone, with idempotent requests only
		Age            time.Duration
		ValidFor       time.Duration
	}
	// TenantUpdate is what is intended for a tenant. A request is served by Committed alone.
	TenantUpdate struct {
		Name           string
		UID            uint64 // of the tenant
		Revision       uint64 // of the item
		IntentRevision uint64
		Committed      *TenantRules
		Staged         *TenantRules
		Removing       bool // no new requests; open ones finish
		QuotaWithdrawn bool // removal has withdrawn quota and routes
		Removed        bool // the tenant is no more, or no longer in the node's scope
		Age            time.Duration
	}
	// QuotaLease is this node's leased part of the quotas, over the guaranteed part that it always has. It holds
	// for ValidFor from its delivery, after that of the tenants of the same intent: it was divided by their
	// rates.
	QuotaLease struct {
		Epoch    uint64             // of the division
		Slots    int                // nodes that the guaranteed part is divided by
		Rates    map[string]float64 // requests/s by tenant; nil: the lease was revoked
		Age      time.Duration
		ValidFor time.Duration
	}
	// FleetSynced says that all that was intended when the node started, or what its agent had cached, has been
	// delivered: until then requests of unknown tenants are rejected as not ready.
	FleetSynced struct{ Revision uint64 }
)

func (ZoneDirective) event() {}
func (TenantUpdate) event()  {}
func (QuotaLease) event()    {}
func (FleetSynced) event()   {}

// TenantRules are one generation of a tenant.
type TenantRules struct {
	Generation     uint64
	Digest         string
	Classes        []string           // that it may use; none: all
	Rate           float64            // over all nodes: requests/s
	Burst          float64            // requests
	ClassRates     map[string]float64 // over all nodes, within Rate
	Routes         []TenantRoute      // none: every server
	RejectUnrouted bool               // where no route matches a ready server: reject; else any server
}

// TenantRoute names servers; empty fields match all. ID is a path.Match pattern on Server.Name.
type TenantRoute struct {
	Zone   string
	Kind   string
	ID     string
	Weight float64
}

// FleetWindow is what a module observed since it was last asked.
type FleetWindow struct {
	Start   Time
	Zones   []ZoneWindow   // by name, in order
	Tenants []TenantWindow // by name, in order
}

// ZoneWindow is what a node observed of a zone's servers.
type ZoneWindow struct {
	Zone        string
	Attempts    int     // that ended in the window
	Lost        int     // of them, as a zone's loss ends them: connect failed, reset, no answer in time
	Servers     int     // distinct servers of those attempts
	LostServers int     // of them, those of which every attempt was lost
	Answered    int     // attempts
	Listed      int     // ready servers of the zone
	Started     int     // attempts that began in the window
	Rate        float64 // answers/s of one server, smoothed
}

// TenantWindow is what a module has applied of a tenant, and what came of it.
type TenantWindow struct {
	Name         string
	UID          uint64
	Committed    uint64 // generations
	Staged       uint64 // 0: none
	Digest       string // of the staged one, else of the committed one
	RejectReason string // why the staged one can't be served here
	Open         int    // requests
	Arrived      int    // requests in the window
	Admitted     int    // of them, within the quota
	Rate         float64
}

// AppliedItem is one thing that the module decides by, under a key of docs/drift.md ("zone/Y", "tenant/NAME",
// "share", "server/ID", "ban/ID", "settings"). Value marshals to JSON, the same for the same content.
type AppliedItem struct {
	Key   string
	Value any
}
