package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// hungServer: one of twenty app servers hangs: its connections come up and it reads nothing. Requests have long bodies. Each
// request must get its final answer by half a second after its time, which counts from its last byte.
func hungServer(b *bench) (bool, error) {
	const (
		servers  = 20
		requests = 200
		pause    = 100 * time.Millisecond // between two requests
		body     = 384 << 10
		timeLeft = 1500 * time.Millisecond
		grace    = 550 * time.Millisecond // half a second and the page's slack of 50 ms
	)
	apps := &appServers{b: b, work: 5 * time.Millisecond}
	if b.trouble {
		apps.hangs = 1
	}
	list, err := apps.start(servers)
	if err != nil {
		return false, err
	}
	listen, err := b.startNodeWith(list, 1024)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	count := map[string]int{}
	var all sync.WaitGroup
	for i := range requests {
		all.Go(func() {
			id := fmt.Sprintf("%016x", i)
			verdict, text := "not written", ""
			defer func() {
				mu.Lock()
				defer mu.Unlock()
				count[verdict]++
				b.log("client: place-order %s: %s: %s", id, verdict, text)
			}()
			c, err := net.Dial("tcp", listen)
			if err != nil {
				text = err.Error()
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(10 * time.Second))
			began := time.Now()
			head := fmt.Sprintf("POST /place-order HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Account: sahil-pets\r\nX-Time-Left: %.3f\r\nContent-Length: %d\r\n\r\n",
				id, timeLeft.Seconds(), body)
			if _, err := io.WriteString(c, head+strings.Repeat("x", body)); err != nil {
				text = err.Error()
				return
			}
			written := time.Now()
			c.SetReadDeadline(written.Add(timeLeft + grace))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			text = fmt.Sprintf("last byte written after %v, then %v for ", written.Sub(began).Round(time.Millisecond), time.Since(written).Round(time.Millisecond))
			if err != nil {
				verdict = lostOrClosed(err)
				text += err.Error()
				return
			}
			verdict = fmt.Sprint("answered ", resp.StatusCode)
			text += resp.Status
		})
		time.Sleep(pause)
	}
	all.Wait()
	b.copyLog("balancer", 20)
	b.log("requests by outcome: %v", count)
	return count[noAnswer]+count[closedUnanswered] > 0, nil
}
