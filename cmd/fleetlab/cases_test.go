package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// fleetRun has the results of a run that the tests of the cases check, in addition to the rules that the checker checks.
type fleetRun struct {
	WarmingOverloads int `json:"cold_falls"`
	Onboarded        []struct {
		Generation uint64
		Nodes      int
		AllMS      float64 `json:"all_ms"`
	}
	Drifts []struct {
		Node, State string
		MS          float64
	}
	fleet struct {
		Told []struct {
			Key, Phase string
			At         time.Duration
		}
		Verdicts []struct {
			Node  int
			State string
			At    time.Duration
		}
	}
}

// runCase runs a bundled scenario with a whole fleet. It requires that no rule is broken, that no warming app server is overloaded,
// that every node comes up, and that at least the share minServed of the requests is served: nearly all that are not over a quota.
func runCase(t *testing.T, scenario string, minServed float64) (r fleetRun) {
	t.Helper()
	lab, node := build(t)
	complete, dir := run(t, lab, node, scenario)
	raw, err := os.ReadFile(filepath.Join(dir, "report.json"))
	if err == nil {
		err = json.Unmarshal(raw, &r)
	}
	if err != nil {
		t.Fatal(err)
	}
	var records struct {
		Fleet *json.RawMessage `json:"fleet"`
	}
	if raw, err = os.ReadFile(filepath.Join(dir, "records.json")); err == nil {
		err = json.Unmarshal(raw, &records)
	}
	if err != nil || records.Fleet == nil || json.Unmarshal(*records.Fleet, &r.fleet) != nil {
		t.Fatalf("records: %v", err)
	}
	if len(complete.Breaches) != 0 || r.WarmingOverloads != 0 || len(complete.NeverUp) != 0 {
		t.Errorf("breaches %v, overloads of warming servers %d, never up %v (see %s)", complete.Breaches, r.WarmingOverloads, complete.NeverUp, dir)
	}
	if complete.Whole.Sent < 2000 || float64(complete.Whole.Served) < minServed*float64(complete.Whole.Sent) {
		t.Errorf("whole run: %+v", complete.Whole)
	}
	return r
}

// Zone b is cut off from the nodes of zone a only. These nodes leave zone b by a directive for zone a, and no other zone is left.
func TestZoneCutOffFromOneZone(t *testing.T) {
	r := runCase(t, "case-cut-off", 0.95)
	left := 0
	for _, d := range r.fleet.Told {
		if d.Phase == "left" && d.Key != "zone/b@a" {
			t.Errorf("%s left at %v", d.Key, d.At)
		} else if d.Phase == "left" && d.At < 13*time.Second {
			left++
		}
	}
	if left == 0 {
		t.Errorf("zone b was not left by the nodes of zone a: %+v", r.fleet.Told)
	}
}

// A quota is halved while the load is above it, and a later rollout runs while three of ten agents are cut off from the replicas. The
// checker checks the sum of the admitted requests. The smaller quota reaches every node, and the rollout goes on without the nodes
// that are cut off.
func TestQuotaHalvedAndRolloutInPartition(t *testing.T) {
	r := runCase(t, "case-tenants", 0.5)
	if len(r.Onboarded) != 3 {
		t.Fatalf("generations %+v", r.Onboarded)
	}
	for i, o := range r.Onboarded {
		if o.Generation != uint64(i+1) || i < 2 && o.Nodes != 10 || o.Nodes < 7 || o.AllMS <= 0 {
			t.Errorf("generation %d: %+v", i+1, o)
		}
	}
}

// A node that is paused for 10 s is reported as silent, and as in step once it runs again. Another node, which has a file of its own,
// is reported as overridden. The checker's D rules ensure that no other node is reported to drift.
func TestPausedNodeAndNodeWithOwnFile(t *testing.T) {
	r := runCase(t, "case-drift", 0.85)
	silent, last := false, ""
	for _, v := range r.fleet.Verdicts {
		if v.Node == 2 {
			silent = silent || v.State == "silent" && v.At > 5*time.Second && v.At < 15*time.Second
			last = v.State
		}
	}
	if !silent || last != "in-step" {
		t.Errorf("the paused node: silent %v, last state %s, want silent and then in step", silent, last)
	}
	if len(r.Drifts) != 1 || r.Drifts[0].Node != "n5" || r.Drifts[0].State != "overridden" {
		t.Errorf("the planted drift: %+v, want n5 overridden", r.Drifts)
	}
}
