// Package hollow runs many hollow nodes and hollow app servers in one process, for scale tests of the control plane
// (docs/CAPACITY.md). A hollow node is the real agent (internal/fleet/agent, internal/registry/agent) with the real
// decide module behind it, making real reports, but taking no client requests: its traffic comes from a seeded model.
// A hollow app server is a registrant that holds its lease. Both speak the real calls over real loopback TCP to real
// discovery processes.
//
// The process is a child of the scale runner. It reads its Config as the first line (JSON) of its standard input, then one
// Request a line, and writes one Reply a line to its standard output, in order: to the Config too. It ends when its standard
// input does. Process is the runner's side.
package hollow

import "time"

// Config is what one hollow process runs. It is the child's first line of input, before any Request.
type Config struct {
	Replicas      []string `json:"replicas"`       // HTTP addresses of the discovery processes
	FirstNode     int      `json:"first_node"`     // nodes are named h00000 on, by number
	Nodes         int      `json:"nodes"`          // hollow nodes
	FirstServer   int      `json:"first_server"`   // servers are named s-00000000 on, by number
	Servers       int      `json:"servers"`        // hollow app servers
	Services      int      `json:"services"`       // of the fleet, named svc-000 on; server i belongs to service i mod Services
	PerNode       int      `json:"per_node"`       // services that a node serves; 0: the node has no scope and holds every tenant
	Zones         []string `json:"zones"`          // nodes and servers are spread over them in turn
	ActiveTenants int      `json:"active_tenants"` // tenants of its scope that a node's traffic model has load for
	RequestsPerS  float64  `json:"requests_per_s"` // of a node's traffic model
	LeaseTTLMS    int64    `json:"lease_ttl_ms"`   // of a server's lease; renewed at a third of it
	Dir           string   `json:"dir"`            // of the agents' durable copies
	Seed          uint64   `json:"seed"`
}

// Op is what a Request asks for.
type Op string

const (
	OpUsage   Op = "usage"    // the counters since the process's start
	OpInForce Op = "in_force" // wait until Tenant is served by Generation (0: is gone) on every node of its scope, or Wait
	OpKill    Op = "kill"     // nodes First to First+Count-1 end without a word
	OpLeave   Op = "leave"    // the same nodes say goodbye and end
	OpStart   Op = "start"    // the same nodes start again, as new incarnations
	OpReplace Op = "replace"  // servers First to First+Count-1 deregister and come back under new addresses
)

// Request is one call of the runner.
type Request struct {
	Op         Op            `json:"op"`
	First      int           `json:"first,omitempty"`
	Count      int           `json:"count,omitempty"`
	Tenant     string        `json:"tenant,omitempty"`
	Service    string        `json:"service,omitempty"` // of Tenant, where it has one and no node here may have heard of it yet
	Generation uint64        `json:"generation,omitempty"`
	Wait       time.Duration `json:"wait,omitempty"` // ns
}

// Reply answers a Request. Err is one line, empty where the request was carried out.
type Reply struct {
	Err     string   `json:"err,omitempty"`
	Usage   *Usage   `json:"usage,omitempty"`
	InForce *InForce `json:"in_force,omitempty"`
}

// Call names one kind of call that hollow nodes and servers make.
type Call string

const (
	CallIntent   Call = "intent"   // a watch of the intent
	CallList     Call = "list"     // a watch of the list
	CallReport   Call = "report"   // a report to the leader
	CallRegister Call = "register" // registrations, renewals and ends of servers
)

// Traffic counts what went over the sockets for one kind of call. Bytes are those of the TCP streams, headers included.
type Traffic struct {
	Calls    uint64 `json:"calls"`
	BytesIn  uint64 `json:"bytes_in"`
	BytesOut uint64 `json:"bytes_out"`
}

// Usage is what the process has used and seen since its start.
type Usage struct {
	Calls       map[Call]Traffic `json:"calls"`
	CPU         time.Duration    `json:"cpu"`          // user and system time of the process, ns
	HeapBytes   uint64           `json:"heap_bytes"`   // live heap after a collection
	RSSBytes    uint64           `json:"rss_bytes"`    // resident set size
	Ready       int              `json:"ready"`        // nodes caught up and counted in
	Registered  int              `json:"registered"`   // servers whose lease is held
	Behind      uint64           `json:"behind"`       // the largest distance of a node's revision from the newest seen here
	Items       int              `json:"items"`        // items of the intent held, over all nodes
	Goroutines  int              `json:"goroutines"`   // of the process
	Descriptors int              `json:"descriptors"`  // open in the process
	Failures    uint64           `json:"failures"`     // calls that failed, of any kind
	CopyBytes   uint64           `json:"copy_bytes"`   // written to durable copies
	ReportBytes uint64           `json:"report_bytes"` // of the bodies of reports, without headers

	Differences     uint64 `json:"differences"`      // of the reports, those sent as differences
	DifferenceBytes uint64 `json:"difference_bytes"` // of their bodies
}

// InForce says when a generation came into force on the nodes of this process that hold the tenant.
type InForce struct {
	Nodes int       `json:"nodes"` // that hold the tenant's scope
	Have  int       `json:"have"`  // of them, those that serve by the generation
	Last  time.Time `json:"last"`  // when the last of them did, by the machine's clock
	Worst string    `json:"worst"` // the node that did last, or one that does not
	// Times are when each node did, by the machine's clock, Unix ns, in no order.
	Times []int64 `json:"times,omitempty"`
}
