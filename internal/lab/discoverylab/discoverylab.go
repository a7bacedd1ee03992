// Package discoverylab runs discovery replicas as processes on loopback addresses, with a relay of the lab on each raft link, and
// measures them: committed writes per second, the fan-out of a change to many watchers, memory per watcher, the failover
// time after the leader is killed, and the time in which a replica that was down catches up.
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
	Links map[[2]int]*faults.Link // the relays of the raft traffic from replica i to replica j, by {i, j}

	Network *Network // reserved for the cluster; replica i has the address 127.3.N.(i+1)

	peers     []string
	extraArgs []string // additional arguments of "discovery serve"
	mu        sync.Mutex
	procs     []*incarnation
	exitedCPU time.Duration // total CPU time of replica processes that have exited
}

// incarnation is one process of a replica. A restarted replica has a new one.
type incarnation struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// Start runs n replicas of the binary bin on a reserved network, with their data under dir and extraArgs added to each command line.
func Start(bin, dir string, n int, extraArgs ...string) (*Cluster, error) {
	network, err := ReserveNetwork()
	if err != nil {
		return nil, err
	}
	c := &Cluster{Bin: bin, Network: network, Links: map[[2]int]*faults.Link{}, procs: make([]*incarnation, n), extraArgs: extraArgs}
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

// Restart starts replica i with its existing data directory. The replica must not be running.
func (c *Cluster) Restart(i int) error {
	if c.runningProcess(i) != nil {
		return fmt.Errorf("replica %d is still running", i)
	}
	args := append([]string{"serve", "--id", fmt.Sprint("r", i), "--dir", c.Dirs[i]}, c.extraArgs...)
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
	defer logFile.Close() // the process has its own descriptor
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
		c.exitedCPU += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
		c.mu.Unlock()
		close(p.exited)
	}()
	return nil
}

// runningProcess returns the process of replica i, or nil if it isn't running.
func (c *Cluster) runningProcess(i int) *incarnation {
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

// Kill ends replica i with SIGKILL and waits for its exit.
func (c *Cluster) Kill(i int) {
	if p := c.runningProcess(i); p != nil {
		p.cmd.Process.Kill()
		<-p.exited
	}
}

// Signal sends sig to replica i. It returns false if the replica isn't running.
func (c *Cluster) Signal(i int, sig os.Signal) bool {
	p := c.runningProcess(i)
	return p != nil && p.cmd.Process.Signal(sig) == nil
}

// Pid returns the process id of replica i, or 0 if it isn't running.
func (c *Cluster) Pid(i int) int {
	if p := c.runningProcess(i); p != nil {
		return p.cmd.Process.Pid
	}
	return 0
}

// CPU returns the total user and system time of all replica processes that have exited.
func (c *Cluster) CPU() time.Duration { c.mu.Lock(); defer c.mu.Unlock(); return c.exitedCPU }

// Close kills all replicas, closes the relays and releases the network.
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

// Status is the state that a replica reports about itself.
type Status struct {
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
}

// Status requests the status of replica i.
func (c *Cluster) Status(i int) (Status, error) {
	var s Status
	resp, err := client.Get("http://" + c.HTTP[i] + "/registry/v1/status")
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// Leader waits up to timeout for a replica that reports that it is the leader, and returns its index. It ignores replica skip (-1: none).
func (c *Cluster) Leader(timeout time.Duration, skip int) (int, error) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for i := range c.HTTP {
			if s, err := c.Status(i); i != skip && err == nil && s.State == "Leader" {
				return i, nil
			}
		}
	}
	return -1, fmt.Errorf("no leader in %v", timeout)
}

// Register makes one attempt to register at replica i. It returns the answer's status and body, or 0 and the error if the request failed.
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

// Answer is the body of the answer to a read, as PROTOCOL defines it.
type Answer struct {
	Version uint64 `json:"version"`
	Full    bool   `json:"full"`
	Servers []struct {
		ID    string `json:"id"`
		State string `json:"state"`
	} `json:"servers"`
}

// Read reads the endpoint list from replica i with a query string ("" for the complete list).
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

// RSS returns the resident memory of a process in KiB, from /proc.
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

// CPUTime returns the user and system time of a process so far, from /proc in steps of 10 ms, or 0 if there is no such process.
func CPUTime(pid int) time.Duration {
	raw, _ := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:])) // from the third field on: the second may contain spaces
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	sys, _ := strconv.Atoi(fields[12])
	return time.Duration(user+sys) * 10 * time.Millisecond
}

// Quantile sorts d in place and returns its quantile q, from 0 to 1. It returns 0 if d is empty.
func Quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[min(int(q*float64(len(d))), len(d)-1)]
}

// Figures are the results of one experiment.
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

// Writes registers new ids at the leader from several concurrent writers for the duration d, and returns the number of acknowledged writes.
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

// Fanout opens watchers on a replica, makes one change at the leader, and measures the time from the sending of the change to its
// arrival at each watcher. It returns these latencies, the number of watchers that missed the change, and the replica's memory
// per watcher.
func (c *Cluster) Fanout(leader, replica, watchers int) (latencies []time.Duration, missed int, kibPerWatcher float64) {
	base, err := c.Read(replica, "")
	if err != nil {
		return nil, watchers, 0
	}
	rssBefore := RSS(c.Pid(replica))
	var wg sync.WaitGroup
	var mu sync.Mutex
	var sent time.Time
	ready := make(chan struct{}, watchers)
	for range watchers {
		wg.Go(func() {
			tr := &http.Transport{}
			defer tr.CloseIdleConnections()
			cl := http.Client{Transport: tr, Timeout: 30 * time.Second}
			req, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/registry/instances?since=%d&timeout_ms=20000", c.HTTP[replica], base.Version), nil)
			ready <- struct{}{}
			resp, err := cl.Do(req)
			arrived := time.Now()
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
			latencies = append(latencies, arrived.Sub(sent))
		})
	}
	for range watchers {
		<-ready
	}
	time.Sleep(time.Second) // until the request of every watcher is waiting at the replica
	rssDuring := RSS(c.Pid(replica))
	mu.Lock()
	sent = time.Now()
	mu.Unlock()
	c.Register(leader, fmt.Sprintf("fanout-%d", time.Now().UnixNano()), 60000)
	wg.Wait()
	return latencies, missed, float64(rssDuring-rssBefore) / float64(watchers)
}
