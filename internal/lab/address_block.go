package lab

import (
	"errors"
	"fmt"
	"net"
)

// addressBlock is a run's own block of loopback addresses, 127.B.0.0/16, so that concurrent runs do not share addresses. Nodes
// listen at 127.B.0.1:8080 and the addresses after it, agents at 127.B.50.1:9100 and the addresses after it. A listener at the
// end of the block reserves it.
type addressBlock struct {
	number      int
	reservation net.Listener
}

func reserveAddressBlock() (*addressBlock, error) {
	for b := 16; b < 240; b++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.254.254:6500", b))
		if err == nil {
			return &addressBlock{b, ln}, nil
		}
	}
	return nil, errors.New("no free block of loopback addresses between 127.16 and 127.239")
}

func (b *addressBlock) addr(base, i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", b.number, base+i/250, i%250+1, port)
}

// node returns the address at which clients reach node i. Its IP address is used for nothing else, so that no port that is
// picked automatically can take it between two incarnations of the node.
func (b *addressBlock) node(i int) string { return b.addr(0, i, 8080) }

// agent returns the address at which node i's agent serves the node.
func (b *addressBlock) agent(i int) string { return b.addr(50, i, 9100) }

// member returns the address at which node i's member listens for gossip; relay returns the address at which the other members
// reach it.
func (b *addressBlock) member(i int) string { return b.addr(100, i, 7946) }
func (b *addressBlock) relay(i int) string  { return b.addr(150, i, 7946) }

func (b *addressBlock) close() { b.reservation.Close() }
