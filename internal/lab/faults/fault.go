// Package faults is the lab's network between processes: a loopback relay for every link that carries traffic
// (client to node, node to app server, node to agent, agent to replica, raft, gossip), each with a fault that the
// scenario sets. PROTOCOL, "The network", says what the faults stand for: a dead process resets and refuses; a
// machine cut off says nothing, its connections stay open and silent, and they are reset when it is back.
package faults

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Fault is what a link does to its traffic. The zero Fault passes everything at once.
type Fault struct {
	// Added before each piece or datagram is passed on, one way.
	Delay     time.Duration
	Jitter    time.Duration
	BytesPerS int     // a cap on each direction of each connection, or of a link's datagrams; 0 for none
	Reject    bool    // new connections are reset at once; datagrams are dropped
	Blackhole bool    // nothing passes either way; new connections hang; all are reset at the heal
	Duplicate bool    // a connection's first piece goes a second time on a connection of its own; each datagram goes twice
	Loss      float64 // share lost, 0 to 1. A datagram is gone; a stream's piece, or a new connection, comes late as TCP sends it again
	Reorder   float64 // share of datagrams that come after later ones; a stream keeps its order
	Truncate  int     // a direction of a connection ends once this many bytes have gone; a longer datagram is cut; 0 for none
}

// How TCP's repeats look from outside (Linux): a lost segment comes after 200 ms, a lost SYN after 1 s, each doubled
// for each loss in a row; the rounds are bounded, then it passes.
const (
	repeatPiece   = 200 * time.Millisecond
	repeatConnect = time.Second
	repeatRounds  = 5
	reorderDelay  = 30 * time.Millisecond // a reordered datagram, beyond Delay and Jitter
)

// dice is a link's own seeded chance.
type dice struct {
	mu  sync.Mutex // guards rnd
	rnd *rand.Rand
}

func newDice(seed uint64) *dice { return &dice{rnd: rand.New(rand.NewPCG(seed, 0xfa17))} }

func (d *dice) hit(share float64) bool {
	if share <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rnd.Float64() < share
}

func (d *dice) upTo(j time.Duration) time.Duration {
	if j <= 0 {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.rnd.Int64N(int64(j)))
}

// repeats is how late something comes that is lost with a chance of share and sent again after first, doubled
// for each loss in a row.
func (d *dice) repeats(share float64, first time.Duration) time.Duration {
	late := time.Duration(0)
	for range repeatRounds {
		if !d.hit(share) {
			break
		}
		late, first = late+first, 2*first
	}
	return late
}
