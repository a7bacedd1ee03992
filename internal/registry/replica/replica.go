// Package replica is discovery's I/O shell round package registry: a replica of the list, replicated by
// hashicorp/raft with its log and stable store in BoltDB and snapshots on disk, serving PROTOCOL's reads and
// watches and the registration API of docs/discovery.md over HTTP.
//
// Writes are acknowledged only once raft has committed them on a quorum and this replica has applied them. Reads
// and watches are answered by any replica that has heard from a leader within Staleness (a leader: that still
// holds its lease); otherwise 503, with X-Last-Contact-Ms saying how long since.
package replica

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb"

	"meadowsill/internal/fleet/control"
	"meadowsill/internal/registry"
)

// Config places a replica.
type Config struct {
	Self             Peer
	Peers            []Peer // all replicas, itself among them
	Dir              string // raft's log, stable store and snapshots
	Staleness        time.Duration
	KeepRevisions    int               // removed entries kept for this many revisions before compaction
	SnapshotAfter    uint64            // entries of raft's log after which a snapshot is due; 0: 2048
	SnapshotInterval time.Duration     // how often, up to twice that, it is looked whether one is; 0: 5 s
	Routes           map[string]string // by peer id, an address to dial it at other than its raft address (a relay)
	Log              *slog.Logger
	Fleet            *control.Settings // nil: no fleet, and its paths answer 404
}

// Replica is one running discovery replica.
type Replica struct {
	cfg   Config
	fsm   *fsm
	raft  *raft.Raft
	store *raftboltdb.BoltStore
	http  *http.Server
	done  chan struct{}
	// startIndex is the last log index this process found in its store: until it has applied that far, its list
	// may be older than what it had acknowledged, and it answers no reads.
	startIndex uint64
}

// Raft's timing within one network, and what it keeps on disk.
const (
	heartbeatTimeout         = 500 * time.Millisecond
	electionTimeout          = 500 * time.Millisecond
	leaderLeaseTimeout       = 250 * time.Millisecond
	commitTimeout            = 10 * time.Millisecond
	transportTimeout         = 2 * time.Second
	maxPooledConns           = 8 // to each peer
	defaultSnapshotThreshold = 2048
	defaultSnapshotInterval  = 5 * time.Second
	defaultTrailingLogs      = 4096 // entries kept behind a snapshot, for a replica that was away
	retainedSnapshots        = 3
)

// headerReadTimeout is for the head of a request.
const headerReadTimeout = 5 * time.Second

// Start opens the replica's stores, joins raft (bootstrapping the cluster from Peers where the store is new)
// and serves HTTP on Self.HTTP.
func Start(cfg Config) (*Replica, error) {
	if err := os.MkdirAll(cfg.Dir, 0o755); err != nil {
		return nil, err
	}
	store, err := raftboltdb.NewBoltStore(filepath.Join(cfg.Dir, "raft.db"))
	if err != nil {
		return nil, fmt.Errorf("raft store: %w", err)
	}
	machine := newFSM(cfg.KeepRevisions)
	consensus, err := startRaft(cfg, machine, store)
	if err != nil {
		store.Close()
		return nil, err
	}
	rep := &Replica{
		cfg:        cfg,
		fsm:        machine,
		raft:       consensus,
		store:      store,
		done:       make(chan struct{}),
		startIndex: consensus.LastIndex(),
	}
	listener, err := net.Listen("tcp", cfg.Self.HTTP)
	if err != nil {
		rep.Close()
		return nil, err
	}
	rep.serve(listener)
	return rep, nil
}

