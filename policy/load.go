package policy

import (
	"math"
	"time"
)

const (
	answerRateTau  = 3.0   // s; smoothing of a server's rate of answers
	arrivalRateTau = 10.0  // s; smoothing of this node's arrivals: a subset is not to flutter
	peakMemory     = 600.0 // s; to forget peak rates and baselines: longer than faults last
	kindRateTau    = 60.0  // s; smoothing of what a kind answers
	maxKindFactor  = 1.5   // of the mean server's answers: little is known of a kind, and much may be chance

	reportLifetime = 2 * overloadValidity
)

// loadEstimates are estimates of the whole fleet's load.
type loadEstimates struct {
	learned   bool    // enough answers have come for rates to tell
	fleetRate float64 // answers/s of the mean server to this node
	peakRate  float64 // the most that fleetRate has been
	nodeShare float64 // this node's part of all requests at servers
	all       *kindLoad
	kinds     map[string]*kindLoad
}

func newLoadEstimates() loadEstimates {
	return loadEstimates{all: &kindLoad{}, kinds: map[string]*kindLoad{}}
}

// kindLoad is how fast the servers of a kind, or all, answer this node once they have warmed up.
type kindLoad struct {
	// Of this round: answers/s, servers.
	roundRate  float64
	roundCount float64
	maxRate    float64 // answers/s of one: the largest of late
	usualRate  float64 // answers/s of one: smoothed for long
}

// ofKind returns the load of a kind.
func (l *loadEstimates) ofKind(kind string) *kindLoad {
	if l.kinds[kind] == nil {
		l.kinds[kind] = &kindLoad{}
	}
	return l.kinds[kind]
}

// add counts a server's answers of the last seconds. They are not scaled up where less time has passed: a
// node that has just started would take its first answers for a fast fleet.
func (k *kindLoad) add(rate float64) {
	k.roundRate += rate
	k.roundCount++
}

// endRound ends a round of readings. The largest rate of late is of all kinds: of one kind a node of many has
// few answers, and the largest of few is far above their mean; so a kind's part is smoothed for long. With no
// server warmed up the last reading holds.
func (k *kindLoad) endRound() {
	if k.roundCount > 0 {
		rate := k.roundRate / k.roundCount
		k.maxRate = math.Max(rate, k.maxRate*decay(tickInterval, peakRateTau))
		k.usualRate += (rate - k.usualRate) * tickInterval.Seconds() / kindRateTau
	}
	k.roundRate, k.roundCount = 0, 0
}

// peakRateTau is how long the largest rate of late is remembered, s.
const peakRateTau = arrivalRateTau

// arrivalEstimates are this node's arrivals.
type arrivalEstimates struct {
	smoothed float64 // requests/s, biased towards 0 at first
	lastAt   Time
	rate     float64 // requests/s, unbiased from the first one on
}

func (a *arrivalEstimates) count(now Time) {
	a.smoothed = a.smoothed*decay(now-a.lastAt, arrivalRateTau) + 1/arrivalRateTau
	a.lastAt = now
}

// updateArrivalRate renews the unbiased rate.
func (m *Module) updateArrivalRate() {
	known := 1 - decay(m.now-m.startedAt+tickInterval, arrivalRateTau)
	m.arrivals.rate = m.arrivals.smoothed * decay(m.now-m.arrivals.lastAt, arrivalRateTau) / known
}

// answerRate is how often a server answers this node, smoothed.
type answerRate struct {
	perSecond float64
	at        Time
}

func (a *answerRate) count(now Time) {
	a.perSecond = a.current(now) + 1/answerRateTau
	a.at = now
}

// current is the rate at a time, answers/s. It is biased towards 0 at first.
func (a *answerRate) current(now Time) float64 {
	return a.perSecond * decay(now-a.at, answerRateTau)
}

