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

// raiseNoFile lifts the soft limit on descriptors to the hard one: 50 nodes by 100 servers are many links.
func raiseNoFile() [2]uint64 {
	var l syscall.Rlimit
	syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l)
	l.Cur = l.Max
	syscall.Setrlimit(syscall.RLIMIT_NOFILE, &l)
	syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l)
	return [2]uint64{l.Cur, l.Max}
}

// The names of the groups at links' ends: "clients", "discovery" (the stub), "n3", "server:ID", "agent:n3", "r0".
func agentName(i int) string   { return fmt.Sprintf("agent:n%d", i) }
func replicaName(i int) string { return fmt.Sprintf("r%d", i) }

func (f *fleet) link(from, to, target, source string, seed uint64) (*faults.Link, error) {
	l, err := faults.Open(from, to, "127.0.0.1:0", target, source, seed)
	if err != nil {
		return nil, fmt.Errorf("link %s to %s: %w", from, to, err)
	}
	f.net.Add(l)
	f.recs.Links++
	return l, nil
}

// start starts the app servers, discovery and the nodes, and waits until each node has started.
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

// startServers starts the app servers and returns their entries of the list.
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
		server, err := stub.NewAppServer(spec, "127.0.0.1:0", nodeOf, f.rec, s.Seed*1000+uint64(j))
		if err != nil {
			return nil, fmt.Errorf("app server %d: %w", j, err)
		}
		f.servers = append(f.servers, server)
		entries = append(entries, stub.Entry{ID: spec.ID, Addr: server.Addr, Zone: zone, Kind: "std-2c", State: "ready", Weight: 1})
	}
	return entries, nil
}

// startDiscovery starts the replicas, or the stub of discovery.
func (f *fleet) startDiscovery(entries []stub.Entry) error {
	if f.s.Fleet.Discovery != "replicated" {
		f.disc = stubList{stub.NewDiscovery(entries)}
		return nil
	}
	var extra []string
	if f.s.Fleet.Control {
		path, err := f.fleetFile()
		if err != nil {
			return err
		}
		extra = []string{"--fleet", path}
	}
	list, err := f.startReplicatedList(entries, extra...)
	if err != nil {
		return err
	}
	f.disc = list
	f.cluster = list.cluster
	return nil
}

// newNode opens the links of a node and writes its configuration.
func (f *fleet) newNode(i int) (*node, error) {
	s := f.s
	n := &node{i: i, info: &NodeInfo{Name: fmt.Sprintf("n%d", i), Zone: s.Fleet.Zones[i%len(s.Fleet.Zones)]}}
	addrs, err := f.linkServers(n)
	if err != nil {
		return nil, err
	}
	view, err := f.disc.View(n, func(id string) string { return addrs[id] })
	if err != nil {
		return nil, err
	}
	to := "discovery"
	if f.cluster != nil {
		to = agentName(i)
	}
	list, err := f.link(n.info.Name, to, view, nodeIP(i), s.Seed+uint64(i))
	if err != nil {
		return nil, err
	}
	n.info.Listen = f.place.node(i)
	clients, err := f.link("clients", n.info.Name, n.info.Listen, "", s.Seed+uint64(i)+7)
	if err != nil {
		return nil, err
	}
	n.frontAddr = clients.Addr
	n.clients = clients
	return n, f.configure(n, list.Addr)
}

// linkServers opens a node's links to the app servers and returns their addresses by the server's id.
func (f *fleet) linkServers(n *node) (map[string]string, error) {
	addrs := map[string]string{}
	for j, server := range f.servers {
		l, err := f.link(n.info.Name, "server:"+server.Spec.ID, server.Addr, nodeIP(n.i), f.s.Seed+uint64(n.i*10000+j))
		if err != nil {
			return nil, err
		}
		addrs[server.Spec.ID] = l.Addr
		l.OnLost(func() {
			attempt := invariants.UnreachableAttempt{Node: n.i, Server: server.Spec.ID, At: f.rec.Since()}
			f.mu.Lock()
			defer f.mu.Unlock()
			f.recs.Fleet.UnreachableAttempts = append(f.recs.Fleet.UnreachableAttempts, attempt)
		})
	}
	return addrs, nil
}

// end terms every node and agent, kills what has not ended in 10 s, and closes links, stubs and replicas. It may
// run twice.
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
	if f.disc != nil {
		f.disc.Close()
	}
	for _, s := range f.servers {
		s.Stop()
	}
	for _, p := range append(nodes, agents...) {
		if p.log != nil {
			p.log.Close()
			p.log = nil
		}
	}
	if f.place != nil {
		f.place.close()
	}
}
