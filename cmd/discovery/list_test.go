package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"meadowsill/internal/lab/discoverylab"
	"meadowsill/internal/lab/faults"
	"meadowsill/internal/registry/linearizability"
)

// TestLeaderKilledDuringBurst kills the leader during a burst of registrations. No replica may lose an acknowledged registration,
// the killed replica must catch up after its restart, and a watcher must not see a revision twice or out of order.
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
			a, err := c.Read(watched, fmt.Sprintf("?since=%d&timeout_ms=1000", since))
			if err != nil {
				time.Sleep(20 * time.Millisecond) // stale, or without a leader: the watcher keeps its list
				continue
			}
			if a.Version < since || (!a.Full && a.Version == since && len(a.Servers) > 0) {
				watchErr = fmt.Errorf("watch answered revision %d after %d (full %v)", a.Version, since, a.Full)
				return
			}
			since = a.Version
		}
	})
	var reader sync.WaitGroup
	reader.Go(func() { // consistent reads from the current leader, for the linearizability check
		for i := 0; ; i = (i + 1) % 3 {
			select {
			case <-stop:
				return
			default:
			}
			op := linearizability.Operation{Client: 1, Call: time.Now().UnixNano()}
			a, err := c.Read(i, "?consistent=1")
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
	c.Kill(lead)
	writers.Wait()
	t.Logf("acknowledged %d of 300; first write acknowledged %v after the leader was killed", ackCount.Load(),
		time.Duration(firstAfter.Load()-killedAt.Load()))
	c.Restart(lead)
	next := c.leader()
	want, _ := c.Status(next)
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if s, err := c.Status(lead); err == nil && s.Revision >= want.Revision {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the restarted replica did not catch up within 30 s")
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
	lin := linearizability.Check(history, 10*time.Second)
	t.Logf("linearizability: %d ids, %d operations (%d consistent reads), %d violations, %d unknown", lin.IDs, len(history),
		reads, len(lin.Violations), len(lin.Unknown))
	if len(lin.Violations) > 0 || reads < 10 {
		t.Errorf("linearizability violations at ids %v; %d consistent reads, want 10 at least", lin.Violations, reads)
	}
	if ackCount.Load() < 250 {
		t.Errorf("only %d of 300 acknowledged", ackCount.Load())
	}
	for i := range 3 {
		var a discoverylab.Answer
		var err error
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if a, err = c.Read(i, ""); err == nil {
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
				t.Errorf("replica %d lost the acknowledged registration %s", i, k)
			}
			return true
		})
	}
}

// TestPartitionedLeaderStopsAcknowledging isolates the leader by a partition. The isolated leader must acknowledge no write, and
// the majority must elect another leader that does. An agent that watches only the isolated leader must keep its list and report
// the list's age, and must get the new entry after the partition.
func TestPartitionedLeaderStopsAcknowledging(t *testing.T) {
	c := startCluster(t, 3)
	lead := c.leader()
	for k := range 20 {
		if !c.register(fmt.Sprintf("s-%02d", k), lead) {
			t.Fatal("registration not acknowledged before the partition")
		}
	}
	agent := exec.Command(c.Bin, "agent", "--replica", c.HTTP[lead], "--listen", "127.0.0.1:0")
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
	fromAgent := func() (discoverylab.Answer, time.Duration) {
		resp, err := http.Get("http://" + line.Listen + "/registry/instances")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		var a discoverylab.Answer
		json.NewDecoder(resp.Body).Decode(&a)
		ms, _ := strconv.Atoi(resp.Header.Get("X-List-Age-Ms"))
		return a, time.Duration(ms) * time.Millisecond
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if a, _ := fromAgent(); len(a.Servers) == 20 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the agent did not get the list within 20 s")
		}
	}
	c.Cut(lead, faults.Fault{Blackhole: true})
	if code, _ := c.Register(lead, "s-minority", 60000); code == http.StatusOK {
		t.Error("the isolated leader acknowledged a write")
	}
	var next int
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		next = -1
		for i := range 3 {
			if s, err := c.Status(i); i != lead && err == nil && s.State == "Leader" {
				next = i
			}
		}
		if next >= 0 && func() bool { code, _ := c.Register(next, "s-majority", 60000); return code == http.StatusOK }() {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the majority acknowledged no write within 30 s")
		}
	}
	time.Sleep(3 * time.Second) // past the staleness bound
	a, age := fromAgent()
	if len(a.Servers) != 20 || age < 2*time.Second {
		t.Errorf("the agent of the isolated leader: %d entries, age %v", len(a.Servers), age)
	}
	c.Cut(lead, faults.Fault{})
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		a, age := fromAgent()
		if len(a.Servers) == 21 && age < 2*time.Second {
			t.Logf("after the partition the agent has %d entries at revision %d", len(a.Servers), a.Version)
			break
		}
		if time.Now().After(end) {
			t.Fatalf("30 s after the partition the agent has %d entries, age %v", len(a.Servers), age)
		}
	}
}

