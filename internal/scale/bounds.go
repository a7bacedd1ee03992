package scale

import (
	"fmt"

	"meadowsill/internal/lab/bounds"
)

// The resource needs of the parts of a run, with some headroom (docs/scale.md, "Bounds"), in bytes of memory unless stated otherwise.
// They serve to reject a sweep before it starts; while it runs, bounds.Watcher watches the actual use.
const (
	replicaBytes             = 64 << 20 // a replica without a fleet
	replicaTenantBytes       = 8 << 10  // per tenant at a replica: state, items, log and answers in flight
	replicaServerBytes       = 6 << 10  // per server at a replica
	replicaNodeBytes         = 128 << 10
	processBytes             = 24 << 20 // a hollow process without nodes or servers
	nodeBytes                = 512 << 10
	nodeTenantBytes          = 12 << 10 // per tenant at a node: the agent's copy, the module and the report
	leaderTenantBytes        = 3 << 10  // per tenant in a node's report, at the leader
	nodeServerBytes          = 3 << 10  // per server at a node: the agent's list and the module's
	registrantBytes          = 24 << 10
	runnerBytes              = 64 << 20
	nodeConnections          = 4  // connections of a node to replicas: the intent, the list, the reports, and one that is being replaced
	registrantsPerConnection = 8  // registrants that share a connection
	spareDescriptors         = 64 // descriptors of any process for logs, stores and listeners
)

// EstimateNeeds estimates the resources that one point of a sweep needs. It assumes that every node holds every server and, without a
// scope, every tenant.
func EstimateNeeds(p *Plan, l Load) bounds.Needs {
	nodeProcesses, serverProcesses := processCount(l.Nodes, p.Hollow.NodesPerProcess), processCount(l.Servers, p.Hollow.ServersPerProcess)
	tenantsHeld := tenantsPerNode(l)
	node := uint64(nodeBytes + nodeTenantBytes*tenantsHeld + nodeServerBytes*l.Servers)
	replica := uint64(replicaBytes + replicaTenantBytes*l.Tenants + replicaServerBytes*l.Servers + replicaNodeBytes*l.Nodes)
	memory := uint64(runnerBytes) + uint64(p.Replicas)*replica + uint64(leaderTenantBytes*tenantsHeld*l.Nodes) +
		uint64(nodeProcesses+serverProcesses)*processBytes +
		uint64(l.Nodes)*node + uint64(l.Servers)*registrantBytes
	leaderConnections := nodeConnections*l.Nodes + l.Servers/registrantsPerConnection
	processConnections := max(nodeConnections*min(l.Nodes, p.Hollow.NodesPerProcess), min(l.Servers, p.Hollow.ServersPerProcess)/registrantsPerConnection)
	return bounds.Needs{MemoryBytes: memory, Processes: 1 + p.Replicas + nodeProcesses + serverProcesses,
		Descriptors: spareDescriptors + max(leaderConnections, processConnections), Ports: leaderConnections}
}

// tenantsPerNode returns how many tenants a node of the load holds, rounded up.
func tenantsPerNode(l Load) int {
	if l.PerNode == 0 {
		return l.Tenants
	}
	return (l.Tenants*l.PerNode + l.Services - 1) / l.Services
}

// processCount returns how many processes are needed for count members with perProcess members each.
func processCount(count, perProcess int) int { return (count + perProcess - 1) / perProcess }

// Check returns an error of one line if a point of the plan needs more than the limits allow.
func Check(p *Plan, limits bounds.Limits) error {
	for i, size := range p.Sizes {
		needs := EstimateNeeds(p, p.Base.WithSize(p.Dimension, size))
		if err := needs.Within(limits); err != nil {
			return fmt.Errorf("sizes[%d]: %s %v: %w", i, p.Dimension, size, err)
		}
	}
	return nil
}
