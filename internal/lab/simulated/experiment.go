package simulated

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/drift"
	"meadowsill/internal/lab/discoverylab"
)

// Plan sets the number of nodes and how often each figure is measured.
type Plan struct {
	Nodes    int
	Rollouts int
	Tenants  int
	Drifts   int
	Losses   int
	Steady   time.Duration // duration of the measurement of bytes and CPU in a fleet without changes
}

// Figures are the results of an experiment. Times count from the operator's request, the caused drift or the first lost answers.
type Figures struct {
	Nodes       int             `json:"nodes"`
	AgentBytes  float64         `json:"agent_bytes_per_s"` // mean over the agents of the traffic with the replicas, in both directions
	AgentCPU    float64         `json:"agent_cpu"`         // mean CPU use of an agent, in cores
	LeaderBytes float64         `json:"leader_bytes_per_s"`
	LeaderCPU   float64         `json:"leader_cpu"`
	Rollouts    []time.Duration `json:"rollouts_ns"` // for each rollout, from the PUT until the last node serves it
	RolloutP50  time.Duration   `json:"rollout_p50_ns"`
	RolloutP99  time.Duration   `json:"rollout_p99_ns"`
	Drifts      []time.Duration `json:"drifts_ns"` // for each drift, until the leader's verdict
	DriftP50    time.Duration   `json:"drift_p50_ns"`
	DriftP99    time.Duration   `json:"drift_p99_ns"`
	ZoneP95     []time.Duration `json:"zone_p95_ns"`    // for each zone loss, 95th percentile over the nodes
	ZoneSpread  []time.Duration `json:"zone_spread_ns"` // for each zone loss, from the first node to the last
	Tenants     time.Duration   `json:"tenants_ns"`     // from the first PUT of Plan.Tenants tenants until every node serves all of them
}

// experiment is the state of one running experiment.
type experiment struct {
	c        *discoverylab.Cluster
	nodes    []*Node
	zoneLost atomic.Bool // whether answers of zone zb are lost at present
	log      *slog.Logger
	figures  Figures
}

// Measure starts three replicas of the binary bin and p.Nodes agents, each with a simulated node, with their data under dir, and makes the
// measurements of plan p. The nodes report every 250 ms, as a node with changing evidence does. If a measurement fails, the
// returned figures hold the results of the earlier ones.
func Measure(bin, dir string, p Plan, log *slog.Logger) (*Figures, error) {
	file := filepath.Join(dir, "fleet.toml")
	if err := os.WriteFile(file, fmt.Appendf(nil, "slots = %d\n[cold]\ntime_ms = 1000\n", p.Nodes), 0o644); err != nil {
		return nil, err
	}
	c, err := discoverylab.Start(bin, dir, 3, "--fleet", file)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	e := &experiment{c: c, log: log, figures: Figures{Nodes: p.Nodes}}
	defer func() {
		for _, n := range e.nodes {
			n.Close()
		}
	}()
	for i := range p.Nodes {
		d := filepath.Join(dir, fmt.Sprintf("n%02d", i))
		if err := os.MkdirAll(d, 0o755); err != nil {
			return nil, err
		}
		n, err := Start(c, d, i)
		if err != nil {
			return nil, err
		}
		n.With(func() { n.Every, n.Counts = 250*time.Millisecond, n.World("zb", &e.zoneLost) })
		e.nodes = append(e.nodes, n)
	}
	if err := e.all("every agent holds a session", func(n *Node) bool { return n.Look().LeaseMS > 0 }); err != nil {
		return nil, err
	}
	for _, step := range []func(Plan) error{e.rollouts, e.steady, e.drifts, e.losses, e.tenants} {
		if err := step(p); err != nil {
			return &e.figures, err
		}
	}
	return &e.figures, nil
}

// waitUntil checks a condition every 5 ms until it holds, for at most two minutes.
func waitUntil(what string, ok func() bool) error {
	for end := time.Now().Add(2 * time.Minute); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("condition not met after two minutes: %s", what)
		}
	}
	return nil
}

