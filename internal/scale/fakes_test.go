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

// fakeFleet is the state of fake replicas and hollow processes. They run within the test, without any process, and report costs that
// the test sets.
type fakeFleet struct {
	mu            sync.Mutex
	tenants       map[string]uint64 // generation in force, keyed by name
	nodes         int               // of the current repeat
	running       int               // fakes that are not closed
	started       int               // fakes started so far
	restarts      int
	pid           int // of the replicas; changes when they are restarted
	killed        int
	replaced      int
	maxReadyNodes int                              // with more nodes than this, none becomes ready; 0: no limit
	conflicts     int                              // number of next proposals that fail with errConflict
	failingCall   string                           // call that fails: replicas, hollow or ready
	hangs         bool                             // InForce blocks until the process is closed
	changeDelay   time.Duration                    // how long InForce takes
	bytesPerS     func(nodes, tenants int) float64 // sent by a node
	startedAt     time.Time
}

func newFakeFleet() *fakeFleet {
	return &fakeFleet{tenants: map[string]uint64{}, changeDelay: 20 * time.Millisecond, startedAt: time.Now(),
		bytesPerS: func(int, int) float64 { return 1000 }}
}

// fakePlane is a fake ControlPlane.
type fakePlane struct{ fake *fakeFleet }

func (fake *fakeFleet) startReplicas(_ context.Context, _ string, _, slots int) (ControlPlane, error) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	if fake.failingCall == "replicas" {
		return nil, errors.New("no leader\nin 30 s")
	}
	fake.tenants, fake.nodes = map[string]uint64{}, slots
	fake.running, fake.started = fake.running+1, fake.started+1
	return &fakePlane{fake}, nil
}

func (p *fakePlane) Addresses() []string { return []string{"127.0.0.1:1"} }
func (p *fakePlane) PIDs() []int         { return nil }

func (p *fakePlane) Propose(_ context.Context, generation uint64, spec fleet.Spec) error {
	p.fake.mu.Lock()
	defer p.fake.mu.Unlock()
	if p.fake.conflicts > 0 && generation > 0 {
		p.fake.conflicts--
		return fmt.Errorf("tenant %s: %w", spec.Name, errConflict)
	}
	if p.fake.tenants[spec.Name] != generation {
		return fmt.Errorf("tenant %s is at %d, not at %d", spec.Name, p.fake.tenants[spec.Name], generation)
	}
	p.fake.tenants[spec.Name]++
	return nil
}

func (p *fakePlane) Sample() (Replicas, error) {
	p.fake.mu.Lock()
	defer p.fake.mu.Unlock()
	since := time.Since(p.fake.startedAt)
	steps := since.Seconds() * 10
	leader := ReplicaSample{PID: p.fake.pid, CPU: since / 10, RSSBytes: 1 << 20, Metrics: ReplicaMetrics{Commands: steps,
		Step: Steps{Count: steps, Sum: steps * 0.002, Buckets: []StepBucket{{0.001, 0}, {0.01, steps}}}}}
	follower := ReplicaSample{CPU: since / 100, RSSBytes: 1 << 19}
	return Replicas{Leader: 1, Each: []ReplicaSample{follower, leader, follower}}, nil
}

func (p *fakePlane) Restart(ctx context.Context, down time.Duration) error {
	p.fake.mu.Lock()
	p.fake.pid++
	p.fake.mu.Unlock()
	return pause(ctx, down)
}

func (p *fakePlane) Close() {
	p.fake.mu.Lock()
	defer p.fake.mu.Unlock()
	p.fake.running--
}

// fakeHollow is a fake of one hollow process.
type fakeHollow struct {
	fake   *fakeFleet
	config hollow.Config
	began  time.Time
	closed chan struct{}
	once   sync.Once
}

func (fake *fakeFleet) startHollow(_ context.Context, config hollow.Config) (Hollow, error) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	if fake.failingCall == "hollow" && config.Nodes > 0 {
		return nil, errors.New("no such program")
	}
	fake.running, fake.started = fake.running+1, fake.started+1
	return &fakeHollow{fake: fake, config: config, began: time.Now(), closed: make(chan struct{})}, nil
}

