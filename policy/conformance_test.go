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

// conformanceRow is a row of testdata/conformance.toml, which describes the fields.
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

func conformanceSettings(mayHedge bool) Settings {
	s := Settings{Nodes: 1, Zone: "a", Zones: []string{"a", "b"}, MaxAttempts: 3, MayHedge: mayHedge, MinTick: 5 * time.Millisecond,
		SlowStartMinCapacity: 0.4, SlowStartWindow: 8 * time.Second, OverloadFactor: 4, OverloadDuration: time.Second}
	for name, idempotency := range map[string]Idempotency{"safe": Idempotent, "unsafe": NonIdempotent, "cell": IdempotentByKey,
		"zone": IdempotentByKey, "all": IdempotentByKey} {
		s.Classes = append(s.Classes, Class{Name: name, PriorityWeight: 8, LatencyObjective: time.Second, Deadline: 2 * time.Second,
			Idempotency: idempotency,
			KeyScope:    map[string]KeyScope{"zone": KeyScopeZone, "all": KeyScopeAll}[name], DedupWindow: 500 * time.Millisecond, LateWeight: 0.25})
	}
	s.Classes = append(s.Classes, Class{Name: "bulk", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: 2 * time.Second, Idempotency: Idempotent})
	return s
}

// threshold parses a count such as "H-1" or "2" for a server with thresholds L, H and R, where h is H.
func threshold(t *testing.T, text string, h float64) float64 {
	sum := 0.0
	sign := 1.0
	base := map[string]float64{"L": lowThresholdFraction * h, "H": h, "R": blockThresholdFactor*h + 1}
	for _, part := range strings.SplitAfter(strings.NewReplacer("-", "-|", "+", "+|").Replace(text), "|") {
		nextSign := 1.0
		if strings.HasSuffix(part, "-|") {
			nextSign = -1
		}
		part = strings.TrimRight(part, "+-|")
		value, named := base[part]
		if f, err := strconv.ParseFloat(part, 64); err == nil {
			value = f
		} else if !named && part != "" {
			t.Fatalf("%q is not a count", text)
		}
		sum, sign = sum+sign*value, nextSign
	}
	return sum
}

// run puts a module into the row's state, passes the row's event to the module and describes the outcome.
func (row conformanceRow) run(t *testing.T, seed int64) string {
	m, now := New(conformanceSettings(row.MayHedge), seed), time.Hour
	list := EndpointUpdate{Kind: EndpointsComplete}
	for i, s := range row.Servers {
		list.Servers = append(list.Servers, Server{ID: ServerID(i + 1), Zone: s.Zone, Cell: s.Cell})
	}
	m.arrivals.smoothed, m.arrivals.lastAt = 1e4, now // a busy node relies on its own counts
	m.Handle(now, list)
	m.latency.mean = 0.05
	m.retryBudget = 1
	m.weights.mean = m.weights.max
	var h float64
	for i, s := range row.Servers {
		k := m.ensureServer(ServerID(i + 1))
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
	if h < 1 || lowThresholdFraction*h >= h || h >= blockThresholdFactor*h+1 {
		t.Fatalf("L, H and R are %v, %v, %v", lowThresholdFraction*h, h, blockThresholdFactor*h+1)
	}
	if row.Budget != nil {
		m.retryBudget = *row.Budget
	}
	timeout := 2 * time.Second
	if row.TimeoutMS > 0 {
		timeout = time.Duration(row.TimeoutMS) * time.Millisecond
	}
	r := &request{id: "r", class: m.ensureClass(row.Class), arrivalSettings: m.settings, arrivedAt: now, deadline: now + timeout, priority: row.Class != "bulk"}
	for _, a := range row.Attempts {
		code := slices.Index(codeNames, a.Code)
		r.attempts = append(r.attempts, attempt{server: m.ensureServer(ServerID(a.Server)), sentAt: now, ended: a.Code != "in-flight",
			mayHaveRun: code < 0 || code != int(Rejected) && code != int(ConnectFailed) && code != int(NotSent)})
		if a.Code == "in-flight" {
			r.inFlight++
			r.attempts[len(r.attempts)-1].server.inFlight++
		}
	}
	if len(row.Attempts) > 0 {
		m.requests["r"], m.open = r, append(m.open, r)
	}
	for i, s := range row.Servers { // the latest state from the list and the operators
		m.Handle(now, EndpointUpdate{Kind: EndpointsChanged, Servers: []Server{{ID: ServerID(i + 1), Zone: s.Zone, Cell: s.Cell,
			State: ServerState(max(0, slices.Index(stateNames, s.State)))}}})
		if s.Excluded {
			m.Handle(now, ServerExcluded{Server: ServerID(i + 1)})
		}
	}
	m.shedding.dropPriority = row.Q1
	m.shedding.dropOther = row.Q2
	m.shedding.priorityArrivals = row.N1
	m.shedding.otherArrivals = row.N2
	later := now + time.Duration(row.AfterMS)*time.Millisecond
	last := len(row.Attempts) - 1
	end := AttemptEnded{ID: "r", Attempt: last, Code: OutcomeCode(max(0, slices.Index(codeNames, row.Code)))}
	switch row.Event {
	case "arrive":
		return describe(m.Handle(later, RequestArrived{ID: "r", Class: row.Class, Timeout: timeout}))
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
		q1, q2 := ShedSplit(row.Q, row.N1, row.N2)
		return fmt.Sprintf("q1 %.2f q2 %.2f", q1, q2)
	case "report", "look":
		if row.Event == "report" {
			m.applyLoadReport(m.ensureServer(1), &LoadReport{InFlight: row.InFlight, HasInFlight: true})
		} else if row.Code != "" {
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
	t.Fatalf("unknown event %q", row.Event)
	return ""
}

// describe lists the actions that concern clients and servers.
func describe(actions []Action) string {
	var out []string
	for _, a := range actions {
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

// TestConformance runs every row with 60 seeds. The outcomes must be all of the row's want, and no others.
func TestConformance(t *testing.T) {
	var table struct{ Row []conformanceRow }
	md, err := toml.DecodeFile("testdata/conformance.toml", &table)
	if err != nil || len(md.Undecoded()) > 0 || len(table.Row) < 50 {
		t.Fatalf("%v, unknown keys %v, %d rows", err, md.Undecoded(), len(table.Row))
	}
	for i, row := range table.Row {
		got := map[string]bool{}
		for seed := int64(1); seed <= 60; seed++ {
			got[row.run(t, seed)] = true
		}
		slices.Sort(row.Want)
		if seen := slices.Sorted(maps.Keys(got)); row.Clause == "" || !slices.Equal(seen, row.Want) {
			t.Errorf("row %d, %s: %q, want %q", i+1, row.Clause, seen, row.Want)
		}
	}
}
