// Package wire translates between the simulator's JSON lines and the types of package policy. It decides nothing.
package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"meadowsill/policy"
)

// InstanceStart begins an instance of the module.
type InstanceStart struct {
	Settings policy.Settings
	Seed     int64
}

// InstanceEvent is one event for an instance: its start, its end, or an event for its module.
type InstanceEvent struct {
	Start  *InstanceStart
	Retire bool
	Event  policy.Event
}

// InstanceEvents holds the events of one instance, in order.
type InstanceEvents struct {
	NodeID int
	Events []InstanceEvent
}

// Batch is one line from the simulator.
type Batch struct {
	Now       policy.Time
	Instances []InstanceEvents
}

// errUnknownEvent means that an event's name is none of the wire's.
var errUnknownEvent = errors.New("unknown event")

// missingFieldError is the error of a message that lacks the field of this name.
type missingFieldError string

// Error implements error.
func (e missingFieldError) Error() string { return string(e) + " is missing" }

// batchMessage is a line as it is written.
type batchMessage struct {
	Now    *int64                  `json:"sim_time_ns"`
	Groups []instanceEventsMessage `json:"groups"`
}

// instanceEventsMessage is the events of one instance as they are written: an object with one key each, the event's name.
type instanceEventsMessage struct {
	NodeID *int                         `json:"node_id"`
	Events []map[string]json.RawMessage `json:"happened"`
}

// DecodeBatch reads one line. An error names the instance and the event.
func DecodeBatch(line []byte) (Batch, error) {
	var message batchMessage
	if err := json.Unmarshal(line, &message); err != nil {
		return Batch{}, fmt.Errorf("batch: %w", err)
	}
	if message.Now == nil {
		return Batch{}, fmt.Errorf("batch: %w", missingFieldError("sim_time_ns"))
	}
	batch := Batch{Now: time.Duration(*message.Now)}
	for i, group := range message.Groups {
		if group.NodeID == nil {
			return Batch{}, fmt.Errorf("group %d: %w", i, missingFieldError("node_id"))
		}
		events, err := group.decode()
		if err != nil {
			return Batch{}, err
		}
		batch.Instances = append(batch.Instances, events)
	}
	return batch, nil
}

// decode reads the events of one instance, whose node_id is there.
func (m *instanceEventsMessage) decode() (InstanceEvents, error) {
	events := InstanceEvents{NodeID: *m.NodeID}
	for i, message := range m.Events {
		where := fmt.Sprintf("node %d, event %d", events.NodeID, i)
		if len(message) != 1 {
			return InstanceEvents{}, fmt.Errorf("%s: want one key, have %d", where, len(message))
		}
		for name, raw := range message {
			event, err := decodeEvent(name, raw)
			if err != nil {
				return InstanceEvents{}, fmt.Errorf("%s, %s: %w", where, name, err)
			}
			events.Events = append(events.Events, event)
		}
	}
	return events, nil
}
