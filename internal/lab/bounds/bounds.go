// Package bounds keeps a run of many processes within the limits of the machine. The estimated needs of a run are compared with the
// limits before any process starts, and its actual use is checked while it runs. A run may use half of the machine's memory,
// 300 processes, and as many descriptors and ports as the machine allows.
package bounds

import "fmt"

// Limits are the upper bounds on the resources of a run.
type Limits struct {
	MemoryBytes uint64 // half of the machine's memory
	Processes   int
	Descriptors int // open descriptors of one process
	Ports       int // local ports for connections to one replica's address
}

// MaxProcesses is the largest number of processes that a run may have.
const MaxProcesses = 300

// LimitsOf returns the limits of a run on machine m.
func LimitsOf(m Machine) Limits {
	return Limits{MemoryBytes: m.MemoryBytes / 2, Processes: MaxProcesses, Descriptors: int(m.Descriptors), Ports: ephemeralPorts()}
}

// Needs are the resources that a run uses, estimated beforehand or measured while it runs.
type Needs struct {
	MemoryBytes uint64
	Processes   int
	Descriptors int // open descriptors of the process that has the most
	Ports       int // local ports for connections to the leader's address
}

// Within returns an error that names the first limit that the needs exceed, or nil.
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
