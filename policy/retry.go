package policy

const (
	retryBudgetRatio = 0.1  // retries allowed for each arrival, which prevents retry storms by the node
	maxRetryBudget   = 10.0 // maximum number of retries that the budget accumulates
)

// handleAttemptEnd records the outcome of an attempt. It closes a request that was answered, and retries or
// ends one that was not and has no other attempt in flight.
func (m *Module) handleAttemptEnd(e AttemptEnded) {
	r, a := m.findAttempt(e.ID, e.Attempt)
	if a == nil || a.ended {
		return
	}
	a.ended, a.mayHaveRun = true, e.Code.mayHaveRun()
	r.inFlight--
	a.release()
	m.countZoneEvidence(r, a, e)
	m.applyLoadReport(a.server, e.Report)
	m.recordOutcome(a.server, r, e)
	switch {
	case r.done && r.inFlight == 0:
		delete(m.requests, r.id)
	case e.Answered && !r.done:
		m.closeRequest(r)
	case !r.done && r.inFlight == 0:
		m.retry(r, a.mayHaveRun)
	}
}

// retry makes another attempt if the rules, the retry budget and the servers allow it, and ends the request
// otherwise. A retry takes 1 from the budget only if the failed attempt may have run.
func (m *Module) retry(r *request, mayHaveRun bool) {
	if m.worthRetrying(r) && (m.retryBudget >= 1 || !mayHaveRun) && m.forwardRetry(r) {
		if mayHaveRun {
			m.retryBudget--
		}
		return
	}
	m.endUnserved(r)
}

// worthRetrying reports whether an answer would still have any value to the client.
func (m *Module) worthRetrying(r *request) bool {
	late := r.class.LatencyObjective > 0 && m.now-r.arrivedAt >= r.class.LatencyObjective
	return !late || r.class.LateWeight != 0
}

// forwardRetry forwards a request again if there is a suitable server, and reports whether it did.
func (m *Module) forwardRetry(r *request) bool {
	m.accrueZoneCredit(r)
	s, mode := m.selectServer(m.subset.servers, r)
	if s == nil && !r.mayReject() {
		s, mode = m.selectServer(m.endpoints.listed, r) // the servers that share its key may be outside the subset
	}
	return (mode == Normal || r.priority) && m.forward(r, s, r.deadline)
}
