package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"starlingvalve/internal/fleet"
	"starlingvalve/internal/fleet/drift"
	"starlingvalve/internal/lab/faults"
)

// played is a node that the test plays: its agent is a process, and the test watches the agent's intent, holds what it is
// told and posts reports, as a node does.
type played struct {
	f                      *fleetUp
	name, zone, dir, agent string
	proc                   *exec.Cmd
	links                  []*faults.Link // to each replica
	stop                   chan struct{}
	done                   sync.WaitGroup

	mu               sync.Mutex
	incarnation, seq uint64
	held             map[string]fleet.Item // what the module holds, by key
	ever             map[string]bool       // keys that it ever held
	revision         uint64                // newest that the module holds
	heard            fleet.Intent          // the newest answer
	answer           string                // to the newest report
	serving          map[string]fleet.Generation
	uids             map[string]uint64
	counts           func() []fleet.ZoneCount          // of the next report
	seen             func(fleet.Item, fleet.Directive) // hears every item of a zone
	refuse           string                            // why it can't stage anything
	slow             bool                              // stages nothing new
	keep             bool                              // goes on serving what it serves
	silent           bool                              // posts no reports
	down             bool                              // its agent is gone
	odd              func([]fleet.Held) []fleet.Held   // what it holds in place of what it was told
	want             []string                          // of the last answer
	out              bool
	wrong            []string
}

func (f *fleetUp) startNode(i int) *played {
	f.t.Helper()
	n := &played{f: f, name: fmt.Sprintf("n%02d", i), zone: "z" + string(rune('a'+i%3)), dir: f.t.TempDir(),
		agent: fmt.Sprintf("127.5.%d.%d:9100", f.net, i+1), stop: make(chan struct{})}
	n.boot()
	for _, r := range f.HTTP {
		l, err := faults.Open(n.name, r, "127.0.0.1:0", r, "", 1)
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(l.Close)
		n.links = append(n.links, l)
	}
	n.startAgent()
	n.done.Go(n.watch)
	n.done.Go(n.post)
	f.t.Cleanup(func() {
		close(n.stop)
		n.stopAgent()
		n.done.Wait()
		noRace(f.t, filepath.Join(n.dir, "agent.log"))
		for _, w := range n.wrong {
			f.t.Errorf("%s: %s", n.name, w)
		}
	})
	return n
}

// boot makes the node's process a new one, which holds nothing.
func (n *played) boot() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.incarnation, n.seq, n.revision = uint64(time.Now().UnixNano()), 0, 0
	n.held, n.ever, n.heard = map[string]fleet.Item{}, map[string]bool{}, fleet.Intent{}
	n.serving, n.uids = map[string]fleet.Generation{}, map[string]uint64{}
}

