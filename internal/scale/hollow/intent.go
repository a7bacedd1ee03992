package hollow

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"meadowsill/internal/fleet"
	"meadowsill/policy"
)

// watchIntent polls the agent for the intent and delivers its changes to the module until ctx ends.
func (n *node) watchIntent(ctx context.Context) {
	for ctx.Err() == nil {
		requested := time.Now()
		intent, err := n.fetchIntent(ctx)
		receivedAt := time.Now()
		if err == nil {
			err = n.mirror.Merge(intent)
		}
		wait := intentPause
		if err != nil {
			n.recordFailure(ctx, "intent", err)
			wait = failedCallPause
		} else {
			n.applyIntent(receivedAt, intent.CaughtUp)
			if !n.mirror.Changed && receivedAt.Sub(requested) < intentPause {
				wait = reportInterval
			}
		}
		pause(ctx, wait)
	}
}

func (n *node) fetchIntent(ctx context.Context) (fleet.Intent, error) {
	wait := intentTimeout
	if !n.mirror.Answered {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	raw, err := call(ctx, n.agent, http.MethodGet, fmt.Sprintf("/fleet/v1/intent?since=%d&timeout_ms=%d&node=%s", n.mirror.Revision,
		wait.Milliseconds(), n.member.Node), nil)
	if err != nil {
		return fleet.Intent{}, err
	}
	return fleet.DecodeIntent(raw)
}

// applyIntent delivers the changes of the mirror's last answer to the module. receivedAt is when the answer arrived; complete says
// that it brought the node up to date.
func (n *node) applyIntent(receivedAt time.Time, complete bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, event := range n.mirror.Events(time.Since(receivedAt)) {
		n.module.deliver(event)
		if tenant, ok := event.(policy.TenantUpdate); ok {
			n.recordTenant(tenant)
		}
	}
	n.revision = n.mirror.Revision
	n.sessionHeld = n.mirror.LeaseLeft > 0
	n.items = len(n.mirror.Items)
	n.fleet.recordRevision(n.revision)
	if n.mirror.Changed {
		n.applied = nil
	}
	if complete {
		n.markSynced()
	}
}

// recordTenant records the generation that the node now serves a tenant by. The caller holds mu.
func (n *node) recordTenant(tenant policy.TenantUpdate) {
	var generation uint64
	if tenant.Committed != nil && !tenant.Removing && !tenant.Removed {
		generation = tenant.Committed.Generation
	}
	if before, known := n.serving[tenant.Name]; !known || before.generation != generation {
		n.serving[tenant.Name] = served{generation, time.Now()}
	}
	if len(n.services) > 0 && !tenant.Removed {
		n.fleet.recordTenantService(tenant.Name, n.mirror.Items[fleet.KeyTenant+tenant.Name].Body)
	}
	n.setLoad(tenant.Name)
}

// markSynced tells the module, on the first call only, that the intent is complete. The caller holds mu.
func (n *node) markSynced() {
	if !n.synced {
		n.synced = true
		n.module.deliver(policy.FleetSynced{Revision: n.revision})
	}
}

// setLoad adds a tenant to those that the traffic model generates load for, or removes it. The tenant has load if the node serves it
// and it ranks among the first ActiveTenants in the node's own order. The caller holds mu.
func (n *node) setLoad(tenant string) {
	m := n.module
	at, had := slices.BinarySearchFunc(m.active, tenant, n.compareRank)
	switch {
	case n.mayHaveLoad(tenant) && !had:
		m.active = slices.Insert(m.active, at, tenant)
		m.active = m.active[:min(len(m.active), n.cfg.ActiveTenants)]
	case !n.mayHaveLoad(tenant) && had:
		m.active = m.active[:0]
		for other := range n.serving {
			if n.mayHaveLoad(other) {
				m.active = append(m.active, other)
			}
		}
		slices.SortFunc(m.active, n.compareRank)
		m.active = slices.Clone(m.active[:min(len(m.active), n.cfg.ActiveTenants)])
	}
}

// mayHaveLoad reports whether the node serves a tenant of its scope, which may therefore have load. The caller holds mu.
func (n *node) mayHaveLoad(tenant string) bool {
	return n.serving[tenant].generation > 0 && n.serves(tenant)
}

// serves reports whether a tenant is in the node's scope.
func (n *node) serves(tenant string) bool {
	return len(n.services) == 0 || fleet.Serves(n.services, n.fleet.serviceOf(tenant))
}

// compareRank orders the tenants by their rank on this node, which depends on the seed. The first ones have load.
func (n *node) compareRank(a, b string) int {
	return cmp.Or(cmp.Compare(n.rank(a), n.rank(b)), cmp.Compare(a, b))
}

func (n *node) rank(tenant string) uint64 {
	const multiplier = 0x9e3779b97f4a7c15 // an odd multiplier makes the order of the ranks differ from node to node
	return (xxhash.Sum64String(tenant) ^ xxhash.Sum64String(n.member.Node) ^ n.cfg.Seed) * multiplier
}
