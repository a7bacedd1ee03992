package policy

import (
	"math"
	"time"
)

const (
	serverLatencyGain      = 0.1  // smoothing gain of a server's latency, per sample
	fleetLatencyGain       = 0.02 // smoothing gain of latencies over all servers, where samples are many
	staleLatencyTau        = 3.0  // s; a latency that is not renewed drifts to the fleet's mean
	recentLatencyTau       = 2.0  // s, smoothing of the faster mean
	maxLatencySampleFactor = 4.0  // limit of a sample, as a multiple of the smoothed latency
	baselineNoise          = 0.15 // fraction by which noise alone lowers a class's smoothed mean latency
	minLatencySample       = 1e-6 // s
)

// latencyEstimates are the latencies of the whole fleet, in seconds.
type latencyEstimates struct {
	answers      float64
	mean         float64 // smoothed latency of a request
	recent       float64 // latency of a mean request, smoothed over a shorter time
	lastAnswerAt Time
	minimum      float64 // lowest value of mean, raised slowly
	baseline     float64 // value of mean without load
	atObjective  float64 // value of mean at which every class still meets its latency objective
}

// known reports whether there were enough answers for the means to be meaningful.
func (l *latencyEstimates) known() bool { return l.answers >= 1/fleetLatencyGain }

// serverLatency is a server's latency relative to the fleet's mean.
type serverLatency struct {
	excess float64 // s, latency of a mean request above the fleet's mean
	at     Time
}

// expectedLatency returns a server's expected latency of a mean request, in seconds. A value that is not
// renewed drifts to the fleet's mean, so that the server is used again.
func (m *Module) expectedLatency(s *server) float64 {
	return m.latency.mean + s.latency.excess*decay(m.now-s.latency.at, staleLatencyTau)
}

// learnLatency updates the latency estimates with the latency of an answer. The first samples are averaged
// with equal weights, as requests that take little time are answered first.
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
	// Comparing with l.mean instead would let a rare class keep the latency of a past fault.
	c.relativeCost = c.latency / c.fleetLatency
	m.learnServerLatency(s, c, elapsed)
}

// learnServerLatency updates a server's latency with a sample. The sample is capped, as one expensive request
// does not mean that its server is failing.
func (m *Module) learnServerLatency(s *server, c *class, elapsed time.Duration) {
	latency := m.expectedLatency(s)
	// The longer ago the last sample was, the more the new one weighs.
	gain := math.Max(serverLatencyGain, 1-decay(m.now-s.latency.at, staleLatencyTau))
	limit := maxLatencySampleFactor * math.Max(latency, m.latency.mean)
	latency += gain * (math.Min(elapsed.Seconds()/c.relativeCost, limit) - latency)
	s.latency = serverLatency{excess: latency - m.latency.mean, at: m.now}
}

// updateMinimumLatency raises the minimum latency by a growth factor, and lowers it to a smaller mean.
func (m *Module) updateMinimumLatency(growth float64) {
	l := &m.latency
	l.minimum *= growth
	if !l.known() || l.mean < l.minimum*(1-baselineNoise) { // few answers say little
		l.minimum = l.mean / (1 - baselineNoise) // the minimum of a noisy mean is below its true value
	}
}

// updateLatencyTargets updates the baseline, and the mean latency at which every class still meets its
// latency objective.
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
			l.atObjective = math.Min(l.atObjective, l.mean*objectiveFraction*c.LatencyObjective.Seconds()/expected)
		}
	}
}

// updateBaseline raises a class's baseline by a growth factor, and lowers it to a smaller latency.
func (c *class) updateBaseline(growth float64) {
	c.baseline *= growth
	known := c.answers >= 1/fleetLatencyGain
	if known && (c.baseline == 0 || c.latency < c.baseline*(1-baselineNoise)) {
		c.baseline = c.latency / (1 - baselineNoise)
	}
}
