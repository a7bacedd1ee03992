package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// staleReplica: a replica is killed and started again on its data while changes go on. What it answers must not be older than
// the staleness bound of 2 s.
func staleReplica(b *bench) (bool, error) {
	const (
		staleness = 2 * time.Second
		slack     = 500 * time.Millisecond
		changes   = 4000
	)
	r, err := b.startReplicas("")
	if err != nil {
		return false, err
	}
	s := listedServer{ID: "s-00000001", Addr: "127.0.0.1:9", Zone: "rusayl", Kind: "std-2c", State: "ready", Weight: 1}
	if err := r.register(s, time.Minute); err != nil {
		return false, err
	}
	lead := r.leader()
	down := (lead + 1) % 3
	if b.trouble {
		b.kill("replica "+r.ids[down], r.processes[down])
	}
	// acknowledged is when a change was acknowledged, by its number, which the server's weight carries.
	acknowledged := make([]time.Time, changes+1)
	var all sync.WaitGroup
	for k := range 16 {
		all.Go(func() {
			for i := k + 1; i <= changes; i += 16 {
				e := map[string]any{"id": fmt.Sprintf("s-%08x", k+2), "addr": "127.0.0.1:9", "zone": "rusayl", "kind": "std-2c", "cell": 0, "state": "ready", "weight": i, "started_ms": 0, "ttl_ms": 60000}
				if status, _, err := call("POST", r.web[lead], "/registry/v1/register", e, 5*time.Second); err == nil && status == 200 {
					acknowledged[i] = time.Now()
				}
			}
		})
	}
	all.Wait()
	b.log("%d changes made", changes)
	time.Sleep(3 * time.Second)
	if b.trouble {
		if err := r.startOne(down); err != nil {
			return false, err
		}
	}
	stale, fresh := 0, 0
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		asked := time.Now()
		status, text, err := call("GET", r.web[down], "/registry/instances", nil, time.Second)
		if err != nil || status != 200 {
			continue
		}
		newest := 0
		for part := range strings.SplitSeq(text, `"weight":`) {
			n, _ := strconv.Atoi(part[:max(0, strings.IndexAny(part, ",}"))])
			newest = max(newest, n)
		}
		oldestMissing := time.Time{}
		for i := newest + 1; i <= changes; i++ {
			if !acknowledged[i].IsZero() && (oldestMissing.IsZero() || acknowledged[i].Before(oldestMissing)) {
				oldestMissing = acknowledged[i]
			}
		}
		if !oldestMissing.IsZero() && asked.Sub(oldestMissing) > staleness+slack {
			stale++
			b.log("STALE: replica %s answers with change %d of %d; the next was acknowledged %v before the call", r.ids[down], newest, changes, asked.Sub(oldestMissing).Round(time.Millisecond))
		} else {
			fresh++
		}
	}
	b.log("answers that were too old %d, others %d", stale, fresh)
	return stale > 0, nil
}
