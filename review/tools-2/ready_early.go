package main

import (
	"net/http"
	"syscall"
	"time"
)

func init() { cases["10"] = readyEarly }

// readyEarly: the agent of one node of four is cut off from the replicas. A tenant is removed meanwhile. The node is restarted.
func readyEarly(r *run) {
	const catchUp = 10 * time.Second
	l := &load{run: r}
	stop := make(chan struct{})
	defer close(stop)
	c, nodes := r.startFleet(l, stop)
	n1 := nodes[0]
	spec := map[string]any{"name": "amouage", "quota": map[string]any{"rate": 100, "burst": 40}}
	if _, err := c.write("/fleet/v1/tenants/amouage", http.MethodPut, map[string]any{"generation": 0, "spec": spec}, 20*time.Second); err != nil {
		r.fatalf("the tenant is not taken: %v", err)
	}
	r.wait("the tenant is settled at generation 1", 20*time.Second, func() bool { return c.phase("amouage") == "settled" })
	ask := func() {
		for _, n := range nodes {
			a := l.send(n.addr, "schedule-view", "amouage")
			r.logf("a request of the tenant at %s: status %d, %q, %v", n.name, a.status, a.body, a.err)
		}
	}
	ask()
	if r.trouble {
		n1.setCut(true)
	}
	if _, err := c.write("/fleet/v1/tenants/amouage?generation=1", http.MethodDelete, nil, 20*time.Second); err != nil {
		r.fatalf("the removal is not taken: %v", err)
	}
	r.wait("the tenant is removed: none of this name", 30*time.Second, func() bool { return c.phase("amouage") == "none" })
	r.signal(n1.proc, syscall.SIGKILL)
	time.Sleep(500 * time.Millisecond)
	passed := n1.passed()
	started := time.Now()
	n1.start()
	for !n1.ready() {
		if time.Since(started) > 30*time.Second {
			r.fatalf("n1 is not ready within 30 s")
		}
		time.Sleep(20 * time.Millisecond)
	}
	after := time.Since(started)
	heard := n1.passed() - passed
	r.logf("n1 is ready %v after its start; since then the replicas have sent its agent %d bytes", after, heard)
	ask()
	if heard == 0 && after < catchUp-500*time.Millisecond {
		r.breakf("n1 is ready %v after its start, though no replica has answered its agent since then and catch_up_ms (%v) are not over", after, catchUp)
	}
}
