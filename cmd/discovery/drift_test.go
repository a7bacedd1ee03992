package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/drift"
)

type driftAnswer struct {
	Revision uint64
	States   map[string]int
	Suspect  bool
	Verdicts []drift.Verdict
	Log      []drift.LogEntry
}

func (f *testFleet) drift(query string) (a driftAnswer) {
	f.t.Helper()
	code, text := f.callAPI(http.MethodGet, "/fleet/v1/drift"+query, nil)
	if err := json.Unmarshal([]byte(text), &a); code != http.StatusOK || err != nil {
		f.t.Fatalf("drift%s: %d %s", query, code, text)
	}
	return a
}

// awaitMetric waits until /metrics at an address has a line.
func (f *testFleet) awaitMetric(what, addr, line string) {
	f.t.Helper()
	f.until(what+": "+line, func() bool {
		resp, err := fleetClient.Get("http://" + addr + "/metrics")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		return strings.Contains(string(text), "\n"+line+"\n")
	})
}

// TestDrift has one of ten nodes apply another rate of a tenant than the intended one. The leader must report the node, the item
// and the field, and have the node's agent send the item again; the verdict must keep its first-seen time when another leader
// takes over. Then one node stops reporting, and another has an exclusion set by its operators.
func TestDrift(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 10, "")
	f.awaitSessions()
	f.mustPut("brand", 0, 100)
	f.awaitSettled("brand", 1)
	f.until("all nodes in step", func() bool { return f.drift("").States[drift.InStep] == 10 })

	divergent := f.nodes[4]
	divergent.With(func() {
		divergent.Odd = func(items []fleet.AppliedItem) []fleet.AppliedItem {
			for i, h := range items {
				if h.Key != "tenant/brand" {
					continue
				}
				var b fleet.AppliedTenant
				json.Unmarshal(h.Body, &b)
				b.Committed.Rate = 999
				items[i], _, _ = drift.AppliedItemOf(h.Key, b)
			}
			return items
		}
	})
	f.until("the diverged node to be reported", func() bool {
		a := f.drift("?node=n04&state=" + drift.Diverged)
		return len(a.Verdicts) == 1 && slices.ContainsFunc(a.Verdicts[0].Differences, func(d drift.Difference) bool {
			return d.Key == "tenant/brand" && d.Field == "committed.rate" && d.Intended == "100" && d.Applied == "999"
		})
	})
	f.until("the item to be sent again", func() bool {
		return slices.ContainsFunc(f.drift("").Log, func(e drift.LogEntry) bool { return e.Node == "n04" && slices.Contains(e.Keys, "tenant/brand") })
	})
	f.awaitMetric("the leader's count", f.HTTP[f.leader()], `fleet_drift_differences_total{kind="tenant",state="diverged"} 1`)
	f.awaitMetric("the agent's own verdict", divergent.Agent, `fleet_agent_drift{state="diverged"} 1`)
	first := f.drift("?node=n04").Verdicts[0].FirstSeenMS
	lead := f.leader()
	f.Kill(lead)
	f.until("the same verdict by another leader", func() bool {
		a := f.drift("?node=n04&state=" + drift.Diverged)
		return len(a.Verdicts) == 1 && a.Verdicts[0].FirstSeenMS == first
	})
	divergent.With(func() { divergent.Odd = nil })
	f.until("all nodes in step again", func() bool { return f.drift("").States[drift.InStep] == 10 })
	f.awaitMetric("the verdict's end", f.HTTP[f.leader()], `fleet_drift_seconds_count{state="diverged"} 1`)
	f.awaitMetric("the agent's own verdict again", divergent.Agent, `fleet_agent_drift{state="in-step"} 1`)

	f.nodes[5].With(func() { f.nodes[5].Silent = true })
	f.nodes[6].With(func() {
		f.nodes[6].Odd = func(items []fleet.AppliedItem) []fleet.AppliedItem {
			ban, _, _ := drift.AppliedItemOf("ban/s-1", fleet.AppliedExclusion{Excluded: true})
			ban.ChangedBy, ban.SinceMS = "ops", 1000
			return append(items, ban)
		}
	})
	f.until("one node silent and one overridden", func() bool {
		a := f.drift("")
		over := slices.ContainsFunc(a.Verdicts, func(v drift.Verdict) bool {
			return v.Node == "n06" && v.State == drift.Overridden && len(v.Overrides) == 1 && v.Overrides[0].ChangedBy == "ops"
		})
		return over && a.States[drift.Silent] == 1 && a.States[drift.InStep] == 8
	})
	before := f.drift("").Revision
	f.nodes[5].With(func() { f.nodes[5].Silent = false })
	f.until("a watch to report n05 in step", func() bool {
		a := f.drift("?timeout_ms=5000&since=" + strconv.FormatUint(before, 10))
		return slices.ContainsFunc(a.Verdicts, func(v drift.Verdict) bool { return v.Node == "n05" && v.State == drift.InStep })
	})
}
