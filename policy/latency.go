package policy

import (
	"math"
	"time"
)

const (
	serverLatencyGain      = 0.1  // weight of a new latency in a server's smoothed one
	fleetLatencyGain       = 0.02 // the same over all servers, where samples are many
	staleLatencyTau        = 3.0  // s; a latency that is not renewed drifts to the fleet's mean
	recentLatencyTau       = 2.0  // s; smoothing of the faster mean
	maxLatencySampleFactor = 4.0  // multiple of the smoothed latency: a heavy request is no failing server
	baselineNoise          = 0.15 // by how much chance alone takes a class's mean under its true value
	minLatencySample       = 1e-6 // s
)

// latencyEstimates are the latencies of the whole fleet, in seconds.
type latencyEstimates struct {
	answers      float64
	mean         float64 // of a request, smoothed
	recent       float64 // the same, smoothed faster, of a mean request
	lastAnswerAt Time
	minimum      float64 // the least that mean has been
	baseline     float64 // mean without load
	atObjective  float64 // mean at which every class still meets its latency objective
}

// known reports whether enough answers have come for the means to tell.
func (l *latencyEstimates) known() bool { return l.answers >= 1/fleetLatencyGain }

// serverLatency is how much slower a server is than the fleet's mean request.
type serverLatency struct {
	excess float64 // s
	at     Time
}

// expectedLatency is a server's latency of a mean request, s. A value that is not renewed drifts to the
// fleet's mean, so that the server is used again.
func (m *Module) expectedLatency(s *server) float64 {
	return m.latency.mean + s.latency.excess*decay(m.now-s.latency.at, staleLatencyTau)
}

// learnLatency takes the latency of an answer. Means are plain at first: short requests answer first.
func (m *Module) learnLatency(s *server, c *class, elapsed time.Duration) {
	l := &m.latency
	sample := math.Max(elapsed.Seconds(), minLatencySample)
	l.answers++
	c.answers++
	fleetGain := math.Max(fleetLatencyGain, 1/l.answers)
	recentGain := math.Max(1-decay(m.now-l.lastAnswerAt, recentLatencyTau), 1/l.answers)
	classGain := math.Max(fleetLatencyGain, 1/c.answers)
	l.mean += fleetGain * (sample - l.mean)
	l.recent += recentGain * (sample/c.relativeCost - l.recent)
	l.lastAnswerAt = m.now
	c.latency += classGain * (sample - c.latency)
	c.fleetLatency += classGain * (l.mean - c.fleetLatency)
	// Not to the mean: a rare class must not keep a past fault's latency.
	c.relativeCost = c.latency / c.fleetLatency
	m.learnServerLatency(s, c, elapsed)
}

// learnServerLatency takes a server's latency, capped, as a heavy request tells of itself and not of its
// server.
func (m *Module) learnServerLatency(s *server, c *class, elapsed time.Duration) {
	latency := m.expectedLatency(s)
	// A rare answer is all that is known.
	gain := math.Max(serverLatencyGain, 1-decay(m.now-s.latency.at, staleLatencyTau))
	limit := maxLatencySampleFactor * math.Max(latency, m.latency.mean)
	latency += gain * (math.Min(elapsed.Seconds()/c.relativeCost, limit) - latency)
	s.latency = serverLatency{excess: latency - m.latency.mean, at: m.now}
}

// updateMinimumLatency lets the least latency grow slowly, and takes the mean where that is lower.
func (m *Module) updateMinimumLatency(growth float64) {
	l := &m.latency
	l.minimum *= growth
	if !l.known() || l.mean < l.minimum*(1-baselineNoise) { // few answers tell little
		l.minimum = l.mean / (1 - baselineNoise) // the least of a noisy mean is below its true value
	}
}

// updateLatencyTargets renews the baseline, and the mean at which every class still meets its latency
// objective.
func (m *Module) updateLatencyTargets(growth float64) {
	l := &m.latency
	l.atObjective, l.baseline = math.Inf(1), l.mean
	baselines, latencies := 0.0, 0.0
	for _, c := range m.classOrder {
		expected := l.mean * c.relativeCost
		c.updateBaseline(growth)
		if c.baseline > 0 {
			baselines += c.baseline
			latencies += expected
			l.baseline = l.mean * baselines / latencies
		}
		if c.answers > 0 && c.LatencyObjective > 0 {
			l.atObjective = math.Min(l.atObjective, l.mean*objectivePart*c.LatencyObjective.Seconds()/expected)
		}
	}
}

// updateBaseline lets a class's least latency grow slowly, and takes the latency where that is lower.
func (c *class) updateBaseline(growth float64) {
	c.baseline *= growth
	known := c.answers >= 1/fleetLatencyGain
	if known && (c.baseline == 0 || c.latency < c.baseline*(1-baselineNoise)) {
		c.baseline = c.latency / (1 - baselineNoise)
	}
}
