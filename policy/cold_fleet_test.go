package policy

import (
	"fmt"
	"testing"
	"time"
)

// coldSites are four deployments that differ in what a cold server may bear: much of its capacity and short deadlines, or
// little for long, strong kinds beside weak ones, few attempts or many. The last has budgets of 5 to 9 calls.
func coldSites() map[string]release {
	const ms = time.Millisecond
	return map[string]release{
		"views": {set: Settings{MaxAttempts: 6, MayCancel: true, SendsRetryAfter: true, MaxRetryAfter: 750 * ms, MinTick: 5 * ms,
			ConnectTimeout: 200 * ms, SlowStartMinCapacity: 0.39, SlowStartWindow: 8700 * ms, OverloadFactor: 4, OverloadDuration: 1500 * ms,
			Classes: []Class{{Name: "view", PriorityWeight: 1, LatencyObjective: 400 * ms, Deadline: 1200 * ms, LateWeight: 0.25, Idempotency: Idempotent},
				{Name: "order", PriorityWeight: 8, LatencyObjective: 750 * ms, Deadline: 1500 * ms, LateWeight: 0.2}}},
			works: []time.Duration{37 * ms, 100 * ms}, mix: []float64{0.57, 0.43}, cores: 2, speeds: []float64{0.9, 0.9, 0.9, 1.8}},
		"orders": {set: Settings{MaxAttempts: 3, MayHedge: true, MayCancel: true, SendsRetryAfter: true, MaxRetryAfter: 2 * time.Second,
			MinTick: 4 * ms, ConnectTimeout: 120 * ms, SlowStartMinCapacity: 0.14, SlowStartWindow: 23 * time.Second, OverloadFactor: 3,
			OverloadDuration: 2 * time.Second,
			Classes: []Class{{Name: "status", PriorityWeight: 5, LatencyObjective: 250 * ms, Deadline: 600 * ms, Idempotency: Idempotent},
				{Name: "browse", PriorityWeight: 1, LatencyObjective: 600 * ms, Deadline: 1500 * ms, Idempotency: Idempotent},
				{Name: "submit", PriorityWeight: 10, LatencyObjective: 600 * ms, Deadline: 2500 * ms}}},
			works: []time.Duration{25 * ms, 43 * ms, 100 * ms}, mix: []float64{0.42, 0.35, 0.23}, cores: 1, speeds: []float64{1, 0.7}},
		"short": {set: Settings{MaxAttempts: 1, SendsRetryAfter: true, MaxRetryAfter: 500 * ms, MinTick: 5 * ms, ConnectTimeout: 60 * ms,
			PollsEndpoints: true, MaxPollInterval: 10 * time.Second, SlowStartMinCapacity: 0.42, SlowStartWindow: 6 * time.Second, OverloadFactor: 4,
			OverloadDuration: 1500 * ms,
			Classes: []Class{{Name: "keyed", PriorityWeight: 3, LatencyObjective: 60 * ms, Deadline: 140 * ms, Idempotency: IdempotentByKey, KeyScope: KeyScopeZone,
				DedupWindow: 150 * ms}, {Name: "safe", PriorityWeight: 1, LatencyObjective: 70 * ms, Deadline: 145 * ms, Idempotency: Idempotent}}},
			works: []time.Duration{12 * ms, 20 * ms}, mix: []float64{0.5, 0.5}, cores: 2, speeds: []float64{0.8, 1.2}},
		"long": {set: Settings{MaxAttempts: 3, MayCancel: true, SendsRetryAfter: true, MaxRetryAfter: 2 * time.Second, MinTick: 5 * ms,
			ConnectTimeout: 200 * ms, SlowStartMinCapacity: 0.15, SlowStartWindow: 20 * time.Second, OverloadFactor: 6, OverloadDuration: 2 * time.Second,
			Classes: []Class{{Name: "safe", PriorityWeight: 2, LatencyObjective: 1500 * ms, Deadline: 6 * time.Second, Idempotency: Idempotent},
				{Name: "once", PriorityWeight: 5, LatencyObjective: 2500 * ms, Deadline: 8 * time.Second}}},
			works: []time.Duration{70 * ms, 130 * ms}, mix: []float64{0.5, 0.5}, cores: 1, speeds: []float64{2.4, 2.4, 2.4, 0.7}},
	}
}

