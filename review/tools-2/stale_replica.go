package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["10"] = staleReplica }

// change is a registration or its end, and when the last call for it was made and acknowledged.
type change struct {
	id    string
	acked time.Time
	gone  bool
}

// staleReplica: a replica that follows is killed and started again 30 s later on the same folder. Meanwhile a rolling deploy replaces
// the app servers.
func staleReplica(r *run) {
	const staleness = 2 * time.Second // the default of --staleness
	c := r.startReplicas("")
	stop := make(chan struct{})
	var work sync.WaitGroup
	var mu sync.Mutex
	changes := map[string]change{}
	set := func(id string, gone bool) {
		mu.Lock()
		changes[id] = change{id, time.Now(), gone}
		mu.Unlock()
	}
	body := func(id string) map[string]any {
		return map[string]any{"id": id, "addr": "127.0.0.1:9", "zone": "rusayl", "kind": "std-2c", "cell": 0, "state": "ready", "weight": 1, "started_ms": 0, "ttl_ms": 6000}
	}
	// Each of 16 places has an app server, which renews its lease every 2 s and is replaced by another every 4 s.
	for place := range 16 {
		work.Go(func() {
			for k := 0; ; k++ {
				id := fmt.Sprintf("s-%02x%06x", place, k)
				if _, err := c.write("/registry/v1/register", http.MethodPost, body(id), 5*time.Second); err != nil {
					continue
				}
				set(id, false)
				for range 2 {
					select {
					case <-stop:
						return
					case <-time.After(2 * time.Second):
					}
					c.write("/registry/v1/renew", http.MethodPost, map[string]any{"id": id, "ttl_ms": 6000}, 2*time.Second)
				}
				mu.Lock()
				delete(changes, id) // from here on until the answer either list is right
				mu.Unlock()
				c.write("/registry/v1/drain", http.MethodPost, map[string]any{"id": id}, 2*time.Second)
				if _, err := c.write("/registry/v1/deregister", http.MethodPost, map[string]any{"id": id}, 5*time.Second); err == nil {
					set(id, true)
				}
			}
		})
	}
	time.Sleep(5 * time.Second)
	follower := (c.leader() + 1) % 3
	if r.trouble {
		r.signal(c.procs[follower], syscall.SIGKILL)
	}
	time.Sleep(30 * time.Second)
	if r.trouble {
		c.startOne(follower)
	}
	// Four readers read the list at that replica.
	var answers, old int
	for range 4 {
		work.Go(func() {
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
				asked := time.Now()
				got, code, header, err := readList(c.http[follower], "", 5*time.Second)
				if err != nil || code != 200 {
					continue
				}
				listed := map[string]bool{}
				for _, s := range got.Servers {
					listed[s.ID] = true
				}
				mu.Lock()
				answers++
				wrong, oldest := 0, change{}
				for id, ch := range changes {
					if asked.Sub(ch.acked) > staleness && listed[id] == ch.gone {
						wrong++
						if oldest.id == "" || ch.acked.Before(oldest.acked) {
							oldest = ch
						}
					}
				}
				if wrong > 0 {
					old++
				}
				mu.Unlock()
				if wrong > 0 {
					what := "lacks %s, acknowledged as registered %v before the call"
					if oldest.gone {
						what = "lists %s, acknowledged as deregistered %v before the call"
					}
					r.breakf("the replica answers 200, version %d, last contact %s ms, with %d changes missing; it "+what, got.Version, header.Get("X-Last-Contact-Ms"), wrong, oldest.id, asked.Sub(oldest.acked))
				}
			}
		})
	}
	time.Sleep(5 * time.Second)
	close(stop)
	work.Wait()
	r.logf("%d answers with 200, %d of them older than %v", answers, old, staleness)
	if answers == 0 {
		r.fatalf("the replica answered no read")
	}
}
