package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// replicas are the replicas of discovery.
type replicas struct {
	run   *run
	names []string
	raft  []string
	http  []string
	fleet string // the file of the fleet's settings, or ""
	procs []*process
}

// startReplicas starts three replicas and waits until one leads.
func (r *run) startReplicas(fleet string) *replicas {
	c := &replicas{run: r, names: []string{"a", "b", "c"}, procs: make([]*process, 3)}
	for range c.names {
		c.raft = append(c.raft, r.freeAddr())
		c.http = append(c.http, r.freeAddr())
	}
	if fleet != "" {
		c.fleet = filepath.Join(r.dir, "fleet.toml")
		if err := os.WriteFile(c.fleet, []byte(fleet), 0o644); err != nil {
			r.fatalf("%v", err)
		}
	}
	for i := range c.names {
		c.startOne(i)
	}
	r.wait("a replica leads", 15*time.Second, func() bool { return c.leader() >= 0 })
	return c
}

func (c *replicas) startOne(i int) {
	args := []string{"serve", "--id", c.names[i], "--dir", filepath.Join(c.run.dir, "replica-"+c.names[i])}
	for j, name := range c.names {
		args = append(args, "--peer", name+"="+c.raft[j]+"="+c.http[j])
	}
	if c.fleet != "" {
		args = append(args, "--fleet", c.fleet)
	}
	c.procs[i] = c.run.exec("replica-"+c.names[i], "discovery", nil, args...)
}

// leader returns the index of a replica that says it leads, or -1.
func (c *replicas) leader() int {
	for i := range c.names {
		if c.procs[i].ended() {
			continue
		}
		var status struct {
			State string `json:"state"`
		}
		if code, body, _, err := get("http://"+c.http[i]+"/registry/v1/status", time.Second); err == nil && code == 200 && json.Unmarshal(body, &status) == nil && status.State == "Leader" {
			return i
		}
	}
	return -1
}

// get makes a GET on a connection of its own.
func get(url string, timeout time.Duration) (int, []byte, http.Header, error) {
	return call(http.MethodGet, url, nil, timeout)
}

func call(method, url string, body []byte, timeout time.Duration) (int, []byte, http.Header, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, raw, resp.Header, err
}

// write sends a change to the leader until it is acknowledged or stop is closed, and returns the revision.
func (c *replicas) write(path, method string, body any, limit time.Duration) (raw []byte, err error) {
	text, _ := json.Marshal(body)
	if body == nil {
		text = nil
	}
	at := 0
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		code, raw, header, callErr := call(method, "http://"+c.http[at]+path, text, 2*time.Second)
		if callErr == nil && code == 200 {
			return raw, nil
		}
		err = callErr
		if callErr == nil {
			err = fmt.Errorf("status %d: %.200s", code, raw)
			if code < 500 {
				return raw, err
			}
		}
		next := (at + 1) % len(c.http)
		if leader := header.Get("X-Leader"); leader != "" {
			for i, addr := range c.http {
				if addr == leader {
					next = i
				}
			}
		}
		at = next
	}
	return nil, err
}

type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

