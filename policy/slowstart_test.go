package policy

import (
	"fmt"
	"testing"
	"time"
)

// slowStartSites are four deployments that differ in what a warming server may bear: much of its capacity and short deadlines, or
// little for long, strong kinds beside weak ones, few attempts or many. The last has budgets of 5 to 9 calls.
func slowStartSites() map[string]rollout {
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

// What all nodes together send a warming server in any span of OverloadDuration stays within its budget of N and chance, as
// half of the servers are replaced at once, also with 70 % of the nodes restarted in that second, and with warming servers
// that err. Guards against sums that no node sees: each one's guess of a warm server too high, or of another kind.
func TestFleetSparesWarmingServers(t *testing.T) {
	sites := slowStartSites()
	weak := sites["long"]
	weak.settings.OverloadFactor, weak.settings.SlowStartMinCapacity = 3, 0.14
	sites["weak"] = weak
	for i, c := range []struct {
		nodes    int
		servers  int
		site     string
		load     float64
		restarts float64
		sick     float64
		seed     int64
	}{{4, 12, "views", 0.33, 0.5, 0, 1}, {4, 12, "weak", 1.2, 0, 0, 1}, {20, 16, "orders", 0.6, 0.5, 0, 1},
		{20, 16, "weak", 1.1, 0, 0.5, 2}, {30, 8, "short", 0.4, 0.5, 0, 1}, {30, 16, "weak", 1.1, 0.7, 0, 6},
		{30, 12, "long", 0.6, 0, 0, 1}, {100, 18, "weak", 1.1, 0.5, 0, 5}, {300, 18, "weak", 1.1, 0.5, 0, 2}} {
		t.Run(fmt.Sprint(c.nodes, c.site, i), func(t *testing.T) {
			t.Parallel()
			w := sites[c.site]
			w.nodes = c.nodes
			w.servers = c.servers
			w.load = c.load
			w.restarts = c.restarts
			w.errorPart = c.sick
			w.replacedPart = 0.5
			w.newServerSpeed = 1
			w.early = true
			w.length = 5 * time.Second
			if c.nodes == 300 {
				w.length = 8 * time.Second // the worst comes late
			}
			if o := w.run(c.seed); o.maxExcess > 0 || o.warming != c.servers/2 {
				t.Errorf("%d of %d warming servers got too much, at most %.1f calls beyond N+2√N+2, %.2f of N", o.overBudget, o.warming,
					o.maxExcess, o.maxRatio)
			}
		})
	}
}

// A warming server that is an ejected server is tried from the same budget: else many nodes try it at once, each by its own clock.
func TestTrialsOfWarmingServersArePaced(t *testing.T) {
	m := New(sparseSettings(300), 1)
	m.Handle(time.Hour, EndpointUpdate{Kind: EndpointsComplete, Servers: []Server{{ID: 1, StartedAt: time.Hour}}})
	s := m.subset.servers[0]
	s.outlier.ejected = true
	s.outlier.nextTrialAt = time.Hour
	s.slowStart.tokens = 0
	if m.Handle(time.Hour+time.Second, RequestArrived{ID: "a", Class: "priority", Timeout: time.Second}); s.inFlight != 0 {
		t.Error("tried with its budget spent")
	}
	s.slowStart.tokens = 1
	if m.Handle(time.Hour+2*time.Second, RequestArrived{ID: "b", Class: "priority", Timeout: time.Second}); s.inFlight != 1 {
		t.Error("not tried with a budget")
	}
}

// News of a start that comes again, or a trial that looks like one, gives a warming server no new budget.
func TestSpentBudgetOfAWarmingServerStaysSpent(t *testing.T) {
	m := New(sparseSettings(300), 1)
	m.Handle(time.Hour, EndpointUpdate{Kind: EndpointsComplete, Servers: []Server{{ID: 1, StartedAt: time.Hour}}})
	s := m.subset.servers[0]
	for i := range 20 {
		s.slowStart.tokens = 0.01
		if m.beginSlowStart(s, time.Hour+time.Duration(i)*time.Second); s.slowStart.tokens > 0.01 {
			t.Fatalf("%v of a call after start %d", s.slowStart.tokens, i+1)
		}
	}
}

// What a node that has just started takes a warm server to give does not come from its first moments: 300 of them that
// each have one quick answer would make a slow fleet look fast.
func TestFirstAnswersAreNoFastFleet(t *testing.T) {
	m := New(sparseSettings(300), 1)
	m.Handle(time.Hour, sparseList(8))
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
		t.Errorf("a server is taken to give %.2f/s after 3 answers of 8, want at most %.2f", m.load.all.maxRate, maximum)
	}
}

// A warming server's pace goes by its own kind: a weak one among strong ones gets the part of a weak one.
func TestPaceGoesByKind(t *testing.T) {
	m := New(sparseSettings(2), 1)
	l := sparseList(8)
	for i := range l.Servers {
		l.Servers[i].Kind = []string{"strong", "weak"}[i%2]
	}
	m.Handle(time.Hour, l)
	driveAt(m, time.Hour, 10, 40, func(id ServerID) time.Duration { return time.Duration(50+450*(id%2^1)) * time.Millisecond }, nil)
	strong, weak := m.warmServerRate(m.serverByID(1)), m.warmServerRate(m.serverByID(2))
	if got := m.serverByID(2).answers.perSecond / m.serverByID(1).answers.perSecond; weak > m.load.all.maxRate/2 || strong < m.load.all.maxRate || strong > maxKindFactor*m.load.all.maxRate {
		t.Errorf("strong %.2f, weak %.2f, all %.2f answers/s; the servers' rates are as %.2f to 1", strong, weak, m.load.all.maxRate, got)
	}
}
