package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"meadowsill/internal/membership"
)

type fleet struct {
	t         *testing.T
	httpAddrs []string
	procs     []*exec.Cmd
}

func startFleet(t *testing.T, n int) *fleet {
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir+"/", "meadowsill/cmd/membership").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	f := &fleet{t: t}
	subnet := time.Now().UnixNano()%200 + 1
	for i := range n {
		ip := fmt.Sprintf("127.5.%d.%d", subnet, i+1)
		args := []string{"run", "--name", fmt.Sprint("m", i), "--bind", ip + ":7946", "--http", ip + ":9000", "--zone", "a",
			"--stable", "1s", "--hold", "20s"}
		if i > 0 {
			args = append(args, "--seed", fmt.Sprintf("127.5.%d.1:7946", subnet))
		}
		cmd := exec.Command(filepath.Join(dir, "membership"), args...)
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		f.procs, f.httpAddrs = append(f.procs, cmd), append(f.httpAddrs, ip+":9000")
		if i == 0 {
			f.view(0) // the seed is up before the others join through it
		}
	}
	t.Cleanup(func() {
		for _, p := range f.procs {
			p.Process.Kill()
			p.Wait()
		}
	})
	return f
}

func (f *fleet) view(i int) membership.View {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + f.httpAddrs[i] + "/view")
		if err == nil {
			var v membership.View
			err = json.NewDecoder(resp.Body).Decode(&v)
			resp.Body.Close()
			if err == nil {
				return v
			}
		}
		if time.Now().After(end) {
			f.t.Fatalf("member %d has no view: %v", i, err)
		}
	}
}

// waitUntil waits up to limit until cond holds for the views of all the members given, and returns how long that took.
func (f *fleet) waitUntil(members []int, limit time.Duration, cond func(membership.View) bool) time.Duration {
	start := time.Now()
	for end := start.Add(limit); ; time.Sleep(100 * time.Millisecond) {
		all := true
		for _, i := range members {
			all = all && cond(f.view(i))
		}
		if all {
			return time.Since(start)
		}
		if time.Now().After(end) {
			f.t.Fatalf("the condition does not hold for all members after %v; view of the first: %+v", limit, f.view(members[0]))
		}
	}
}

func memberState(v membership.View, name string) membership.State {
	for _, m := range v.Members {
		if m.Name == name {
			return m.State
		}
	}
	return ""
}

// Of ten members, one that is paused for 3 s refutes the suspicion and is never considered dead. Then seven are killed at once:
// the three survivors agree on the new view, and divide by the agreed size of ten for --hold.
func TestPausedMemberRefutesAndMassFailureIsDetected(t *testing.T) {
	f := startFleet(t, 10)
	everyone := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}
	f.waitUntil(everyone, 30*time.Second, func(v membership.View) bool { return v.Count(membership.Alive) == 10 })
	f.procs[9].Process.Signal(syscall.SIGSTOP)
	deadSeen := false
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		deadSeen = deadSeen || memberState(f.view(0), "m9") == membership.Dead
	}
	f.procs[9].Process.Signal(syscall.SIGCONT)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		deadSeen = deadSeen || memberState(f.view(0), "m9") == membership.Dead
	}
	if deadSeen {
		t.Error("a member paused for 3 s was considered dead")
	}
	f.waitUntil(everyone, 20*time.Second, func(v membership.View) bool { return memberState(v, "m9") == membership.Alive })

	for i := range 7 {
		f.procs[i].Process.Kill()
	}
	survivors := []int{7, 8, 9}
	took := f.waitUntil(survivors, 60*time.Second, func(v membership.View) bool {
		return v.Count(membership.Alive) == 3 && v.Count(membership.Dead) == 7
	})
	v := f.view(7)
	t.Logf("seven of ten killed: the three survivors agree after %v; size %d, agreed %d, sure %v", took, v.Size, v.Agreed, v.Sure)
	if v.Size != 10 || v.Sure {
		t.Errorf("before the hold is over: the view is sure or its size %d is not the agreed 10", v.Size)
	}
}

// A member whose gossip port is flooded with garbage over UDP and TCP doesn't crash, keeps its view and counts the errors.
func TestGarbageFloodChangesNothing(t *testing.T) {
	f := startFleet(t, 3)
	all := []int{0, 1, 2}
	f.waitUntil(all, 30*time.Second, func(v membership.View) bool { return v.Count(membership.Alive) == 3 })
	target := strings.Replace(f.httpAddrs[1], ":9000", ":7946", 1)
	random := rand.New(rand.NewPCG(1, 2))
	payload := make([]byte, 1400)
	udp, err := net.Dial("udp", target)
	if err != nil {
		t.Fatal(err)
	}
	defer udp.Close()
	for range 5000 { // bounded: 5000 datagrams and 50 connections
		for i := range payload {
			payload[i] = byte(random.Uint32())
		}
		udp.Write(payload[:1+random.IntN(len(payload))])
	}
	for range 50 {
		if c, err := net.DialTimeout("tcp", target, time.Second); err == nil {
			c.SetDeadline(time.Now().Add(time.Second))
			c.Write(payload)
			c.Close()
		}
	}
	time.Sleep(2 * time.Second)
	if f.procs[1].ProcessState != nil {
		t.Fatal("the process of the flooded member ended")
	}
	f.waitUntil(all, 20*time.Second, func(v membership.View) bool {
		return v.Count(membership.Alive) == 3 && v.Count(membership.Dead) == 0
	})
	v := f.view(1)
	if len(v.Members) != 3 {
		t.Errorf("the flooded member's view: %+v", v)
	}
	resp, err := http.Get("http://" + f.httpAddrs[1] + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var metrics strings.Builder
	io.Copy(&metrics, resp.Body)
	if !strings.Contains(metrics.String(), "membership_gossip_errors_total") || strings.Contains(metrics.String(), "membership_gossip_errors_total 0\n") {
		t.Errorf("the garbage was not counted:\n%s", metrics.String())
	}
}
