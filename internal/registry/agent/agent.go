// Package agent is the node-side agent of PROTOCOL's "Discovery": it watches discovery's replicas, fails over
// between them with backoff and jitter, resumes from its last revision, and serves the node on loopback with
// what it has. A failed, stale or bad answer never empties or rolls back its list: the answer is dropped, the
// list kept, and X-List-Age-Ms tells how long since a replica last answered well.
package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"meadowsill/internal/registry"
)

// A watch waits so long at a replica, and is given so much more to answer in: a replica that falls silent is left after
// both. Every answer says that the list is the newest, so a short wait also keeps its age true.
const (
	watchTimeout     = 3 * time.Second
	watchAnswerSlack = 2 * time.Second
)

// Agent holds the list as last received.
type Agent struct {
	replicas       []string
	log            *slog.Logger
	client         http.Client
	mu             sync.Mutex // guards the fields down to confirmedAt
	version        uint64
	floor          uint64 // watches from before it get the complete list
	entries        map[string]registry.Entry
	changed        map[string]uint64
	listChanged    chan struct{}
	confirmedAt    time.Time
	AnswersDropped int // answers dropped as failed, stale or bad
	// Addresses gives, by id, the address this machine reaches a server at where it is not the listed one (a
	// relay or a translation); set before serving.
	Addresses map[string]string
}

// New makes an agent for the replicas' HTTP addresses.
func New(replicas []string, log *slog.Logger) *Agent {
	return &Agent{
		replicas:    replicas,
		log:         log,
		client:      http.Client{Timeout: watchTimeout + watchAnswerSlack},
		entries:     map[string]registry.Entry{},
		changed:     map[string]uint64{},
		listChanged: make(chan struct{}),
	}
}

// Dial sets how the replicas are reached; before Watch.
func (a *Agent) Dial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) {
	a.client.Transport = &http.Transport{DialContext: dial, IdleConnTimeout: time.Minute}
}

// Watch follows the replicas until ctx ends.
func (a *Agent) Watch(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 0xa6e7))
	backoff, i := 50*time.Millisecond, rnd.IntN(len(a.replicas))
	for ctx.Err() == nil {
		err := a.poll(ctx, a.replicas[i])
		if err == nil {
			backoff = 50 * time.Millisecond
			continue
		}
		a.mu.Lock()
		a.AnswersDropped++
		a.mu.Unlock()
		a.log.Warn("answer dropped", "replica", a.replicas[i], "err", err)
		i = (i + 1) % len(a.replicas)
		wait := backoff/2 + time.Duration(rnd.Int64N(int64(backoff)))
		backoff = min(backoff*2, 2*time.Second)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// poll makes one watch call and takes its answer, or says why not.
func (a *Agent) poll(ctx context.Context, replica string) error {
	a.mu.Lock()
	since := a.version
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, watchTimeout+watchAnswerSlack)
	defer cancel()
	url := fmt.Sprintf("http://%s/registry/instances?since=%d&timeout_ms=%d", replica, since, watchTimeout.Milliseconds())
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	resp, err := a.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	var ans registry.Answer
	dec := json.NewDecoder(io.LimitReader(resp.Body, 16<<20))
	if err := dec.Decode(&ans); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	return a.apply(ans)
}

// apply applies an answer unless it would roll the list back or holds a bad entry.
func (a *Agent) apply(ans registry.Answer) error {
	for _, e := range ans.Servers {
		if e.ID == "" || (e.State != "ready" && e.State != "draining" && e.State != "gone") || (ans.Full && e.State == "gone") {
			return fmt.Errorf("bad entry %+v", e)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if ans.Version < a.version || (ans.Version == a.version && len(ans.Servers) > 0 && !ans.Full) {
		return fmt.Errorf("revision %d is behind the agent's %d", ans.Version, a.version)
	}
	a.confirmedAt = time.Now()
	if ans.Version == a.version && !ans.Full {
		return nil
	}
	if ans.Full {
		a.floor = ans.Version
		for id, e := range a.entries {
			if e.State != "gone" {
				e.State = "gone"
				a.entries[id], a.changed[id] = e, ans.Version
			}
		}
	}
	for _, e := range ans.Servers {
		a.entries[e.ID], a.changed[e.ID] = e, ans.Version
	}
	for id, e := range a.entries {
		if ans.Full && e.State == "gone" && a.changed[id] != ans.Version {
			delete(a.entries, id)
		}
	}
	a.version = ans.Version
	close(a.listChanged)
	a.listChanged = make(chan struct{})
	return nil
}

// ServeHTTP answers the node as PROTOCOL's agent does, at once from what it has; a watch waits for a change.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	watch, err := registry.ParseWatchQuery(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	since := watch.Since
	a.mu.Lock()
	if watch.IsWatch && since >= a.version && watch.Timeout > 0 {
		changed := a.listChanged
		a.mu.Unlock()
		registry.Await(r.Context(), changed, watch.Timeout)
		a.mu.Lock()
	}
	full := !watch.IsWatch || since > a.version || since < a.floor
	ans := registry.Answer{Version: a.version, Full: full, Servers: []registry.Entry{}}
	for id, e := range a.entries {
		if full && e.State != "gone" || !full && a.changed[id] > since {
			if addr, ok := a.Addresses[id]; ok {
				e.Addr = addr
			}
			ans.Servers = append(ans.Servers, e)
		}
	}
	age := time.Since(a.confirmedAt)
	a.mu.Unlock()
	w.Header().Set("X-List-Age-Ms", strconv.FormatInt(age.Milliseconds(), 10))
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(ans)
}
