package policy

import "time"

// The fleet's facts as the module takes them, and what it gives back for reports. They come only where
// Settings.Fleet is set; without them nothing is decided otherwise. docs/fleet.md tells what they mean.

// Events of the fleet. Age is how old the fact was when it was told; the module goes on counting from there.
type (
	// ZoneDirective is the fleet's directive on a zone, as it holds for this node.
	ZoneDirective struct {
		Zone           string
		Revision       uint64        // of the item
		IntentRevision uint64        // of the intent it was read from, 0: Revision; news of an older one changes nothing
		Serving        bool          // there is none, or no longer: the zone is served as ever
		Share          float64       // part of the ordinary attempts that may go to the zone's servers: 0 to 1
		Floor          float64       // the share once the directive is older than Valid
		Rate           float64       // requests/s that this node may send to each of its servers; 0: no limit
		Trial          bool          // this node tries the zone, with safe requests only
		Age, ValidFor  time.Duration // Valid counts from Age 0
	}
	// TenantUpdate is what is intended for a tenant. A request is served by Committed alone.
	TenantUpdate struct {
		Name              string
		UID, Revision     uint64
		IntentRevision    uint64 // of the intent it was read from; 0: Revision
		Committed, Staged *TenantRules
		Removing          bool // no new requests; open ones finish
		QuotaWithdrawn    bool // removal has withdrawn quota and routes
		Removed           bool // the tenant is no more, or no longer in the node's scope
		Age               time.Duration
	}
	// QuotaLease is this node's leased part of the quotas, over the floor part that it always has. It holds for
	// Valid from when it is told. It is told after the tenants of the same intent: it was divided by their rates.
	QuotaLease struct {
		Epoch    uint64
		Slots    int                // nodes that the floor part is divided by
		Rates    map[string]float64 // requests/s by tenant; nil: the share was taken back
		Age      time.Duration
		ValidFor time.Duration
	}
	// FleetSynced says that all that was intended when the node started, or what its agent had kept, has been
	// told: until then requests of unknown tenants are refused as not ready.
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
	Rate, Burst    float64            // over all nodes: requests/s; requests
	ClassRates     map[string]float64 // over all nodes, within Rate
	Routes         []TenantRoute      // none: every server
	RejectUnrouted bool               // where no route matches a ready server: refuse; else any server
}

// TenantRoute names servers; empty fields match all. ID is a path.Match pattern on Server.Name.
type TenantRoute struct {
	Zone, Kind, ID string
	Weight         float64
}

// FleetWindow is what a module saw since it was last asked.
type FleetWindow struct {
	Start   Time
	Zones   []ZoneWindow   // by name, in order
	Tenants []TenantWindow // by name, in order
}

// ZoneWindow is what a node saw of a zone's servers. Lost attempts are those that ended as a zone's loss ends
// them: connect failed, reset, no answer in time.
type ZoneWindow struct {
	Zone                                                            string
	Attempts, Lost, Servers, LostServers, Answered, Listed, Started int
	Rate                                                            float64 // answers/s of one server, smoothed
}

// TenantWindow is what a module holds of a tenant, and what came of it.
type TenantWindow struct {
	Name              string
	UID               uint64
	Committed, Staged uint64 // generations; 0: none
	Digest            string // of the staged one, else of the committed one
	RejectReason      string // why the staged one can't be served here
	Open              int
	Arrived, Admitted int     // requests in the window; of them, within the share
	Rate              float64 // its share now, requests/s
}

// AppliedItem is one thing that the module holds, under a key of docs/drift.md ("zone/Y", "tenant/NAME", "share",
// "server/ID", "ban/ID", "settings"). Value marshals to JSON, the same for the same content.
type AppliedItem struct {
	Key   string
	Value any
}
