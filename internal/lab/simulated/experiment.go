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

// Plan says how often each thing is measured, with how many nodes.
type Plan struct {
	Nodes    int
	Rollouts int
	Tenants  int
	Drifts   int
	Losses   int
	Steady   time.Duration // of a calm fleet, for bytes and CPU
}

// Figures are the results with so many nodes. Times are from the operator's call, the planted drift or the first lost answers.
type Figures struct {
	Nodes      int             `json:"nodes"`
	AgentBytes float64         `json:"agent_bytes_per_s"` // both ways between one agent and the replicas, the mean
	AgentCPU   float64         `json:"agent_cpu"`         // of one core, the mean of the agents
	LeadBytes  float64         `json:"leader_bytes_per_s"`
	LeadCPU    float64         `json:"leader_cpu"`
	Rollouts   []time.Duration `json:"rollouts_ns"` // PUT to the last node that serves it, each
	RolloutP50 time.Duration   `json:"rollout_p50_ns"`
	RolloutP99 time.Duration   `json:"rollout_p99_ns"`
	Drifts     []time.Duration `json:"drifts_ns"` // to the leader's verdict, each
	DriftP50   time.Duration   `json:"drift_p50_ns"`
	DriftP99   time.Duration   `json:"drift_p99_ns"`
	ZoneP95    []time.Duration `json:"zone_p95_ns"`    // of the nodes, each loss
	ZoneSpread []time.Duration `json:"zone_spread_ns"` // first node to last, each loss
	Tenants    time.Duration   `json:"tenants_ns"`     // all of Plan.Tenants, first PUT to the last node that serves the last
}

// run is one experiment under way.
type run struct {
	c     *discoverylab.Cluster
	nodes []*Node
	lost  atomic.Bool // zone zb
	log   *slog.Logger
	f     Figures
}

// Measure starts three replicas of bin, and p.Nodes agents with a simulated node each, their data under dir, and measures them by p.
// Nodes report every 250 ms, as a node does whose evidence changes. What was measured before an error is in the figures.
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
	r := &run{c: c, log: log, f: Figures{Nodes: p.Nodes}}
	defer func() {
		for _, n := range r.nodes {
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
		n.With(func() { n.Every, n.Counts = 250*time.Millisecond, n.World("zb", &r.lost) })
		r.nodes = append(r.nodes, n)
	}
	if err := r.all("every session held", func(n *Node) bool { return n.Look().LeaseMS > 0 }); err != nil {
		return nil, err
	}
	for _, step := range []func(Plan) error{r.rollouts, r.steady, r.drifts, r.losses, r.tenants} {
		if err := step(p); err != nil {
			return &r.f, err
		}
	}
	return &r.f, nil
}

// until waits for a condition, two minutes at most, looking every 5 ms.
func until(what string, ok func() bool) error {
	for end := time.Now().Add(2 * time.Minute); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("after two minutes: not yet %s", what)
		}
	}
	return nil
}

// all waits until every node is so.
func (r *run) all(what string, ok func(*Node) bool) error {
	return until(what, func() bool { return !slices.ContainsFunc(r.nodes, func(n *Node) bool { return !ok(n) }) })
}

func (r *run) put(name string, generation uint64) error {
	rate := 100 + float64(generation)
	code, text, unknown, err := Call(r.c.HTTP, http.MethodPut, "/fleet/v1/tenants/"+name, map[string]any{"generation": generation,
		"spec": fleet.Spec{Name: name, Quota: fleet.Quota{Rate: rate, Burst: rate}}})
	if err == nil && code != http.StatusOK && !unknown {
		err = fmt.Errorf("put %s: %d %s", name, code, text)
	}
	return err
}

// settled says whether the leader has a tenant's rollout at its end.
func (r *run) settled(name string) bool {
	var s struct{ Phase string }
	_, text, _, err := Call(r.c.HTTP, http.MethodGet, "/fleet/v1/tenants/"+name+"/status", nil)
	return err == nil && json.Unmarshal([]byte(text), &s) == nil && s.Phase == "settled"
}

func (r *run) rollouts(p Plan) error {
	for g := range uint64(p.Rollouts) {
		start := time.Now()
		if err := r.put("brand", g); err != nil {
			return err
		}
		if err := r.all("the rollout", func(n *Node) bool { return n.Serves("brand") == g+1 }); err != nil {
			return err
		}
		r.f.Rollouts = append(r.f.Rollouts, time.Since(start))
		if err := until("settled", func() bool { return r.settled("brand") }); err != nil {
			return err
		}
	}
	r.f.RolloutP50, r.f.RolloutP99 = discoverylab.Quantile(r.f.Rollouts, 0.5), discoverylab.Quantile(r.f.Rollouts, 0.99)
	r.log.Info("rollouts", "n", p.Rollouts, "p50", r.f.RolloutP50, "p99", r.f.RolloutP99)
	return nil
}

// steady measures a fleet in which nothing happens.
func (r *run) steady(p Plan) error {
	lead, err := r.c.Leader(30*time.Second, -1)
	if err != nil {
		return err
	}
	look := func() (agents, leads int64, cpu, leadCPU time.Duration) {
		for _, n := range r.nodes {
			for i, l := range n.Links {
				agents += l.Bytes.Load()
				if i == lead {
					leads += l.Bytes.Load()
				}
			}
			cpu += discoverylab.CPUTime(n.Pid())
		}
		for pair, l := range r.c.Links {
			if pair[0] == lead || pair[1] == lead {
				leads += l.Bytes.Load()
			}
		}
		return agents, leads, cpu, discoverylab.CPUTime(r.c.Pid(lead))
	}
	start := time.Now()
	a0, l0, c0, lc0 := look()
	time.Sleep(p.Steady)
	a1, l1, c1, lc1 := look()
	s, n := time.Since(start).Seconds(), float64(p.Nodes)
	r.f.AgentBytes, r.f.AgentCPU = float64(a1-a0)/s/n, (c1-c0).Seconds()/s/n
	r.f.LeadBytes, r.f.LeadCPU = float64(l1-l0)/s, (lc1-lc0).Seconds()/s
	r.log.Info("steady", "agent_bytes_per_s", r.f.AgentBytes, "agent_cpu", r.f.AgentCPU, "leader_bytes_per_s", r.f.LeadBytes, "leader_cpu", r.f.LeadCPU)
	return nil
}

// is says whether the leader's verdict on a node is so.
func (r *run) is(n *Node, state string) bool {
	var a struct{ Verdicts []drift.Verdict }
	_, text, _, err := Call(r.c.HTTP, http.MethodGet, "/fleet/v1/drift?node="+n.Name, nil)
	return err == nil && json.Unmarshal([]byte(text), &a) == nil && len(a.Verdicts) == 1 && a.Verdicts[0].State == state
}

// otherRate has a node hold another rate of the tenant than the one it received.
func otherRate(items []fleet.AppliedItem) []fleet.AppliedItem {
	for i, h := range items {
		var b fleet.AppliedTenant
		if h.Key == "tenant/brand" && json.Unmarshal(h.Body, &b) == nil && b.Committed != nil {
			b.Committed.Rate = 999
			items[i], _, _ = drift.AppliedItemOf(h.Key, b)
		}
	}
	return items
}

func (r *run) drifts(p Plan) error {
	for k := range p.Drifts {
		n := r.nodes[k%len(r.nodes)]
		if err := until(n.Name+" in step", func() bool { return r.is(n, drift.InStep) }); err != nil {
			return err
		}
		start := time.Now()
		n.With(func() { n.Odd = otherRate })
		err := until("the drift of "+n.Name+" seen", func() bool { return r.is(n, drift.Diverged) })
		r.f.Drifts = append(r.f.Drifts, time.Since(start))
		n.With(func() { n.Odd = nil })
		if err != nil {
			return err
		}
	}
	r.f.DriftP50, r.f.DriftP99 = discoverylab.Quantile(r.f.Drifts, 0.5), discoverylab.Quantile(r.f.Drifts, 0.99)
	r.log.Info("drifts", "n", p.Drifts, "p50", r.f.DriftP50, "p99", r.f.DriftP99)
	return nil
}

// losses has the reports of every node lose zone zb, and lets it return before the next.
func (r *run) losses(p Plan) error {
	const key = "zone/zb"
	for k := range p.Losses {
		time.Sleep(5 * time.Second) // of a healthy zone, so that its rates are proved
		var mu sync.Mutex
		var took []time.Duration
		start := time.Now()
		for _, n := range r.nodes {
			heard := false
			n.With(func() {
				n.Seen = func(it fleet.Item, d fleet.Directive) {
					if it.Key == key && !it.Removed && d.Share == 0 && !heard {
						heard = true
						mu.Lock()
						took = append(took, time.Since(start))
						mu.Unlock()
					}
				}
			})
		}
		r.lost.Store(true)
		err := until("the zone left on every node", func() bool {
			mu.Lock()
			defer mu.Unlock()
			return len(took) == len(r.nodes)
		})
		r.lost.Store(false)
		if err != nil {
			return err
		}
		mu.Lock()
		r.f.ZoneP95 = append(r.f.ZoneP95, discoverylab.Quantile(took, 0.95))
		r.f.ZoneSpread = append(r.f.ZoneSpread, took[len(took)-1]-took[0]) // Quantile has sorted it
		mu.Unlock()
		r.log.Info("zone lost", "loss", k, "p95", r.f.ZoneP95[k], "spread", r.f.ZoneSpread[k])
		if err := r.all("the zone served again", func(n *Node) bool { _, ok := n.Directive(key); return !ok }); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) tenants(p Plan) error {
	name := func(i int) string { return fmt.Sprintf("many-%03d", i) }
	start := time.Now()
	errs := make([]error, p.Tenants)
	var all sync.WaitGroup
	for i := range p.Tenants {
		all.Go(func() { errs[i] = r.put(name(i), 0) })
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	err := r.all("every tenant on every node", func(n *Node) bool {
		for i := range p.Tenants {
			if n.Serves(name(i)) != 1 {
				return false
			}
		}
		return true
	})
	if err == nil {
		r.f.Tenants = time.Since(start)
		r.log.Info("tenants in one go", "tenants", p.Tenants, "took", r.f.Tenants)
	}
	return err
}
