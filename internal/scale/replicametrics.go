package scale

import (
	"fmt"
	"io"
	"math"
	"slices"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// ReplicaMetrics are the metrics from a replica's GET /metrics that a sweep uses.
type ReplicaMetrics struct {
	Step     Steps
	Commands float64 // commands of the fleet's cores, with any result
	Reports  float64 // answered reports, with any result
}

// Steps is the histogram of the times of the leader's steps.
type Steps struct {
	Count   float64
	Sum     float64 // seconds
	Buckets []StepBucket
}

// StepBucket counts the steps that took at most Bound seconds.
type StepBucket struct {
	Bound float64
	Count float64
}

// The names of a replica's metrics.
const (
	stepMetric     = "fleet_step_seconds"
	commandsMetric = "fleet_commands_total"
	reportsMetric  = "fleet_reports_total"
)

// parseMetrics parses the Prometheus text format. Missing metrics are 0.
func parseMetrics(in io.Reader) (ReplicaMetrics, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(in)
	if err != nil {
		return ReplicaMetrics{}, fmt.Errorf("metrics: %w", err)
	}
	out := ReplicaMetrics{Commands: counterSum(families[commandsMetric]), Reports: counterSum(families[reportsMetric])}
	for _, m := range families[stepMetric].GetMetric() {
		h := m.GetHistogram()
		out.Step.Count, out.Step.Sum = float64(h.GetSampleCount()), h.GetSampleSum()
		for _, b := range h.GetBucket() {
			out.Step.Buckets = append(out.Step.Buckets, StepBucket{b.GetUpperBound(), float64(b.GetCumulativeCount())})
		}
	}
	return out, nil
}

// counterSum returns the sum of a counter's values over all label values.
func counterSum(family *dto.MetricFamily) float64 {
	sum := 0.0
	for _, m := range family.GetMetric() {
		sum += m.GetCounter().GetValue()
	}
	return sum
}

// Since returns the steps since an earlier reading.
func (s Steps) Since(before Steps) Steps {
	out := Steps{Count: s.Count - before.Count, Sum: s.Sum - before.Sum, Buckets: slices.Clone(s.Buckets)}
	for i := range out.Buckets {
		if i < len(before.Buckets) {
			out.Buckets[i].Count -= before.Buckets[i].Count
		}
	}
	return out
}

// Mean returns the mean time of a step in seconds; ok is false if there was none.
func (s Steps) Mean() (mean float64, ok bool) {
	if s.Count <= 0 {
		return 0, false
	}
	return s.Sum / s.Count, true
}

// Quantile returns the upper bound, in seconds, of the bucket that holds the quantile q (0 to 1). ok is false if there were no steps
// or the quantile lies above the highest finite bound.
func (s Steps) Quantile(q float64) (bound float64, ok bool) {
	if s.Count <= 0 {
		return 0, false
	}
	for _, b := range s.Buckets {
		if b.Count >= q*s.Count && !math.IsInf(b.Bound, 1) {
			return b.Bound, true
		}
	}
	return 0, false
}