func (h *fakeHollow) Usage() (hollow.Usage, error) {
	h.fake.mu.Lock()
	defer h.fake.mu.Unlock()
	s := time.Since(h.began).Seconds()
	ready := h.config.Nodes
	if h.fake.failingCall == "ready" || h.fake.maxReadyNodes > 0 && h.fake.nodes > h.fake.maxReadyNodes {
		ready = 0
	}
	read := h.fake.bytesPerS(h.fake.nodes, len(h.fake.tenants)) * s * float64(h.config.Nodes)
	return hollow.Usage{Ready: ready, Registered: h.config.Servers, CPU: time.Duration(s * 1e6 * float64(h.config.Nodes+h.config.Servers)),
		HeapBytes: uint64(1e6 * h.config.Nodes), Items: len(h.fake.tenants) * h.config.Nodes, ReportBytes: uint64(read),
		Calls: map[hollow.Call]hollow.Traffic{hollow.CallReport: {Calls: uint64(s * float64(h.config.Nodes)), BytesOut: uint64(read)},
			hollow.CallRegister: {Calls: uint64(s * float64(h.config.Servers)), BytesOut: uint64(s * 100 * float64(h.config.Servers))}}}, nil
}

func (h *fakeHollow) InForce(tenant, service string, generation uint64, _ time.Duration) (hollow.InForce, error) {
	h.fake.mu.Lock()
	changeDelay, hangs, has := h.fake.changeDelay, h.fake.hangs, h.fake.tenants[tenant]
	h.fake.mu.Unlock()
	if hangs {
		<-h.closed
		return hollow.InForce{}, errors.New("the process has ended")
	}
	if has < generation {
		return hollow.InForce{}, fmt.Errorf("%s is at %d, asked for %d", tenant, has, generation)
	}
	if scoped := h.config.PerNode > 0; scoped != strings.HasPrefix(service, "svc-") {
		return hollow.InForce{}, fmt.Errorf("%s has service %q", tenant, service)
	}
	time.Sleep(changeDelay)
	now := time.Now()
	f := hollow.InForce{Nodes: h.config.Nodes, Have: h.config.Nodes, Last: now, Worst: fmt.Sprintf("h%05d", h.config.FirstNode)}
	for range h.config.Nodes {
		f.Times = append(f.Times, now.UnixNano())
	}
	return f, nil
}

func (h *fakeHollow) Kill(first, count int) error {
	h.fake.mu.Lock()
	defer h.fake.mu.Unlock()
	h.fake.killed += count
	return h.checkNodes(first, count)
}

func (h *fakeHollow) Start(first, count int) error {
	time.Sleep(10 * time.Millisecond)
	h.fake.mu.Lock()
	defer h.fake.mu.Unlock()
	h.fake.restarts += count
	return h.checkNodes(first, count)
}

// checkNodes returns an error if not all of the nodes belong to this process.
func (h *fakeHollow) checkNodes(first, count int) error {
	if count < 1 || first < h.config.FirstNode || first+count > h.config.FirstNode+h.config.Nodes {
		return fmt.Errorf("nodes %d to %d do not all belong to this process", first, first+count-1)
	}
	return nil
}

func (h *fakeHollow) Replace(first, _ int) error {
	h.fake.mu.Lock()
	defer h.fake.mu.Unlock()
	h.fake.replaced++
	if first < h.config.FirstServer || first >= h.config.FirstServer+h.config.Servers {
		return fmt.Errorf("server %d does not belong to this process", first)
	}
	return nil
}

func (h *fakeHollow) PID() int { return 0 }

func (h *fakeHollow) Close() error {
	h.once.Do(func() {
		h.fake.mu.Lock()
		defer h.fake.mu.Unlock()
		h.fake.running--
		close(h.closed)
	})
	return nil
}

// runSweep runs a sweep on the fake fleet.
func (fake *fakeFleet) runSweep(t *testing.T, ctx context.Context, text string) *Results {
	t.Helper()
	r, err := Run(ctx, mustParsePlan(t, text), fake.options(t))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func (fake *fakeFleet) options(t *testing.T) Options {
	return Options{Dir: t.TempDir(), Limits: bounds.Limits{MemoryBytes: math.MaxInt64, Processes: 300, Descriptors: 1 << 20, Ports: 1 << 20},
		StartReplicas: fake.startReplicas, StartHollow: fake.startHollow}
}
