package main

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"starlingvalve/internal/lab/faults"
)

func decode(resp *http.Response, v any) bool {
	raw, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && json.Unmarshal(raw, v) == nil
}

// cut takes a node's agent off every replica, or puts it back.
func (n *played) cut(off bool) {
	for _, l := range n.links {
		l.Set(faults.Fault{Blackhole: off})
	}
}

// metric reads one counter of the agent.
func (n *played) metric(name string) string {
	resp, err := fleetClient.Get("http://" + n.agent + "/metrics")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	for _, line := range strings.Split(string(raw), "\n") {
		if v, ok := strings.CutPrefix(line, name+" "); ok {
			return v
		}
	}
	return ""
}

// An agent serves its durable copy with its age while no replica can be reached; a damaged copy is refused and put aside;
// an old one is served as old, and never over what the node holds.
func TestAgentsCopy(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3, "")
	f.present()
	f.mustPut("brand", 0, 100)
	f.settled("brand", 1)
	a, b, c := f.nodes[0], f.nodes[1], f.nodes[2]
	file := func(n *played) string { return filepath.Join(n.dir, "intent.copy") }
	for _, n := range f.nodes {
		f.until("the copy of "+n.name, func() bool {
			raw, err := os.ReadFile(file(n))
			return err == nil && strings.Contains(string(raw), "brand") && strings.Contains(string(raw), "committed")
		})
	}
	old, err := os.ReadFile(file(c))
	if err != nil {
		t.Fatal(err)
	}
	f.mustPut("brand", 1, 200)
	f.settled("brand", 2)

	// a: the agent starts again with its copy and no replica, beside a node that starts again too.
	a.stopAgent()
	a.cut(true)
	a.boot()
	a.startAgent()
	f.until("the copy served", func() bool { return a.serves("brand") > 0 })
	if in := a.look(); in.CaughtUp || in.HeldMS != 0 || in.AgeMS < 60_000 {
		t.Errorf("from the copy alone: %+v", in)
	}
	a.cut(false)
	f.until("caught up", func() bool {
		in := a.look()
		return in.CaughtUp && in.AgeMS < 5000 && in.HeldMS > 0 && a.serves("brand") == 2
	})

	// b: its copy is damaged.
	b.stopAgent()
	raw, err := os.ReadFile(file(b))
	if err != nil {
		t.Fatal(err)
	}
	raw[len(raw)/2] ^= 1
	if err := os.WriteFile(file(b), raw, 0o644); err != nil {
		t.Fatal(err)
	}
	b.boot()
	b.startAgent()
	f.until("caught up without a copy", func() bool { return b.look().CaughtUp && b.serves("brand") == 2 })
	if _, err := os.Stat(file(b) + ".refused"); err != nil || b.metric("fleet_agent_copies_refused_total") != "1" {
		t.Errorf("the damaged copy: %v, counted %q", err, b.metric("fleet_agent_copies_refused_total"))
	}

	// c: its copy is of before the second generation, and no replica answers.
	c.stopAgent()
	c.cut(true)
	if err := os.WriteFile(file(c), old, 0o644); err != nil {
		t.Fatal(err)
	}
	c.startAgent()
	f.until("the old copy offered", func() bool { in := c.look(); return !in.CaughtUp && in.Revision < c.revisionNow() })
	if in := c.look(); in.AgeMS < 60_000 || c.serves("brand") != 2 {
		t.Errorf("an old copy: age %d ms, the node serves generation %d", in.AgeMS, c.serves("brand"))
	}
	c.cut(false)
	f.until("caught up from an old copy", func() bool { return c.look().CaughtUp && c.look().Revision >= c.revisionNow() })
	if raw, err := os.ReadFile(file(c)); err != nil || string(raw) == string(old) {
		f.until("the copy made new", func() bool { raw, _ := os.ReadFile(file(c)); return string(raw) != string(old) })
	}
	f.settled("brand", 2)
}

func (n *played) revisionNow() uint64 { n.mu.Lock(); defer n.mu.Unlock(); return n.revision }

// All replicas are gone: the agents go on serving what they have, with its age, and count their nodes out; when the replicas are
// back, so are the sessions, without a new incarnation.
func TestReplicasGone(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 10, "ttl_ms = 2000")
	f.present()
	f.mustPut("brand", 0, 100)
	f.settled("brand", 1)
	for i := range f.HTTP {
		f.Kill(i)
	}
	for _, n := range f.nodes {
		f.until(n.name+" counted out, and told the age", func() bool { in := n.look(); return in.HeldMS == 0 && in.AgeMS > 2000 })
		if in := n.look(); n.serves("brand") != 1 || !in.CaughtUp {
			t.Errorf("%s with the replicas gone: generation %d, %+v", n.name, n.serves("brand"), in)
		}
	}
	for i := range f.HTTP {
		if err := f.Restart(i); err != nil {
			t.Fatal(err)
		}
	}
	f.present()
	f.mustPut("brand", 1, 200)
	f.settled("brand", 2)
}
