package agent

import (
	"errors"
	"fmt"
)

// errIncompleteAnswer says that a replica answered with changes a call that wants everything.
var errIncompleteAnswer = errors.New("changes, where everything was asked for")

// statusError is an answer of a replica with a status that the agent has no other use for.
type statusError struct {
	status int
	body   []byte
}

// Error returns the status and the beginning of the body.
func (e *statusError) Error() string { return fmt.Sprintf("status %d: %.100q", e.status, e.body) }
