package main

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"meadowsill/internal/lab/bounds"
)

// build builds the programs that the tests run as processes, in the way that the README does. It returns the paths of the lab and
// the node.
func build(t *testing.T) (lab, node string) {
	t.Helper()
	dir := t.TempDir()
	cmd := exec.Command("go", "build", "-o", dir+"/", "meadowsill/cmd/fleetlab", "meadowsill/cmd/balancer", "meadowsill/cmd/discovery", "meadowsill/cmd/membership")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return filepath.Join(dir, "fleetlab"), filepath.Join(dir, "balancer")
}

type labReport struct {
	Phases []struct {
		Sent, Served int
	} `json:"phases"`
	Whole struct {
		Sent, Served int
		P99MS        float64 `json:"p99_ms"`
	} `json:"whole"`
	PerNode   map[string]int   `json:"per_node"`
	PerServer map[string]int64 `json:"per_server"`
	Breaches  []struct {
		Rule, ID string
		At       time.Duration
	}
	NeverUp          []string `json:"never_up"`
	WarmingOverloads int      `json:"cold_falls"`
	Zones            []struct {
		LeftMS   float64 `json:"left_ms"`
		ServedMS float64 `json:"served_ms"`
	} `json:"zones"`
	Onboarded []struct {
		Nodes int     `json:"nodes"`
		AllMS float64 `json:"all_ms"`
	} `json:"onboarded"`
	Drifts []struct {
		MS float64 `json:"ms"`
	} `json:"drifts"`
	Deaths struct {
		Silenced, Pairs, Missed, False int
	} `json:"deaths"`
	CPU struct {
		AgentsS   float64 `json:"agents_s"`
		ReplicasS float64 `json:"replicas_s"`
	} `json:"cpu"`
	Plots []string `json:"plots"`
}

func run(t *testing.T, lab, node, scenario string) (labReport, string) {
	t.Helper()
	out := t.TempDir()
	cmd := exec.Command(lab, "run", scenario, "--out", out, "--node-binary", node, "--discovery-binary", filepath.Join(filepath.Dir(node), "discovery"),
		"--membership-binary", filepath.Join(filepath.Dir(node), "membership"))
	var stdout bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stdout
	loadBefore := bounds.MachineLoad()
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("%s: the machine's load was %.0f before and %.0f after; the lab printed:\n%s", scenario, loadBefore, bounds.MachineLoad(), stdout.String())
		}
	})
	killTimer := time.AfterFunc(3*time.Minute, func() { cmd.Process.Kill() })
	defer killTimer.Stop()
	if err := cmd.Run(); err != nil {
		t.Fatalf("%s: %v\n%s", scenario, err, stdout.String())
	}
	dirs, _ := filepath.Glob(filepath.Join(out, "*"))
	if len(dirs) != 1 {
		t.Fatalf("run directories: %v, want one", dirs)
	}
	raw, err := os.ReadFile(filepath.Join(dirs[0], "report.json"))
	if err != nil {
		t.Fatal(err)
	}
	var r labReport
	if err := json.Unmarshal(raw, &r); err != nil {
		t.Fatal(err)
	}
	for _, p := range r.Plots {
		if st, err := os.Stat(filepath.Join(dirs[0], p)); err != nil || st.Size() == 0 {
			t.Errorf("plot %s: %v", p, err)
		}
	}
	return r, dirs[0]
}

// The scenario that CI runs has four nodes, a kill, a drain and a partition. No rule is broken, and the report has every section.
func TestSmallScenarioBreaksNoRule(t *testing.T) {
	lab, node := build(t)
	r, dir := run(t, lab, node, "small")
	if len(r.Breaches) != 0 {
		t.Errorf("breaches: %v (see %s)", r.Breaches, dir)
	}
	if len(r.Phases) != 6 || len(r.PerNode) != 4 || len(r.PerServer) != 6 || len(r.Plots) != 3 || len(r.NeverUp) != 0 {
		t.Errorf("the report lacks a section or has a wrong number of entries: %+v", r)
	}
	if r.Whole.Sent < 1000 || float64(r.Whole.Served) < 0.8*float64(r.Whole.Sent) || r.Whole.P99MS <= 0 {
		t.Errorf("whole run: %+v", r.Whole)
	}
	logs, _ := filepath.Glob(filepath.Join(dir, "nodes", "*", "node.log"))
	if len(logs) != 4 {
		t.Errorf("node logs: %v", logs)
	}
}

