package policy

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
)

// A row of testdata/conformance.toml, which says what its fields mean.
type conformanceRow struct {
	Clause    string
	Event     string
	Class     string
	Code      string
	Servers   []conformanceServer
	Attempts  []conformanceAttempt
	Q         float64
	Q1        float64
	Q2        float64
	N1        float64
	N2        float64
	InFlight  float64
	AfterMS   int
	TimeoutMS int
	Budget    *float64
	MayHedge  bool
	Want      []string
}

type conformanceServer struct {
	Mode      string
	Imposed   string
	State     string
	Zone      string
	N         string
	LatencyMS float64
	Cell      int
	Excluded  bool
	Ejected   bool
	WarmingUp bool
	TrialDue  bool
}

type conformanceAttempt struct {
	Server int
	Code   string
}

var (
	modeNames  = []string{"normal", "overloaded", "blocking"}
	stateNames = []string{"", "draining", "removed"}
	codeNames  = []string{"ok", "error", "rejected", "timeout", "connect", "reset", "cancelled", "not-sent"}
)

func conformanceSettings(overlap bool) Settings {
	s := Settings{Nodes: 1, Zone: "a", Zones: []string{"a", "b"}, MaxAttempts: 3, MayHedge: overlap, MinTick: 5 * time.Millisecond,
		SlowStartMinCapacity: 0.4, SlowStartWindow: 8 * time.Second, OverloadFactor: 4, OverloadDuration: time.Second}
	for name, effect := range map[string]Idempotency{"safe": Idempotent, "unsafe": NonIdempotent, "cell": IdempotentByKey, "zone": IdempotentByKey, "all": IdempotentByKey} {
		s.Classes = append(s.Classes, Class{Name: name, PriorityWeight: 8, LatencyObjective: time.Second, Deadline: 2 * time.Second, Idempotency: effect,
			KeyScope: map[string]KeyScope{"zone": KeyScopeZone, "all": KeyScopeAll}[name], DedupWindow: 500 * time.Millisecond, LateWeight: 0.25})
	}
	s.Classes = append(s.Classes, Class{Name: "bulk", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: 2 * time.Second, Idempotency: Idempotent})
	return s
}

// threshold reads a count such as "H-1" or "2" at a server with L, H and R.
func threshold(t *testing.T, text string, h float64) float64 {
	v := 0.0
	sign := 1.0
	base := map[string]float64{"L": lowThresholdPart * h, "H": h, "R": blockThresholdFactor*h + 1}
	for _, part := range strings.SplitAfter(strings.NewReplacer("-", "-|", "+", "+|").Replace(text), "|") {
		next := 1.0
		if strings.HasSuffix(part, "-|") {
			next = -1
		}
		part = strings.TrimRight(part, "+-|")
		x, named := base[part]
		if f, err := strconv.ParseFloat(part, 64); err == nil {
			x = f
		} else if !named && part != "" {
			t.Fatalf("%q is no count", text)
		}
		v, sign = v+sign*x, next
	}
	return v
}

