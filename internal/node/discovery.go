package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"meadowsill/internal/fleet/agentclient"
	"meadowsill/policy"
)

const (
	maxListBytes = 4 << 20 // bytes of a list, at most
	// A change has to be known 6 s after discovery had it and could be reached, whatever failed before. So
	// the longest call that may have begun before discovery's return, the longest wait after it (1.5 times maxRetryDelay,
	// or of package policy's maxPollBackoff, 800 ms) and the call that then brings it have to fit into 6 s, in each of these orders:
	//   a watch that fell silent, pushed:    watchTimeout + watchAnswerSlack + 0.3 s = 4.3 s; requested: + 1.2 s = 5.2 s
	//   the first call of a watch, pushed:   agentCallTimeout + 0.75 s = 2.25 s; requested: firstCallTimeout + 1.2 s = 3.7 s
	//   SIGHUP, which ends the call (4 s):   pushed: at once; requested: 1.2 s
	// A dial is part of its call. It ends at dialTimeout: a SYN that was lost is sent again only 1 s, 3 s and 7 s later,
	// so one that hangs at discovery's return is made anew sooner than the system would.
	watchTimeout      = 3 * time.Second         // for changes, in one call of a watch
	firstWatchTimeout = time.Millisecond        // the same in the call that begins one: the module waits for its answer
	watchAnswerSlack  = time.Second             // a watch that is on has its turn: an answer later than this is none
	firstCallTimeout  = 2500 * time.Millisecond // the same for a first call: it may wait its turn, 2 s at most
	agentCallTimeout  = 1500 * time.Millisecond // the same where lists are pushed: an agent has no queue
	dialTimeout       = time.Second
	minWatchInterval  = 50 * time.Millisecond
	minRetryDelay     = 200 * time.Millisecond
	maxRetryDelay     = 500 * time.Millisecond
	maxStartedMS      = 1 << 43 // ms; a later one would not fit the module's clock
	instancesPath     = "/registry/instances"
)

// endpointList is what discovery answers: all backends, or those that changed.
type endpointList struct {
	version  uint64
	complete bool
	entries  []endpoint
}

type endpoint struct {
	policy.Server
	name string // the id as discovery has it
	addr string
}

var states = map[string]policy.ServerState{"ready": policy.Ready, "draining": policy.Draining, "gone": policy.Removed}

// decodeList takes a list only if all of it makes sense.
func decodeList(raw []byte) (endpointList, error) {
	var in struct {
		Version *uint64 `json:"version"`
		Full    bool    `json:"full"`
		Servers []struct {
			ID      string  `json:"id"`
			Addr    string  `json:"addr"`
			Zone    string  `json:"zone"`
			Kind    string  `json:"kind"`
			Cell    int     `json:"cell"`
			State   string  `json:"state"`
			Weight  float64 `json:"weight"`
			Started int64   `json:"started_ms"`
		} `json:"servers"`
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return endpointList{}, fmt.Errorf("list: %w", err)
	}
	if in.Version == nil {
		return endpointList{}, errors.New("list: version is missing")
	}
	l := endpointList{version: *in.Version, complete: in.Full}
	for i, s := range in.Servers {
		state, ok := states[s.State]
		if !ok || s.ID == "" {
			return endpointList{}, fmt.Errorf("list, entry %d: id %q, unknown state %q", i, s.ID, s.State)
		}
		if _, err := netip.ParseAddrPort(s.Addr); err != nil && state != policy.Removed {
			return endpointList{}, fmt.Errorf("list, entry %d: %w", i, err)
		}
		l.entries = append(l.entries, endpoint{name: s.ID, addr: s.Addr, Server: policy.Server{
			ID:        serverID(s.ID),
			Zone:      s.Zone,
			Kind:      s.Kind,
			Cell:      s.Cell,
			State:     state,
			Weight:    s.Weight,
			StartedAt: time.Duration(min(max(0, s.Started), maxStartedMS)) * time.Millisecond,
		}})
	}
	return l, nil
}

