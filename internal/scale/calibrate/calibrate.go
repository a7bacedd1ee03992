// Package calibrate compares hollow nodes (package hollow) with real ones. The real ones are node processes with a discovery agent
// process each, and serve real requests. Both kinds run the same schedule against the same kind of replicas (docs/scale.md,
// "Calibration").
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

// Plan is the schedule that both kinds of nodes run.
type Plan struct {
	Nodes        int           `json:"nodes"`
	Servers      int           `json:"servers"`
	Tenants      int           `json:"tenants"`
	RequestsPerS float64       `json:"requests_per_s"` // requests a second at each node
	Window       time.Duration `json:"for_ns"`         // length of each of the two windows; only in the second one do tenants and servers change
	Seed         uint64        `json:"seed"`
}

// Binaries are the paths of the programs that Measure starts.
type Binaries struct {
	Fleetlab  string
	Discovery string
	Node      string
}

// Rates are the figures of one window.
type Rates struct {
	Calls        map[hollow.Call]Traffic `json:"calls"`
	ReportBytes  float64                 `json:"report_bytes"`   // bytes of report bodies, per node and second
	CPU          float64                 `json:"cpu"`            // cores per node, used by a real node's agent or by the hollow process
	RSSBytes     float64                 `json:"rss_bytes"`      // resident bytes per node at the window's end, of the same process as CPU
	LeaderCPU    float64                 `json:"leader_cpu"`     // cores used by all replicas together
	RevisionLag  float64                 `json:"behind"`         // revisions by which the last node is behind, the mean of the samples
	InForceP50MS float64                 `json:"in_force_ms"`    // median time from a tenant's PUT until the leader knows that all nodes serve it
	InForceMaxMS float64                 `json:"in_force_max"`   // the longest of these times
	Changes      int                     `json:"changes"`        // changes of tenants
	Skipped      int                     `json:"skipped"`        // changes left out because the tenant's previous change was not over
	Replaced     int                     `json:"replaced"`       // servers replaced
	Seconds      float64                 `json:"window_seconds"` // actual length of the window
}

// Traffic is the traffic of one kind of call, per node and second.
type Traffic struct {
	Calls    float64 `json:"calls"`
	BytesIn  float64 `json:"bytes_in"`
	BytesOut float64 `json:"bytes_out"`
}

// Figures are the results for one kind of nodes.
type Figures struct {
	Kind     string `json:"kind"` // real or hollow
	Steady   Rates  `json:"steady"`
	Changing Rates  `json:"changing"`
}

const (
	readyTimeout       = 2 * time.Minute
	settleTime         = 5 * time.Second // wait before each window
	turnInterval       = time.Second     // a tenant changes at every turn, and a server is replaced at every second one
	samplingTurns      = 3               // turns from one sample of the revision lag to the next
	statusPollInterval = 10 * time.Millisecond
	callTimeout        = 10 * time.Second
	leaseTTLMS         = 6000
	services           = 4
	replicas           = 3
)

var zones = []string{"za", "zb", "zc"}

// nodes are all nodes of one kind, with the methods that the schedule needs.
type nodes interface {
	ready() (bool, error)         // reports whether every node is ready
	readCounts() (counts, error)  // returns the counts since the start
	revisionLag() (uint64, error) // returns the number of revisions by which the last node is behind the newest
	close() error
}

// counts are totals since the nodes started.
type counts struct {
	calls       map[hollow.Call]hollow.Traffic
	reportBytes uint64
	cpu         time.Duration
	rss         uint64 // bytes
}

// Measure runs the plan with nodes of a kind, real or hollow. It creates dir and keeps their data there. It ends every process
// that it started.
func Measure(ctx context.Context, kind string, binaries Binaries, dir string, plan Plan, log *slog.Logger) (figures Figures, err error) {
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
	cluster, err := discoverylab.Start(binaries.Discovery, dir, replicas, "--fleet", settings)
	if err != nil {
		return Figures{}, err
	}
	defer cluster.Close()
	if _, err := cluster.Leader(readyTimeout, -1); err != nil {
		return Figures{}, err
	}
	servers, err := hollow.Start(ctx, binaries.Fleetlab, hollow.Config{
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
	m := &measurement{ctx: ctx, plan: plan, log: log.With("kind", kind), cluster: cluster, servers: servers}
	if err := m.waitForServers(); err != nil {
		return Figures{}, err
	}
	if kind == Real {
		m.nodes, err = startReal(ctx, m, binaries, dir, cluster.Network.Number)
	} else {
		m.nodes, err = startHollow(ctx, m, binaries, dir)
	}
	if err != nil {
		return Figures{}, err
	}
	defer func() { err = errors.Join(err, m.nodes.close()) }()
	return m.schedule(kind)
}

// Real and Hollow are the kinds of nodes.
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
	case p.Window < time.Second || p.Window > 10*time.Minute:
		return fmt.Errorf("for: %v, must be 1s to 10m", p.Window)
	}
	return nil
}

// measurement is a running measurement of one kind of nodes.
type measurement struct {
	ctx     context.Context
	plan    Plan
	log     *slog.Logger
	cluster *discoverylab.Cluster
	servers *hollow.Process
	nodes   nodes
	next    []uint64 // generation that the next PUT names, by tenant number
}

// tenantName returns the name of the tenant with number i.
func tenantName(i int) string { return fmt.Sprintf("tenant-%03d", i) }

