// Package replica is listd's I/O shell round package registry: a replica of the list, replicated by
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
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb"

	"starlingvalve/internal/registry"
)

// Peer is one replica: its raft id, raft address and HTTP address.
type Peer struct{ ID, Raft, HTTP string }

// ParsePeer reads "ID=RAFT_ADDR=HTTP_ADDR".
func ParsePeer(s string) (Peer, error) {
	parts := strings.Split(s, "=")
	if len(parts) != 3 || parts[0] == "" {
		return Peer{}, fmt.Errorf("peer %q is not ID=RAFT_ADDR=HTTP_ADDR", s)
	}
	for _, a := range parts[1:] {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return Peer{}, fmt.Errorf("peer %q: %w", s, err)
		}
	}
	return Peer{parts[0], parts[1], parts[2]}, nil
}

// Config places a replica.
type Config struct {
	Self      Peer
	Peers     []Peer // all replicas, itself among them
	Dir       string // raft's log, stable store and snapshots
	Staleness time.Duration
	KeepRevs  int               // gone entries kept for this many revisions before compaction
	Routes    map[string]string // by peer id, an address to dial it at other than its raft address (a relay)
	Log       *slog.Logger
}

type routed map[raft.ServerID]raft.ServerAddress

func (r routed) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	if a, ok := r[id]; ok {
		return a, nil
	}
	return "", fmt.Errorf("no replica %s", id)
}

// routes gives the address each peer is dialed at: its own, or its route.
func routes(cfg Config) routed {
	out := routed{}
	for _, p := range cfg.Peers {
		out[raft.ServerID(p.ID)] = raft.ServerAddress(p.Raft)
		if a, ok := cfg.Routes[p.ID]; ok {
			out[raft.ServerID(p.ID)] = raft.ServerAddress(a)
		}
	}
	return out
}

// fsm is the state machine that raft feeds.
type fsm struct {
	mu    sync.Mutex
	state *registry.State
	news  chan struct{} // closed at each new revision
}

type applied struct {
	changed bool
	err     error
}

func (f *fsm) Apply(l *raft.Log) any {
	var c registry.Command
	if err := json.Unmarshal(l.Data, &c); err != nil {
		return applied{err: fmt.Errorf("log entry %d: %w", l.Index, err)}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	changed, err := f.state.Apply(c)
	if changed {
		close(f.news)
		f.news = make(chan struct{})
	}
	return applied{changed, err}
}

type snapshot []byte

func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

func (snapshot) Release() {}

func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	raw, err := f.state.Snapshot()
	return snapshot(raw), err
}

func (f *fsm) Restore(r io.ReadCloser) error {
	defer r.Close()
	raw, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.state.Restore(raw); err != nil {
		return err
	}
	close(f.news)
	f.news = make(chan struct{})
	return nil
}

// Replica is one running listd replica.
type Replica struct {
	cfg   Config
	fsm   *fsm
	raft  *raft.Raft
	store *raftboltdb.BoltStore
	http  *http.Server
	done  chan struct{}
	// startLast is the last log index this process found in its store: until it has applied that far, its list
	// may be older than what it had acknowledged, and it answers no reads.
	startLast uint64
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
	rc.SnapshotThreshold, rc.SnapshotInterval, rc.TrailingLogs = 2048, 5*time.Second, 4096
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
		Timeout: 2 * time.Second, Logger: logFile, ServerAddressProvider: routes(cfg)})
	if err != nil {
		store.Close()
		return nil, fmt.Errorf("raft transport: %w", err)
	}
	f := &fsm{state: registry.New(cfg.KeepRevs), news: make(chan struct{})}
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
	rep := &Replica{cfg: cfg, fsm: f, raft: r, store: store, done: make(chan struct{}), startLast: r.LastIndex()}
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

func (rep *Replica) propose(c registry.Command) (applied, error) {
	raw, _ := json.Marshal(c)
	fut := rep.raft.Apply(raw, 5*time.Second)
	if err := fut.Error(); err != nil {
		return applied{}, err
	}
	return fut.Response().(applied), nil
}

