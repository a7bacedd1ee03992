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
	// startLast is the last log index this process found in its store: until it has applied that far, its list
	// may be older than what it had acknowledged, and it answers no reads.
	startIndex uint64
}

// Start opens the replica's stores, joins raft (bootstrapping the cluster from Peers where the store is new)
// and serves HTTP on Self.HTTP.
func Start(cfg Config) (*Replica, error) {
	if err := os.MkdirAll(cfg.Dir, 0o755); err != nil {
		return nil, err
	}
	logFile := hclog.New(&hclog.LoggerOptions{Name: "raft", Output: os.Stderr, JSONFormat: true, Level: hclog.Warn})
	rc := raft.DefaultConfig()
	rc.LocalID = raft.ServerID(cfg.Self.ID)
	rc.HeartbeatTimeout, rc.ElectionTimeout = 500*time.Millisecond, 500*time.Millisecond
	rc.LeaderLeaseTimeout, rc.CommitTimeout = 250*time.Millisecond, 10*time.Millisecond
	rc.SnapshotThreshold = 2048
	rc.SnapshotInterval = 5 * time.Second
	rc.TrailingLogs = 4096
	if cfg.SnapshotAfter > 0 {
		rc.SnapshotThreshold, rc.TrailingLogs = cfg.SnapshotAfter, 2*cfg.SnapshotAfter
	}
	if cfg.SnapshotInterval > 0 {
		rc.SnapshotInterval = cfg.SnapshotInterval
	}
	rc.Logger = logFile
	store, err := raftboltdb.NewBoltStore(filepath.Join(cfg.Dir, "raft.db"))
	if err != nil {
		return nil, fmt.Errorf("raft store: %w", err)
	}
	snaps, err := raft.NewFileSnapshotStoreWithLogger(cfg.Dir, 3, logFile)
	if err != nil {
		store.Close()
		return nil, fmt.Errorf("snapshots: %w", err)
	}
	addr, err := net.ResolveTCPAddr("tcp", cfg.Self.Raft)
	if err != nil {
		store.Close()
		return nil, err
	}
	transport, err := raft.NewTCPTransportWithConfig(cfg.Self.Raft, addr, &raft.NetworkTransportConfig{MaxPool: 8,
		Timeout: 2 * time.Second, Logger: logFile, ServerAddressProvider: newPeerAddresses(cfg)})
	if err != nil {
		store.Close()
		return nil, fmt.Errorf("raft transport: %w", err)
	}
	f := newFSM(cfg.KeepRevisions)
	existing, err := raft.HasExistingState(store, store, snaps)
	if err != nil {
		store.Close()
		return nil, err
	}
	r, err := raft.NewRaft(rc, f, store, store, snaps, transport)
	if err != nil {
		store.Close()
		return nil, fmt.Errorf("raft: %w", err)
	}
	if !existing {
		var servers []raft.Server
		for _, p := range cfg.Peers {
			servers = append(servers, raft.Server{ID: raft.ServerID(p.ID), Address: raft.ServerAddress(p.Raft)})
		}
		if err := r.BootstrapCluster(raft.Configuration{Servers: servers}).Error(); err != nil && !errors.Is(err, raft.ErrCantBootstrap) {
			r.Shutdown()
			store.Close()
			return nil, fmt.Errorf("bootstrap: %w", err)
		}
	}
	rep := &Replica{cfg: cfg, fsm: f, raft: r, store: store, done: make(chan struct{}), startIndex: r.LastIndex()}
	ln, err := net.Listen("tcp", cfg.Self.HTTP)
	if err != nil {
		rep.Close()
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", rep.read)
	mux.HandleFunc("POST /registry/v1/{op}", rep.write)
	mux.HandleFunc("GET /registry/v1/status", rep.status)
	rep.http = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	if cfg.Fleet != nil {
		l := newLeadership(rep, *cfg.Fleet)
		l.routes(mux)
		go l.run()
	}
	go rep.http.Serve(ln)
	go rep.sweep()
	return rep, nil
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