// answerRate is a server's rate of answers, unbiased from the first second on.
func (m *Module) answerRate(s *server) float64 {
	return s.answers.current(m.now) / (1 - decay(m.now-s.firstSeen+tickInterval, answerRateTau))
}

// updateEstimates renews what the thresholds need of the whole fleet.
func (m *Module) updateEstimates() {
	rate, count := m.sumAnswerRates()
	m.updateNodeShare()
	m.load.fleetRate = rate / math.Max(1, count)
	m.load.all.endRound()
	for _, kind := range m.load.kinds {
		kind.endRound()
	}
	m.load.learned = rate > 0 && m.latency.answers >= 2*float64(len(m.subset.servers))
	growth := 1 + tickInterval.Seconds()/peakMemory
	m.updateMinimumLatency(growth)
	m.load.peakRate /= growth
	if m.load.learned {
		m.load.peakRate = math.Max(m.load.peakRate, m.load.fleetRate)
	}
	m.updateLatencyTargets(growth)
}

// sumAnswerRates sums up the rates of the servers that have warmed up, and adds them to their kinds.
func (m *Module) sumAnswerRates() (rate, count float64) {
	for _, s := range m.subset.servers {
		if s.outlier.ejected || s.slowStart.active {
			continue
		}
		rate += m.answerRate(s)
		count++
		late := s.answers.current(m.now)
		m.load.all.add(late)
		s.kindLoad.add(late)
	}
	return rate, count
}

// updateNodeShare compares this node's attempts with what servers report to have in flight.
func (m *Module) updateNodeShare() {
	own, all := 0.0, 0.0
	for _, s := range m.subset.servers {
		if s.report.inFlight > 0 && m.now-s.report.at < reportLifetime {
			own += s.inFlight
			all += s.report.inFlight
		}
	}
	if all > 0 {
		m.load.nodeShare += (own/all - m.load.nodeShare) * tickInterval.Seconds() / answerRateTau
	}
}

// nodesPerServer is how many nodes have a server in their subsets, on average: what all nodes together may do
// at a server is divided among them.
func (m *Module) nodesPerServer() float64 {
	subset, ready := len(m.subset.servers), len(m.endpoints.ready)
	return float64(m.settings.Nodes*max(1, subset)) / float64(max(1, ready))
}

// reportedLoad is what a server last reported.
type reportedLoad struct {
	inFlight float64
	at       Time
}

// applyLoadReport lets a server's own account of its load, which is late and counts every node's requests,
// impose a mode until it lapses. The thresholds are this node's, scaled by its share of all that servers
// report.
func (m *Module) applyLoadReport(s *server, r *LoadReport) {
	if r == nil || !r.HasInFlight || !(r.InFlight >= 0) { // not a number either
		return
	}
	s.report = reportedLoad{inFlight: math.Min(r.InFlight, maxReportedInFlight), at: m.now}
	if m.isSparse() {
		return
	}
	high := reportThresholdSlack * m.highThreshold(s) / math.Max(m.load.nodeShare, minNodeShare)
	s.overload.reportedMode = nextMode(s.overload.reportedMode, s.report.inFlight, high)
	// Never Blocking: on late reports all nodes would block a server, then leave it idle, at once.
	m.imposeMode(s, min(s.overload.reportedMode, Overloaded))
}

// stuckFactor is the multiple of the mean latency after which an attempt in flight is stuck.
const stuckFactor = 20.0

// markStuckAttempts marks a request's attempts that are in flight for longer than load alone explains.
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

// warmServerRate is what a server of this one's kind gives this node once it has warmed up, answers/s, as far
// as kinds differ. It is the largest rate of late: under overload servers answer less, and those that warm up
// and got less for it would deepen the overload.
func (m *Module) warmServerRate(s *server) float64 {
	if s.kindLoad.usualRate == 0 {
		return m.load.all.maxRate
	}
	return m.load.all.maxRate * math.Min(maxKindFactor, s.kindLoad.usualRate/m.load.all.usualRate)
}

// seconds converts a number of seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
