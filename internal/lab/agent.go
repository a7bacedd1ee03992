package lab

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// View starts an agent process for node n and returns the address at which the agent serves the node. The agent reaches
// each replica through a relay of its own, and lists the servers under the addresses that addrOf returns.
func (d *replicatedDiscovery) View(n *node, addrOf func(string) string) (string, error) {
	rewrite := map[string]string{}
	d.mu.Lock()
	for id := range d.entries {
		rewrite[id] = addrOf(id)
	}
	d.mu.Unlock()
	raw, _ := json.Marshal(rewrite)
	dir := filepath.Join(d.f.opt.Dir, "nodes", n.info.Name)
	if err := os.MkdirAll(filepath.Join(dir, "agent"), 0o755); err != nil {
		return "", err
	}
	path := filepath.Join(dir, "addr-map.json")
	if err := os.WriteFile(path, raw, 0o644); err != nil {
		return "", err
	}
	listen := d.f.addressBlock.agent(n.index)
	a := &process{name: agentName(n.index), bin: d.f.s.Fleet.DiscoveryBinary, env: os.Environ(),
		args: []string{"agent", "--listen", listen, "--addr-map", path}}
	for r, target := range d.cluster.HTTP {
		link, err := d.f.link(a.name, replicaName(r), target, "", d.f.s.Seed+uint64(n.index*100+r))
		if err != nil {
			return "", err
		}
		if d.f.s.Fleet.Control { // the agent must know the replicas by the addresses that they use for each other
			a.args = append(a.args, "--replica", target, "--route", target+"="+link.Addr)
			continue
		}
		a.args = append(a.args, "--replica", link.Addr)
	}
	if d.f.s.Fleet.Control {
		a.args = append(a.args, "--node", n.info.Name, "--zone", n.info.Zone, "--dir", filepath.Join(dir, "agent"))
	}
	if err := a.openLog(filepath.Join(dir, "agent.log")); err != nil {
		return "", err
	}
	d.f.agents = append(d.f.agents, a)
	if err := a.start(d.f.opt.Dir, &d.f.agentCPU, &d.f.wg); err != nil {
		return "", err
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if resp, err := http.Get("http://" + listen + "/registry/instances"); err == nil {
			resp.Body.Close()
			return listen, nil
		}
	}
	return "", fmt.Errorf("agent of %s did not answer in 20 s", n.info.Name)
}
