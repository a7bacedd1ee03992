package lab

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"starlingvalve/internal/invariants"
	"starlingvalve/internal/lab/faults"
	"starlingvalve/internal/lab/load"
	"starlingvalve/internal/lab/standin"
)

//go:embed settings.json
var settingsTemplate []byte

// Records is all that a run keeps: what went in, what happened, and what the checker found.
type Records struct {
	Scenario *Scenario            `json:"scenario"`
	Sent     []invariants.Sent    `json:"sent"`
	Attempts []invariants.Attempt `json:"attempts"`
	Changes  []invariants.Change  `json:"changes"`
	Excuses  []invariants.Excuse  `json:"excuses"`
	Timeline []Done               `json:"timeline"`
	Nodes    []NodeInfo           `json:"nodes"`
	Servers  []ServerInfo         `json:"servers"`
	Skipped  int                  `json:"skipped"`
	Breaches []invariants.Breach  `json:"breaches"`
	CPU      CPU                  `json:"cpu"`
	NoFile   [2]uint64            `json:"nofile"` // soft and hard limit on descriptors the lab ran with
	Links    int                  `json:"links"`
}

// Done is one event as it was carried out.
type Done struct {
	At     time.Duration `json:"at"`
	Do     string        `json:"do"`
	Detail string        `json:"detail"`
}

// NodeInfo is one node process (or its several lives).
type NodeInfo struct {
	Name    string          `json:"name"`
	Zone    string          `json:"zone"`
	Listen  string          `json:"listen"`
	Pids    []int           `json:"pids"`
	ReadyAt []time.Duration `json:"ready_at"`
	NeverUp int             `json:"never_up"` // lives that never answered /health/ready in time
}

// ServerInfo is one stand-in app server.
type ServerInfo struct {
	ID     string `json:"id"`
	Zone   string `json:"zone"`
	Served int64  `json:"served"`
}

// CPU is seconds of CPU, the lab's own and that of every node process it ended.
type CPU struct {
	LabS   float64 `json:"lab_s"`
	NodesS float64 `json:"nodes_s"`
}

// Options are how a run is placed.
type Options struct {
	Dir string // the run's directory: node logs, records, report
	Log *slog.Logger
}

type node struct {
	i         int
	info      *NodeInfo
	cfg       string
	env       []string
	log       *os.File
	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	inFront   atomic.Bool
	frontAddr string
}

type fleet struct {
	s       *Scenario
	opt     Options
	rec     *standin.Recorder
	net     faults.Net
	disc    lister
	servers []*standin.AppServer
	nodes   []*node
	mu      sync.Mutex
	recs    Records
	open    map[string]time.Duration // excuses not yet closed, by what opened them
	cpu     atomic.Int64             // node CPU in ns, of processes waited for
	wg      sync.WaitGroup
}

// nodeIP is the source address of node i's links, so that an app server can tell which node calls.
func nodeIP(i int) string { return fmt.Sprintf("127.1.%d.%d", i/250, i%250+1) }

func nodeOf(remote string) int {
	host, _, _ := net.SplitHostPort(remote)
	var a, b, c, d int
	if n, _ := fmt.Sscanf(host, "%d.%d.%d.%d", &a, &b, &c, &d); n != 4 || a != 127 || b != 1 {
		return -1
	}
	return c*250 + d - 1
}

func serverID(j int) string { return fmt.Sprintf("s-%08x", 0x5e000000+j) }