// run puts a module in the row's state, runs its event and tells what comes of it.
func (c conformanceRow) run(t *testing.T, seed int64) string {
	m, now := New(conformanceSettings(c.MayHedge), seed), time.Hour
	list := EndpointUpdate{Kind: EndpointsComplete}
	for i, s := range c.Servers {
		list.Servers = append(list.Servers, Server{ID: ServerID(i + 1), Zone: s.Zone, Cell: s.Cell})
	}
	m.arrivals.smoothed, m.arrivals.lastAt = 1e4, now // a busy node: its own counts tell
	m.Handle(now, list)
	m.latency.mean = 0.05
	m.retryBudget = 1
	m.weights.mean = m.weights.max
	var h float64
	for i, s := range c.Servers {
		k := m.serverByID(ServerID(i + 1))
		_, h = m.serverLoad(k)
		k.inFlight, k.overload.mode = threshold(t, s.N, h), Mode(max(0, slices.Index(modeNames, s.Mode)))
		if s.Imposed != "" {
			m.imposeMode(k, Mode(slices.Index(modeNames, s.Imposed)))
		}
		if s.LatencyMS > 0 {
			k.latency.excess, k.latency.at = s.LatencyMS/1000-m.latency.mean, now
		}
		if s.Ejected {
			m.eject(k, "row")
			k.outlier.nextTrialAt = now + time.Hour
			if s.TrialDue {
				k.outlier.nextTrialAt = now
			}
		}
		if k.slowStart.active = s.WarmingUp; s.WarmingUp {
			k.slowStart.since, k.slowStart.tokensAt = now, now
		}
	}
	if h < 1 || lowThresholdPart*h >= h || h >= blockThresholdFactor*h+1 {
		t.Fatalf("L, H and R are %v, %v, %v", lowThresholdPart*h, h, blockThresholdFactor*h+1)
	}
	if c.Budget != nil {
		m.retryBudget = *c.Budget
	}
	timeout := 2 * time.Second
	if c.TimeoutMS > 0 {
		timeout = time.Duration(c.TimeoutMS) * time.Millisecond
	}
	r := &request{id: "r", class: m.classNamed(c.Class), rules: m.settings, arrivedAt: now, deadline: now + timeout, priority: c.Class != "bulk"}
	for _, a := range c.Attempts {
		code := slices.Index(codeNames, a.Code)
		r.attempts = append(r.attempts, attempt{server: m.serverByID(ServerID(a.Server)), sentAt: now, ended: a.Code != "in-flight",
			mayHaveRun: code < 0 || code != int(Rejected) && code != int(ConnectFailed) && code != int(NotSent)})
		if a.Code == "in-flight" {
			r.inFlight++
			r.attempts[len(r.attempts)-1].server.inFlight++
		}
	}
	if len(c.Attempts) > 0 {
		m.requests["r"], m.open = r, append(m.open, r)
	}
	for i, s := range c.Servers { // what the list and the operators say last
		m.Handle(now, EndpointUpdate{Kind: EndpointsChanged, Servers: []Server{{ID: ServerID(i + 1), Zone: s.Zone, Cell: s.Cell,
			State: ServerState(max(0, slices.Index(stateNames, s.State)))}}})
		if s.Excluded {
			m.Handle(now, ServerExcluded{Server: ServerID(i + 1)})
		}
	}
	m.shedding.dropPriority = c.Q1
	m.shedding.dropOther = c.Q2
	m.shedding.priorityArrivals = c.N1
	m.shedding.otherArrivals = c.N2
	later := now + time.Duration(c.AfterMS)*time.Millisecond
	last := len(c.Attempts) - 1
	end := AttemptEnded{ID: "r", Attempt: last, Code: OutcomeCode(max(0, slices.Index(codeNames, c.Code)))}
	switch c.Event {
	case "arrive":
		return describe(m.Handle(later, RequestArrived{ID: "r", Class: c.Class, Timeout: timeout}))
	case "ended":
		return describe(m.Handle(later, end))
	case "twice":
		m.Handle(now, end)
		return describe(m.Handle(later, end))
	case "stream":
		m.Handle(now, StreamStarted{ID: "r", Attempt: last})
		return describe(m.Handle(later, end))
	case "body":
		m.Handle(now, BodyStarted{ID: "r", Attempt: last})
		return describe(m.Handle(later, end))
	case "abandoned":
		m.Handle(now, RequestAbandoned{ID: "r"})
		return describe(m.Handle(later, end))
	case "tick":
		return describe(m.Handle(later, TimerFired{}))
	case "period":
		m.shedding.periodStart = later - sheddingInterval
		m.Handle(later, TimerFired{})
		return fmt.Sprintf("q1 %.2f q2 %.2f", m.shedding.dropPriority, m.shedding.dropOther)
	case "split":
		q1, q2 := ShedSplit(c.Q, c.N1, c.N2)
		return fmt.Sprintf("q1 %.2f q2 %.2f", q1, q2)
	case "report", "look":
		if c.Event == "report" {
			m.applyLoadReport(m.serverByID(1), &LoadReport{InFlight: c.InFlight, HasInFlight: true})
		} else if c.Code != "" {
			m.Handle(now, end)
		}
		m.now = later
		var modes []string
		for _, s := range m.subset.servers {
			modes = append(modes, fmt.Sprint(s.ID, " ", modeNames[m.overloadMode(s)]))
		}
		slices.Sort(modes)
		return strings.Join(modes, ", ")
	}
	t.Fatalf("%q is no event", c.Event)
	return ""
}

// describe tells the actions that concern clients and servers.
func describe(all []Action) string {
	var out []string
	for _, a := range all {
		switch a := a.(type) {
		case Forward:
			out = append(out, fmt.Sprint("send ", a.Server))
		case Reject:
			out = append(out, "reject")
		case Fail:
			out = append(out, "fail")
		}
	}
	if len(out) == 0 {
		return "nothing"
	}
	return strings.Join(out, ", ")
}

// TestConformance runs every row with many seeds: what comes of it is all of want, and nothing else.
func TestConformance(t *testing.T) {
	var table struct{ Row []conformanceRow }
	md, err := toml.DecodeFile("testdata/conformance.toml", &table)
	if err != nil || len(md.Undecoded()) > 0 || len(table.Row) < 50 {
		t.Fatalf("%v, unknown keys %v, %d rows", err, md.Undecoded(), len(table.Row))
	}
	for i, c := range table.Row {
		got := map[string]bool{}
		for seed := int64(1); seed <= 60; seed++ {
			got[c.run(t, seed)] = true
		}
		slices.Sort(c.Want)
		if seen := slices.Sorted(maps.Keys(got)); c.Clause == "" || !slices.Equal(seen, c.Want) {
			t.Errorf("row %d, %s: %q, want %q", i+1, c.Clause, seen, c.Want)
		}
	}
}
