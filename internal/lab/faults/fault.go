// Package faults emulates the network between the lab's processes. It has a loopback relay for every link that carries traffic
// (client to node, node to app server, node to agent, agent to replica, raft, gossip), and the scenario sets a fault on
// each. PROTOCOL, "The network", describes what the faults emulate: a dead process resets its connections and refuses new
// ones; a machine that is cut off sends nothing, its connections stay open without traffic, and are reset when it is back.
package faults

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Fault describes how a link impairs its traffic. The zero Fault forwards everything without delay.
type Fault struct {
	// Delay and a random part of Jitter are added before each chunk or datagram is forwarded, in each direction.
	Delay     time.Duration
	Jitter    time.Duration
	BytesPerS int     // rate limit for each direction of a connection, or of one caller's datagrams; 0: none
	Reject    bool    // new connections are reset immediately; datagrams are dropped
	Blackhole bool    // nothing is forwarded either way; new connections hang; all are reset when the fault is removed
	Duplicate bool    // a connection's first chunk is sent again on a connection of its own; each datagram is sent twice
	Loss      float64 // probability of loss, 0 to 1. A datagram is dropped; a chunk of a stream or a new connection is delayed as by retransmission
	Reorder   float64 // share of datagrams that arrive after later ones; a stream keeps its order
	Truncate  int     // a direction of a connection is closed after this many bytes; a longer datagram is cut to this size; 0: no limit
}

// The retransmission timeouts of TCP on Linux: 200 ms for a lost segment and 1 s for a lost SYN, doubled for each
// further loss. After maxRetransmits losses the segment or SYN gets through.
const (
	segmentTimeout = 200 * time.Millisecond
	synTimeout     = time.Second
	maxRetransmits = 5
	reorderDelay   = 30 * time.Millisecond // delay of a reordered datagram, in addition to Delay and Jitter
)

// randomSource is the seeded random number generator of one link.
type randomSource struct {
	mu  sync.Mutex // guards rnd
	rnd *rand.Rand
}

func newRandomSource(seed uint64) *randomSource {
	return &randomSource{rnd: rand.New(rand.NewPCG(seed, 0xfa17))}
}

func (r *randomSource) happens(probability float64) bool {
	if probability <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rnd.Float64() < probability
}

func (r *randomSource) durationBelow(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rnd.Int64N(int64(limit)))
}

// retransmitDelay returns the delay of a segment that is lost with the given probability and retransmitted after timeout, which
// doubles after each loss in a row.
func (r *randomSource) retransmitDelay(probability float64, timeout time.Duration) time.Duration {
	delay := time.Duration(0)
	for range maxRetransmits {
		if !r.happens(probability) {
			break
		}
		delay, timeout = delay+timeout, 2*timeout
	}
	return delay
}
