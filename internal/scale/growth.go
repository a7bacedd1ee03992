package scale

import "fmt"

// GrowthLimit is the largest exponent that a metric may have against the dimension of a sweep. It is for figures that do not
// depend on the machine: bytes, calls, items, allocations.
type GrowthLimit struct {
	Metric Metric
	Max    float64
}

// OverLimits gives a line for each limit that the sweep's metrics do not keep, over all sizes, the largest among them. A metric
// that was not measured at every size does not keep its limit.
func (r *Results) OverLimits(limits []GrowthLimit) []string {
	var out []string
	if r.Partial != "" {
		out = append(out, "the sweep is partial: "+r.Partial)
	}
	for _, limit := range limits {
		samples := r.Samples(limit.Metric)
		if len(distinctSizes(samples)) < len(r.Sweep.Sizes) {
			out = append(out, fmt.Sprintf("%s against %s: not measured at every size", limit.Metric, r.Sweep.Dimension))
			continue
		}
		if err := limit.check(samples); err != nil {
			out = append(out, fmt.Sprintf("%s against %s: %v", limit.Metric, r.Sweep.Dimension, err))
		}
	}
	return out
}

// check compares the exponent of samples with the limit.
func (g GrowthLimit) check(samples []Sample) error {
	var x, y []float64
	for _, s := range samples {
		x, y = append(x, s.Size), append(y, s.Value)
	}
	exponent, ok := Exponent(x, y)
	switch {
	case !ok:
		return fmt.Errorf("no exponent: a value is 0 or below: %v", y)
	case exponent > g.Max:
		return fmt.Errorf("exponent %.2f, at most %.2f: %v", exponent, g.Max, y)
	}
	return nil
}
