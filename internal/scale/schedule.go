package scale

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"
)

// window is a schedule under way. Changes, restarts, replacements and events each go in a lane of their own, in which one
// follows the other.
type window struct {
	tenants  *tenantSet
	plane    ControlPlane
	nodes    *group
	servers  *group
	seed     uint64
	readyS   float64 // the longest that nodes may take to be up again after an event
	measured *outcome
}

// lane is things that happen at a steady rate, the first after half of a space.
type task struct {
	rate float64 // a second; 0: it is empty
	do   func(ctx context.Context, random *rand.Rand, late bool) error
}

// run carries out a load's rates and a plan's events over a window of length d. It lasts d at least, and until the last thing
// that began in it is over. The first error ends it.
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

// run does the lane's things until d after start. One whose time has passed, as the one before took so long, is late; those
// that have not begun by the end are not done.
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

// replace has a random server come back under a new address.
func (w *window) replace(_ context.Context, random *rand.Rand, _ bool) error {
	w.measured.update(func(o *outcome) { o.replaced++ })
	server := random.IntN(w.servers.members)
	return w.servers.processOf(server).Replace(server, 1)
}

// pause waits for d, or until ctx ends, with its cause.
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
