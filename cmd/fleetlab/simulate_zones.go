package main

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	zonesplay "starlingvalve/internal/fleet/zones/play"
)

// simulateZones plays seeded schedules of faults and liars around the zones' core, 45 s each; nodes and length are the
// schedule's own. The error is the breach of the lowest seed.
func simulateZones(ctx context.Context, out io.Writer, first uint64, seeds, workers int) error {
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
				err := zonesplay.Play(zonesplay.Draw(s))
				lock.Lock()
				if plays++; err != nil {
					broken[s] = err
				}
				lock.Unlock()
			}
		})
	}
	wg.Wait()
	fmt.Fprintf(out, "%d schedules in %v: %d broke a rule\n", plays, time.Since(began).Round(time.Second), len(broken))
	for i := range seeds {
		if s := first + uint64(i); broken[s] != nil {
			return fmt.Errorf("%w; again: fleetlab simulate --kind zones --seed %d --seeds 1", broken[s], s)
		}
	}
	return ctx.Err()
}
