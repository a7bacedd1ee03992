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
type population struct {
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
func (p *population) putAll(ctx context.Context) error {
	next := make(chan int)
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	var done sync.WaitGroup
	for range putsAtOnce {
		done.Go(func() {
			for tenant := range next {
				if err := p.plane.Propose(ctx, 0, p.load.spec(tenant, 1)); err != nil {
					fail(err)
				}
				p.mu.Lock()
				p.generations[tenant] = 1
				p.mu.Unlock()
			}
		})
	}
	for tenant := range p.load.Tenants {
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
const maxPlacementAttempts = 20

// change proposes the next generation of a random tenant, and gives when it did.
func (p *population) change(ctx context.Context, random *rand.Rand) (spec fleet.Spec, generation uint64, put time.Time, err error) {
	for range maxPlacementAttempts {
		put = time.Now()
		spec, generation, err = p.next(ctx, random.IntN(p.load.Tenants))
		if !errors.Is(err, errConflict) {
			return spec, generation, put, err
		}
		if paused := pause(ctx, changeRest); paused != nil {
			return spec, 0, put, paused
		}
	}
	return spec, generation, put, err
}

// next proposes a tenant's next generation.
func (p *population) next(ctx context.Context, tenant int) (spec fleet.Spec, generation uint64, err error) {
	p.mu.Lock()
	at := p.generations[tenant]
	p.mu.Unlock()
	spec = p.load.spec(tenant, at+1)
	if err := p.plane.Propose(ctx, at, spec); err != nil {
		return spec, 0, err
	}
	p.mu.Lock()
	p.generations[tenant] = at + 1
	p.mu.Unlock()
	return spec, at + 1, nil
}
