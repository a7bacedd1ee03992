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
	listLimit = 4 << 20 // bytes of a list, at most
	// A change has to be known 6 s after discovery had it and could be reached, whatever failed before. So
	// the longest call that may have begun before discovery's return, the longest wait after it (1.5 times retryLast,
	// or of decide's askLast, 800 ms) and the call that then brings it have to fit into 6 s, in each of these orders:
	//   a watch that fell silent, pushed:    watchWait + watchSlack + 0.3 s = 4.3 s; asked for: + 1.2 s = 5.2 s
	//   the first call of a watch, pushed:   agentSlack + 0.75 s = 2.25 s; asked for: callSlack + 1.2 s = 3.7 s
	//   SIGHUP, which ends the call (4 s):   pushed: at once; asked for: 1.2 s
	// A dial is part of its call. It ends at dialLimit: a SYN that was lost is sent again only 1 s, 3 s and 7 s later,
	// so one that hangs at discovery's return is made anew sooner than the system would.
	watchWait   = 3 * time.Second         // for changes, in one call of a watch
	firstWait   = time.Millisecond        // the same in the call that begins one: the module waits for its answer
	watchSlack  = time.Second             // a watch that is on has its turn: an answer later than this is none
	callSlack   = 2500 * time.Millisecond // the same for a first call: it may wait its turn, 2 s at most
	agentSlack  = 1500 * time.Millisecond // the same where lists are pushed: an agent has no queue
	dialLimit   = time.Second
	agentPause  = 50 * time.Millisecond
	retryFirst  = 200 * time.Millisecond
	retryLast   = 500 * time.Millisecond
	latestStart = 1 << 43 // ms; a later one would not fit the module's clock
	registryURL = "/registry/instances"
)

// list is what discovery answers: all backends, or those that changed.
type list struct {
	version uint64
	full    bool
	entries []entry
}

type entry struct {
	policy.Server
	name string // the id as discovery has it
	addr string
}

var states = map[string]policy.ServerState{"ready": policy.Ready, "draining": policy.Draining, "gone": policy.Removed}

// decodeList takes a list only if all of it makes sense.
func decodeList(raw []byte) (list, error) {
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
		return list{}, fmt.Errorf("list: %w", err)
	}
	if in.Version == nil {
		return list{}, errors.New("list: version is missing")
	}
	l := list{version: *in.Version, full: in.Full}
	for i, s := range in.Servers {
		state, ok := states[s.State]
		if !ok || s.ID == "" {
			return list{}, fmt.Errorf("list, entry %d: id %q, unknown state %q", i, s.ID, s.State)
		}
		if _, err := netip.ParseAddrPort(s.Addr); err != nil && state != policy.Removed {
			return list{}, fmt.Errorf("list, entry %d: %w", i, err)
		}
		l.entries = append(l.entries, entry{name: s.ID, addr: s.Addr, Server: policy.Server{ID: serverID(s.ID), Zone: s.Zone, Kind: s.Kind,
			Cell: s.Cell, State: state, Weight: s.Weight, StartedAt: time.Duration(min(max(0, s.Started), latestStart)) * time.Millisecond}})
	}
	return l, nil
}

// serverID is the module's number of a name.
func serverID(name string) policy.ServerID { return agentclient.ServerID(name) }

// discovery asks for the list of backends. Its calls go out on connections of its own.
type discovery struct {
	client *http.Client
	log    *slog.Logger

	mu    sync.Mutex
	addr  netip.AddrPort
	moved chan struct{} // closed when addr changes
}

func newDiscovery(c *Config, log *slog.Logger) *discovery {
	return &discovery{addr: c.Discovery, moved: make(chan struct{}), log: log, client: &http.Client{
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialLimit}).DialContext, MaxConnsPerHost: 4, MaxIdleConnsPerHost: 2}}}
}

// move sends all further calls to another address, and ends those that wait at the old one: what they wait for
// may never come there.
func (d *discovery) move(to netip.AddrPort) {
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

// at gives the address to call, and what is closed once it has changed.
func (d *discovery) at() (netip.AddrPort, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addr, d.moved
}

func (d *discovery) call(ctx context.Context, query string, limit time.Duration) (list, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	addr, moved := d.at()
	go func() {
		select {
		case <-moved:
			cancel()
		case <-ctx.Done():
		}
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+registryURL+query, nil)
	if err != nil {
		return list{}, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		// The client lets a dial go on that nobody waits for, and counts it as one of the address's connections:
		// the next call must not wait for that place. It goes out on a connection of its own.
		d.client.CloseIdleConnections()
		return list{}, err
	}
	defer resp.Body.Close()
	var body bytes.Buffer
	if _, err := body.ReadFrom(io.LimitReader(resp.Body, listLimit)); err != nil {
		return list{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return list{}, fmt.Errorf("discovery answers %s", resp.Status)
	}
	return decodeList(body.Bytes())
}

// fetch asks for the whole list once.
func (d *discovery) fetch(ctx context.Context) (list, error) { return d.call(ctx, "", callSlack) }

// watch hands on changes from a version on, the answer to its first call even if it holds none, until a call
// fails. A version may also go back, when discovery returns with an older list: it is followed from there, so that
// nothing that has changed since is missed.
func (d *discovery) watch(ctx context.Context, since uint64, slack time.Duration, update func(list)) error {
	wait := firstWait
	for first := true; ; first = false {
		asked := time.Now()
		l, err := d.call(ctx, fmt.Sprintf("?since=%d&timeout_ms=%d", since, wait.Milliseconds()), wait+slack)
		if err != nil {
			return err
		}
		if first || l.full || len(l.entries) > 0 || l.version != since {
			update(l)
		}
		// An agent may answer at once, always: that must not become a busy loop. A watch goes on over 200 ms.
		if !first && l.version == since && time.Since(asked) < agentPause {
			select {
			case <-ctx.Done():
			case <-time.After(agentPause):
			}
		}
		since, wait, slack = l.version, watchWait, watchSlack
	}
}

// follow keeps a watch where lists are pushed and so nobody asks for one.
func (d *discovery) follow(ctx context.Context, since uint64, update func(list)) {
	retry := retryFirst
	for ctx.Err() == nil {
		_, moved := d.at()
		err := d.watch(ctx, since, agentSlack, func(l list) { since, retry = l.version, retryFirst; update(l) })
		d.log.Debug("watch ended", "err", err)
		select {
		case <-ctx.Done():
		case <-moved:
			retry = retryFirst / 2 // doubled below
		case <-time.After(time.Duration(float64(retry) * (0.5 + rand.Float64()))):
		}
		retry = min(2*retry, retryLast)
	}
}
