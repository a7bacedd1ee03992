// Command fleetlab runs the project's fleet lab. The lab runs real node processes on loopback with stub app servers and discovery,
// and injects faults between them according to a scenario's timeline (docs/lab.md).
//
//	fleetlab list                 lists the bundled scenarios
//	fleetlab run NAME|FILE.toml   runs a scenario once; the run's directory holds node logs, records.json, report.json and plots
//	fleetlab report RUN_DIR       writes the report of a run again from its records
//	fleetlab discovery            measures discovery, or the fleet's control plane
//	fleetlab calibrate            compares the hollow nodes of the scale tests with real ones
//	fleetlab simulate             simulates the fleet's pure cores with many nodes under seeded faults, in one process
//	fleetlab scale NAME|FILE.toml measures how the costs of the control plane grow along one dimension (docs/scale.md)
//	fleetlab capacity             computes the tables of docs/CAPACITY.md from measured slopes
//	fleetlab datapath             measures what a real node adds to a request, compared with a direct call
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"meadowsill/internal/lab"
	"meadowsill/internal/lab/discoverylab"
	"meadowsill/internal/lab/report"
	"meadowsill/internal/lab/simulated"
	"meadowsill/lab/scenarios"
)

func main() {
	if err := root().Execute(); err != nil {
		os.Exit(1)
	}
}

func root() *cobra.Command {
	cmd := &cobra.Command{Use: "fleetlab", Short: "Run fleets of balancer nodes through faults on loopback",
		SilenceUsage: true}
	cmd.AddCommand(listCmd(), runCmd(), reportCmd(), discoveryCmd(), simulateCmd(), scaleCmd(), hollowCmd(), calibrateCmd(),
		capacityCmd(), datapathCmd())
	return cmd
}

func listCmd() *cobra.Command {
	return &cobra.Command{Use: "list", Short: "List the bundled scenarios", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			for _, name := range scenarios.Names() {
				text, _ := scenarios.Read(name)
				s, err := lab.ParseScenario(name, text)
				if err != nil {
					return err
				}
				fmt.Fprintf(c.OutOrStdout(), "%-16s %3d nodes %4d servers %4.0f s  %s\n", name, s.Fleet.Nodes, s.Fleet.Servers,
					s.DurationS, s.About)
			}
			return nil
		}}
}

// renamedScenarios maps the former name of a bundled scenario to its present name.
var renamedScenarios = map[string]string{
	"listd-small": "discovery-small",
	"listd-links": "discovery-links",
	"members":     "membership",
}

// loadScenario reads a bundled scenario by its name, or a scenario file by its path.
func loadScenario(arg string) (*lab.Scenario, error) {
	text, err := scenarios.Read(arg)
	name := arg
	if err != nil {
		if text, err = os.ReadFile(arg); err != nil {
			if newName, ok := renamedScenarios[arg]; ok {
				return nil, fmt.Errorf("scenario %s was renamed: it is %s now", arg, newName)
			}
			return nil, fmt.Errorf("scenario %s: neither bundled (fleetlab list) nor a file: %w", arg, err)
		}
		name = strings.TrimSuffix(filepath.Base(arg), ".toml")
	}
	return lab.ParseScenario(name, text)
}

func runCmd() *cobra.Command {
	var out, binary, discoveryBinary, membershipBinary string
	var seed uint64
	var nodes int
	cmd := &cobra.Command{Use: "run NAME|FILE.toml", Short: "Run a scenario and write its report", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := loadScenario(args[0])
			if err != nil {
				return err
			}
			if binary != "" {
				s.Fleet.NodeBinary = binary
			}
			if discoveryBinary != "" {
				s.Fleet.DiscoveryBinary = discoveryBinary
			}
			if membershipBinary != "" {
				s.Fleet.MembershipBinary = membershipBinary
			}
			if seed != 0 {
				s.Seed = seed
			}
			if nodes != 0 {
				s.Fleet.Nodes = nodes
			}
			directory, err := newRunDirectory(out, s.Name, "lab.log")
			if err != nil {
				return err
			}
			defer directory.close()
			dir, log := directory.path, directory.log
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			log.Info("run", "scenario", s.Name, "nodes", s.Fleet.Nodes, "servers", s.Fleet.Servers, "seed", s.Seed)
			recs, err := lab.Run(ctx, s, lab.Options{Dir: dir, Log: log})
			if err != nil {
				log.Error("scenario run failed", "err", err)
				return err
			}
			raw, err := json.Marshal(recs)
			if err != nil {
				return err
			}
			if err := os.WriteFile(filepath.Join(dir, "records.json"), raw, 0o644); err != nil {
				return err
			}
			return writeReport(c, dir, recs)
		}}
	cmd.Flags().StringVar(&out, "out", "logs/lab", "where run directories are made")
	cmd.Flags().StringVar(&binary, "node-binary", "", "the node program (default: the scenario's, bin/balancer)")
	cmd.Flags().StringVar(&discoveryBinary, "discovery-binary", "", "the discovery program (default: the scenario's, bin/discovery)")
	cmd.Flags().StringVar(&membershipBinary, "membership-binary", "", "the membership program (default: the scenario's, bin/membership)")
	cmd.Flags().Uint64Var(&seed, "seed", 0, "a seed other than the scenario's")
	cmd.Flags().IntVar(&nodes, "nodes", 0, "a number of nodes other than the scenario's")
	return cmd
}

func reportCmd() *cobra.Command {
	return &cobra.Command{Use: "report RUN_DIR", Short: "Write a run's report again from its records", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			raw, err := os.ReadFile(filepath.Join(args[0], "records.json"))
			if err != nil {
				return err
			}
			var recs lab.Records
			if err := json.Unmarshal(raw, &recs); err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			return writeReport(c, args[0], &recs)
		}}
}

