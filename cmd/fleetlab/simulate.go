package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"meadowsill/internal/fleet/sim"
)

// simulateCmd simulates the fleet's cores under seeded schedules of faults, all in this process.
func simulateCmd() *cobra.Command {
	var seeds, nodes, workers int
	var first uint64
	var kind string
	var alone, module bool
	var length time.Duration
	cmd := &cobra.Command{Use: "simulate", Short: "Play the fleet's cores with many nodes on seeded schedules of faults, in one process",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			plans := map[string]func(uint64) sim.Plan{
				"any":    func(s uint64) sim.Plan { return sim.Draw(s, nodes) },
				"calm":   func(s uint64) sim.Plan { return sim.Calm(s, nodes) },
				"unrest": func(s uint64) sim.Plan { return sim.Unrest(s, nodes, length) },
				"drift":  nil, "zones": nil, "tenants": nil, // simulated by simulateDrift and simulateCore below
			}
			draw, ok := plans[kind]
			if !ok || nodes < 6 || seeds < 1 || length <= 0 {
				return fmt.Errorf("needs --kind any, calm, unrest, drift, zones or tenants, 6 nodes, 1 seed and a length above 0 at least")
			}
			debug.SetGCPercent(400)
			began := time.Now()
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			switch kind {
			case "zones", "tenants":
				return simulateCore(ctx, c.OutOrStdout(), kind, first, seeds, workers)
			case "drift":
				return simulateDrift(ctx, c.OutOrStdout(), first, seeds, nodes, workers, length)
			}
			sum := sim.Many(ctx, func(s uint64) sim.Plan {
				p := draw(s)
				p.Alone, p.Module = alone, module
				return p
			}, first, seeds, workers, c.OutOrStdout())
			raw, err := json.MarshalIndent(sum, "", "  ")
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s\n%d runs in %v\n", raw, sum.Runs, time.Since(began).Round(time.Second))
			if len(sum.Breaches) > 0 {
				b := sum.Breaches[0]
				return fmt.Errorf("%d of %d plays broke a rule; again: fleetlab simulate --kind %s --nodes %d --seed %d --seeds 1",
					len(sum.Breaches), sum.Runs, kind, nodes, b.Seed)
			}
			return nil
		}}
	cmd.Flags().IntVar(&seeds, "seeds", 100, "plays")
	cmd.Flags().Uint64Var(&first, "seed", 1, "the first play's seed; the others follow")
	cmd.Flags().IntVar(&nodes, "nodes", 100, "nodes of each play")
	cmd.Flags().IntVar(&workers, "workers", runtime.NumCPU(), "plays at a time")
	cmd.Flags().StringVar(&kind, "kind", "any", "any: random faults; calm: a zone's loss alone; unrest: lost messages and rolling restarts alone; drift: the drift detector with planted drift; zones: the zones' core with liars; tenants: the tenants' core")
	cmd.Flags().BoolVar(&alone, "alone", false, "without directives: each node judges for itself")
	cmd.Flags().BoolVar(&module, "module", false, "requests are decided by the module, far slower")
	cmd.Flags().DurationVar(&length, "length", 10*time.Minute, "fleet time of a play of unrest or drift")
	return cmd
}
