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
type clauseRow struct {
	Clause, Do, Class, Code string
	Servers                 []clauseServer
	Tried                   []clauseAttempt
	Q, Q1, Q2, N1, N2       float64
	InFlight                float64
	AfterMS, PatienceMS     int
	Budget                  *float64
	MayOverlap              bool
	Want                    []string
}

type clauseServer struct {
	Mode, Told, State, Zone string
	N                       string
	LatencyMS               float64
	Cell                    int
	Out, Suspect, Cold, Due bool
}

type clauseAttempt struct {
	Server int
	Code   string
}

var (
	modeNames  = []string{"normal", "overloaded", "blocking"}
	stateNames = []string{"", "draining", "gone"}
	codeNames  = []string{"ok", "error", "full", "timeout", "connect", "reset", "cancelled", "moot"}
)

func clauseSettings(overlap bool) Settings {
	s := Settings{Nodes: 1, Zone: "a", Zones: []string{"a", "b"}, MaxAttempts: 3, MayHedge: overlap, MinTick: 5 * time.Millisecond,
		SlowStartMinCapacity: 0.4, SlowStartWindow: 8 * time.Second, OverloadFactor: 4, OverloadDuration: time.Second}
	for name, effect := range map[string]Idempotency{"safe": Idempotent, "once": NonIdempotent, "cell": IdempotentByKey, "zone": IdempotentByKey, "all": IdempotentByKey} {
		s.Classes = append(s.Classes, Class{Name: name, PriorityWeight: 8, LatencyObjective: time.Second, Deadline: 2 * time.Second, Idempotency: effect,
			KeyScope: map[string]KeyScope{"zone": KeyScopeZone, "all": KeyScopeAll}[name], DedupWindow: 500 * time.Millisecond, LateWeight: 0.25})
	}
	s.Classes = append(s.Classes, Class{Name: "cheap", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: 2 * time.Second, Idempotency: Idempotent})
	return s
}

