package policy

import (
	"fmt"
	"testing"
	"time"
)

// slowStartDeployments returns four deployments with different demands on slow start: warming servers with much of their capacity
// and short deadlines or with little for a long time, fast machine kinds beside slow ones, few or many attempts. The last one has
// budgets of 5 to 9 requests.
func slowStartDeployments() map[string]rollout {
	const ms = time.Millisecond
	return map[string]rollout{
		"views": {settings: Settings{MaxAttempts: 6, MayCancel: true, SendsRetryAfter: true, MaxRetryAfter: 750 * ms, MinTick: 5 * ms,
			ConnectTimeout: 200 * ms, SlowStartMinCapacity: 0.39, SlowStartWindow: 8700 * ms, OverloadFactor: 4, OverloadDuration: 1500 * ms,
			Classes: []Class{{Name: "view", PriorityWeight: 1, LatencyObjective: 400 * ms, Deadline: 1200 * ms, LateWeight: 0.25, Idempotency: Idempotent},
				{Name: "order", PriorityWeight: 8, LatencyObjective: 750 * ms, Deadline: 1500 * ms, LateWeight: 0.2}}},
			work: []time.Duration{37 * ms, 100 * ms}, mix: []float64{0.57, 0.43}, cores: 2, speeds: []float64{0.9, 0.9, 0.9, 1.8}},
		"orders": {settings: Settings{MaxAttempts: 3, MayHedge: true, MayCancel: true, SendsRetryAfter: true, MaxRetryAfter: 2 * time.Second,
			MinTick: 4 * ms, ConnectTimeout: 120 * ms, SlowStartMinCapacity: 0.14, SlowStartWindow: 23 * time.Second, OverloadFactor: 3,
			OverloadDuration: 2 * time.Second,
			Classes: []Class{{Name: "status", PriorityWeight: 5, LatencyObjective: 250 * ms, Deadline: 600 * ms, Idempotency: Idempotent},
				{Name: "browse", PriorityWeight: 1, LatencyObjective: 600 * ms, Deadline: 1500 * ms, Idempotency: Idempotent},
				{Name: "submit", PriorityWeight: 10, LatencyObjective: 600 * ms, Deadline: 2500 * ms}}},
			work: []time.Duration{25 * ms, 43 * ms, 100 * ms}, mix: []float64{0.42, 0.35, 0.23}, cores: 1, speeds: []float64{1, 0.7}},
		"short": {settings: Settings{MaxAttempts: 1, SendsRetryAfter: true, MaxRetryAfter: 500 * ms, MinTick: 5 * ms, ConnectTimeout: 60 * ms,
			PollsEndpoints: true, MaxPollInterval: 10 * time.Second, SlowStartMinCapacity: 0.42, SlowStartWindow: 6 * time.Second, OverloadFactor: 4,
			OverloadDuration: 1500 * ms,
			Classes: []Class{{Name: "keyed", PriorityWeight: 3, LatencyObjective: 60 * ms, Deadline: 140 * ms, Idempotency: IdempotentByKey, KeyScope: KeyScopeZone,
				DedupWindow: 150 * ms}, {Name: "safe", PriorityWeight: 1, LatencyObjective: 70 * ms, Deadline: 145 * ms, Idempotency: Idempotent}}},
			work: []time.Duration{12 * ms, 20 * ms}, mix: []float64{0.5, 0.5}, cores: 2, speeds: []float64{0.8, 1.2}},
		"long": {settings: Settings{MaxAttempts: 3, MayCancel: true, SendsRetryAfter: true, MaxRetryAfter: 2 * time.Second, MinTick: 5 * ms,
			ConnectTimeout: 200 * ms, SlowStartMinCapacity: 0.15, SlowStartWindow: 20 * time.Second, OverloadFactor: 6, OverloadDuration: 2 * time.Second,
			Classes: []Class{{Name: "safe", PriorityWeight: 2, LatencyObjective: 1500 * ms, Deadline: 6 * time.Second, Idempotency: Idempotent},
				{Name: "unsafe", PriorityWeight: 5, LatencyObjective: 2500 * ms, Deadline: 8 * time.Second}}},
			work: []time.Duration{70 * ms, 130 * ms}, mix: []float64{0.5, 0.5}, cores: 1, speeds: []float64{2.4, 2.4, 2.4, 0.7}},
	}
}

