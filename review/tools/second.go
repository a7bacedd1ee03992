package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// secondAnswer: some answers of app servers come twice, the second some milliseconds late. Each 200 must carry the body that
// an app server gave for that very request.
func secondAnswer(b *bench) (bool, error) {
	const (
		servers    = 4
		clients    = 4
		duration   = 30 * time.Second
		meanPause  = 50 * time.Millisecond // of a client between two requests
		spoiltPart = 0.05
		delay      = 6 * time.Millisecond
	)
	rnd := rand.New(rand.NewPCG(1, 2))
	var rndLock sync.Mutex
	apps := &appServers{b: b, work: 5 * time.Millisecond}
	if b.trouble {
		apps.second = func(string) time.Duration {
			rndLock.Lock()
			defer rndLock.Unlock()
			if rnd.Float64() < spoiltPart {
				return delay
			}
			return 0
		}
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
	sent, served, foreign, orders, otherTenant := 0, 0, 0, 0, 0
	tenantOf := map[string]string{}
	var all sync.WaitGroup
	end := time.Now().Add(duration)
	for k := range clients {
		all.Go(func() {
			r := rand.New(rand.NewPCG(uint64(k), 7))
			var c net.Conn
			var br *bufio.Reader
			for i := 0; time.Now().Before(end); i++ {
				time.Sleep(time.Duration(r.ExpFloat64() * float64(meanPause)))
				if c == nil {
					var err error
					if c, err = net.Dial("tcp", listen); err != nil {
						continue
					}
					br = bufio.NewReader(c)
				}
				class := "schedule-view"
				if r.Float64() < 0.43 {
					class = "place-order"
				}
				id := fmt.Sprintf("%08x%08x", k, i)
				tenant := []string{"sahil-pets", "qatt-care"}[k%2]
				mu.Lock()
				tenantOf[id] = tenant
				mu.Unlock()
				a := exchange(c, br, id, class, tenant, 1200*time.Millisecond, 2*time.Second)
				mu.Lock()
				sent++
				if a.status == 200 && a.err == nil {
					served++
					if a.body != answerBody(id) {
						foreign++
						if class == "place-order" {
							orders++
						}
						if tenantOf[strings.TrimPrefix(a.body, answerBody(""))] != tenant {
							otherTenant++
						}
						b.log("client %d: WRONG: %s %s got 200 with the body %q", k, class, id, a.body)
					}
				}
				mu.Unlock()
				b.log("client %d: %s %s: %d %q %v %v", k, class, id, a.status, strings.TrimSpace(a.body), a.took.Round(time.Microsecond), a.err)
				if a.err != nil {
					c.Close()
					c = nil
				}
			}
		})
	}
	all.Wait()
	twice := 0
	for id, n := range apps.runsOf() {
		if n > 1 {
			twice++
			b.log("ran %d times: %s", n, id)
		}
	}
	b.log("sent %d, served %d, of these with another request's answer %d (place-order %d, answers of another tenant %d); requests that ran more than once %d",
		sent, served, foreign, orders, otherTenant, twice)
	return foreign > 0, nil
}
