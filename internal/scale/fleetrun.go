package scale

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"time"
	"unicode"

	"github.com/HdrHistogram/hdrhistogram-go"

	"meadowsill/internal/scale/hollow"
)

// fleetRun starts, measures and stops the processes of one repeat: replicas, hollow nodes and hollow app servers.
type fleetRun struct {
	plan    *Plan
	load    Load
	options Options
	dir     string
	seed    uint64

	plane   ControlPlane
	nodes   *group
	servers *group

	closing sync.Mutex // held while processes are closed, so that a second close returns only after all have ended

	mu           sync.Mutex
	started      []Hollow     // hollow processes that close has to close
	runningPlane ControlPlane // replicas that close has to close; nil: none
}

// pollInterval is the interval between two checks whether nodes and servers are up. Each check makes every process run its garbage
// collector.
const pollInterval = 500 * time.Millisecond

// measure starts all processes, waits until they are up and have settled, carries out the schedule and returns the measured values.
func (f *fleetRun) measure(ctx context.Context) (Repeat, error) {
	tenants, err := f.startReplicas(ctx)
	if err != nil {
		return Repeat{}, err
	}
	began := time.Now()
	if err := f.startHollow(ctx); err != nil {
		return Repeat{}, err
	}
	up, err := f.awaitReady(ctx)
	if err != nil {
		return Repeat{}, err
	}
	startup := time.Since(began)
	if err := pause(ctx, seconds(f.plan.SettleS)); err != nil {
		return Repeat{}, err
	}
	w := &window{tenants: tenants, plane: f.plane, nodes: f.nodes, servers: f.servers, seed: f.seed, readyS: f.plan.ReadyS, measured: newOutcome()}
	before, err := f.sample()
	if err != nil {
		return Repeat{}, err
	}
	if err := w.run(ctx, f.load, f.plan.Events, seconds(f.plan.MeasureS)); err != nil {
		return Repeat{}, err
	}
	after, err := f.sample()
	if err != nil {
		return Repeat{}, err
	}
	values := valuesOf(f.load, before, after, w.measured)
	values[StartupTime] = startup.Seconds()
	values[StartupBytes] = float64(up.Calls[hollow.CallIntent].BytesIn+up.Calls[hollow.CallList].BytesIn) / float64(f.load.Nodes)
	return Repeat{
		Values:    values,
		WindowS:   after.at.Sub(before.at).Seconds(),
		Changes:   w.measured.changes,
		Late:      w.measured.late,
		Refused:   w.measured.refused,
		Restarts:  w.measured.restarts,
		Replaced:  w.measured.replaced,
		WorstNode: w.measured.steady.worst,
		Histogram: encodeHistogram(w.measured.steady.took),
	}, nil
}

// startReplicas starts the replicas and proposes all tenants. It does so before there are nodes, when a tenant comes into force at
// once.
func (f *fleetRun) startReplicas(ctx context.Context) (*tenantSet, error) {
	plane, err := f.options.StartReplicas(ctx, f.dir, f.plan.Replicas, f.load.Nodes)
	if err != nil {
		return nil, fmt.Errorf("replicas: %w", err)
	}
	f.plane = plane
	f.mu.Lock()
	f.runningPlane = plane
	f.mu.Unlock()
	tenants := &tenantSet{load: f.load, plane: plane, generations: make([]uint64, f.load.Tenants)}
	if err := tenants.putAll(ctx); err != nil {
		return nil, fmt.Errorf("tenants: %w", err)
	}
	return tenants, nil
}

