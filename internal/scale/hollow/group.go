package hollow

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

const (
	advanceInterval     = 25 * time.Millisecond // how often the due events of the nodes' modules are processed
	maxConcurrency      = 32                    // nodes or servers that one request starts, stops or replaces concurrently
	inForcePollInterval = 5 * time.Millisecond
)

// group holds the nodes and servers that one process runs.
type group struct {
	cfg     Config
	log     *slog.Logger
	ctx     context.Context
	stop    context.CancelFunc
	state   *fleetState
	nodes   []atomic.Pointer[node] // indexed by number minus FirstNode; nil: the node is down
	servers *registrants
	loops   sync.WaitGroup
}

// newGroup starts the nodes and the servers of a valid Config.
func newGroup(ctx context.Context, cfg Config, log *slog.Logger) (*group, error) {
	g := &group{cfg: cfg, log: log, state: newFleetState(), nodes: make([]atomic.Pointer[node], cfg.Nodes)}
	g.ctx, g.stop = context.WithCancel(ctx)
	g.servers = newRegistrants(&g.cfg, g.state, log)
	for worker := range g.servers.workers {
		g.loops.Go(func() { g.servers.renew(g.ctx, worker) })
	}
	drivers := min(runtime.GOMAXPROCS(0), max(1, cfg.Nodes))
	for driver := range drivers {
		g.loops.Go(func() { g.driveModules(driver, drivers) })
	}
	if err := g.startNodes(cfg.FirstNode, cfg.Nodes); err != nil {
		g.close()
		return nil, err
	}
	return g, nil
}

// close stops all nodes and servers at once: nodes send no last report and servers do not deregister.
func (g *group) close() {
	g.stop()
	forEach(len(g.nodes), func(i int) error {
		if n := g.nodes[i].Swap(nil); n != nil {
			n.kill()
		}
		return nil
	})
	g.loops.Wait()
}

// driveModules processes the due events of every step-th node's module, starting with node first, until the group is closed.
func (g *group) driveModules(first, step int) {
	for ticker := time.NewTicker(advanceInterval); ; {
		select {
		case <-g.ctx.Done():
			ticker.Stop()
			return
		case <-ticker.C:
		}
		for i := first; i < len(g.nodes); i += step {
			if n := g.nodes[i].Load(); n != nil {
				n.mu.Lock()
				n.module.advance()
				n.mu.Unlock()
			}
		}
	}
}

// running returns the nodes that are up.
func (g *group) running() (nodes []*node) {
	for i := range g.nodes {
		if n := g.nodes[i].Load(); n != nil {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// startNodes starts those of count nodes from number first on that are down.
func (g *group) startNodes(first, count int) error {
	return forEach(count, func(i int) error {
		entry := &g.nodes[first-g.cfg.FirstNode+i]
		if entry.Load() != nil {
			return nil
		}
		n, err := startNode(g.ctx, &g.cfg, g.state, first+i, g.log)
		if err == nil {
			entry.Store(n)
		}
		return err
	})
}

// stopNodes stops those of count nodes from number first on that are up, by calling stop, which is kill or leave.
func (g *group) stopNodes(first, count int, stop func(*node)) error {
	return forEach(count, func(i int) error {
		if n := g.nodes[first-g.cfg.FirstNode+i].Swap(nil); n != nil {
			stop(n)
		}
		return nil
	})
}

// do executes a request.
func (g *group) do(ctx context.Context, r Request) Reply {
	switch r.Op {
	case OpUsage:
		usage := g.usage()
		return Reply{Usage: &usage}
	case OpInForce:
		if r.Tenant == "" {
			return errorReply(fmt.Errorf("in_force: tenant: missing"))
		}
		inForce := g.inForce(ctx, r)
		return Reply{InForce: &inForce}
	case OpKill, OpLeave, OpStart:
		if err := checkRange(r, g.cfg.FirstNode, g.cfg.Nodes, "nodes"); err != nil {
			return errorReply(err)
		}
		switch r.Op {
		case OpKill:
			return errorReply(g.stopNodes(r.First, r.Count, (*node).kill))
		case OpLeave:
			return errorReply(g.stopNodes(r.First, r.Count, (*node).leave))
		}
		return errorReply(g.startNodes(r.First, r.Count))
	case OpReplace:
		if err := checkRange(r, g.cfg.FirstServer, g.cfg.Servers, "servers"); err != nil {
			return errorReply(err)
		}
		return errorReply(g.servers.replace(ctx, r.First, r.Count))
	}
	return errorReply(fmt.Errorf("op: unknown %.40q", r.Op))
}

// checkRange checks that the nodes or servers of a request belong to this process.
func checkRange(r Request, first, count int, kind string) error {
	if r.Count < 1 || r.First < first || r.First-first+r.Count > count {
		return fmt.Errorf("%s: first, count: %d, %d: this process has %d %s from %d on", r.Op, r.First, r.Count, count, kind, first)
	}
	return nil
}

// errorReply returns a reply with the error's text, or an empty reply if err is nil.
func errorReply(err error) Reply {
	if err == nil {
		return Reply{}
	}
	return Reply{Err: oneLine(err.Error())}
}

// forEach calls do for 0 to count-1, at most maxConcurrency at a time, and returns the first error. An error does not stop the
// remaining calls.
func forEach(count int, do func(i int) error) error {
	var workers sync.WaitGroup
	var next atomic.Int64
	var firstErr atomic.Pointer[error]
	for range min(maxConcurrency, count) {
		workers.Go(func() {
			for i := int(next.Add(1)) - 1; i < count; i = int(next.Add(1)) - 1 {
				if err := do(i); err != nil {
					firstErr.CompareAndSwap(nil, &err)
				}
			}
		})
	}
	workers.Wait()
	if err := firstErr.Load(); err != nil {
		return *err
	}
	return nil
}
