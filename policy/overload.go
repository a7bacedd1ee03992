package policy

import (
	"math"
	"time"
)

// Mode is the overload state of a server as this node sees it: the states s = 0, 1, 2 of the paper.
type Mode int

const (
	// Normal servers take every request.
	Normal Mode = iota
	// Overloaded servers take what is not shed, where no server is Normal.
	Overloaded
	// Blocking servers take nothing.
	Blocking
)

const (
	overloadValidity     = time.Second // an imposed mode lapses after it
	lowThresholdPart     = 0.5         // L as a part of H: the hysteresis
	blockThresholdFactor = 2.0         // R as a multiple of H: capacity for priority requests
	// Part of a latency objective that the class's mean delay may take: tails are long.
	objectivePart       = 0.4
	sparseObjectivePart = 0.6 // the same for sparse nodes, whose delays are means of the fleet's
	maxSparseQueue      = 2.0 // requests ahead of one's own, at most: below what turns servers slow
	// Wanted latency over the baseline: long queues harm where load slows servers.
	maxBaselineFactor   = 2.5
	maxObjectiveStretch = 3.0 // by which H grows at most where latency is far below the wanted one
	// On thresholds for load reports, which lag and come on top of own counts.
	reportThresholdSlack = 1.25
	maxReportedInFlight  = 1000.0 // requests; no server holds more to any use
	minConcurrency       = 2.0    // requests of all nodes at a server, at least, learned or not
	// Of the way from the baseline to the wanted latency: one request is allowed.
	fullConcurrencyUntil = 1 / 3.0
	// Part of H drawn from the fleet's mean rate: own noise must not starve a server.
	fleetRatePart          = 0.3
	minNodeShare           = 1e-9 // of the requests at servers, where it divides
	initialConcurrencyPart = 2    // multiple of minConcurrency until rates are learned
)

// overloadState is what decides a server's mode.
type overloadState struct {
	mode             Mode // by this node's own count
	reportedMode     Mode // by load reports
	imposedMode      Mode // by a rejection or a load report, until it lapses
	imposedUntil     Time
	rounding         float64       // in [0,1), drawn each shedding period
	rejectionBackoff time.Duration // added to a block after rejections in a row
}

// NextMode is the paper's hysteresis, at its exact edges: the mode that follows on m with n requests at the
// thresholds L (low), H (high) and R (block).
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

// nextMode is NextMode with the thresholds that follow from H.
func nextMode(m Mode, n, high float64) Mode {
	return NextMode(m, n, lowThresholdPart*high, high, blockThresholdFactor*high+1)
}

// overloadMode updates and returns a server's mode.
func (m *Module) overloadMode(s *server) Mode {
	n, high := m.serverLoad(s)
	s.overload.mode = nextMode(s.overload.mode, n, high)
	if m.now < s.overload.imposedUntil && s.overload.imposedMode > s.overload.mode {
		return s.overload.imposedMode
	}
	return s.overload.mode
}

// imposeMode gives a server a mode until it lapses.
func (m *Module) imposeMode(s *server, mode Mode) {
	s.overload.imposedMode, s.overload.imposedUntil = mode, m.now+overloadValidity
}

// excessLoad is how far a server is above H, on the way to R: 0 to 1.
func (m *Module) excessLoad(s *server) float64 {
	n, high := m.serverLoad(s)
	return math.Min(1, math.Max(0, (n-high)/(blockThresholdFactor*high+1-high)))
}

// serverLoad returns the paper's n and H of a server. H is rounded up or down by chance, which keeps its mean
// over nodes. A sparse node sends a server less than one request within overloadValidity, and its own count
// tells nothing: there n is the requests that a server reports, or those ahead of one's own by its delay in
// unloaded ones; it lapses. Stuck attempts are in flight for other reasons than load, and would hold n above
// H.
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

// sparseLoad is serverLoad for a node that has learned latencies but sends too little to count.
func (m *Module) sparseLoad(s *server) (n, high float64) {
	atObjective := m.latency.atObjective * sparseObjectivePart / objectivePart
	// A node that starts under overload takes that for its minimum.
	unit := math.Min(m.latency.minimum, atObjective)
	latency := m.latency.recent + s.latency.excess*decay(m.now-s.latency.at, staleLatencyTau)
	n = (latency/unit - 1) * decay(m.now-m.latency.lastAnswerAt, staleLatencyTau)
	if s.report.inFlight > 0 {
		n = s.report.inFlight * decay(m.now-s.report.at, staleLatencyTau)
	}
	// An attempt in flight has taken at least as long as it has been.
	if s.outlier.unanswered > 0 && s.inFlight > 0 {
		n = math.Max(n, (m.now-s.outlier.unansweredSince).Seconds()/unit-1)
	}
	return n, math.Max(1, math.Min(maxSparseQueue, atObjective/unit))
}

// isSparse reports whether this node sends a server less than one request within overloadValidity.
func (m *Module) isSparse() bool {
	return m.arrivals.rate*overloadValidity.Seconds() < float64(len(m.subset.servers))
}

// highThreshold is H: by Little's law the requests that this node may have at a server whose answers come as
// fast as every class's latency objective wants, and the more, the faster they come. Part of it is the
// fleet's mean, as chance must not starve a server. Queues stay small, as some servers turn slow for long
// under overload.
func (m *Module) highThreshold(s *server) float64 {
	if !m.load.learned {
		return initialConcurrencyPart * minConcurrency / m.nodesPerServer()
	}
	fleetRate := fleetRatePart * m.load.fleetRate * math.Min(1, m.latency.mean/m.expectedLatency(s))
	rate := (1-fleetRatePart)*m.answerRate(s) + fleetRate
	wanted := math.Min(maxBaselineFactor*m.latency.baseline, m.latency.atObjective)
	high := rate * math.Max(m.latency.baseline*m.load.peakRate/m.load.fleetRate,
		wanted*math.Min(maxObjectiveStretch, wanted/m.latency.mean))
	return math.Max(high, minConcurrency/m.nodesPerServer())
}

// minServerConcurrency is the part of one request that this node may always have at a server. Where many
// nodes share a server, each one's part of H is under 1, its own count of none tells nothing, and an idle
// server would be Overloaded by chance; so its latency tells: near the baseline one request of each node is
// allowed, at the wanted latency none, and H alone decides. In between it falls: not all nodes come at once.
func (m *Module) minServerConcurrency(s *server) float64 {
	// A node that starts under overload takes that for its baseline.
	baseline := math.Min(m.latency.baseline, m.latency.atObjective/maxBaselineFactor)
	wanted := math.Min(maxBaselineFactor*m.latency.baseline, m.latency.atObjective)
	switch {
	case m.latency.answers == 0:
		return 1 // nothing tells of load
	case wanted <= baseline:
		return 0
	}
	return math.Min(1, (wanted-m.expectedLatency(s))/(wanted-baseline)/(1-fullConcurrencyUntil))
}
