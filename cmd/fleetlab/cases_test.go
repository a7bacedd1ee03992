package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// fleetRun is what the cases are judged by, in addition to the rules that the checker holds.
type fleetRun struct {
	ColdFalls int `json:"cold_falls"`
	Onboarded []struct {
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

// play runs a bundled scenario of a whole fleet: no rule may break, no app server fall, and nearly all that is not over a
// quota be served.
func play(t *testing.T, scenario string, served float64) (r fleetRun) {
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
	if len(complete.Breaches) != 0 || r.ColdFalls != 0 || len(complete.NeverUp) != 0 {
		t.Errorf("breaches %v, cold falls %d, never up %v (see %s)", complete.Breaches, r.ColdFalls, complete.NeverUp, dir)
	}
	if complete.Whole.Sent < 2000 || float64(complete.Whole.Served) < served*float64(complete.Whole.Sent) {
		t.Errorf("whole run: %+v", complete.Whole)
	}
	return r
}

// Zone b is cut off from the nodes of zone a alone: these leave it by one directive of their own, and nobody leaves anything else.
func TestZoneCutOffFromOneOther(t *testing.T) {
	r := play(t, "case-cut-off", 0.95)
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

// A quota is halved under a load over it, and a rollout runs while three of ten agents are cut off from the replicas: the checker holds
// the sum of what is admitted; the smaller quota reaches every node, and the rollout goes on without those cut off.
func TestQuotaHalvedAndRolloutInPartition(t *testing.T) {
	r := play(t, "case-tenants", 0.5)
	if len(r.Onboarded) != 3 {
		t.Fatalf("generations %+v", r.Onboarded)
	}
	for i, o := range r.Onboarded {
		if o.Generation != uint64(i+1) || i < 2 && o.Nodes != 10 || o.Nodes < 7 || o.AllMS <= 0 {
			t.Errorf("generation %d: %+v", i+1, o)
		}
	}
}

// A node paused for 10 s is shown silent, and in step once it is back; another's file of its own is named. No other node is seen to drift
// (the checker's D rules).
func TestPausedNodeAndAnotherFile(t *testing.T) {
	r := play(t, "case-drift", 0.85)
	silent, last := false, ""
	for _, v := range r.fleet.Verdicts {
		if v.Node == 2 {
			silent = silent || v.State == "silent" && v.At > 5*time.Second && v.At < 15*time.Second
			last = v.State
		}
	}
	if !silent || last != "in-step" {
		t.Errorf("the paused node: silent %v, then %s", silent, last)
	}
	if len(r.Drifts) != 1 || r.Drifts[0].Node != "n5" || r.Drifts[0].State != "overridden" {
		t.Errorf("the planted drift: %+v", r.Drifts)
	}
}
