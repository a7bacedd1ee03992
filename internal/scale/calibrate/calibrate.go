// Package calibrate compares hollow nodes (package hollow) with real ones: real node processes with a real discovery agent process
// each, and real requests, on the same schedule beside the same kind of replicas (docs/scale.md, "Calibration").
package calibrate

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/lab/discoverylab"
	"meadowsill/internal/lab/simulated"
	"meadowsill/internal/scale/hollow"
)

// Plan is what both kinds of nodes go through.
type Plan struct {
	Nodes        int           `json:"nodes"`
	Servers      int           `json:"servers"`
	Tenants      int           `json:"tenants"`
	RequestsPerS float64       `json:"requests_per_s"` // at each node
	For          time.Duration `json:"for_ns"`         // of each of the two windows: nothing changes; tenants and servers do
	Seed         uint64        `json:"seed"`
}

// Binaries are the programs that are run.
type Binaries struct {
	Fleetlab  string
	Discovery string
	Node      string
}

// Rates is what was counted in a window.
type Rates struct {
	Calls        map[hollow.Call]Traffic `json:"calls"`
	ReportBytes  float64                 `json:"report_bytes"`   // of the bodies of reports, a node and second
	CPU          float64                 `json:"cpu"`            // of one core a node: of a real node's agent, or of the hollow process
	RSSBytes     float64                 `json:"rss_bytes"`      // a node, at the window's end: as CPU
	LeaderCPU    float64                 `json:"leader_cpu"`     // of one core: of the replicas together
	Behind       float64                 `json:"behind"`         // revisions that the last node lacks, the mean of the looks
	InForceP50MS float64                 `json:"in_force_ms"`    // from a tenant's PUT until the leader knows that all nodes serve it
	InForceMaxMS float64                 `json:"in_force_max"`   // the longest
	Changes      int                     `json:"changes"`        // of tenants
	Skipped      int                     `json:"skipped"`        // changes whose tenant's last one was not over
	Replaced     int                     `json:"replaced"`       // servers
	Seconds      float64                 `json:"window_seconds"` // as it was
}

// Traffic is one kind of call, a node and second.
type Traffic struct {
	Calls    float64 `json:"calls"`
	BytesIn  float64 `json:"bytes_in"`
	BytesOut float64 `json:"bytes_out"`
}

// Figures are those of one kind of nodes.
type Figures struct {
	Kind     string `json:"kind"` // real or hollow
	Steady   Rates  `json:"steady"`
	Changing Rates  `json:"changing"`
}

const (
	readyTimeout = 2 * time.Minute
	settle       = 5 * time.Second // before a window
	turnEvery    = time.Second     // a change of a tenant, at every second one a replacement of a server
	lookTurns    = 3               // between looks at the nodes' revisions
	statusEvery  = 10 * time.Millisecond
	callTimeout  = 10 * time.Second
	leaseTTLMS   = 6000
	services     = 4
	replicas     = 3
)

var zones = []string{"za", "zb", "zc"}

// nodes are the nodes of one kind, as the schedule needs them.
type nodes interface {
	ready() (bool, error)     // every node is
	counted() (counts, error) // so far
	behind() (uint64, error)  // revisions that the last node lacks against the newest
	close() error
}

// counts are those since the start.
type counts struct {
	calls       map[hollow.Call]hollow.Traffic
	reportBytes uint64
	cpu         time.Duration
	rss         uint64 // bytes
}

