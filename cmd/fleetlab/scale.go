package main

import (
	"context"
	"debug/buildinfo"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"meadowsill/internal/lab/bounds"
	"meadowsill/internal/scale"
	"meadowsill/internal/scale/hollow"
	"meadowsill/lab/sweeps"
)

// defaultDiscoveryBinary is the path of the discovery program that is built together with this one.
const defaultDiscoveryBinary = "bin/discovery"

// scaleFlags are the values of the flags of fleetlab scale.
type scaleFlags struct {
	out             string
	discoveryBinary string
	commit          string
	discoveryCommit string
	seed            uint64
	unscoped        bool
	repeats         int
	sizes           []float64
}

func scaleCmd() *cobra.Command {
	var flags scaleFlags
	cmd := &cobra.Command{Use: "scale NAME|FILE.toml", Short: "Measure how the control plane bears its size, over one dimension (docs/scale.md)",
		Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error { return runScale(c, args[0], flags) }}
	cmd.Flags().StringVar(&flags.out, "out", "logs/scale", "where the run's directory is made")
	cmd.Flags().StringVar(&flags.discoveryBinary, "discovery-binary", defaultDiscoveryBinary, "the discovery program")
	cmd.Flags().StringVar(&flags.commit, "commit", "", "the commit of this program; by default as its build says")
	cmd.Flags().StringVar(&flags.discoveryCommit, "discovery-commit", "", "the commit of the discovery program; by default as its build says; of the default program, --commit")
	cmd.Flags().Uint64Var(&flags.seed, "seed", 0, "a seed other than the sweep's")
	cmd.Flags().IntVar(&flags.repeats, "repeats", 0, "repeats other than the sweep's")
	cmd.Flags().Float64SliceVar(&flags.sizes, "sizes", nil, "sizes other than the sweep's, as 25,50,100,200,400")
	cmd.Flags().BoolVar(&flags.unscoped, "unscoped", false, "nodes without a scope, tenants without a service: as for replicas that do not know of them")
	cmd.AddCommand(scaleListCmd(), scaleShowCmd())
	return cmd
}

func scaleListCmd() *cobra.Command {
	return &cobra.Command{Use: "list", Short: "List the bundled sweeps", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		for _, name := range sweeps.Names() {
			plan, err := loadSweep(name)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%-16s %-14s %v  %s\n", name, plan.Dimension, plan.Sizes, plan.About)
		}
		return nil
	}}
}

func scaleShowCmd() *cobra.Command {
	return &cobra.Command{Use: "show RESULTS.json", Short: "Print a sweep's table again, its fits made anew", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			results, err := scale.ReadResults(args[0])
			if err != nil {
				return err
			}
			results.FitAll()
			results.Table(c.OutOrStdout())
			return nil
		}}
}

// loadSweep reads a bundled sweep by its name, or a sweep file by its path.
func loadSweep(arg string) (*scale.Plan, error) {
	text, err := sweeps.Read(arg)
	name := arg
	if err != nil {
		if text, err = os.ReadFile(arg); err != nil {
			return nil, fmt.Errorf("sweep %s: neither bundled (fleetlab scale list) nor a file: %w", arg, err)
		}
		name = strings.TrimSuffix(filepath.Base(arg), ".toml")
	}
	return scale.ParsePlan(name, text)
}

// runScale runs a sweep and writes its results.
func runScale(c *cobra.Command, arg string, flags scaleFlags) error {
	plan, err := loadSweep(arg)
	if err != nil {
		return err
	}
	flags.apply(plan)
	if err := plan.Check(); err != nil {
		return fmt.Errorf("sweep %s: %w", plan.Name, err)
	}
	machine, err := bounds.ReadMachine()
	if err != nil {
		return err
	}
	limits := bounds.LimitsOf(machine)
	if err := scale.Check(plan, limits); err != nil {
		return fmt.Errorf("sweep %s: %w", plan.Name, err)
	}
	if _, err := os.Stat(flags.discoveryBinary); err != nil {
		return fmt.Errorf("--discovery-binary: %w", err)
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	directory, err := newRunDirectory(flags.out, plan.Name, "scale.log")
	if err != nil {
		return err
	}
	defer directory.close()
	dir, log := directory.path, directory.log
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	results, err := scale.Run(ctx, plan, scale.Options{
		Dir:             dir,
		Progress:        c.ErrOrStderr(),
		Commit:          flags.ownCommit(),
		DiscoveryCommit: flags.replicasCommit(),
		Machine:         machine,
		Limits:          limits,
		StartReplicas:   scale.DiscoveryReplicas(flags.discoveryBinary),
		StartHollow:     hollowStarter(self, log),
	})
	if err != nil {
		return err
	}
	return writeScale(c, dir, results)
}

// writeScale writes a sweep's results and plots, and prints its table.
func writeScale(c *cobra.Command, dir string, results *scale.Results) error {
	if err := results.Write(dir); err != nil {
		return err
	}
	if _, err := results.Plot(dir); err != nil {
		return err
	}
	results.Table(c.OutOrStdout())
	fmt.Fprintln(c.OutOrStdout(), "results, plots and logs:", dir)
	return nil
}

// hollowStarter returns a function that starts a hollow process, which is this program with the subcommand hollow.
func hollowStarter(binary string, log *slog.Logger) scale.StartHollow {
	return func(_ context.Context, config hollow.Config) (scale.Hollow, error) {
		// Close ends the processes, not the sweep's context, because their resource usage is read before they end.
		process, err := hollow.Start(context.Background(), binary, config, log)
		if err != nil {
			return nil, err
		}
		return process, nil
	}
}

// apply overrides the sweep's own values with the flags that are set.
func (f scaleFlags) apply(plan *scale.Plan) {
	if f.seed != 0 {
		plan.Seed = f.seed
	}
	if f.repeats != 0 {
		plan.Repeats = f.repeats
	}
	if f.unscoped {
		plan.Base.PerNode = 0
	}
	if len(f.sizes) > 0 {
		plan.Sizes = f.sizes
	}
}

// unknownCommit stands for the commit of a build that doesn't record one.
const unknownCommit = "unknown"

// ownCommit returns the commit of this program: --commit, or the commit that its build recorded.
func (f scaleFlags) ownCommit() string {
	if f.commit != "" {
		return f.commit
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknownCommit
	}
	return commitOf(info)
}

// replicasCommit returns the commit of the discovery program: --discovery-commit, or the commit that its build recorded. The default
// program is built together with this one, so this program's commit stands in for a missing one.
func (f scaleFlags) replicasCommit() string {
	if f.discoveryCommit != "" {
		return f.discoveryCommit
	}
	if info, err := buildinfo.ReadFile(f.discoveryBinary); err == nil {
		if commit := commitOf(info); commit != unknownCommit {
			return commit
		}
	}
	if f.discoveryBinary != defaultDiscoveryBinary {
		return unknownCommit
	}
	return f.ownCommit()
}

// commitOf returns the commit that a build was made from.
func commitOf(info *debug.BuildInfo) string {
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return unknownCommit
}
