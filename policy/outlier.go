package policy

import (
	"math"
	"time"
)

const (
	maxConsecutiveFailures = 3    // consecutive failures or unanswered attempts; fewer can be chance
	errorRateGain          = 0.25 // smoothing gain of a server's error rate, per outcome
	ejectionErrorRate      = 0.4  // ejects after about two consecutive errors; load causes no errors
	readmissionErrorRate   = 0.2  // from this error rate on, a server that answers a trial stays ejected
	silenceFactor          = 4.0  // multiple of the expected latency after which silence is a fault

	minTrialDelay       = 500 * time.Millisecond // delay before the first trial; it doubles with each trial
	maxTrialDelay       = 16 * time.Second       // about as long as faults last
	trialTimeoutDivisor = 3                      // a trial's timeout is at most the latency objective over this
)

// outlierState holds the values that decide whether a server is ejected.
type outlierState struct {
	ejected         bool
	failures        int  // failures since the last success
	unanswered      int  // attempts sent since the last answer
	unansweredSince Time // when the first of the unanswered attempts was sent
	errorRate       float64
	connectionLost  bool // a connection broke or could not be opened since the last success
	nextTrialAt     Time
	trialDelay      time.Duration
}

// countSend counts an attempt that was sent.
func (o *outlierState) countSend(now Time) {
	o.unanswered++
	if o.unanswered == 1 {
		o.unansweredSince = now
	}
}

// uncountSend no longer counts an attempt as unanswered: the time until its answer depends on how fast the
// client sends.
func (m *Module) uncountSend(a *attempt) {
	o := &a.server.outlier
	if o.unanswered == 0 || a.sentAt < o.unansweredSince {
		return
	}
	o.unanswered--
	if a.sentAt == o.unansweredSince {
		o.unansweredSince = m.oldestUnanswered(a.server, a.sentAt)
	}
}

// oldestUnanswered returns when the oldest attempt in flight at a server was sent, among those that are no
// older than the given time and forward no long body. It returns the present time if there is none.
func (m *Module) oldestUnanswered(s *server, since Time) Time {
	oldest := m.now
	for _, r := range m.open {
		for _, a := range r.attempts {
			if a.server == s && !a.ended && !a.longBody && a.sentAt >= since {
				oldest = min(oldest, a.sentAt)
			}
		}
	}
	return oldest
}

// forwardTrial forwards a request to an ejected server whose trial is due, and reports whether it did. The
// trial's timeout leaves time for a second attempt, also where the whole fleet is slow; otherwise no ejected
// server would be tried again.
func (m *Module) forwardTrial(r *request) bool {
	s := m.serverDueTrial(r)
	silenceTimeout := seconds(silenceFactor * m.latency.mean * r.class.relativeCost)
	timeout := min(max(m.settings.ConnectTimeout, silenceTimeout), r.class.LatencyObjective/trialTimeoutDivisor)
	if !m.forward(r, s, timeout) {
		return false
	}
	r.trial = true
	s.outlier.trialDelay = min(2*s.outlier.trialDelay, maxTrialDelay)
	s.outlier.nextTrialAt = m.now + m.random.jitter(s.outlier.trialDelay)
	return true
}

// serverDueTrial returns an ejected server whose trial is due, or nil if there is none or the request is
// non-idempotent.
func (m *Module) serverDueTrial(r *request) *server {
	if r.class.Idempotency == NonIdempotent {
		return nil
	}
	for _, s := range m.subset.servers {
		if s.outlier.ejected && m.now >= s.outlier.nextTrialAt && m.mayForward(r, s) && !m.slowStartForbids(s) {
			return s
		}
	}
	return nil
}

// recordOutcome updates a server's state by the outcome of an attempt. A failure also counts as a slow
// answer, so that a server that fails fast does not attract requests.
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

// recordRejection blocks a server that rejected a request. Consecutive rejections back off: many nodes that
// each send again after overloadValidity would sustain an overload.
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
	if !r.streaming && !r.notReplayable { // otherwise elapsed includes time that the client took
		m.learnLatency(s, r.class, elapsed)
	}
	s.outlier.failures = 0
	if s.outlier.ejected {
		m.readmit(s, r)
	}
	s.outlier.connectionLost = false
}

// readmit ends a server's ejection unless its error rate is still high. A server that lost connections and
// then answers a trial may have restarted without notice, so it gets a slow start. Silence alone is no sign
// of a restart, as a process that dies resets its connections.
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

// detectSilence ejects a server that has answered none of several attempts for silenceFactor times the
// larger of its expected latency and the fleet's mean latency.
func (m *Module) detectSilence(s *server) {
	if s.outlier.unanswered < maxConsecutiveFailures || m.latency.mean <= 0 {
		return
	}
	silence := (m.now - s.outlier.unansweredSince).Seconds()
	if silence > silenceFactor*math.Max(m.latency.mean, m.expectedLatency(s)) {
		m.eject(s, "no answer")
	}
}

// eject excludes a server from selection, except for trial requests.
func (m *Module) eject(s *server, format string, args ...any) {
	if s.outlier.ejected {
		return
	}
	s.outlier.ejected = true
	m.scheduleFirstTrial(s)
	m.logServer(s, "ejected, only trial requests: "+format, args...)
}

// scheduleFirstTrial schedules the next trial of an ejected server with the minimum delay.
func (m *Module) scheduleFirstTrial(s *server) {
	s.outlier.trialDelay = minTrialDelay
	s.outlier.nextTrialAt = m.now + m.random.jitter(minTrialDelay)
}
