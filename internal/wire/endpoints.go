package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"meadowsill/policy"
)

// serverEntry is one server of an endpoint list on the wire.
type serverEntry struct {
	Backend *uint32 `json:"backend"`
	Zone    string  `json:"zone"`
	Model   string  `json:"model"`
	Pod     int     `json:"pod"`
	State   string  `json:"state"`
	Nominal float64 `json:"nominal"`
	ReadyAt int64   `json:"ready_at_ns"`
}

var updateKinds = map[string]policy.EndpointUpdateKind{
	"D": policy.EndpointsChanged, "F": policy.EndpointsComplete, "C": policy.EndpointsCached, "X": policy.EndpointsFailed,
}

var serverStates = map[string]policy.ServerState{
	"ready": policy.Ready, "draining": policy.Draining, "gone": policy.Removed,
}

// decodeEndpointUpdate decodes a complete endpoint list or changes to it.
func decodeEndpointUpdate(raw json.RawMessage) (InstanceEvent, error) {
	var e struct {
		How     string        `json:"how"`
		Version uint64        `json:"version"`
		Items   []serverEntry `json:"items"`
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return InstanceEvent{}, err
	}
	kind, ok := updateKinds[e.How]
	if !ok {
		return InstanceEvent{}, fmt.Errorf("unknown how %q", e.How)
	}
	update := policy.EndpointUpdate{Kind: kind, Version: e.Version}
	for i, entry := range e.Items {
		if entry.Backend == nil {
			return InstanceEvent{}, fmt.Errorf("entry %d: %w", i, missingFieldError("backend"))
		}
		state, ok := serverStates[entry.State]
		if !ok {
			return InstanceEvent{}, fmt.Errorf("entry %d: unknown state %q", i, entry.State)
		}
		update.Servers = append(update.Servers, policy.Server{
			ID:        policy.ServerID(*entry.Backend),
			Zone:      entry.Zone,
			Kind:      entry.Model,
			Cell:      entry.Pod,
			State:     state,
			Weight:    entry.Nominal,
			StartedAt: time.Duration(entry.ReadyAt),
		})
	}
	return InstanceEvent{Event: update}, nil
}
