package lab

import (
	"fmt"

	"meadowsill/internal/lab/bounds"
)

// Resources that each part of a lab run takes, with some reserve. A run that needs more than the machine's limits is refused
// before it starts.
const (
	labBytes         = 64 << 20
	linkBytes        = 32 << 10 // an idle relay; docs/lab.md, "What runs"
	nodeBytes        = 24 << 20
	agentBytes       = 20 << 20
	memberBytes      = 20 << 20
	replicaBytes     = 64 << 20
	spareDescriptors = 128 // of the lab's process, for logs, listeners and probes
	nodeDescriptors  = 4   // of the lab's process, for each node's log and its connections from the front
)

// needs estimates the resources that a scenario takes. The descriptors are those of the lab's own process, which has the most:
// a listener for each relay.
func (s *Scenario) needs() bounds.Needs {
	links := s.Fleet.Nodes * (s.Fleet.Servers + 2)
	processes := 1 + s.Fleet.Nodes
	memory := labBytes + nodeBytes*s.Fleet.Nodes
	if s.Fleet.Discovery == "replicated" {
		links += s.Fleet.Replicas * (s.Fleet.Replicas - 1 + s.Fleet.Nodes)
		processes += s.Fleet.Nodes + s.Fleet.Replicas
		memory += agentBytes*s.Fleet.Nodes + replicaBytes*s.Fleet.Replicas
	}
	if s.Fleet.Gossip {
		links += s.Fleet.Nodes * s.Fleet.Nodes
		processes += s.Fleet.Nodes
		memory += memberBytes * s.Fleet.Nodes
	}
	memory += links * linkBytes
	return bounds.Needs{MemoryBytes: uint64(memory), Processes: processes,
		Descriptors: spareDescriptors + links + s.Fleet.Servers + nodeDescriptors*s.Fleet.Nodes}
}

// checkNeeds returns an error if the scenario needs more than the limits allow.
func (s *Scenario) checkNeeds(limits bounds.Limits) error {
	if err := s.needs().Within(limits); err != nil {
		return fmt.Errorf("scenario %s: fleet: %w", s.Name, err)
	}
	return nil
}
