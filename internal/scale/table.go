package scale

import (
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
)

// Table prints the mean of each metric at each size, then the fits, then the repeats that failed.
func (r *Results) Table(out io.Writer) {
	fmt.Fprintf(out, "sweep %s over %s, commit %.12s, discovery %.12s, %.0f s", r.Sweep.Name, r.Sweep.Dimension, r.Commit, r.Discovery, r.TookS)
	if r.Partial != "" {
		fmt.Fprintf(out, ", partial: %s", r.Partial)
	}
	fmt.Fprintln(out)
	r.measuredTable(out)
	r.fitTable(out)
	for _, point := range r.Points {
		for i, repeat := range point.Repeats {
			if repeat.Failed != "" {
				fmt.Fprintf(out, "size %v, repeat %d: failed: %s\n", point.Size, i, repeat.Failed)
			}
		}
	}
}

// measuredTable prints a row for each metric with a column for each size.
func (r *Results) measuredTable(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer w.Flush()
	fmt.Fprint(w, string(r.Sweep.Dimension)+"\t")
	for _, point := range r.Points {
		fmt.Fprint(w, number(point.Size), "\t")
	}
	fmt.Fprintln(w)
	for _, metric := range r.Metrics() {
		fmt.Fprint(w, string(metric)+"\t")
		for _, point := range r.Points {
			mean, ok := point.Mean(metric)
			if !ok {
				fmt.Fprint(w, "-\t")
				continue
			}
			fmt.Fprint(w, number(mean), "\t")
		}
		fmt.Fprintln(w)
	}
	fmt.Fprint(w, "machine's load\t")
	for _, point := range r.Points {
		fmt.Fprint(w, number(point.machineLoad()), "\t")
	}
	fmt.Fprintln(w)
}

// machineLoad returns the mean of the machine's load averages over the repeats.
func (p Point) machineLoad() float64 {
	sum := 0.0
	for _, repeat := range p.Repeats {
		sum += repeat.MachineLoad
	}
	return sum / float64(max(len(p.Repeats), 1))
}

// fitTable prints a row for each fit.
func (r *Results) fitTable(out io.Writer) {
	if len(r.Fits) == 0 {
		fmt.Fprintln(out, "no fit: it needs four sizes")
		return
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer w.Flush()
	fmt.Fprintln(w, "fit\tslope\tintercept\tresidual\texponent\tlargest\tpredicted\tmeasured\terror\t\t")
	for _, f := range r.Fits {
		exponent, judgement := "-", ""
		if f.HasExponent {
			exponent = strconv.FormatFloat(f.Exponent, 'f', 2, 64)
		}
		if f.Superlinear {
			judgement = "superlinear"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%+.0f%%\t%s\t\n", f.Metric, number(f.Slope), number(f.Intercept),
			number(f.Residual), exponent, number(f.Largest), number(f.Predicted), number(f.Measured), 100*f.Error, judgement)
	}
}

// number formats a value with four significant digits.
func number(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }
