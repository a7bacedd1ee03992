package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"starlingvalve/internal/lab/faults"
	"starlingvalve/internal/registry/linear"
)

type cluster struct {
	t     *testing.T
	bin   string
	dirs  []string
	https []string
	peers []string
	procs []*exec.Cmd
	mu    sync.Mutex
	ops   []linear.Op             // the history of writes and consistent reads, for the linearizability check
	links map[[2]int]*faults.Link // raft traffic from replica i to replica j
	raft  []string
}

func startCluster(t *testing.T, n int) *cluster {
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir+"/", "starlingvalve/cmd/listd").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	c := &cluster{t: t, bin: filepath.Join(dir, "listd"), procs: make([]*exec.Cmd, n), links: map[[2]int]*faults.Link{}}
	for i := range n {
		ip := fmt.Sprintf("127.3.%d.%d", time.Now().UnixNano()%200+1, i+1) // an address of its own per run and replica
		c.https = append(c.https, ip+":8000")
		c.raft = append(c.raft, ip+":7000")
		c.peers = append(c.peers, fmt.Sprintf("r%d=%s:7000=%s:8000", i, ip, ip))
		c.dirs = append(c.dirs, filepath.Join(dir, fmt.Sprint("r", i)))
	}
	for i := range n {
		for j := range n {
			if i != j {
				l, err := faults.Open(fmt.Sprint("r", i), fmt.Sprint("r", j), "127.0.0.1:0", c.raft[j], "", uint64(i*n+j))
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(l.Close)
				c.links[[2]int{i, j}] = l
			}
		}
	}
	for i := range n {
		c.start(i)
	}
	t.Cleanup(func() {
		for _, p := range c.procs {
			if p != nil {
				p.Process.Kill()
				p.Wait()
			}
		}
	})
	return c
}

