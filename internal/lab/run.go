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

// Records is all that a run keeps: what went in, what happened, and what the checker found.
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
	Fleet     *invariants.Fleet      `json:"fleet"` // what is known of zones, and of the control plane where there is one
	Onboarded []Onboarding           `json:"onboarded"`
	Sightings []invariants.Sighting  `json:"sightings"` // what members thought of each other
	Silenced  []Silenced             `json:"silenced"`
	Bytes     map[string]int64       `json:"bytes"` // through the relays, both ways, by kind of link
	Breaches  []invariants.Breach    `json:"breaches"`
	CPU       CPU                    `json:"cpu"`
	NoFile    [2]uint64              `json:"nofile"` // soft and hard limit on descriptors the lab ran with
	Links     int                    `json:"links"`
}

// Done is one event as it was carried out.
type Done struct {
	At     time.Duration `json:"at"`
	Do     string        `json:"do"`
	Detail string        `json:"detail"`
}

// NodeInfo is one node process (or its several incarnations).
type NodeInfo struct {
	Name    string          `json:"name"`
	Zone    string          `json:"zone"`
	Listen  string          `json:"listen"`
	Pids    []int           `json:"pids"`
	ReadyAt []time.Duration `json:"ready_at"`
	NeverUp int             `json:"never_up"` // lives that never answered /health/ready in time
}

// ServerInfo is one stub app server.
type ServerInfo struct {
	ID     string `json:"id"`
	Zone   string `json:"zone"`
	Served int64  `json:"served"`
}

// CPU is seconds of CPU, the lab's own and that of every process it ended.
type CPU struct {
	LabS      float64 `json:"lab_s"`
	NodesS    float64 `json:"nodes_s"`
	AgentsS   float64 `json:"agents_s"`
	ReplicasS float64 `json:"replicas_s"`
}

// Onboarding is how a tenant's generation came to the nodes, from its PUT's answer on.
type Onboarding struct {
	Tenant     string                   `json:"tenant"`
	Generation uint64                   `json:"generation"`
	At         time.Duration            `json:"at"`
	Applied    map[string]time.Duration `json:"applied"` // by node
	All        time.Duration            `json:"all"`     // every present node; 0 if it never was
}

// Options are how a run is placed.
type Options struct {
	Dir string // the run's directory: node logs, records, report
	Log *slog.Logger
}

type fleet struct {
	s        *Scenario
	opt      Options
	rec      *stub.Recorder
	place    *place
	net      faults.Net
	disc     lister
	cluster  *discoverylab.Cluster // where the run is on discovery
	servers  []*stub.AppServer
	nodes    []*node
	agents   []*process
	members  []*process
	mu       sync.Mutex
	recs     Records
	open     map[string]time.Duration // exemptions not yet closed, by what opened them
	cpu      atomic.Int64             // node CPU in ns, of processes waited for
	agentCPU atomic.Int64             // the same of agents
	wg       sync.WaitGroup
	over     atomic.Bool // the run is: nothing more is watched
}

// Run carries out a scenario and gives its records, checked. The fleet is ended by the time it returns, and
// every child process with it, also when ctx is cancelled.
func Run(ctx context.Context, s *Scenario, opt Options) (*Records, error) {
	f, err := newFleet(s, opt)
	if err != nil {
		return nil, err
	}
	defer f.end()
	if err := f.start(); err != nil {
		return nil, err
	}
	opt.Log.Info("fleet up", "nodes", len(f.nodes), "servers", len(f.servers), "links", f.recs.Links)
	watched, stop := context.WithCancel(ctx)
	defer stop()
	if s.Fleet.Control {
		f.watching(watched)
	}
	f.watchViews(watched)
	var result load.Result
	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		if stub.Sleep(ctx, seconds(s.Load.FromS)) {
			result = load.Run(ctx, f.loadSpec(), f, f.rec)
		}
	}()
	f.carryOutEvents(ctx)
	<-loadDone
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	stub.Sleep(ctx, seconds(s.DurationS)-f.rec.Since())
	end := f.rec.Since()
	stop()
	f.over.Store(true)
	f.end()
	f.endExemptions(end)
	f.record(result)
	f.recs.Breaches = f.check()
	return &f.recs, nil
}

// newFleet makes the fleet of a run, unless the machine is too small for it. Nothing of it runs yet.
func newFleet(s *Scenario, opt Options) (*fleet, error) {
	if err := os.MkdirAll(filepath.Join(opt.Dir, "nodes"), 0o755); err != nil {
		return nil, err
	}
	if _, err := os.Stat(s.Fleet.NodeBinary); err != nil {
		return nil, fmt.Errorf("node binary: %w (build it with the README's line)", err)
	}
	f := &fleet{s: s, opt: opt, rec: stub.NewRecorder(), open: map[string]time.Duration{}}
	f.recs.Scenario = s
	f.recs.Fleet = &invariants.Fleet{ServerZone: map[string]string{}, Faulted: map[string]time.Duration{}, Settings: map[string]bool{}}
	f.recs.NoFile = raiseNoFile()
	machine, err := bounds.ReadMachine()
	if err != nil {
		return nil, err
	}
	if err := s.checkNeeds(bounds.LimitsOf(machine)); err != nil {
		return nil, err
	}
	if f.place, err = takePlace(); err != nil {
		return nil, err
	}
	return f, nil
}

// carryOutEvents carries out the timeline, each event at its time, until ctx ends.
func (f *fleet) carryOutEvents(ctx context.Context) {
	for _, e := range f.s.Events {
		if !stub.Sleep(ctx, seconds(e.AtS)-f.rec.Since()) {
			return
		}
		detail, err := f.do(e)
		if err != nil {
			detail = "error: " + err.Error()
		}
		f.opt.Log.Info("event", "do", e.Do, "at_s", f.rec.Since().Seconds(), "detail", detail)
		f.mu.Lock()
		f.recs.Timeline = append(f.recs.Timeline, Done{f.rec.Since(), e.Do, detail})
		f.mu.Unlock()
	}
}

// record puts into the records what is known once the fleet has ended.
func (f *fleet) record(result load.Result) {
	r := &f.recs
	r.Bytes = f.bytes()
	r.Sent = result.Sent
	r.Skipped = result.Skipped
	r.Attempts = f.rec.Attempts()
	r.Falls = f.rec.Falls()
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
		NodesS:  time.Duration(f.cpu.Load()).Seconds(),
		AgentsS: time.Duration(f.agentCPU.Load()).Seconds(),
	}
	if f.cluster != nil {
		r.CPU.ReplicasS = f.cluster.CPU().Seconds()
	}
}

// check returns the breaches of the hard rules in the records.
func (f *fleet) check() []invariants.Breach {
	fragile := map[string]bool{}
	for _, c := range f.classes() {
		fragile[c.name] = c.fragile
	}
	controlled := f.fleetRun()
	if !f.s.Fleet.Control {
		controlled = nil
	}
	r := &f.recs
	return invariants.Check(invariants.Run{
		Sent:       r.Sent,
		Attempts:   r.Attempts,
		Changes:    r.Changes,
		Exemptions: r.Excuses,
		Falls:      r.Falls,
		Fleet:      controlled,
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
