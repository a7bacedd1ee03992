package hollow

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"meadowsill/internal/registry"
)

const (
	serversPerWorker = 8
	maxWorkers       = 1024                   // each worker has one connection
	renewalsPerLease = 3                      // a lease is renewed after 1/renewalsPerLease of its TTL
	registerTimeout  = 5 * time.Second        // timeout of one call
	retryPause       = 50 * time.Millisecond  // after a failed call
	replaceTimeout   = 30 * time.Second       // timeout for the replacement of one server
	serverPort       = 10_000                 // port of a server's first address; each replacement has the next port
	serverPorts      = 50_000                 // number of ports after which a server's ports start again at serverPort
	maxRoundDelay    = 100 * time.Millisecond // a worker that is later than this starts its next round at once, without catching up
)

// registrants are the hollow app servers of a process. Each worker holds the leases of some of them and makes its calls one after
// another over one connection. The calls of all workers are spread evenly over the renewal period.
type registrants struct {
	cfg     *Config
	state   *fleetState
	log     *slog.Logger
	workers int
	servers []*server
	leader  atomic.Int64 // index of the replica that calls are sent to first
}

// server is one hollow app server.
type server struct {
	number int

	mu           sync.Mutex // held during the server's calls
	replacements int        // number of addresses that the server had before
	startedMS    int64
	registered   bool
	renewedAt    atomic.Int64 // start of the last call that extended the lease, Unix ns
}

func newRegistrants(cfg *Config, state *fleetState, log *slog.Logger) *registrants {
	r := &registrants{cfg: cfg, state: state, log: log}
	if cfg.Servers == 0 {
		return r
	}
	r.workers = min(max(1, cfg.Servers/serversPerWorker), maxWorkers)
	now := time.Now().UnixMilli()
	for i := range cfg.Servers {
		r.servers = append(r.servers, &server{number: cfg.FirstServer + i, startedMS: now})
	}
	return r
}

// registered returns the number of servers whose lease is held: their last successful registration or renewal began less than a TTL
// ago.
func (r *registrants) registered() (count int) {
	for _, s := range r.servers {
		if s.renewedAt.Load() > time.Now().UnixNano()-r.cfg.LeaseTTLMS*int64(time.Millisecond) {
			count++
		}
	}
	return count
}

// renew registers the servers of one worker and renews their leases until ctx ends.
func (r *registrants) renew(ctx context.Context, worker int) {
	connections := r.state.sockets.connections()
	defer connections.close()
	client := newClient(connections, 1)
	period := time.Duration(r.cfg.LeaseTTLMS) * time.Millisecond / renewalsPerLease
	spacing := period / time.Duration(len(r.servers))
	roundStart := time.Now()
	for ctx.Err() == nil {
		for i := worker; i < len(r.servers) && ctx.Err() == nil; i += r.workers {
			due := roundStart.Add(time.Duration(i) * spacing)
			if wait := time.Until(due); wait > 0 {
				pause(ctx, wait)
			}
			s := r.servers[i]
			s.mu.Lock()
			if err := r.renewOrRegister(ctx, client, s); err != nil && ctx.Err() == nil {
				r.log.Debug("lease not renewed", "server", ServerName(s.number), "err", err)
			}
			s.mu.Unlock()
		}
		if roundStart = roundStart.Add(period); time.Since(roundStart) > maxRoundDelay {
			roundStart = time.Now()
		}
	}
}

