// Package discoverylab runs discovery replicas as processes on loopback, each raft link through the lab's relays, and
// measures them: committed writes a second, fan-out of a change to many watchers, memory per watcher, failover
// after the leader's kill, and the catch-up of a replica that was down.
package discoverylab

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"meadowsill/internal/lab/faults"
)

// Cluster is a set of discovery replicas.
type Cluster struct {
	Bin   string
	Dirs  []string
	HTTP  []string
	Raft  []string
	Links map[[2]int]*faults.Link // raft traffic from replica i to replica j

	Network *Network // reserved for the cluster; replica i is at 127.3.N.(i+1)

	peers []string
	extra []string // more arguments of discovery serve
	mu    sync.Mutex
	procs []*incarnation
	cpu   time.Duration // of lives that have ended
}

// incarnation is one run of a replica's process.
type incarnation struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// Start runs n replicas of bin with their data under dir, on a network of its own, each with extra arguments.
func Start(bin, dir string, n int, extra ...string) (*Cluster, error) {
	network, err := ReserveNetwork()
	if err != nil {
		return nil, err
	}
	c := &Cluster{Bin: bin, Network: network, Links: map[[2]int]*faults.Link{}, procs: make([]*incarnation, n), extra: extra}
	for i := range n {
		ip := fmt.Sprintf("127.3.%d.%d", network.Number, i+1)
		c.HTTP = append(c.HTTP, ip+":8000")
		c.Raft = append(c.Raft, ip+":7000")
		c.peers = append(c.peers, fmt.Sprintf("r%d=%s:7000=%s:8000", i, ip, ip))
		c.Dirs = append(c.Dirs, filepath.Join(dir, fmt.Sprint("r", i)))
	}
	for i := range n {
		for j := range n {
			if i == j {
				continue
			}
			l, err := faults.Open(fmt.Sprint("r", i), fmt.Sprint("r", j), "127.0.0.1:0", c.Raft[j], "", uint64(i*n+j))
			if err != nil {
				c.Close()
				return nil, err
			}
			c.Links[[2]int{i, j}] = l
		}
	}
	for i := range n {
		if err := c.Restart(i); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// Restart starts replica i on its store; it must not be running.
func (c *Cluster) Restart(i int) error {
	if c.running(i) != nil {
		return fmt.Errorf("replica %d is still running", i)
	}
	args := append([]string{"serve", "--id", fmt.Sprint("r", i), "--dir", c.Dirs[i]}, c.extra...)
	for _, p := range c.peers {
		args = append(args, "--peer", p)
	}
	for j := range c.peers {
		if l := c.Links[[2]int{i, j}]; l != nil {
			args = append(args, "--route", fmt.Sprintf("r%d=%s", j, l.Addr))
		}
	}
	if err := os.MkdirAll(c.Dirs[i], 0o755); err != nil {
		return err
	}
	logFile, err := os.OpenFile(c.Dirs[i]+".log", os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(c.Bin, args...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	defer logFile.Close() // the process has its own
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &incarnation{cmd, make(chan struct{})}
	c.mu.Lock()
	c.procs[i] = p
	c.mu.Unlock()
	go func() {
		cmd.Wait()
		c.mu.Lock()
		c.cpu += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
		c.mu.Unlock()
		close(p.exited)
	}()
	return nil
}

// running is replica i's present life, or nil.
func (c *Cluster) running(i int) *incarnation {
	c.mu.Lock()
	p := c.procs[i]
	c.mu.Unlock()
	if p == nil {
		return nil
	}
	select {
	case <-p.exited:
		return nil
	default:
		return p
	}
}

// Kill ends replica i with SIGKILL.
func (c *Cluster) Kill(i int) {
	if p := c.running(i); p != nil {
		p.cmd.Process.Kill()
		<-p.exited
	}
}

// Signal sends sig to replica i; false where it is not running.
func (c *Cluster) Signal(i int, sig os.Signal) bool {
	p := c.running(i)
	return p != nil && p.cmd.Process.Signal(sig) == nil
}

// Pid is replica i's process id, or 0.
func (c *Cluster) Pid(i int) int {
	if p := c.running(i); p != nil {
		return p.cmd.Process.Pid
	}
	return 0
}

// CPU is what every ended life of a replica took, user and system.
func (c *Cluster) CPU() time.Duration { c.mu.Lock(); defer c.mu.Unlock(); return c.cpu }

// Close ends every replica and relay.
func (c *Cluster) Close() {
	for i := range c.procs {
		c.Kill(i)
	}
	for _, l := range c.Links {
		l.Close()
	}
	c.Network.Close()
}

// Cut sets a fault on every raft link to and from replica i.
func (c *Cluster) Cut(i int, f faults.Fault) {
	for pair, l := range c.Links {
		if pair[0] == i || pair[1] == i {
			l.Set(f)
		}
	}
}

var client = http.Client{Timeout: 10 * time.Second}

// Status is what a replica says of itself.
type Status struct {
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
}

// Status asks replica i.
func (c *Cluster) Status(i int) (Status, error) {
	var s Status
	resp, err := client.Get("http://" + c.HTTP[i] + "/registry/v1/status")
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// Leader waits up to limit for a replica that says it leads, other than skip (-1 for none).
func (c *Cluster) Leader(limit time.Duration, skip int) (int, error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for i := range c.HTTP {
			if s, err := c.Status(i); i != skip && err == nil && s.State == "Leader" {
				return i, nil
			}
		}
	}
	return -1, fmt.Errorf("no leader in %v", limit)
}

// Register makes one registration try at replica i: its status (0 where the connection failed) and body.
func (c *Cluster) Register(i int, id string, ttlMS int) (int, string) {
	body, _ := json.Marshal(map[string]any{"id": id, "addr": "127.0.0.1:9000", "zone": "a", "kind": "k", "weight": 1, "ttl_ms": ttlMS})
	resp, err := client.Post("http://"+c.HTTP[i]+"/registry/v1/register", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	msg, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(msg)
}

// Answer is PROTOCOL's body of a read.
type Answer struct {
	Version uint64 `json:"version"`
	Full    bool   `json:"full"`
	Servers []struct {
		ID    string `json:"id"`
		State string `json:"state"`
	} `json:"servers"`
}

// Read reads from replica i with a query ("" for the whole list).
func (c *Cluster) Read(i int, query string) (Answer, error) {
	var a Answer
	resp, err := client.Get("http://" + c.HTTP[i] + "/registry/instances" + query)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return a, fmt.Errorf("status %d", resp.StatusCode)
	}
	return a, json.NewDecoder(resp.Body).Decode(&a)
}

// RSS is a process's resident memory in KiB, from /proc.
func RSS(pid int) int {
	raw, _ := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	for line := range strings.SplitSeq(string(raw), "\n") {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(v), " kB"))
			return n
		}
	}
	return 0
}

// CPUTime is what a process has taken so far, user and system, from /proc in steps of 10 ms; 0 where there is none.
func CPUTime(pid int) time.Duration {
	raw, _ := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:])) // from the third on: the second may hold spaces
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	sys, _ := strconv.Atoi(fields[12])
	return time.Duration(user+sys) * 10 * time.Millisecond
}

