package policy

import (
	"math"
	"time"
)

const (
	priorityWeightFraction = 0.5  // of the largest weight; classes from it up always have priority
	minQuotaBurst          = 3.0  // minimum burst of a tenant's quota at one node, in requests
	weightGain             = 0.02 // smoothing gain of the mean priority weight, per request
	retryAfterFraction     = 0.15 // Retry-After as a fraction of the latency objective, before jitter
)

// weightEstimates are the mean and the maximum priority weight.
type weightEstimates struct {
	mean float64 // smoothed over the requests that arrive
	max  float64 // largest weight of a class in the settings
}

// localQuota is a token bucket for this node's share of a tenant's quota, which all nodes share evenly.
type localQuota struct {
	rate       float64 // requests/s
	tokens     float64
	refilledAt Time
}

// configureLocalQuotas sets up the token buckets of the tenants in the settings, except for tenants that the
// control plane manages.
func (m *Module) configureLocalQuotas() {
	previous := m.localQuotas
	m.localQuotas = map[string]*localQuota{}
	for _, t := range m.settings.Tenants {
		if m.fleet.overridesSettings(t.Name) {
			continue
		}
		quota := &localQuota{}
		if old := previous[t.Name]; old != nil {
			*quota = *old
		}
		quota.rate = t.Quota / float64(m.settings.Nodes)
		m.localQuotas[t.Name] = quota
	}
}

// takeToken takes a token and reports whether there was one. Requests arrive in bursts, so the bucket holds
// at least minQuotaBurst tokens, however small a node's share of the quota is.
func (q *localQuota) takeToken(now Time) bool {
	burst := math.Max(q.rate, minQuotaBurst)
	q.tokens = math.Min(burst, q.tokens+q.rate*(now-q.refilledAt).Seconds())
	q.refilledAt = now
	if q.tokens < 1 {
		return false
	}
	q.tokens--
	return true
}

// handleArrival makes the first attempt of a new request, or gives its final answer if it can't be forwarded
// or is shed.
func (m *Module) handleArrival(e RequestArrived) {
	if m.requests[e.ID] != nil {
		return
	}
	c := m.ensureClass(e.Class)
	r := &request{id: e.ID, class: c, arrivalSettings: m.settings, arrivedAt: m.now, deadline: m.now + e.Timeout}
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
	if mode == Overloaded && m.shouldShed(r) {
		s = nil
	}
	if !m.forward(r, s, r.deadline) {
		m.endUnserved(r)
	}
}

// countArrival counts an admitted request and decides whether it has priority. Classes of similar weight are
// treated alike: a class has priority if its weight reaches the mean or priorityWeightFraction of the
// largest.
func (m *Module) countArrival(r *request, tenant string) {
	m.arrivals.count(m.now)
	m.weights.mean += weightGain * (r.class.PriorityWeight - m.weights.mean)
	r.priority = r.class.PriorityWeight >= math.Min(m.weights.mean, priorityWeightFraction*m.weights.max)
	if quota := m.localQuotas[tenant]; quota != nil && !quota.takeToken(m.now) {
		r.priority = false // requests beyond the tenant's quota are worth little
	}
	m.shedding.countArrival(r.priority)
}

// mayReject reports whether the request may be rejected. A rejection promises the client that it is safe to
// send the request again.
func (r *request) mayReject() bool {
	return !r.mayHaveRun() || r.class.Idempotency == Idempotent ||
		r.class.Idempotency == IdempotentByKey && r.class.KeyScope == KeyScopeAll
}

// endUnserved gives the final answer to a request that no server answered: a rejection where mayReject allows
// one, otherwise a failure. Retry-After is short against the latency objective, so that an answer to the
// client's retry still has its value, and it is at most MaxRetryAfter.
func (m *Module) endUnserved(r *request) {
	retryAfter := m.random.jitter(time.Duration(retryAfterFraction * float64(r.class.LatencyObjective)))
	retryAfter = min(retryAfter, m.settings.MaxRetryAfter)
	if r.mayReject() {
		m.emit(Reject{ID: r.id, RetryAfter: retryAfter})
	} else {
		m.emit(Fail{ID: r.id})
	}
	m.closeRequest(r)
}
