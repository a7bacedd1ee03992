// Package hollow runs many hollow nodes and hollow app servers in one process, for scale tests of the control plane
// (docs/CAPACITY.md). A hollow node combines the real agent (internal/fleet/agent, internal/registry/agent) with the real
// policy module. It sends real reports but serves no client requests: its traffic comes from a seeded model. A hollow app
// server is a registrant that holds its lease. Both use the real protocol over loopback TCP to real discovery processes.
//
// The process is a child of the scale runner. It reads a Config as the first line of its standard input, then one Request per
// line, all in JSON. It writes one Reply per line to its standard output, in the same order; the Config gets a Reply too. The
// process exits when its standard input ends. Process is the runner's handle on it.
package hollow

import "time"

// Config says what one hollow process runs. It is the first line of the process's input, before any Request.
type Config struct {
	Replicas      []string `json:"replicas"`       // HTTP addresses of the discovery processes
	FirstNode     int      `json:"first_node"`     // number of the first node; nodes are named by number, from h00000
	Nodes         int      `json:"nodes"`          // number of hollow nodes
	FirstServer   int      `json:"first_server"`   // number of the first server; servers are named by number, from s-00000000
	Servers       int      `json:"servers"`        // number of hollow app servers
	Services      int      `json:"services"`       // services of the fleet, named from svc-000; server i belongs to service i mod Services
	PerNode       int      `json:"per_node"`       // services that each node serves; 0: the nodes have no scope and hold every tenant
	Zones         []string `json:"zones"`          // nodes and servers are assigned to the zones in rotation
	ActiveTenants int      `json:"active_tenants"` // tenants of its scope for which a node's traffic model generates load
	RequestsPerS  float64  `json:"requests_per_s"` // request rate of each node's traffic model
	LeaseTTLMS    int64    `json:"lease_ttl_ms"`   // TTL of a server's lease, which the server renews after a third of it
	Dir           string   `json:"dir"`            // directory of the agents' durable copies
	Seed          uint64   `json:"seed"`
}

// Op is the operation that a Request asks for.
type Op string

const (
	OpUsage   Op = "usage"    // return the counters since the process started
	OpInForce Op = "in_force" // wait until Generation of Tenant is in force (0: Tenant is removed) on every node of its scope, at most Wait
	OpKill    Op = "kill"     // stop nodes First to First+Count-1 without a last report
	OpLeave   Op = "leave"    // have the same nodes send a last report that they are draining, then stop them
	OpStart   Op = "start"    // start the same nodes again, as new incarnations
	OpReplace Op = "replace"  // deregister servers First to First+Count-1 and register them again under new addresses
)

// Request is one request of the runner to the hollow process.
type Request struct {
	Op         Op            `json:"op"`
	First      int           `json:"first,omitempty"`
	Count      int           `json:"count,omitempty"`
	Tenant     string        `json:"tenant,omitempty"`
	Service    string        `json:"service,omitempty"` // service of Tenant, if it has one and the nodes of this process may not know the tenant yet
	Generation uint64        `json:"generation,omitempty"`
	Wait       time.Duration `json:"wait,omitempty"` // ns
}

// Reply answers a Request. Err is one line; it is empty if the request succeeded.
type Reply struct {
	Err     string   `json:"err,omitempty"`
	Usage   *Usage   `json:"usage,omitempty"`
	InForce *InForce `json:"in_force,omitempty"`
}

// Call is a kind of call that hollow nodes and servers make.
type Call string

const (
	CallIntent   Call = "intent"   // watch of the intent
	CallList     Call = "list"     // watch of the endpoint list
	CallReport   Call = "report"   // report to the leader
	CallRegister Call = "register" // registration, renewal or deregistration of a server
)

// Traffic counts the calls of one kind and their bytes. The bytes are those of the TCP streams, including HTTP headers.
type Traffic struct {
	Calls    uint64 `json:"calls"`
	BytesIn  uint64 `json:"bytes_in"`
	BytesOut uint64 `json:"bytes_out"`
}

// Usage holds the resource use of a hollow process, the state of its nodes and servers, and its counters since it started.
type Usage struct {
	Calls       map[Call]Traffic `json:"calls"`
	CPU         time.Duration    `json:"cpu"`          // user and system CPU time of the process, ns
	HeapBytes   uint64           `json:"heap_bytes"`   // live heap after a garbage collection
	RSSBytes    uint64           `json:"rss_bytes"`    // resident set size
	Ready       int              `json:"ready"`        // nodes that have caught up, hold their session and are in the load balancer
	Registered  int              `json:"registered"`   // servers whose lease is held
	Behind      uint64           `json:"behind"`       // largest distance of a node's revision from the newest one seen in this process
	Items       int              `json:"items"`        // intent items held, summed over all nodes
	Goroutines  int              `json:"goroutines"`   // goroutines of the process
	Descriptors int              `json:"descriptors"`  // file descriptors open in the process
	Failures    uint64           `json:"failures"`     // failed calls of any kind
	CopyBytes   uint64           `json:"copy_bytes"`   // bytes written to durable copies
	ReportBytes uint64           `json:"report_bytes"` // bytes of report bodies, without headers

	ReportDeltas     uint64 `json:"differences"`      // reports that were sent as report deltas
	ReportDeltaBytes uint64 `json:"difference_bytes"` // bytes of the bodies of these report deltas
}

// InForce says when a generation came into force on the nodes of this process that hold the tenant.
type InForce struct {
	Nodes int       `json:"nodes"` // running nodes that have the tenant in their scope
	Have  int       `json:"have"`  // those of Nodes on which the generation is in force
	Last  time.Time `json:"last"`  // when the generation came into force on the last of these, by the machine's clock
	Worst string    `json:"worst"` // a node on which the generation is not in force; if there is none, the last one to reach it
	// Times are the times at which the generation came into force on each node, by the machine's clock, in Unix ns and no
	// particular order.
	Times []int64 `json:"times,omitempty"`
}
