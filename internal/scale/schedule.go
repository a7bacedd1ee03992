package scale

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"
)

// window carries out the schedule of a measured window. Changes, restarts, replacements and events run concurrently; those of one
// kind run one after another.
type window struct {
	tenants  *tenantSet
	plane    ControlPlane
	nodes    *group
	servers  *group
	seed     uint64
	readyS   float64 // longest time that nodes may take to be ready again after an event, in seconds
	measured *outcome
}

// task is an operation that is repeated at a steady rate, the first time after half an interval.
type task struct {
	rate float64 // runs per second; 0: the task never runs
	do   func(ctx context.Context, random *rand.Rand, late bool) error
}

// run carries out the operations of a load's rates and the events of a plan over a window of length d. It takes at least d and lasts
// until every operation that began in the window has ended. The first error ends it.
func (w *window) run(ctx context.Context, l Load, events []Event, d time.Duration) error {
	tasks := []task{{l.ChangesPerS, w.change}, {l.RestartsPerS, w.restart}, {l.ReplacementsPerS, w.replace}}
	group, ctx := errgroup.WithContext(ctx)
	start := time.Now()
	for i, task := range tasks {
		random := rand.New(rand.NewPCG(w.seed, uint64(i)))
		group.Go(func() error { return task.run(ctx, random, start, d) })
	}
	group.Go(func() error { return w.events(ctx, events, start) })
	group.Go(func() error { return pause(ctx, d) })
	return group.Wait()
}

// run repeats the task until d after start. A repetition is late if its time has passed because the previous one took too long.
// Repetitions that have not begun by the end are left out.
func (t task) run(ctx context.Context, random *rand.Rand, start time.Time, d time.Duration) error {
	if t.rate <= 0 {
		return nil
	}
	interval := seconds(1 / t.rate)
	for at := interval / 2; at < d; at += interval {
		left := at - time.Since(start)
		if err := pause(ctx, left); err != nil {
			return err
		}
		if time.Since(start) >= d {
			return nil
		}
		if err := t.do(ctx, random, left < 0); err != nil {
			return err
		}
	}
	return nil
}

// restart kills a random node and starts it again as a new incarnation.
func (w *window) restart(_ context.Context, random *rand.Rand, _ bool) error {
	w.measured.update(func(o *outcome) { o.restarts++ })
	return w.restartNodes(random.IntN(w.nodes.members), 1)
}

// restartNodes kills nodes of consecutive numbers and starts them again.
func (w *window) restartNodes(first, count int) error {
	return w.nodes.callRange(first, count, func(h Hollow, first, count int) error {
		if err := h.Kill(first, count); err != nil {
			return err
		}
		return h.Start(first, count)
	})
}

// replace replaces a random server: the server deregisters and registers again under a new address.
func (w *window) replace(_ context.Context, random *rand.Rand, _ bool) error {
	w.measured.update(func(o *outcome) { o.replaced++ })
	server := random.IntN(w.servers.members)
	return w.servers.processOf(server).Replace(server, 1)
}

// pause waits for the duration d. If ctx ends first, pause returns its cause.
func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return context.Cause(ctx)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
