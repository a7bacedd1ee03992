package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["9"] = quotaAfterRestart }

// quotaAfterRestart: the machine of one node of four fails. The node is started again, its agent is not.
func quotaAfterRestart(r *run) {
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
	spec := map[string]any{"name": tenant, "quota": map[string]any{"rate": rate, "burst": burst}}
	if _, err := c.write("/fleet/v1/tenants/"+tenant, http.MethodPut, map[string]any{"generation": 0, "spec": spec}, 20*time.Second); err != nil {
		r.fatalf("the tenant is not taken: %v", err)
	}
	r.wait("the tenant is settled at generation 1", 20*time.Second, func() bool { return c.phase(tenant) == "settled" })
	if r.trouble {
		known, _, _, err := readList(n1.agentAddr(), "", time.Second)
		if err != nil || len(known.Servers) != 4 {
			r.fatalf("the agent's list: %+v, %v", known, err)
		}
		n1.config["known"] = known // the platform gives a node the list that it last had
		r.signal(n1.agent, syscall.SIGKILL)
		r.signal(n1.proc, syscall.SIGKILL)
		time.Sleep(time.Second)
		n1.start()
	}
	r.wait("n1 is ready", 20*time.Second, n1.ready)
	time.Sleep(8 * time.Second) // the session of the run before has lapsed, and its quota is leased to others
	served, sent := l.offer(nodes, tenant, length)
	r.judgeQuota(served, sent, rate, burst, length, 5)
}

// offer has clients send 40 requests/s of a tenant to each of four nodes, and returns how many each served and how many were sent.
func (l *load) offer(nodes []*fleetNode, tenant string, length time.Duration) (served [4]int, sent int) {
	var mu sync.Mutex
	var clients sync.WaitGroup
	end := time.Now().Add(length)
	for i, n := range nodes {
		for range 4 {
			clients.Go(func() {
				for time.Now().Before(end) {
					a := l.send(n.addr, "schedule-view", tenant)
					mu.Lock()
					sent++
					if a.status == 200 && a.body == "done "+a.id {
						served[i]++
					}
					mu.Unlock()
					time.Sleep(100*time.Millisecond - min(a.took, 100*time.Millisecond))
				}
			})
		}
	}
	clients.Wait()
	return served, sent
}

// judgeQuota checks T3 as the lab does: 2 % and two tokens for each life of a node beyond the rate and the burst.
func (r *run) judgeQuota(served [4]int, sent int, rate, burst float64, length time.Duration, lives int) {
	total := 0
	for _, n := range served {
		total += n
	}
	allowed := int((rate*length.Seconds()+burst)*1.02) + 2*lives
	r.logf("%d requests in %v; served by the nodes: %v, together %d; the quota allows %d", sent, length, served, total, allowed)
	if total > allowed {
		r.breakf("the nodes served %d requests of the tenant in %v, %v each; its quota of %g/s with a burst of %g allows %d", total, length, served, rate, burst, allowed)
	}
}
