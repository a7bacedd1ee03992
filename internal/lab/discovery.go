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

// discoveryService is the discovery that the run's nodes use: the stub, or replicas with one agent per node.
type discoveryService interface {
	// View returns an address at which node n gets the list of servers, with addrOf(id) as the address of each server.
	View(n *node, addrOf func(id string) string) (string, error)
	// Set changes a server's state. A startedMS other than 0 is the server's new start time, in Unix milliseconds. After an error
	// no node was notified of the change.
	Set(id, state string, startedMS int64) error
	Close()
}

type stubDiscovery struct{ *stub.Discovery }

func (s stubDiscovery) View(_ *node, addrOf func(string) string) (string, error) {
	return s.Discovery.View(addrOf)
}

func (s stubDiscovery) Set(id, state string, startedMS int64) error {
	s.Discovery.Set(id, state, startedMS)
	return nil
}

// replicatedDiscovery runs discovery's replicas as processes. The lab registers the servers under leases and renews the leases, as
// the servers' registrants would. It runs one agent process per node, which lists the servers under that node's addresses.
type replicatedDiscovery struct {
	f       *fleet
	cluster *discoverylab.Cluster
	writeMu sync.Mutex // held during a write, so that a renewal in flight does not undo a change
	mu      sync.Mutex
	entries map[string]stub.Entry
	done    chan struct{}
	wg      sync.WaitGroup
}

const leaseMS = 6000

// startReplicatedDiscovery starts the replicas, adds the relays of their raft links to the run's network, and registers the
// servers.
func (f *fleet) startReplicatedDiscovery(entries []stub.Entry, extra ...string) (*replicatedDiscovery, error) {
	c, err := discoverylab.Start(f.s.Fleet.DiscoveryBinary, filepath.Join(f.opt.Dir, "discovery"), f.s.Fleet.Replicas, extra...)
	if err != nil {
		return nil, err
	}
	for _, l := range c.Links {
		f.net.Add(l)
		f.records.Links++
	}
	l := &replicatedDiscovery{f: f, cluster: c, entries: map[string]stub.Entry{}, done: make(chan struct{})}
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

// write sends the operation op ("register" or "deregister") for a server to the leader. It retries for up to 10 s, or until
// Close is called.
func (d *replicatedDiscovery) write(op string, e stub.Entry) error {
	body := map[string]any{"id": e.ID, "ttl_ms": leaseMS}
	if op == "register" {
		body = map[string]any{"id": e.ID, "addr": e.Addr, "zone": e.Zone, "kind": e.Kind, "cell": e.Cell, "state": e.State,
			"weight": e.Weight, "started_ms": e.StartedMS, "ttl_ms": leaseMS}
	}
	raw, _ := json.Marshal(body)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		select {
		case <-d.done:
			return fmt.Errorf("discovery: %s %s not committed before the end", op, e.ID)
		default:
		}
		lead, err := d.cluster.Leader(5*time.Second, -1)
		if err != nil {
			continue
		}
		resp, err := http.Post("http://"+d.cluster.HTTP[lead]+"/registry/v1/"+op, "application/json", bytes.NewReader(raw))
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

// renew renews the lease of every server that is not gone, at intervals of a third of the lease time, until Close is called.
func (d *replicatedDiscovery) renew() {
	t := time.NewTicker(leaseMS / 3 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-d.done:
			return
		case <-t.C:
		}
		d.mu.Lock()
		ids := slices.Sorted(maps.Keys(d.entries))
		d.mu.Unlock()
		for _, id := range ids {
			d.writeMu.Lock()
			d.mu.Lock()
			e := d.entries[id]
			d.mu.Unlock()
			if e.State != "gone" {
				if err := d.write("register", e); err != nil {
					d.f.opt.Log.Warn("lease not renewed", "server", id, "err", err)
				}
			}
			d.writeMu.Unlock()
		}
	}
}

func (d *replicatedDiscovery) Set(id, state string, startedMS int64) error {
	d.writeMu.Lock()
	defer d.writeMu.Unlock()
	d.mu.Lock()
	e := d.entries[id]
	e.State = state
	if startedMS != 0 {
		e.StartedMS = startedMS
	}
	d.entries[id] = e
	d.mu.Unlock()
	op := map[string]string{"ready": "register", "draining": "register", "gone": "deregister"}[state]
	err := d.write(op, e)
	if err != nil {
		d.f.opt.Log.Warn("list change not committed", "server", id, "state", state, "err", err)
	}
	return err
}

func (d *replicatedDiscovery) Close() {
	select {
	case <-d.done:
	default:
		close(d.done)
	}
	d.wg.Wait()
	d.cluster.Close()
}
