// Package load generates the lab's open-loop load. Requests are sent at a given rate, whatever the answers are, as clients send
// them (PROTOCOL, "Clients to nodes"). Each has a new X-Correlation-Id, the method of its class, an account and X-Time-Left. The
// load is bounded in count and time, and stops by itself.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"meadowsill/internal/invariants"
	"meadowsill/internal/lab/stub"
)

// Class is one kind of request in the load.
type Class struct {
	Name     string
	Share    float64       // share of all requests, 0 to 1
	Post     bool          // not safe to repeat: sent as POST with a body
	TimeLeft time.Duration // value of X-Time-Left: how long the client waits
}

// Spec describes a load.
type Spec struct {
	Rate        float64 // requests per second, with Poisson arrivals
	For         time.Duration
	MaxRequests int
	MaxInFlight int // requests beyond this number in flight are not sent, and count as skipped
	Classes     []Class
	Accounts    []string
	Seed        uint64
	CrossWindow time.Duration // a close later than this after the request was written did not cross the request
}

// Front is the load balancer between the clients and the nodes. It decides which nodes receive connections, and at which
// address.
type Front interface {
	Pick(r *rand.Rand) (node int, addr string, ok bool)
	// RoutesNewConns reports whether the front routes new connections to the node at addr. It stops doing so soon after the node
	// was sent SIGTERM.
	RoutesNewConns(addr string) bool
	// Faulted reports whether the node at addr is under a fault. If so, a closed connection is an effect of the fault and is not
	// taken for a close that crossed a request.
	Faulted(addr string) bool
	// Refused reports whether the new connection from local to addr found no listener at the node.
	Refused(addr, local string) bool
}

// Result is what a load sent and skipped.
type Result struct {
	Sent    []invariants.Sent
	Skipped int // requests not sent, because the front had no node or MaxInFlight was reached
}

// Run sends the load until its time or its count is over, then waits for every answer, for at most the longest TimeLeft and
// 5 s more.
func Run(ctx context.Context, s Spec, front Front, rec *stub.Recorder) Result {
	rnd := rand.New(rand.NewPCG(s.Seed, 0x10ad))
	c := newClient(s.CrossWindow, front, rec)
	defer c.close()
	var (
		mu       sync.Mutex
		res      Result
		wg       sync.WaitGroup
		inFlight = make(chan struct{}, max(s.MaxInFlight, 1))
		longest  time.Duration
	)
	for _, c := range s.Classes {
		longest = max(longest, c.TimeLeft)
	}
	end := time.Now().Add(s.For)
	next := time.Now()
	for n := 0; n < s.MaxRequests && time.Now().Before(end) && ctx.Err() == nil; n++ {
		next = next.Add(time.Duration(rnd.ExpFloat64() / s.Rate * float64(time.Second)))
		if d := time.Until(next); d > 0 {
			time.Sleep(d)
		}
		select {
		case inFlight <- struct{}{}:
		default:
			mu.Lock()
			res.Skipped++
			mu.Unlock()
			continue
		}
		class := pickClass(rnd, s.Classes)
		id := fmt.Sprintf("%016x", rnd.Uint64())
		account := s.Accounts[rnd.IntN(len(s.Accounts))]
		clientRand := rand.New(rand.NewPCG(rnd.Uint64(), 0xc11e))
		wg.Go(func() {
			defer func() { <-inFlight }()
			sent, ok := c.send(clientRand, id, account, class)
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				res.Skipped++
				return
			}
			res.Sent = append(res.Sent, sent)
		})
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(longest + 5*time.Second):
		c.close()
		<-done // each request has its own deadline
	}
	return res
}

func pickClass(r *rand.Rand, cs []Class) Class {
	x, sum := r.Float64(), 0.0
	for _, c := range cs {
		if sum += c.Share; x < sum {
			return c
		}
	}
	return cs[len(cs)-1]
}
