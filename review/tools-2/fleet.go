package main

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"time"
)

// fleetSettings is the file of the fleet's settings for four nodes.
const fleetSettings = `slots = 4
ttl_ms = 6000
[regions]
gulf = ["ghala", "rusayl"]
[cold]
from = 0.39
time_ms = 8700
`

var zoneNames = []string{"ghala", "rusayl"}

// fleetNode is a node of a fleet, with its agent.
type fleetNode struct {
	*node
	agent     *process
	agentArgs []string
	starts    int
	relays    []*relay // on the agent's ways to the replicas
}

// newFleetNode returns a node of a fleet of four and its agent, which reaches the replicas through relays. Neither is started.
func (r *run) newFleetNode(c *replicas, slot int) *fleetNode {
	name, zone, agentAddr := fmt.Sprintf("n%d", slot+1), zoneNames[slot%2], r.freeAddr()
	f := &fleetNode{node: r.newNode(name, agentAddr, 4, slot, zone)}
	f.agentArgs = []string{"agent", "--listen", agentAddr, "--node", name, "--zone", zone, "--dir", filepath.Join(r.dir, "agent-"+name)}
	for _, addr := range c.http {
		p := r.startRelay(addr)
		f.relays = append(f.relays, p)
		f.agentArgs = append(f.agentArgs, "--replica", addr, "--route", addr+"="+p.addr)
	}
	f.config["fleet"] = map[string]any{"agent": agentAddr, "report_ms": 250, "catch_up_ms": 10000}
	return f
}

func (f *fleetNode) startAgent() {
	f.starts++
	f.agent = f.run.exec(fmt.Sprintf("agent-%s-%d", f.name, f.starts), "discovery", nil, f.agentArgs...)
}

// agentAddr returns the address at which the agent serves its node.
func (f *fleetNode) agentAddr() string { return f.config["discovery"].(string) }

// setCut cuts the agent off from all replicas, or ends that.
func (f *fleetNode) setCut(cut bool) {
	f.run.logf("the agent of %s is cut off from the replicas: %v", f.name, cut)
	for _, p := range f.relays {
		p.cut.Store(cut)
	}
}

// passed returns how many bytes the replicas have sent to the agent so far.
func (f *fleetNode) passed() (n int64) {
	for _, p := range f.relays {
		n += p.passed.Load()
	}
	return n
}

// startFleet starts three replicas, four app servers that renew their registrations, and four nodes with their agents.
func (r *run) startFleet(l *load, stop <-chan struct{}) (*replicas, []*fleetNode) {
	c := r.startReplicas(fleetSettings)
	for i := range 4 {
		s := r.startAppServer(fmt.Sprintf("s-%08x", i+1), 20*time.Millisecond, l.sent)
		e := entry{ID: s.id, Addr: s.addr, Zone: zoneNames[i%2], Kind: "std-2c", State: "ready", Weight: 1}
		c.keepRegistered(e, time.Minute, stop)
	}
	r.wait("four app servers are listed", 15*time.Second, func() bool {
		got, code, _, err := readList(c.http[max(0, c.leader())], "", time.Second)
		return err == nil && code == 200 && len(got.Servers) == 4
	})
	var nodes []*fleetNode
	for slot := range 4 {
		f := r.newFleetNode(c, slot)
		f.startAgent()
		f.start()
		nodes = append(nodes, f)
	}
	r.wait("the nodes are ready", 25*time.Second, func() bool {
		for _, f := range nodes {
			if !f.ready() {
				return false
			}
		}
		return true
	})
	return c, nodes
}

// phase returns the phase of a tenant at the leader, or "".
func (c *replicas) phase(name string) string {
	for _, addr := range c.http {
		code, body, _, err := get("http://"+addr+"/fleet/v1/tenants/"+name+"/status", time.Second)
		if err != nil {
			continue
		}
		var status struct {
			Phase string `json:"phase"`
		}
		switch {
		case code == 404:
			return "none"
		case code == 200 && json.Unmarshal(body, &status) == nil:
			return status.Phase
		}
	}
	return ""
}

// present returns the nodes that have a session, as the leader says.
func (c *replicas) present() []string {
	for _, addr := range c.http {
		var answer struct {
			Present []struct {
				Node string `json:"node"`
			} `json:"present"`
		}
		code, body, _, err := get("http://"+addr+"/fleet/v1/zones", time.Second)
		if err != nil || code != 200 || json.Unmarshal(body, &answer) != nil {
			continue
		}
		names := []string{}
		for _, m := range answer.Present {
			names = append(names, m.Node)
		}
		return names
	}
	return nil
}
