package scale

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"

	"starlingvalve/internal/fleet"
	"starlingvalve/internal/scale/hollow"
)

// putsAtOnce is how many tenants are put at the same time before the nodes start.
const putsAtOnce = 64

// population is the tenants of a run and the generation that each is at.
type population struct {
	load        Load
	plane       ControlPlane
	generations []uint64 // by tenant
	random      *rand.Rand
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
				p.generations[tenant] = 1
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

// triesForOne is how many tenants are tried for one change: one that is not done with its last generation is passed over.
const triesForOne = 20

// change proposes the next generation of a random tenant.
func (p *population) change(ctx context.Context) (spec fleet.Spec, generation uint64, err error) {
	for range triesForOne {
		tenant := p.random.IntN(p.load.Tenants)
		at := p.generations[tenant]
		spec = p.load.spec(tenant, at+1)
		err = p.plane.Propose(ctx, at, spec)
		if err == nil {
			p.generations[tenant]++
			return spec, at + 1, nil
		}
		if !errors.Is(err, errConflict) {
			return spec, 0, err
		}
	}
	return spec, 0, err
}
