package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"meadowsill/internal/capacity"
)

// benchCommand is the command that runs the benchmarks of a package whose output capacity measure reads.
const benchCommand = "go test -run '^$' -bench Capacity -benchtime=20ms -count=3 %s"

func capacityCmd() *cobra.Command {
	var files capacity.Files
	var page string
	cmd := &cobra.Command{Use: "capacity", Short: "Reckon the planned size from measured slopes (docs/CAPACITY.md)", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			inputs, err := files.Read()
			if err != nil {
				return err
			}
			if page != "" {
				return writePage(page, inputs)
			}
			_, err = fmt.Fprint(c.OutOrStdout(), capacity.Print(inputs))
			return err
		}}
	cmd.PersistentFlags().StringVar(&files.Plan, "plan", "docs/capacity/plan.toml", "the plan")
	cmd.PersistentFlags().StringVar(&files.Slopes, "slopes", "docs/capacity/slopes.json", "the measured slopes")
	cmd.Flags().StringVar(&files.Before, "before", "docs/capacity/slopes-before.json", "the slopes of the build before the mechanism")
	cmd.Flags().StringVar(&files.DataPath, "datapath", "docs/capacity/datapath.json", "the runs of fleetlab datapath")
	cmd.PersistentFlags().StringVar(&files.Commit, "commit", "", "the commit that the slopes must be of, or, with measure, are of")
	cmd.Flags().StringVar(&page, "write", "", "a page whose tables are renewed; without it they are printed")
	cmd.AddCommand(capacityMeasureCmd(&files))
	return cmd
}

func writePage(path string, inputs capacity.Inputs) error {
	old, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	page, err := capacity.Render(string(old), inputs)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return os.WriteFile(path, []byte(page), 0o644)
}

// capacityMeasureCmd renews the slopes in the slopes file that come from benchmarks. It keeps those that come from pages and sweeps.
func capacityMeasureCmd(files *capacity.Files) *cobra.Command {
	return &cobra.Command{Use: "measure BENCHMARKS", Short: "Renew the slopes from the output of the benchmarks", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if files.Commit == "" {
				return fmt.Errorf("--commit: is missing: the commit that was measured")
			}
			raw, err := os.ReadFile(files.Slopes)
			if err != nil {
				return err
			}
			old, err := capacity.ParsePartial(raw)
			if err != nil {
				return fmt.Errorf("%s: %w", files.Slopes, err)
			}
			output, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer output.Close()
			measured, err := capacity.Measure(output, args[0], benchCommand)
			if err != nil {
				return err
			}
			raw, err = old.Merge(measured, files.Commit).Encode()
			if err != nil {
				return err
			}
			return os.WriteFile(files.Slopes, raw, 0o644)
		}}
}
