package lab

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"meadowsill/internal/lab/faults"
	"meadowsill/internal/lab/stub"
)

// nodeIndex returns the index of the node that the link end called name ("n3", "agent:n3") belongs to, or -1.
func (f *fleet) nodeIndex(name string) int {
	name = strings.TrimPrefix(name, "agent:")
	return slices.IndexFunc(f.nodes, func(n *node) bool { return n.info.Name == name })
}

// zoneOf returns the zone of the link end called name, or "" if it has none (clients, the stub discovery).
func (f *fleet) zoneOf(name string) string {
	if i := f.nodeIndex(name); i >= 0 {
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

// matches reports whether the link end called name matches a selector (docs/lab.md, "between").
func (f *fleet) matches(selector, name string) bool {
	kind, sel, _ := strings.Cut(selector, ":")
	id, server := strings.CutPrefix(name, "server:")
	agent := strings.HasPrefix(name, "agent:")
	switch kind {
	case "clients":
		return name == kind
	case "discovery":
		return name == kind || agent
	case "zone", "not-zone", "region":
		hit, _ := f.s.zoneMatches(selector, f.zoneOf(name))
		return hit
	case "nodes":
		return !agent && slices.Contains(f.s.resolveValid(sel, len(f.nodes)), f.nodeIndex(name))
	case "agents":
		return agent && slices.Contains(f.s.resolveValid(sel, len(f.nodes)), f.nodeIndex(name))
	case "replicas":
		return slices.ContainsFunc(f.replicas(sel), func(r int) bool { return name == replicaName(r) })
	case "servers":
		return server && slices.ContainsFunc(f.s.resolveValid(sel, len(f.servers)), func(j int) bool { return f.servers[j].Spec.ID == id })
	}
	return false
}

// replicas returns the indexes of the replicas that a selector names. "leader" selects the current leader.
func (f *fleet) replicas(sel string) []int {
	if sel == "leader" {
		if lead, err := f.cluster.Leader(5*time.Second, -1); err == nil {
			return []int{lead}
		}
		return nil
	}
	return f.s.resolveValid(sel, f.s.Fleet.Replicas)
}

// fault sets the event's fault on every link between its two selectors and opens the exemptions that belong to the fault.
func (f *fleet) fault(e Event) string {
	a, b := e.Between[0], e.Between[1]
	if e.Do == "partition" && a == "" {
		a, b = "nodes:"+e.Nodes, "servers:"+e.Servers
		if e.Zone != "" {
			b = "zone:" + e.Zone
		}
	}
	if strings.HasSuffix(a, ":leader") || strings.HasSuffix(b, ":leader") { // resolve the leader once, for both selectors
		if lead := f.replicas("leader"); len(lead) == 1 {
			for _, sel := range []*string{&a, &b} {
				if kind, name, _ := strings.Cut(*sel, ":"); name == "leader" && kind == "replicas" {
					*sel = fmt.Sprint(kind, ":", lead[0])
				} else if name == "leader" {
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
		hit := f.matches(a, l.From) && f.matches(b, l.To) || f.matches(b, l.From) && f.matches(a, l.To)
		if hit && cuts {
			f.exemptLink(l, fault)
			if id, ok := strings.CutPrefix(l.To, "server:"); ok {
				servers = append(servers, slices.IndexFunc(f.servers, func(s *stub.AppServer) bool { return s.Spec.ID == id }))
			}
		}
		return hit
	}, fault)
	f.recordFaultedZones(servers)
	return fmt.Sprintf("%d links between %s and %s", count, a, b)
}

// exemptLink opens the exemptions for the unavoidable effects of a cut link. A node that is cut off from clients loses requests.
// A node that can't reach its agent, or whose agent can't reach the replicas, does not learn of changes; the same holds for all
// nodes if replicas can't reach each other. Two members that can't reach each other may take each other for dead.
func (f *fleet) exemptLink(l *faults.Link, fault faults.Fault) {
	agents := strings.HasPrefix(l.From, "agent:") && strings.HasPrefix(l.To, "agent:")
	switch {
	case agents && (f.s.Fleet.Gossip && (fault.Blackhole || fault.Reject)):
		f.exempt(f.nodeIndex(l.From), "M-dead", "gossip "+l.From)
		f.exempt(f.nodeIndex(l.To), "M-dead", "gossip "+l.To)
	case agents:
	case l.From == "clients":
		f.exempt(f.nodeIndex(l.To), "answer", "cut "+l.To)
	case l.To == "discovery", strings.HasPrefix(l.To, "agent:") && !strings.HasPrefix(l.From, "agent:"):
		f.exempt(f.nodeIndex(l.From), "after-grace", "deaf "+l.From)
	case strings.HasPrefix(l.From, "agent:") && !strings.HasPrefix(l.To, "agent:"):
		f.exempt(f.nodeIndex(l.From), "after-grace", "deaf "+l.From)
	case l.From[0] == 'r': // a raft link between replicas
		f.exempt(-1, "after-grace", "deaf replicas")
	}
}

// bytesByLinkKind returns the bytes that went through the relays, both directions together, by kind of link.
func (f *fleet) bytesByLinkKind() map[string]int64 {
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