// Measure runs the plan with nodes of a kind, real or hollow, their data under dir, which it makes. It ends every process that it
// started.
func Measure(ctx context.Context, kind string, bin Binaries, dir string, plan Plan, log *slog.Logger) (figures Figures, err error) {
	if err := plan.validate(kind); err != nil {
		return Figures{}, err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return Figures{}, err
	}
	settings := filepath.Join(dir, "fleet.toml")
	if err := os.WriteFile(settings, fmt.Appendf(nil, "slots = %d\n", plan.Nodes), 0o644); err != nil {
		return Figures{}, err
	}
	cluster, err := discoverylab.Start(bin.Discovery, dir, replicas, "--fleet", settings)
	if err != nil {
		return Figures{}, err
	}
	defer cluster.Close()
	if _, err := cluster.Leader(readyTimeout, -1); err != nil {
		return Figures{}, err
	}
	servers, err := hollow.Start(ctx, bin.Fleetlab, hollow.Config{
		Replicas:   cluster.HTTP,
		Servers:    plan.Servers,
		Services:   services,
		Zones:      zones,
		LeaseTTLMS: leaseTTLMS,
		Seed:       plan.Seed,
	}, log)
	if err != nil {
		return Figures{}, err
	}
	defer func() { err = errors.Join(err, servers.Close()) }()
	r := &run{ctx: ctx, plan: plan, log: log.With("kind", kind), cluster: cluster, servers: servers}
	if err := r.serversUp(); err != nil {
		return Figures{}, err
	}
	if kind == Real {
		r.nodes, err = startReal(ctx, r, bin, dir, cluster.Network.Number)
	} else {
		r.nodes, err = startHollow(ctx, r, bin, dir)
	}
	if err != nil {
		return Figures{}, err
	}
	defer func() { err = errors.Join(err, r.nodes.close()) }()
	return r.schedule(kind)
}

// Kinds of nodes.
const (
	Real   = "real"
	Hollow = "hollow"
)

func (p Plan) validate(kind string) error {
	switch {
	case kind != Real && kind != Hollow:
		return fmt.Errorf("kind: %q, must be real or hollow", kind)
	case p.Nodes < 1 || p.Nodes > 100:
		return fmt.Errorf("nodes: %d, must be 1 to 100", p.Nodes)
	case p.Servers < 1 || p.Servers > 250:
		return fmt.Errorf("servers: %d, must be 1 to 250", p.Servers)
	case p.Tenants < 1 || p.Tenants > 1000:
		return fmt.Errorf("tenants: %d, must be 1 to 1000", p.Tenants)
	case !(p.RequestsPerS > 0 && p.RequestsPerS <= 100):
		return fmt.Errorf("requests: %v, must be above 0 and at most 100", p.RequestsPerS)
	case p.For < time.Second || p.For > 10*time.Minute:
		return fmt.Errorf("for: %v, must be 1s to 10m", p.For)
	}
	return nil
}

// run is one kind's measurement under way.
type run struct {
	ctx     context.Context
	plan    Plan
	log     *slog.Logger
	cluster *discoverylab.Cluster
	servers *hollow.Process
	nodes   nodes
	next    []uint64 // by tenant: the generation that its next PUT names
}

// tenantName is the name of the tenant of a number.
func tenantName(i int) string { return fmt.Sprintf("tenant-%03d", i) }

func (r *run) serversUp() error {
	return r.await("every server registered", func() (bool, error) {
		usage, err := r.servers.Usage()
		return usage.Registered == r.plan.Servers, err
	})
}

// await looks until a condition holds, and gives up after readyTimeout.
func (r *run) await(what string, holds func() (bool, error)) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); {
		if ok, err := holds(); ok || err != nil {
			return err
		}
		if err := r.pause(100 * time.Millisecond); err != nil {
			return err
		}
	}
	return fmt.Errorf("after %v: not yet %s", readyTimeout, what)
}

