package stub

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"meadowsill/internal/registry"
)

// Entry is one app server in the list, as PROTOCOL's "Discovery" gives it. Addr is filled in for each node.
type Entry = registry.Entry

type answer = registry.Answer

// Discovery is a stub discovery agent with one version for the whole list and watches. Each node has a view
// of its own, on an address of its own, in which every server's address is the one that node is to use.
type Discovery struct {
	mu      sync.Mutex
	version uint64
	entries map[string]Entry  // by id, the latest of each; gone ones stay as last set
	changed map[string]uint64 // by id, the version of its last change
	floor   uint64            // watches from before it get the whole list
	changes chan struct{}     // closed at each change
	views   []*view
	MaxWait time.Duration // the longest watch, 60 s by PROTOCOL
}

type view struct {
	addrOf func(id string) string
	srv    *http.Server
	Addr   string
}

// NewDiscovery starts with entries at version 1.
func NewDiscovery(entries []Entry) *Discovery {
	d := &Discovery{version: 1, entries: map[string]Entry{}, changed: map[string]uint64{}, changes: make(chan struct{}), MaxWait: time.Minute}
	for _, e := range entries {
		d.entries[e.ID], d.changed[e.ID] = e, 1
	}
	return d
}

// View opens a node's address; addrOf gives the address that node has for a server. It answers the address.
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

// Close ends every view.
func (d *Discovery) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, v := range d.views {
		v.srv.Close()
	}
}

// Set changes one server's state ("ready", "draining", "gone") under a new version, and says which.
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

// Compact forgets the changes up to the present version: older watches get the whole list.
func (d *Discovery) Compact() { d.mu.Lock(); d.floor = d.version; d.mu.Unlock() }

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
	a := answer{Version: d.version, Full: !watching || since < d.floor || since > d.version, Servers: []Entry{}}
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
