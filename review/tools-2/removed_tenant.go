package main

import (
	"net/http"
	"syscall"
	"time"
)

func init() { cases["6"] = removedTenant }

// removedTenant: an operator removes a tenant that the nodes' settings name. Then a node is restarted, as planned.
func removedTenant(r *run) {
	const tenant = "qatt-care" // one of the accounts of the settings
	l := &load{run: r}
	stop := make(chan struct{})
	defer close(stop)
	c, nodes := r.startFleet(l, stop)
	n1 := nodes[0]
	ask := func(when string) (served [4]int) {
		for i, n := range nodes {
			for range 10 {
				a := l.send(n.addr, "schedule-view", tenant)
				if a.status == 200 && a.body == "done "+a.id {
					served[i]++
				} else if a.status != 503 {
					r.logf("%s: %s at %s: status %d, %v", when, a.id, n.name, a.status, a.err)
				}
				time.Sleep(20 * time.Millisecond)
			}
		}
		r.logf("%s: of 10 requests of the tenant each node served %v", when, served)
		return served
	}
	spec := map[string]any{"name": tenant, "quota": map[string]any{"rate": 400, "burst": 100}}
	if _, err := c.write("/fleet/v1/tenants/"+tenant, http.MethodPut, map[string]any{"generation": 0, "spec": spec}, 20*time.Second); err != nil {
		r.fatalf("the tenant is not taken: %v", err)
	}
	r.wait("the tenant is settled at generation 1", 20*time.Second, func() bool { return c.phase(tenant) == "settled" })
	time.Sleep(2 * time.Second)
	ask("committed")
	if _, err := c.write("/fleet/v1/tenants/"+tenant+"?generation=1", http.MethodDelete, nil, 20*time.Second); err != nil {
		r.fatalf("the removal is not taken: %v", err)
	}
	r.wait("the tenant is removed: none of this name", 30*time.Second, func() bool { return c.phase(tenant) == "none" })
	time.Sleep(2 * time.Second)
	if served := ask("removed"); served != [4]int{} {
		r.fatalf("the tenant is served before any restart: %v", served)
	}
	if r.trouble {
		r.signal(n1.proc, syscall.SIGTERM)
		r.wait("n1 has ended", 10*time.Second, n1.proc.ended)
		time.Sleep(time.Second)
		n1.start()
		r.wait("n1 is ready", 15*time.Second, n1.ready)
	}
	time.Sleep(8 * time.Second) // over a session's ttl, and longer than any age that the pages set
	if served := ask("n1 restarted"); served != [4]int{} {
		r.breakf("%s was removed, which was acknowledged and complete; of 10 requests each the nodes serve %v", tenant, served)
	}
}
