package policy

import "time"

// Action is something that the caller is to do. The types below are all there are.
type Action interface{ action() }

// Actions.
type (
	// Forward starts an attempt; a request's attempts count 0, 1, 2 in this order.
	Forward struct {
		ID      RequestID
		Server  ServerID
		Timeout time.Duration // 0: until the client stops waiting
	}
	// Reject is a final answer: it does no harm to send the request again.
	Reject struct {
		ID         RequestID
		RetryAfter time.Duration // how long the client should wait; 0: no advice
	}
	// Fail is a final answer that promises nothing.
	Fail struct{ ID RequestID }
	// CancelAttempt stops waiting for an attempt.
	CancelAttempt struct {
		ID      RequestID
		Attempt int
	}
	// SetTimer asks for a TimerFired.
	SetTimer struct {
		After time.Duration
		Token int64
	}
	// HealthCheck checks a server.
	HealthCheck struct{ Server ServerID }
	// SendMessage goes to one node, or to all.
	SendMessage struct {
		To    int
		ToAll bool
		Data  []byte
	}
	// Subscribe asks discovery for changes from now on, or stops them.
	Subscribe struct{ On bool }
	// FetchEndpoints asks discovery for the complete list once.
	FetchEndpoints struct{}
	// CloseIdleConnections closes this node's idle connections to a server.
	CloseIdleConnections struct{ Server ServerID }
	// Log is a line for the operators.
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
