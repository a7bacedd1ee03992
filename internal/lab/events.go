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

// carryOut carries out one event of the timeline and describes for the records what the event affected.
func (f *fleet) carryOut(e Event) (string, error) {
	servers := f.s.resolveValid(e.Servers, len(f.servers))
	if e.Zone != "" {
		servers = f.s.resolveValid("zone:"+e.Zone, len(f.servers))
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
		f.recordFaultedZones(servers)
		for _, j := range servers {
			f.servers[j].SetMode(m)
		}
		return fmt.Sprintf("%d servers %s", len(servers), e.Mode), nil
	case "restart-servers":
		f.recordFaultedZones(servers)
		for _, j := range servers {
			srv := f.servers[j]
			f.wg.Go(func() {
				if err := srv.Restart(seconds(e.DownS)); err != nil {
					f.opt.Log.Error("app server did not restart", "server", srv.Spec.ID, "err", err)
					return
				}
				f.setServerState(srv.Spec.ID, "ready", time.Now().UnixMilli())
			})
		}
		return fmt.Sprintf("%d servers, down %v s", len(servers), e.DownS), nil
	case "list":
		committed := 0
		for _, j := range servers {
			if f.setServerState(f.servers[j].Spec.ID, e.State, 0) {
				committed++
			}
		}
		return fmt.Sprintf("%d servers %s, %d committed", len(servers), e.State, committed), nil
	}
	switch e.Do {
	case "tenant", "tenant-delete":
		return f.tenant(e)
	case "drift":
		return f.injectDrift(e)
	}
	return "", fmt.Errorf("no action %q", e.Do)
}

// setServerState changes a server's state in discovery. It records the change and returns true if the change was committed.
func (f *fleet) setServerState(id, state string, startedMS int64) bool {
	if err := f.discovery.Set(id, state, startedMS); err != nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records.Changes = append(f.records.Changes, invariants.Change{Server: id, State: state, At: f.recorder.Since()})
	return true
}

// recordFaultedZones records a fault on the given servers, or on the links to them: for the zone of each server it keeps the
// time of the first fault.
func (f *fleet) recordFaultedZones(servers []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, j := range servers {
		if z := f.servers[j].Spec.Zone; f.records.Fleet.Faulted[z] == 0 {
			f.records.Fleet.Faulted[z] = max(f.recorder.Since(), 1)
		}
	}
}

// signalAll sends the event's signal to the nodes, agents and replicas that the event selects, and opens or ends the exemptions
// that belong to the signal. It returns the names of the processes that received the signal.
func (f *fleet) signalAll(e Event) string {
	var names []string
	sig := signals[e.Do]
	for _, i := range f.s.resolveValid(e.Nodes, len(f.nodes)) {
		n := f.nodes[i]
		switch e.Do {
		case "kill":
			if f.drainTimeOver(n) {
				break
			}
			f.exempt(i, "", "down "+n.info.Name)
			f.removeFromFront(n, seconds(f.s.Fleet.NoticeS))
		case "term":
			f.drainAtFront(n)
		case "stop":
			f.exempt(i, "", "stopped "+n.info.Name)
		}
		if n.signal(sig) {
			names = append(names, n.info.Name)
		}
		if e.Do == "cont" {
			f.endExemption("stopped "+n.info.Name, f.recorder.Since())
		}
	}
	for _, i := range f.s.resolveValid(e.Agents, len(f.nodes)) {
		if e.Do != "cont" && e.Do != "hup" {
			f.exempt(i, "after-grace", "agent "+agentName(i))
			f.recordSilenced(i, e.Do)
		}
		for _, a := range f.agentProcesses(i) {
			if a.signal(sig) {
				names = append(names, a.name)
			}
		}
		if e.Do == "cont" {
			f.endExemption("agent "+agentName(i), f.recorder.Since())
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
			f.endExemption("replica "+replicaName(r), f.recorder.Since())
		}
	}
	return strings.Join(names, " ")
}

// restartAll starts those of the event's nodes, agents and replicas that are not running. It returns their names.
func (f *fleet) restartAll(e Event) string {
	var names []string
	for _, i := range f.s.resolveValid(e.Nodes, len(f.nodes)) {
		n := f.nodes[i]
		if !n.wait(0) {
			continue // still running
		}
		names = append(names, n.info.Name)
		f.wg.Go(func() {
			f.launch(n)
			f.endExemption("down "+n.info.Name, f.recorder.Since())
		})
	}
	for _, i := range f.s.resolveValid(e.Agents, len(f.nodes)) {
		for _, a := range f.agentProcesses(i) {
			if err := a.start(f.opt.Dir, &f.agentCPU, &f.wg); err != nil {
				f.opt.Log.Warn("agent not started", "agent", a.name, "err", err)
				continue
			}
			names = append(names, a.name)
		}
		f.endExemption("agent "+agentName(i), f.recorder.Since())
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
		f.endExemption("replica "+replicaName(r), f.recorder.Since())
	}
	return strings.Join(names, " ")
}

// heal removes the fault of every link, ends the exemptions for link faults and returns the number of links.
func (f *fleet) heal() int {
	count := f.net.Heal()
	f.endExemption("cut ", f.recorder.Since())
	f.endExemption("deaf ", f.recorder.Since())
	f.endExemption("gossip ", f.recorder.Since())
	return count
}

// removeFromFront removes a node from the front after a delay, the time that the front takes to notice that the node is down
// (some seconds in PROTOCOL). It does nothing if a new incarnation of the node has started by then.
func (f *fleet) removeFromFront(n *node, after time.Duration) {
	incarnation := n.ended()
	time.AfterFunc(after, func() {
		if n.ended() == incarnation {
			n.inFront.Store(false)
		}
	})
}
