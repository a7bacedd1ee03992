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

// startGossip runs a member for each node (cmd/membership), reached by the others through a relay that carries TCP and
// UDP, so that each way between two of them is a link: agent:n3 to agent:n4.
func (f *fleet) startGossip() error {
	var seeds []string
	for i := range min(3, len(f.nodes)) {
		seeds = append(seeds, f.place.relay(i))
	}
	for i, n := range f.nodes {
		callers := map[string]string{}
		for j := range f.nodes {
			host, _, _ := net.SplitHostPort(f.place.member(j))
			if j != i {
				callers[host] = agentName(j)
			}
		}
		relay, err := faults.OpenRelay(agentName(i), f.place.relay(i), f.place.member(i), callers, f.s.Seed*1000+uint64(i))
		if err != nil {
			return err
		}
		f.net.AddRelay(relay)
		f.recs.Links += len(callers)
		host, _, _ := net.SplitHostPort(f.place.member(i))
		m := &process{name: "member:" + n.info.Name, bin: f.s.Fleet.MembershipBinary, env: os.Environ(),
			args: []string{"run", "--name", n.info.Name, "--zone", n.info.Zone, "--bind", f.place.member(i), "--advertise", f.place.relay(i),
				"--http", host + ":9000"}}
		for _, s := range seeds {
			if s != f.place.relay(i) {
				m.args = append(m.args, "--seed", s)
			}
		}
		if err := m.openLog(filepath.Join(f.opt.Dir, "nodes", n.info.Name, "member.log")); err != nil {
			return err
		}
		f.members = append(f.members, m)
		if err := m.begin(f.opt.Dir, &f.agentCPU, &f.wg); err != nil {
			return err
		}
	}
	return nil
}

// watchViews keeps every change of what a member thinks of another, asked of each 4 times a second, until ctx ends.
func (f *fleet) watchViews(ctx context.Context) {
	for i := range f.members {
		f.wg.Go(func() {
			host, _, _ := net.SplitHostPort(f.place.member(i))
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
				now := f.rec.Since()
				for _, m := range v.Members {
					if last[m.Name] == m.State {
						continue
					}
					last[m.Name] = m.State
					f.mu.Lock()
					f.recs.Sightings = append(f.recs.Sightings, invariants.Sighting{By: i, Of: f.index(m.Name), State: string(m.State), At: now})
					f.mu.Unlock()
				}
			}
		})
	}
}

// agentProcesses are the processes that stand for a node's agent: discovery's agent, its member, or both.
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

// silenced notes that a member can say nothing from now on.
func (f *fleet) silenced(i int, how string) {
	if i >= len(f.members) {
		return
	}
	f.mu.Lock()
	f.recs.Silenced = append(f.recs.Silenced, Silenced{Node: i, At: f.rec.Since(), How: how})
	f.mu.Unlock()
}

// Silenced is a member that was killed or stopped.
type Silenced struct {
	Node int           `json:"node"`
	At   time.Duration `json:"at"`
	How  string        `json:"how"`
}

func (s Silenced) String() string { return fmt.Sprintf("n%d %s at %v", s.Node, s.How, s.At) }
