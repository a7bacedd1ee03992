package policy

const (
	retryBudgetRatio = 0.1  // further attempts for each arrival: the node makes no retry storm of its own
	maxRetryBudget   = 10.0 // further attempts that may be saved up
)

// handleAttemptEnd takes the outcome of an attempt, and retries or ends the request.
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

// retry makes a further attempt if rules, budget and servers allow, else it ends the request. An attempt that
// may have run costs a part of the budget.
func (m *Module) retry(r *request, mayHaveRun bool) {
	if m.worthRetrying(r) && (m.retryBudget >= 1 || !mayHaveRun) && m.forwardRetry(r) {
		if mayHaveRun {
			m.retryBudget--
		}
		return
	}
	m.endUnserved(r)
}

// worthRetrying reports whether an answer would still have a value.
func (m *Module) worthRetrying(r *request) bool {
	late := r.class.LatencyObjective > 0 && m.now-r.arrivedAt >= r.class.LatencyObjective
	return !late || r.class.LateWeight != 0
}

// forwardRetry makes a further attempt where a server takes it, and reports whether it did.
func (m *Module) forwardRetry(r *request) bool {
	m.accrueZoneCredit(r)
	s, mode := m.selectServer(m.subset.servers, r)
	if s == nil && !r.mayReject() {
		s, mode = m.selectServer(m.endpoints.listed, r) // its key may bind it to servers outside the subset
	}
	return (mode == Normal || r.priority) && m.forward(r, s, r.deadline)
}
