package scale

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"meadowsill/internal/fleet"
	"meadowsill/internal/scale/hollow"
)

// A change may take up to changeTimeout to come into force on every node. A process is asked in calls that last inForceCallTimeout,
// so that other callers get their turn in between. This does not affect the measured times: the nodes report them.
const (
	changeTimeout      = 10 * time.Second
	inForceCallTimeout = 100 * time.Millisecond
	retryPause         = 20 * time.Millisecond
)

// maxChangeMicroseconds is the longest time that a histogram of changes can record.
const maxChangeMicroseconds = int64(time.Hour / time.Microsecond)

// changeTimes records how long changes took to come into force.
type changeTimes struct {
	took    *hdrhistogram.Histogram // one value per node and change, in microseconds
	longest time.Duration
	worst   string // node with the longest time, or one on which that change was not yet in force
	missed  int    // pairs of a node and a change that did not come into force in time
}

func newChangeTimes() *changeTimes {
	return &changeTimes{took: hdrhistogram.New(1, maxChangeMicroseconds, 3)}
}

// add records when a change came into force on the nodes of one process; putAt is when the change was proposed.
func (c *changeTimes) add(f hollow.InForce, putAt time.Time) {
	c.missed += f.Nodes - f.Have
	for _, ns := range f.Times {
		c.took.RecordValue(max(1, time.Unix(0, ns).Sub(putAt).Microseconds()))
	}
	if f.Have == 0 {
		return
	}
	if took := f.Last.Sub(putAt); took > c.longest {
		c.longest, c.worst = took, f.Worst
	}
}

// quantile returns the percentile q (0 to 100) in seconds; ok is false if no change came into force.
func (c *changeTimes) quantile(q float64) (value float64, ok bool) {
	return float64(c.took.ValueAtQuantile(q)) / 1e6, c.took.TotalCount() > 0
}

// outcome is the result of a window's schedule: the counts and times of its changes and events.
type outcome struct {
	mu       sync.Mutex
	changes  int
	late     int
	refused  int
	restarts int
	replaced int
	steady   *changeTimes // of the changes made at a steady rate
	burst    *changeTimes // of the changes made in bursts
	// Seconds that each release, and each recovery after a restart of all replicas, took until every node was up again.
	releases   []float64
	recoveries []float64
}

func newOutcome() *outcome { return &outcome{steady: newChangeTimes(), burst: newChangeTimes()} }

// update calls change with the outcome's mutex held.
func (o *outcome) update(change func(o *outcome)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change(o)
}

// change proposes the next generation of a random tenant and waits until it is in force on every node that has the tenant in scope.
func (w *window) change(ctx context.Context, random *rand.Rand, late bool) error {
	spec, generation, putAt, err := w.tenants.change(ctx, random)
	if errors.Is(err, errConflict) {
		w.measured.update(func(o *outcome) { o.refused++ })
		return nil
	}
	if err != nil {
		return fmt.Errorf("change: %w", err)
	}
	w.measured.update(func(o *outcome) {
		o.changes++
		if late {
			o.late++
		}
	})
	return w.awaitInForce(ctx, spec, generation, putAt, w.measured.steady)
}

// awaitInForce waits until a generation is in force on every node that has the tenant in its scope, for at most changeTimeout after
// putAt, and records in times how long it took on each node.
func (w *window) awaitInForce(ctx context.Context, spec fleet.Spec, generation uint64, putAt time.Time, times *changeTimes) error {
	each := make([]hollow.InForce, len(w.nodes.processes))
	err := w.nodes.callAll(func(i int, h Hollow) (err error) {
		for {
			each[i], err = h.InForce(spec.Name, spec.Service, generation, inForceCallTimeout)
			if err != nil || each[i].Have == each[i].Nodes || time.Since(putAt) > changeTimeout {
				return err
			}
			if err := pause(ctx, retryPause); err != nil {
				return err
			}
		}
	})
	if err != nil {
		return fmt.Errorf("tenant %s, generation %d: %w", spec.Name, generation, err)
	}
	w.measured.update(func(*outcome) {
		for _, f := range each {
			times.add(f, putAt)
		}
	})
	return nil
}
