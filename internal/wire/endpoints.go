package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"meadowsill/policy"
)

// serverEntry is one server of a list.
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

var states = map[string]policy.ServerState{
	"ready": policy.Ready, "draining": policy.Draining, "gone": policy.Removed,
}

// decodeEndpointUpdate reads the endpoint list, or changes of it.
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
	l := policy.EndpointUpdate{Kind: kind, Version: e.Version}
	for i, it := range e.Items {
		if it.Backend == nil {
			return InstanceEvent{}, fmt.Errorf("entry %d: %w", i, missingFieldError("backend"))
		}
		state, ok := states[it.State]
		if !ok {
			return InstanceEvent{}, fmt.Errorf("entry %d: unknown state %q", i, it.State)
		}
		l.Servers = append(l.Servers, policy.Server{
			ID:        policy.ServerID(*it.Backend),
			Zone:      it.Zone,
			Kind:      it.Model,
			Cell:      it.Pod,
			State:     state,
			Weight:    it.Nominal,
			StartedAt: time.Duration(it.ReadyAt),
		})
	}
	return InstanceEvent{Event: l}, nil
}
