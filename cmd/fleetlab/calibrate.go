package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"meadowsill/internal/scale/calibrate"
)

// calibrateCmd measures real and hollow nodes in turn on the same schedule.
func calibrateCmd() *cobra.Command {
	var plan calibrate.Plan
	var binaries calibrate.Binaries
	var out string
	var repeats int
	cmd := &cobra.Command{Use: "calibrate", Short: "Compare hollow nodes with real nodes and agents on the same schedule", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if repeats < 1 {
				return fmt.Errorf("repeats: %d, must be 1 at least", repeats)
			}
			var err error
			if binaries.Fleetlab, err = os.Executable(); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			log := slog.New(slog.NewTextHandler(os.Stderr, nil))
			dir := filepath.Join(out, "calibrate-"+time.Now().UTC().Format("20060102T150405"))
			for repeat := range repeats {
				for _, kind := range []string{calibrate.Real, calibrate.Hollow} {
					figures, err := calibrate.Measure(ctx, kind, binaries, filepath.Join(dir, fmt.Sprint(kind, "-", repeat)), plan, log)
					if err != nil {
						return fmt.Errorf("%s, repeat %d: %w", kind, repeat, err)
					}
					if err := json.NewEncoder(c.OutOrStdout()).Encode(figures); err != nil {
						return err
					}
				}
			}
			return nil
		}}
	cmd.Flags().IntVar(&plan.Nodes, "nodes", 30, "nodes of each kind")
	cmd.Flags().IntVar(&plan.Servers, "servers", 24, "app servers")
	cmd.Flags().IntVar(&plan.Tenants, "tenants", 10, "tenants, all with load at every node")
	cmd.Flags().Float64Var(&plan.RequestsPerS, "requests", 10, "requests a second at each node")
	cmd.Flags().DurationVar(&plan.Window, "for", 30*time.Second, "length of each of the two windows")
	cmd.Flags().Uint64Var(&plan.Seed, "seed", 1, "of the load")
	cmd.Flags().IntVar(&repeats, "repeats", 3, "times that both are measured, in turn")
	cmd.Flags().StringVar(&binaries.Node, "node-binary", "bin/balancer", "the node program")
	cmd.Flags().StringVar(&binaries.Discovery, "discovery-binary", "bin/discovery", "the discovery program")
	cmd.Flags().StringVar(&out, "out", "logs/scale", "where the run's directory is made")
	return cmd
}
