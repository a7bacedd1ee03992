package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"meadowsill/internal/lab/datapath"
)

func datapathCmd() *cobra.Command {
	var plan datapath.Plan
	var out string
	cmd := &cobra.Command{Use: "datapath", Short: "Measure what a real node adds to a request, against the direct call", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := plan.Check(); err != nil {
				return err
			}
			dir, err := filepath.Abs(filepath.Join(out, "datapath-"+time.Now().UTC().Format("20060102T150405.000")))
			if err != nil {
				return err
			}
			if err := os.MkdirAll(dir, 0o755); err != nil {
				return err
			}
			plan.Dir = dir
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			result, err := datapath.Measure(ctx, plan)
			if err != nil {
				return err
			}
			raw, err := json.MarshalIndent(result, "", "  ")
			if err != nil {
				return err
			}
			if err := os.WriteFile(filepath.Join(dir, "figures.json"), raw, 0o644); err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "%s\n", raw)
			return err
		}}
	cmd.Flags().StringVar(&plan.Binary, "node-binary", "bin/balancer", "the node program")
	cmd.Flags().IntVar(&plan.Nodes, "nodes", 2200, "nodes of the fleet, by the node's settings")
	cmd.Flags().IntVar(&plan.Servers, "servers", 26_000, "entries of the list, all of them the one stub app server")
	cmd.Flags().Float64Var(&plan.RequestsPerS, "requests", 77, "requests a second through the node, and as many directly")
	cmd.Flags().Float64Var(&plan.ChangesPerS, "changes", 0.082, "changes of the list a second")
	cmd.Flags().DurationVar(&plan.Latency, "latency", 5*time.Millisecond, "of the app server's work")
	cmd.Flags().DurationVar(&plan.Warm, "warm", 3*time.Second, "time before it is measured")
	cmd.Flags().DurationVar(&plan.Measure, "for", 30*time.Second, "time that is measured")
	cmd.Flags().Uint64Var(&plan.Seed, "seed", 1, "of the list's changes and the node's choices")
	cmd.Flags().StringVar(&out, "out", "logs/lab", "where the run directory is made")
	return cmd
}
