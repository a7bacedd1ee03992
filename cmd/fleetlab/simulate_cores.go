package main

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	tenantsimulation "meadowsill/internal/fleet/tenants/simulation"
	zonesimulation "meadowsill/internal/fleet/zones/simulation"
)

// coreSimulations are the simulations of one core, by kind. Each chooses its own number of nodes and its own duration.
var coreSimulations = map[string]func(seed uint64) error{
	"zones":   func(s uint64) error { return zonesimulation.Run(zonesimulation.Draw(s)) },
	"tenants": func(s uint64) error { return tenantsimulation.Run(int64(s), 40) },
}

// simulateCore runs the simulation of a kind with as many consecutive seeds as seeds says, starting with first. The error is the breach
// of the lowest seed.
func simulateCore(ctx context.Context, out io.Writer, kind string, first uint64, seeds, workers int) error {
	began := time.Now()
	var mu sync.Mutex // guards next, breaches and runs
	next := 0
	breaches := map[uint64]error{}
	runs := 0
	var wg sync.WaitGroup
	for range max(workers, 1) {
		wg.Go(func() {
			for {
				mu.Lock()
				s := first + uint64(next)
				next++
				finished := next > seeds || ctx.Err() != nil
				mu.Unlock()
				if finished {
					return
				}
				err := coreSimulations[kind](s)
				mu.Lock()
				runs++
				if err != nil {
					breaches[s] = err
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	fmt.Fprintf(out, "%d runs in %v: %d broke a rule\n", runs, time.Since(began).Round(time.Second), len(breaches))
	for i := range seeds {
		if s := first + uint64(i); breaches[s] != nil {
			return fmt.Errorf("%w; again: fleetlab simulate --kind %s --seed %d --seeds 1", breaches[s], kind, s)
		}
	}
	return ctx.Err()
}