// What all nodes together send a cold server in any span of OverloadTime stays within its budget of N and chance, as
// half of the servers are replaced at once, also with 70 % of the nodes restarted in that second, and with cold servers
// that err. Guards against sums that no node sees: each one's guess of a warm server too high, or of another kind.
func TestFleetSparesColdServers(t *testing.T) {
	sites := coldSites()
	weak := sites["long"]
	weak.set.OverloadFactor, weak.set.SlowStartMinCapacity = 3, 0.14
	sites["weak"] = weak
	for i, c := range []struct {
		nodes, servers int
		site           string
		load, restarts float64
		sick           float64
		seed           int64
	}{{4, 12, "views", 0.33, 0.5, 0, 1}, {4, 12, "weak", 1.2, 0, 0, 1}, {20, 16, "orders", 0.6, 0.5, 0, 1},
		{20, 16, "weak", 1.1, 0, 0.5, 2}, {30, 8, "short", 0.4, 0.5, 0, 1}, {30, 16, "weak", 1.1, 0.7, 0, 6},
		{30, 12, "long", 0.6, 0, 0, 1}, {100, 18, "weak", 1.1, 0.5, 0, 5}, {300, 18, "weak", 1.1, 0.5, 0, 2}} {
		t.Run(fmt.Sprint(c.nodes, c.site, i), func(t *testing.T) {
			t.Parallel()
			w := sites[c.site]
			w.nodes, w.servers, w.load, w.restarts, w.sick = c.nodes, c.servers, c.load, c.restarts, c.sick
			w.part, w.attract, w.early, w.length = 0.5, 1, true, 5*time.Second
			if c.nodes == 300 {
				w.length = 8 * time.Second // the worst comes late
			}
			if o := w.play(c.seed); o.excess > 0 || o.cold != c.servers/2 {
				t.Errorf("%d of %d cold servers got too much, at most %.1f calls beyond N+2√N+2, %.2f of N", o.beyond, o.cold,
					o.excess, o.ratio)
			}
		})
	}
}

// A cold server that is a suspect is tried from the same budget: else many nodes try it at once, each by its own clock.
func TestTrialsOfColdServersArePaced(t *testing.T) {
	m := New(sparseSettings(300), 1)
	m.Handle(time.Hour, EndpointUpdate{Kind: EndpointsComplete, Servers: []Server{{ID: 1, StartedAt: time.Hour}}})
	s := m.near[0]
	s.suspect, s.trialAt, s.tokens = true, time.Hour, 0
	if m.Handle(time.Hour+time.Second, RequestArrived{ID: "a", Class: "dear", Timeout: time.Second}); s.n != 0 {
		t.Error("tried with its budget spent")
	}
	s.tokens = 1
	if m.Handle(time.Hour+2*time.Second, RequestArrived{ID: "b", Class: "dear", Timeout: time.Second}); s.n != 1 {
		t.Error("not tried with a budget")
	}
}

// News of a start that comes again, or a trial that looks like one, gives a cold server no new budget.
func TestSpentBudgetOfAColdServerStaysSpent(t *testing.T) {
	m := New(sparseSettings(300), 1)
	m.Handle(time.Hour, EndpointUpdate{Kind: EndpointsComplete, Servers: []Server{{ID: 1, StartedAt: time.Hour}}})
	s := m.near[0]
	for i := range 20 {
		s.tokens = 0.01
		if m.startCold(s, time.Hour+time.Duration(i)*time.Second); s.tokens > 0.01 {
			t.Fatalf("%v of a call after start %d", s.tokens, i+1)
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
		for _, a := range m.Handle(time.Hour+time.Duration(i)*time.Millisecond, RequestArrived{ID: id, Class: "dear", Timeout: time.Second}) {
			if s, ok := a.(Forward); ok {
				m.Handle(time.Hour+10*time.Millisecond, AttemptEnded{ID: id, Server: s.Server, Answered: true, Elapsed: 9 * time.Millisecond})
			}
		}
	}
	m.Handle(time.Hour+25*time.Millisecond, TimerFired{})
	if most := 3 / rateTau / 8; m.all.able == 0 || m.all.able > most+1e-9 {
		t.Errorf("a server is taken to give %.2f/s after 3 answers of 8, want at most %.2f", m.all.able, most)
	}
}

// A cold server's pace goes by its own kind: a weak one among strong ones gets the part of a weak one.
func TestPaceGoesByKind(t *testing.T) {
	m := New(sparseSettings(2), 1)
	l := sparseList(8)
	for i := range l.Servers {
		l.Servers[i].Kind = []string{"strong", "weak"}[i%2]
	}
	m.Handle(time.Hour, l)
	driveAt(m, time.Hour, 10, 40, func(id ServerID) time.Duration { return time.Duration(50+450*(id%2^1)) * time.Millisecond }, nil)
	strong, weak := m.ableOf(m.serverOf(1)), m.ableOf(m.serverOf(2))
	if got := m.serverOf(2).rate / m.serverOf(1).rate; weak > m.all.able/2 || strong < m.all.able || strong > kindMost*m.all.able {
		t.Errorf("strong %.2f, weak %.2f, all %.2f answers/s; the servers' rates are as %.2f to 1", strong, weak, m.all.able, got)
	}
}