// The same fleet on replicas of discovery, with an agent per node. A drain and a removal reach the nodes that discovery can reach in
// time; two nodes that are cut off from it are updated when the partition heals.
func TestDiscoveryScenarioBreaksNoRule(t *testing.T) {
	lab, node := build(t)
	r, dir := run(t, lab, node, "discovery-small")
	if len(r.Breaches) != 0 {
		t.Errorf("breaches: %v (see %s)", r.Breaches, dir)
	}
	if float64(r.Whole.Served) < 0.8*float64(r.Whole.Sent) || len(r.NeverUp) != 0 {
		t.Errorf("whole run: %+v, never up %v", r.Whole, r.NeverUp)
	}
	agents, _ := filepath.Glob(filepath.Join(dir, "nodes", "*", "agent.log"))
	if len(agents) != 4 {
		t.Errorf("agent logs: %v", agents)
	}
}

// Faults are injected on every kind of link of discovery: Raft and agent links lose messages, the leader and an agent are killed and
// restarted, and two agents are cut off from the replicas. No rule is broken, and the CPU time of agents and replicas is counted.
func TestDiscoveryLinksAndProcessesAreFaulted(t *testing.T) {
	lab, node := build(t)
	r, dir := run(t, lab, node, "discovery-links")
	if len(r.Breaches) != 0 {
		t.Errorf("breaches: %v (see %s)", r.Breaches, dir)
	}
	if float64(r.Whole.Served) < 0.9*float64(r.Whole.Sent) || r.CPU.AgentsS <= 0 || r.CPU.ReplicasS <= 0 {
		t.Errorf("whole run: %+v, cpu %+v", r.Whole, r.CPU)
	}
	raw, _ := os.ReadFile(filepath.Join(dir, "records.json"))
	for _, want := range []string{`"detail":"agent:n1"`, `"detail":"6 links between replicas`, `"detail":"6 links between agents`} {
		if !strings.Contains(string(raw), want) {
			t.Errorf("the timeline lacks %s", want)
		}
	}
}

// Members gossip through relays that carry UDP and TCP. During a partition, two of six members and the other four consider each other
// dead; after the heal, with 5 % loss and jitter, they consider each other alive again. A member that is killed is seen dead by all
// others. Apart from that, no member is ever considered dead.
func TestMembersGossipThroughRelays(t *testing.T) {
	lab, node := build(t)
	path := filepath.Join(t.TempDir(), "gossip.toml")
	os.WriteFile(path, []byte("duration_s = 85\n[fleet]\nnodes = 6\nservers = 2\ngossip = true\n[load]\nrate = 5\n"+
		"[[events]]\nat_s = 4\ndo = \"partition\"\nbetween = [\"agents:0-3\", \"agents:4-5\"]\n[[events]]\nat_s = 24\ndo = \"heal\"\n"+
		"[[events]]\nat_s = 25\ndo = \"link\"\nbetween = [\"agents:all\", \"agents:all\"]\nloss = 0.05\njitter_ms = 30\n"+
		"[[events]]\nat_s = 40\ndo = \"kill\"\nagents = \"0\"\n"), 0o644)
	r, dir := run(t, lab, node, path)
	if len(r.Breaches) != 0 || r.Deaths.Silenced != 1 || r.Deaths.Pairs != 5 || r.Deaths.Missed != 0 {
		t.Errorf("breaches %v, deaths %+v (see %s)", r.Breaches, r.Deaths, dir)
	}
	raw, _ := os.ReadFile(filepath.Join(dir, "records.json"))
	var recs struct {
		Sightings []struct {
			By, Of int
			State  string
			At     time.Duration
		} `json:"sightings"`
	}
	if err := json.Unmarshal(raw, &recs); err != nil {
		t.Fatal(err)
	}
	across, within, last := 0, 0, map[[2]int]string{}
	for _, s := range recs.Sightings {
		if s.State == "dead" && s.At < 40*time.Second {
			if (s.By >= 4) != (s.Of >= 4) {
				across++
			} else {
				within++
			}
		}
		last[[2]int{s.By, s.Of}] = s.State
	}
	if across == 0 || within > 0 || last[[2]int{1, 5}] != "alive" || last[[2]int{4, 1}] != "alive" {
		t.Errorf("sightings of dead members across the partition %d, within a side %d; last states %v", across, within, last)
	}
}

// The checker reports a relay that sends a request to a server twice, with the id of the request.
func TestCheckerCatchesADuplicatedAttempt(t *testing.T) {
	lab, node := build(t)
	r, _ := run(t, lab, node, "duplicate")
	if len(r.Breaches) == 0 {
		t.Fatal("no breach found where a relay duplicates attempts")
	}
	for _, b := range r.Breaches {
		if (b.Rule != "overlap" && b.Rule != "twice") || b.ID == "" {
			t.Errorf("breach %+v", b)
		}
	}
}

