package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"
)

// watchEvery is how often the limits are looked at while a sweep runs.
const watchEvery = time.Second

// ErrPartial is the cause of a sweep's early end with what it has: a limit, its time, or an interrupt.
var ErrPartial = errors.New("ended early")

// Watcher looks once a second whether the processes of a run are within the limits, and ends its context where they
// are not.
type Watcher struct {
	limits Limits
	pids   func() []int // of the run's processes, the runner aside
	use    func(pid int) Use
}

// Use is what one process takes.
type Use struct {
	MemoryBytes uint64
	Descriptors int
}

// processUse reads a process's use from /proc.
func processUse(pid int) Use {
	return Use{MemoryBytes: residentBytes(pid), Descriptors: openDescriptors(pid)}
}

// check compares the use of all processes with the limits.
func (w *Watcher) check() error {
	pids := append(w.pids(), os.Getpid())
	needs := Needs{Processes: len(pids)}
	for _, pid := range pids {
		use := w.use(pid)
		needs.MemoryBytes += use.MemoryBytes
		needs.Descriptors = max(needs.Descriptors, use.Descriptors)
	}
	return needs.within(w.limits)
}

// run watches until ctx ends, and ends the run by cancel at the first limit that is passed.
func (w *Watcher) run(ctx context.Context, cancel context.CancelCauseFunc) {
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if err := w.check(); err != nil {
			cancel(fmt.Errorf("%w: %w", ErrPartial, err))
			return
		}
	}
}