// fresh says how long since this replica heard from a leader, and whether that is within the bound and the
// replica has caught up with its own log.
func (rep *Replica) fresh() (time.Duration, bool) {
	if rep.raft.AppliedIndex() < rep.startLast {
		return time.Since(rep.raft.LastContact()), false // still replaying what it had before a restart
	}
	if rep.raft.State() == raft.Leader {
		return 0, true // raft steps a leader down once its lease lapses
	}
	if _, id := rep.raft.LeaderWithID(); id == "" {
		return time.Since(rep.raft.LastContact()), false
	}
	age := time.Since(rep.raft.LastContact())
	return age, age <= rep.cfg.Staleness
}

func (rep *Replica) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	watch, err := registry.ParseWatch(q)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if q.Has("consistent") { // linearizable: the leader confirms it still leads and has applied all it committed
		if rep.raft.State() != raft.Leader {
			rep.notLeader(w)
			return
		}
		if err := rep.raft.VerifyLeader().Error(); err != nil {
			rep.notLeader(w)
			return
		}
		if err := rep.raft.Barrier(5 * time.Second).Error(); err != nil {
			http.Error(w, "not confirmed: "+err.Error(), http.StatusServiceUnavailable)
			return
		}
		watch = registry.Watch{}
	}
	rep.fsm.mu.Lock()
	if watch.Watching && watch.Since >= rep.fsm.state.Rev && watch.Wait > 0 {
		news := rep.fsm.news
		rep.fsm.mu.Unlock()
		registry.Await(r.Context(), news, watch.Wait)
		rep.fsm.mu.Lock()
	}
	a := rep.fsm.state.Read(watch.Since, watch.Watching)
	rep.fsm.mu.Unlock()
	age, ok := rep.fresh()
	w.Header().Set("X-Last-Contact-Ms", strconv.FormatInt(age.Milliseconds(), 10))
	if !ok {
		http.Error(w, "stale: no leader heard from within the bound", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(a)
}

type writeBody struct {
	registry.Entry
	TTLMS int64 `json:"ttl_ms"`
}

func (rep *Replica) write(w http.ResponseWriter, r *http.Request) {
	op := registry.Op(r.PathValue("op"))
	var body writeBody
	dec := json.NewDecoder(io.LimitReader(r.Body, 64<<10))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&body); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	c := registry.Command{Op: op, ID: body.ID, TTLMS: body.TTLMS, NowMS: time.Now().UnixMilli()}
	switch op {
	case registry.Register:
		c.Entry, c.ID = body.Entry, ""
	case registry.Renew, registry.Drain, registry.Deregister:
	default:
		http.Error(w, "no such operation", http.StatusNotFound)
		return
	}
	if rep.raft.State() != raft.Leader {
		rep.notLeader(w)
		return
	}
	res, err := rep.propose(c)
	if err != nil {
		if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrLeadershipLost) {
			rep.notLeader(w)
			return
		}
		http.Error(w, "not committed: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	if res.err != nil {
		code := http.StatusBadRequest
		if errors.Is(res.err, registry.ErrUnknown) {
			code = http.StatusNotFound
		}
		http.Error(w, res.err.Error(), code)
		return
	}
	rep.fsm.mu.Lock()
	rev := rep.fsm.state.Rev
	rep.fsm.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"committed":true,"revision":%d}`+"\n", rev)
}

// notLeader answers 503 with the leader's HTTP address where it is known.
func (rep *Replica) notLeader(w http.ResponseWriter) {
	_, id := rep.raft.LeaderWithID()
	for _, p := range rep.cfg.Peers {
		if raft.ServerID(p.ID) == id {
			w.Header().Set("X-Leader", p.HTTP)
		}
	}
	http.Error(w, "not the leader", http.StatusServiceUnavailable)
}

func (rep *Replica) status(w http.ResponseWriter, _ *http.Request) {
	_, leader := rep.raft.LeaderWithID()
	rep.fsm.mu.Lock()
	rev := rep.fsm.state.Rev
	rep.fsm.mu.Unlock()
	age, _ := rep.fresh()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"id": rep.cfg.Self.ID, "state": rep.raft.State().String(), "leader": string(leader),
		"revision": rev, "applied_index": rep.raft.AppliedIndex(), "last_contact_ms": age.Milliseconds()})
}