func (r *run) pause(d time.Duration) error {
	select {
	case <-r.ctx.Done():
		return r.ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// schedule waits until all is up, puts the tenants, and measures the two windows.
func (r *run) schedule(kind string) (figures Figures, err error) {
	if err := r.await("every node ready", r.nodes.ready); err != nil {
		return Figures{}, err
	}
	r.log.Info("ready")
	r.next = make([]uint64, r.plan.Tenants)
	for i := range r.plan.Tenants {
		if _, err := r.roll(i); err != nil {
			return Figures{}, err
		}
	}
	r.log.Info("tenants in force", "tenants", r.plan.Tenants)
	figures.Kind = kind
	if figures.Steady, err = r.window(func(int) error { return nil }); err != nil {
		return figures, err
	}
	r.log.Info("steady window over")
	changes := &changes{run: r}
	if figures.Changing, err = r.window(changes.make); err != nil {
		return figures, err
	}
	r.log.Info("changing window over")
	return figures, changes.finish(&figures.Changing)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// window has the nodes settle and counts for the plan's time. At each of its turns, which come at fixed times, it takes a step.
func (r *run) window(step func(turn int) error) (rates Rates, err error) {
	if err := r.pause(settle); err != nil {
		return rates, err
	}
	began := time.Now()
	before, err := r.nodes.counted()
	if err != nil {
		return rates, err
	}
	leadersBefore := r.replicasCPU()
	looks := 0
	for turn := 0; time.Duration(turn)*turnEvery < r.plan.For; turn++ {
		if err := r.pause(time.Until(began.Add(time.Duration(turn) * turnEvery))); err != nil {
			return rates, err
		}
		if err := step(turn); err != nil {
			return rates, err
		}
		if turn%lookTurns != 0 {
			continue
		}
		behind, err := r.nodes.behind()
		if err != nil {
			return rates, err
		}
		rates.Behind += float64(behind)
		looks++
	}
	if err := r.pause(time.Until(began.Add(r.plan.For))); err != nil {
		return rates, err
	}
	rates.Behind /= float64(max(1, looks))
	after, err := r.nodes.counted()
	rates.Seconds = time.Since(began).Seconds()
	each := rates.Seconds * float64(r.plan.Nodes)
	rates.Calls = map[hollow.Call]Traffic{}
	for call, total := range after.calls {
		was := before.calls[call]
		rates.Calls[call] = Traffic{Calls: float64(total.Calls-was.Calls) / each, BytesIn: float64(total.BytesIn-was.BytesIn) / each,
			BytesOut: float64(total.BytesOut-was.BytesOut) / each}
	}
	rates.ReportBytes = float64(after.reportBytes-before.reportBytes) / each
	rates.RSSBytes = float64(after.rss) / float64(r.plan.Nodes)
	rates.CPU = (after.cpu - before.cpu).Seconds() / each
	rates.LeaderCPU = (r.replicasCPU() - leadersBefore).Seconds() / rates.Seconds
	return rates, err
}

func (r *run) replicasCPU() (total time.Duration) {
	for i := range replicas {
		total += discoverylab.CPUTime(r.cluster.Pid(i))
	}
	return total
}

// roll puts a tenant's next generation and waits until the leader knows that every node serves it and the rollout is over. It
// gives the time from the PUT that was taken.
func (r *run) roll(tenant int) (time.Duration, error) {
	name := tenantName(tenant)
	rate := 10 * r.plan.RequestsPerS * float64(r.plan.Nodes) * (1 + float64(r.next[tenant]%2))
	put := tenantPut{Generation: r.next[tenant], Spec: fleet.Spec{Name: name, Quota: fleet.Quota{Rate: rate, Burst: rate}}}
	began := time.Now()
	code, text, unknown, err := simulated.Call(r.cluster.HTTP, http.MethodPut, "/fleet/v1/tenants/"+name, put)
	if err != nil {
		return 0, err
	}
	if code != http.StatusOK && !unknown {
		return 0, fmt.Errorf("put %s: %d %s", name, code, strings.TrimSpace(text))
	}
	r.next[tenant]++
	for end := began.Add(readyTimeout); time.Now().Before(end); {
		if settled, err := r.settled(name); err != nil {
			return 0, err
		} else if settled {
			return time.Since(began), nil
		}
		if err := r.pause(statusEvery); err != nil {
			return 0, err
		}
	}
	return 0, fmt.Errorf("%s: generation %d is not in force after %v", name, r.next[tenant], readyTimeout)
}

// tenantPut is the body of a tenant's PUT.
type tenantPut struct {
	Generation uint64     `json:"generation"`
	Spec       fleet.Spec `json:"spec"`
}