// Run carries out a scenario and gives its records, checked. The fleet is ended by the time it returns, and
// every child process with it, also when ctx is cancelled.
func Run(ctx context.Context, s *Scenario, opt Options) (*Records, error) {
	if err := os.MkdirAll(filepath.Join(opt.Dir, "nodes"), 0o755); err != nil {
		return nil, err
	}
	if _, err := os.Stat(s.Fleet.NodeBinary); err != nil {
		return nil, fmt.Errorf("node binary: %w (build it with the README's line)", err)
	}
	f := &fleet{s: s, opt: opt, rec: standin.NewRecorder(), open: map[string]time.Duration{}}
	f.recs.Scenario = s
	f.recs.NoFile = raiseNoFile()
	defer f.end()
	if err := f.start(); err != nil {
		return nil, err
	}
	opt.Log.Info("fleet up", "nodes", len(f.nodes), "servers", len(f.servers), "links", f.recs.Links)
	var result load.Result
	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		if !standin.Sleep(ctx, seconds(s.Load.FromS)) {
			return
		}
		result = load.Run(ctx, f.loadSpec(), f, f.rec)
	}()
	for _, e := range s.Events {
		if !standin.Sleep(ctx, seconds(e.AtS)-f.rec.Since()) {
			break
		}
		detail, err := f.do(e)
		if err != nil {
			detail = "error: " + err.Error()
		}
		opt.Log.Info("event", "do", e.Do, "at_s", f.rec.Since().Seconds(), "detail", detail)
		f.mu.Lock()
		f.recs.Timeline = append(f.recs.Timeline, Done{f.rec.Since(), e.Do, detail})
		f.mu.Unlock()
	}
	<-loadDone
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	standin.Sleep(ctx, seconds(s.DurationS)-f.rec.Since())
	end := f.rec.Since()
	f.end()
	f.closeExcuses(end)
	r := &f.recs
	r.Sent, r.Skipped, r.Attempts = result.Sent, result.Skipped, f.rec.Attempts()
	for _, n := range f.nodes {
		r.Nodes = append(r.Nodes, *n.info)
	}
	for _, srv := range f.servers {
		r.Servers = append(r.Servers, ServerInfo{srv.Spec.ID, srv.Spec.Zone, srv.Served()})
	}
	var self syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &self)
	r.CPU = CPU{LabS: cpuSeconds(self), NodesS: float64(f.cpu.Load()) / 1e9}
	fragile := map[string]bool{}
	for _, c := range f.classes() {
		fragile[c.name] = c.fragile
	}
	r.Breaches = invariants.Check(invariants.Run{Sent: r.Sent, Attempts: r.Attempts, Changes: r.Changes, Excuses: r.Excuses,
		Fragile: fragile, Grace: time.Duration(f.setting("invariants", "drain_grace_ns")), Slack: time.Second,
		End: seconds(s.Load.FromS + s.Load.ForS)})
	return r, nil
}

func cpuSeconds(u syscall.Rusage) float64 {
	return float64(u.Utime.Sec+u.Stime.Sec) + float64(u.Utime.Usec+u.Stime.Usec)/1e6
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// raiseNoFile lifts the soft limit on descriptors to the hard one: 50 nodes by 100 servers are many links.
func raiseNoFile() [2]uint64 {
	var l syscall.Rlimit
	syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l)
	l.Cur = l.Max
	syscall.Setrlimit(syscall.RLIMIT_NOFILE, &l)
	syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l)
	return [2]uint64{l.Cur, l.Max}
}

type class struct {
	name     string
	fragile  bool
	giveUp   time.Duration
	fraction float64
}

func (f *fleet) template() map[string]any {
	var m map[string]any
	if err := json.Unmarshal(settingsTemplate, &m); err != nil {
		panic(err) // embedded, tested
	}
	return m
}

func (f *fleet) setting(group, name string) float64 {
	v, _ := f.template()[group].(map[string]any)[name].(float64)
	return v
}

func (f *fleet) classes() []class {
	var out []class
	for _, c := range f.template()["classes"].([]any) {
		m := c.(map[string]any)
		out = append(out, class{name: m["name"].(string), fragile: m["effect"] == "fragile",
			giveUp: time.Duration(m["give_up_ns"].(float64))})
	}
	// The shares of BRIEF: 57% schedule-view, 43% place-order.
	for i := range out {
		out[i].fraction = 1 / float64(len(out))
		if len(out) == 2 {
			out[i].fraction = map[bool]float64{false: 0.57, true: 0.43}[out[i].fragile]
		}
	}
	return out
}

func (f *fleet) loadSpec() load.Spec {
	spec := load.Spec{Rate: f.s.Load.Rate, For: seconds(f.s.Load.ForS), MaxRequests: f.s.Load.MaxRequests, MaxInFlight: 8192,
		Seed: f.s.Seed}
	for _, c := range f.classes() {
		spec.Classes = append(spec.Classes, load.Class{Name: c.name, Share: c.fraction, Post: c.fragile, TimeLeft: c.giveUp})
	}
	for _, a := range f.template()["accounts"].([]any) {
		spec.Accounts = append(spec.Accounts, a.(map[string]any)["name"].(string))
	}
	return spec
}

