package stub

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"meadowsill/internal/registry"
)

// Entry is one app server in the endpoint list, as PROTOCOL specifies under "Discovery". Addr is filled in for each node.
type Entry = registry.Entry

type answer = registry.Answer

// Discovery is a stub discovery agent with watches and a single version for the complete list. Each node has its own view at its
// own address; in a view, each server has the address that this node uses for it.
type Discovery struct {
	mu               sync.Mutex
	version          uint64
	entries          map[string]Entry  // newest entry of each server by id, including servers in state gone
	changed          map[string]uint64 // version of each server's last change, by id
	compactedVersion uint64            // a watch from an older version gets the complete list
	changes          chan struct{}     // closed and replaced at each change
	views            []*view
	MaxWait          time.Duration // longest time that a watch waits; 60 s in PROTOCOL
}

type view struct {
	addrOf func(id string) string
	srv    *http.Server
	Addr   string
}

// NewDiscovery returns a Discovery whose list holds entries at version 1.
func NewDiscovery(entries []Entry) *Discovery {
	d := &Discovery{version: 1, entries: map[string]Entry{}, changed: map[string]uint64{}, changes: make(chan struct{}), MaxWait: time.Minute}
	for _, e := range entries {
		d.entries[e.ID], d.changed[e.ID] = e, 1
	}
	return d
}

// View opens a node's view and returns its address. addrOf returns the address that this node uses for a server.
func (d *Discovery) View(addrOf func(id string) string) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	v := &view{addrOf: addrOf, Addr: ln.Addr().String()}
	v.srv = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(v, w, r) })}
	d.mu.Lock()
	d.views = append(d.views, v)
	d.mu.Unlock()
	go v.srv.Serve(ln)
	return v.Addr, nil
}

// Close closes every view.
func (d *Discovery) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, v := range d.views {
		v.srv.Close()
	}
}

// Set sets the state of a server ("ready", "draining", "gone"), and its start time unless startedMS is 0. It returns the new version.
func (d *Discovery) Set(id, state string, startedMS int64) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[id]
	e.ID, e.State = id, state
	if startedMS != 0 {
		e.StartedMS = startedMS
	}
	d.version++
	d.entries[id], d.changed[id] = e, d.version
	close(d.changes)
	d.changes = make(chan struct{})
	return d.version
}

// Compact discards the history up to the current version: watches from older versions get the complete list.
func (d *Discovery) Compact() { d.mu.Lock(); d.compactedVersion = d.version; d.mu.Unlock() }

func (d *Discovery) serve(v *view, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	watch, err := registry.ParseWatchQuery(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	since, watching := watch.Since, watch.IsWatch
	d.mu.Lock()
	if watching && since >= d.version && watch.Timeout > 0 {
		changes := d.changes
		d.mu.Unlock()
		registry.Await(r.Context(), changes, min(watch.Timeout, d.MaxWait))
		d.mu.Lock()
	}
	a := answer{Version: d.version, Full: !watching || since < d.compactedVersion || since > d.version, Servers: []Entry{}}
	for id, e := range d.entries {
		if a.Full && e.State == "gone" {
			continue
		}
		if a.Full || d.changed[id] > since {
			e.Addr = v.addrOf(id)
			a.Servers = append(a.Servers, e)
		}
	}
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(a)
}
