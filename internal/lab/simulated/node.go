// Package simulated runs simulated nodes against real discovery agents. The replicas and agents are processes; in place of each agent's
// node, goroutines watch the intent, stage and apply it, and send reports as a node does. A simulated node can be made to refuse
// generations, to report other items than those it received, to lag, or to stop reporting. The tests of discovery and the
// lab's measurements use this package.
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

// Behaviour sets how a simulated node differs from a correct one, and exposes its state to tests. It is read and changed within Node.With.
type Behaviour struct {
	Counts func() []fleet.ZoneEvidence                   // returns the zone evidence of the next report; nil: none
	Seen   func(fleet.Item, fleet.Directive)             // called with every received item of a zone
	Refuse string                                        // reason with which the node rejects every staged generation; empty: it accepts them
	Slow   bool                                          // the node stages nothing new
	Keep   bool                                          // the node continues to serve the generations that it serves now
	Silent bool                                          // the node sends no reports
	Odd    func([]fleet.AppliedItem) []fleet.AppliedItem // replaces the applied items that the node reports; nil: unchanged
	Every  time.Duration                                 // interval between two reports; 0: 150 ms

	Services []string // the node's scope, sorted; the agent gets a change at its next start

	UIDs map[string]uint64     // UIDs of the received tenants, by name
	Held map[string]fleet.Item // items of the intent that the node holds, by key
	Out  bool                  // the newest answer to a report takes the node out of service
}

// Node is a simulated node together with the process of its agent.
type Node struct {
	Name string
	Zone string
	// Dir is the agent's data directory and Agent its address.
	Dir   string
	Agent string
	Links []*faults.Link // relays of the connections from the agent to each replica

	bin      string
	replicas []string
	proc     *exec.Cmd
	stop     chan struct{}
	done     sync.WaitGroup

	mu sync.Mutex
	Behaviour
	incarnation uint64
	seq         uint64
	revision    uint64       // of the newest intent that the node holds
	lastIntent  fleet.Intent // newest answer to a watch
	lastAnswer  string       // status and body of the newest answer to a report
	serving     map[string]fleet.Generation
	agentDown   bool     // the agent has been stopped
	wantedKeys  []string // keys that the newest answer to a report asks for
	violations  []string
}

// Start starts node i and its agent with the replicas of c. Nodes are named n00, n01, … and are in zones za, zb and zc in turn. The agent
// listens at 127.5.N.(i+1), where N is the number of the cluster's network, and keeps its data in dir, which must exist.
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
	n.done.Go(n.watchIntent)
	n.done.Go(n.postReports)
	return n, nil
}

// Close stops the node, its agent and its links, and returns the violations of the agent's protocol that the node saw. It must be called
// only once.
func (n *Node) Close() (violations []string) {
	close(n.stop)
	n.StopAgent()
	n.done.Wait()
	for _, l := range n.Links {
		l.Close()
	}
	return n.violations
}

// Pid returns the process id of the agent, or 0 if it is stopped.
func (n *Node) Pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.proc == nil {
		return 0
	}
	return n.proc.Process.Pid
}

// Boot simulates a restart of the node's process: the node gets a new incarnation and holds no intent.
func (n *Node) Boot() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.incarnation = uint64(time.Now().UnixNano())
	n.seq = 0
	n.revision = 0
	n.Held, n.lastIntent = map[string]fleet.Item{}, fleet.Intent{}
	n.serving, n.UIDs = map[string]fleet.Generation{}, map[string]uint64{}
}

// StartAgent starts the node's agent with its data directory and logs to agent.log there. The agent must not be running.
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
	n.proc, n.agentDown = cmd, false
	return nil
}

// StopAgent kills the agent's process if it is running.
func (n *Node) StopAgent() {
	n.mu.Lock()
	cmd := n.proc
	n.proc, n.agentDown = nil, true
	n.mu.Unlock()
	if cmd != nil {
		cmd.Process.Kill()
		cmd.Wait()
	}
}

// Cut cuts the agent off from every replica, or connects it again.
func (n *Node) Cut(off bool) {
	for _, l := range n.Links {
		l.Set(faults.Fault{Blackhole: off})
	}
}

// Metric reads the value of one metric of the agent, or "" if it can't be read.
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

// Revision returns the revision of the newest intent that the node holds.
func (n *Node) Revision() uint64 { n.mu.Lock(); defer n.mu.Unlock(); return n.revision }

// With calls change with the node's lock held, to read or change its Behaviour.
func (n *Node) With(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

// Look returns the agent's newest answer to a watch of the intent.
func (n *Node) Look() fleet.Intent { n.mu.Lock(); defer n.mu.Unlock(); return n.lastIntent }

// Last returns the status and body of the agent's newest answer to a report.
func (n *Node) Last() string { n.mu.Lock(); defer n.mu.Unlock(); return n.lastAnswer }

// Serves returns the generation of a tenant that the node serves, or 0 if it serves none.
func (n *Node) Serves(tenant string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.serving[tenant].Number
}

// Directive returns the directive that the node holds for a zone's key, if any.
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

func (n *Node) sleep(d time.Duration) bool {
	select {
	case <-n.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// watchIntent watches the agent's intent and applies it, as a node does, until the node is closed.
func (n *Node) watchIntent() {
	for n.sleep(0) {
		n.mu.Lock()
		since, askedBy := n.revision, n.incarnation
		n.mu.Unlock()
		resp, err := client.Get(fmt.Sprintf("http://%s/fleet/v1/intent?since=%d&timeout_ms=300&node=%s", n.Agent, since, n.Name))
		if err != nil {
			n.sleep(20 * time.Millisecond)
			continue
		}
		raw, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		intent, err := fleet.DecodeIntent(raw)
		if err != nil || resp.StatusCode != http.StatusOK {
			n.addViolation("intent: status %d, %v", resp.StatusCode, err)
			n.sleep(20 * time.Millisecond)
			continue
		}
		n.receiveIntent(intent, askedBy)
	}
}

func (n *Node) addViolation(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.violations = append(n.violations, fmt.Sprintf(format, args...))
}

// receiveIntent updates the node from an answer to a watch. An intent older than the held one changes nothing: the agent serves its
// disk copy.
func (n *Node) receiveIntent(intent fleet.Intent, askedBy uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if askedBy != n.incarnation {
		return // an earlier incarnation of the node sent the watch
	}
	n.lastIntent = intent
	if intent.Revision < n.revision {
		return
	}
	if intent.Full {
		n.Held = map[string]fleet.Item{}
	}
	for _, it := range intent.Items {
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
	n.revision = intent.Revision
	n.applyCommitted()
}
