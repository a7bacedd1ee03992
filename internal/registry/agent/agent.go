// Package agent is the node-side agent of PROTOCOL's "Discovery". It watches discovery's replicas, fails over between them
// with backoff and jitter, resumes from its last revision, and serves its copy of the list to the node on loopback. A
// failed, stale or invalid answer never empties the list or rolls it back: the agent drops the answer, keeps the list, and
// reports the time since the last valid answer of a replica in X-List-Age-Ms.
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

// Timeouts of a watch. A replica holds a watch for watchTimeout at most, and the agent fails over after watchTimeout +
// watchAnswerSlack without an answer. Each answer confirms that the list is current, so a short wait also keeps the list's
// age accurate.
const (
	watchTimeout     = 3 * time.Second
	watchAnswerSlack = 2 * time.Second
)

// Agent watches the replicas and holds the list as last received.
type Agent struct {
	replicas       []string
	log            *slog.Logger
	client         http.Client
	mu             sync.Mutex // guards the fields down to confirmedAt
	version        uint64
	floor          uint64 // a watch from an older revision gets the complete list
	entries        map[string]registry.Entry
	changed        map[string]uint64
	listChanged    chan struct{}
	confirmedAt    time.Time
	AnswersDropped int // number of answers dropped because they were failed, stale or invalid
	// Addresses maps a server's id to the address at which this machine reaches the server, where that is not the listed
	// address (a relay or an address translation). It must be set before the agent serves requests.
	Addresses map[string]string
}

// New returns an agent that watches the replicas at the given HTTP addresses.
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

// Dial sets the function that connects to the replicas. It must be called before Watch.
func (a *Agent) Dial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) {
	a.client.Transport = &http.Transport{DialContext: dial, IdleConnTimeout: time.Minute}
}

// Watch polls the replicas until ctx is done. After a failed or invalid answer it backs off and goes on with the next replica.
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

// poll sends one watch request to a replica and applies its answer.
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

// apply updates the list from an answer. It rejects an answer that would roll the list back or that has an invalid entry.
func (a *Agent) apply(ans registry.Answer) error {
	for _, e := range ans.Servers {
		if e.ID == "" || (e.State != "ready" && e.State != "draining" && e.State != "gone") || (ans.Full && e.State == "gone") {
			return fmt.Errorf("invalid entry %+v", e)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if ans.Version < a.version || (ans.Version == a.version && len(ans.Servers) > 0 && !ans.Full) {
		return fmt.Errorf("revision %d is older than the agent's revision %d", ans.Version, a.version)
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

// ServeHTTP serves the node's reads and watches by PROTOCOL. A read is answered at once from the agent's list; a watch waits
// for a change.
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
