package policy

import (
	"math"
	"time"
)

const (
	priorityWeightPart = 0.5  // of the largest weight: classes of like weight are not divided by it
	minQuotaBurst      = 3.0  // requests that a node may save up of a tenant's quota, at least
	weightGain         = 0.02 // weight of a new request in the mean priority weight
	retryAfterPart     = 0.15 // part of the latency objective that a rejected client is told to wait, jittered
)

// weightEstimates are priority weights of requests.
type weightEstimates struct {
	mean float64 // of the requests that arrive, smoothed
	max  float64 // of the settings' classes
}

// localQuota is this node's even part of a tenant's quota, as a token bucket.
type localQuota struct {
	rate       float64 // requests/s
	tokens     float64
	refilledAt Time
}

// configureLocalQuotas divides the quotas of the settings' tenants, but for those that the control plane
// governs.
func (m *Module) configureLocalQuotas() {
	earlier := m.localQuotas
	m.localQuotas = map[string]*localQuota{}
	for _, t := range m.settings.Tenants {
		if m.fleet.governs(t.Name) {
			continue
		}
		quota := &localQuota{}
		if was := earlier[t.Name]; was != nil {
			*quota = *was
		}
		quota.rate = t.Quota / float64(m.settings.Nodes)
		m.localQuotas[t.Name] = quota
	}
}

// take takes a token, if there is one. Requests come in bunches: a node's part of a small quota must save up
// some, however many nodes there are.
func (q *localQuota) take(now Time) bool {
	burst := math.Max(q.rate, minQuotaBurst)
	q.tokens = math.Min(burst, q.tokens+q.rate*(now-q.refilledAt).Seconds())
	q.refilledAt = now
	if q.tokens < 1 {
		return false
	}
	q.tokens--
	return true
}

// handleArrival gives a new request its first attempt, or its final answer where it is shed.
func (m *Module) handleArrival(e RequestArrived) {
	if m.requests[e.ID] != nil {
		return
	}
	c := m.classNamed(e.Class)
	r := &request{id: e.ID, class: c, rules: m.settings, arrivedAt: m.now, deadline: m.now + e.Timeout}
	m.requests[e.ID] = r
	m.open = append(m.open, r)
	if !m.admitTenant(r, e.Tenant) {
		m.endUnserved(r)
		return
	}
	m.accrueZoneCredit(r)
	m.countArrival(r, e.Tenant)
	m.retryBudget = math.Min(maxRetryBudget, m.retryBudget+retryBudgetRatio)
	if m.forwardTrial(r) {
		return
	}
	s, mode := m.selectServer(m.subset.servers, r)
	if mode == Overloaded && m.drop(r) {
		s = nil
	}
	if !m.forward(r, s, r.deadline) {
		m.endUnserved(r)
	}
}

// countArrival counts a request that is admitted, and decides whether it has priority.
func (m *Module) countArrival(r *request, tenant string) {
	m.arrivals.count(m.now)
	m.weights.mean += weightGain * (r.class.PriorityWeight - m.weights.mean)
	r.priority = r.class.PriorityWeight >= math.Min(m.weights.mean, priorityWeightPart*m.weights.max)
	if quota := m.localQuotas[tenant]; quota != nil && !quota.take(m.now) {
		r.priority = false // over its tenant's quota a request is worth little
	}
	m.shedding.countArrival(r.priority)
}

// mayReject reports whether a rejection, which promises that the request may be sent again, is true of the
// request.
func (r *request) mayReject() bool {
	return !r.mayHaveRun() || r.class.Idempotency == Idempotent ||
		r.class.Idempotency == IdempotentByKey && r.class.KeyScope == KeyScopeAll
}

// endUnserved gives the final answer where no server did: a rejection if the rules allow one. Its Retry-After
// brings the client back while an answer is still worth something, else as late as it may.
func (m *Module) endUnserved(r *request) {
	retryAfter := m.random.jitter(time.Duration(retryAfterPart * float64(r.class.LatencyObjective)))
	retryAfter = min(retryAfter, m.settings.MaxRetryAfter)
	if r.mayReject() {
		m.emit(Reject{ID: r.id, RetryAfter: retryAfter})
	} else {
		m.emit(Fail{ID: r.id})
	}
	m.closeRequest(r)
}
