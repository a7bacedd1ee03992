package replica

import (
	"fmt"
	"net"
	"strings"

	"github.com/hashicorp/raft"
)

// Peer is one replica: its raft id, raft address and HTTP address.
type Peer struct {
	ID   string
	Raft string
	HTTP string
}

// ParsePeer parses "ID=RAFT_ADDR=HTTP_ADDR".
func ParsePeer(s string) (Peer, error) {
	parts := strings.Split(s, "=")
	if len(parts) != 3 || parts[0] == "" {
		return Peer{}, fmt.Errorf("peer %q is not ID=RAFT_ADDR=HTTP_ADDR", s)
	}
	for _, a := range parts[1:] {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return Peer{}, fmt.Errorf("peer %q: %w", s, err)
		}
	}
	return Peer{parts[0], parts[1], parts[2]}, nil
}

type peerAddresses map[raft.ServerID]raft.ServerAddress

func (p peerAddresses) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	if a, ok := p[id]; ok {
		return a, nil
	}
	return "", fmt.Errorf("no address for replica %s", id)
}

// newPeerAddresses returns the raft address to dial for each peer: the peer's own address, or its route if cfg has one.
func newPeerAddresses(cfg Config) peerAddresses {
	out := peerAddresses{}
	for _, p := range cfg.Peers {
		out[raft.ServerID(p.ID)] = raft.ServerAddress(p.Raft)
		if a, ok := cfg.Routes[p.ID]; ok {
			out[raft.ServerID(p.ID)] = raft.ServerAddress(a)
		}
	}
	return out
}
