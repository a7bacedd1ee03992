package policy

import (
	"math"
	"time"
)

const (
	maxConsecutiveFailures = 3    // failures in a row, or attempts without any answer: fewer are chance
	errorRateGain          = 0.25 // weight of an outcome in a server's error rate
	ejectionErrorRate      = 0.4  // from which a server is ejected: two errors in a row, or so; load causes none
	readmissionErrorRate   = 0.2  // from which a server stays ejected although it answered a trial
	silenceFactor          = 4.0  // multiple of the expected latency after which no answer is telling

	minTrialDelay     = 500 * time.Millisecond // before an ejected server's first trial; it doubles
	maxTrialDelay     = 16 * time.Second       // about as long as faults last
	trialTimeoutParts = 3                      // a trial takes this part of the latency objective, at most
)

// outlierState is what decides whether a server is ejected.
type outlierState struct {
	ejected         bool
	failures        int  // since the last success
	unanswered      int  // attempts since the last answer
	unansweredSince Time // the first of those
	errorRate       float64
	connectionLost  bool // a connection broke or failed since the last success
	nextTrialAt     Time
	trialDelay      time.Duration
}

// countSend counts an attempt.
func (o *outlierState) countSend(now Time) {
	o.unanswered++
	if o.unanswered == 1 {
		o.unansweredSince = now
	}
}

// forwardTrial forwards a request to an ejected server whose trial is due, and reports whether it did. A
// trial leaves time for a second attempt, also where all is slow: or no ejected server would be tried again.
func (m *Module) forwardTrial(r *request) bool {
	s := m.serverDueTrial(r)
	patience := seconds(silenceFactor * m.latency.mean * r.class.relativeCost)
	timeout := min(max(m.settings.ConnectTimeout, patience), r.class.LatencyObjective/trialTimeoutParts)
	if !m.forward(r, s, timeout) {
		return false
	}
	r.trial = true
	s.outlier.trialDelay = min(2*s.outlier.trialDelay, maxTrialDelay)
	s.outlier.nextTrialAt = m.now + m.random.jitter(s.outlier.trialDelay)
	return true
}

// serverDueTrial returns an ejected server whose trial is due, for a request that may be repeated, or nil.
func (m *Module) serverDueTrial(r *request) *server {
	if r.class.Idempotency == NonIdempotent {
		return nil
	}
	for _, s := range m.subset.servers {
		if s.outlier.ejected && m.now >= s.outlier.nextTrialAt && m.mayForward(r, s) && !m.slowStartSpent(s) {
			return s
		}
	}
	return nil
}

// recordOutcome takes the outcome of an attempt. Failures count as slow answers too: a server that fails fast
// must not attract requests.
func (m *Module) recordOutcome(s *server, r *request, e AttemptEnded) {
	switch e.Code {
	case Cancelled, NotSent:
	case Rejected:
		m.recordRejection(s)
	case OK:
		m.recordSuccess(s, r, e.Elapsed)
	default:
		m.recordFailure(s, r, e)
	}
}

// recordRejection blocks a server. Rejections in a row back off: many nodes that each come back after one
// validity keep an overload alive.
func (m *Module) recordRejection(s *server) {
	m.imposeMode(s, Blocking)
	s.overload.imposedUntil += m.random.jitter(s.overload.rejectionBackoff)
	s.overload.rejectionBackoff = min(max(2*s.overload.rejectionBackoff, overloadValidity), maxTrialDelay)
	s.outlier.unanswered = 0
}

func (m *Module) recordSuccess(s *server, r *request, elapsed time.Duration) {
	s.answers.count(m.now)
	s.overload.rejectionBackoff = 0
	s.outlier.unanswered = 0
	s.outlier.errorRate *= 1 - errorRateGain
	if !r.streaming && !r.notReplayable { // else the client's time is in it
		m.learnLatency(s, r.class, elapsed)
	}
	s.outlier.failures = 0
	if s.outlier.ejected {
		m.readmit(s, r)
	}
	s.outlier.connectionLost = false
}

// readmit ends a server's ejection, unless most requests still fail there. One that broke connections and
// answers a trial may have restarted unannounced: it is taken to warm up. Silence alone is no sign of that,
// as a process that dies resets its connections.
func (m *Module) readmit(s *server, r *request) {
	if s.outlier.errorRate >= readmissionErrorRate {
		m.scheduleFirstTrial(s)
		return
	}
	s.outlier.ejected = false
	if r.trial && s.outlier.connectionLost {
		m.beginSlowStart(s, m.now)
	}
	m.logServer(s, "answers again; slow start assumed: %v", s.slowStart.active)
}

func (m *Module) recordFailure(s *server, r *request, e AttemptEnded) {
	if e.Code == ConnectFailed || e.Code == Reset {
		s.outlier.connectionLost = true
	}
	m.learnServerLatency(s, r.class, max(e.Elapsed, r.class.LatencyObjective))
	if e.Code == ServerError {
		s.outlier.errorRate += errorRateGain * (1 - s.outlier.errorRate)
	}
	s.outlier.failures++
	failing := e.Code == ServerError && s.outlier.errorRate >= ejectionErrorRate
	if failing || s.outlier.failures >= maxConsecutiveFailures {
		m.eject(s, "failures, the last of code %d", e.Code)
	}
}

// detectSilence ejects a server that has answered none of several attempts, for a time in which the fleet's
// mean request is long done.
func (m *Module) detectSilence(s *server) {
	if s.outlier.unanswered < maxConsecutiveFailures || m.latency.mean <= 0 {
		return
	}
	silent := (m.now - s.outlier.unansweredSince).Seconds()
	if silent > silenceFactor*math.Max(m.latency.mean, m.expectedLatency(s)) {
		m.eject(s, "no answer")
	}
}

// eject takes a server out of the ordinary choice; only trials go there.
func (m *Module) eject(s *server, format string, args ...any) {
	if s.outlier.ejected {
		return
	}
	s.outlier.ejected = true
	m.scheduleFirstTrial(s)
	m.logServer(s, "ejected, only trial requests: "+format, args...)
}

// scheduleFirstTrial begins an ejected server's trials anew.
func (m *Module) scheduleFirstTrial(s *server) {
	s.outlier.trialDelay = minTrialDelay
	s.outlier.nextTrialAt = m.now + m.random.jitter(minTrialDelay)
}
