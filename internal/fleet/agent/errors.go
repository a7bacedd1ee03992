package agent

import (
	"errors"
	"fmt"
)

// errIncompleteAnswer reports that a replica answered with a delta although every item was requested.
var errIncompleteAnswer = errors.New("the replica sent a delta although every item was requested")

// statusError is a replica's answer with a status that the agent does not handle.
type statusError struct {
	status int
	body   []byte
}

// Error returns the status and the first 100 bytes of the body.
func (e *statusError) Error() string { return fmt.Sprintf("status %d: %.100q", e.status, e.body) }
