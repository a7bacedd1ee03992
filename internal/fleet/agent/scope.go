package agent

import (
	"encoding/json"
	"slices"
	"strings"

	"meadowsill/internal/fleet"
)

// scopedTenant is the part of a tenant's body that determines which nodes hold the tenant.
type scopedTenant struct {
	Committed *scopedGeneration `json:"committed"`
	Staged    *scopedGeneration `json:"staged"`
}

type scopedGeneration struct {
	Spec struct {
		Service string `json:"service"`
	} `json:"spec"`
}

func (g *scopedGeneration) serves(services []string) bool {
	return g != nil && fleet.Serves(services, g.Spec.Service)
}

// inScope reports whether a node that serves services holds an item. Only tenants have a scope: the service of the committed
// generation and, during a rollout, also that of the staged one. A tenant without either generation is in every scope, and so is a
// removed item, because it has no body to read the service from.
func inScope(services []string, item fleet.Item) bool {
	if len(services) == 0 || item.Removed || !strings.HasPrefix(item.Key, fleet.KeyTenant) {
		return true
	}
	var tenant scopedTenant
	if json.Unmarshal(item.Body, &tenant) != nil || tenant.Committed == nil && tenant.Staged == nil {
		return true
	}
	return tenant.Committed.serves(services) || tenant.Staged.serves(services)
}

// restrictToScope returns an answer restricted to the scope, whatever the replica's build sent. A complete answer loses the other
// tenants. A delta keeps them as removed, because they may have been in scope when the node last read.
func restrictToScope(services []string, in fleet.Intent) fleet.Intent {
	if len(services) == 0 {
		return in
	}
	items := make([]fleet.Item, 0, len(in.Items))
	for _, item := range in.Items {
		switch {
		case inScope(services, item):
			items = append(items, item)
		case !in.Full:
			items = append(items, fleet.Item{Key: item.Key, Revision: item.Revision, Removed: true})
		}
	}
	in.Items = items
	return in
}

// isWidened reports whether the scope now contains a service that the scope before did not.
func isWidened(before, now []string) bool {
	if len(before) == 0 {
		return false
	}
	return len(now) == 0 || slices.ContainsFunc(now, func(service string) bool { return !slices.Contains(before, service) })
}