// serverID is the module's number of a name.
func serverID(name string) policy.ServerID { return agentclient.ServerID(name) }

// discoveryClient requests the list of backends. Its calls go out on connections of its own.
type discoveryClient struct {
	client *http.Client
	log    *slog.Logger

	mu    sync.Mutex // guards the fields below
	addr  netip.AddrPort
	moved chan struct{} // closed when addr changes
}

func newDiscoveryClient(c *Config, log *slog.Logger) *discoveryClient {
	return &discoveryClient{addr: c.Discovery, moved: make(chan struct{}), log: log, client: &http.Client{
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, MaxConnsPerHost: 4, MaxIdleConnsPerHost: 2}}}
}

// setAddress sends all further calls to another address, and ends those that wait at the old one: what they wait for
// may never come there.
func (d *discoveryClient) setAddress(to netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if to == d.addr {
		return
	}
	d.log.Info("discovery moved", "from", d.addr, "to", to)
	close(d.moved)
	d.addr, d.moved = to, make(chan struct{})
	d.client.CloseIdleConnections()
}

// address returns the address to call, and what is closed once it has changed.
func (d *discoveryClient) address() (netip.AddrPort, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addr, d.moved
}

func (d *discoveryClient) call(ctx context.Context, query string, limit time.Duration) (endpointList, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	addr, moved := d.address()
	go func() {
		select {
		case <-moved:
			cancel()
		case <-ctx.Done():
		}
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+instancesPath+query, nil)
	if err != nil {
		return endpointList{}, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		// The client lets a dial go on that nobody waits for, and counts it as one of the address's connections:
		// the next call must not wait for that place. It goes out on a connection of its own.
		d.client.CloseIdleConnections()
		return endpointList{}, err
	}
	defer resp.Body.Close()
	var body bytes.Buffer
	if _, err := body.ReadFrom(io.LimitReader(resp.Body, maxListBytes)); err != nil {
		return endpointList{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return endpointList{}, fmt.Errorf("discovery answers %s", resp.Status)
	}
	return decodeList(body.Bytes())
}

// fetch requests the complete list once.
func (d *discoveryClient) fetch(ctx context.Context) (endpointList, error) {
	return d.call(ctx, "", firstCallTimeout)
}

// watch hands on changes from a version on, the answer to its first call even if it holds none, until a call
// fails. A version may also go back, when discovery returns with an older list: it is followed from there, so that
// nothing that has changed since is missed.
func (d *discoveryClient) watch(ctx context.Context, since uint64, slack time.Duration, update func(endpointList)) error {
	wait := firstWatchTimeout
	for first := true; ; first = false {
		requested := time.Now()
		l, err := d.call(ctx, fmt.Sprintf("?since=%d&timeout_ms=%d", since, wait.Milliseconds()), wait+slack)
		if err != nil {
			return err
		}
		if first || l.complete || len(l.entries) > 0 || l.version != since {
			update(l)
		}
		// An agent may answer at once, always: that must not become a busy loop. A watch goes on over 200 ms.
		if !first && l.version == since && time.Since(requested) < minWatchInterval {
			select {
			case <-ctx.Done():
			case <-time.After(minWatchInterval):
			}
		}
		since = l.version
		wait = watchTimeout
		slack = watchAnswerSlack
	}
}

// follow keeps a watch where lists are pushed and so nobody requests one.
func (d *discoveryClient) follow(ctx context.Context, since uint64, update func(endpointList)) {
	retry := minRetryDelay
	for ctx.Err() == nil {
		_, moved := d.address()
		err := d.watch(ctx, since, agentCallTimeout, func(l endpointList) { since, retry = l.version, minRetryDelay; update(l) })
		d.log.Debug("watch ended", "err", err)
		select {
		case <-ctx.Done():
		case <-moved:
			retry = minRetryDelay / 2 // doubled below
		case <-time.After(time.Duration(float64(retry) * (0.5 + rand.Float64()))):
		}
		retry = min(2*retry, maxRetryDelay)
	}
}
