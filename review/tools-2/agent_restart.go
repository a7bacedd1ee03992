package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["8"] = agentRestart }

// agentRestart: the replicas are gone for 8 s, and meanwhile the agent of one node is restarted. The node has its list, and serves on.
func agentRestart(r *run) {
	l := &load{run: r}
	stop := make(chan struct{})
	defer close(stop)
	c, nodes := r.startFleet(l, stop)
	n1, n2 := nodes[0], nodes[1]
	requests := func(phase string, d time.Duration) (served, unserved [2]int) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(25 * time.Millisecond) {
			for i, n := range []*fleetNode{n1, n2} {
				if a := l.send(n.addr, "schedule-view", ""); a.status == 200 && a.body == "done "+a.id {
					served[i]++
				} else {
					unserved[i]++
					r.logf("%s: %s at %s: status %d, %v", phase, a.id, n.name, a.status, a.err)
				}
			}
		}
		r.logf("%s: n1 served %d of %d, n2 %d of %d", phase, served[0], served[0]+unserved[0], served[1], served[1]+unserved[1])
		return served, unserved
	}
	askAgent := func(since uint64) list {
		got, code, header, err := readList(n1.agentAddr(), fmt.Sprintf("?since=%d&timeout_ms=1", since), 2*time.Second)
		r.logf("the agent of n1 answers a watch from version %d: status %d, version %d, full %v, %d servers, list's age %s ms, %v", since, code, got.Version, got.Full, len(got.Servers), header.Get("X-List-Age-Ms"), err)
		return got
	}
	requests("before", 3*time.Second)
	version := askAgent(0).Version
	gone := time.Now()
	if r.trouble {
		for _, p := range c.procs {
			r.signal(p, syscall.SIGKILL)
		}
	}
	requests("replicas gone", time.Second)
	if r.trouble {
		r.signal(n1.agent, syscall.SIGKILL)
	}
	requests("the agent of n1 is gone", time.Second)
	if r.trouble {
		n1.startAgent()
	}
	requests("the agent of n1 starts", 1500*time.Millisecond)
	served, unserved := requests("the agent of n1 is back", 4*time.Second)
	askAgent(version)
	time.Sleep(time.Until(gone.Add(8 * time.Second)))
	if r.trouble {
		for i := range c.procs {
			c.startOne(i)
		}
	}
	time.Sleep(4 * time.Second)
	requests("replicas back", 2*time.Second)
	if unserved[0] > served[0] {
		r.breakf("n1 had a list, all app servers are up, and it does not serve on without replicas: %d of %d requests served", served[0], served[0]+unserved[0])
	}
	if unserved[1] > served[1] {
		r.fatalf("n2, whose agent was not restarted, does not serve either")
	}
}
