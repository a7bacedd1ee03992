package main

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"meadowsill/internal/lab/datapath"
)

// execute runs fleetlab with the given arguments in this process, and returns its output.
func execute(args ...string) (string, error) {
	var out bytes.Buffer
	cmd := root()
	cmd.SetArgs(args)
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	err := cmd.Execute()
	return out.String(), err
}

const (
	planFile   = "../../docs/capacity/plan.toml"
	beforeFile = "../../docs/capacity/slopes-before.json"
	slopesFile = "../../docs/capacity/slopes.json"
	runsFile   = "../../docs/capacity/datapath.json"
	pageFile   = "../../docs/CAPACITY.md"
)

// fleetlab capacity writes the committed page again byte for byte, prints the tables, and doesn't change the page if an input is bad.
func TestCapacityCommand(t *testing.T) {
	page, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	pageCopy := filepath.Join(t.TempDir(), "CAPACITY.md")
	if err := os.WriteFile(pageCopy, page, 0o644); err != nil {
		t.Fatal(err)
	}
	if out, err := execute("capacity", "--before", beforeFile, "--datapath", runsFile, "--plan", planFile, "--slopes", slopesFile, "--write", pageCopy); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	if reread, _ := os.ReadFile(pageCopy); !bytes.Equal(reread, page) {
		t.Error("the committed page differs from what fleetlab capacity writes")
	}
	out, err := execute("capacity", "--before", beforeFile, "--datapath", runsFile, "--plan", planFile, "--slopes", slopesFile)
	if err != nil || !strings.Contains(out, "## missing") {
		t.Errorf("%v\n%s", err, out)
	}
	for name, args := range map[string][]string{
		"no plan":       {"capacity", "--before", beforeFile, "--datapath", runsFile, "--plan", pageCopy, "--slopes", slopesFile, "--write", pageCopy},
		"no slopes":     {"capacity", "--before", beforeFile, "--datapath", runsFile, "--plan", planFile, "--slopes", planFile, "--write", pageCopy},
		"no file":       {"capacity", "--before", beforeFile, "--datapath", runsFile, "--plan", pageCopy + ".none", "--slopes", slopesFile, "--write", pageCopy},
		"other commit":  {"capacity", "--before", beforeFile, "--datapath", runsFile, "--plan", planFile, "--slopes", slopesFile, "--commit", "none", "--write", pageCopy},
		"no runs":       {"capacity", "--before", beforeFile, "--datapath", planFile, "--plan", planFile, "--slopes", slopesFile, "--write", pageCopy},
		"no benchmarks": {"capacity", "measure", pageCopy, "--slopes", slopesFile, "--commit", "none"},
		"no commit":     {"capacity", "measure", pageCopy, "--slopes", slopesFile},
	} {
		if out, err := execute(args...); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v\n%s", name, err, out)
		}
	}
	if reread, _ := os.ReadFile(pageCopy); !bytes.Equal(reread, page) {
		t.Error("a bad file changed the page")
	}
}

// A short measurement of the data path gets answers directly and through the node. Plans that can't be carried out are rejected with one
// line of error.
func TestDatapathCommand(t *testing.T) {
	lab, node := build(t)
	out := t.TempDir()
	raw, err := exec.Command(lab, "datapath", "--node-binary", node, "--out", out, "--servers", "20", "--requests", "40", "--changes", "5",
		"--warm", "500ms", "--for", "2s").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, raw)
	}
	var result datapath.Result
	if err := json.Unmarshal(raw, &result); err != nil {
		t.Fatalf("%v\n%s", err, raw)
	}
	if result.Direct.Count == 0 || result.Node.Count == 0 || result.Changes == 0 || result.CPU == 0 {
		t.Errorf("%+v", result)
	}
	for _, args := range [][]string{{"--servers", "0"}, {"--requests", "-1"}, {"--requests", "1e6"}, {"--changes", "NaN"}, {"--for", "0s"}, {"--latency", "1h"}} {
		raw, err := exec.Command(lab, append([]string{"datapath", "--node-binary", node, "--out", out}, args...)...).CombinedOutput()
		if err == nil || strings.Count(strings.TrimSpace(string(raw)), "\n") != 0 {
			t.Errorf("%v: %v\n%s", args, err, raw)
		}
	}
}