// all waits until the condition ok holds for every node.
func (e *experiment) all(what string, ok func(*Node) bool) error {
	return waitUntil(what, func() bool { return !slices.ContainsFunc(e.nodes, func(n *Node) bool { return !ok(n) }) })
}

func (e *experiment) putTenant(name string, generation uint64) error {
	rate := 100 + float64(generation)
	code, text, unknown, err := Call(e.c.HTTP, http.MethodPut, "/fleet/v1/tenants/"+name, map[string]any{"generation": generation,
		"spec": fleet.Spec{Name: name, Quota: fleet.Quota{Rate: rate, Burst: rate}}})
	if err == nil && code != http.StatusOK && !unknown {
		err = fmt.Errorf("put %s: %d %s", name, code, text)
	}
	return err
}

// settled reports whether the leader has finished a tenant's rollout.
func (e *experiment) settled(name string) bool {
	var s struct{ Phase string }
	_, text, _, err := Call(e.c.HTTP, http.MethodGet, "/fleet/v1/tenants/"+name+"/status", nil)
	return err == nil && json.Unmarshal([]byte(text), &s) == nil && s.Phase == "settled"
}

func (e *experiment) rollouts(p Plan) error {
	for g := range uint64(p.Rollouts) {
		start := time.Now()
		if err := e.putTenant("brand", g); err != nil {
			return err
		}
		if err := e.all("every node serves the rollout", func(n *Node) bool { return n.Serves("brand") == g+1 }); err != nil {
			return err
		}
		e.figures.Rollouts = append(e.figures.Rollouts, time.Since(start))
		if err := waitUntil("settled", func() bool { return e.settled("brand") }); err != nil {
			return err
		}
	}
	e.figures.RolloutP50, e.figures.RolloutP99 = discoverylab.Quantile(e.figures.Rollouts, 0.5), discoverylab.Quantile(e.figures.Rollouts, 0.99)
	e.log.Info("rollouts", "n", p.Rollouts, "p50", e.figures.RolloutP50, "p99", e.figures.RolloutP99)
	return nil
}

// steady measures the traffic and CPU use of a fleet without changes.
func (e *experiment) steady(p Plan) error {
	leader, err := e.c.Leader(30*time.Second, -1)
	if err != nil {
		return err
	}
	sample := func() (agentBytes, leaderBytes int64, agentCPU, leaderCPU time.Duration) {
		for _, n := range e.nodes {
			for i, l := range n.Links {
				agentBytes += l.Bytes.Load()
				if i == leader {
					leaderBytes += l.Bytes.Load()
				}
			}
			agentCPU += discoverylab.CPUTime(n.Pid())
		}
		for pair, l := range e.c.Links {
			if pair[0] == leader || pair[1] == leader {
				leaderBytes += l.Bytes.Load()
			}
		}
		return agentBytes, leaderBytes, agentCPU, discoverylab.CPUTime(e.c.Pid(leader))
	}
	start := time.Now()
	a0, l0, c0, lc0 := sample()
	time.Sleep(p.Steady)
	a1, l1, c1, lc1 := sample()
	s, n := time.Since(start).Seconds(), float64(p.Nodes)
	e.figures.AgentBytes, e.figures.AgentCPU = float64(a1-a0)/s/n, (c1-c0).Seconds()/s/n
	e.figures.LeaderBytes, e.figures.LeaderCPU = float64(l1-l0)/s, (lc1-lc0).Seconds()/s
	e.log.Info("steady", "agent_bytes_per_s", e.figures.AgentBytes, "agent_cpu", e.figures.AgentCPU, "leader_bytes_per_s", e.figures.LeaderBytes, "leader_cpu", e.figures.LeaderCPU)
	return nil
}

// verdictIs reports whether the leader's verdict on node n is state.
func (e *experiment) verdictIs(n *Node, state string) bool {
	var a struct{ Verdicts []drift.Verdict }
	_, text, _, err := Call(e.c.HTTP, http.MethodGet, "/fleet/v1/drift?node="+n.Name, nil)
	return err == nil && json.Unmarshal([]byte(text), &a) == nil && len(a.Verdicts) == 1 && a.Verdicts[0].State == state
}