func (c *cluster) start(i int) {
	args := []string{"serve", "--id", fmt.Sprint("r", i), "--dir", c.dirs[i]}
	for _, p := range c.peers {
		args = append(args, "--peer", p)
	}
	for j := range c.peers {
		if l := c.links[[2]int{i, j}]; l != nil {
			args = append(args, "--route", fmt.Sprintf("r%d=%s", j, l.Addr))
		}
	}
	cmd := exec.Command(c.bin, args...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.procs[i] = cmd
}

func (c *cluster) kill(i int) { c.procs[i].Process.Kill(); c.procs[i].Wait(); c.procs[i] = nil }

var client = http.Client{Timeout: 10 * time.Second}

type status struct {
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
}

func (c *cluster) status(i int) (status, error) {
	var s status
	resp, err := client.Get("http://" + c.https[i] + "/registry/v1/status")
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

func (c *cluster) leader() int {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for i := range c.https {
			if s, err := c.status(i); err == nil && s.State == "Leader" {
				return i
			}
		}
	}
	c.t.Fatal("no leader in 30 s")
	return -1
}

// cut sets a fault on every link to and from replica i.
func (c *cluster) cut(i int, f faults.Fault) {
	for pair, l := range c.links {
		if pair[0] == i || pair[1] == i {
			l.Set(f)
		}
	}
}

// registerAt makes one try at one replica and gives the status.
func (c *cluster) registerAt(id string, i int) int {
	body, _ := json.Marshal(map[string]any{"id": id, "addr": "127.0.0.1:9000", "zone": "a", "kind": "k", "weight": 1, "ttl_ms": 60000})
	resp, err := client.Post("http://"+c.https[i]+"/registry/v1/register", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func (c *cluster) record(o linear.Op) { c.mu.Lock(); c.ops = append(c.ops, o); c.mu.Unlock() }

// register tries each replica in turn, following X-Leader, until one acknowledges or 30 s pass. Each try is
// recorded: acknowledged, or of unknown outcome unless the replica said at once that it does not lead.
func (c *cluster) register(id string, from int) bool {
	body, _ := json.Marshal(map[string]any{"id": id, "addr": "127.0.0.1:9000", "zone": "a", "kind": "k", "weight": 1, "ttl_ms": 60000})
	target := c.https[from]
	for end, i := time.Now().Add(30*time.Second), from; time.Now().Before(end); {
		op := linear.Op{Client: 2, Write: true, ID: id, Call: time.Now().UnixNano()}
		resp, err := client.Post("http://"+target+"/registry/v1/register", "application/json", bytes.NewReader(body))
		op.Return, op.Unknown = time.Now().UnixNano(), true
		if err == nil {
			msg, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				op.Unknown = false
				c.record(op)
				return true
			}
			if !strings.Contains(string(msg), "not the leader") {
				c.record(op)
			}
			if l := resp.Header.Get("X-Leader"); l != "" {
				target = l
				continue
			}
		} else {
			c.record(op)
		}
		i = (i + 1) % len(c.https)
		target = c.https[i]
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

type answer struct {
	Version uint64 `json:"version"`
	Full    bool   `json:"full"`
	Servers []struct {
		ID    string `json:"id"`
		State string `json:"state"`
	} `json:"servers"`
}

func (c *cluster) read(i int, query string) (answer, error) {
	var a answer
	resp, err := client.Get("http://" + c.https[i] + "/registry/instances" + query)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return a, fmt.Errorf("status %d", resp.StatusCode)
	}
	return a, json.NewDecoder(resp.Body).Decode(&a)
}

// The leader is killed during a burst of registrations: none acknowledged is lost on any replica, the killed one
// catches up when it is back, and a watcher never sees a revision twice or out of order.
func TestLeaderKilledDuringBurst(t *testing.T) {
	c := startCluster(t, 3)
	lead := c.leader()
	watched := (lead + 1) % 3
	var acked sync.Map
	var ackCount atomic.Int64
	var killedAt, firstAfter atomic.Int64 // unix ns
	stop := make(chan struct{})
	var watchErr error
	var watcher sync.WaitGroup
	watcher.Go(func() {
		var since uint64
		for {
			select {
			case <-stop:
				return
			default:
			}
			a, err := c.read(watched, fmt.Sprintf("?since=%d&timeout_ms=1000", since))
			if err != nil {
				time.Sleep(20 * time.Millisecond) // stale or between leaders: the watcher keeps its list
				continue
			}
			if a.Version < since || (!a.Full && a.Version == since && len(a.Servers) > 0) {
				watchErr = fmt.Errorf("revision %d after %d (full %v)", a.Version, since, a.Full)
				return
			}
			since = a.Version
		}
	})
	var reader sync.WaitGroup
	reader.Go(func() { // consistent reads at whoever leads, for the linearizability check
		for i := 0; ; i = (i + 1) % 3 {
			select {
			case <-stop:
				return
			default:
			}
			op := linear.Op{Client: 1, Call: time.Now().UnixNano()}
			a, err := c.read(i, "?consistent=1")
			op.Return = time.Now().UnixNano()
			if err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			for _, s := range a.Servers {
				op.IDs = append(op.IDs, s.ID)
			}
			c.record(op)
		}
	})
	var writers sync.WaitGroup
	for w := range 4 {
		writers.Go(func() {
			for k := range 75 {
				id := fmt.Sprintf("s-%d-%03d", w, k)
				if c.register(id, lead) {
					acked.Store(id, true)
					ackCount.Add(1)
					if k := killedAt.Load(); k != 0 {
						firstAfter.CompareAndSwap(0, time.Now().UnixNano())
					}
				}
			}
		})
	}
	for ackCount.Load() < 80 {
		time.Sleep(5 * time.Millisecond)
	}
	killedAt.Store(time.Now().UnixNano())
	c.kill(lead)
	writers.Wait()
	t.Logf("acknowledged %d of 300; first acknowledged write %v after the leader's kill", ackCount.Load(),
		time.Duration(firstAfter.Load()-killedAt.Load()))
	c.start(lead)
	next := c.leader()
	want, _ := c.status(next)
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if s, err := c.status(lead); err == nil && s.Revision >= want.Revision {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the restarted replica did not catch up in 30 s")
		}
	}
	close(stop)
	watcher.Wait()
	reader.Wait()
	if watchErr != nil {
		t.Error(watchErr)
	}
	c.mu.Lock()
	history := c.ops
	c.mu.Unlock()
	reads := 0
	for _, o := range history {
		if !o.Write {
			reads++
		}
	}
	lin := linear.Check(history, 10*time.Second)
	t.Logf("linearizability: %d ids, %d operations (%d consistent reads), %d violations, %d unknown", lin.Ids, len(history),
		reads, len(lin.Violations), len(lin.Unknown))
	if len(lin.Violations) > 0 || reads < 10 {
		t.Errorf("violations at %v; %d reads", lin.Violations, reads)
	}
	if ackCount.Load() < 250 {
		t.Errorf("only %d of 300 acknowledged", ackCount.Load())
	}
	for i := range 3 {
		var a answer
		var err error
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if a, err = c.read(i, ""); err == nil {
				break
			}
		}
		if err != nil {
			t.Fatalf("replica %d: %v", i, err)
		}
		have := map[string]bool{}
		for _, s := range a.Servers {
			have[s.ID] = true
		}
		acked.Range(func(k, _ any) bool {
			if !have[k.(string)] {
				t.Errorf("replica %d lost acknowledged %s", i, k)
			}
			return true
		})
	}
}

// A partition isolates the leader: it stops acknowledging writes, the majority elects another that does, and an
// agent that watches only the minority keeps its list and says how old it is; after the heal it has the new entry.
func TestPartitionedLeaderStopsAcknowledging(t *testing.T) {
	c := startCluster(t, 3)
	lead := c.leader()
	for k := range 20 {
		if !c.register(fmt.Sprintf("s-%02d", k), lead) {
			t.Fatal("registration not acknowledged before the partition")
		}
	}
	agent := exec.Command(c.bin, "agent", "--replica", c.https[lead], "--listen", "127.0.0.1:0")
	agent.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	logs, _ := agent.StderrPipe()
	if err := agent.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { agent.Process.Kill(); agent.Wait() }()
	var line struct{ Listen string }
	for dec := json.NewDecoder(logs); line.Listen == ""; {
		if err := dec.Decode(&line); err != nil {
			t.Fatalf("agent: %v", err)
		}
	}
	go io.Copy(io.Discard, logs)
	fromAgent := func() (answer, time.Duration) {
		resp, err := client.Get("http://" + line.Listen + "/registry/instances")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		var a answer
		json.NewDecoder(resp.Body).Decode(&a)
		ms, _ := strconv.Atoi(resp.Header.Get("X-List-Age-Ms"))
		return a, time.Duration(ms) * time.Millisecond
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if a, _ := fromAgent(); len(a.Servers) == 20 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the agent never had the list")
		}
	}
	c.cut(lead, faults.Fault{Blackhole: true})
	if code := c.registerAt("s-minority", lead); code == http.StatusOK {
		t.Error("the isolated leader acknowledged a write")
	}
	var next int
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		next = -1
		for i := range 3 {
			if s, err := c.status(i); i != lead && err == nil && s.State == "Leader" {
				next = i
			}
		}
		if next >= 0 && c.registerAt("s-majority", next) == http.StatusOK {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the majority acknowledged no write in 30 s")
		}
	}
	time.Sleep(3 * time.Second) // past the staleness bound
	a, age := fromAgent()
	if len(a.Servers) != 20 || age < 2*time.Second {
		t.Errorf("the agent on the minority: %d entries, age %v", len(a.Servers), age)
	}
	c.cut(lead, faults.Fault{})
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		a, age := fromAgent()
		if len(a.Servers) == 21 && age < 2*time.Second {
			t.Logf("after the heal the agent has %d entries at revision %d", len(a.Servers), a.Version)
			break
		}
		if time.Now().After(end) {
			t.Fatalf("after the heal the agent has %d entries, age %v", len(a.Servers), age)
		}
	}
}
