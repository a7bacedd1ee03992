package main

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"meadowsill/internal/lab/simulated"
)

func decode(resp *http.Response, v any) bool {
	raw, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && json.Unmarshal(raw, v) == nil
}

// TestAgentDurableCopy checks that an agent serves its durable copy with its age while it can reach no replica, that a damaged copy
// is rejected and renamed, and that an old copy is served as old and does not replace newer intent at the node.
func TestAgentDurableCopy(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3, "")
	f.awaitSessions()
	f.mustPut("brand", 0, 100)
	f.awaitSettled("brand", 1)
	a := f.nodes[0]
	b := f.nodes[1]
	c := f.nodes[2]
	file := func(n *simulated.Node) string { return filepath.Join(n.Dir, "intent.copy") }
	for _, n := range f.nodes {
		f.until("the durable copy of "+n.Name, func() bool {
			raw, err := os.ReadFile(file(n))
			return err == nil && strings.Contains(string(raw), "brand") && strings.Contains(string(raw), "committed")
		})
	}
	old, err := os.ReadFile(file(c))
	if err != nil {
		t.Fatal(err)
	}
	f.mustPut("brand", 1, 200)
	f.awaitSettled("brand", 2)

	// Node a: the agent and the node both restart. The agent has its copy and can reach no replica.
	a.StopAgent()
	a.Cut(true)
	a.Boot()
	f.startAgent(a)
	f.until("the copy to be served", func() bool { return a.Serves("brand") > 0 })
	if in := a.Look(); in.CaughtUp || in.LeaseMS != 0 || in.AgeMS < 60_000 {
		t.Errorf("served from the copy alone: %+v", in)
	}
	a.Cut(false)
	f.until("the agent to catch up", func() bool {
		in := a.Look()
		return in.CaughtUp && in.AgeMS < 5000 && in.LeaseMS > 0 && a.Serves("brand") == 2
	})

	// Node b: the agent restarts with a damaged copy.
	b.StopAgent()
	raw, err := os.ReadFile(file(b))
	if err != nil {
		t.Fatal(err)
	}
	raw[len(raw)/2] ^= 1
	if err := os.WriteFile(file(b), raw, 0o644); err != nil {
		t.Fatal(err)
	}
	b.Boot()
	f.startAgent(b)
	f.until("the agent to catch up without a copy", func() bool { return b.Look().CaughtUp && b.Serves("brand") == 2 })
	if _, err := os.Stat(file(b) + ".refused"); err != nil || b.Metric("fleet_agent_copies_refused_total") != "1" {
		t.Errorf("the damaged copy: %v, rejected copies counted: %q", err, b.Metric("fleet_agent_copies_refused_total"))
	}

	// Node c: the agent restarts with a copy from before the second generation and can reach no replica.
	c.StopAgent()
	c.Cut(true)
	if err := os.WriteFile(file(c), old, 0o644); err != nil {
		t.Fatal(err)
	}
	f.startAgent(c)
	f.until("the old copy to be served", func() bool { in := c.Look(); return !in.CaughtUp && in.Revision < c.Revision() })
	if in := c.Look(); in.AgeMS < 60_000 || c.Serves("brand") != 2 {
		t.Errorf("an old copy: age %d ms, the node serves generation %d", in.AgeMS, c.Serves("brand"))
	}
	c.Cut(false)
	f.until("the agent to catch up from an old copy", func() bool { return c.Look().CaughtUp && c.Look().Revision >= c.Revision() })
	if raw, err := os.ReadFile(file(c)); err != nil || string(raw) == string(old) {
		f.until("the copy to be replaced", func() bool { raw, _ := os.ReadFile(file(c)); return string(raw) != string(old) })
	}
	f.awaitSettled("brand", 2)
}

// TestReplicasDown stops all replicas. The agents must keep serving their intent with its age while their nodes' leases run out.
// When the replicas are back, the sessions must return without a new incarnation.
func TestReplicasDown(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 10, "ttl_ms = 2000")
	f.awaitSessions()
	f.mustPut("brand", 0, 100)
	f.awaitSettled("brand", 1)
	for i := range f.HTTP {
		f.Kill(i)
	}
	for _, n := range f.nodes {
		f.until(n.Name+" without a lease and with the age of its intent", func() bool { in := n.Look(); return in.LeaseMS == 0 && in.AgeMS > 2000 })
		if in := n.Look(); n.Serves("brand") != 1 || !in.CaughtUp {
			t.Errorf("%s with the replicas down: generation %d, %+v", n.Name, n.Serves("brand"), in)
		}
	}
	for i := range f.HTTP {
		if err := f.Restart(i); err != nil {
			t.Fatal(err)
		}
	}
	f.awaitSessions()
	f.mustPut("brand", 1, 200)
	f.awaitSettled("brand", 2)
}
