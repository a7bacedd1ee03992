// Package bounds keeps a run of many processes within the machine: what it needs is worked out and compared with the limits before
// anything starts, and what it uses is watched while it goes on. A run may take half of the machine's memory, 300 processes,
// and what the machine allows of descriptors and ports.
package bounds

import "fmt"

// Limits are what a run may not pass.
type Limits struct {
	MemoryBytes uint64 // half of the machine's
	Processes   int
	Descriptors int // of one process
	Ports       int // of connections to one replica's address
}

// MaxProcesses is how many processes a run may have.
const MaxProcesses = 300

// LimitsOf gives the limits on a machine.
func LimitsOf(m Machine) Limits {
	return Limits{MemoryBytes: m.MemoryBytes / 2, Processes: MaxProcesses, Descriptors: int(m.Descriptors), Ports: ephemeralPorts()}
}

// Needs are what a run is reckoned to take.
type Needs struct {
	MemoryBytes uint64
	Processes   int
	Descriptors int // of the process that has the most
	Ports       int // connections to the leader's address
}

// Within compares what is needed with the limits.
func (n Needs) Within(l Limits) error {
	switch {
	case n.MemoryBytes > l.MemoryBytes:
		return fmt.Errorf("needs %d MiB of memory, half of the machine's is %d MiB", n.MemoryBytes>>20, l.MemoryBytes>>20)
	case n.Processes > l.Processes:
		return fmt.Errorf("needs %d processes, at most %d are allowed", n.Processes, l.Processes)
	case n.Descriptors > l.Descriptors:
		return fmt.Errorf("needs %d descriptors in one process, the limit is %d", n.Descriptors, l.Descriptors)
	case n.Ports > l.Ports:
		return fmt.Errorf("needs %d ports for one replica, the machine has %d", n.Ports, l.Ports)
	}
	return nil
}
