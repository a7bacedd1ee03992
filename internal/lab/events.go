package lab

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"meadowsill/internal/invariants"
	"meadowsill/internal/lab/stub"
)

var signals = map[string]syscall.Signal{"kill": syscall.SIGKILL, "term": syscall.SIGTERM, "stop": syscall.SIGSTOP,
	"cont": syscall.SIGCONT, "hup": syscall.SIGHUP}

// do carries out one event of the timeline and says what it touched.
func (f *fleet) do(e Event) (string, error) {
	servers := f.s.pick(e.Servers, len(f.servers))
	if e.Zone != "" {
		servers = f.s.pick("zone:"+e.Zone, len(f.servers))
	}
	switch e.Do {
	case "kill", "term", "stop", "cont", "hup":
		return f.signalAll(e), nil
	case "restart":
		return f.restartAll(e), nil
	case "partition", "link":
		return f.fault(e), nil
	case "heal":
		return fmt.Sprintf("%d links", f.heal()), nil
	case "degrade":
		m, err := stub.ParseMode(e.Mode)
		if err != nil {
			return "", err
		}
		f.touched(servers)
		for _, j := range servers {
			f.servers[j].SetMode(m)
		}
		return fmt.Sprintf("%d servers %s", len(servers), e.Mode), nil
	case "restart-servers":
		f.touched(servers)
		for _, j := range servers {
			srv := f.servers[j]
			f.wg.Go(func() {
				if err := srv.Restart(seconds(e.DownS)); err != nil {
					f.opt.Log.Error("app server did not come back", "server", srv.Spec.ID, "err", err)
					return
				}
				f.list(srv.Spec.ID, "ready", time.Now().UnixMilli())
			})
		}
		return fmt.Sprintf("%d servers, down %v s", len(servers), e.DownS), nil
	case "list":
		committed := 0
		for _, j := range servers {
			if f.list(f.servers[j].Spec.ID, e.State, 0) {
				committed++
			}
		}
		return fmt.Sprintf("%d servers %s, %d committed", len(servers), e.State, committed), nil
	}
	switch e.Do {
	case "tenant", "tenant-delete":
		return f.tenant(e)
	case "drift":
		return f.plant(e)
	}
	return "", fmt.Errorf("no action %q", e.Do)
}

// list changes a server in discovery, and records it where it was committed.
func (f *fleet) list(id, state string, startedMS int64) bool {
	if err := f.disc.Set(id, state, startedMS); err != nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recs.Changes = append(f.recs.Changes, invariants.Change{Server: id, State: state, At: f.rec.Since()})
	return true
}

// touched notes that a fault is on servers of a zone, or the ways to them.
func (f *fleet) touched(servers []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, j := range servers {
		if z := f.servers[j].Spec.Zone; f.recs.Fleet.Faulted[z] == 0 {
			f.recs.Fleet.Faulted[z] = max(f.rec.Since(), 1)
		}
	}
}

// signalAll sends an event's signal to the nodes, agents and replicas that it names.
func (f *fleet) signalAll(e Event) string {
	var names []string
	sig := signals[e.Do]
	for _, i := range f.s.pick(e.Nodes, len(f.nodes)) {
		n := f.nodes[i]
		switch e.Do {
		case "kill":
			if f.drained(n) {
				break
			}
			f.exempt(i, "", "down "+n.info.Name)
			f.leaveFront(n, seconds(f.s.Fleet.NoticeS))
		case "term":
			f.drain(n)
		case "stop":
			f.exempt(i, "", "stopped "+n.info.Name)
		}
		if n.signal(sig) {
			names = append(names, n.info.Name)
		}
		if e.Do == "cont" {
			f.endExemption("stopped "+n.info.Name, f.rec.Since())
		}
	}
	for _, i := range f.s.pick(e.Agents, len(f.nodes)) {
		if e.Do != "cont" && e.Do != "hup" {
			f.exempt(i, "after-grace", "agent "+agentName(i))
			f.silenced(i, e.Do)
		}
		for _, a := range f.agentProcesses(i) {
			if a.signal(sig) {
				names = append(names, a.name)
			}
		}
		if e.Do == "cont" {
			f.endExemption("agent "+agentName(i), f.rec.Since())
		}
	}
	for _, r := range f.replicas(e.Replicas) {
		if e.Do != "cont" && e.Do != "hup" {
			f.exempt(-1, "after-grace", "replica "+replicaName(r))
		}
		if f.cluster.Signal(r, sig) {
			names = append(names, replicaName(r))
		}
		if e.Do == "cont" {
			f.endExemption("replica "+replicaName(r), f.rec.Since())
		}
	}
	return strings.Join(names, " ")
}

// restartAll starts those of an event's nodes, agents and replicas that have ended.
func (f *fleet) restartAll(e Event) string {
	var names []string
	for _, i := range f.s.pick(e.Nodes, len(f.nodes)) {
		n := f.nodes[i]
		if !n.wait(0) {
			continue // still running
		}
		names = append(names, n.info.Name)
		f.wg.Go(func() {
			f.launch(n)
			f.endExemption("down "+n.info.Name, f.rec.Since())
		})
	}
	for _, i := range f.s.pick(e.Agents, len(f.nodes)) {
		for _, a := range f.agentProcesses(i) {
			if err := a.begin(f.opt.Dir, &f.agentCPU, &f.wg); err != nil {
				f.opt.Log.Warn("agent not started", "agent", a.name, "err", err)
				continue
			}
			names = append(names, a.name)
		}
		f.endExemption("agent "+agentName(i), f.rec.Since())
	}
	for _, r := range f.replicas(e.Replicas) {
		if f.cluster.Pid(r) != 0 {
			continue
		}
		if err := f.cluster.Restart(r); err != nil {
			f.opt.Log.Error("replica did not start", "replica", replicaName(r), "err", err)
			continue
		}
		writePid(f.opt.Dir, f.cluster.Pid(r))
		names = append(names, replicaName(r))
		f.endExemption("replica "+replicaName(r), f.rec.Since())
	}
	return strings.Join(names, " ")
}

// heal takes every link's fault away.
func (f *fleet) heal() int {
	count := f.net.Heal()
	f.endExemption("cut ", f.rec.Since())
	f.endExemption("deaf ", f.rec.Since())
	f.endExemption("gossip ", f.rec.Since())
	return count
}

// leaveFront takes a node out of the front once the front notices, as PROTOCOL's front does after some seconds,
// unless it has a new life by then.
func (f *fleet) leaveFront(n *node, after time.Duration) {
	incarnation := n.ended()
	time.AfterFunc(after, func() {
		if n.ended() == incarnation {
			n.inFront.Store(false)
		}
	})
}
