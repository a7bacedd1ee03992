// Package load is the lab's open-loop load: requests arrive at a stated rate whatever the answers do, as clients
// do (PROTOCOL, "Clients to nodes"), each with a new X-Correlation-Id, its class's method, an account and
// X-Time-Left. It is bounded in count and time and stops by itself.
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
	Share    float64       // of all requests
	Post     bool          // unsafe to repeat: POST with a body
	TimeLeft time.Duration // X-Time-Left, how long the client waits
}

// Spec is the whole load.
type Spec struct {
	Rate        float64 // requests a second, Poisson arrivals
	For         time.Duration
	MaxRequests int
	MaxInFlight int // more than this waiting are not sent, and counted as skipped
	Classes     []Class
	Accounts    []string
	Seed        uint64
	Cross       time.Duration // a close that comes later than this after a request was written has not crossed it
}

// Front is what the clients' front knows: which nodes it deals connections to, and at which address.
type Front interface {
	Pick(r *rand.Rand) (node int, addr string, ok bool)
	// Deals says whether new connections are dealt to the node at addr: not any more soon after its SIGTERM.
	Deals(addr string) bool
	// Faulted says whether a fault is on the node: then a close is the fault's, and crossed nothing.
	Faulted(addr string) bool
	// Refused says whether the new connection from local to addr found nobody at the node.
	Refused(addr, local string) bool
}

// Result is what the load saw.
type Result struct {
	Sent    []invariants.Sent
	Skipped int // arrivals with no node dealt to, or over MaxInFlight
}

// Run sends the load until its time or count is over, then waits for every answer (at most the longest
// TimeLeft and 5 s more).
func Run(ctx context.Context, s Spec, front Front, rec *stub.Recorder) Result {
	rnd := rand.New(rand.NewPCG(s.Seed, 0x10ad))
	c := newClient(s.Cross, front, rec)
	defer c.close()
	var (
		mu      sync.Mutex
		res     Result
		wg      sync.WaitGroup
		flying  = make(chan struct{}, max(s.MaxInFlight, 1))
		longest time.Duration
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
		case flying <- struct{}{}:
		default:
			mu.Lock()
			res.Skipped++
			mu.Unlock()
			continue
		}
		class := pick(rnd, s.Classes)
		id := fmt.Sprintf("%016x", rnd.Uint64())
		account := s.Accounts[rnd.IntN(len(s.Accounts))]
		own := rand.New(rand.NewPCG(rnd.Uint64(), 0xc11e))
		wg.Go(func() {
			defer func() { <-flying }()
			sent, ok := c.send(own, id, account, class)
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

func pick(r *rand.Rand, cs []Class) Class {
	x, sum := r.Float64(), 0.0
	for _, c := range cs {
		if sum += c.Share; x < sum {
			return c
		}
	}
	return cs[len(cs)-1]
}