// startHollow starts the hollow processes of the servers, then those of the nodes.
func (f *fleetRun) startHollow(ctx context.Context) (err error) {
	config := hollow.Config{
		Replicas:      f.plane.Addresses(),
		Services:      f.load.Services,
		PerNode:       f.load.PerNode,
		Zones:         f.plan.Zones,
		ActiveTenants: f.plan.Hollow.ActiveTenants,
		RequestsPerS:  f.plan.Hollow.RequestsPerS,
		LeaseTTLMS:    f.plan.Hollow.LeaseTTLMS,
	}
	started := func(h Hollow) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.started = append(f.started, h)
	}
	servers := starter{
		start:      f.options.StartHollow,
		config:     config,
		perProcess: f.plan.Hollow.ServersPerProcess,
		members:    f.load.Servers,
		started:    started,
		configure: func(c *hollow.Config, process, first, count int) {
			c.FirstServer = first
			c.Servers = count
			c.Seed = f.seed*1000 + uint64(process)
			c.Dir = filepath.Join(f.dir, fmt.Sprintf("servers-%03d", process))
		},
	}
	if f.servers, err = servers.run(ctx); err != nil {
		return err
	}
	nodes := starter{
		start:      f.options.StartHollow,
		config:     config,
		perProcess: f.plan.Hollow.NodesPerProcess,
		members:    f.load.Nodes,
		started:    started,
		configure: func(c *hollow.Config, process, first, count int) {
			c.FirstNode = first
			c.Nodes = count
			c.Seed = f.seed*1000 + 500 + uint64(process)
			c.Dir = filepath.Join(f.dir, fmt.Sprintf("nodes-%03d", process))
		},
	}
	f.nodes, err = nodes.run(ctx)
	return err
}

// awaitReady waits until every node is ready and every server is registered, and returns the usage of the nodes at that time.
func (f *fleetRun) awaitReady(ctx context.Context) (hollow.Usage, error) {
	end := time.Now().Add(seconds(f.plan.ReadyS))
	for {
		nodes, err := f.nodes.usage()
		if err != nil {
			return nodes, err
		}
		servers, err := f.servers.usage()
		if err != nil {
			return nodes, err
		}
		if nodes.Ready >= f.load.Nodes && servers.Registered >= f.load.Servers {
			return nodes, nil
		}
		if time.Now().After(end) {
			return nodes, fmt.Errorf("after %v s %d of %d nodes are ready, %d of %d servers registered", f.plan.ReadyS,
				nodes.Ready, f.load.Nodes, servers.Registered, f.load.Servers)
		}
		if err := pause(ctx, pollInterval); err != nil {
			return nodes, err
		}
	}
}

// sample reads the resource use and counters of every role.
func (f *fleetRun) sample() (s sample, err error) {
	if s.nodes, err = f.nodes.usage(); err != nil {
		return s, err
	}
	if s.servers, err = f.servers.usage(); err != nil {
		return s, err
	}
	s.at = time.Now()
	s.replicas, err = f.plane.Sample()
	return s, err
}

// pids returns the ids of the processes that are running.
func (f *fleetRun) pids() []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []int
	if f.runningPlane != nil {
		out = f.runningPlane.PIDs()
	}
	for _, h := range f.started {
		out = append(out, h.PID())
	}
	return out
}

// close ends every process that was started so far. It may be called repeatedly and concurrently.
func (f *fleetRun) close() {
	f.closing.Lock()
	defer f.closing.Unlock()
	f.mu.Lock()
	started, plane := f.started, f.runningPlane
	f.started, f.runningPlane = nil, nil
	f.mu.Unlock()
	(&group{processes: started}).close()
	if plane != nil {
		plane.Close()
	}
}

// encodeHistogram encodes a histogram in the exchange format of the HdrHistogram libraries; "" if the histogram is empty.
func encodeHistogram(h *hdrhistogram.Histogram) string {
	if h.TotalCount() == 0 {
		return ""
	}
	raw, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return ""
	}
	return string(raw) // Encode returns base64
}

// summary describes a repeat for a line of progress output.
func summary(r Repeat) string {
	if r.Failed != "" {
		return ", failed: " + r.Failed
	}
	return fmt.Sprintf(", %d changes, p99 %.3f s, leader %.2f cores, a node %.0f bytes/s, load %.1f", r.Changes, r.Values[ChangeP99],
		r.Values[LeaderCPU], r.Values[NodeBytes], r.MachineLoad)
}

// oneLine replaces control characters, such as line breaks, by spaces.
func oneLine(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return ' '
		}
		return r
	}, s)
}
