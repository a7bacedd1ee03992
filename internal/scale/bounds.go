package scale

import (
	"fmt"

	"meadowsill/internal/lab/bounds"
)

// What the parts of a run take, as measured on this build with some room (docs/scale.md, "Bounds"). They serve to refuse
// in time; while a sweep runs, what is really used is watched (bounds.Watcher).
const (
	replicaBytes             = 64 << 20 // a replica without a fleet
	replicaTenantBytes       = 8 << 10  // a tenant at a replica: state, items, log and its answers on their way
	replicaServerBytes       = 6 << 10  // a server at a replica
	replicaNodeBytes         = 128 << 10
	processBytes             = 24 << 20 // a hollow process without nodes
	nodeBytes                = 512 << 10
	nodeTenantBytes          = 12 << 10 // a tenant at a node: the agent's copy, the module and the report
	leaderTenantBytes        = 3 << 10  // a node's report on a tenant at the leader
	nodeServerBytes          = 3 << 10  // a server at a node: the agent's list and the module's
	registrantBytes          = 24 << 10
	runnerBytes              = 64 << 20
	nodeConnections          = 4  // to replicas: the intent, the list, reports, one in change
	registrantsPerConnection = 8  // registrants that share a connection
	spareDescriptors         = 64 // of any process: its logs, stores, listeners
)

// NeedsOf reckons what one point of a sweep takes. Every node is taken to hold every tenant and every server, as nodes without a
// scope do.
func NeedsOf(p *Plan, l Load) bounds.Needs {
	nodeProcesses, serverProcesses := processCount(l.Nodes, p.Hollow.NodesPerProcess), processCount(l.Servers, p.Hollow.ServersPerProcess)
	tenantsHeld := tenantsPerNode(l)
	node := uint64(nodeBytes + nodeTenantBytes*tenantsHeld + nodeServerBytes*l.Servers)
	replica := uint64(replicaBytes + replicaTenantBytes*l.Tenants + replicaServerBytes*l.Servers + replicaNodeBytes*l.Nodes)
	memory := uint64(runnerBytes) + uint64(p.Replicas)*replica + uint64(leaderTenantBytes*tenantsHeld*l.Nodes) + uint64(nodeProcesses+serverProcesses)*processBytes +
		uint64(l.Nodes)*node + uint64(l.Servers)*registrantBytes
	leaderConnections := nodeConnections*l.Nodes + l.Servers/registrantsPerConnection
	processConnections := max(nodeConnections*min(l.Nodes, p.Hollow.NodesPerProcess), min(l.Servers, p.Hollow.ServersPerProcess)/registrantsPerConnection)
	return bounds.Needs{MemoryBytes: memory, Processes: 1 + p.Replicas + nodeProcesses + serverProcesses,
		Descriptors: spareDescriptors + max(leaderConnections, processConnections), Ports: leaderConnections}
}

// tenantsPerNode is how many tenants a node of the load holds, at most.
func tenantsPerNode(l Load) int {
	if l.PerNode == 0 {
		return l.Tenants
	}
	return (l.Tenants*l.PerNode + l.Services - 1) / l.Services
}

// processesFor is how many processes hold count at so many each.
func processCount(count, perProcess int) int { return (count + perProcess - 1) / perProcess }

// Check refuses a plan of which a point would pass a limit. The error is one line.
func Check(p *Plan, limits bounds.Limits) error {
	for i, size := range p.Sizes {
		needs := NeedsOf(p, p.Base.At(p.Dimension, size))
		if err := needs.Within(limits); err != nil {
			return fmt.Errorf("sizes[%d]: %s %v: %w", i, p.Dimension, size, err)
		}
	}
	return nil
}
