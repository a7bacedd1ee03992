package lab

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"starlingvalve/internal/lab/listdlab"
	"starlingvalve/internal/lab/standin"
)

// lister is the discovery a run's nodes read: the stand-in, or listd's replicas with an agent per node.
type lister interface {
	// View opens node's way to the list, in which each server's address is addrOf(id); it gives its address.
	View(node string, addrOf func(id string) string) (string, error)
	// Set changes a server's state; startedMS, where not 0, is its new start.
	Set(id, state string, startedMS int64)
	Close()
}

type standinList struct{ *standin.Discovery }

func (s standinList) View(_ string, addrOf func(string) string) (string, error) {
	return s.Discovery.View(addrOf)
}
func (s standinList) Set(id, state string, startedMS int64) { s.Discovery.Set(id, state, startedMS) }

// listdList is listd's replicas as processes; the lab registers the servers under leases and renews them, as
// their registrant would, and runs one agent process per node with the node's addresses of the servers.
type listdList struct {
	cluster *listdlab.Cluster
	bin     string
	dir     string
	mu      sync.Mutex
	entries map[string]standin.Entry
	agents  []*exec.Cmd
	done    chan struct{}
	wg      sync.WaitGroup
	log     func(msg string, args ...any)
}

const leaseMS = 6000

func startListd(bin, dir string, replicas int, entries []standin.Entry, log func(string, ...any)) (*listdList, error) {
	c, err := listdlab.Start(bin, filepath.Join(dir, "listd"), replicas, int(time.Now().UnixNano()%250))
	if err != nil {
		return nil, err
	}
	l := &listdList{cluster: c, bin: bin, dir: dir, entries: map[string]standin.Entry{}, done: make(chan struct{}), log: log}
	for _, e := range entries {
		l.entries[e.ID] = e
	}
	for _, e := range entries {
		if err := l.write("register", e); err != nil {
			l.Close()
			return nil, err
		}
	}
	l.wg.Go(l.renew)
	return l, nil
}

// write sends one call to whoever leads, trying for up to 10 s.
func (l *listdList) write(op string, e standin.Entry) error {
	body := map[string]any{"id": e.ID, "ttl_ms": leaseMS}
	if op == "register" {
		body = map[string]any{"id": e.ID, "addr": e.Addr, "zone": e.Zone, "kind": e.Kind, "cell": e.Cell, "state": e.State,
			"weight": e.Weight, "started_ms": e.StartedMS, "ttl_ms": leaseMS}
	}
	raw, _ := json.Marshal(body)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		lead, err := l.cluster.Leader(5*time.Second, -1)
		if err != nil {
			continue
		}
		resp, err := http.Post("http://"+l.cluster.HTTP[lead]+"/registry/v1/"+op, "application/json", bytes.NewReader(raw))
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("listd: %s %s not committed in 10 s", op, e.ID)
}

// renew keeps every lease that is not gone, a third of its length apart.
func (l *listdList) renew() {
	t := time.NewTicker(leaseMS / 3 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-l.done:
			return
		case <-t.C:
		}
		l.mu.Lock()
		var held []standin.Entry
		for _, e := range l.entries {
			if e.State != "gone" {
				held = append(held, e)
			}
		}
		l.mu.Unlock()
		for _, e := range held {
			if err := l.write("register", e); err != nil {
				l.log("lease not renewed", "server", e.ID, "err", err)
			}
		}
	}
}

func (l *listdList) View(node string, addrOf func(string) string) (string, error) {
	rewrite := map[string]string{}
	l.mu.Lock()
	for id := range l.entries {
		rewrite[id] = addrOf(id)
	}
	index := len(l.agents)
	l.mu.Unlock()
	raw, _ := json.Marshal(rewrite)
	path := filepath.Join(l.dir, "nodes", node, "addr-map.json")
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return "", err
	}
	if err := os.WriteFile(path, raw, 0o644); err != nil {
		return "", err
	}
	listen := fmt.Sprintf("127.4.%d.%d:9100", index/250, index%250+1)
	args := []string{"agent", "--listen", listen, "--addr-map", path}
	for _, h := range l.cluster.HTTP {
		args = append(args, "--replica", h)
	}
	logFile, err := os.Create(filepath.Join(l.dir, "nodes", node, "agent.log"))
	if err != nil {
		return "", err
	}
	cmd := exec.Command(l.bin, args...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return "", err
	}
	writePid(l.dir, cmd.Process.Pid)
	l.mu.Lock()
	l.agents = append(l.agents, cmd)
	l.mu.Unlock()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if resp, err := http.Get("http://" + listen + "/registry/instances"); err == nil {
			resp.Body.Close()
			return listen, nil
		}
	}
	return "", fmt.Errorf("agent of %s did not answer in 20 s", node)
}

func (l *listdList) Set(id, state string, startedMS int64) {
	l.mu.Lock()
	e := l.entries[id]
	e.State = state
	if startedMS != 0 {
		e.StartedMS = startedMS
	}
	l.entries[id] = e
	l.mu.Unlock()
	op := map[string]string{"ready": "register", "draining": "register", "gone": "deregister"}[state]
	if err := l.write(op, e); err != nil {
		l.log("list change not committed", "server", id, "state", state, "err", err)
	}
}

func (l *listdList) Close() {
	select {
	case <-l.done:
	default:
		close(l.done)
	}
	l.wg.Wait()
	l.mu.Lock()
	for _, a := range l.agents {
		a.Process.Signal(syscall.SIGTERM)
		a.Wait()
	}
	l.agents = nil
	l.mu.Unlock()
	l.cluster.Close()
}
