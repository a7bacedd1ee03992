package main

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	tenantsplay "meadowsill/internal/fleet/tenants/simulation"
	zonesplay "meadowsill/internal/fleet/zones/simulation"
)

// coreSimulations are the runs of one core by kind. How many nodes there are, and for how long, is the run's own choice.
var coreSimulations = map[string]func(seed uint64) error{
	"zones":   func(s uint64) error { return zonesplay.Run(zonesplay.Draw(s)) },
	"tenants": func(s uint64) error { return tenantsplay.Run(int64(s), 40) },
}

// simulateCore simulates seeds of a kind of coreSimulations. The error is the breach of the lowest seed.
func simulateCore(ctx context.Context, out io.Writer, kind string, first uint64, seeds, workers int) error {
	began, next := time.Now(), 0
	var lock sync.Mutex
	broken, plays := map[uint64]error{}, 0
	var wg sync.WaitGroup
	for range max(workers, 1) {
		wg.Go(func() {
			for {
				lock.Lock()
				s := first + uint64(next)
				next++
				over := next > seeds || ctx.Err() != nil
				lock.Unlock()
				if over {
					return
				}
				err := coreSimulations[kind](s)
				lock.Lock()
				if plays++; err != nil {
					broken[s] = err
				}
				lock.Unlock()
			}
		})
	}
	wg.Wait()
	fmt.Fprintf(out, "%d plays in %v: %d broke a rule\n", plays, time.Since(began).Round(time.Second), len(broken))
	for i := range seeds {
		if s := first + uint64(i); broken[s] != nil {
			return fmt.Errorf("%w; again: fleetlab simulate --kind %s --seed %d --seeds 1", broken[s], kind, s)
		}
	}
	return ctx.Err()
}
