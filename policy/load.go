package policy

import (
	"math"
	"time"
)

const (
	answerRateTau  = 3.0   // s, smoothing of a server's rate of answers
	arrivalRateTau = 10.0  // s, smoothing of this node's arrival rate, so that the subset size is stable
	peakDecayTau   = 600.0 // s, time in which peak rates and baselines are forgotten; longer than faults last
	kindRateTau    = 60.0  // s, smoothing of the answer rate of a machine kind
	maxKindFactor  = 1.5   // limit of a kind's rate relative to the mean server, as samples of a kind are few

	reportValidity = 2 * overloadValidity
)

// loadEstimates are estimates of the whole fleet's load.
type loadEstimates struct {
	learned   bool    // there were enough answers for the rates to be meaningful
	fleetRate float64 // answers/s that this node gets from a server, averaged over its subset
	peakRate  float64 // the highest value of fleetRate, lowered slowly
	nodeShare float64 // fraction of all requests at servers that are this node's
	all       *kindLoad
	kinds     map[string]*kindLoad
}

func newLoadEstimates() loadEstimates {
	return loadEstimates{all: &kindLoad{}, kinds: map[string]*kindLoad{}}
}

// kindLoad estimates the rate at which a warm server of one kind, or of any kind, answers this node.
type kindLoad struct {
	// Sum of the answer rates, in answers/s, and number of servers in the current round.
	roundRate    float64
	roundCount   float64
	maxRate      float64 // answers/s per server, recent maximum
	longTermRate float64 // answers/s per server, smoothed over kindRateTau
}

// ofKind returns the load of a machine kind and creates it if needed.
func (l *loadEstimates) ofKind(kind string) *kindLoad {
	if l.kinds[kind] == nil {
		l.kinds[kind] = &kindLoad{}
	}
	return l.kinds[kind]
}

// add adds a server's recent answer rate to the current round. The rate must not be corrected for a short
// time of observation: a node that has just started would mistake its first answers for a fast fleet.
func (k *kindLoad) add(rate float64) {
	k.roundRate += rate
	k.roundCount++
}

// endRound ends a round of samples. Slow start uses the recent maximum rate over all kinds only, and scales
// it by the long-term rate of a kind: one of many nodes gets few answers from one kind, and the maximum of
// few samples is far above their mean. If no server is warm, the last estimates hold.
func (k *kindLoad) endRound() {
	if k.roundCount > 0 {
		rate := k.roundRate / k.roundCount
		k.maxRate = math.Max(rate, k.maxRate*decay(tickInterval, maxRateTau))
		k.longTermRate += (rate - k.longTermRate) * tickInterval.Seconds() / kindRateTau
	}
	k.roundRate, k.roundCount = 0, 0
}

// maxRateTau is the time constant, in seconds, with which the recent maximum rate decays.
const maxRateTau = arrivalRateTau

// arrivalEstimates estimate the rate of requests that arrive at this node.
type arrivalEstimates struct {
	smoothed float64 // requests/s at lastAt, biased towards 0 just after the start
	lastAt   Time
	rate     float64 // requests/s, without the bias
}

func (a *arrivalEstimates) count(now Time) {
	a.smoothed = a.smoothed*decay(now-a.lastAt, arrivalRateTau) + 1/arrivalRateTau
	a.lastAt = now
}

// updateArrivalRate updates the unbiased arrival rate.
func (m *Module) updateArrivalRate() {
	weight := 1 - decay(m.now-m.startedAt+tickInterval, arrivalRateTau)
	m.arrivals.rate = m.arrivals.smoothed * decay(m.now-m.arrivals.lastAt, arrivalRateTau) / weight
}

// answerRateEstimate is the smoothed rate at which a server answers this node, perSecond at the time at.
type answerRateEstimate struct {
	perSecond float64
	at        Time
}

func (a *answerRateEstimate) count(now Time) {
	a.perSecond = a.current(now) + 1/answerRateTau
	a.at = now
}

// current returns the rate at a time, in answers/s. It is biased towards 0 at first.
func (a *answerRateEstimate) current(now Time) float64 {
	return a.perSecond * decay(now-a.at, answerRateTau)
}

// answerRate returns a server's rate of answers, without the bias of current.
func (m *Module) answerRate(s *server) float64 {
	return s.answers.current(m.now) / (1 - decay(m.now-s.firstSeen+tickInterval, answerRateTau))
}