// Pick is the clients' front: a node at random among those it deals to.
func (f *fleet) Pick(r *rand.Rand) (int, string, bool) {
	var up []*node
	for _, n := range f.nodes {
		if n.inFront.Load() {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return 0, "", false
	}
	n := up[r.IntN(len(up))]
	return n.i, n.frontAddr, true
}

func (f *fleet) link(from, to, target, source string, seed uint64) (*faults.Link, error) {
	l, err := faults.Open(from, to, "127.0.0.1:0", target, source, seed)
	if err != nil {
		return nil, fmt.Errorf("link %s to %s: %w", from, to, err)
	}
	f.net.Add(l)
	f.recs.Links++
	return l, nil
}

func (f *fleet) start() error {
	s := f.s
	var entries []standin.Entry
	for j := range s.Fleet.Servers {
		zone := s.Fleet.Zones[j%len(s.Fleet.Zones)]
		spec := standin.ServerSpec{ID: serverID(j), Zone: zone, Capacity: s.Servers.Capacity,
			Latency: seconds(s.Servers.LatencyMS / 1000), Spread: s.Servers.Spread, MaxConns: s.Servers.MaxConns,
			IdleClose: seconds(s.Servers.IdleS), ColdFor: seconds(s.Servers.ColdS)}
		srv, err := standin.NewAppServer(spec, "127.0.0.1:0", nodeOf, f.rec, s.Seed*1000+uint64(j))
		if err != nil {
			return fmt.Errorf("app server %d: %w", j, err)
		}
		f.servers = append(f.servers, srv)
		entries = append(entries, standin.Entry{ID: spec.ID, Addr: srv.Addr, Zone: zone, Kind: "std-2c", State: "ready", Weight: 1})
	}
	if s.Fleet.Discovery == "listd" {
		l, err := startListd(s.Fleet.ListdBin, f.opt.Dir, s.Fleet.Replicas, entries, f.opt.Log.Warn)
		if err != nil {
			return err
		}
		f.disc = l
	} else {
		f.disc = standinList{standin.NewDiscovery(entries)}
	}
	for i := range s.Fleet.Nodes {
		n := &node{i: i, info: &NodeInfo{Name: fmt.Sprintf("n%d", i), Zone: s.Fleet.Zones[i%len(s.Fleet.Zones)]}}
		addrs := map[string]string{}
		for j, srv := range f.servers {
			l, err := f.link(n.info.Name, "server:"+srv.Spec.ID, srv.Addr, nodeIP(i), s.Seed+uint64(i*10000+j))
			if err != nil {
				return err
			}
			addrs[srv.Spec.ID] = l.Addr
		}
		view, err := f.disc.View(n.info.Name, func(id string) string { return addrs[id] })
		if err != nil {
			return err
		}
		dl, err := f.link(n.info.Name, "discovery", view, nodeIP(i), s.Seed+uint64(i))
		if err != nil {
			return err
		}
		n.info.Listen = nodeListen(i)
		cl, err := f.link("clients", n.info.Name, n.info.Listen, "", s.Seed+uint64(i)+7)
		if err != nil {
			return err
		}
		n.frontAddr = cl.Addr
		if err := f.configure(n, dl.Addr); err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
	}
	var ready sync.WaitGroup
	for _, n := range f.nodes {
		ready.Go(func() { f.launch(n) })
	}
	ready.Wait()
	return nil
}

// nodeListen is node i's address for clients: an address of its own in 127.0.0.0/8, so that no port picked for
// anything else can take it between the node's lives.
func nodeListen(i int) string { return fmt.Sprintf("127.2.%d.%d:8080", i/250, i%250+1) }

func (f *fleet) configure(n *node, discovery string) error {
	settings := f.template()
	settings["balancers"], settings["slot_no"], settings["zone"] = f.s.Fleet.Nodes, n.i, n.info.Zone
	settings["failure_domains"] = f.s.Fleet.Zones
	config := map[string]any{"name": n.info.Name, "listen": n.info.Listen, "discovery": discovery,
		"seed": fmt.Sprintf("%x", f.s.Seed*7919+uint64(n.i)+1), "limits": map[string]any{"sockets": 4096, "memory_mb": 192},
		"settings": settings}
	raw, err := json.Marshal(config)
	if err != nil {
		return err
	}
	dir := filepath.Join(f.opt.Dir, "nodes", n.info.Name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	n.cfg = filepath.Join(dir, "config.json")
	n.env = append(os.Environ(), "GW_CONFIG="+n.cfg, "TMPDIR="+dir)
	if n.log, err = os.OpenFile(filepath.Join(dir, "node.log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644); err != nil {
		return err
	}
	return os.WriteFile(n.cfg, raw, 0o644)
}

// launch starts a life of the node and waits until it is ready, or its time for that is over.
func (f *fleet) launch(n *node) {
	cmd := exec.Command(f.s.Fleet.NodeBinary)
	cmd.Env, cmd.Stdout, cmd.Stderr = n.env, n.log, n.log
	// Children die with the lab, however it ends; each is ended by its own pid otherwise.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		f.opt.Log.Error("node did not start", "node", n.info.Name, "err", err)
		n.info.NeverUp++
		return
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.info.Pids = append(n.info.Pids, cmd.Process.Pid)
	n.mu.Unlock()
	writePid(f.opt.Dir, cmd.Process.Pid)
	f.wg.Go(func() {
		cmd.Wait()
		if u, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
			f.cpu.Add(int64(cpuSeconds(*u) * 1e9))
		}
		close(exited)
	})
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(seconds(f.s.Fleet.ReadyS)); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		select {
		case <-exited:
			f.opt.Log.Error("node ended before it was ready", "node", n.info.Name)
			n.info.NeverUp++
			return
		default:
		}
		resp, err := client.Get("http://" + n.info.Listen + "/health/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				n.info.ReadyAt = append(n.info.ReadyAt, f.rec.Since())
				n.inFront.Store(true)
				return
			}
		}
	}
	f.opt.Log.Error("node never came up", "node", n.info.Name, "ready_s", f.s.Fleet.ReadyS)
	n.info.NeverUp++
}

