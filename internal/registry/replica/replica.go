// Package replica runs one replica of discovery and does the I/O for package registry. hashicorp/raft replicates the list, with
// its log and stable store in a Bolt database and its snapshots on disk. The replica serves PROTOCOL's reads and
// watches and the registration API of docs/discovery.md over HTTP.
//
// A write is acknowledged only once raft has committed it on a quorum and this replica has applied it. Reads and watches are
// answered by the leader while it holds its lease, and by any other replica that has heard from the leader within
// Config.Staleness. Otherwise the answer is 503, with the time since the last contact in X-Last-Contact-Ms.
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

// Config is the configuration of a replica.
type Config struct {
	Self             Peer
	Peers            []Peer // all replicas, including this one
	Dir              string // directory of raft's log, stable store and snapshots
	Staleness        time.Duration
	KeepRevisions    int               // number of revisions that a removed entry is kept before compaction
	SnapshotAfter    uint64            // number of raft log entries after which a snapshot is due; 0: 2048
	SnapshotInterval time.Duration     // time between checks whether a snapshot is due, up to twice as long by raft's random stagger; 0: 5 s
	Routes           map[string]string // by peer id, an address to dial in place of the peer's raft address (a relay)
	Log              *slog.Logger
	Fleet            *control.Settings // nil: no fleet, and the fleet's paths answer 404
}

// Replica is one running discovery replica.
type Replica struct {
	cfg   Config
	fsm   *fsm
	raft  *raft.Raft
	store *raftboltdb.BoltStore
	http  *http.Server
	done  chan struct{}
	// startIndex is the last log index in the store when this process started. Until the replica has applied the log up to
	// that index, its list may be older than a state that it has acknowledged, so it answers no reads.
	startIndex uint64
}

// Raft's timeouts, for replicas in one network, and the limits of the data that raft keeps on disk.
const (
	heartbeatTimeout         = 500 * time.Millisecond
	electionTimeout          = 500 * time.Millisecond
	leaderLeaseTimeout       = 250 * time.Millisecond
	commitTimeout            = 10 * time.Millisecond
	transportTimeout         = 2 * time.Second
	maxPooledConns           = 8 // idle connections kept for each peer
	defaultSnapshotThreshold = 2048
	defaultSnapshotInterval  = 5 * time.Second
	defaultTrailingLogs      = 4096 // entries older than a snapshot that stay in the log, so that a replica that was down can catch up from it
	retainedSnapshots        = 3
)

// headerReadTimeout is the time limit for reading a request's headers.
const headerReadTimeout = 5 * time.Second

// Start opens the replica's stores, starts raft (bootstrapping the cluster from Peers if the store is new), and serves HTTP on
// Self.HTTP.
func Start(cfg Config) (*Replica, error) {
	if err := os.MkdirAll(cfg.Dir, 0o755); err != nil {
		return nil, err
	}
	store, err := raftboltdb.NewBoltStore(filepath.Join(cfg.Dir, "raft.db"))
	if err != nil {
		return nil, fmt.Errorf("raft store: %w", err)
	}
	stateMachine := newFSM(cfg.KeepRevisions)
	consensus, err := startRaft(cfg, stateMachine, store)
	if err != nil {
		store.Close()
		return nil, err
	}
	rep := &Replica{
		cfg:        cfg,
		fsm:        stateMachine,
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

// startRaft starts raft, and bootstraps the cluster if the store is new.
func startRaft(cfg Config, stateMachine *fsm, store *raftboltdb.BoltStore) (*raft.Raft, error) {
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
	consensus, err := raft.NewRaft(raftConfig(cfg, log), stateMachine, store, store, snapshots, transport)
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

// bootstrap bootstraps a new cluster with the peers as its members. It is no error if the cluster has already been bootstrapped.
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

// serve starts the HTTP server on the listener, the fleet's leadership if there is a fleet, and the expiry of leases.
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

// Close stops the replica: its HTTP server, raft and the store.
func (rep *Replica) Close() {
	close(rep.done)
	if rep.http != nil {
		rep.http.Close()
	}
	rep.raft.Shutdown().Error()
	rep.store.Close()
}

// sweep checks every 100 ms for lapsed leases while this replica is the leader, and proposes their expiry with its own clock in
// the command.
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
