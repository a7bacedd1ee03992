package lab

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// View starts the node's agent, each of its ways to a replica a relay of its own, and gives its address.
func (l *replicatedList) View(n *node, addrOf func(string) string) (string, error) {
	rewrite := map[string]string{}
	l.mu.Lock()
	for id := range l.entries {
		rewrite[id] = addrOf(id)
	}
	l.mu.Unlock()
	raw, _ := json.Marshal(rewrite)
	dir := filepath.Join(l.f.opt.Dir, "nodes", n.info.Name)
	if err := os.MkdirAll(filepath.Join(dir, "agent"), 0o755); err != nil {
		return "", err
	}
	path := filepath.Join(dir, "addr-map.json")
	if err := os.WriteFile(path, raw, 0o644); err != nil {
		return "", err
	}
	listen := l.f.place.agent(n.i)
	a := &process{name: agentName(n.i), bin: l.f.s.Fleet.DiscoveryBinary, env: os.Environ(),
		args: []string{"agent", "--listen", listen, "--addr-map", path}}
	for r, target := range l.cluster.HTTP {
		link, err := l.f.link(a.name, replicaName(r), target, "", l.f.s.Seed+uint64(n.i*100+r))
		if err != nil {
			return "", err
		}
		if l.f.s.Fleet.Control { // it has to know replicas by the names they give each other
			a.args = append(a.args, "--replica", target, "--route", target+"="+link.Addr)
			continue
		}
		a.args = append(a.args, "--replica", link.Addr)
	}
	if l.f.s.Fleet.Control {
		a.args = append(a.args, "--node", n.info.Name, "--zone", n.info.Zone, "--dir", filepath.Join(dir, "agent"))
	}
	if err := a.openLog(filepath.Join(dir, "agent.log")); err != nil {
		return "", err
	}
	l.f.agents = append(l.f.agents, a)
	if err := a.begin(l.f.opt.Dir, &l.f.agentCPU, &l.f.wg); err != nil {
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
