package hollow

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"meadowsill/internal/fleet/agentclient"
	"meadowsill/internal/registry"
	"meadowsill/policy"
)

const listPause = 50 * time.Millisecond // after an empty answer that came without delay, or a failed call

// watchList polls the agent for the endpoint list and delivers its changes to the module until ctx ends.
func (n *node) watchList(ctx context.Context) {
	var version uint64
	for ctx.Err() == nil {
		requested := time.Now()
		list, err := n.fetchList(ctx, version)
		if err != nil {
			n.recordFailure(ctx, "list", err)
			pause(ctx, listPause)
			continue
		}
		if list.Full || len(list.Servers) > 0 || list.Version != version {
			n.applyList(list)
		} else if time.Since(requested) < listPause {
			pause(ctx, listPause)
		}
		version = list.Version
	}
}

func (n *node) fetchList(ctx context.Context, since uint64) (list registry.Answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout+callSlack)
	defer cancel()
	raw, err := call(ctx, n.list, http.MethodGet, fmt.Sprintf("/registry/instances?since=%d&timeout_ms=%d", since, listTimeout.Milliseconds()), nil)
	if err == nil {
		err = json.Unmarshal(raw, &list)
	}
	return list, err
}

var serverStates = map[string]policy.ServerState{"ready": policy.Ready, "draining": policy.Draining, "gone": policy.Removed}

// applyList delivers a complete list or the changes of a list to the module.
func (n *node) applyList(list registry.Answer) {
	update := policy.EndpointUpdate{Kind: policy.EndpointsChanged, Version: list.Version}
	if list.Full {
		update.Kind = policy.EndpointsComplete
	}
	for _, entry := range list.Servers {
		update.Servers = append(update.Servers, policy.Server{
			ID:        agentclient.ServerID(entry.ID),
			Name:      entry.ID,
			Zone:      entry.Zone,
			Kind:      entry.Kind,
			Cell:      entry.Cell,
			State:     serverStates[entry.State],
			Weight:    entry.Weight,
			StartedAt: time.Duration(entry.StartedMS) * time.Millisecond,
		})
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if list.Full {
		clear(n.ready)
	}
	for _, server := range update.Servers {
		if server.State == policy.Ready {
			n.ready[server.ID] = true
		} else {
			delete(n.ready, server.ID)
		}
	}
	n.version = list.Version
	n.module.deliver(update)
	n.applied = nil
}
