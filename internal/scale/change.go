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

// A change is waited for on every node for changeTimeout at most. A process is asked in calls of changeLook, so that others get
// their turn; when a node came to a change is by the node's own account.
const (
	changeTimeout      = 10 * time.Second
	inForceCallTimeout = 100 * time.Millisecond
	retryPause         = 20 * time.Millisecond
)

// maxMicroseconds is the longest time that a histogram of changes holds.
const maxChangeMicroseconds = int64(time.Hour / time.Microsecond)

// spread is how long changes took to come into force.
type changeTimes struct {
	took    *hdrhistogram.Histogram // of each pair of a node and a change, microseconds
	longest time.Duration
	worst   string // the node that came to a change last
	missed  int    // pairs that did not come into force in time
}

func newChangeTimes() *changeTimes {
	return &changeTimes{took: hdrhistogram.New(1, maxChangeMicroseconds, 3)}
}

// take brings in what the nodes of one process came to after a put.
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

// quantile is in seconds; ok is false where nothing came into force.
func (c *changeTimes) quantile(q float64) (value float64, ok bool) {
	return float64(c.took.ValueAtQuantile(q)) / 1e6, c.took.TotalCount() > 0
}

// outcome is what a window's schedule came to.
type outcome struct {
	mu       sync.Mutex
	changes  int
	late     int
	refused  int
	restarts int
	replaced int
	steady   *changeTimes // of the changes at a steady rate
	burst    *changeTimes // of those at once
	// Seconds of each release, and restart of all replicas, until every node was up again.
	releases   []float64
	recoveries []float64
}

func newOutcome() *outcome { return &outcome{steady: newChangeTimes(), burst: newChangeTimes()} }

// add changes the outcome.
func (o *outcome) update(change func(o *outcome)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change(o)
}

// change puts a random tenant's next generation and waits until every node of its scope serves by it.
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

// awaitInForce waits until every node of a tenant's scope serves by a generation, and records when each did.
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
