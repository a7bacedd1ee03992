// Package wire translates between the simulator's JSON lines and the types of package policy. It makes no decisions.
package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"meadowsill/policy"
)

// InstanceStart holds the parameters of a new instance of the module.
type InstanceStart struct {
	Settings policy.Settings
	Seed     int64
}

// InstanceEvent is one event for an instance: its start if Start is set, its end if Retire is, or else an event for its module.
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

// Batch is the content of one line from the simulator.
type Batch struct {
	Now       policy.Time
	Instances []InstanceEvents
}

// errUnknownEvent means that the wire has no event of this name.
var errUnknownEvent = errors.New("unknown event")

// missingFieldError is the error for a message without a required field. Its value is the name of the field.
type missingFieldError string

// Error implements error.
func (e missingFieldError) Error() string { return string(e) + " is missing" }

// batchMessage is the JSON form of a line.
type batchMessage struct {
	Now    *int64                  `json:"sim_time_ns"`
	Groups []instanceEventsMessage `json:"groups"`
}

// instanceEventsMessage is the JSON form of the events of one instance. Each event is an object with one key, the event's name.
type instanceEventsMessage struct {
	NodeID *int                         `json:"node_id"`
	Events []map[string]json.RawMessage `json:"happened"`
}

// DecodeBatch decodes one line. An error names the instance and the event that it is about.
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

// decode decodes the events of one instance. NodeID must be set.
func (m *instanceEventsMessage) decode() (InstanceEvents, error) {
	events := InstanceEvents{NodeID: *m.NodeID}
	for i, message := range m.Events {
		location := fmt.Sprintf("node %d, event %d", events.NodeID, i)
		if len(message) != 1 {
			return InstanceEvents{}, fmt.Errorf("%s: want one key, have %d", location, len(message))
		}
		for name, raw := range message {
			event, err := decodeEvent(name, raw)
			if err != nil {
				return InstanceEvents{}, fmt.Errorf("%s, %s: %w", location, name, err)
			}
			events.Events = append(events.Events, event)
		}
	}
	return events, nil
}
