package policy

import (
	"math"
	"time"
)

// Mode is the overload mode of a server as seen by this node. The paper calls the modes states s = 0, 1, 2.
type Mode int

const (
	// Normal servers take every request.
	Normal Mode = iota
	// Overloaded servers take the requests that are not shed while no server is Normal.
	Overloaded
	// Blocking servers take no requests.
	Blocking
)

const (
	overloadValidity     = time.Second // how long an imposed mode holds
	lowThresholdFraction = 0.5         // L as a fraction of H; the gap between L and H is the hysteresis
	blockThresholdFactor = 2.0         // R as a multiple of H; the gap keeps capacity for priority requests
	// objectiveFraction is the fraction of a class's latency objective that its mean latency may reach. The
	// rest is for the long tail of latencies.
	objectiveFraction       = 0.4
	sparseObjectiveFraction = 0.6 // the same for sparse nodes, whose latencies are fleet means
	maxSparseQueue          = 2.0 // requests; limit of H of a sparse node, below what makes servers slow
	// maxBaselineFactor limits the target latency to a multiple of the baseline, as long queues do harm where
	// servers slow down under load.
	maxBaselineFactor  = 2.5
	maxThresholdGrowth = 3.0 // limit of the factor by which H grows when latency is below the target
	// reportThresholdSlack is a factor on the thresholds for load reports. Reports lag, and they act in
	// addition to the node's own count.
	reportThresholdSlack = 1.25
	maxReportedInFlight  = 1000.0 // requests; no server usefully holds more
	minConcurrency       = 2.0    // minimum requests of all nodes at a server, whether rates are learned or not
	// fullConcurrencyFraction is the fraction of the way from the baseline to the target latency up to which
	// minServerConcurrency allows one whole request.
	fullConcurrencyFraction = 1 / 3.0
	// fleetRateWeight is the weight of the fleet's mean answer rate in H, so that noise in a server's own rate
	// does not starve the server.
	fleetRateWeight          = 0.3
	minNodeShare             = 1e-9 // lower bound of nodeShare as a divisor
	initialConcurrencyFactor = 2    // H of all nodes as a multiple of minConcurrency until rates are learned
)

// overloadState holds the values that decide a server's mode.
type overloadState struct {
	mode             Mode // the mode by this node's own count
	reportedMode     Mode // the mode by load reports
	imposedMode      Mode // the mode imposed by a rejection or a load report, until imposedUntil
	imposedUntil     Time
	rounding         float64       // random offset in [0,1) for rounding H, drawn each shedding period
	rejectionBackoff time.Duration // added, with jitter, to the block after consecutive rejections
}

// NextMode returns the mode that follows mode m when a server has n requests and the thresholds are L (low),
// H (high) and R (block). It implements the paper's hysteresis, including its exact boundary conditions.
func NextMode(m Mode, n, low, high, block float64) Mode {
	switch {
	case m != Blocking && n > block-1:
		return Blocking
	case m == Normal && n > high-1, m == Blocking && n < high+1:
		return Overloaded
	case m == Overloaded && n < low:
		return Normal
	}
	return m
}

// nextMode is NextMode with L and R computed from H.
func nextMode(m Mode, n, high float64) Mode {
	return NextMode(m, n, lowThresholdFraction*high, high, blockThresholdFactor*high+1)
}

// overloadMode updates a server's mode by this node's count, and returns it or a stricter imposed mode.
func (m *Module) overloadMode(s *server) Mode {
	n, high := m.serverLoad(s)
	s.overload.mode = nextMode(s.overload.mode, n, high)
	if m.now < s.overload.imposedUntil && s.overload.imposedMode > s.overload.mode {
		return s.overload.imposedMode
	}
	return s.overload.mode
}

// imposeMode imposes a minimum mode on a server for overloadValidity.
func (m *Module) imposeMode(s *server, mode Mode) {
	s.overload.imposedMode, s.overload.imposedUntil = mode, m.now+overloadValidity
}

// excessLoad returns how far a server's load is above H, from 0 at H to 1 at R.
func (m *Module) excessLoad(s *server) float64 {
	n, high := m.serverLoad(s)
	return math.Min(1, math.Max(0, (n-high)/(blockThresholdFactor*high+1-high)))
}