// startRaft joins raft, and bootstraps the cluster where the store is new.
func startRaft(cfg Config, machine *fsm, store *raftboltdb.BoltStore) (*raft.Raft, error) {
	log := hclog.New(&hclog.LoggerOptions{Name: "raft", Output: os.Stderr, JSONFormat: true, Level: hclog.Warn})
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(cfg.Dir, retainedSnapshots, log)
	if err != nil {
		return nil, fmt.Errorf("snapshots: %w", err)
	}
	address, err := net.ResolveTCPAddr("tcp", cfg.Self.Raft)
	if err != nil {
		return nil, err
	}
	transport, err := raft.NewTCPTransportWithConfig(cfg.Self.Raft, address, &raft.NetworkTransportConfig{
		MaxPool:               maxPooledConns,
		Timeout:               transportTimeout,
		Logger:                log,
		ServerAddressProvider: newPeerAddresses(cfg),
	})
	if err != nil {
		return nil, fmt.Errorf("raft transport: %w", err)
	}
	existing, err := raft.HasExistingState(store, store, snapshots)
	if err != nil {
		return nil, err
	}
	consensus, err := raft.NewRaft(raftConfig(cfg, log), machine, store, store, snapshots, transport)
	if err != nil {
		return nil, fmt.Errorf("raft: %w", err)
	}
	if existing {
		return consensus, nil
	}
	if err := bootstrap(consensus, cfg.Peers); err != nil {
		consensus.Shutdown()
		return nil, fmt.Errorf("bootstrap: %w", err)
	}
	return consensus, nil
}

// raftConfig returns raft's configuration.
func raftConfig(cfg Config, log hclog.Logger) *raft.Config {
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(cfg.Self.ID)
	c.HeartbeatTimeout = heartbeatTimeout
	c.ElectionTimeout = electionTimeout
	c.LeaderLeaseTimeout = leaderLeaseTimeout
	c.CommitTimeout = commitTimeout
	c.SnapshotThreshold = defaultSnapshotThreshold
	c.SnapshotInterval = defaultSnapshotInterval
	c.TrailingLogs = defaultTrailingLogs
	if cfg.SnapshotAfter > 0 {
		c.SnapshotThreshold = cfg.SnapshotAfter
		c.TrailingLogs = 2 * cfg.SnapshotAfter
	}
	if cfg.SnapshotInterval > 0 {
		c.SnapshotInterval = cfg.SnapshotInterval
	}
	c.Logger = log
	return c
}

// bootstrap makes the peers the members of a new cluster. That another replica has done so is no error.
func bootstrap(consensus *raft.Raft, peers []Peer) error {
	var servers []raft.Server
	for _, p := range peers {
		servers = append(servers, raft.Server{ID: raft.ServerID(p.ID), Address: raft.ServerAddress(p.Raft)})
	}
	err := consensus.BootstrapCluster(raft.Configuration{Servers: servers}).Error()
	if errors.Is(err, raft.ErrCantBootstrap) {
		return nil
	}
	return err
}

// serve answers HTTP on the listener, leads the fleet when this replica is the leader, and expires leases.
func (rep *Replica) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", rep.read)
	mux.HandleFunc("POST /registry/v1/{op}", rep.write)
	mux.HandleFunc("GET /registry/v1/status", rep.status)
	rep.http = &http.Server{Handler: mux, ReadHeaderTimeout: headerReadTimeout}
	if rep.cfg.Fleet != nil {
		l := newLeadership(rep, *rep.cfg.Fleet)
		l.routes(mux)
		go l.run()
	}
	go rep.http.Serve(listener)
	go rep.sweep()
}

// Close ends the replica: HTTP, raft and its store.
func (rep *Replica) Close() {
	close(rep.done)
	if rep.http != nil {
		rep.http.Close()
	}
	rep.raft.Shutdown().Error()
	rep.store.Close()
}

// sweep has the leader propose the expiry of lapsed leases, with its own clock on the command.
func (rep *Replica) sweep() {
	t := time.NewTicker(100 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-rep.done:
			return
		case <-t.C:
		}
		if rep.raft.State() != raft.Leader {
			continue
		}
		rep.fsm.mu.Lock()
		next := rep.fsm.state.NextExpiry()
		rep.fsm.mu.Unlock()
		if now := time.Now().UnixMilli(); next != 0 && next <= now {
			rep.propose(registry.Command{Op: registry.Expire, NowMS: now})
		}
	}
}

func (rep *Replica) propose(c registry.Command) (applyResult, error) {
	raw, _ := json.Marshal(c)
	fut := rep.raft.Apply(raw, 5*time.Second)
	if err := fut.Error(); err != nil {
		return applyResult{}, err
	}
	return fut.Response().(applyResult), nil
}
