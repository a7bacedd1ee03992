package scale

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"

	"starlingvalve/internal/fleet"
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

// serviceName names service i, as hollow nodes and servers do.
func serviceName(i int) string { return fmt.Sprintf("svc-%03d", i) }

// spec is the specification of a tenant at a generation. Tenants are spread evenly over the services, and routes over the
// tenants. Each generation has a slightly higher quota than the one before.
func (l Load) spec(tenant int, generation uint64) fleet.Spec {
	rate := 100 + float64(generation)
	s := fleet.Spec{Name: tenantName(tenant), Service: serviceName(tenant % l.Services), Quota: fleet.Quota{Rate: rate, Burst: rate}}
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

// putAll puts the first generation of every tenant.
func (p *population) putAll(ctx context.Context) error {
	next := make(chan int)
	errs := make([]error, putsAtOnce)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var done sync.WaitGroup
	for worker := range putsAtOnce {
		done.Go(func() {
			for tenant := range next {
				if err := p.plane.Propose(ctx, 0, p.load.spec(tenant, 1)); err != nil {
					errs[worker] = err
					cancel(err)
					return
				}
			}
		})
	}
	for tenant := range p.load.Tenants {
		select {
		case next <- tenant:
		case <-ctx.Done():
		}
	}
	close(next)
	done.Wait()
	for i := range p.generations {
		p.generations[i] = 1
	}
	return errors.Join(errs...)
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
