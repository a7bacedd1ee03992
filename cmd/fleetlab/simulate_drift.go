package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"meadowsill/internal/fleet/drift"
	driftplay "meadowsill/internal/fleet/drift/simulation"
)

// simulateDrift simulates the core of the drift detector. It makes one run of the given length for each of as many consecutive seeds as
// seeds says, starting with first. A false alarm and a planted drift that was not found are breaches; the error names the lowest seed
// with a breach.
func simulateDrift(ctx context.Context, out io.Writer, first uint64, seeds, nodes, workers int, length time.Duration) error {
	const maxLoss = 0.05 // the largest share of messages that a run loses; the shares go from 0 to this in steps of a fifth
	began, rules := time.Now(), driftplay.Rules{Bounds: drift.Defaults()}
	seedQueue, outcomes := make(chan uint64), make(chan driftplay.Outcome)
	go func() {
		defer close(seedQueue)
		for i := range seeds {
			select {
			case seedQueue <- first + uint64(i):
			case <-ctx.Done():
				return
			}
		}
	}()
	var wg sync.WaitGroup
	for range max(workers, 1) {
		wg.Go(func() {
			for s := range seedQueue {
				outcomes <- driftplay.Run(s, nodes, maxLoss*float64(s%6)/5, length, rules)
			}
		})
	}
	go func() { wg.Wait(); close(outcomes) }()
	detectionTimes := map[bool][]time.Duration{}
	runs := 0
	missed := 0
	alarms := 0
	var breaches []driftplay.Outcome
	for o := range outcomes {
		runs++
		if o.Found {
			detectionTimes[o.Stuck] = append(detectionTimes[o.Stuck], o.Took)
		} else {
			missed++
			fmt.Fprintln(out, "missed:", o.Missed)
		}
		if o.Alarm != nil {
			alarms++
			fmt.Fprintln(out, "false alarm:", o.Alarm)
		}
		if o.Alarm != nil || !o.Found {
			breaches = append(breaches, o)
		}
	}
	fmt.Fprintf(out, "%d plays of %d nodes in %v: %d plants found, %d missed, false alarms in %d\n", runs, nodes,
		time.Since(began).Round(time.Second), runs-missed, missed, alarms)
	for stuck, name := range map[bool]string{false: "other content or behaviour", true: "outstanding past the bound"} {
		if d := detectionTimes[stuck]; len(d) > 0 {
			slices.Sort(d)
			fmt.Fprintf(out, "%s: named in %v at p50, %v at p99, %v at most, of %d\n", name, d[len(d)/2], d[len(d)*99/100], d[len(d)-1], len(d))
		}
	}
	if len(breaches) > 0 {
		return fmt.Errorf("%d of %d plays broke a rule; again: fleetlab simulate --kind drift --nodes %d --length %v --seed %d --seeds 1",
			len(breaches), runs, nodes, length, slices.MinFunc(breaches, func(a, b driftplay.Outcome) int { return int(a.Seed) - int(b.Seed) }).Seed)
	}
	return ctx.Err()
}
