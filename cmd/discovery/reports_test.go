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

// agentCounter returns the value of one of the agent's counters.
func agentCounter(n *simulated.Node, name string) float64 {
	v, _ := strconv.ParseFloat(n.Metric(name), 64)
	return v
}

func reportsSent(n *simulated.Node, kind string) float64 {
	return agentCounter(n, `fleet_agent_reports_sent_total{kind="`+kind+`"}`)
}

func reportBytes(n *simulated.Node, kind string) float64 {
	return agentCounter(n, `fleet_agent_report_bytes_total{kind="`+kind+`"}`)
}

// replicaCounter returns the sum of a counter over the replicas that answer.
func (f *testFleet) replicaCounter(name string) (sum float64) {
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

// countLeaderships returns how often a replica became the leader, from the replicas' logs.
func (f *testFleet) countLeaderships() (n int) {
	for _, dir := range f.Dirs {
		raw, _ := os.ReadFile(dir + ".log")
		n += strings.Count(string(raw), "leadership begins")
	}
	return n
}

// TestReportsByDifference runs three nodes with 300 tenants. Their reports must go to the leader as differences whose size does not
// grow with the number of tenants. When the leader is killed, the next leader must ask for complete reports, and differences must
// continue from these. From the differences the leader must complete a rollout and find every node in step.
func TestReportsByDifference(t *testing.T) {
	t.Parallel()
	const tenants = 300
	f := startFleet(t, 3, "")
	f.awaitSessions()
	for i := range tenants {
		f.mustPutInService("", fmt.Sprintf("tenant-%03d", i), 0)
	}
	for _, n := range f.nodes {
		f.until("all tenants on "+n.Name, func() bool {
			for i := range tenants {
				if n.Serves(fmt.Sprintf("tenant-%03d", i)) != 1 {
					return false
				}
			}
			return true
		})
	}
	f.awaitSettled(fmt.Sprintf("tenant-%03d", tenants-1), 1)
	awaitDifferences := func(what string) {
		t.Helper()
		for _, n := range f.nodes {
			before := reportsSent(n, "difference")
			f.until(what+": 20 differences of "+n.Name, func() bool { return reportsSent(n, "difference") >= before+20 })
		}
	}
	awaitDifferences("all tenants settled")
	for _, n := range f.nodes {
		sent, size := reportsSent(n, "difference"), reportBytes(n, "difference")
		complete, completeSize := reportsSent(n, "whole"), reportBytes(n, "whole")
		f.until("20 more differences of "+n.Name, func() bool { return reportsSent(n, "difference") >= sent+20 })
		mean := (reportBytes(n, "difference") - size) / (reportsSent(n, "difference") - sent)
		t.Logf("%s: %.0f bytes per difference with %d tenants; complete reports before: %.0f of %.0f bytes on average; complete reports since: %.0f",
			n.Name, mean, tenants, complete, completeSize/max(complete, 1), reportsSent(n, "whole")-complete)
		if mean > 2000 { // a complete report has about 35 KB
			t.Errorf("%s: %.0f bytes per difference, want at most 2000", n.Name, mean)
		}
	}

	before, completeBefore := f.countLeaderships(), map[string]float64{}
	for _, n := range f.nodes {
		completeBefore[n.Name] = reportsSent(n, "whole")
	}
	f.Kill(f.leader())
	f.until("a leader with a controller", func() bool {
		code, _ := f.callAPI(http.MethodGet, "/fleet/v1/zones", nil)
		return code == http.StatusOK
	})
	awaitDifferences("another leader")
	for _, n := range f.nodes {
		if reportsSent(n, "whole") == completeBefore[n.Name] {
			t.Errorf("%s sent no complete report to the new leader", n.Name)
		}
	}
	f.awaitSessions()
	f.mustPutInService("", "tenant-007", 1)
	f.awaitSettled("tenant-007", 2)
	f.until("every node in step", func() bool {
		code, text := f.callAPI(http.MethodGet, "/fleet/v1/drift", nil)
		return code == http.StatusOK && strings.Contains(text, `"states":{"in-step":3}`)
	})
	t.Logf("leaderships begun: %d before the kill, %d in all", before, f.countLeaderships())
	received, rejected := f.replicaCounter(`fleet_reports_received_total{kind="difference"}`), f.replicaCounter(`fleet_report_differences_refused_total{reason="digest"}`)
	t.Logf("at the remaining replicas: %.0f differences received, %.0f rejected for their digest, %.0f for an unknown base", received, rejected,
		f.replicaCounter(`fleet_report_differences_refused_total{reason="base"}`))
	if received == 0 || rejected != 0 {
		t.Errorf("%.0f differences received, want some; %.0f rejected for their digest, want none", received, rejected)
	}
}
