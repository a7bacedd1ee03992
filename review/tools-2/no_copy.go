package main

import (
	"net/http"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["7"] = noCopy }

// noCopy: the agent of one node of four is restarted without its copy. The node goes on. Later an operator puts a tenant.
func noCopy(r *run) {
	const (
		tenant = "qatt-care" // one of the accounts of the settings
		rate   = 20.0
		burst  = 20.0
		length = 10 * time.Second
	)
	l := &load{run: r}
	stop := make(chan struct{})
	defer close(stop)
	c, nodes := r.startFleet(l, stop)
	n1 := nodes[0]
	time.Sleep(3 * time.Second)
	r.logf("present: %v", c.present())
	passed := n1.passed()
	if r.trouble {
		r.signal(n1.agent, syscall.SIGKILL)
		time.Sleep(500 * time.Millisecond)
		n1.agentArgs = replaceAfter(n1.agentArgs, "--dir", filepath.Join(r.dir, "agent-n1-new"))
		n1.startAgent()
	}
	time.Sleep(15 * time.Second) // two and a half times a session's ttl
	r.logf("present: %v; n1 is ready: %v; meanwhile its agent got %d bytes from the replicas", c.present(), n1.ready(), n1.passed()-passed)
	spec := map[string]any{"name": tenant, "quota": map[string]any{"rate": rate, "burst": burst}}
	if _, err := c.write("/fleet/v1/tenants/"+tenant, http.MethodPut, map[string]any{"generation": 0, "spec": spec}, 20*time.Second); err != nil {
		r.fatalf("the tenant is not taken: %v", err)
	}
	r.wait("the tenant is settled at generation 1", 20*time.Second, func() bool { return c.phase(tenant) == "settled" })
	time.Sleep(12 * time.Second) // twice a session's ttl
	if !n1.ready() {
		r.logf("n1 is not ready: clients are not sent to it")
		return
	}
	served, sent := l.offer(nodes, tenant, length)
	r.logf("present: %v", c.present())
	r.judgeQuota(served, sent, rate, burst, length, 4)
}

// replaceAfter returns args with another value for a flag.
func replaceAfter(args []string, flag, value string) []string {
	out := append([]string(nil), args...)
	for i := range out {
		if out[i] == flag {
			out[i+1] = value
		}
	}
	return out
}