// newClient returns an HTTP client with at most maximum connections to each replica.
func newClient(connections *connections, maximum int) *http.Client {
	return &http.Client{Timeout: registerTimeout, Transport: &http.Transport{
		DialContext:         connections.dial,
		MaxConnsPerHost:     maximum,
		MaxIdleConnsPerHost: maximum,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
}

// errUnknownRegistration is returned when a replica does not know the lease.
var errUnknownRegistration = errors.New("no such registration")

// renewOrRegister renews a server's lease, or registers the server if it has none. The caller holds the server's mu.
func (r *registrants) renewOrRegister(ctx context.Context, client *http.Client, s *server) error {
	began := time.Now()
	err := errUnknownRegistration
	if s.registered {
		err = r.post(ctx, client, "renew", renewal{ID: ServerName(s.number), TTLMS: r.cfg.LeaseTTLMS})
	}
	if errors.Is(err, errUnknownRegistration) {
		s.registered = false
		err = r.register(ctx, client, s)
	}
	if err == nil {
		s.registered = true
		s.renewedAt.Store(began.UnixNano())
	}
	return err
}

// registration is the body of a register call.
type registration struct {
	registry.Entry
	TTLMS int64 `json:"ttl_ms"`
}

// renewal is the body of a call on a held lease: a renew call, or, without a TTL, a deregister call.
type renewal struct {
	ID    string `json:"id"`
	TTLMS int64  `json:"ttl_ms,omitempty"`
}

// register registers a server at a replica.
func (r *registrants) register(ctx context.Context, client *http.Client, s *server) error {
	service, zone := r.cfg.serverPlace(s.number)
	return r.post(ctx, client, "register", registration{TTLMS: r.cfg.LeaseTTLMS,
		Entry: registry.Entry{ID: ServerName(s.number), Addr: ServerAddress(s.number, s.replacements), Zone: zone, Kind: service, State: "ready", Weight: 1, StartedMS: s.startedMS}})
}

// ServerAddress returns the address of the server with the given number after that many replacements. Nothing in this package
// listens on it.
func ServerAddress(number, replacements int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+number>>16, number>>8&0xff, number&0xff, serverPort+replacements%serverPorts)
}

// post makes one call to the replica that is taken for the leader. If the replica names another leader in X-Leader, post tries that
// one, otherwise the next replica after a pause. It gives up after two attempts per replica.
func (r *registrants) post(ctx context.Context, client *http.Client, operation string, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	for range 2 * len(r.cfg.Replicas) {
		current := int(r.leader.Load())
		var leader string
		leader, err = r.attempt(ctx, client, r.cfg.Replicas[current], operation, raw)
		if err == nil || errors.Is(err, errUnknownRegistration) || ctx.Err() != nil {
			return err
		}
		if next := slices.Index(r.cfg.Replicas, leader); next >= 0 && next != current {
			r.leader.CompareAndSwap(int64(current), int64(next))
			continue
		}
		r.leader.CompareAndSwap(int64(current), int64((current+1)%len(r.cfg.Replicas)))
		pause(ctx, retryPause)
	}
	return err
}

// attempt makes one call to one replica; leader is the leader's address if the replica names it in X-Leader.
func (r *registrants) attempt(ctx context.Context, client *http.Client, replica, operation string, body []byte) (leader string, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+replica+"/registry/v1/"+operation, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, 1<<10))
	switch {
	case err != nil:
		return "", err
	case response.StatusCode == http.StatusNotFound:
		return "", errUnknownRegistration
	case response.StatusCode != http.StatusOK:
		return response.Header.Get("X-Leader"), fmt.Errorf("%s: status %d: %.100q", operation, response.StatusCode, bytes.TrimSpace(text))
	}
	return "", nil
}

// retry repeats a call, also while there is no leader, until it succeeds, the lease is unknown or ctx ends.
func (r *registrants) retry(ctx context.Context, call func() error) error {
	for {
		err := call()
		if err == nil || errors.Is(err, errUnknownRegistration) || ctx.Err() != nil {
			return err
		}
		pause(ctx, retryPause)
	}
}

// replace deregisters servers and registers them again under new addresses.
func (r *registrants) replace(ctx context.Context, first, count int) error {
	connections := r.state.sockets.connections()
	defer connections.close()
	client := newClient(connections, maxConcurrency)
	return forEach(count, func(i int) error {
		ctx, cancel := context.WithTimeout(ctx, replaceTimeout)
		defer cancel()
		s := r.servers[first-r.cfg.FirstServer+i]
		s.mu.Lock()
		defer s.mu.Unlock()
		err := r.retry(ctx, func() error { return r.post(ctx, client, "deregister", renewal{ID: ServerName(s.number)}) })
		if err != nil && !errors.Is(err, errUnknownRegistration) {
			return fmt.Errorf("replace: %s: %w", ServerName(s.number), err)
		}
		s.registered = false
		s.replacements++
		s.startedMS = time.Now().UnixMilli()
		s.renewedAt.Store(0)
		if err := r.retry(ctx, func() error { return r.renewOrRegister(ctx, client, s) }); err != nil {
			return fmt.Errorf("replace: %s: %w", ServerName(s.number), err)
		}
		return nil
	})
}
