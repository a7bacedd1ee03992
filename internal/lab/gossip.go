package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"meadowsill/internal/invariants"
	"meadowsill/internal/lab/faults"
	"meadowsill/internal/lab/stub"
	"meadowsill/internal/membership"
)

// startGossip starts a member process (cmd/membership) for each node. The other members reach it through a relay for TCP and
// UDP, so that each direction between two members is a link of its own, such as agent:n3 to agent:n4.
func (f *fleet) startGossip() error {
	var seeds []string
	for i := range min(3, len(f.nodes)) {
		seeds = append(seeds, f.addressBlock.relay(i))
	}
	for i, n := range f.nodes {
		callers := map[string]string{}
		for j := range f.nodes {
			host, _, _ := net.SplitHostPort(f.addressBlock.member(j))
			if j != i {
				callers[host] = agentName(j)
			}
		}
		relay, err := faults.OpenRelay(agentName(i), f.addressBlock.relay(i), f.addressBlock.member(i), callers, f.s.Seed*1000+uint64(i))
		if err != nil {
			return err
		}
		f.net.AddRelay(relay)
		f.records.Links += len(callers)
		host, _, _ := net.SplitHostPort(f.addressBlock.member(i))
		m := &process{name: "member:" + n.info.Name, bin: f.s.Fleet.MembershipBinary, env: os.Environ(),
			args: []string{"run", "--name", n.info.Name, "--zone", n.info.Zone, "--bind", f.addressBlock.member(i), "--advertise", f.addressBlock.relay(i),
				"--http", host + ":9000"}}
		for _, s := range seeds {
			if s != f.addressBlock.relay(i) {
				m.args = append(m.args, "--seed", s)
			}
		}
		if err := m.openLog(filepath.Join(f.opt.Dir, "nodes", n.info.Name, "member.log")); err != nil {
			return err
		}
		f.members = append(f.members, m)
		if err := m.start(f.opt.Dir, &f.agentCPU, &f.wg); err != nil {
			return err
		}
	}
	return nil
}

// watchViews polls each member 4 times a second and records every change of the state in which it sees another member, until
// ctx ends.
func (f *fleet) watchViews(ctx context.Context) {
	for i := range f.members {
		f.wg.Go(func() {
			host, _, _ := net.SplitHostPort(f.addressBlock.member(i))
			client := http.Client{Timeout: time.Second}
			last := map[string]membership.State{}
			for ; ctx.Err() == nil; stub.Sleep(ctx, 250*time.Millisecond) {
				resp, err := client.Get("http://" + host + ":9000/view")
				if err != nil {
					continue
				}
				var v membership.View
				err = json.NewDecoder(resp.Body).Decode(&v)
				resp.Body.Close()
				if err != nil {
					continue
				}
				now := f.recorder.Since()
				for _, m := range v.Members {
					if last[m.Name] == m.State {
						continue
					}
					last[m.Name] = m.State
					f.mu.Lock()
					f.records.Sightings = append(f.records.Sightings, invariants.Sighting{By: i, Of: f.nodeIndex(m.Name), State: string(m.State), At: now})
					f.mu.Unlock()
				}
			}
		})
	}
}

// agentProcesses returns the processes that act as node i's agent: discovery's agent, the node's member, or both.
func (f *fleet) agentProcesses(i int) []*process {
	var out []*process
	if i < len(f.agents) {
		out = append(out, f.agents[i])
	}
	if i < len(f.members) {
		out = append(out, f.members[i])
	}
	return out
}

// recordSilenced records that node i's member sends nothing from now on. how is the action that silenced it.
func (f *fleet) recordSilenced(i int, how string) {
	if i >= len(f.members) {
		return
	}
	f.mu.Lock()
	f.records.Silenced = append(f.records.Silenced, Silenced{Node: i, At: f.recorder.Since(), How: how})
	f.mu.Unlock()
}

// Silenced records that a member was killed, terminated or stopped.
type Silenced struct {
	Node int           `json:"node"`
	At   time.Duration `json:"at"`
	How  string        `json:"how"`
}

func (s Silenced) String() string { return fmt.Sprintf("n%d %s at %v", s.Node, s.How, s.At) }