// alterRate changes the committed rate of tenant brand in the items that a node reports, so that it differs from the intended one.
func alterRate(items []fleet.AppliedItem) []fleet.AppliedItem {
	for i, item := range items {
		var applied fleet.AppliedTenant
		if item.Key == "tenant/brand" && json.Unmarshal(item.Body, &applied) == nil && applied.Committed != nil {
			applied.Committed.Rate = 999
			items[i], _, _ = drift.AppliedItemOf(item.Key, applied)
		}
	}
	return items
}

func (e *experiment) drifts(p Plan) error {
	for k := range p.Drifts {
		n := e.nodes[k%len(e.nodes)]
		if err := waitUntil(n.Name+" in step", func() bool { return e.verdictIs(n, drift.InStep) }); err != nil {
			return err
		}
		start := time.Now()
		n.With(func() { n.Odd = alterRate })
		err := waitUntil("the drift of "+n.Name+" detected", func() bool { return e.verdictIs(n, drift.Diverged) })
		e.figures.Drifts = append(e.figures.Drifts, time.Since(start))
		n.With(func() { n.Odd = nil })
		if err != nil {
			return err
		}
	}
	e.figures.DriftP50, e.figures.DriftP99 = discoverylab.Quantile(e.figures.Drifts, 0.5), discoverylab.Quantile(e.figures.Drifts, 0.99)
	e.log.Info("drifts", "n", p.Drifts, "p50", e.figures.DriftP50, "p99", e.figures.DriftP99)
	return nil
}

// losses makes every node report zone zb as lost, and waits until the zone is served again before the next loss.
func (e *experiment) losses(p Plan) error {
	const key = "zone/zb"
	for k := range p.Losses {
		time.Sleep(5 * time.Second) // with a healthy zone, so that the leader knows its request rates
		var mu sync.Mutex
		var delays []time.Duration
		start := time.Now()
		for _, n := range e.nodes {
			heard := false
			n.With(func() {
				n.Seen = func(it fleet.Item, d fleet.Directive) {
					if it.Key == key && !it.Removed && d.Share == 0 && !heard {
						heard = true
						mu.Lock()
						delays = append(delays, time.Since(start))
						mu.Unlock()
					}
				}
			})
		}
		e.zoneLost.Store(true)
		err := waitUntil("every node has left the zone", func() bool {
			mu.Lock()
			defer mu.Unlock()
			return len(delays) == len(e.nodes)
		})
		e.zoneLost.Store(false)
		if err != nil {
			return err
		}
		mu.Lock()
		e.figures.ZoneP95 = append(e.figures.ZoneP95, discoverylab.Quantile(delays, 0.95))
		e.figures.ZoneSpread = append(e.figures.ZoneSpread, delays[len(delays)-1]-delays[0]) // Quantile has sorted the delays
		mu.Unlock()
		e.log.Info("zone loss measured", "loss", k, "p95", e.figures.ZoneP95[k], "spread", e.figures.ZoneSpread[k])
		if err := e.all("every node serves the zone again", func(n *Node) bool { _, ok := n.Directive(key); return !ok }); err != nil {
			return err
		}
	}
	return nil
}

func (e *experiment) tenants(p Plan) error {
	name := func(i int) string { return fmt.Sprintf("many-%03d", i) }
	start := time.Now()
	errs := make([]error, p.Tenants)
	var all sync.WaitGroup
	for i := range p.Tenants {
		all.Go(func() { errs[i] = e.putTenant(name(i), 0) })
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	err := e.all("every node serves every tenant", func(n *Node) bool {
		for i := range p.Tenants {
			if n.Serves(name(i)) != 1 {
				return false
			}
		}
		return true
	})
	if err == nil {
		e.figures.Tenants = time.Since(start)
		e.log.Info("tenants created together", "tenants", p.Tenants, "took", e.figures.Tenants)
	}
	return err
}