func writePid(dir string, pid int) {
	fh, err := os.OpenFile(filepath.Join(dir, "pids"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err == nil {
		fmt.Fprintln(fh, pid)
		fh.Close()
	}
}

// signal sends sig to node n's present life; false where it has none running.
func (n *node) signal(sig syscall.Signal) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil || n.cmd.ProcessState != nil {
		return false
	}
	select {
	case <-n.exited:
		return false
	default:
	}
	return n.cmd.Process.Signal(sig) == nil
}

func (n *node) wait(d time.Duration) bool {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	default:
	}
	select {
	case <-exited:
		return true
	case <-time.After(d):
		return false
	}
}

// end terms every node, kills what has not ended in 10 s, and closes links and stand-ins. It may run twice.
func (f *fleet) end() {
	for _, n := range f.nodes {
		n.inFront.Store(false)
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGTERM)
	}
	for _, n := range f.nodes {
		if !n.wait(10 * time.Second) {
			n.signal(syscall.SIGKILL)
			n.wait(5 * time.Second)
		}
	}
	f.wg.Wait()
	f.net.Close()
	if f.disc != nil {
		f.disc.Close()
	}
	for _, s := range f.servers {
		s.Stop()
	}
	for _, n := range f.nodes {
		if n.log != nil {
			n.log.Sync()
		}
	}
}

func (f *fleet) excuse(node int, key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, on := f.open[key]; !on {
		f.open[key] = f.rec.Since()
		f.recs.Excuses = append(f.recs.Excuses, invariants.Excuse{Node: node, From: f.rec.Since(), To: -1, Why: key})
	}
}

// closeExcuses ends the open windows whose key starts with prefix (all at the end), after the front's notice and
// the longest wait of a client.
func (f *fleet) closeExcuse(prefix string, at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	tail := seconds(f.s.Fleet.NoticeS) + 3*time.Second
	for key := range f.open {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		delete(f.open, key)
		for i := range f.recs.Excuses {
			if e := &f.recs.Excuses[i]; e.To == -1 && e.Why == key {
				e.To = at + tail
			}
		}
	}
}

func (f *fleet) closeExcuses(at time.Duration) { f.closeExcuse("", at) }
