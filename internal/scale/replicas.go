package scale

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/lab/bounds"
	"meadowsill/internal/lab/discoverylab"
)

// ControlPlane is the set of replicas of a run.
type ControlPlane interface {
	Addresses() []string // HTTP addresses of the replicas
	PIDs() []int
	Propose(ctx context.Context, generation uint64, spec fleet.Spec) error // proposes the generation after the given one
	Restart(ctx context.Context, down time.Duration) error                 // kills all replicas at once, starts them after down, awaits a leader
	Sample() (Replicas, error)
	Close()
}

// Replicas are the samples of all replicas at one moment.
type Replicas struct {
	Leader int // index of the leader
	Each   []ReplicaSample
}

// ReplicaSample holds the resource use and counters of one replica since its start.
type ReplicaSample struct {
	PID           int
	CPU           time.Duration
	RSSBytes      uint64
	RaftBytes     uint64 // sent and received over Raft links
	LogBytes      uint64 // current size of the log file
	SnapshotBytes uint64 // size of the newest snapshot
	WrittenBytes  uint64 // written to disk
	Metrics       ReplicaMetrics
}

// StartReplicas starts the replicas of one run, for at most slots nodes, and keeps their data under dir.
type StartReplicas func(ctx context.Context, dir string, replicas, slots int) (ControlPlane, error)

// leaderTimeout is how long to wait for a leader.
const leaderTimeout = 30 * time.Second

// DiscoveryReplicas returns a StartReplicas that runs processes of the given discovery binary.
func DiscoveryReplicas(binary string) StartReplicas {
	return func(ctx context.Context, dir string, replicas, slots int) (ControlPlane, error) {
		settings := filepath.Join(dir, "fleet.toml")
		if err := os.WriteFile(settings, fmt.Appendf(nil, "slots = %d\n", slots), 0o644); err != nil {
			return nil, err
		}
		cluster, err := discoverylab.Start(binary, dir, replicas, "--fleet", settings)
		if err != nil {
			return nil, err
		}
		if _, err := cluster.Leader(leaderTimeout, -1); err != nil {
			cluster.Close()
			return nil, err
		}
		return &discoveryPlane{cluster: cluster, operator: newOperator(cluster.HTTP)}, nil
	}
}

// discoveryPlane is a ControlPlane of discovery processes.
type discoveryPlane struct {
	cluster  *discoverylab.Cluster
	operator *operator
}

// Addresses returns the HTTP addresses of the replicas.
func (p *discoveryPlane) Addresses() []string { return p.cluster.HTTP }

// PIDs returns the process ids of the running replicas.
func (p *discoveryPlane) PIDs() []int {
	var out []int
	for i := range p.cluster.HTTP {
		if pid := p.cluster.Pid(i); pid != 0 {
			out = append(out, pid)
		}
	}
	return out
}

// Propose puts the next generation of a tenant.
func (p *discoveryPlane) Propose(ctx context.Context, generation uint64, spec fleet.Spec) error {
	return p.operator.propose(ctx, generation, spec)
}

// Restart kills all replicas, starts them again after down, and waits for a leader.
func (p *discoveryPlane) Restart(ctx context.Context, down time.Duration) error {
	for i := range p.cluster.HTTP {
		p.cluster.Kill(i)
	}
	if err := pause(ctx, down); err != nil {
		return err
	}
	for i := range p.cluster.HTTP {
		if err := p.cluster.Restart(i); err != nil {
			return err
		}
	}
	_, err := p.cluster.Leader(leaderTimeout, -1)
	return err
}

// Sample reads the resource use and counters of every replica.
func (p *discoveryPlane) Sample() (Replicas, error) {
	leader, err := p.cluster.Leader(leaderTimeout, -1)
	if err != nil {
		return Replicas{}, err
	}
	out := Replicas{Leader: leader, Each: make([]ReplicaSample, len(p.cluster.HTTP))}
	for i := range out.Each {
		if out.Each[i], err = p.sample(i); err != nil {
			return out, err
		}
	}
	return out, nil
}

// sample reads the resource use and counters of one replica.
func (p *discoveryPlane) sample(i int) (ReplicaSample, error) {
	pid, dir := p.cluster.Pid(i), p.cluster.Dirs[i]
	metrics, err := p.operator.metrics(p.cluster.HTTP[i])
	if err != nil {
		return ReplicaSample{}, fmt.Errorf("replica %d: %w", i, err)
	}
	s := ReplicaSample{
		PID:           pid,
		CPU:           discoverylab.CPUTime(pid),
		RSSBytes:      bounds.ResidentBytes(pid),
		WrittenBytes:  bounds.WrittenBytes(pid),
		LogBytes:      bounds.DirectoryBytes(filepath.Join(dir, "raft.db")),
		SnapshotBytes: newestSnapshot(dir),
		Metrics:       metrics,
	}
	for pair, link := range p.cluster.Links {
		if pair[0] == i || pair[1] == i {
			s.RaftBytes += uint64(link.Bytes.Load())
		}
	}
	return s, nil
}

// newestSnapshot returns the size in bytes of a replica's newest snapshot, 0 if there is none.
func newestSnapshot(dir string) uint64 {
	paths, _ := filepath.Glob(filepath.Join(dir, "snapshots", "*", "state.bin"))
	var newest time.Time
	var size uint64
	for _, path := range paths {
		if info, err := os.Stat(path); err == nil && info.ModTime().After(newest) {
			newest, size = info.ModTime(), uint64(info.Size())
		}
	}
	return size
}

// Close stops the replicas.
func (p *discoveryPlane) Close() {
	p.operator.close()
	p.cluster.Close()
}
