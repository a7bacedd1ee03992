package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"meadowsill/internal/scale/hollow"
)

// hollowCmd runs hollow nodes and app servers for the scale runner. The runner starts the command as a process and communicates
// with it over its standard input and output.
func hollowCmd() *cobra.Command {
	return &cobra.Command{
		Use:    "hollow",
		Short:  "Run hollow nodes and app servers (of fleetlab scale)",
		Args:   cobra.NoArgs,
		Hidden: true,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError}))
			return hollow.Serve(ctx, c.InOrStdin(), c.OutOrStdout(), log)
		},
	}
}
