package lab

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"meadowsill/internal/lab/faults"
	"meadowsill/internal/lab/stub"
)

// index is which of the fleet's nodes a group's name ("n3", "agent:n3") belongs to, or -1.
func (f *fleet) index(name string) int {
	name = strings.TrimPrefix(name, "agent:")
	return slices.IndexFunc(f.nodes, func(n *node) bool { return n.info.Name == name })
}

// zoneOf is the zone of the group at a link's end; "" where it has none (clients, the stub discovery).
func (f *fleet) zoneOf(name string) string {
	if i := f.index(name); i >= 0 {
		return f.nodes[i].info.Zone
	}
	for r := range f.s.Fleet.Replicas {
		if name == replicaName(r) {
			return f.s.zone(r)
		}
	}
	if id, ok := strings.CutPrefix(name, "server:"); ok {
		for _, s := range f.servers {
			if s.Spec.ID == id {
				return s.Spec.Zone
			}
		}
	}
	return ""
}

// in says whether the group name at a link's end falls under a selector (docs/lab.md, "between").
func (f *fleet) in(selector, name string) bool {
	kind, sel, _ := strings.Cut(selector, ":")
	id, server := strings.CutPrefix(name, "server:")
	agent := strings.HasPrefix(name, "agent:")
	switch kind {
	case "clients":
		return name == kind
	case "discovery":
		return name == kind || agent
	case "zone", "not-zone", "region":
		hit, _ := f.s.within(selector, f.zoneOf(name))
		return hit
	case "nodes":
		return !agent && slices.Contains(f.s.pick(sel, len(f.nodes)), f.index(name))
	case "agents":
		return agent && slices.Contains(f.s.pick(sel, len(f.nodes)), f.index(name))
	case "replicas":
		return slices.ContainsFunc(f.replicas(sel), func(r int) bool { return name == replicaName(r) })
	case "servers":
		return server && slices.ContainsFunc(f.s.pick(sel, len(f.servers)), func(j int) bool { return f.servers[j].Spec.ID == id })
	}
	return false
}

// replicas picks replicas; "leader" is the one that leads now.
func (f *fleet) replicas(sel string) []int {
	if sel == "leader" {
		if lead, err := f.cluster.Leader(5*time.Second, -1); err == nil {
			return []int{lead}
		}
		return nil
	}
	return f.s.pick(sel, f.s.Fleet.Replicas)
}

// fault puts one on every link between two selectors, with the exemptions that go with it.
func (f *fleet) fault(e Event) string {
	a, b := e.Between[0], e.Between[1]
	if e.Do == "partition" && a == "" {
		a, b = "nodes:"+e.Nodes, "servers:"+e.Servers
		if e.Zone != "" {
			b = "zone:" + e.Zone
		}
	}
	if strings.HasSuffix(a, ":leader") || strings.HasSuffix(b, ":leader") { // the leader of the moment, asked once
		if lead := f.replicas("leader"); len(lead) == 1 {
			for _, sel := range []*string{&a, &b} {
				if kind, of, _ := strings.Cut(*sel, ":"); of == "leader" && kind == "replicas" {
					*sel = fmt.Sprint(kind, ":", lead[0])
				} else if of == "leader" {
					*sel = kind + ":" + f.s.zone(lead[0])
				}
			}
		}
	}
	fault := faults.Fault{
		Delay:     seconds(e.DelayMS / 1000),
		Jitter:    seconds(e.JitterMS / 1000),
		BytesPerS: e.BytesPerS,
		Reject:    e.Refuse,
		Blackhole: e.Blackhole || e.Do == "partition",
		Duplicate: e.Duplicate,
		Loss:      e.Loss,
		Reorder:   e.Reorder,
		Truncate:  e.Truncate,
	}
	cuts := fault.Blackhole || fault.Reject || fault.Truncate > 0 || fault.Loss > 0
	var servers []int
	count := f.net.Each(func(l *faults.Link) bool {
		hit := f.in(a, l.From) && f.in(b, l.To) || f.in(b, l.From) && f.in(a, l.To)
		if hit && cuts {
			f.exemptLink(l, fault)
			if id, ok := strings.CutPrefix(l.To, "server:"); ok {
				servers = append(servers, slices.IndexFunc(f.servers, func(s *stub.AppServer) bool { return s.Spec.ID == id }))
			}
		}
		return hit
	}, fault)
	f.touched(servers)
	return fmt.Sprintf("%d links between %s and %s", count, a, b)
}

// exemptLink exemptions what a cut of the link must cost: a node cut off from clients loses requests; one that its
// agent can't reach, or whose agent or replicas can't be reached, does not hear of changes.
func (f *fleet) exemptLink(l *faults.Link, fault faults.Fault) {
	agents := strings.HasPrefix(l.From, "agent:") && strings.HasPrefix(l.To, "agent:")
	switch {
	case agents && (f.s.Fleet.Gossip && (fault.Blackhole || fault.Reject)):
		f.exempt(f.index(l.From), "M-dead", "gossip "+l.From)
		f.exempt(f.index(l.To), "M-dead", "gossip "+l.To)
	case agents:
	case l.From == "clients":
		f.exempt(f.index(l.To), "answer", "cut "+l.To)
	case l.To == "discovery", strings.HasPrefix(l.To, "agent:") && !strings.HasPrefix(l.From, "agent:"):
		f.exempt(f.index(l.From), "after-grace", "deaf "+l.From)
	case strings.HasPrefix(l.From, "agent:") && !strings.HasPrefix(l.To, "agent:"):
		f.exempt(f.index(l.From), "after-grace", "deaf "+l.From)
	case l.From[0] == 'r': // raft
		f.exempt(-1, "after-grace", "deaf replicas")
	}
}

// bytes is what went through the relays, both ways, by kind of link.
func (f *fleet) bytes() map[string]int64 {
	kind := func(name string) string {
		switch {
		case strings.HasPrefix(name, "agent:"):
			return "agent"
		case strings.HasPrefix(name, "server:"):
			return "server"
		case name[0] == 'n':
			return "node"
		case name[0] == 'r':
			return "replica"
		}
		return name
	}
	out := map[string]int64{}
	f.net.Each(func(l *faults.Link) bool {
		out[kind(l.From)+"-"+kind(l.To)] += l.Bytes.Load()
		return false
	}, faults.Fault{})
	return out
}