type list struct {
	Version uint64  `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// readList reads the list at an address.
func readList(addr, query string, timeout time.Duration) (l list, code int, header http.Header, err error) {
	code, raw, header, err := get("http://"+addr+"/registry/instances"+query, timeout)
	if err == nil && code == 200 {
		err = json.Unmarshal(raw, &l)
	}
	return l, code, header, err
}

// register registers an app server once.
func (c *replicas) register(e entry, ttl, limit time.Duration) error {
	body := map[string]any{"id": e.ID, "addr": e.Addr, "zone": e.Zone, "kind": e.Kind, "cell": e.Cell, "state": e.State, "weight": e.Weight,
		"started_ms": e.StartedMS, "ttl_ms": ttl.Milliseconds()}
	_, err := c.write("/registry/v1/register", http.MethodPost, body, limit)
	return err
}

// keepRegistered registers an app server and renews its lease at a third of its length until stop is closed.
func (c *replicas) keepRegistered(e entry, ttl time.Duration, stop <-chan struct{}) {
	go func() {
		for {
			c.register(e, ttl, ttl)
			select {
			case <-stop:
				return
			case <-time.After(ttl / 3):
			}
		}
	}()
}

// appServer is an app server as PROTOCOL describes it.
type appServer struct {
	run  *run
	id   string
	addr string
	work time.Duration
	mu   sync.Mutex
	ran  map[string]int // by request id
	sent func(id string) bool
}

// startAppServer starts an app server that works for a time on each request.
func (r *run) startAppServer(id string, work time.Duration, sent func(id string) bool) *appServer {
	s := &appServer{run: r, id: id, work: work, ran: map[string]int{}, sent: sent}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.fatalf("%v", err)
	}
	s.addr = l.Addr().String()
	go (&http.Server{Handler: s, IdleTimeout: 15 * time.Second}).Serve(l)
	return s
}

func (s *appServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Correlation-Id")
	switch {
	case id == "":
		w.WriteHeader(http.StatusNotFound)
		return
	case !s.sent(id):
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.ran[id]++
	s.mu.Unlock()
	s.run.logf("app server %s runs %s", s.id, id)
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	io.WriteString(w, "done "+id)
}

// load is what clients send and are answered.
type load struct {
	run  *run
	mu   sync.Mutex
	ids  map[string]bool
	next atomic.Int64
}

func (l *load) sent(id string) bool { l.mu.Lock(); defer l.mu.Unlock(); return l.ids[id] }

func (l *load) newID() string {
	id := fmt.Sprintf("%016x", l.next.Add(1)+int64(os.Getpid())<<32)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ids == nil {
		l.ids = map[string]bool{}
	}
	l.ids[id] = true
	return id
}

// answer is what a client got: status 0 for no answer.
type answer struct {
	id     string
	status int
	body   string
	err    error
	took   time.Duration
}

var clientTransport = &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: time.Minute}

// send sends one request of a class to a node, as a client does.
func (l *load) send(node, class, account string) answer {
	method, wait, body := http.MethodGet, 1200*time.Millisecond, ""
	if class == "place-order" {
		method, wait, body = http.MethodPost, 1500*time.Millisecond, "order"
	}
	a := answer{id: l.newID()}
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), wait+50*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+node+"/"+class, strings.NewReader(body))
	req.Header.Set("X-Correlation-Id", a.id)
	req.Header.Set("X-Time-Left", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	if account != "" {
		req.Header.Set("X-Account", account)
	}
	client := http.Client{Transport: clientTransport}
	resp, err := client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		raw, readErr := io.ReadAll(resp.Body)
		a.status, a.body, err = resp.StatusCode, strings.TrimSpace(string(raw)), readErr
	}
	a.err, a.took = err, time.Since(began)
	l.run.logf("sent %s %s account %q to %s: %d %.40q after %v, %v", a.id, class, account, node, a.status, a.body, a.took.Round(time.Millisecond), a.err)
	return a
}

// settings returns the settings object of a small deployment, for the node of a number in a zone.
func settings(nodes, slot int, zone string) map[string]any {
	var s map[string]any
	if err := json.Unmarshal([]byte(settingsText), &s); err != nil {
		panic(err)
	}
	s["balancers"], s["slot_no"], s["zone"] = nodes, slot, zone
	return s
}

// settingsText is the settings object of the operator's page on the wire.
const settingsText = `{"accounts": [{"fraction": 0.29, "name": "sahil-pets", "quota_per_s": 82.0}, {"fraction": 0.23, "name": "qatt-care", "quota_per_s": 65.0}],
 "balancers": 4,
 "caps": {"cancel": true, "conn_idle_ns": 15000000000, "connect_timeout_ns": 200000000, "cpu_us_per_request": 0.0, "cpu_us_per_s": 8000, "max_attempts": 6, "max_retry_after_ns": 750000000, "may_duplicate": false, "most_held": 20000, "multiplex": 1, "peers": false, "probes": false, "retry_after": true},
 "charges": {"connection": 0.0, "cross_zone": 0.043, "handshake": 0.0, "late_fail": 0.053, "membership_mode": 0.0, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.0, "waste": 0.036},
 "classes": [{"aim_ns": 400000000, "dedup_window_ns": 5000000000, "effect": "retryable", "give_up_ns": 1200000000, "importance": 1.0, "key_scope": "all", "late_worth": 0.25, "name": "schedule-view", "streamed": false}, {"aim_ns": 750000000, "dedup_window_ns": 5000000000, "effect": "fragile", "give_up_ns": 1500000000, "importance": 8.0, "key_scope": "all", "late_worth": 0.2, "name": "place-order", "streamed": false}],
 "client_habits": {"marks_retry": true},
 "failure_domains": ["ghala", "rusayl", "seeb", "barka"],
 "family": "proxy",
 "goal": {"whole": 0.6, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.1},
 "invariants": {"answer_slack_ns": 20000000, "ask_within_ns": 10000000000, "cold_from": 0.39, "cold_ns": 8700000000, "drain_grace_ns": 1000000000, "overload_factor": 4.0, "tip_after_ns": 1500000000},
 "kinds": ["std-2c", "old-2c"],
 "membership_mode": "pushed",
 "over_share_worth": 0.05,
 "report": {"fields": [], "how": "none"},
 "slot_no": 0,
 "specifics": {"warm_keys": false},
 "tick_ns": 5000000,
 "tier": 0,
 "tiers": ["subs-web"],
 "weight_kind": "none",
 "worth_by": "work",
 "zone": "rusayl"}`

// node is a node's configuration.
type node struct {
	run    *run
	name   string
	addr   string
	config map[string]any
	tmp    string
	proc   *process
	starts int
}

// newNode returns a node that asks discovery at an address. It is not started.
func (r *run) newNode(name, discovery string, nodes, slot int, zone string) *node {
	n := &node{run: r, name: name, addr: r.freeAddr(), tmp: filepath.Join(r.dir, "tmp-"+name)}
	if err := os.MkdirAll(n.tmp, 0o755); err != nil {
		r.fatalf("%v", err)
	}
	n.config = map[string]any{"name": name, "listen": n.addr, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings(nodes, slot, zone)}
	return n
}

func (n *node) start() {
	file := filepath.Join(n.run.dir, n.name+".json")
	raw, _ := json.Marshal(n.config)
	if err := os.WriteFile(file, raw, 0o644); err != nil {
		n.run.fatalf("%v", err)
	}
	n.starts++
	n.proc = n.run.exec(fmt.Sprintf("node-%s-%d", n.name, n.starts), "balancer", []string{"GW_CONFIG=" + file, "TMPDIR=" + n.tmp})
}

// ready reports whether the node says that it is ready, as the front asks it.
func (n *node) ready() bool {
	code, _, _, err := get("http://"+n.addr+"/health/ready", time.Second)
	return err == nil && code == 200
}

// relay is a proxy for connections to one address. While it is cut it passes no bytes, and says nothing.
type relay struct {
	addr string
	to   string
	cut  atomic.Bool
	// passed is the number of bytes that have come from to.
	passed atomic.Int64
}

func (r *run) startRelay(to string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.fatalf("%v", err)
	}
	p := &relay{addr: l.Addr().String(), to: to}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *relay) serve(c net.Conn) {
	for p.cut.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	up, err := net.DialTimeout("tcp", p.to, time.Second)
	if err != nil {
		c.Close()
		return
	}
	copyAll := func(dst, src net.Conn, count func(int)) {
		defer dst.Close()
		defer src.Close()
		buf := make([]byte, 32<<10)
		for {
			n, err := src.Read(buf)
			for p.cut.Load() {
				time.Sleep(10 * time.Millisecond)
			}
			if n > 0 {
				count(n)
				if _, err := dst.Write(buf[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go copyAll(up, c, func(int) {})
	copyAll(c, up, func(n int) { p.passed.Add(int64(n)) })
}