// updateEstimates updates the estimates for the whole fleet on which the thresholds depend.
func (m *Module) updateEstimates() {
	rate, count := m.sumAnswerRates()
	m.updateNodeShare()
	m.load.fleetRate = rate / math.Max(1, count)
	m.load.all.endRound()
	for _, kind := range m.load.kinds {
		kind.endRound()
	}
	m.load.learned = rate > 0 && m.latency.answers >= 2*float64(len(m.subset.servers))
	growth := 1 + tickInterval.Seconds()/peakDecayTau
	m.updateMinimumLatency(growth)
	m.load.peakRate /= growth
	if m.load.learned {
		m.load.peakRate = math.Max(m.load.peakRate, m.load.fleetRate)
	}
	m.updateLatencyTargets(growth)
}

// sumAnswerRates returns the sum of the answer rates of the warm servers in the subset that are not ejected,
// and their number. It adds the rates to the estimates of their kinds and of all kinds.
func (m *Module) sumAnswerRates() (rate, count float64) {
	for _, s := range m.subset.servers {
		if s.outlier.ejected || s.slowStart.active {
			continue
		}
		rate += m.answerRate(s)
		count++
		biased := s.answers.current(m.now)
		m.load.all.add(biased)
		s.kindLoad.add(biased)
	}
	return rate, count
}

// updateNodeShare updates this node's share of the requests that servers report to have in flight.
func (m *Module) updateNodeShare() {
	own, all := 0.0, 0.0
	for _, s := range m.subset.servers {
		if s.report.inFlight > 0 && m.now-s.report.at < reportValidity {
			own += s.inFlight
			all += s.report.inFlight
		}
	}
	if all > 0 {
		m.load.nodeShare += (own/all - m.load.nodeShare) * tickInterval.Seconds() / answerRateTau
	}
}

// nodesPerServer returns the average number of nodes that have a server in their subsets. What all nodes
// together may send to a server is divided by it.
func (m *Module) nodesPerServer() float64 {
	subset, ready := len(m.subset.servers), len(m.endpoints.ready)
	return float64(m.settings.Nodes*max(1, subset)) / float64(max(1, ready))
}

// reportedLoad is the load that a server last reported.
type reportedLoad struct {
	inFlight float64
	at       Time
}

// applyLoadReport records a server's load report and imposes the mode that follows from it. A report is late
// and counts the requests of all nodes, so this node's H is divided by its share of the reported requests.
func (m *Module) applyLoadReport(s *server, r *LoadReport) {
	if r == nil || !r.HasInFlight || !(r.InFlight >= 0) { // false for NaN too
		return
	}
	s.report = reportedLoad{inFlight: math.Min(r.InFlight, maxReportedInFlight), at: m.now}
	if m.isSparse() {
		return
	}
	high := reportThresholdSlack * m.highThreshold(s) / math.Max(m.load.nodeShare, minNodeShare)
	s.overload.reportedMode = nextMode(s.overload.reportedMode, s.report.inFlight, high)
	// Never Blocking: reports are late, so all nodes would block a server at once and leave it idle.
	m.imposeMode(s, min(s.overload.reportedMode, Overloaded))
}

// stuckFactor is the multiple of the mean latency after which an attempt in flight counts as stuck.
const stuckFactor = 20.0

// markStuckAttempts marks a request's attempts that have been in flight longer than load alone explains.
func (m *Module) markStuckAttempts(r *request) {
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.released || a.stuck || !m.latency.known() {
			continue
		}
		if (m.now - a.sentAt).Seconds() > stuckFactor*m.latency.mean*r.class.relativeCost {
			a.stuck = true
			a.server.stuck++
		}
	}
}

// warmServerRate returns the rate, in answers/s, at which a warm server of the same kind answers this node.
// It is based on the recent maximum rate: servers answer less under overload, and sending less to servers
// that are warming up would deepen the overload.
func (m *Module) warmServerRate(s *server) float64 {
	if s.kindLoad.longTermRate == 0 {
		return m.load.all.maxRate
	}
	return m.load.all.maxRate * math.Min(maxKindFactor, s.kindLoad.longTermRate/m.load.all.longTermRate)
}

// seconds converts a number of seconds to a Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
