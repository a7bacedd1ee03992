package replica

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"meadowsill/internal/fleet/drift"
)

// fleetMetrics are what GET /metrics of a replica with a fleet shows.
type fleetMetrics struct {
	handler          http.Handler
	leading          prometheus.Gauge
	sessions         prometheus.Gauge
	revision         prometheus.Gauge
	step             prometheus.Histogram
	reports          *prometheus.CounterVec
	reportKinds      *prometheus.CounterVec
	bases            prometheus.Gauge
	badBodies        *prometheus.CounterVec
	commands         *prometheus.CounterVec
	drift            *prometheus.GaugeVec
	selfSuspecting   prometheus.Gauge
	repairs          *prometheus.CounterVec
	differencesFound *prometheus.CounterVec
	driftDuration    *prometheus.HistogramVec

	deltasRejected *prometheus.CounterVec
}

func newFleetMetrics() *fleetMetrics {
	reg := prometheus.NewRegistry()
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
		reg.MustRegister(g)
		return g
	}
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
		reg.MustRegister(c)
		return c
	}
	m := &fleetMetrics{leading: gauge("fleet_office", "1 while this replica leads and judges."),
		sessions:         gauge("fleet_sessions", "Nodes present, as the leader last saw."),
		revision:         gauge("fleet_revision", "Revision of the newest change of the intent, as the leader last saw."),
		reports:          counter("fleet_reports_total", "Reports of nodes by what became of them.", "result"),
		reportKinds:      counter("fleet_reports_received_total", "Reports by how they came: whole, or as a difference that was taken.", "kind"),
		bases:            gauge("fleet_report_bases", "Nodes of which the leader keeps the report that differences are made against."),
		deltasRejected:   counter("fleet_report_differences_refused_total", "Differences refused, by reason: base, rows, digest, invalid. The whole report follows.", "reason"),
		badBodies:        counter("fleet_bad_bodies_total", "Bodies refused as malformed, too large or impossible, by path.", "path"),
		commands:         counter("fleet_commands_total", "Commands by core and outcome.", "core", "result"),
		selfSuspecting:   gauge("fleet_drift_suspect", "1 while the detector of drift suspects itself and repairs nothing."),
		repairs:          counter("fleet_drift_repairs_total", "Entries of the log of repairs, by what was done.", "act"),
		differencesFound: counter("fleet_drift_differences_total", "Differences found, by verdict and the kind of what differs.", "state", "kind"),
		driftDuration: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "fleet_drift_seconds", Help: "Time from when a verdict of drift was first seen to its end.",
			Buckets: prometheus.ExponentialBuckets(0.5, 2, 12)}, []string{"state"}),
		drift: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "fleet_drift_nodes", Help: "Nodes by verdict, at the leader."}, []string{"state"}),
		step:  prometheus.NewHistogram(prometheus.HistogramOpts{Name: "fleet_step_seconds", Help: "Time of one judgement.", Buckets: prometheus.ExponentialBuckets(1e-5, 4, 9)})}
	reg.MustRegister(m.step, m.drift, m.driftDuration)
	m.handler = promhttp.HandlerFor(reg, promhttp.HandlerOpts{})
	return m
}

// countVerdicts counts what a command of drift found and ended.
func (m *fleetMetrics) countVerdicts(all []drift.VerdictCounts) {
	for _, t := range all {
		for kind, n := range t.NewDifferences {
			m.differencesFound.WithLabelValues(t.State, itemKind(kind)).Add(float64(n))
		}
		if t.EndedState != "" {
			m.driftDuration.WithLabelValues(t.EndedState).Observe(float64(t.LastedMS) / 1000)
		}
	}
}

// itemKind keeps the label within the kinds that there are, whatever a node names.
func itemKind(kind string) string {
	if slices.Contains([]string{"zone", "tenant", "share", "server", "*"}, kind) {
		return kind
	}
	return "other"
}

// logLimiter lets one line a second through and counts the rest.
type logLimiter struct {
	mu      sync.Mutex // guards the fields below
	last    time.Time
	skipped int
}

// allow reports whether a line may be logged now, and how many were not since the last.
func (q *logLimiter) allow() (skipped int, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now := time.Now(); now.Sub(q.last) >= time.Second {
		skipped = q.skipped
		q.skipped = 0
		q.last = now
		return skipped, true
	}
	q.skipped++
	return 0, false
}
