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

// fleetUp is three replicas, and agents as processes, each with a node that the test runs.
type fleetUp struct {
	*cluster
	nodes []*simulated.Node
}

var fleetClient = http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// startFleet starts the replicas with settings beside the slots and extra arguments, and n agents spread over zones za, zb and zc.
func startFleet(t *testing.T, n int, settings string, extra ...string) *fleetUp {
	t.Helper()
	file := filepath.Join(t.TempDir(), "fleet.toml")
	if err := os.WriteFile(file, fmt.Appendf(nil, "slots = 30\n%s\n", settings), 0o644); err != nil {
		t.Fatal(err)
	}
	f := &fleetUp{cluster: startCluster(t, 3, append(extra, "--fleet", file)...)}
	for i := range n {
		f.nodes = append(f.nodes, f.startNode(i))
	}
	return f
}

// startNode starts node i; what it saw that no agent may do fails the test at its end.
func (f *fleetUp) startNode(i int) *simulated.Node {
	f.t.Helper()
	n, err := simulated.Start(f.Cluster, f.t.TempDir(), i)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		wrong := n.Close()
		noRace(f.t, filepath.Join(n.Dir, "agent.log"))
		for _, w := range wrong {
			f.t.Errorf("%s: %s", n.Name, w)
		}
	})
	return n
}

func (f *fleetUp) startAgent(n *simulated.Node) {
	f.t.Helper()
	if err := n.StartAgent(); err != nil {
		f.t.Fatal(err)
	}
}

// present waits until every node's session is held.
func (f *fleetUp) present() {
	f.t.Helper()
	for _, n := range f.nodes {
		f.until("the session of "+n.Name, func() bool { return n.Look().LeaseMS > 0 })
	}
}

// until waits for a condition, a minute at most.
func (f *fleetUp) until(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(time.Minute); !ok(); time.Sleep(25 * time.Millisecond) {
		if time.Now().After(end) {
			for _, n := range f.nodes {
				in := n.Look()
				f.t.Logf("%s: revision %d, %d items, held %d ms, age %d ms, caught up %v, last answer %s", n.Name, in.Revision, len(in.Items), in.LeaseMS, in.AgeMS, in.CaughtUp, n.Last())
			}
			f.t.Fatalf("after a minute: not yet %s", what)
		}
	}
}

// api calls the leader, following X-Leader, until a replica gives a word that is not 503.
func (f *fleetUp) api(method, path string, body any) (int, string) {
	f.t.Helper()
	code, text, _ := f.try(method, path, body)
	return code, text
}

// try is api that says, too, whether an earlier attempt may have been carried out: its outcome was not known.
func (f *fleetUp) try(method, path string, body any) (code int, text string, unknown bool) {
	f.t.Helper()
	code, text, unknown, err := simulated.Call(f.HTTP, method, path, body)
	if err != nil {
		f.t.Fatal(err)
	}
	return code, text, unknown
}

// put proposes a tenant's next generation. Where an earlier attempt may have been the one that was taken, that is looked up: the
// rate tells one proposal from another.
func (f *fleetUp) put(name string, generation uint64, rate float64) (int, string) {
	f.t.Helper()
	code, text, unknown := f.try(http.MethodPut, "/fleet/v1/tenants/"+name, map[string]any{"generation": generation,
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

// mustPut proposes and wants it taken.
func (f *fleetUp) mustPut(name string, generation uint64, rate float64) {
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

// status is a tenant's, by the leader.
func (f *fleetUp) status(name string) (s rolloutStatus) {
	f.t.Helper()
	code, text := f.api(http.MethodGet, "/fleet/v1/tenants/"+name+"/status", nil)
	if json.Unmarshal([]byte(text), &s); code == http.StatusNotFound {
		s.Phase = "none"
	}
	return s
}

// settled waits until a tenant is at a generation on every node.
func (f *fleetUp) settled(name string, generation uint64) {
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
