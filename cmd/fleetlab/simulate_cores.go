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

// coreSimulations are the runs of one core by kind. How many nodes there are, and for how long, is the run's own choice.
var coreSimulations = map[string]func(seed uint64) error{
	"zones":   func(s uint64) error { return zonesimulation.Run(zonesimulation.Draw(s)) },
	"tenants": func(s uint64) error { return tenantsimulation.Run(int64(s), 40) },
}

// simulateCore simulates seeds of a kind of coreSimulations. The error is the breach of the lowest seed.
func simulateCore(ctx context.Context, out io.Writer, kind string, first uint64, seeds, workers int) error {
	began := time.Now()
	var mu sync.Mutex // guards next, broken and runs
	next := 0
	broken := map[uint64]error{}
	runs := 0
	var wg sync.WaitGroup
	for range max(workers, 1) {
		wg.Go(func() {
			for {
				mu.Lock()
				s := first + uint64(next)
				next++
				over := next > seeds || ctx.Err() != nil
				mu.Unlock()
				if over {
					return
				}
				err := coreSimulations[kind](s)
				mu.Lock()
				runs++
				if err != nil {
					broken[s] = err
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	fmt.Fprintf(out, "%d runs in %v: %d broke a rule\n", runs, time.Since(began).Round(time.Second), len(broken))
	for i := range seeds {
		if s := first + uint64(i); broken[s] != nil {
			return fmt.Errorf("%w; again: fleetlab simulate --kind %s --seed %d --seeds 1", broken[s], kind, s)
		}
	}
	return ctx.Err()
}
