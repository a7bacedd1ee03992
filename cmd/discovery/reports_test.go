package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"

	"meadowsill/internal/lab/simulated"
)

// agentCount reads one of the agent's counters.
func agentCount(n *simulated.Node, name string) float64 {
	v, _ := strconv.ParseFloat(n.Metric(name), 64)
	return v
}

func sentBy(n *simulated.Node, kind string) float64 {
	return agentCount(n, `fleet_agent_reports_sent_total{kind="`+kind+`"}`)
}

func bytesBy(n *simulated.Node, kind string) float64 {
	return agentCount(n, `fleet_agent_report_bytes_total{kind="`+kind+`"}`)
}

// replicaCount sums a counter over the replicas that answer.
func (f *fleetUp) replicaCount(name string) (sum float64) {
	for _, addr := range f.HTTP {
		resp, err := fleetClient.Get("http://" + addr + "/metrics")
		if err != nil {
			continue
		}
		raw, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		for line := range strings.Lines(string(raw)) {
			if v, ok := strings.CutPrefix(strings.TrimSpace(line), name+" "); ok {
				n, _ := strconv.ParseFloat(v, 64)
				sum += n
			}
		}
	}
	return sum
}

// leaderships counts how often a replica began to lead, by their logs.
func (f *fleetUp) leaderships() (n int) {
	for _, dir := range f.Dirs {
		raw, _ := os.ReadFile(dir + ".log")
		n += strings.Count(string(raw), "leadership begins")
	}
	return n
}

// Three nodes hold 300 tenants: their reports go to the leader as differences, whose size does not follow the tenants. The leader is
// killed: its successor wishes for whole reports, and differences go on from them; what the leader knows by them carries a
// rollout on, and the verdict on every node is that it is in step.
func TestReportsByDifference(t *testing.T) {
	t.Parallel()
	const tenants = 300
	f := startFleet(t, 3, "")
	f.present()
	for i := range tenants {
		f.putFor("", fmt.Sprintf("tenant-%03d", i), 0)
	}
	for _, n := range f.nodes {
		f.until("all tenants at "+n.Name, func() bool {
			for i := range tenants {
				if n.Serves(fmt.Sprintf("tenant-%03d", i)) != 1 {
					return false
				}
			}
			return true
		})
	}
	f.settled(fmt.Sprintf("tenant-%03d", tenants-1), 1)
	differencesGoOn := func(what string) {
		t.Helper()
		for _, n := range f.nodes {
			before := sentBy(n, "difference")
			f.until(what+": 20 differences of "+n.Name, func() bool { return sentBy(n, "difference") >= before+20 })
		}
	}
	differencesGoOn("all tenants settled")
	for _, n := range f.nodes {
		sent, size := sentBy(n, "difference"), bytesBy(n, "difference")
		complete, completeSize := sentBy(n, "whole"), bytesBy(n, "whole")
		f.until("20 more of "+n.Name, func() bool { return sentBy(n, "difference") >= sent+20 })
		mean := (bytesBy(n, "difference") - size) / (sentBy(n, "difference") - sent)
		t.Logf("%s: %.0f bytes a difference at %d tenants; whole before: %.0f of %.0f bytes on average; whole since: %.0f",
			n.Name, mean, tenants, complete, completeSize/max(complete, 1), sentBy(n, "whole")-complete)
		if mean > 2000 { // a complete one is some 35 KB
			t.Errorf("%s: %.0f bytes a difference", n.Name, mean)
		}
	}

	before, wholes := f.leaderships(), map[string]float64{}
	for _, n := range f.nodes {
		wholes[n.Name] = sentBy(n, "whole")
	}
	f.Kill(f.leader())
	f.until("a leader that judges", func() bool { code, _ := f.api(http.MethodGet, "/fleet/v1/zones", nil); return code == http.StatusOK })
	differencesGoOn("another leader")
	for _, n := range f.nodes {
		if sentBy(n, "whole") == wholes[n.Name] {
			t.Errorf("%s: no whole report came to the new leader", n.Name)
		}
	}
	f.present()
	f.putFor("", "tenant-007", 1)
	f.settled("tenant-007", 2)
	f.until("every node in step", func() bool {
		code, text := f.api(http.MethodGet, "/fleet/v1/drift", nil)
		return code == http.StatusOK && strings.Contains(text, `"states":{"in-step":3}`)
	})
	t.Logf("leaderships begun: %d before the kill, %d in all", before, f.leaderships())
	received, rejected := f.replicaCount(`fleet_reports_received_total{kind="difference"}`), f.replicaCount(`fleet_report_differences_refused_total{reason="digest"}`)
	t.Logf("at the replicas left: %.0f differences taken, %.0f refused for their digest, %.0f for want of a base", received, rejected,
		f.replicaCount(`fleet_report_differences_refused_total{reason="base"}`))
	if received == 0 || rejected != 0 {
		t.Errorf("%.0f differences taken, %.0f refused for their digest", received, rejected)
	}
}
