package scale

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// Event is a single event, such as a release, that happens once in every measured window, in addition to the rates of the load.
type Event struct {
	AtS   float64 `toml:"at_s" json:"at_s"`             // seconds after the window's start
	Do    Action  `toml:"do" json:"do"`                 //
	Count int     `toml:"count" json:"count,omitempty"` // number of changes in a burst, or of nodes to kill
	Part  float64 `toml:"part" json:"part,omitempty"`   // fraction of the nodes that a release restarts at a time
	DownS float64 `toml:"down_s" json:"down_s,omitempty"`
}

// Action is the kind of an Event.
type Action string

// The actions of events.
const (
	Burst           Action = "burst"            // proposes Count changes of different tenants at once
	Release         Action = "release"          // restarts every node, a fraction Part at a time, and waits each time until all are up
	KillNodes       Action = "kill"             // kills Count nodes of consecutive numbers (a rack) and starts them again after DownS
	RestartReplicas Action = "restart-replicas" // kills all replicas at once and starts them again after DownS
)

// maxDownSeconds is the upper bound of an event's DownS.
const maxDownSeconds = 600

// check returns an error if a value of the event is out of bounds for the plan or the load. It is called once per size of a sweep.
func (e Event) check(key string, p *Plan, l Load) error {
	switch {
	case !(e.AtS >= 0 && e.AtS < p.MeasureS):
		return fmt.Errorf("%s.at_s: %v is not within the window of %v s", key, e.AtS, p.MeasureS)
	case !(e.DownS >= 0 && e.DownS <= maxDownSeconds):
		return fmt.Errorf("%s.down_s: %v is not within 0 to %d", key, e.DownS, maxDownSeconds)
	}
	switch e.Do {
	case Burst:
		return checkCount(key, e.Count, l.Tenants, "tenants")
	case KillNodes:
		return checkCount(key, e.Count, l.Nodes, "nodes")
	case Release:
		if !(e.Part > 0 && e.Part <= 1) {
			return fmt.Errorf("%s.part: %v is not above 0 and up to 1", key, e.Part)
		}
		return nil
	case RestartReplicas:
		return nil
	}
	return fmt.Errorf("%s.do: %q is not one of %s, %s, %s, %s", key, e.Do, Burst, Release, KillNodes, RestartReplicas)
}

// checkCount returns an error if an event's count is not within 1 to maximum.
func checkCount(key string, count, maximum int, what string) error {
	if count < 1 || count > maximum {
		return fmt.Errorf("%s.count: %d is not within 1 to the %d %s", key, count, maximum, what)
	}
	return nil
}

// events carries out a plan's events one after another, each at its time or, if the previous event takes longer, right after it.
func (w *window) events(ctx context.Context, events []Event, start time.Time) error {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.AtS, b.AtS) })
	random := rand.New(rand.NewPCG(w.seed, uint64(len("events"))))
	for _, e := range events {
		if err := pause(ctx, seconds(e.AtS)-time.Since(start)); err != nil {
			return err
		}
		if err := w.event(ctx, e, random); err != nil {
			return fmt.Errorf("event %s: %w", e.Do, err)
		}
	}
	return nil
}

// event carries out one event.
func (w *window) event(ctx context.Context, e Event, random *rand.Rand) error {
	switch e.Do {
	case Burst:
		return w.burst(ctx, e.Count, random)
	case Release:
		return w.releaseNodes(ctx, e.Part)
	case KillNodes:
		return w.killRack(ctx, e, random)
	case RestartReplicas:
		return w.restartReplicas(ctx, seconds(e.DownS))
	}
	return nil
}

// burst proposes the next generations of count random tenants at once and waits until all are in force.
func (w *window) burst(ctx context.Context, count int, random *rand.Rand) error {
	changes, ctx := errgroup.WithContext(ctx)
	for _, tenant := range random.Perm(w.tenants.load.Tenants)[:count] {
		changes.Go(func() error { return w.burstChange(ctx, tenant) })
	}
	return changes.Wait()
}

// burstChange proposes the next generation of a tenant and waits until it is in force. It repeats the proposal while the rollout of
// the tenant's previous generation is not complete.
func (w *window) burstChange(ctx context.Context, tenant int) error {
	for began := time.Now(); ; {
		putAt := time.Now()
		spec, generation, err := w.tenants.next(ctx, tenant)
		switch {
		case err == nil:
			return w.awaitInForce(ctx, spec, generation, putAt, w.measured.burst)
		case !errors.Is(err, errConflict) || putAt.Sub(began) > changeTimeout:
			return err
		}
		if err := pause(ctx, retryPause); err != nil {
			return err
		}
	}
}

// releaseNodes restarts every node, a fraction part of them at a time, and waits until all nodes are up before the next ones.
func (w *window) releaseNodes(ctx context.Context, part float64) error {
	began := time.Now()
	step := max(1, int(part*float64(w.nodes.members)))
	for first := 0; first < w.nodes.members; first += step {
		count := min(step, w.nodes.members-first)
		if err := w.restartNodes(first, count); err != nil {
			return err
		}
		w.measured.update(func(o *outcome) { o.restarts += count })
		if err := w.awaitReady(ctx); err != nil {
			return fmt.Errorf("after nodes %d to %d: %w", first, first+count-1, err)
		}
	}
	w.measured.update(func(o *outcome) { o.releases = append(o.releases, time.Since(began).Seconds()) })
	return nil
}

// killRack kills nodes of consecutive numbers and starts them again after the event's DownS.
func (w *window) killRack(ctx context.Context, e Event, random *rand.Rand) error {
	first := random.IntN(w.nodes.members - e.Count + 1)
	w.measured.update(func(o *outcome) { o.restarts += e.Count })
	if err := w.nodes.callRange(first, e.Count, Hollow.Kill); err != nil {
		return err
	}
	if err := pause(ctx, seconds(e.DownS)); err != nil {
		return err
	}
	return w.nodes.callRange(first, e.Count, Hollow.Start)
}

// restartReplicas kills all replicas, starts them again and waits until every node is ready again. A node notices the outage only by
// its lease, so the nodes are checked, and the time is measured, only once there is a leader again.
func (w *window) restartReplicas(ctx context.Context, down time.Duration) error {
	if err := w.plane.Restart(ctx, down); err != nil {
		return err
	}
	began := time.Now()
	if err := w.awaitReady(ctx); err != nil {
		return err
	}
	w.measured.update(func(o *outcome) { o.recoveries = append(o.recoveries, time.Since(began).Seconds()) })
	return nil
}

// awaitReady waits until every node is ready.
func (w *window) awaitReady(ctx context.Context) error {
	end := time.Now().Add(seconds(w.readyS))
	for {
		usage, err := w.nodes.usage()
		if err != nil {
			return err
		}
		if usage.Ready >= w.nodes.members {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("after %v s %d of %d nodes are ready", w.readyS, usage.Ready, w.nodes.members)
		}
		if err := pause(ctx, pollInterval); err != nil {
			return err
		}
	}
}