func (n *played) startAgent() {
	n.f.t.Helper()
	args := []string{"agent", "--node", n.name, "--zone", n.zone, "--dir", n.dir, "--listen", n.agent}
	for i, r := range n.f.HTTP {
		args = append(args, "--replica", r, "--route", r+"="+n.links[i].Addr)
	}
	logs, err := os.OpenFile(filepath.Join(n.dir, "agent.log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		n.f.t.Fatal(err)
	}
	defer logs.Close()
	cmd := exec.Command(n.f.Bin, args...)
	cmd.Stderr = logs
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		n.f.t.Fatal(err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.proc, n.down = cmd, false
}

func (n *played) stopAgent() {
	n.mu.Lock()
	cmd := n.proc
	n.proc, n.down = nil, true
	n.mu.Unlock()
	if cmd != nil {
		cmd.Process.Kill()
		cmd.Wait()
	}
}

// with changes how the node behaves.
func (n *played) with(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

func (n *played) look() fleet.Intent { n.mu.Lock(); defer n.mu.Unlock(); return n.heard }
func (n *played) last() string       { n.mu.Lock(); defer n.mu.Unlock(); return n.answer }

// serves is the generation of a tenant that the node serves by, 0 none.
func (n *played) serves(tenant string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.serving[tenant].Number
}

// directive is what the node holds of a zone.
func (n *played) directive(key string) (d fleet.Directive, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.directiveLocked(key)
}

func (n *played) directiveLocked(key string) (d fleet.Directive, ok bool) {
	it, ok := n.held[key]
	if ok {
		json.Unmarshal(it.Body, &d)
	}
	return d, ok
}

func (n *played) rest(d time.Duration) bool {
	select {
	case <-n.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// watch follows the agent's intent as a node does.
func (n *played) watch() {
	for n.rest(0) {
		n.mu.Lock()
		since, run := n.revision, n.incarnation
		n.mu.Unlock()
		resp, err := fleetClient.Get(fmt.Sprintf("http://%s/fleet/v1/intent?since=%d&timeout_ms=300&node=%s", n.agent, since, n.name))
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

func (n *played) note(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.wrong = append(n.wrong, fmt.Sprintf(format, args...))
}

// take tells the module what an answer holds. One behind what it has changes nothing: that is its agent's disk copy.
func (n *played) take(in fleet.Intent, run uint64) {
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
		n.held = map[string]fleet.Item{}
	}
	for _, it := range in.Items {
		if n.seen != nil && bytes.HasPrefix([]byte(it.Key), []byte("zone/")) {
			var d fleet.Directive
			json.Unmarshal(it.Body, &d)
			n.seen(it, d)
		}
		if it.Gone {
			delete(n.held, it.Key)
			continue
		}
		n.held[it.Key], n.ever[it.Key] = it, true
	}
	n.revision = in.Revision
	n.apply()
}

// apply serves by what is committed, and by nothing else.
func (n *played) apply() {
	if n.keep {
		return
	}
	now := map[string]fleet.Generation{}
	for key, it := range n.held {
		var t fleet.Tenant
		if name, ok := bytes.CutPrefix([]byte(key), []byte("tenant/")); ok {
			json.Unmarshal(it.Body, &t)
			n.uids[string(name)] = t.UID
			if t.Committed != nil && !t.Removing {
				now[string(name)] = *t.Committed
			}
		}
	}
	n.serving = now
}

// report is the node's next one; the caller holds mu.
func (n *played) report() fleet.Report {
	n.seq++
	n.apply()
	r := fleet.Report{Member: fleet.Member{Node: n.name, Zone: n.zone, Incarnation: n.incarnation}, Seq: n.seq, Revision: n.revision,
		Ready: true, WindowMS: 100}
	if n.counts != nil {
		r.Zones = n.counts()
	}
	for key, it := range n.held {
		name, ok := bytes.CutPrefix([]byte(key), []byte("tenant/"))
		if !ok {
			continue
		}
		var t fleet.Tenant
		json.Unmarshal(it.Body, &t)
		g := n.serving[string(name)]
		ack := fleet.TenantAck{Name: string(name), UID: t.UID, Committed: g.Number, Digest: g.Digest}
		switch {
		case t.Staged == nil || n.slow:
		case n.refuse != "":
			ack.Refused = n.refuse
		default:
			ack.Staged, ack.Digest = t.Staged.Number, t.Staged.Digest
		}
		r.Tenants = append(r.Tenants, ack)
	}
	items := slices.Collect(maps.Values(n.held))
	facts, err := drift.Expect(drift.Intended{Revision: n.revision, Items: items}, r.Member)
	if err != nil {
		n.wrong = append(n.wrong, err.Error())
	}
	if n.odd != nil {
		facts = n.odd(facts)
	}
	drift.Fill(&r, facts, n.want)
	n.want = nil
	slices.SortFunc(r.Tenants, func(a, b fleet.TenantAck) int { return bytes.Compare([]byte(a.Name), []byte(b.Name)) })
	return r
}

// post sends reports as a node does.
func (n *played) post() {
	for n.rest(150 * time.Millisecond) {
		n.mu.Lock()
		if n.silent || n.down {
			n.mu.Unlock()
			continue
		}
		raw, _ := json.Marshal(n.report())
		n.mu.Unlock()
		resp, err := fleetClient.Post("http://"+n.agent+"/fleet/v1/report", "application/json", bytes.NewReader(raw))
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		n.mu.Lock()
		n.answer = fmt.Sprintf("%d %s", resp.StatusCode, text)
		var ans fleet.ReportAnswer
		if resp.StatusCode == http.StatusOK && json.Unmarshal(text, &ans) == nil {
			n.want, n.out = ans.Want, ans.Out
		}
		n.mu.Unlock()
	}
}
