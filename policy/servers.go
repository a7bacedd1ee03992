package policy

import "time"

// Time is a reading of the caller's monotonic clock, whose origin is arbitrary.
type Time = time.Duration

// ServerID identifies a server, and RequestID a client's request. Both are opaque.
type (
	ServerID  uint32
	RequestID string
)

// ServerState is the state of a server according to discovery.
type ServerState int

const (
	// Ready servers accept requests.
	Ready ServerState = iota
	// Draining servers finish the requests that they have and must get no others.
	Draining
	// Removed servers are no longer listed.
	Removed
)

// Server is an entry of the endpoint list.
type Server struct {
	ID        ServerID
	Zone      string
	Kind      string
	Cell      int
	State     ServerState
	Weight    float64 // relative weight without a unit, to compare with other servers
	StartedAt Time    // when the server started; 0: long ago
	Name      string  // name in discovery; only set if Settings.Fleet is
}

// LoadReport is a server's report of its own load. It is late and not exact.
type LoadReport struct {
	InFlight    float64 // requests in flight
	Queue       float64 // requests waiting in the server
	HasInFlight bool
	HasQueue    bool
	Utilisation float64 // 0 if absent
	ServiceTime time.Duration
	// Rate and ErrorRate are per second.
	Rate      float64
	ErrorRate float64
}

// EndpointUpdateKind says what an EndpointUpdate contains.
type EndpointUpdateKind int

const (
	// EndpointsChanged is an update with the changed entries only.
	EndpointsChanged EndpointUpdateKind = iota
	// EndpointsComplete is a complete list. A server that is not in it is removed.
	EndpointsComplete
	// EndpointsCached is the last complete list that this node stored. It can be old.
	EndpointsCached
	// EndpointsFailed means that a call failed or the subscription broke. It has no entries.
	EndpointsFailed
)

// OutcomeCode says how an attempt or a health check ended.
type OutcomeCode int

const (
	// OK: the server answered.
	OK OutcomeCode = iota
	// ServerError: the server failed; the request may have run.
	ServerError
	// Rejected: the server rejected the request without running it.
	Rejected
	// TimedOut: no answer arrived in time; the request may have run or may still be running.
	TimedOut
	// ConnectFailed: the connection could not be opened; the request was never sent.
	ConnectFailed
	// Reset: the connection broke; the request may have run.
	Reset
	// Cancelled: the node cancelled the attempt; the request may have run.
	Cancelled
	// NotSent: the request was never sent, as it was over before.
	NotSent
)

// mayHaveRun reports whether a request may have run in an attempt that ended with this code.
func (c OutcomeCode) mayHaveRun() bool {
	return c != Rejected && c != ConnectFailed && c != NotSent
}
