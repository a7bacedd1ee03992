package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"time"
)

const (
	maxDatagramBytes  = 256 // larger messages are dropped
	datagramQueueSize = 64  // datagrams that wait to be sent; further ones are dropped, as the network may drop any
)

// datagram is a message that waits to be sent.
type datagram struct {
	to   netip.AddrPort
	data []byte
}

// peerMessenger sends and receives datagrams between nodes. It has the addresses of all nodes by their index, of which self is
// this node's, and an address that reaches all nodes at once, if there is one. A nil *peerMessenger sends none.
type peerMessenger struct {
	conn  *net.UDPConn
	peers []netip.AddrPort
	all   netip.AddrPort
	self  int
	queue chan datagram
	log   *slog.Logger
}

// listenPeerMessages opens the socket for messages between nodes. It returns nil if the configuration names no address for them or
// the settings allow none.
func listenPeerMessages(c *Config, log *slog.Logger) (*peerMessenger, error) {
	if !c.PeerListen.IsValid() || !c.Settings.MayMessagePeers {
		return nil, nil
	}
	var config net.ListenConfig
	if c.Admin.IsValid() { // in an upgrade, the newer process receives the messages while the older one still serves
		config.Control = reusePort
	}
	packets, err := config.ListenPacket(context.Background(), "udp", c.PeerListen.String())
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	conn := packets.(*net.UDPConn)
	if c.Admin.IsValid() {
		if err := steerToNewestSocket(conn); err != nil {
			log.Warn("an older process still gets some of the peers' datagrams", "err", err)
		}
	}
	return &peerMessenger{conn: conn, peers: c.Peers, all: c.PeersAll, self: c.Settings.NodeIndex, queue: make(chan datagram, datagramQueueSize), log: log}, nil
}

// send queues a message to one node or to all other nodes. It never blocks.
func (p *peerMessenger) send(to int, toAll bool, data []byte) {
	if p == nil || len(data) > maxDatagramBytes {
		return
	}
	var dest []netip.AddrPort
	switch {
	case toAll && p.all.IsValid():
		dest = []netip.AddrPort{p.all}
	case toAll:
		for i, a := range p.peers {
			if i != p.self {
				dest = append(dest, a)
			}
		}
	case to >= 0 && to < len(p.peers):
		dest = p.peers[to : to+1]
	}
	for _, a := range dest {
		select {
		case p.queue <- datagram{a, data}:
		default:
		}
	}
}

// write sends queued datagrams until ctx ends. It then closes the socket, which ends read.
func (p *peerMessenger) write(ctx context.Context) {
	defer p.conn.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-p.queue:
			if _, err := p.conn.WriteToUDPAddrPort(d.data, d.to); err != nil {
				p.log.Debug("datagram not sent", "to", d.to, "err", err)
			}
		}
	}
}

// read passes on the datagrams from other nodes of the tier, and drops all others, until the socket is closed.
func (p *peerMessenger) read(receive func(from int, data []byte)) {
	indexByAddr := map[netip.AddrPort]int{}
	for i, a := range p.peers {
		indexByAddr[a] = i
	}
	buf := make([]byte, maxDatagramBytes+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // an ICMP error for an earlier datagram must not end the loop; the pause avoids a busy loop
			time.Sleep(time.Millisecond)
			continue
		}
		i, known := indexByAddr[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if known && i != p.self && n <= maxDatagramBytes {
			receive(i, append([]byte(nil), buf[:n]...))
		}
	}
}