// When half of the servers are replaced at once, the requests of all nodes to a warming server in any interval of OverloadDuration
// must stay within its budget N and a margin for chance, also when 70 % of the nodes restart in that second or when warming servers
// return errors. Guards against sums that no node can see: each node estimates the rate of a warm server too high, or takes it
// from another machine kind.
func TestFleetKeepsWithinSlowStartBudget(t *testing.T) {
	deployments := slowStartDeployments()
	weak := deployments["long"]
	weak.settings.OverloadFactor, weak.settings.SlowStartMinCapacity = 3, 0.14
	deployments["weak"] = weak
	for i, c := range []struct {
		nodes         int
		servers       int
		deployment    string
		load          float64
		restarts      float64
		errorFraction float64
		seed          int64
	}{{4, 12, "views", 0.33, 0.5, 0, 1}, {4, 12, "weak", 1.2, 0, 0, 1}, {20, 16, "orders", 0.6, 0.5, 0, 1},
		{20, 16, "weak", 1.1, 0, 0.5, 2}, {30, 8, "short", 0.4, 0.5, 0, 1}, {30, 16, "weak", 1.1, 0.7, 0, 6},
		{30, 12, "long", 0.6, 0, 0, 1}, {100, 18, "weak", 1.1, 0.5, 0, 5}, {300, 18, "weak", 1.1, 0.5, 0, 2}} {
		t.Run(fmt.Sprint(c.nodes, c.deployment, i), func(t *testing.T) {
			t.Parallel()
			w := deployments[c.deployment]
			w.nodes = c.nodes
			w.servers = c.servers
			w.load = c.load
			w.restarts = c.restarts
			w.errorPart = c.errorFraction
			w.replacedPart = 0.5
			w.newServerSpeed = 1
			w.early = true
			w.length = 5 * time.Second
			if c.nodes == 300 {
				w.length = 8 * time.Second // the largest excess comes late in the run
			}
			if o := w.run(c.seed); o.maxExcess > 0 || o.warming != c.servers/2 {
				t.Errorf("%d of %d warming servers got too many requests, at most %.1f more than N+2√N+2, %.2f of N", o.overBudget, o.warming,
					o.maxExcess, o.maxRatio)
			}
		})
	}
}

// A trial request to an ejected server that is warming up must use its slow-start budget. Otherwise many nodes send trials at the
// same time, as each has its own schedule.
func TestTrialsUseSlowStartBudget(t *testing.T) {
	m := New(sparseSettings(300), 1)
	m.Handle(time.Hour, EndpointUpdate{Kind: EndpointsComplete, Servers: []Server{{ID: 1, StartedAt: time.Hour}}})
	s := m.subset.servers[0]
	s.outlier.ejected = true
	s.outlier.nextTrialAt = time.Hour
	s.slowStart.tokens = 0
	if m.Handle(time.Hour+time.Second, RequestArrived{ID: "a", Class: "priority", Timeout: time.Second}); s.inFlight != 0 {
		t.Error("a trial was sent although the budget is spent")
	}
	s.slowStart.tokens = 1
	if m.Handle(time.Hour+2*time.Second, RequestArrived{ID: "b", Class: "priority", Timeout: time.Second}); s.inFlight != 1 {
		t.Error("no trial was sent although the budget allows one")
	}
}

// Another notice of the same start, or a trial that suggests a restart, must not refill the budget of a warming server.
func TestRepeatedStartDoesNotRefillBudget(t *testing.T) {
	m := New(sparseSettings(300), 1)
	m.Handle(time.Hour, EndpointUpdate{Kind: EndpointsComplete, Servers: []Server{{ID: 1, StartedAt: time.Hour}}})
	s := m.subset.servers[0]
	for i := range 20 {
		s.slowStart.tokens = 0.01
		if m.beginSlowStart(s, time.Hour+time.Duration(i)*time.Second); s.slowStart.tokens > 0.01 {
			t.Fatalf("budget of %v requests after start %d", s.slowStart.tokens, i+1)
		}
	}
}

// A node that has just started must not derive a high rate of a warm server from its first answers: on 300 nodes that each get one
// fast answer, a slow fleet would look fast.
func TestFirstAnswersDoNotInflateWarmServerRate(t *testing.T) {
	m := New(sparseSettings(300), 1)
	m.Handle(time.Hour, cachedEndpoints(8))
	for i := range 3 {
		id := RequestID(fmt.Sprint(i))
		for _, a := range m.Handle(time.Hour+time.Duration(i)*time.Millisecond, RequestArrived{ID: id, Class: "priority", Timeout: time.Second}) {
			if s, ok := a.(Forward); ok {
				m.Handle(time.Hour+10*time.Millisecond, AttemptEnded{ID: id, Server: s.Server, Answered: true, Elapsed: 9 * time.Millisecond})
			}
		}
	}
	m.Handle(time.Hour+25*time.Millisecond, TimerFired{})
	if maximum := 3 / answerRateTau / 8; m.load.all.maxRate == 0 || m.load.all.maxRate > maximum+1e-9 {
		t.Errorf("estimated rate of a server is %.2f/s after 3 answers of 8 servers, want at most %.2f", m.load.all.maxRate, maximum)
	}
}

// The slow-start rate of a server must depend on its own machine kind: a weak server among strong ones gets the rate of a weak one.
func TestSlowStartRateDependsOnKind(t *testing.T) {
	m := New(sparseSettings(2), 1)
	update := cachedEndpoints(8)
	for i := range update.Servers {
		update.Servers[i].Kind = []string{"strong", "weak"}[i%2]
	}
	m.Handle(time.Hour, update)
	driveAt(m, time.Hour, 10, 40, func(id ServerID) time.Duration { return time.Duration(50+450*(id%2^1)) * time.Millisecond }, nil)
	strong, weak := m.warmServerRate(m.ensureServer(1)), m.warmServerRate(m.ensureServer(2))
	if got := m.ensureServer(2).answers.perSecond / m.ensureServer(1).answers.perSecond; weak > m.load.all.maxRate/2 || strong < m.load.all.maxRate || strong > maxKindFactor*m.load.all.maxRate {
		t.Errorf("strong %.2f, weak %.2f, all %.2f answers/s; the ratio of the servers' rates is %.2f", strong, weak, m.load.all.maxRate, got)
	}
}
