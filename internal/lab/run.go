package lab

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"meadowsill/internal/invariants"
	"meadowsill/internal/lab/bounds"
	"meadowsill/internal/lab/discoverylab"
	"meadowsill/internal/lab/faults"
	"meadowsill/internal/lab/load"
	"meadowsill/internal/lab/stub"
)

// Records is everything that a run records: its scenario, what happened, and the breaches that the checker found.
type Records struct {
	Scenario  *Scenario              `json:"scenario"`
	Sent      []invariants.Sent      `json:"sent"`
	Attempts  []invariants.Attempt   `json:"attempts"`
	Changes   []invariants.Change    `json:"changes"`
	Excuses   []invariants.Exemption `json:"excuses"`
	Falls     []invariants.Fall      `json:"falls"` // overloads of warming app servers
	Timeline  []Done                 `json:"timeline"`
	Nodes     []NodeInfo             `json:"nodes"`
	Servers   []ServerInfo           `json:"servers"`
	Skipped   int                    `json:"skipped"`
	Fleet     *invariants.Fleet      `json:"fleet"` // zones, and the control plane if the run has one
	Onboarded []Onboarding           `json:"onboarded"`
	Sightings []invariants.Sighting  `json:"sightings"` // the states in which members saw each other
	Silenced  []Silenced             `json:"silenced"`
	Bytes     map[string]int64       `json:"bytes"` // through the relays, both directions together, by kind of link
	Breaches  []invariants.Breach    `json:"breaches"`
	CPU       CPU                    `json:"cpu"`
	NoFile    [2]uint64              `json:"nofile"` // the lab's soft and hard limits on descriptors
	Links     int                    `json:"links"`
}

// Done records one event of the timeline that was carried out.
type Done struct {
	At     time.Duration `json:"at"`
	Do     string        `json:"do"`
	Detail string        `json:"detail"`
}

// NodeInfo describes a node and its incarnations.
type NodeInfo struct {
	Name    string          `json:"name"`
	Zone    string          `json:"zone"`
	Listen  string          `json:"listen"`
	Pids    []int           `json:"pids"`
	ReadyAt []time.Duration `json:"ready_at"`
	NeverUp int             `json:"never_up"` // incarnations that did not answer /health/ready in time
}

// ServerInfo describes one stub app server.
type ServerInfo struct {
	ID     string `json:"id"`
	Zone   string `json:"zone"`
	Served int64  `json:"served"`
}

// CPU is the CPU time, in seconds, of the lab's own process and of the processes that the lab started and that have ended.
type CPU struct {
	LabS      float64 `json:"lab_s"`
	NodesS    float64 `json:"nodes_s"`
	AgentsS   float64 `json:"agents_s"`
	ReplicasS float64 `json:"replicas_s"`
}

// Onboarding records how long the nodes took to apply a tenant's generation. Its durations count from the answer to the PUT of
// that generation.
type Onboarding struct {
	Tenant     string                   `json:"tenant"`
	Generation uint64                   `json:"generation"`
	At         time.Duration            `json:"at"`
	Applied    map[string]time.Duration `json:"applied"` // by node
	All        time.Duration            `json:"all"`     // until every present node had applied it; 0 if that never happened
}

// Options are the parts of a run that its scenario does not set.
type Options struct {
	Dir string // the run's directory, for node logs, records and the report
	Log *slog.Logger
}

// fleet is one run: its processes, stubs, links and records.
type fleet struct {
	s              *Scenario
	opt            Options
	recorder       *stub.Recorder
	addressBlock   *addressBlock
	net            faults.Net
	discovery      discoveryService
	cluster        *discoverylab.Cluster // discovery's replicas; nil with the stub
	servers        []*stub.AppServer
	nodes          []*node
	agents         []*process
	members        []*process
	mu             sync.Mutex
	records        Records
	openExemptions map[string]time.Duration // by key, when each open exemption was opened
	nodeCPU        atomic.Int64             // CPU time of node processes that have ended, in ns
	agentCPU       atomic.Int64             // CPU time of agent and member processes that have ended, in ns
	wg             sync.WaitGroup
	finished       atomic.Bool // set when the run is over: nothing is watched any more
}