// threshold reads a count such as "H-1" or "2" at a server with L, H and R.
func threshold(t *testing.T, text string, h float64) float64 {
	v, sign, base := 0.0, 1.0, map[string]float64{"L": lowPart * h, "H": h, "R": highPart*h + 1}
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

// play puts a module in the row's state, plays its event and tells what comes of it.
func (c clauseRow) play(t *testing.T, seed int64) string {
	m, now := New(clauseSettings(c.MayOverlap), seed), time.Hour
	list := EndpointUpdate{Kind: EndpointsComplete}
	for i, s := range c.Servers {
		list.Servers = append(list.Servers, Server{ID: ServerID(i + 1), Zone: s.Zone, Cell: s.Cell})
	}
	m.arrivals, m.arrivedAt = 1e4, now // a busy node: its own counts tell
	m.Handle(now, list)
	m.mean, m.budget, m.worth = 0.05, 1, m.top
	var h float64
	for i, s := range c.Servers {
		k := m.serverOf(ServerID(i + 1))
		_, h = m.crowd(k)
		k.n, k.mode = threshold(t, s.N, h), Mode(max(0, slices.Index(modeNames, s.Mode)))
		if s.Told != "" {
			m.impose(k, Mode(slices.Index(modeNames, s.Told)))
		}
		if s.LatencyMS > 0 {
			k.excess, k.latencyAt = s.LatencyMS/1000-m.mean, now
		}
		if s.Suspect {
			m.accuse(k, "row")
			k.trialAt = now + time.Hour
			if s.Due {
				k.trialAt = now
			}
		}
		if k.cold = s.Cold; s.Cold {
			k.coldSince, k.tokensAt = now, now
		}
	}
	if h < 1 || lowPart*h >= h || h >= highPart*h+1 {
		t.Fatalf("L, H and R are %v, %v, %v", lowPart*h, h, highPart*h+1)
	}
	if c.Budget != nil {
		m.budget = *c.Budget
	}
	patience := 2 * time.Second
	if c.PatienceMS > 0 {
		patience = time.Duration(c.PatienceMS) * time.Millisecond
	}
	r := &request{id: "r", class: m.classOf(c.Class), rules: m.set, arrived: now, deadline: now + patience, priority: c.Class != "cheap"}
	for _, a := range c.Tried {
		code := slices.Index(codeNames, a.Code)
		r.attempts = append(r.attempts, attempt{server: m.serverOf(ServerID(a.Server)), sent: now, ended: a.Code != "out",
			mayRun: code < 0 || code != int(Rejected) && code != int(ConnectFailed) && code != int(NotSent)})
		if a.Code == "out" {
			r.out++
			r.attempts[len(r.attempts)-1].server.n++
		}
	}
	if len(c.Tried) > 0 {
		m.requests["r"], m.open = r, append(m.open, r)
	}
	for i, s := range c.Servers { // what the list and the operators say last
		m.Handle(now, EndpointUpdate{Kind: EndpointsChanged, Servers: []Server{{ID: ServerID(i + 1), Zone: s.Zone, Cell: s.Cell,
			State: ServerState(max(0, slices.Index(stateNames, s.State)))}}})
		if s.Out {
			m.Handle(now, ServerExcluded{Server: ServerID(i + 1)})
		}
	}
	m.q1, m.q2, m.n1, m.n2 = c.Q1, c.Q2, c.N1, c.N2
	later := now + time.Duration(c.AfterMS)*time.Millisecond
	last := len(c.Tried) - 1
	end := AttemptEnded{ID: "r", Attempt: last, Code: OutcomeCode(max(0, slices.Index(codeNames, c.Code)))}
	switch c.Do {
	case "arrive":
		return acts(m.Handle(later, RequestArrived{ID: "r", Class: c.Class, Timeout: patience}))
	case "ended":
		return acts(m.Handle(later, end))
	case "twice":
		m.Handle(now, end)
		return acts(m.Handle(later, end))
	case "stream":
		m.Handle(now, StreamStarted{ID: "r", Attempt: last})
		return acts(m.Handle(later, end))
	case "body":
		m.Handle(now, BodyStarted{ID: "r", Attempt: last})
		return acts(m.Handle(later, end))
	case "gone":
		m.Handle(now, RequestAbandoned{ID: "r"})
		return acts(m.Handle(later, end))
	case "tick":
		return acts(m.Handle(later, TimerFired{}))
	case "period":
		m.periodAt = later - recompute
		m.Handle(later, TimerFired{})
		return fmt.Sprintf("q1 %.2f q2 %.2f", m.q1, m.q2)
	case "split":
		q1, q2 := ShedSplit(c.Q, c.N1, c.N2)
		return fmt.Sprintf("q1 %.2f q2 %.2f", q1, q2)
	case "report", "look":
		if c.Do == "report" {
			m.reported(m.serverOf(1), &LoadReport{InFlight: c.InFlight, HasInFlight: true})
		} else if c.Code != "" {
			m.Handle(now, end)
		}
		m.now = later
		var modes []string
		for _, s := range m.near {
			modes = append(modes, fmt.Sprint(s.ID, " ", modeNames[m.modeOf(s)]))
		}
		slices.Sort(modes)
		return strings.Join(modes, ", ")
	}
	t.Fatalf("%q is no event", c.Do)
	return ""
}

// acts tells the actions that concern clients and servers.
func acts(all []Action) string {
	var out []string
	for _, a := range all {
		switch a := a.(type) {
		case Forward:
			out = append(out, fmt.Sprint("send ", a.Server))
		case Reject:
			out = append(out, "refuse")
		case Fail:
			out = append(out, "fail")
		}
	}
	if len(out) == 0 {
		return "nothing"
	}
	return strings.Join(out, ", ")
}

// TestConformance plays every row with many seeds: what comes of it is all of want, and nothing else.
func TestConformance(t *testing.T) {
	var table struct{ Row []clauseRow }
	md, err := toml.DecodeFile("testdata/conformance.toml", &table)
	if err != nil || len(md.Undecoded()) > 0 || len(table.Row) < 50 {
		t.Fatalf("%v, unknown keys %v, %d rows", err, md.Undecoded(), len(table.Row))
	}
	for i, c := range table.Row {
		got := map[string]bool{}
		for seed := int64(1); seed <= 60; seed++ {
			got[c.play(t, seed)] = true
		}
		slices.Sort(c.Want)
		if seen := slices.Sorted(maps.Keys(got)); c.Clause == "" || !slices.Equal(seen, c.Want) {
			t.Errorf("row %d, %s: %q, want %q", i+1, c.Clause, seen, c.Want)
		}
	}
}
