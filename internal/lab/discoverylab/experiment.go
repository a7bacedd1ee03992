package discoverylab

import (
	"fmt"
	"log/slog"
	"net/http"
	"time"
)

// Plan is what an experiment measures.
type Plan struct {
	Replicas, Watchers, Kills, Revisions, Writers int
	WriteFor                                      time.Duration
}

// Experiment starts a cluster and measures it by plan, logging each step.
func Experiment(bin, dir string, p Plan, log *slog.Logger) (*Figures, error) {
	c, err := Start(bin, dir, p.Replicas)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	f := &Figures{Replicas: p.Replicas, Watchers: p.Watchers}
	lead, err := c.Leader(30*time.Second, -1)
	if err != nil {
		return nil, err
	}
	n := c.Writes(lead, p.Writers, p.WriteFor, "w")
	f.WritesPerS, f.WritesCommitted = float64(n)/p.WriteFor.Seconds(), n
	log.Info("writes", "committed", n, "per_s", f.WritesPerS, "writers", p.Writers)

	follower := (lead + 1) % p.Replicas
	if err := c.caughtUp(follower, 60*time.Second); err != nil {
		return f, err
	}
	lat, missed, kib := c.Fanout(lead, follower, p.Watchers)
	f.FanoutP50, f.FanoutP99, f.FanoutMissed, f.KiBPerWatcher = Quantile(lat, 0.5), Quantile(lat, 0.99), missed, kib
	log.Info("fanout", "watchers", p.Watchers, "p50", f.FanoutP50, "p99", f.FanoutP99, "missed", missed, "kib_per_watcher", kib)

	for k := range p.Kills {
		lead, err = c.Leader(30*time.Second, -1)
		if err != nil {
			return f, err
		}
		killed := time.Now()
		c.Kill(lead)
		took := time.Duration(-1)
		for end := time.Now().Add(30 * time.Second); time.Now().Before(end) && took < 0; {
			for i := range p.Replicas {
				if i == lead {
					continue
				}
				if code, _ := c.Register(i, fmt.Sprintf("failover-%d", k), 60000); code == http.StatusOK {
					took = time.Since(killed)
					break
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		f.Failovers = append(f.Failovers, took)
		log.Info("failover", "kill", k, "took", took)
		if err := c.Restart(lead); err != nil {
			return f, err
		}
		if err := c.caughtUp(lead, 60*time.Second); err != nil {
			return f, err
		}
	}

	lead, err = c.Leader(30*time.Second, -1)
	if err != nil {
		return f, err
	}
	down := (lead + 1) % p.Replicas
	c.Kill(down)
	written := 0
	for written < p.Revisions {
		written += c.Writes(lead, p.Writers, time.Second, fmt.Sprintf("catch-%d", written))
	}
	f.CatchUpRevs = written
	start := time.Now()
	if err := c.Restart(down); err != nil {
		return f, err
	}
	if err := c.caughtUp(down, 120*time.Second); err != nil {
		return f, err
	}
	f.CatchUp = time.Since(start)
	log.Info("catch-up", "revisions", written, "took", f.CatchUp)
	return f, nil
}

// caughtUp waits until replica i has the leader's revision.
func (c *Cluster) caughtUp(i int, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		lead, err := c.Leader(limit, -1)
		if err != nil {
			return err
		}
		want, err1 := c.Status(lead)
		got, err2 := c.Status(i)
		if err1 == nil && err2 == nil && got.Revision >= want.Revision {
			return nil
		}
	}
	return fmt.Errorf("replica %d did not catch up in %v", i, limit)
}
