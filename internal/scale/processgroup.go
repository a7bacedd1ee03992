package scale

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"meadowsill/internal/scale/hollow"
)

// Hollow is one hollow process (hollow.Process, or a fake in tests). first and count select nodes or servers by their numbers in
// the whole fleet.
type Hollow interface {
	Usage() (hollow.Usage, error)
	InForce(tenant, service string, generation uint64, wait time.Duration) (hollow.InForce, error)
	Kill(first, count int) error
	Start(first, count int) error
	Replace(first, count int) error
	PID() int
	Close() error
}

// group is the hollow processes of one role: nodes or servers.
type group struct {
	processes  []Hollow
	perProcess int // nodes or servers per process; the last process may have fewer
	members    int
}

// processOf returns the process that runs a member.
func (g *group) processOf(member int) Hollow { return g.processes[member/g.perProcess] }

// callRange applies a call to members of consecutive numbers: once per process that runs some of them, each time with these.
func (g *group) callRange(first, count int, call func(h Hollow, first, count int) error) error {
	var errs []error
	for end := first + count; first < end; {
		part := min(end, (first/g.perProcess+1)*g.perProcess) - first
		errs = append(errs, call(g.processOf(first), first, part))
		first += part
	}
	return errors.Join(errs...)
}

// callAll calls every process concurrently and joins the errors.
func (g *group) callAll(call func(i int, h Hollow) error) error {
	errs := make([]error, len(g.processes))
	var done sync.WaitGroup
	for i, h := range g.processes {
		done.Go(func() { errs[i] = call(i, h) })
	}
	done.Wait()
	return errors.Join(errs...)
}

// close ends every process.
func (g *group) close() {
	g.callAll(func(_ int, h Hollow) error { return h.Close() })
}

// usage returns the sum of the processes' usage; Behind is the largest of their values.
func (g *group) usage() (hollow.Usage, error) {
	each := make([]hollow.Usage, len(g.processes))
	err := g.callAll(func(i int, h Hollow) (err error) {
		each[i], err = h.Usage()
		return err
	})
	sum := hollow.Usage{Calls: map[hollow.Call]hollow.Traffic{}}
	for _, u := range each {
		addUsage(&sum, u)
	}
	return sum, err
}

// addUsage adds the usage of one process to a sum.
func addUsage(sum *hollow.Usage, u hollow.Usage) {
	for call, t := range u.Calls {
		s := sum.Calls[call]
		s.Calls += t.Calls
		s.BytesIn += t.BytesIn
		s.BytesOut += t.BytesOut
		sum.Calls[call] = s
	}
	sum.CPU += u.CPU
	sum.HeapBytes += u.HeapBytes
	sum.RSSBytes += u.RSSBytes
	sum.Ready += u.Ready
	sum.Registered += u.Registered
	sum.Behind = max(sum.Behind, u.Behind)
	sum.Items += u.Items
	sum.Goroutines += u.Goroutines
	sum.Descriptors += u.Descriptors
	sum.Failures += u.Failures
	sum.CopyBytes += u.CopyBytes
	sum.ReportBytes += u.ReportBytes
	sum.ReportDeltas += u.ReportDeltas
	sum.ReportDeltaBytes += u.ReportDeltaBytes
}

// StartHollow starts one hollow process. The process runs until it is closed or this process exits.
type StartHollow func(ctx context.Context, config hollow.Config) (Hollow, error)

// starter starts the processes of a group.
type starter struct {
	start      StartHollow
	config     hollow.Config // shared by all processes; configure adds first, count, seed and directory
	perProcess int
	members    int
	configure  func(c *hollow.Config, process, first, count int)
	started    func(h Hollow) // called with every process that was started
}

// run starts the processes of a group one after another. If it fails, the caller has to close those that were started.
func (s starter) run(ctx context.Context) (*group, error) {
	g := &group{perProcess: s.perProcess, members: s.members}
	for first := 0; first < s.members; first += s.perProcess {
		config := s.config
		s.configure(&config, len(g.processes), first, min(s.perProcess, s.members-first))
		h, err := s.start(ctx, config)
		if err != nil {
			return nil, fmt.Errorf("hollow process %d: %w", len(g.processes), err)
		}
		g.processes = append(g.processes, h)
		s.started(h)
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
	}
	return g, nil
}