// Run carries out a scenario, checks its records and returns them. By the time Run returns, the fleet and every child process
// have ended, also when ctx is cancelled.
func Run(ctx context.Context, s *Scenario, opt Options) (*Records, error) {
	f, err := newFleet(s, opt)
	if err != nil {
		return nil, err
	}
	defer f.end()
	if err := f.start(); err != nil {
		return nil, err
	}
	opt.Log.Info("fleet up", "nodes", len(f.nodes), "servers", len(f.servers), "links", f.records.Links)
	watched, stop := context.WithCancel(ctx)
	defer stop()
	if s.Fleet.Control {
		f.watchControlPlane(watched)
	}
	f.watchViews(watched)
	var result load.Result
	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		if stub.Sleep(ctx, seconds(s.Load.FromS)) {
			result = load.Run(ctx, f.loadSpec(), f, f.recorder)
		}
	}()
	f.carryOutEvents(ctx)
	<-loadDone
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	stub.Sleep(ctx, seconds(s.DurationS)-f.recorder.Since())
	end := f.recorder.Since()
	stop()
	f.finished.Store(true)
	f.end()
	f.endExemptions(end)
	f.recordResult(result)
	f.records.Breaches = f.check()
	return &f.records, nil
}

// newFleet creates the fleet of a run and starts nothing. It returns an error if the machine is too small for the fleet.
func newFleet(s *Scenario, opt Options) (*fleet, error) {
	if err := os.MkdirAll(filepath.Join(opt.Dir, "nodes"), 0o755); err != nil {
		return nil, err
	}
	if _, err := os.Stat(s.Fleet.NodeBinary); err != nil {
		return nil, fmt.Errorf("node binary: %w (build it with the README's line)", err)
	}
	f := &fleet{s: s, opt: opt, recorder: stub.NewRecorder(), openExemptions: map[string]time.Duration{}}
	f.records.Scenario = s
	f.records.Fleet = &invariants.Fleet{ServerZone: map[string]string{}, Faulted: map[string]time.Duration{}, Settings: map[string]bool{}}
	f.records.NoFile = raiseNoFile()
	machine, err := bounds.ReadMachine()
	if err != nil {
		return nil, err
	}
	if err := s.checkNeeds(bounds.LimitsOf(machine)); err != nil {
		return nil, err
	}
	if f.addressBlock, err = reserveAddressBlock(); err != nil {
		return nil, err
	}
	return f, nil
}

// carryOutEvents carries out the events of the timeline, each at its time, until ctx ends.
func (f *fleet) carryOutEvents(ctx context.Context) {
	for _, e := range f.s.Events {
		if !stub.Sleep(ctx, seconds(e.AtS)-f.recorder.Since()) {
			return
		}
		detail, err := f.carryOut(e)
		if err != nil {
			detail = "error: " + err.Error()
		}
		f.opt.Log.Info("event", "do", e.Do, "at_s", f.recorder.Since().Seconds(), "detail", detail)
		f.mu.Lock()
		f.records.Timeline = append(f.records.Timeline, Done{f.recorder.Since(), e.Do, detail})
		f.mu.Unlock()
	}
}

// recordResult adds to the records what is known only once the fleet has ended.
func (f *fleet) recordResult(result load.Result) {
	r := &f.records
	r.Bytes = f.bytesByLinkKind()
	r.Sent = result.Sent
	r.Skipped = result.Skipped
	r.Attempts = f.recorder.Attempts()
	r.Falls = f.recorder.Falls()
	for _, n := range f.nodes {
		n.info.Pids = n.pids
		r.Nodes = append(r.Nodes, *n.info)
	}
	for _, server := range f.servers {
		r.Servers = append(r.Servers, ServerInfo{server.Spec.ID, server.Spec.Zone, server.Served()})
	}
	var self syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &self)
	r.CPU = CPU{
		LabS:    cpuSeconds(self),
		NodesS:  time.Duration(f.nodeCPU.Load()).Seconds(),
		AgentsS: time.Duration(f.agentCPU.Load()).Seconds(),
	}
	if f.cluster != nil {
		r.CPU.ReplicasS = f.cluster.CPU().Seconds()
	}
}

// check checks the records against the hard rules and returns the breaches.
func (f *fleet) check() []invariants.Breach {
	fragile := map[string]bool{}
	for _, c := range f.classes() {
		fragile[c.name] = c.fragile
	}
	fleetRecords := f.completeFleetRecords()
	if !f.s.Fleet.Control {
		fleetRecords = nil
	}
	r := &f.records
	return invariants.Check(invariants.Run{
		Sent:       r.Sent,
		Attempts:   r.Attempts,
		Changes:    r.Changes,
		Exemptions: r.Excuses,
		Falls:      r.Falls,
		Fleet:      fleetRecords,
		Sightings:  r.Sightings,
		Fragile:    fragile,
		Grace:      time.Duration(f.setting("invariants", "drain_grace_ns")),
		Slack:      time.Second,
		End:        seconds(f.s.Load.FromS + f.s.Load.ForS),
	})
}

func cpuSeconds(u syscall.Rusage) float64 {
	return float64(u.Utime.Sec+u.Stime.Sec) + float64(u.Utime.Usec+u.Stime.Usec)/1e6
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
