package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/lab/simulated"
)

// testFleet is a cluster of three replicas, and agents that run as processes. The test simulates each agent's node.
type testFleet struct {
	*cluster
	nodes []*simulated.Node
}

var fleetClient = http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// startFleet starts three replicas with 30 slots, additional settings and extra arguments, and n agents spread over the zones za,
// zb and zc.
func startFleet(t *testing.T, n int, settings string, extra ...string) *testFleet {
	t.Helper()
	file := filepath.Join(t.TempDir(), "fleet.toml")
	if err := os.WriteFile(file, fmt.Appendf(nil, "slots = 30\n%s\n", settings), 0o644); err != nil {
		t.Fatal(err)
	}
	f := &testFleet{cluster: startCluster(t, 3, append(extra, "--fleet", file)...)}
	for i := range n {
		f.nodes = append(f.nodes, f.startNode(i))
	}
	return f
}

// startNode starts node i and its agent. Violations by the agent that the node has seen fail the test at its end.
func (f *testFleet) startNode(i int) *simulated.Node {
	f.t.Helper()
	n, err := simulated.Start(f.Cluster, f.t.TempDir(), i)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		violations := n.Close()
		checkNoDataRace(f.t, filepath.Join(n.Dir, "agent.log"))
		for _, w := range violations {
			f.t.Errorf("%s: %s", n.Name, w)
		}
	})
	return n
}

func (f *testFleet) startAgent(n *simulated.Node) {
	f.t.Helper()
	if err := n.StartAgent(); err != nil {
		f.t.Fatal(err)
	}
}

// awaitSessions waits until every node has a session.
func (f *testFleet) awaitSessions() {
	f.t.Helper()
	for _, n := range f.nodes {
		f.until("the session of "+n.Name, func() bool { return n.Look().LeaseMS > 0 })
	}
}

// until waits for a condition for a minute at most. what names the condition in the failure message.
func (f *testFleet) until(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(time.Minute); !ok(); time.Sleep(25 * time.Millisecond) {
		if time.Now().After(end) {
			for _, n := range f.nodes {
				in := n.Look()
				f.t.Logf("%s: revision %d, %d items, lease %d ms, age %d ms, caught up %v, last answer %s", n.Name, in.Revision, len(in.Items), in.LeaseMS, in.AgeMS, in.CaughtUp, n.Last())
			}
			f.t.Fatalf("after a minute, still waiting for: %s", what)
		}
	}
}

// callAPI sends a request to the leader, following X-Leader, and retries until a replica's status is not 503.
func (f *testFleet) callAPI(method, path string, body any) (int, string) {
	f.t.Helper()
	code, text, _ := f.tryAPI(method, path, body)
	return code, text
}

// tryAPI is like callAPI and also reports whether the outcome of an earlier attempt is unknown, so that it may have been carried out.
func (f *testFleet) tryAPI(method, path string, body any) (code int, text string, unknown bool) {
	f.t.Helper()
	code, text, unknown, err := simulated.Call(f.HTTP, method, path, body)
	if err != nil {
		f.t.Fatal(err)
	}
	return code, text, unknown
}

// put proposes a tenant's next generation. If there is a conflict and the outcome of an earlier attempt is unknown, put reads the
// tenant to see whether the earlier attempt was accepted. The rate distinguishes the proposals.
func (f *testFleet) put(name string, generation uint64, rate float64) (int, string) {
	f.t.Helper()
	code, text, unknown := f.tryAPI(http.MethodPut, "/fleet/v1/tenants/"+name, map[string]any{"generation": generation,
		"spec": fleet.Spec{Name: name, Quota: fleet.Quota{Rate: rate, Burst: rate}}})
	ours := func(g *fleet.Generation) bool {
		return g != nil && g.Number == generation+1 && g.Spec.Quota.Rate == rate
	}
	if code == http.StatusConflict && unknown {
		if tn := f.tenant(name); ours(tn.Staged) || ours(tn.Committed) {
			code = http.StatusOK
		}
	}
	return code, text
}

// mustPut proposes a tenant's next generation and fails the test unless the proposal is accepted.
func (f *testFleet) mustPut(name string, generation uint64, rate float64) {
	f.t.Helper()
	if code, text := f.put(name, generation, rate); code != http.StatusOK {
		f.t.Fatalf("put %s over generation %d: %d %s", name, generation, code, text)
	}
}

type rolloutStatus struct {
	Phase      string `json:"phase"`
	RolledBack string `json:"rolled_back"`
	Nodes      []struct {
		Node       string `json:"node"`
		Phase      string `json:"phase"`
		Generation uint64 `json:"generation"`
	} `json:"nodes"`
}

// status returns a tenant's rollout status from the leader, with the phase "none" for an unknown tenant.
func (f *testFleet) status(name string) (s rolloutStatus) {
	f.t.Helper()
	code, text := f.callAPI(http.MethodGet, "/fleet/v1/tenants/"+name+"/status", nil)
	if json.Unmarshal([]byte(text), &s); code == http.StatusNotFound {
		s.Phase = "none"
	}
	return s
}

// awaitSettled waits until every node serves a generation of a tenant and the leader reports the rollout as settled.
func (f *testFleet) awaitSettled(name string, generation uint64) {
	f.t.Helper()
	f.until(fmt.Sprintf("%s at generation %d on every node", name, generation), func() bool {
		for _, n := range f.nodes {
			if n.Serves(name) != generation {
				return false
			}
		}
		return f.status(name).Phase == "settled"
	})
}
