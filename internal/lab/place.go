package lab

import (
	"errors"
	"fmt"
	"net"
)

// place is a run's own block of loopback addresses, 127.B.0.0/16, so that runs side by side do not meet: nodes
// listen at 127.B.0.1:8080 and on, agents at 127.B.50.1:9100 and on. It is held by a listener at its end.
type place struct {
	block int
	held  net.Listener
}

func takePlace() (*place, error) {
	for b := 16; b < 240; b++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.254.254:6500", b))
		if err == nil {
			return &place{b, ln}, nil
		}
	}
	return nil, errors.New("no free block of loopback addresses between 127.16 and 127.239")
}

func (p *place) addr(base, i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", p.block, base+i/250, i%250+1, port)
}

// node is node i's address for clients: an address of its own, so that no port picked for anything else can take
// it between the node's lives.
func (p *place) node(i int) string { return p.addr(0, i, 8080) }

// agent is where node i's agent serves it.
func (p *place) agent(i int) string { return p.addr(50, i, 9100) }

// member is where node i's member gossips, relay where the others reach it.
func (p *place) member(i int) string { return p.addr(100, i, 7946) }
func (p *place) relay(i int) string  { return p.addr(150, i, 7946) }

func (p *place) close() { p.held.Close() }
