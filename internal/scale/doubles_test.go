package scale

import (
	"context"
	"errors"
	"fmt"
	"math"
	"strings"
	"sync"
	"testing"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/lab/bounds"
	"meadowsill/internal/scale/hollow"
)

// world is a double of a fleet: replicas and hollow processes that cost what a test says, without any process.
type world struct {
	mu         sync.Mutex
	tenants    map[string]uint64 // by name, the generation in force
	nodes      int               // of the present repeat
	alive      int               // doubles that are not closed
	started    int               // in all
	restarts   int
	pid        int // of the replicas; another after they are restarted
	killed     int
	replaced   int
	bearsNodes int                              // that become ready; 0: any number
	conflicts  int                              // how many of the next proposals are refused
	broken     string                           // a call that fails
	hang       bool                             // InForce lasts until the process is closed
	takes      time.Duration                    // from a proposal to in force
	bytes      func(nodes, tenants int) float64 // of a node, each second
	begun      time.Time
}

func newWorld() *world {
	return &world{tenants: map[string]uint64{}, takes: 20 * time.Millisecond, begun: time.Now(),
		bytes: func(int, int) float64 { return 1000 }}
}

// fakePlane is the double of the replicas.
type fakePlane struct{ w *world }

func (w *world) startReplicas(_ context.Context, _ string, _, slots int) (ControlPlane, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.broken == "replicas" {
		return nil, errors.New("no leader\nin 30 s")
	}
	w.tenants, w.nodes = map[string]uint64{}, slots
	w.alive, w.started = w.alive+1, w.started+1
	return &fakePlane{w}, nil
}

func (p *fakePlane) Addresses() []string { return []string{"127.0.0.1:1"} }
func (p *fakePlane) PIDs() []int         { return nil }

func (p *fakePlane) Propose(_ context.Context, generation uint64, spec fleet.Spec) error {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	if p.w.conflicts > 0 && generation > 0 {
		p.w.conflicts--
		return fmt.Errorf("tenant %s: %w", spec.Name, errConflict)
	}
	if p.w.tenants[spec.Name] != generation {
		return fmt.Errorf("tenant %s is at %d, not at %d", spec.Name, p.w.tenants[spec.Name], generation)
	}
	p.w.tenants[spec.Name]++
	return nil
}

func (p *fakePlane) Sample() (Replicas, error) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	since := time.Since(p.w.begun)
	steps := since.Seconds() * 10
	leader := ReplicaSample{PID: p.w.pid, CPU: since / 10, RSSBytes: 1 << 20, Metrics: ReplicaMetrics{Commands: steps,
		Step: Steps{Count: steps, Sum: steps * 0.002, Buckets: []StepBucket{{0.001, 0}, {0.01, steps}}}}}
	follower := ReplicaSample{CPU: since / 100, RSSBytes: 1 << 19}
	return Replicas{Leader: 1, Each: []ReplicaSample{follower, leader, follower}}, nil
}

func (p *fakePlane) Restart(ctx context.Context, down time.Duration) error {
	p.w.mu.Lock()
	p.w.pid++
	p.w.mu.Unlock()
	return pause(ctx, down)
}

func (p *fakePlane) Close() {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	p.w.alive--
}

// fakeHollow is the double of one hollow process.
type fakeHollow struct {
	w      *world
	config hollow.Config
	began  time.Time
	closed chan struct{}
	once   sync.Once
}

func (w *world) startHollow(_ context.Context, config hollow.Config) (Hollow, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.broken == "hollow" && config.Nodes > 0 {
		return nil, errors.New("no such program")
	}
	w.alive, w.started = w.alive+1, w.started+1
	return &fakeHollow{w: w, config: config, began: time.Now(), closed: make(chan struct{})}, nil
}

func (h *fakeHollow) Usage() (hollow.Usage, error) {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	s := time.Since(h.began).Seconds()
	ready := h.config.Nodes
	if h.w.broken == "ready" || h.w.bearsNodes > 0 && h.w.nodes > h.w.bearsNodes {
		ready = 0
	}
	read := h.w.bytes(h.w.nodes, len(h.w.tenants)) * s * float64(h.config.Nodes)
	return hollow.Usage{Ready: ready, Registered: h.config.Servers, CPU: time.Duration(s * 1e6 * float64(h.config.Nodes+h.config.Servers)),
		HeapBytes: uint64(1e6 * h.config.Nodes), Items: len(h.w.tenants) * h.config.Nodes, ReportBytes: uint64(read),
		Calls: map[hollow.Call]hollow.Traffic{hollow.CallReport: {Calls: uint64(s * float64(h.config.Nodes)), BytesOut: uint64(read)},
			hollow.CallRegister: {Calls: uint64(s * float64(h.config.Servers)), BytesOut: uint64(s * 100 * float64(h.config.Servers))}}}, nil
}

func (h *fakeHollow) InForce(tenant, service string, generation uint64, _ time.Duration) (hollow.InForce, error) {
	h.w.mu.Lock()
	takes, hang, has := h.w.takes, h.w.hang, h.w.tenants[tenant]
	h.w.mu.Unlock()
	if hang {
		<-h.closed
		return hollow.InForce{}, errors.New("the process has ended")
	}
	if has < generation {
		return hollow.InForce{}, fmt.Errorf("%s is at %d, asked for %d", tenant, has, generation)
	}
	if scoped := h.config.PerNode > 0; scoped != strings.HasPrefix(service, "svc-") {
		return hollow.InForce{}, fmt.Errorf("%s is of service %q", tenant, service)
	}
	time.Sleep(takes)
	now := time.Now()
	f := hollow.InForce{Nodes: h.config.Nodes, Have: h.config.Nodes, Last: now, Worst: fmt.Sprintf("h%05d", h.config.FirstNode)}
	for range h.config.Nodes {
		f.Times = append(f.Times, now.UnixNano())
	}
	return f, nil
}

func (h *fakeHollow) Kill(first, count int) error {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	h.w.killed += count
	return h.has(first, count)
}

func (h *fakeHollow) Start(first, count int) error {
	time.Sleep(10 * time.Millisecond)
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	h.w.restarts += count
	return h.has(first, count)
}

// has refuses nodes of another process.
func (h *fakeHollow) has(first, count int) error {
	if count < 1 || first < h.config.FirstNode || first+count > h.config.FirstNode+h.config.Nodes {
		return fmt.Errorf("nodes %d to %d are not all of this process", first, first+count-1)
	}
	return nil
}

func (h *fakeHollow) Replace(first, _ int) error {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	h.w.replaced++
	if first < h.config.FirstServer || first >= h.config.FirstServer+h.config.Servers {
		return fmt.Errorf("server %d is not of this process", first)
	}
	return nil
}

func (h *fakeHollow) PID() int { return 0 }

func (h *fakeHollow) Close() error {
	h.once.Do(func() {
		h.w.mu.Lock()
		defer h.w.mu.Unlock()
		h.w.alive--
		close(h.closed)
	})
	return nil
}

// play runs a sweep on the double.
func (w *world) play(t *testing.T, ctx context.Context, text string) *Results {
	t.Helper()
	r, err := Run(ctx, planOf(t, text), w.options(t))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func (w *world) options(t *testing.T) Options {
	return Options{Dir: t.TempDir(), Limits: bounds.Limits{MemoryBytes: math.MaxInt64, Processes: 300, Descriptors: 1 << 20, Ports: 1 << 20},
		StartReplicas: w.startReplicas, StartHollow: w.startHollow}
}
