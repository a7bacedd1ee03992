package lab

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"meadowsill/internal/lab/discoverylab"
	"meadowsill/internal/lab/stub"
)

// lister is the discovery a run's nodes read: the stub, or discovery's replicas with an agent per node.
type lister interface {
	// View opens node's way to the list, in which each server's address is addrOf(id); it gives its address.
	View(n *node, addrOf func(id string) string) (string, error)
	// Set changes a server's state; startedMS, where not 0, is its new start. An error means that nobody was notified.
	Set(id, state string, startedMS int64) error
	Close()
}

type stubList struct{ *stub.Discovery }

func (s stubList) View(_ *node, addrOf func(string) string) (string, error) {
	return s.Discovery.View(addrOf)
}

func (s stubList) Set(id, state string, startedMS int64) error {
	s.Discovery.Set(id, state, startedMS)
	return nil
}

// replicatedList is discovery's replicas as processes; the lab registers the servers under leases and renews them, as
// their registrant would, and runs one agent process per node with the node's addresses of the servers.
type replicatedList struct {
	f       *fleet
	cluster *discoverylab.Cluster
	writing sync.Mutex // one write at a time, so that no renewal in flight undoes a change
	mu      sync.Mutex
	entries map[string]stub.Entry
	done    chan struct{}
	wg      sync.WaitGroup
}

const leaseMS = 6000

// startReplicatedList starts the replicas, each raft link a relay of the run's network, and registers the servers.
func (f *fleet) startReplicatedList(entries []stub.Entry, extra ...string) (*replicatedList, error) {
	c, err := discoverylab.Start(f.s.Fleet.DiscoveryBinary, filepath.Join(f.opt.Dir, "discovery"), f.s.Fleet.Replicas, extra...)
	if err != nil {
		return nil, err
	}
	for _, l := range c.Links {
		f.net.Add(l)
		f.recs.Links++
	}
	l := &replicatedList{f: f, cluster: c, entries: map[string]stub.Entry{}, done: make(chan struct{})}
	for i := range c.HTTP {
		writePid(f.opt.Dir, c.Pid(i))
	}
	for _, e := range entries {
		l.entries[e.ID] = e
	}
	for _, e := range entries {
		if err := l.write("register", e); err != nil {
			l.Close()
			return nil, err
		}
	}
	l.wg.Go(l.renew)
	return l, nil
}

// write sends one call to whoever leads, trying for up to 10 s, or until the list is closed.
func (l *replicatedList) write(op string, e stub.Entry) error {
	body := map[string]any{"id": e.ID, "ttl_ms": leaseMS}
	if op == "register" {
		body = map[string]any{"id": e.ID, "addr": e.Addr, "zone": e.Zone, "kind": e.Kind, "cell": e.Cell, "state": e.State,
			"weight": e.Weight, "started_ms": e.StartedMS, "ttl_ms": leaseMS}
	}
	raw, _ := json.Marshal(body)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		select {
		case <-l.done:
			return fmt.Errorf("discovery: %s %s not committed before the end", op, e.ID)
		default:
		}
		lead, err := l.cluster.Leader(5*time.Second, -1)
		if err != nil {
			continue
		}
		resp, err := http.Post("http://"+l.cluster.HTTP[lead]+"/registry/v1/"+op, "application/json", bytes.NewReader(raw))
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("discovery: %s %s not committed in 10 s", op, e.ID)
}

// renew keeps every lease that is not gone, a third of its length apart.
func (l *replicatedList) renew() {
	t := time.NewTicker(leaseMS / 3 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-l.done:
			return
		case <-t.C:
		}
		l.mu.Lock()
		ids := slices.Sorted(maps.Keys(l.entries))
		l.mu.Unlock()
		for _, id := range ids {
			l.writing.Lock()
			l.mu.Lock()
			e := l.entries[id]
			l.mu.Unlock()
			if e.State != "gone" {
				if err := l.write("register", e); err != nil {
					l.f.opt.Log.Warn("lease not renewed", "server", id, "err", err)
				}
			}
			l.writing.Unlock()
		}
	}
}

func (l *replicatedList) Set(id, state string, startedMS int64) error {
	l.writing.Lock()
	defer l.writing.Unlock()
	l.mu.Lock()
	e := l.entries[id]
	e.State = state
	if startedMS != 0 {
		e.StartedMS = startedMS
	}
	l.entries[id] = e
	l.mu.Unlock()
	op := map[string]string{"ready": "register", "draining": "register", "gone": "deregister"}[state]
	err := l.write(op, e)
	if err != nil {
		l.f.opt.Log.Warn("list change not committed", "server", id, "state", state, "err", err)
	}
	return err
}

func (l *replicatedList) Close() {
	select {
	case <-l.done:
	default:
		close(l.done)
	}
	l.wg.Wait()
	l.cluster.Close()
}
