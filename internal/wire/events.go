package wire

import (
	"encoding/json"
	"time"

	"meadowsill/policy"
)

// Names of events on the wire.
const (
	eventArrival        = "submit"
	eventAttemptEnd     = "attempt_end"
	eventHealthCheckEnd = "probe_result"
	eventStreamStart    = "streaming"
	eventTimer          = "due"
	eventAbandonment    = "abandoned"
	eventMessage        = "note_from"
	eventEndpointUpdate = "roster_change"
	eventStart          = "up"
	eventRetire         = "retire"
)

// Bits of the flags field of an arrival.
const (
	flagHasWorkHint = 1
	flagIsRetry     = 2
	flagIsWrite     = 4
)

// decodeEvent decodes the event with this name on the wire.
func decodeEvent(name string, raw json.RawMessage) (InstanceEvent, error) {
	switch name {
	case eventArrival:
		return decodeArrival(raw)
	case eventAttemptEnd, eventHealthCheckEnd, eventStreamStart:
		return decodeOutcome(name, raw)
	case eventTimer:
		return decodeTimer(raw)
	case eventAbandonment:
		return decodeAbandonment(raw)
	case eventMessage:
		return decodeMessage(raw)
	case eventEndpointUpdate:
		return decodeEndpointUpdate(raw)
	case eventStart:
		return decodeStart(raw)
	case eventRetire:
		return InstanceEvent{Retire: true}, nil
	}
	return InstanceEvent{}, errUnknownEvent
}

// decodeArrival decodes the arrival of a request. A user_group that is not a string means that the request names no tenant.
func decodeArrival(raw json.RawMessage) (InstanceEvent, error) {
	var e struct {
		Req      *string `json:"req"`
		Band     string  `json:"band"`
		Group    any     `json:"user_group"`
		Key      string  `json:"partition_key"`
		Patience *int64  `json:"patience_left_ns"`
		Cost     int64   `json:"cost_guess_ns"`
		Flags    int     `json:"flags"`
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return InstanceEvent{}, err
	}
	if e.Req == nil {
		return InstanceEvent{}, missingFieldError("req")
	}
	if e.Patience == nil {
		return InstanceEvent{}, missingFieldError("patience_left_ns")
	}
	tenant, _ := e.Group.(string)
	return InstanceEvent{Event: policy.RequestArrived{
		ID:          policy.RequestID(*e.Req),
		Class:       e.Band,
		Tenant:      tenant,
		Key:         e.Key,
		Timeout:     time.Duration(*e.Patience),
		WorkHint:    time.Duration(e.Cost),
		HasWorkHint: e.Flags&flagHasWorkHint != 0,
		IsRetry:     e.Flags&flagIsRetry != 0,
		IsWrite:     e.Flags&flagIsWrite != 0,
	}}, nil
}

// decodeTimer decodes the expiry of a timer.
func decodeTimer(raw json.RawMessage) (InstanceEvent, error) {
	var e struct {
		Label *int64 `json:"label"`
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return InstanceEvent{}, err
	}
	if e.Label == nil {
		return InstanceEvent{}, missingFieldError("label")
	}
	return InstanceEvent{Event: policy.TimerFired{Token: *e.Label}}, nil
}

// decodeAbandonment decodes the event that a request's client has gone away.
func decodeAbandonment(raw json.RawMessage) (InstanceEvent, error) {
	var e struct {
		Req *string `json:"req"`
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return InstanceEvent{}, err
	}
	if e.Req == nil {
		return InstanceEvent{}, missingFieldError("req")
	}
	return InstanceEvent{Event: policy.RequestAbandoned{ID: policy.RequestID(*e.Req)}}, nil
}

// decodeMessage decodes a message from another node.
func decodeMessage(raw json.RawMessage) (InstanceEvent, error) {
	var e struct {
		From  *int   `json:"from"`
		Bytes []byte `json:"bytes"`
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return InstanceEvent{}, err
	}
	if e.From == nil {
		return InstanceEvent{}, missingFieldError("from")
	}
	return InstanceEvent{Event: policy.MessageReceived{From: *e.From, Data: e.Bytes}}, nil
}
