package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"starlingvalve/internal/capacity"
)

// benchCommand is how the benchmarks are run that capacity measure reads, for each package with such ones.
const benchCommand = "go test -run '^$' -bench Capacity -benchtime=50ms -count=5 %s"

// capacityFiles are the files that the page's arithmetic reads.
type capacityFiles struct {
	plan, slopes, commit string
}

func (f capacityFiles) read() (capacity.Plan, capacity.Slopes, error) {
	text, err := os.ReadFile(f.plan)
	if err != nil {
		return capacity.Plan{}, capacity.Slopes{}, err
	}
	plan, err := capacity.ParsePlan(string(text))
	if err != nil {
		return capacity.Plan{}, capacity.Slopes{}, fmt.Errorf("%s: %w", f.plan, err)
	}
	raw, err := os.ReadFile(f.slopes)
	if err != nil {
		return capacity.Plan{}, capacity.Slopes{}, err
	}
	slopes, err := capacity.ParseSlopes(raw, f.commit)
	if err != nil {
		return capacity.Plan{}, capacity.Slopes{}, fmt.Errorf("%s: %w", f.slopes, err)
	}
	return plan, slopes, nil
}

func capacityCmd() *cobra.Command {
	var files capacityFiles
	var page string
	cmd := &cobra.Command{Use: "capacity", Short: "Reckon the planned size from measured slopes (docs/CAPACITY.md)", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			plan, slopes, err := files.read()
			if err != nil {
				return err
			}
			if page != "" {
				return writePage(page, plan, slopes)
			}
			_, err = fmt.Fprint(c.OutOrStdout(), capacity.Print(plan, slopes))
			return err
		}}
	cmd.PersistentFlags().StringVar(&files.plan, "plan", "docs/capacity/plan.toml", "the plan")
	cmd.PersistentFlags().StringVar(&files.slopes, "slopes", "docs/capacity/slopes.json", "the measured slopes")
	cmd.PersistentFlags().StringVar(&files.commit, "commit", "", "the commit that the slopes must be of, or, with measure, are of")
	cmd.Flags().StringVar(&page, "write", "", "a page whose tables are renewed; without it they are printed")
	cmd.AddCommand(capacityMeasureCmd(&files))
	return cmd
}

func writePage(path string, plan capacity.Plan, slopes capacity.Slopes) error {
	old, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	page, err := capacity.Render(string(old), plan, slopes)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return os.WriteFile(path, []byte(page), 0o644)
}

// capacityMeasureCmd renews the slopes of the benchmarks in the slopes file. Those of pages and sweeps stay.
func capacityMeasureCmd(files *capacityFiles) *cobra.Command {
	return &cobra.Command{Use: "measure BENCHMARKS", Short: "Renew the slopes from the output of the benchmarks", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if files.commit == "" {
				return fmt.Errorf("--commit: is missing: the commit that was measured")
			}
			raw, err := os.ReadFile(files.slopes)
			if err != nil {
				return err
			}
			old, err := capacity.ParsePartial(raw)
			if err != nil {
				return fmt.Errorf("%s: %w", files.slopes, err)
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
			raw, err = old.Merge(measured, files.commit).Encode()
			if err != nil {
				return err
			}
			return os.WriteFile(files.slopes, raw, 0o644)
		}}
}
