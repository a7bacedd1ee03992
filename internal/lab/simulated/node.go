// Package simulated runs simulated nodes against real discovery agents: the replicas and agents are processes, and in place of
// each agent's node a goroutine watches intent, stages, applies and reports as a node does. It can be made to refuse, to hold
// other rules than those it received, to lag or to fall silent. The tests of discovery and the lab's measurements use it.
package simulated

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/lab/discoverylab"
	"meadowsill/internal/lab/faults"
)

var client = http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// Behaviour is how a simulated node differs from a correct one, and what it shows of itself. It is read and changed within Node.With.
type Behaviour struct {
	Counts func() []fleet.ZoneEvidence                   // of the next report; nil for none
	Seen   func(fleet.Item, fleet.Directive)             // hears every item of a zone
	Refuse string                                        // why it can't stage anything; empty: it can
	Slow   bool                                          // stages nothing new
	Keep   bool                                          // goes on serving what it serves
	Silent bool                                          // posts no reports
	Odd    func([]fleet.AppliedItem) []fleet.AppliedItem // replaces what it holds
	Every  time.Duration                                 // between two reports; 0: 150 ms

	Services []string // its scope, sorted; the agent has it from its next start on

	UIDs map[string]uint64     // of the tenants that it received, by name
	Held map[string]fleet.Item // what its module holds, by key
	Out  bool                  // the newest answer to a report says so
}

// Node is a simulated node and its agent, a process.
type Node struct {
	Name string
	Zone string
	// The agent's directory and address.
	Dir   string
	Agent string
	Links []*faults.Link // from the agent to each replica

	bin      string
	replicas []string
	proc     *exec.Cmd
	stop     chan struct{}
	done     sync.WaitGroup

	mu sync.Mutex
	Behaviour
	incarnation uint64
	seq         uint64
	revision    uint64       // newest that the module holds
	heard       fleet.Intent // the newest answer
	answer      string       // to the newest report
	serving     map[string]fleet.Generation
	down        bool     // its agent is gone
	want        []string // of the last answer
	wrong       []string
}

// Start starts node i (named n00 on, over zones za, zb and zc in turn) at the replicas of c, its agent at 127.5.N.(i+1) of its network, with
// dir for its data, which must exist.
func Start(c *discoverylab.Cluster, dir string, i int) (*Node, error) {
	n := &Node{
		Name:     fmt.Sprintf("n%02d", i),
		Zone:     "z" + string(rune('a'+i%3)),
		Dir:      dir,
		bin:      c.Bin,
		replicas: c.HTTP,
		Agent:    fmt.Sprintf("127.5.%d.%d:9100", c.Network.Number, i+1),
		stop:     make(chan struct{}),
	}
	n.Boot()
	for _, r := range c.HTTP {
		l, err := faults.Open(n.Name, r, "127.0.0.1:0", r, "", 1)
		if err != nil {
			n.Close()
			return nil, err
		}
		n.Links = append(n.Links, l)
	}
	if err := n.StartAgent(); err != nil {
		n.Close()
		return nil, err
	}
	n.done.Go(n.watch)
	n.done.Go(n.post)
	return n, nil
}

// Close ends the node, its agent and its links, and says what it saw that no agent may do. It is called once.
func (n *Node) Close() (wrong []string) {
	close(n.stop)
	n.StopAgent()
	n.done.Wait()
	for _, l := range n.Links {
		l.Close()
	}
	return n.wrong
}

// Pid is the agent's process id, 0 where it is stopped.
func (n *Node) Pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.proc == nil {
		return 0
	}
	return n.proc.Process.Pid
}

// Boot makes the node's process a new one, which holds nothing.
func (n *Node) Boot() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.incarnation = uint64(time.Now().UnixNano())
	n.seq = 0
	n.revision = 0
	n.Held, n.heard = map[string]fleet.Item{}, fleet.Intent{}
	n.serving, n.UIDs = map[string]fleet.Generation{}, map[string]uint64{}
}

