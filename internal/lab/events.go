package lab

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"starlingvalve/internal/invariants"
	"starlingvalve/internal/lab/faults"
	"starlingvalve/internal/lab/standin"
)

// do carries out one event of the timeline and says what it touched.
func (f *fleet) do(e Event) (string, error) {
	nodes, _ := Select(e.Nodes, len(f.nodes))
	servers, _ := Select(e.Servers, len(f.servers))
	if e.Zone != "" {
		servers = nil
		for j, s := range f.servers {
			if s.Spec.Zone == e.Zone {
				servers = append(servers, j)
			}
		}
	}
	switch e.Do {
	case "kill", "term", "stop", "cont", "hup":
		sig := map[string]syscall.Signal{"kill": syscall.SIGKILL, "term": syscall.SIGTERM, "stop": syscall.SIGSTOP,
			"cont": syscall.SIGCONT, "hup": syscall.SIGHUP}[e.Do]
		var names []string
		for _, i := range nodes {
			n := f.nodes[i]
			switch e.Do {
			case "kill", "term":
				f.excuse(i, "down "+n.info.Name)
				f.leaveFront(n)
			case "stop":
				f.excuse(i, "stopped "+n.info.Name)
			}
			if n.signal(sig) {
				names = append(names, n.info.Name)
			}
			if e.Do == "cont" {
				f.closeExcuse("stopped "+n.info.Name, f.rec.Since())
			}
		}
		return strings.Join(names, " "), nil
	case "restart":
		var names []string
		for _, i := range nodes {
			n := f.nodes[i]
			if !n.wait(0) {
				continue // still running
			}
			names = append(names, n.info.Name)
			f.wg.Go(func() {
				f.launch(n)
				f.closeExcuse("down "+n.info.Name, f.rec.Since())
			})
		}
		return strings.Join(names, " "), nil
	case "partition", "link":
		a, b := e.Between[0], e.Between[1]
		if e.Do == "partition" && a == "" {
			a, b = "nodes:"+e.Nodes, "servers:"+e.Servers
			if e.Zone != "" {
				b = "zone:" + e.Zone
			}
		}
		fault := faults.Fault{Delay: seconds(e.DelayMS / 1000), Jitter: seconds(e.JitterMS / 1000), BytesPerS: e.BytesPerS,
			Refuse: e.Refuse, Blackhole: e.Blackhole || e.Do == "partition", Duplicate: e.Duplicate,
			Loss: e.Loss, Reorder: e.Reorder, Truncate: e.Truncate}
		count := f.net.Each(func(l *faults.Link) bool {
			hit := f.in(a, l.From) && f.in(b, l.To) || f.in(b, l.From) && f.in(a, l.To)
			if hit && l.From == "clients" && (fault.Blackhole || fault.Refuse) {
				f.excuse(f.index(l.To), "cut "+l.To)
			}
			// A node that discovery can't reach is not told of changes: it is excused from the grace until told.
			if hit && l.To == "discovery" && (fault.Blackhole || fault.Refuse) {
				f.excuse(f.index(l.From), "deaf "+l.From)
			}
			return hit
		}, fault)
		return fmt.Sprintf("%d links between %s and %s", count, a, b), nil
	case "heal":
		count := f.net.Each(func(*faults.Link) bool { return true }, faults.Fault{})
		f.closeExcuse("cut ", f.rec.Since())
		f.closeExcuse("deaf ", f.rec.Since())
		return fmt.Sprintf("%d links", count), nil
	case "degrade":
		m, err := standin.ParseMode(e.Mode)
		if err != nil {
			return "", err
		}
		for _, j := range servers {
			f.servers[j].SetMode(m)
		}
		return fmt.Sprintf("%d servers %s", len(servers), e.Mode), nil
	case "restart-servers":
		for _, j := range servers {
			srv := f.servers[j]
			f.wg.Go(func() {
				if err := srv.Restart(seconds(e.DownS)); err != nil {
					f.opt.Log.Error("app server did not come back", "server", srv.Spec.ID, "err", err)
					return
				}
				f.disc.Set(srv.Spec.ID, "ready", time.Now().UnixMilli())
			})
		}
		return fmt.Sprintf("%d servers, down %v s", len(servers), e.DownS), nil
	case "list":
		if e.State != "ready" && e.State != "draining" && e.State != "gone" {
			return "", fmt.Errorf("state %q is none of ready, draining, gone", e.State)
		}
		for _, j := range servers {
			id := f.servers[j].Spec.ID
			f.disc.Set(id, e.State, 0)
			f.mu.Lock()
			f.recs.Changes = append(f.recs.Changes, invariants.Change{Server: id, State: e.State, At: f.rec.Since()})
			f.mu.Unlock()
		}
		return fmt.Sprintf("%d servers %s", len(servers), e.State), nil
	}
	return "", fmt.Errorf("no action %q", e.Do)
}

// leaveFront takes a node out of the front once the front notices, as PROTOCOL's front does after some seconds.
func (f *fleet) leaveFront(n *node) {
	time.AfterFunc(seconds(f.s.Fleet.NoticeS), func() { n.inFront.Store(false) })
}

func (f *fleet) index(name string) int {
	for i, n := range f.nodes {
		if n.info.Name == name {
			return i
		}
	}
	return -1
}

// in says whether the group name at a link's end (clients, discovery, nK, server:ID) falls under a selector
// (clients, discovery, nodes:SEL, servers:SEL, zone:NAME).
func (f *fleet) in(selector, name string) bool {
	kind, sel, _ := strings.Cut(selector, ":")
	switch kind {
	case "clients", "discovery":
		return name == kind
	case "nodes":
		i := f.index(name)
		picked, _ := Select(sel, len(f.nodes))
		for _, p := range picked {
			if p == i {
				return true
			}
		}
	case "servers", "zone":
		id, ok := strings.CutPrefix(name, "server:")
		if !ok {
			return false
		}
		picked, _ := Select(sel, len(f.servers))
		for j, s := range f.servers {
			if s.Spec.ID != id {
				continue
			}
			if kind == "zone" {
				return s.Spec.Zone == sel
			}
			for _, p := range picked {
				if p == j {
					return true
				}
			}
		}
	}
	return false
}