func writeReport(c *cobra.Command, dir string, recs *lab.Records) error {
	rep := report.Build(recs)
	if err := report.Write(dir, recs, rep); err != nil {
		return err
	}
	w := c.OutOrStdout()
	fmt.Fprintf(w, "%s: %s\n", rep.Scenario, dir)
	fmt.Fprintf(w, "%-16s %7s %7s %7s %7s %9s %8s %8s %8s\n", "phase from", "sent", "served", "refused", "failed", "goodput/s",
		"p50 ms", "p99 ms", "p99.9 ms")
	for _, p := range append(rep.Phases, rep.Total) {
		fmt.Fprintf(w, "%5.1f %-10s %7d %7d %7d %7d %9.1f %8.1f %8.1f %8.1f\n", p.From, p.Event, p.Sent, p.Served, p.Refused,
			p.Failed, p.GoodputPS, p.P50MS, p.P99MS, p.P999MS)
	}
	fmt.Fprintf(w, "cpu: lab %.2f s, nodes %.2f s, agents %.2f s, replicas %.2f s, lab's share %.3f; links %d; descriptors %d of %d; skipped %d\n",
		rep.CPU.LabS, rep.CPU.NodesS, rep.CPU.AgentsS, rep.CPU.ReplicasS, rep.LabCPUFraction, rep.Links, rep.NoFile[0], rep.NoFile[1], rep.Skipped)
	for _, z := range rep.Zones {
		fmt.Fprintf(w, "zone %s at %.1f s: left after %.0f ms, served again %.0f ms; nodes stopped p50 %.0f, p95 %.0f, spread %.0f ms (%d nodes); tries %d, further %d of %d requests\n",
			z.Zone, z.AtS, z.LeftMS, z.ServedMS, z.StopP50MS, z.StopP95MS, z.SpreadMS, z.Nodes, z.Tries, z.Further, z.Requests)
	}
	for _, o := range rep.Onboarded {
		fmt.Fprintf(w, "tenant %s generation %d: on %d nodes, p50 %.0f, p99 %.0f, all %.0f ms\n", o.Tenant, o.Generation, o.Nodes, o.P50MS, o.P99MS, o.AllMS)
	}
	for _, d := range rep.Drifts {
		fmt.Fprintf(w, "drift at %s: %s after %.0f ms %.200s\n", d.Node, d.State, d.MS, d.What)
	}
	if len(recs.Sightings) > 0 {
		d := rep.Deaths
		fmt.Fprintf(w, "members: %d silenced, seen dead after p50 %.0f, p99 %.0f ms (%d pairs, %d missed); false deaths %d\n",
			d.Silenced, d.P50MS, d.P99MS, d.Pairs, d.Missed, d.False)
	}
	if len(rep.NeverUp) > 0 {
		fmt.Fprintf(w, "never came up: %s\n", strings.Join(rep.NeverUp, " "))
	}
	fmt.Fprintf(w, "cold falls: %d; breaches: %d\n", rep.WarmingOverloads, len(rep.Breaches))
	for i, b := range rep.Breaches {
		if i == 20 {
			fmt.Fprintf(w, "  ... %d more in report.json\n", len(rep.Breaches)-20)
			break
		}
		fmt.Fprintf(w, "  %s\n", b)
		for _, line := range rep.Evidence[b.ID] {
			fmt.Fprintf(w, "    %s\n", line)
		}
	}
	return nil
}

func discoveryCmd() *cobra.Command {
	var plan discoverylab.Plan
	var out, binary string
	var nodes int
	cmd := &cobra.Command{Use: "discovery", Short: "Measure discovery: writes/s, fan-out, memory per watcher, failover, catch-up",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			dir := filepath.Join(out, "discovery-"+time.Now().UTC().Format("20060102T150405"))
			if err := os.MkdirAll(dir, 0o755); err != nil {
				return err
			}
			log := slog.New(slog.NewJSONHandler(c.ErrOrStderr(), nil)).With("run", filepath.Base(dir))
			var figures any
			var err error
			if nodes > 0 {
				figures, err = simulated.Measure(binary, dir, simulated.Plan{Nodes: nodes, Rollouts: 25, Tenants: 200, Drifts: 20, Losses: 5, Steady: 10 * time.Second}, log)
			} else {
				figures, err = discoverylab.Experiment(binary, dir, plan, log)
			}
			if raw, _ := json.MarshalIndent(figures, "", "  "); string(raw) != "null" {
				os.WriteFile(filepath.Join(dir, "figures.json"), raw, 0o644)
				fmt.Fprintf(c.OutOrStdout(), "%s\n", raw)
			}
			return err
		}}
	cmd.Flags().IntVar(&nodes, "fleet", 0, "measure the fleet's control plane instead, with so many agents (docs/fleet.md)")
	cmd.Flags().IntVar(&plan.Replicas, "replicas", 3, "replicas")
	cmd.Flags().IntVar(&plan.Watchers, "watchers", 300, "watchers for the fan-out")
	cmd.Flags().IntVar(&plan.Kills, "kills", 10, "leader kills for failover")
	cmd.Flags().IntVar(&plan.Revisions, "revisions", 10000, "revisions a replica misses before its catch-up")
	cmd.Flags().IntVar(&plan.Writers, "writers", 16, "concurrent writers")
	cmd.Flags().DurationVar(&plan.WriteFor, "write-for", 3*time.Second, "how long writes/s is measured")
	cmd.Flags().StringVar(&out, "out", "logs/lab", "where the run directory is made")
	cmd.Flags().StringVar(&binary, "discovery-binary", "bin/discovery", "the discovery program")
	return cmd
}
