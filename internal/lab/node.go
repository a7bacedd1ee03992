package lab

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"meadowsill/internal/lab/faults"
)

// node is a node of the fleet: its process, and what the front knows of it.
type node struct {
	process
	index        int
	info         *NodeInfo
	cfg          string
	inFront      atomic.Bool  // the front has the node; clients may use their connections to it
	getsNewConns atomic.Bool  // the front also routes new connections to the node
	termAt       atomic.Int64 // when this incarnation was sent SIGTERM, in ns on the recorder's clock; 0 if it was not
	frontAddr    string
	clients      *faults.Link
}

// nodeIP returns the source address of node i's links. App servers identify the calling node by it.
func nodeIP(i int) string { return fmt.Sprintf("127.1.%d.%d", i/250, i%250+1) }

func nodeByIP(remote string) int {
	host, _, _ := net.SplitHostPort(remote)
	var a, b, c, d int
	if n, _ := fmt.Sscanf(host, "%d.%d.%d.%d", &a, &b, &c, &d); n != 4 || a != 127 || b != 1 {
		return -1
	}
	return c*250 + d - 1
}

// writeConfig writes the node's configuration. The node gets the list of servers at the address discovery, which is that of a
// relay. Where the run has a control plane, the node gets the fleet's intent from its agent through the same relay.
func (f *fleet) writeConfig(n *node, discovery string) error {
	settings := f.template()
	settings["balancers"] = f.s.Fleet.Nodes
	settings["slot_no"] = n.index
	settings["zone"] = n.info.Zone
	settings["failure_domains"] = f.s.Fleet.Zones
	config := map[string]any{"name": n.info.Name, "listen": n.info.Listen, "discovery": discovery,
		"seed": fmt.Sprintf("%x", f.s.Seed*7919+uint64(n.index)+1), "limits": map[string]any{"sockets": 4096, "memory_mb": 192},
		"settings": settings}
	if f.s.Fleet.Control && f.s.Fleet.Follow {
		config["fleet"] = map[string]any{"agent": discovery, "report_ms": 250, "catch_up_ms": 10000}
	}
	raw, err := json.Marshal(config)
	if err != nil {
		return err
	}
	dir := filepath.Join(f.opt.Dir, "nodes", n.info.Name)
	n.cfg = filepath.Join(dir, "config.json")
	n.bin = f.s.Fleet.NodeBinary
	n.name = n.info.Name
	n.env = append(os.Environ(), "GW_CONFIG="+n.cfg, "TMPDIR="+dir)
	if err := n.openLog(filepath.Join(dir, "node.log")); err != nil {
		return err
	}
	return os.WriteFile(n.cfg, raw, 0o644)
}

// launch starts an incarnation of the node and waits until the node is ready, for up to the scenario's ready_s.
func (f *fleet) launch(n *node) {
	if err := n.start(f.opt.Dir, &f.nodeCPU, &f.wg); err != nil {
		f.opt.Log.Error("node did not start", "node", n.info.Name, "err", err)
		n.info.NeverUp++
		return
	}
	n.termAt.Store(0)
	exited := n.ended()
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(seconds(f.s.Fleet.ReadyS)); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		select {
		case <-exited:
			f.opt.Log.Error("node process exited before the node was ready", "node", n.info.Name)
			n.info.NeverUp++
			return
		default:
		}
		resp, err := client.Get("http://" + n.info.Listen + "/health/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				n.info.ReadyAt = append(n.info.ReadyAt, f.recorder.Since())
				n.getsNewConns.Store(true)
				n.inFront.Store(true)
				return
			}
		}
	}
	f.opt.Log.Error("node was not ready in time", "node", n.info.Name, "ready_s", f.s.Fleet.ReadyS)
	n.info.NeverUp++
}
