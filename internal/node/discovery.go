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
	maxListBytes = 4 << 20 // bytes of an endpoint list
	// The node has to know a change within 6 s of the time at which discovery has it and is reachable, whatever failed
	// before. Three parts have to fit into these 6 s: the longest call that may have started before discovery became
	// reachable again, the longest delay after that call (1.5 times maxRetryDelay, or 1.5 times maxPollBackoff of package
	// policy, which is 800 ms), and the call that then returns the change. The worst cases, where "pushed" stands for a
	// watch that the node keeps by itself and "requested" for calls that the module requests, are:
	//   a watch that fell silent, pushed:    watchTimeout + watchAnswerSlack + 0.3 s = 4.3 s; requested: + 1.2 s = 5.2 s
	//   the first call of a watch, pushed:   agentCallTimeout + 0.75 s = 2.25 s; requested: firstCallTimeout + 1.2 s = 3.7 s
	//   SIGHUP, which ends the call (4 s instead of 6 s):   pushed: at once; requested: 1.2 s
	// The time for a dial is part of its call. The kernel sends a lost SYN again only after 1 s, 3 s and 7 s, so a dial that
	// hangs when discovery returns is ended after dialTimeout and repeated sooner than the kernel would.
	watchTimeout      = 3 * time.Second         // how long one call of a watch waits at discovery for changes
	firstWatchTimeout = time.Millisecond        // the same for the first call of a watch: the module waits for its answer
	watchAnswerSlack  = time.Second             // added to watchTimeout: an open watch is not queued, so a later answer counts as lost
	firstCallTimeout  = 2500 * time.Millisecond // the same for a first call, which discovery may queue for 2 s at most
	agentCallTimeout  = 1500 * time.Millisecond // the same for a first call where lists are pushed: an agent has no queue
	dialTimeout       = time.Second
	minWatchInterval  = 50 * time.Millisecond
	minRetryDelay     = 200 * time.Millisecond
	maxRetryDelay     = 500 * time.Millisecond
	maxStartedMS      = 1 << 43 // ms since 1970; a later start time would not fit the module's clock
	instancesPath     = "/registry/instances"
)

// endpointList is an answer of discovery. It holds all app servers if complete is set, and otherwise those that changed.
type endpointList struct {
	version  uint64
	complete bool
	entries  []endpoint
}

// endpoint is an app server in an endpointList.
type endpoint struct {
	policy.Server
	name string // the server's id at discovery
	addr string
}

// serverStates maps the names of states at discovery to those of the module.
var serverStates = map[string]policy.ServerState{"ready": policy.Ready, "draining": policy.Draining, "gone": policy.Removed}

// decodeList decodes an endpoint list. It rejects the complete list if any entry is invalid.
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
		state, ok := serverStates[s.State]
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

// serverID returns the module's number for the server with a name.
func serverID(name string) policy.ServerID { return agentclient.ServerID(name) }

// discoveryClient requests the list of app servers from discovery. It uses connections of its own.
type discoveryClient struct {
	client *http.Client
	log    *slog.Logger

	mu          sync.Mutex // guards the fields below
	addr        netip.AddrPort
	addrChanged chan struct{} // closed and replaced when addr changes
}

// newDiscoveryClient returns a client for the address of discovery in the configuration.
func newDiscoveryClient(c *Config, log *slog.Logger) *discoveryClient {
	return &discoveryClient{addr: c.Discovery, addrChanged: make(chan struct{}), log: log, client: &http.Client{
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, MaxConnsPerHost: 4, MaxIdleConnsPerHost: 2}}}
}

// setAddress directs all further calls to another address. It cancels the calls that wait at the old address, since the
// changes that they wait for may never arrive there.
func (d *discoveryClient) setAddress(to netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if to == d.addr {
		return
	}
	d.log.Info("discovery address changed", "from", d.addr, "to", to)
	close(d.addrChanged)
	d.addr, d.addrChanged = to, make(chan struct{})
	d.client.CloseIdleConnections()
}

// address returns the address to call, and a channel that is closed when the address changes.
func (d *discoveryClient) address() (netip.AddrPort, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addr, d.addrChanged
}

// call gets the endpoint list, or its changes, as query asks. It fails after the timeout, and as soon as discovery's address changes.
func (d *discoveryClient) call(ctx context.Context, query string, timeout time.Duration) (endpointList, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	addr, addrChanged := d.address()
	go func() {
		select {
		case <-addrChanged:
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
		// After a call is canceled, http.Client continues its dial and counts it among the connections of the address
		// (MaxConnsPerHost). The next call must not wait for that dial to end; it opens a new connection.
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

// watch calls update with the changes since a version, and returns when a call fails. It also passes on the answer to its
// first call if that holds no change. The version may decrease when discovery restarts with an older list; the watch then
// continues from the lower version, so that it misses no later change.
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
		// An agent may answer every call at once, which must not become a busy loop. A regular call of a watch lasts over 200 ms.
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

// follow keeps a watch open, and opens it again after an error, where lists are pushed and the module requests none.
func (d *discoveryClient) follow(ctx context.Context, since uint64, update func(endpointList)) {
	retry := minRetryDelay
	for ctx.Err() == nil {
		_, addrChanged := d.address()
		err := d.watch(ctx, since, agentCallTimeout, func(l endpointList) { since, retry = l.version, minRetryDelay; update(l) })
		d.log.Debug("watch ended", "err", err)
		select {
		case <-ctx.Done():
		case <-addrChanged:
			retry = minRetryDelay / 2 // doubled below
		case <-time.After(time.Duration(float64(retry) * (0.5 + rand.Float64()))):
		}
		retry = min(2*retry, maxRetryDelay)
	}
}