// StartAgent starts the node's agent on its directory; it must not be running. Its log is agent.log there.
func (n *Node) StartAgent() error {
	args := []string{"agent", "--node", n.Name, "--zone", n.Zone, "--dir", n.Dir, "--listen", n.Agent}
	for i, r := range n.replicas {
		args = append(args, "--replica", r, "--route", r+"="+n.Links[i].Addr)
	}
	n.mu.Lock()
	for _, service := range n.Services {
		args = append(args, "--service", service)
	}
	n.mu.Unlock()
	logs, err := os.OpenFile(filepath.Join(n.Dir, "agent.log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer logs.Close()
	cmd := exec.Command(n.bin, args...)
	cmd.Stderr = logs
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.proc, n.down = cmd, false
	return nil
}

// StopAgent kills the agent's process, where it runs.
func (n *Node) StopAgent() {
	n.mu.Lock()
	cmd := n.proc
	n.proc, n.down = nil, true
	n.mu.Unlock()
	if cmd != nil {
		cmd.Process.Kill()
		cmd.Wait()
	}
}

// Cut takes a node's agent off every replica, or puts it back.
func (n *Node) Cut(off bool) {
	for _, l := range n.Links {
		l.Set(faults.Fault{Blackhole: off})
	}
}

// Metric reads one counter of the agent.
func (n *Node) Metric(name string) string {
	resp, err := client.Get("http://" + n.Agent + "/metrics")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	for line := range strings.SplitSeq(string(raw), "\n") {
		if v, ok := strings.CutPrefix(line, name+" "); ok {
			return v
		}
	}
	return ""
}

// Revision is that of the newest intent that the module holds.
func (n *Node) Revision() uint64 { n.mu.Lock(); defer n.mu.Unlock(); return n.revision }

// With changes how the node behaves.
func (n *Node) With(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

// Look is the newest answer of the agent to the watch.
func (n *Node) Look() fleet.Intent { n.mu.Lock(); defer n.mu.Unlock(); return n.heard }

// Last is the agent's newest answer to a report: status and body.
func (n *Node) Last() string { n.mu.Lock(); defer n.mu.Unlock(); return n.answer }

// Serves is the generation of a tenant that the node serves by, 0 none.
func (n *Node) Serves(tenant string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.serving[tenant].Number
}

// Directive is what the node holds of a zone.
func (n *Node) Directive(key string) (d fleet.Directive, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.directiveLocked(key)
}

func (n *Node) directiveLocked(key string) (d fleet.Directive, ok bool) {
	it, ok := n.Held[key]
	if ok {
		json.Unmarshal(it.Body, &d)
	}
	return d, ok
}

func (n *Node) rest(d time.Duration) bool {
	select {
	case <-n.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// watch follows the agent's intent as a node does.
func (n *Node) watch() {
	for n.rest(0) {
		n.mu.Lock()
		since, run := n.revision, n.incarnation
		n.mu.Unlock()
		resp, err := client.Get(fmt.Sprintf("http://%s/fleet/v1/intent?since=%d&timeout_ms=300&node=%s", n.Agent, since, n.Name))
		if err != nil {
			n.rest(20 * time.Millisecond)
			continue
		}
		raw, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		in, err := fleet.DecodeIntent(raw)
		if err != nil || resp.StatusCode != http.StatusOK {
			n.note("intent: status %d, %v", resp.StatusCode, err)
			n.rest(20 * time.Millisecond)
			continue
		}
		n.take(in, run)
	}
}

func (n *Node) note(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.wrong = append(n.wrong, fmt.Sprintf(format, args...))
}

// take tells the module what an answer holds. One behind what it has changes nothing: that is its agent's disk copy.
func (n *Node) take(in fleet.Intent, run uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if run != n.incarnation {
		return // it was asked by a process that is no more
	}
	n.heard = in
	if in.Revision < n.revision {
		return
	}
	if in.Full {
		n.Held = map[string]fleet.Item{}
	}
	for _, it := range in.Items {
		if n.Seen != nil && bytes.HasPrefix([]byte(it.Key), []byte("zone/")) {
			var d fleet.Directive
			json.Unmarshal(it.Body, &d)
			n.Seen(it, d)
		}
		if it.Removed {
			delete(n.Held, it.Key)
			continue
		}
		n.Held[it.Key] = it
	}
	n.revision = in.Revision
	n.apply()
}
