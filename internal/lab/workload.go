package lab

import (
	_ "embed"
	"encoding/json"
	"math/rand/v2"
	"time"

	"meadowsill/internal/lab/load"
	"meadowsill/internal/lab/stub"
)

//go:embed settings.json
var settingsTemplate []byte

type class struct {
	name     string
	fragile  bool
	giveUp   time.Duration
	fraction float64
}

func (f *fleet) template() map[string]any { return Settings() }

// Settings returns the nodes' settings that runs start with, as a new copy that the caller may change.
func Settings() map[string]any {
	var m map[string]any
	if err := json.Unmarshal(settingsTemplate, &m); err != nil {
		panic(err) // settings.json is embedded, and a test decodes it
	}
	return m
}

func (f *fleet) setting(group, name string) float64 {
	v, _ := f.template()[group].(map[string]any)[name].(float64)
	return v
}

// slowStart returns the slow-start rule of the nodes' settings, with the scenario's time until a server is warm.
func (f *fleet) slowStart() stub.SlowStart {
	set := func(name string) float64 { return f.setting("invariants", name) }
	return stub.SlowStart{From: set("cold_from"), For: seconds(f.s.Servers.ColdS), Factor: set("overload_factor"),
		Span: time.Duration(set("tip_after_ns"))}
}

func (f *fleet) classes() []class {
	var out []class
	for _, c := range f.template()["classes"].([]any) {
		m := c.(map[string]any)
		out = append(out, class{name: m["name"].(string), fragile: m["effect"] == "fragile",
			giveUp: time.Duration(m["give_up_ns"].(float64))})
	}
	// The shares of the load in BRIEF: 57% schedule-view, 43% place-order.
	for i := range out {
		out[i].fraction = 1 / float64(len(out))
		if len(out) == 2 {
			out[i].fraction = map[bool]float64{false: 0.57, true: 0.43}[out[i].fragile]
		}
	}
	return out
}

func (f *fleet) loadSpec() load.Spec {
	crossWindow := 100 * time.Millisecond
	for _, e := range f.s.Events {
		crossWindow = max(crossWindow, 100*time.Millisecond+2*seconds((e.DelayMS+e.JitterMS)/1000))
	}
	spec := load.Spec{
		CrossWindow: crossWindow,
		Rate:        f.s.Load.Rate,
		For:         seconds(f.s.Load.ForS),
		MaxRequests: f.s.Load.MaxRequests,
		MaxInFlight: 8192,
		Seed:        f.s.Seed,
	}
	for _, c := range f.classes() {
		spec.Classes = append(spec.Classes, load.Class{Name: c.name, Share: c.fraction, Post: c.fragile, TimeLeft: c.giveUp})
	}
	if spec.Accounts = f.s.Load.Accounts; len(spec.Accounts) == 0 {
		spec.Accounts = f.accounts()
	}
	return spec
}

// accounts returns the tenants of the nodes' settings.
func (f *fleet) accounts() []string {
	var out []string
	for _, a := range f.template()["accounts"].([]any) {
		out = append(out, a.(map[string]any)["name"].(string))
	}
	return out
}

// Pick picks at random one of the nodes that the front has. It implements load.Front.
func (f *fleet) Pick(r *rand.Rand) (int, string, bool) {
	var up []*node
	for _, n := range f.nodes {
		if n.inFront.Load() {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return 0, "", false
	}
	n := up[r.IntN(len(up))]
	return n.index, n.frontAddr, true
}

func (f *fleet) nodeAt(addr string) *node {
	for _, n := range f.nodes {
		if n.frontAddr == addr {
			return n
		}
	}
	return nil
}

// RoutesNewConns, Refused and Faulted implement load.Front.
func (f *fleet) RoutesNewConns(addr string) bool {
	n := f.nodeAt(addr)
	return n != nil && n.getsNewConns.Load()
}

func (f *fleet) Refused(addr, local string) bool {
	n := f.nodeAt(addr)
	return n != nil && n.clients.Refused(local)
}

func (f *fleet) Faulted(addr string) bool {
	n, now := f.nodeAt(addr), f.recorder.Since()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.records.Excuses {
		if n != nil && e.Node == n.index && e.Rule != "after-grace" && (e.To < 0 || now <= e.To) {
			return true
		}
	}
	return false
}
