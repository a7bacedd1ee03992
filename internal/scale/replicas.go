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

// ControlPlane is the replicas of a run.
type ControlPlane interface {
	Addresses() []string // of the replicas' HTTP
	PIDs() []int
	Propose(ctx context.Context, generation uint64, spec fleet.Spec) error // the generation after the one given
	Restart(ctx context.Context, down time.Duration) error                 // all replicas, at once; until one leads again
	Sample() (Replicas, error)
	Close()
}

// Replicas are the samples of all replicas at one moment.
type Replicas struct {
	Leader int // index of the one that leads
	Each   []ReplicaSample
}

// ReplicaSample is what one replica has used and done since its start.
type ReplicaSample struct {
	PID           int
	CPU           time.Duration
	RSSBytes      uint64
	RaftBytes     uint64 // over raft's links, both ways
	LogBytes      uint64 // of the log's file, now
	SnapshotBytes uint64 // of the newest snapshot
	WrittenBytes  uint64 // to the disk
	Metrics       ReplicaMetrics
}

// StartReplicas starts the replicas of one run, with slots nodes at most, their data under dir.
type StartReplicas func(ctx context.Context, dir string, replicas, slots int) (ControlPlane, error)

// leaderWithin is how long a leader is waited for.
const leaderTimeout = 30 * time.Second

// DiscoveryReplicas gives what starts discovery processes of a program.
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

// discoveryPlane is a control plane of discovery processes.
type discoveryPlane struct {
	cluster  *discoverylab.Cluster
	operator *operator
}

// Addresses gives the replicas' HTTP addresses.
func (p *discoveryPlane) Addresses() []string { return p.cluster.HTTP }

// PIDs gives the replicas' process ids.
func (p *discoveryPlane) PIDs() []int {
	var out []int
	for i := range p.cluster.HTTP {
		if pid := p.cluster.Pid(i); pid != 0 {
			out = append(out, pid)
		}
	}
	return out
}

// Propose puts a tenant's next generation.
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

// Sample reads every replica's accounts.
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

// sample reads one replica's accounts.
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

// newestSnapshot is the size of the newest of a replica's snapshots, 0 where there is none.
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

// Close ends the replicas.
func (p *discoveryPlane) Close() {
	p.operator.close()
	p.cluster.Close()
}
