package lab

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"meadowsill/internal/invariants"
	"meadowsill/internal/lab/faults"
	"meadowsill/internal/lab/stub"
)

func serverID(j int) string { return fmt.Sprintf("s-%08x", 0x5e000000+j) }

// raiseNoFile raises the soft limit on descriptors to the hard limit and returns both. The lab needs many: each of 50 nodes has
// a link to each of 100 servers.
func raiseNoFile() [2]uint64 {
	var l syscall.Rlimit
	syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l)
	l.Cur = l.Max
	syscall.Setrlimit(syscall.RLIMIT_NOFILE, &l)
	syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l)
	return [2]uint64{l.Cur, l.Max}
}

// agentName and replicaName return names of link ends. All the names of link ends are "clients", "discovery" (the stub), "n3",
// "server:ID", "agent:n3" and "r0".
func agentName(i int) string   { return fmt.Sprintf("agent:n%d", i) }
func replicaName(i int) string { return fmt.Sprintf("r%d", i) }

func (f *fleet) link(from, to, target, source string, seed uint64) (*faults.Link, error) {
	l, err := faults.Open(from, to, "127.0.0.1:0", target, source, seed)
	if err != nil {
		return nil, fmt.Errorf("link %s to %s: %w", from, to, err)
	}
	f.net.Add(l)
	f.records.Links++
	return l, nil
}

// start starts the app servers, discovery and the nodes, and waits until each node is ready or has failed to become ready.
func (f *fleet) start() error {
	entries, err := f.startServers()
	if err != nil {
		return err
	}
	if err := f.startDiscovery(entries); err != nil {
		return err
	}
	for i := range f.s.Fleet.Nodes {
		n, err := f.newNode(i)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
	}
	if f.s.Fleet.Gossip {
		if err := f.startGossip(); err != nil {
			return err
		}
	}
	var ready sync.WaitGroup
	for _, n := range f.nodes {
		ready.Go(func() { f.launch(n) })
	}
	ready.Wait()
	return nil
}

// startServers starts the app servers and returns their entries for the list of servers.
func (f *fleet) startServers() ([]stub.Entry, error) {
	s := f.s
	var entries []stub.Entry
	for j := range s.Fleet.Servers {
		zone := s.Fleet.Zones[j%len(s.Fleet.Zones)]
		spec := stub.ServerSpec{
			ID:        serverID(j),
			Zone:      zone,
			Capacity:  s.Servers.Capacity,
			Latency:   seconds(s.Servers.LatencyMS / 1000),
			Spread:    s.Servers.Spread,
			MaxConns:  s.Servers.MaxConns,
			IdleClose: seconds(s.Servers.IdleS),
			SlowStart: f.slowStart(),
		}
		server, err := stub.NewAppServer(spec, "127.0.0.1:0", nodeByIP, f.recorder, s.Seed*1000+uint64(j))
		if err != nil {
			return nil, fmt.Errorf("app server %d: %w", j, err)
		}
		f.servers = append(f.servers, server)
		entries = append(entries, stub.Entry{ID: spec.ID, Addr: server.Addr, Zone: zone, Kind: "std-2c", State: "ready", Weight: 1})
	}
	return entries, nil
}

// startDiscovery starts discovery: the replicas, or the stub.
func (f *fleet) startDiscovery(entries []stub.Entry) error {
	if f.s.Fleet.Discovery != "replicated" {
		f.discovery = stubDiscovery{stub.NewDiscovery(entries)}
		return nil
	}
	var extra []string
	if f.s.Fleet.Control {
		path, err := f.writeFleetFile()
		if err != nil {
			return err
		}
		extra = []string{"--fleet", path}
	}
	list, err := f.startReplicatedDiscovery(entries, extra...)
	if err != nil {
		return err
	}
	f.discovery = list
	f.cluster = list.cluster
	return nil
}

// newNode creates node i: it opens the node's links and writes its configuration. With replicated discovery it also starts the
// node's agent.
func (f *fleet) newNode(index int) (*node, error) {
	s := f.s
	n := &node{index: index, info: &NodeInfo{Name: fmt.Sprintf("n%d", index), Zone: s.Fleet.Zones[index%len(s.Fleet.Zones)]}}
	addrs, err := f.linkServers(n)
	if err != nil {
		return nil, err
	}
	view, err := f.discovery.View(n, func(id string) string { return addrs[id] })
	if err != nil {
		return nil, err
	}
	to := "discovery"
	if f.cluster != nil {
		to = agentName(index)
	}
	list, err := f.link(n.info.Name, to, view, nodeIP(index), s.Seed+uint64(index))
	if err != nil {
		return nil, err
	}
	n.info.Listen = f.addressBlock.node(index)
	clients, err := f.link("clients", n.info.Name, n.info.Listen, "", s.Seed+uint64(index)+7)
	if err != nil {
		return nil, err
	}
	n.frontAddr = clients.Addr
	n.clients = clients
	return n, f.writeConfig(n, list.Addr)
}

// linkServers opens a node's links to the app servers and returns the links' addresses by server id.
func (f *fleet) linkServers(n *node) (map[string]string, error) {
	addrs := map[string]string{}
	for j, server := range f.servers {
		l, err := f.link(n.info.Name, "server:"+server.Spec.ID, server.Addr, nodeIP(n.index), f.s.Seed+uint64(n.index*10000+j))
		if err != nil {
			return nil, err
		}
		addrs[server.Spec.ID] = l.Addr
		l.OnLost(func() {
			attempt := invariants.UnreachableAttempt{Node: n.index, Server: server.Spec.ID, At: f.recorder.Since()}
			f.mu.Lock()
			defer f.mu.Unlock()
			f.records.Fleet.UnreachableAttempts = append(f.records.Fleet.UnreachableAttempts, attempt)
		})
	}
	return addrs, nil
}

// end sends SIGTERM to every node, agent and member, sends SIGKILL to those that have not ended within 10 s, and closes the links,
// the stubs and the replicas. It may be called twice.
func (f *fleet) end() {
	var nodes []*process
	for _, n := range f.nodes {
		n.inFront.Store(false)
		nodes = append(nodes, &n.process)
	}
	stopAll(nodes, 10*time.Second)
	agents := append(append([]*process(nil), f.agents...), f.members...)
	stopAll(agents, 10*time.Second)
	f.wg.Wait()
	f.net.Close()
	if f.discovery != nil {
		f.discovery.Close()
	}
	for _, s := range f.servers {
		s.Stop()
	}
	for _, p := range append(nodes, agents...) {
		if p.logFile != nil {
			p.logFile.Close()
			p.logFile = nil
		}
	}
	if f.addressBlock != nil {
		f.addressBlock.close()
	}
}
