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

// fleetMetrics are the metrics that a replica with a fleet serves at GET /metrics.
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

// countVerdicts counts the differences that a drift command found, and observes the duration of the verdicts that it ended.
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

// itemKind returns kind if it is a known kind of item, and "other" otherwise, so that a node's report can't create metric labels.
func itemKind(kind string) string {
	if slices.Contains([]string{"zone", "tenant", "share", "server", "*"}, kind) {
		return kind
	}
	return "other"
}

// logLimiter allows one log line a second and counts the lines that it suppresses.
type logLimiter struct {
	mu      sync.Mutex // guards the fields below
	last    time.Time
	skipped int
}

// allow reports whether a line may be logged now, and how many lines were suppressed since the last one.
func (l *logLimiter) allow() (skipped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.last) >= time.Second {
		skipped = l.skipped
		l.skipped = 0
		l.last = now
		return skipped, true
	}
	l.skipped++
	return 0, false
}