// serverLoad returns the paper's n and H of a server. H is rounded up or down at random, so that its mean
// over all nodes is unchanged. Stuck attempts are not counted: they are in flight for other reasons than load
// and would keep n above H. A sparse node sends a server less than one request within overloadValidity, so
// its own count is meaningless; see sparseLoad.
func (m *Module) serverLoad(s *server) (n, high float64) {
	if !m.isSparse() {
		high = math.Max(m.highThreshold(s), m.minServerConcurrency(s))
		return s.inFlight - s.stuck, math.Floor(high + s.overload.rounding)
	}
	if m.latency.minimum == 0 || m.latency.atObjective == 0 {
		return s.inFlight, 1
	}
	return m.sparseLoad(s)
}

// sparseLoad is serverLoad for a sparse node that has learned latencies. There n is the number of requests in
// flight that the server reports. Without a report n is the number of requests ahead of a new one, estimated
// from the server's latency in units of the unloaded latency. Both estimates decay unless they are renewed.
func (m *Module) sparseLoad(s *server) (n, high float64) {
	atObjective := m.latency.atObjective * sparseObjectiveFraction / objectiveFraction
	// The minimum of a node that started during an overload is too high.
	unloadedLatency := math.Min(m.latency.minimum, atObjective)
	latency := m.latency.recent + s.latency.excess*decay(m.now-s.latency.at, staleLatencyTau)
	n = (latency/unloadedLatency - 1) * decay(m.now-m.latency.lastAnswerAt, staleLatencyTau)
	if s.report.inFlight > 0 {
		n = s.report.inFlight * decay(m.now-s.report.at, staleLatencyTau)
	}
	// The latency of unanswered attempts is at least the time since the first of them was sent.
	if s.outlier.unanswered > 0 && s.inFlight > 0 {
		n = math.Max(n, (m.now-s.outlier.unansweredSince).Seconds()/unloadedLatency-1)
	}
	return n, math.Max(1, math.Min(maxSparseQueue, atObjective/unloadedLatency))
}

// isSparse reports whether this node sends each server less than one request within overloadValidity on
// average.
func (m *Module) isSparse() bool {
	return m.arrivals.rate*overloadValidity.Seconds() < float64(len(m.subset.servers))
}

// highThreshold returns H before rounding: by Little's law, the number of requests that this node may have at
// a server that answers at the target latency, and more the further the fleet's latency is below the target.
// Part of the server's rate comes from the fleet's mean rate, so that noise does not starve a server. The
// target keeps queues short, as some servers stay slow for a long time after an overload.
func (m *Module) highThreshold(s *server) float64 {
	if !m.load.learned {
		return initialConcurrencyFactor * minConcurrency / m.nodesPerServer()
	}
	fleetRate := fleetRateWeight * m.load.fleetRate * math.Min(1, m.latency.mean/m.expectedLatency(s))
	rate := (1-fleetRateWeight)*m.answerRate(s) + fleetRate
	target := math.Min(maxBaselineFactor*m.latency.baseline, m.latency.atObjective)
	high := rate * math.Max(m.latency.baseline*m.load.peakRate/m.load.fleetRate,
		target*math.Min(maxThresholdGrowth, target/m.latency.mean))
	return math.Max(high, minConcurrency/m.nodesPerServer())
}

// minServerConcurrency returns a lower bound of H, from 0 to 1 request, that depends on the server's latency.
// Where many nodes share a server, each node's share of H is under 1, a count of 0 says nothing about load,
// and the rounding of H would make an idle server Overloaded. So near the baseline each node is allowed one
// request, at the target latency none, and H alone decides. The bound falls linearly in between, as the nodes
// do not all send at once.
func (m *Module) minServerConcurrency(s *server) float64 {
	// The baseline of a node that started during an overload is too high.
	baseline := math.Min(m.latency.baseline, m.latency.atObjective/maxBaselineFactor)
	target := math.Min(maxBaselineFactor*m.latency.baseline, m.latency.atObjective)
	switch {
	case m.latency.answers == 0:
		return 1 // there is no sign of load
	case target <= baseline:
		return 0
	}
	return math.Min(1, (target-m.expectedLatency(s))/(target-baseline)/(1-fullConcurrencyFraction))
}
