// Package load is the lab's open-loop load: requests arrive at a stated rate whatever the answers do, as clients
// do (PROTOCOL, "Clients to nodes"), each with a new X-Correlation-Id, its class's method, an account and
// X-Time-Left. It is bounded in count and time and stops by itself.
package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"

	"starlingvalve/internal/invariants"
	"starlingvalve/internal/lab/standin"
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
}

// Front is what the clients' front knows: which nodes it deals connections to, and at which address.
type Front interface {
	Pick(r *rand.Rand) (node int, addr string, ok bool)
}

// Result is what the load saw.
type Result struct {
	Sent    []invariants.Sent
	Skipped int // arrivals with no node in the front, or over MaxInFlight
}

// Run sends the load until its time or count is over, then waits for every answer (at most the longest
// TimeLeft and 5 s more).
func Run(ctx context.Context, s Spec, front Front, rec *standin.Recorder) Result {
	rnd := rand.New(rand.NewPCG(s.Seed, 0x10ad))
	tr := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, DisableCompression: true}
	defer tr.CloseIdleConnections()
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
		node, addr, ok := front.Pick(rnd)
		if !ok {
			res.Skipped++
			continue
		}
		select {
		case flying <- struct{}{}:
		default:
			res.Skipped++
			continue
		}
		c := pick(rnd, s.Classes)
		id := fmt.Sprintf("%016x", rnd.Uint64())
		account := s.Accounts[rnd.IntN(len(s.Accounts))]
		wg.Go(func() {
			defer func() { <-flying }()
			sent := send(tr, addr, id, account, c, rec)
			sent.Node = node
			mu.Lock()
			res.Sent = append(res.Sent, sent)
			mu.Unlock()
		})
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(longest + 5*time.Second):
		tr.CloseIdleConnections()
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

// send makes one request. A request that a reused connection's close crossed before any answer came is sent once
// more on a new connection, as PROTOCOL's clients do.
func send(tr *http.Transport, addr, id, account string, c Class, rec *standin.Recorder) invariants.Sent {
	rec.Sending(id)
	s := invariants.Sent{ID: id, Class: c.Name}
	for try := 0; try < 2; try++ {
		var reused, answered bool
		trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused },
			GotFirstResponseByte: func() { answered = true },
			WroteRequest:         func(httptrace.WroteRequestInfo) { s.At, s.Taken = rec.Since(), true }}
		ctx, cancel := context.WithTimeout(context.Background(), c.TimeLeft+2*time.Second)
		method, body := http.MethodGet, io.Reader(nil)
		if c.Post {
			method, body = http.MethodPost, strings.NewReader("order "+id)
		}
		req, _ := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, "http://"+addr+"/"+c.Name, body)
		req.Header.Set("X-Correlation-Id", id)
		req.Header.Set("X-Account", account)
		req.Header.Set("X-Time-Left", strconv.FormatFloat(c.TimeLeft.Seconds(), 'f', 3, 64))
		resp, err := tr.RoundTrip(req)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if err == nil {
				s.Status = resp.StatusCode
			}
		}
		cancel()
		s.Done = rec.Since()
		if err == nil {
			s.Err = ""
			return s
		}
		s.Err = err.Error()
		if !reused || answered {
			return s
		}
	}
	return s
}
