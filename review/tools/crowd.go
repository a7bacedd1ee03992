package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// crowd: idle clients fill the node's descriptors. Each request of another client must get its final answer by half a second
// after its time, unless the node closes its new connection unread.
func crowd(b *bench) (bool, error) {
	const (
		servers  = 4
		sockets  = 256
		idle     = sockets - sockets/3 // idle clients: clients use a third of the descriptors at most for their requests
		timeLeft = 700 * time.Millisecond
		grace    = 550 * time.Millisecond // half a second and the page's slack of 50 ms
	)
	apps := &appServers{b: b, work: 5 * time.Millisecond}
	list, err := apps.start(servers)
	if err != nil {
		return false, err
	}
	listen, err := b.startNodeWith(list, sockets)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	answered, shut, lost := 0, 0, 0
	due := map[string]time.Time{} // when the client of a request stops waiting
	var all sync.WaitGroup
	request := func(i int) {
		id := fmt.Sprintf("%016x", i)
		c, err := net.DialTimeout("tcp", listen, time.Second)
		if err != nil {
			b.log("client: %s: no connection: %v", id, err)
			return
		}
		defer c.Close()
		mu.Lock()
		due[id] = time.Now().Add(timeLeft)
		mu.Unlock()
		a := exchange(c, bufio.NewReader(c), id, "schedule-view", "sahil-pets", timeLeft, timeLeft+grace)
		mu.Lock()
		defer mu.Unlock()
		verdict := "answered"
		switch {
		case a.err == nil:
			answered++
		case lostOrClosed(a.err) == closedUnanswered: // a new connection may be shut unread then
			shut++
			verdict = closedUnanswered
		default:
			lost++
			verdict = noAnswer
		}
		b.log("client: %s: %s: %d %q %v %v", id, verdict, a.status, a.body, a.took.Round(time.Millisecond), a.err)
	}
	for i := range 100 {
		if i == 20 && b.trouble {
			b.log("%d idle clients connect", idle)
			for range idle {
				c, err := net.DialTimeout("tcp", listen, 100*time.Millisecond)
				if err != nil {
					b.log("idle client: %v", err)
					break
				}
				all.Go(func() { // an idle client rests until the node ends it
					io.Copy(io.Discard, c)
					c.Close()
				})
			}
		}
		all.Go(func() { request(i) })
		time.Sleep(50 * time.Millisecond)
	}
	all.Wait()
	toldTooMuch := 0
	for _, e := range apps.executions() {
		if left := due[e.id].Sub(e.at); e.timeLeft > left+150*time.Millisecond+50*time.Millisecond {
			toldTooMuch++
			b.log("server %s: %s: X-Time-Left %v, and %v were left to the client", e.server, e.id, e.timeLeft, left.Round(time.Millisecond))
		}
	}
	b.log("attempts that told more time than was left, beyond 0.15 s and 50 ms: %d (not judged here)", toldTooMuch)
	b.log("answered %d, closed without an answer %d, neither %d", answered, shut, lost)
	return lost > 0, nil
}