// Quantile of sorted durations, q in 0..1.
func Quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[min(int(q*float64(len(d))), len(d)-1)]
}

// Figures are one experiment's results.
type Figures struct {
	Replicas        int             `json:"replicas"`
	WritesPerS      float64         `json:"writes_per_s"`
	Watchers        int             `json:"watchers"`
	FanoutP50       time.Duration   `json:"fanout_p50_ns"`
	FanoutP99       time.Duration   `json:"fanout_p99_ns"`
	FanoutMissed    int             `json:"fanout_missed"`
	KiBPerWatcher   float64         `json:"kib_per_watcher"`
	Failovers       []time.Duration `json:"failovers_ns"`
	CatchUpRevs     int             `json:"catch_up_revisions"`
	CatchUp         time.Duration   `json:"catch_up_ns"`
	WritesCommitted int             `json:"writes_committed"`
}

// Writes has writers register new ids at the leader for d, and counts what was acknowledged.
func (c *Cluster) Writes(leader, writers int, d time.Duration, prefix string) int {
	var mu sync.Mutex
	acked := 0
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for w := range writers {
		wg.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				if code, _ := c.Register(leader, fmt.Sprintf("%s-%d-%d", prefix, w, k), 60000); code == http.StatusOK {
					mu.Lock()
					acked++
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	return acked
}

// Fanout opens watchers on replica at, makes one change at leader, and times its arrival at each watcher from
// the moment the change was sent.
func (c *Cluster) Fanout(leader, at, watchers int) (lat []time.Duration, missed int, kib float64) {
	base, err := c.Read(at, "")
	if err != nil {
		return nil, watchers, 0
	}
	before := RSS(c.Pid(at))
	var wg sync.WaitGroup
	var mu sync.Mutex
	var sent time.Time
	ready := make(chan struct{}, watchers)
	for range watchers {
		wg.Go(func() {
			tr := &http.Transport{}
			defer tr.CloseIdleConnections()
			cl := http.Client{Transport: tr, Timeout: 30 * time.Second}
			req, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/registry/instances?since=%d&timeout_ms=20000", c.HTTP[at], base.Version), nil)
			ready <- struct{}{}
			resp, err := cl.Do(req)
			got := time.Now()
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missed++
				return
			}
			var a Answer
			json.NewDecoder(resp.Body).Decode(&a)
			resp.Body.Close()
			if a.Version <= base.Version || sent.IsZero() {
				missed++
				return
			}
			lat = append(lat, got.Sub(sent))
		})
	}
	for range watchers {
		<-ready
	}
	time.Sleep(time.Second) // every watcher is waiting at the replica
	during := RSS(c.Pid(at))
	mu.Lock()
	sent = time.Now()
	mu.Unlock()
	c.Register(leader, fmt.Sprintf("fanout-%d", time.Now().UnixNano()), 60000)
	wg.Wait()
	return lat, missed, float64(during-before) / float64(watchers)
}