// A node that ends at SIGTERM with open requests loses them, and each of them is a breach. If the same node is killed, the lost requests
// are the cost of the fault and no breaches. A planned restart of real nodes loses no request.
func TestRequestsLostInADrainAreBreaches(t *testing.T) {
	lab, node := build(t)
	dir := t.TempDir()
	abruptNode := filepath.Join(dir, "rudenode")
	if out, err := exec.Command("go", "build", "-o", abruptNode, "./testdata/rudenode").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for _, c := range []struct {
		name, node, do string
		breaches       bool
	}{{"rude", abruptNode, "term", true}, {"killed", abruptNode, "kill", false}, {"polite", node, "term", false}} {
		path := filepath.Join(dir, c.name+".toml")
		os.WriteFile(path, []byte("duration_s = 9\n[fleet]\nnodes = 3\nservers = 3\n[load]\nrate = 120\n"+
			"[[events]]\nat_s = 3\ndo = \""+c.do+"\"\nnodes = \"0-1\"\n[[events]]\nat_s = 5\ndo = \"restart\"\nnodes = \"0-1\"\n"), 0o644)
		r, runDir := run(t, lab, c.node, path)
		if (len(r.Breaches) > 0) != c.breaches || r.Whole.Sent < 400 || len(r.NeverUp) > 0 {
			t.Errorf("%s: %d breaches, whole %+v, never up %v (see %s)", c.name, len(r.Breaches), r.Whole, r.NeverUp, runDir)
		}
		for _, b := range r.Breaches {
			if b.Rule != "answer" {
				t.Errorf("%s: %+v", c.name, b)
			}
		}
	}
}

func TestUnknownScenarioKeyIsAOneLineError(t *testing.T) {
	lab, _ := build(t)
	path := filepath.Join(t.TempDir(), "bad.toml")
	os.WriteFile(path, []byte("duration_s = 5\n[fleet]\nnodez = 3\n"), 0o644)
	out, err := exec.Command(lab, "run", path, "--out", t.TempDir()).CombinedOutput()
	if err == nil || !strings.Contains(string(out), `unknown key "fleet.nodez"`) || strings.Count(string(out), "\n") > 2 {
		t.Errorf("%v: %q", err, out)
	}
}

// Ctrl-C in the middle of a run makes the lab end every node by its process id, so that none is left running.
func TestInterruptLeavesNoProcess(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("reads /proc")
	}
	lab, node := build(t)
	out := t.TempDir()
	cmd := exec.Command(lab, "run", "small", "--out", out, "--node-binary", node)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	var pids []int
	for end := time.Now().Add(time.Minute); len(pids) < 4 && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		files, _ := filepath.Glob(filepath.Join(out, "*", "pids"))
		pids = nil
		for _, f := range files {
			raw, _ := os.ReadFile(f)
			for line := range strings.FieldsSeq(string(raw)) {
				if pid, err := strconv.Atoi(line); err == nil {
					pids = append(pids, pid)
				}
			}
		}
	}
	if len(pids) < 4 {
		cmd.Process.Kill()
		t.Fatalf("processes started: %v, want at least 4", pids)
	}
	cmd.Process.Signal(syscall.SIGINT)
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	select {
	case <-done:
	case <-time.After(time.Minute):
		cmd.Process.Kill()
		t.Fatal("the lab did not end within a minute of SIGINT")
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		var left []int
		for _, pid := range pids {
			if st, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat"); err == nil && !strings.Contains(string(st), ") Z ") {
				left = append(left, pid)
			}
		}
		if len(left) == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("still running: %v", left)
		}
	}
}

// The lab reports nodes that never answer /health/ready. It doesn't hang, and leaves none of them running.
func TestNodeThatNeverComesUpIsReported(t *testing.T) {
	lab, _ := build(t)
	dir := t.TempDir()
	script := filepath.Join(dir, "silent-node")
	os.WriteFile(script, []byte("#!/bin/sh\nexec sleep 600\n"), 0o755)
	scenario := filepath.Join(dir, "never.toml")
	os.WriteFile(scenario, []byte("duration_s = 4\n[fleet]\nnodes = 2\nservers = 2\nready_s = 2\n[load]\nrate = 10\n"), 0o644)
	r, runDir := run(t, lab, script, scenario)
	if len(r.NeverUp) != 2 || r.Whole.Served != 0 {
		t.Errorf("never up %v, served %d", r.NeverUp, r.Whole.Served)
	}
	raw, _ := os.ReadFile(filepath.Join(runDir, "pids"))
	for line := range strings.FieldsSeq(string(raw)) {
		if st, err := os.ReadFile("/proc/" + line + "/stat"); err == nil && !strings.Contains(string(st), ") Z ") {
			t.Errorf("still running: %s", line)
		}
	}
}