func (m *measurement) waitForServers() error {
	return m.waitFor("every server to be registered", func() (bool, error) {
		usage, err := m.servers.Usage()
		return usage.Registered == m.plan.Servers, err
	})
}

// waitFor polls a condition until it holds. It returns an error after readyTimeout.
func (m *measurement) waitFor(what string, condition func() (bool, error)) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); {
		if ok, err := condition(); ok || err != nil {
			return err
		}
		if err := m.pause(100 * time.Millisecond); err != nil {
			return err
		}
	}
	return fmt.Errorf("timed out after %v waiting for %s", readyTimeout, what)
}

func (m *measurement) pause(d time.Duration) error {
	select {
	case <-m.ctx.Done():
		return m.ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// schedule waits until every node is ready, rolls out the tenants, and measures the two windows.
func (m *measurement) schedule(kind string) (figures Figures, err error) {
	if err := m.waitFor("every node to be ready", m.nodes.ready); err != nil {
		return Figures{}, err
	}
	m.log.Info("ready")
	m.next = make([]uint64, m.plan.Tenants)
	for i := range m.plan.Tenants {
		if _, err := m.rollOut(i); err != nil {
			return Figures{}, err
		}
	}
	m.log.Info("all tenants in force", "tenants", m.plan.Tenants)
	figures.Kind = kind
	if figures.Steady, err = m.window(func(int) error { return nil }); err != nil {
		return figures, err
	}
	m.log.Info("steady window measured")
	changeRunner := &changeRunner{measurement: m}
	if figures.Changing, err = m.window(changeRunner.make); err != nil {
		return figures, err
	}
	m.log.Info("changing window measured")
	return figures, changeRunner.finish(&figures.Changing)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// window lets the nodes settle and then measures for the length of a window. It calls step at every turn; turns come at fixed times.
func (m *measurement) window(step func(turn int) error) (rates Rates, err error) {
	if err := m.pause(settleTime); err != nil {
		return rates, err
	}
	began := time.Now()
	before, err := m.nodes.readCounts()
	if err != nil {
		return rates, err
	}
	replicasCPUBefore := m.replicasCPU()
	samples := 0
	for turn := 0; time.Duration(turn)*turnInterval < m.plan.Window; turn++ {
		if err := m.pause(time.Until(began.Add(time.Duration(turn) * turnInterval))); err != nil {
			return rates, err
		}
		if err := step(turn); err != nil {
			return rates, err
		}
		if turn%samplingTurns != 0 {
			continue
		}
		revisionLag, err := m.nodes.revisionLag()
		if err != nil {
			return rates, err
		}
		rates.RevisionLag += float64(revisionLag)
		samples++
	}
	if err := m.pause(time.Until(began.Add(m.plan.Window))); err != nil {
		return rates, err
	}
	rates.RevisionLag /= float64(max(1, samples))
	after, err := m.nodes.readCounts()
	rates.Seconds = time.Since(began).Seconds()
	nodeSeconds := rates.Seconds * float64(m.plan.Nodes)
	rates.Calls = map[hollow.Call]Traffic{}
	for call, total := range after.calls {
		earlier := before.calls[call]
		rates.Calls[call] = Traffic{Calls: float64(total.Calls-earlier.Calls) / nodeSeconds, BytesIn: float64(total.BytesIn-earlier.BytesIn) / nodeSeconds,
			BytesOut: float64(total.BytesOut-earlier.BytesOut) / nodeSeconds}
	}
	rates.ReportBytes = float64(after.reportBytes-before.reportBytes) / nodeSeconds
	rates.RSSBytes = float64(after.rss) / float64(m.plan.Nodes)
	rates.CPU = (after.cpu - before.cpu).Seconds() / nodeSeconds
	rates.LeaderCPU = (m.replicasCPU() - replicasCPUBefore).Seconds() / rates.Seconds
	return rates, err
}

func (m *measurement) replicasCPU() (total time.Duration) {
	for i := range replicas {
		total += discoverylab.CPUTime(m.cluster.Pid(i))
	}
	return total
}

// rollOut puts a tenant's next generation and waits until the leader knows that every node serves it and the rollout is over. It
// returns the time from just before the PUT until then.
func (m *measurement) rollOut(tenant int) (time.Duration, error) {
	name := tenantName(tenant)
	rate := 10 * m.plan.RequestsPerS * float64(m.plan.Nodes) * (1 + float64(m.next[tenant]%2))
	put := tenantPut{Generation: m.next[tenant], Spec: fleet.Spec{Name: name, Quota: fleet.Quota{Rate: rate, Burst: rate}}}
	began := time.Now()
	code, text, unknown, err := simulated.Call(m.cluster.HTTP, http.MethodPut, "/fleet/v1/tenants/"+name, put)
	if err != nil {
		return 0, err
	}
	if code != http.StatusOK && !unknown {
		return 0, fmt.Errorf("put %s: %d %s", name, code, strings.TrimSpace(text))
	}
	m.next[tenant]++
	for end := began.Add(readyTimeout); time.Now().Before(end); {
		if rolloutSettled, err := m.rolloutSettled(name); err != nil {
			return 0, err
		} else if rolloutSettled {
			return time.Since(began), nil
		}
		if err := m.pause(statusPollInterval); err != nil {
			return 0, err
		}
	}
	return 0, fmt.Errorf("%s: generation %d is not in force after %v", name, m.next[tenant], readyTimeout)
}

// tenantPut is the body of a PUT request for a tenant.
type tenantPut struct {
	Generation uint64     `json:"generation"`
	Spec       fleet.Spec `json:"spec"`
}
