package lab

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

type node struct {
	i         int
	info      *NodeInfo
	cfg       string
	env       []string
	log       *os.File
	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	inFront   atomic.Bool
	frontAddr string
}

// nodeIP is the source address of node i's links, so that an app server can tell which node calls.
func nodeIP(i int) string { return fmt.Sprintf("127.1.%d.%d", i/250, i%250+1) }

func nodeOf(remote string) int {
	host, _, _ := net.SplitHostPort(remote)
	var a, b, c, d int
	if n, _ := fmt.Sscanf(host, "%d.%d.%d.%d", &a, &b, &c, &d); n != 4 || a != 127 || b != 1 {
		return -1
	}
	return c*250 + d - 1
}

// nodeListen is node i's address for clients: an address of its own in 127.0.0.0/8, so that no port picked for
// anything else can take it between the node's lives.
func nodeListen(i int) string { return fmt.Sprintf("127.2.%d.%d:8080", i/250, i%250+1) }

func (f *fleet) configure(n *node, discovery string) error {
	settings := f.template()
	settings["balancers"], settings["slot_no"], settings["zone"] = f.s.Fleet.Nodes, n.i, n.info.Zone
	settings["failure_domains"] = f.s.Fleet.Zones
	config := map[string]any{"name": n.info.Name, "listen": n.info.Listen, "discovery": discovery,
		"seed": fmt.Sprintf("%x", f.s.Seed*7919+uint64(n.i)+1), "limits": map[string]any{"sockets": 4096, "memory_mb": 192},
		"settings": settings}
	raw, err := json.Marshal(config)
	if err != nil {
		return err
	}
	dir := filepath.Join(f.opt.Dir, "nodes", n.info.Name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	n.cfg = filepath.Join(dir, "config.json")
	n.env = append(os.Environ(), "GW_CONFIG="+n.cfg, "TMPDIR="+dir)
	if n.log, err = os.OpenFile(filepath.Join(dir, "node.log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644); err != nil {
		return err
	}
	return os.WriteFile(n.cfg, raw, 0o644)
}

// launch starts a life of the node and waits until it is ready, or its time for that is over.
func (f *fleet) launch(n *node) {
	cmd := exec.Command(f.s.Fleet.NodeBinary)
	cmd.Env, cmd.Stdout, cmd.Stderr = n.env, n.log, n.log
	// Children die with the lab, however it ends; each is ended by its own pid otherwise.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		f.opt.Log.Error("node did not start", "node", n.info.Name, "err", err)
		n.info.NeverUp++
		return
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.info.Pids = append(n.info.Pids, cmd.Process.Pid)
	n.mu.Unlock()
	writePid(f.opt.Dir, cmd.Process.Pid)
	f.wg.Go(func() {
		cmd.Wait()
		if u, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
			f.cpu.Add(int64(cpuSeconds(*u) * 1e9))
		}
		close(exited)
	})
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(seconds(f.s.Fleet.ReadyS)); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		select {
		case <-exited:
			f.opt.Log.Error("node ended before it was ready", "node", n.info.Name)
			n.info.NeverUp++
			return
		default:
		}
		resp, err := client.Get("http://" + n.info.Listen + "/health/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				n.info.ReadyAt = append(n.info.ReadyAt, f.rec.Since())
				n.inFront.Store(true)
				return
			}
		}
	}
	f.opt.Log.Error("node never came up", "node", n.info.Name, "ready_s", f.s.Fleet.ReadyS)
	n.info.NeverUp++
}

func writePid(dir string, pid int) {
	fh, err := os.OpenFile(filepath.Join(dir, "pids"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err == nil {
		fmt.Fprintln(fh, pid)
		fh.Close()
	}
}

// signal sends sig to node n's present life; false where it has none running.
func (n *node) signal(sig syscall.Signal) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil || n.cmd.ProcessState != nil {
		return false
	}
	select {
	case <-n.exited:
		return false
	default:
	}
	return n.cmd.Process.Signal(sig) == nil
}

func (n *node) wait(d time.Duration) bool {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	default:
	}
	select {
	case <-exited:
		return true
	case <-time.After(d):
		return false
	}
}
