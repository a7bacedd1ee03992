package discoverylab

import (
	"fmt"
	"log/slog"
	"net/http"
	"time"
)

// Plan sets the size of an experiment.
type Plan struct {
	Replicas  int
	Watchers  int
	Kills     int
	Revisions int
	Writers   int
	WriteFor  time.Duration
}

// Timeouts for the election of a leader, a failover and the catch-up of a replica, the pause between two writes during a failover,
// and the TTL of registrations.
const (
	leaderTimeout      = 30 * time.Second
	failoverTimeout    = 30 * time.Second
	syncTimeout        = 60 * time.Second
	catchUpTimeout     = 120 * time.Second
	failoverRetryPause = 10 * time.Millisecond
	registrationTTLMS  = 60_000
)

// Experiment starts a cluster, makes the measurements of plan p, and logs the result of each.
func Experiment(bin, dir string, p Plan, log *slog.Logger) (*Figures, error) {
	c, err := Start(bin, dir, p.Replicas)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	f := &Figures{Replicas: p.Replicas, Watchers: p.Watchers}
	leader, err := c.Leader(leaderTimeout, -1)
	if err != nil {
		return nil, err
	}
	f.measureWrites(c, p, leader, log)
	if err := f.measureFanout(c, p, leader, log); err != nil {
		return f, err
	}
	for kill := range p.Kills {
		took, err := measureFailover(c, p, kill)
		if err != nil {
			return f, err
		}
		f.Failovers = append(f.Failovers, took)
		log.Info("failover", "kill", kill, "took", took)
	}
	return f, f.measureCatchUp(c, p, log)
}

// measureWrites measures the rate of committed writes at the leader.
func (f *Figures) measureWrites(c *Cluster, p Plan, leader int, log *slog.Logger) {
	committed := c.Writes(leader, p.Writers, p.WriteFor, "w")
	f.WritesCommitted = committed
	f.WritesPerS = float64(committed) / p.WriteFor.Seconds()
	log.Info("writes", "committed", committed, "per_s", f.WritesPerS, "writers", p.Writers)
}

// measureFanout measures how long a change takes to reach the watchers of a follower.
func (f *Figures) measureFanout(c *Cluster, p Plan, leader int, log *slog.Logger) error {
	follower := (leader + 1) % p.Replicas
	if err := c.waitCaughtUp(follower, syncTimeout); err != nil {
		return err
	}
	latencies, missed, kib := c.Fanout(leader, follower, p.Watchers)
	f.FanoutP50 = Quantile(latencies, 0.5)
	f.FanoutP99 = Quantile(latencies, 0.99)
	f.FanoutMissed = missed
	f.KiBPerWatcher = kib
	log.Info("fanout", "watchers", p.Watchers, "p50", f.FanoutP50, "p99", f.FanoutP99, "missed", missed, "kib_per_watcher", kib)
	return nil
}

// measureFailover kills the leader and returns the time until the next committed write, or -1 if none was committed before
// failoverTimeout. It restarts the killed replica and waits until that one has caught up.
func measureFailover(c *Cluster, p Plan, kill int) (time.Duration, error) {
	leader, err := c.Leader(leaderTimeout, -1)
	if err != nil {
		return 0, err
	}
	killed := time.Now()
	c.Kill(leader)
	took := time.Duration(-1)
	for end := time.Now().Add(failoverTimeout); time.Now().Before(end) && took < 0; time.Sleep(failoverRetryPause) {
		if c.registersElsewhere(leader, p.Replicas, fmt.Sprintf("failover-%d", kill)) {
			took = time.Since(killed)
		}
	}
	if err := c.Restart(leader); err != nil {
		return took, err
	}
	return took, c.waitCaughtUp(leader, syncTimeout)
}

// registersElsewhere reports whether a registration of id succeeds at any replica other than except.
func (c *Cluster) registersElsewhere(except, replicas int, id string) bool {
	for i := range replicas {
		if i == except {
			continue
		}
		if code, _ := c.Register(i, id, registrationTTLMS); code == http.StatusOK {
			return true
		}
	}
	return false
}

// measureCatchUp measures how long a restarted replica takes to catch up with the writes that it missed while it was down.
func (f *Figures) measureCatchUp(c *Cluster, p Plan, log *slog.Logger) error {
	leader, err := c.Leader(leaderTimeout, -1)
	if err != nil {
		return err
	}
	down := (leader + 1) % p.Replicas
	c.Kill(down)
	written := 0
	for written < p.Revisions {
		written += c.Writes(leader, p.Writers, time.Second, fmt.Sprintf("catch-%d", written))
	}
	f.CatchUpRevs = written
	start := time.Now()
	if err := c.Restart(down); err != nil {
		return err
	}
	if err := c.waitCaughtUp(down, catchUpTimeout); err != nil {
		return err
	}
	f.CatchUp = time.Since(start)
	log.Info("catch-up", "revisions", written, "took", f.CatchUp)
	return nil
}

// waitCaughtUp waits until replica i has reached the leader's revision.
func (c *Cluster) waitCaughtUp(i int, timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		leader, err := c.Leader(timeout, -1)
		if err != nil {
			return err
		}
		want, err1 := c.Status(leader)
		got, err2 := c.Status(i)
		if err1 == nil && err2 == nil && got.Revision >= want.Revision {
			return nil
		}
	}
	return fmt.Errorf("replica %d did not catch up in %v", i, timeout)
}