// TestWholeClusterRestartAndLeaseStorm kills all replicas with SIGKILL and restarts them: every acknowledged registration must
// remain. Then 200 registrants register at once, as after their own restart, and each must be acknowledged.
func TestWholeClusterRestartAndLeaseStorm(t *testing.T) {
	c := startCluster(t, 3)
	lead := c.leader()
	for k := range 100 {
		if !c.register(fmt.Sprintf("s-%03d", k), lead) {
			t.Fatal("registration not acknowledged")
		}
	}
	for i := range 3 {
		c.Kill(i)
	}
	for i := range 3 {
		if err := c.Restart(i); err != nil {
			t.Fatal(err)
		}
	}
	lead = c.leader()
	for i := range 3 {
		have := c.completeList(i)
		for end := time.Now().Add(30 * time.Second); len(have) != 100 && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			have = c.completeList(i) // a replica that was behind when it was killed has to catch up
		}
		if len(have) != 100 {
			t.Errorf("replica %d has %d of 100 entries after the restart", i, len(have))
		}
	}
	start := time.Now()
	var acked atomic.Int64
	var storm sync.WaitGroup
	for k := range 200 {
		storm.Go(func() {
			if c.register(fmt.Sprintf("storm-%03d", k), lead) {
				acked.Add(1)
			}
		})
	}
	storm.Wait()
	t.Logf("lease storm: %d of 200 acknowledged in %v", acked.Load(), time.Since(start))
	if acked.Load() != 200 || len(c.completeList(lead)) != 300 {
		t.Errorf("lease storm: %d of 200 registrations acknowledged, or the leader's list is not 300 entries long", acked.Load())
	}
}

// TestSlowWatcherAfterCompaction checks that a watcher from before a compaction gets the complete list, and not changes with a gap.
func TestSlowWatcherAfterCompaction(t *testing.T) {
	c := startCluster(t, 3, "--keep-revisions", "8")
	lead := c.leader()
	for k := range 10 {
		c.register(fmt.Sprintf("s-%02d", k), lead)
	}
	before, err := c.Read(lead, "")
	if err != nil {
		t.Fatal(err)
	}
	for k := range 5 {
		resp, err := http.Post("http://"+c.HTTP[lead]+"/registry/v1/deregister", "application/json",
			strings.NewReader(fmt.Sprintf(`{"id":"s-%02d"}`, k)))
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("deregister: %v %v", resp, err)
		}
		resp.Body.Close()
	}
	for k := range 20 {
		c.register(fmt.Sprintf("t-%02d", k), lead)
	}
	a, err := c.Read(lead, fmt.Sprintf("?since=%d&timeout_ms=1000", before.Version))
	if err != nil {
		t.Fatal(err)
	}
	if !a.Full || len(a.Servers) != 25 {
		t.Errorf("a watcher from revision %d at %d: full %v, %d entries", before.Version, a.Version, a.Full, len(a.Servers))
	}
}
