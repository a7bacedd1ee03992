package policy

import "time"

// Action is something that the caller must do. The types in this file are all the actions.
type Action interface{ action() }

// Actions.
type (
	// Forward starts an attempt. The attempts of a request are numbered 0, 1, 2 and so on in this order.
	Forward struct {
		ID      RequestID
		Server  ServerID
		Timeout time.Duration // 0: until the client stops waiting
	}
	// Reject is a final answer that promises that the client can safely send the request again.
	Reject struct {
		ID         RequestID
		RetryAfter time.Duration // how long the client should wait before it retries; 0: no advice
	}
	// Fail is a final answer that does not say whether the request has run.
	Fail struct{ ID RequestID }
	// CancelAttempt cancels an attempt that is in flight.
	CancelAttempt struct {
		ID      RequestID
		Attempt int
	}
	// SetTimer requests a TimerFired event with the same Token after a delay.
	SetTimer struct {
		After time.Duration
		Token int64
	}
	// HealthCheck sends a health check to a server.
	HealthCheck struct{ Server ServerID }
	// SendMessage sends a message to one node, or to all nodes.
	SendMessage struct {
		To    int
		ToAll bool
		Data  []byte
	}
	// Subscribe starts or stops a subscription to discovery's changes of the endpoint list.
	Subscribe struct{ On bool }
	// FetchEndpoints requests the complete endpoint list from discovery once.
	FetchEndpoints struct{}
	// CloseIdleConnections closes this node's idle connections to a server.
	CloseIdleConnections struct{ Server ServerID }
	// Log writes a log line for the operators.
	Log struct{ Line string }
)

func (Forward) action()              {}
func (Reject) action()               {}
func (Fail) action()                 {}
func (CancelAttempt) action()        {}
func (SetTimer) action()             {}
func (HealthCheck) action()          {}
func (SendMessage) action()          {}
func (Subscribe) action()            {}
func (FetchEndpoints) action()       {}
func (CloseIdleConnections) action() {}
func (Log) action()                  {}
