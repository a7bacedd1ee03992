package scale

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/scale/hollow"
)

// maxConcurrentPuts is how many tenants are put concurrently before the nodes start.
const maxConcurrentPuts = 64

// tenantSet is the tenants of a run with the current generation of each.
type tenantSet struct {
	load  Load
	plane ControlPlane

	mu          sync.Mutex
	generations []uint64 // indexed by tenant
}

// tenantName returns the name of tenant i.
func tenantName(i int) string { return fmt.Sprintf("tenant-%06d", i) }

// spec returns the specification of a tenant at a generation. If nodes have a scope, the tenants are spread evenly over the services.
// The routes are spread evenly over the tenants. Each generation has a slightly higher quota than the previous one.
func (l Load) spec(tenant int, generation uint64) fleet.Spec {
	rate := 100 + float64(generation)
	s := fleet.Spec{Name: tenantName(tenant), Quota: fleet.Quota{Rate: rate, Burst: rate}}
	if l.PerNode > 0 {
		s.Service = hollow.ServiceName(tenant % l.Services)
	}
	routes := l.Routes / l.Tenants
	if tenant < l.Routes%l.Tenants {
		routes++
	}
	for i := range routes {
		s.Routes = append(s.Routes, fleet.Route{ID: fmt.Sprintf("s-*%02d", i), Weight: 1})
	}
	if routes > 0 {
		s.Fallback = "any"
	}
	return s
}

// putAll puts the first generation of every tenant. The first failure ends it.
func (t *tenantSet) putAll(ctx context.Context) error {
	next := make(chan int)
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	var done sync.WaitGroup
	for range maxConcurrentPuts {
		done.Go(func() {
			for tenant := range next {
				if err := t.plane.Propose(ctx, 0, t.load.spec(tenant, 1)); err != nil {
					fail(err)
				}
				t.mu.Lock()
				t.generations[tenant] = 1
				t.mu.Unlock()
			}
		})
	}
	for tenant := range t.load.Tenants {
		if ctx.Err() != nil {
			break
		}
		next <- tenant
	}
	close(next)
	done.Wait()
	return context.Cause(ctx)
}

// maxChangeAttempts is how many random tenants are tried for one change. A tenant is skipped while the rollout of its previous
// generation is not complete.
const maxChangeAttempts = 20

// change proposes the next generation of a random tenant; putAt is when it sent the proposal.
func (t *tenantSet) change(ctx context.Context, random *rand.Rand) (spec fleet.Spec, generation uint64, putAt time.Time, err error) {
	for range maxChangeAttempts {
		putAt = time.Now()
		spec, generation, err = t.next(ctx, random.IntN(t.load.Tenants))
		if !errors.Is(err, errConflict) {
			return spec, generation, putAt, err
		}
		if pauseErr := pause(ctx, retryPause); pauseErr != nil {
			return spec, 0, putAt, pauseErr
		}
	}
	return spec, generation, putAt, err
}

// next proposes the next generation of a tenant.
func (t *tenantSet) next(ctx context.Context, tenant int) (spec fleet.Spec, generation uint64, err error) {
	t.mu.Lock()
	at := t.generations[tenant]
	t.mu.Unlock()
	spec = t.load.spec(tenant, at+1)
	if err := t.plane.Propose(ctx, at, spec); err != nil {
		return spec, 0, err
	}
	t.mu.Lock()
	t.generations[tenant] = at + 1
	t.mu.Unlock()
	return spec, at + 1, nil
}
