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

// putsAtOnce is how many tenants are put at the same time before the nodes start.
const putsAtOnce = 64

// population is the tenants of a run and the generation that each is at.
type tenantSet struct {
	load  Load
	plane ControlPlane

	mu          sync.Mutex
	generations []uint64 // by tenant
}

// tenantName names tenant i.
func tenantName(i int) string { return fmt.Sprintf("tenant-%06d", i) }

// spec is the specification of a tenant at a generation. Where nodes have a scope, tenants are spread evenly over the
// services; routes are over the tenants. Each generation has a slightly higher quota than the one before.
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

// putAll puts the first generation of every tenant. The first that fails ends it.
func (t *tenantSet) putAll(ctx context.Context) error {
	next := make(chan int)
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	var done sync.WaitGroup
	for range putsAtOnce {
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

// maxPlacementAttempts is how many tenants are tried for one change: one that is not done with its last generation is passed over.
const maxChangeAttempts = 20

// change proposes the next generation of a random tenant, and gives when it did.
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

// next proposes a tenant's next generation.
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
