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

// simulateDrift simulates the drift detector's core: seeds runs from first on, each of the given length. The error is the
// first breach: a false alarm, or a plant that was missed.
func simulateDrift(ctx context.Context, out io.Writer, first uint64, seeds, nodes, workers int, length time.Duration) error {
	const most = 0.05 // of the messages lost
	began, rules := time.Now(), driftplay.Rules{Bounds: drift.Defaults()}
	todo, done := make(chan uint64), make(chan driftplay.Outcome)
	go func() {
		defer close(todo)
		for i := range seeds {
			select {
			case todo <- first + uint64(i):
			case <-ctx.Done():
				return
			}
		}
	}()
	var wg sync.WaitGroup
	for range max(workers, 1) {
		wg.Go(func() {
			for s := range todo {
				done <- driftplay.Run(s, nodes, most*float64(s%6)/5, length, rules)
			}
		})
	}
	go func() { wg.Wait(); close(done) }()
	took := map[bool][]time.Duration{}
	runs := 0
	missed := 0
	alarms := 0
	var breaches []driftplay.Outcome
	for o := range done {
		runs++
		if o.Found {
			took[o.Stuck] = append(took[o.Stuck], o.Took)
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
		if d := took[stuck]; len(d) > 0 {
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
