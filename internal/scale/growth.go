package scale

import "fmt"

// GrowthLimit is the largest exponent that a metric may have over the dimension of a sweep. It is meant for metrics that do not
// depend on the machine: bytes, calls, items, allocations.
type GrowthLimit struct {
	Metric Metric
	Max    float64
}

// OverLimits returns one line for each limit that a metric of the sweep exceeds. The exponents are computed over all sizes, including
// the largest. A metric that was not measured at every size counts as over its limit, and a partial sweep adds a line of its own.
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

// check returns an error if the exponent of the samples is above the limit or can't be computed.
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
