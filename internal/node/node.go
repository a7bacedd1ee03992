package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"meadowsill/policy"
)

const (
	// The process keeps reservedSockets descriptors for itself. Connections from clients get clientSocketsPart of the rest,
	// and connections to app servers get the remainder, both if the memory allows as many. Above softLimitPart of the clients'
	// share, each answer closes its connection, and idle connections are closed; above crowdLimitPart also those of slow clients.
	reservedSockets   = 24
	clientSocketsPart = 0.6
	softLimitPart     = 0.85
	crowdLimitPart    = 0.95

	drainAcceptTime   = 600 * time.Millisecond // new connections arrive for 0.4 s after SIGTERM; the rest is for the accept queue
	drainPollInterval = 10 * time.Millisecond
	drainExtraTime    = 300 * time.Millisecond // to write the last answers after the longest deadline
	// SIGKILL arrives no sooner than drainKillDelay plus the longest deadline after SIGTERM; a deadline over maxDrainDeadline
	// counts as maxDrainDeadline. A request that is unanswered drainAnswerMargin before that is answered as failed, so that
	// the answer is written and read in time. A request that arrived before drainAcceptTime and whose deadline is at most
	// maxDrainDeadline ends by itself before that, since overdueDelay is shorter than the time that is left.
	drainKillDelay     = 700 * time.Millisecond
	maxDrainDeadline   = 3 * time.Second
	drainAnswerMargin  = 60 * time.Millisecond
	finalAnswerTimeout = 100 * time.Millisecond // for the answers to requests that fail because the process ends
)

// Run runs a node until ctx ends and the requests accepted by then are answered. On each signal from hup it applies the
// settings and the address of discovery that reload returns. An error of reload, such as that of an incomplete
// configuration, is logged and changes nothing.
func Run(ctx context.Context, c *Config, hup <-chan os.Signal, reload func() (*Config, error), log *slog.Logger) error {
	limitMemory(c.Limits.MemoryMB, false)
	own := *c
	own.ownsProcess = true
	c = &own
	var admin *net.TCPListener
	if c.Admin.IsValid() {
		var err error
		if admin, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(c.Admin)); err != nil {
			return fmt.Errorf("admin_addr: %w", err)
		}
	}
	reloads := make(chan *Config)
	go func() {
		for range hup {
			next, err := reload()
			if err != nil {
				log.Error("configuration rejected", "err", err)
				continue
			}
			reloads <- next
		}
	}()
	listen := func() (*net.TCPListener, error) { return listenClients(c.Listen, admin != nil, log) }
	return serve(ctx, c, listen, admin, reloads, log)
}

// process holds the parts of a running node.
type process struct {
	config       *Config
	log          *slog.Logger
	admin        *net.TCPListener // nil if there is no admin API
	loop         *eventLoop
	upstreams    *upstreams
	discovery    *discoveryClient
	peerMessages *peerMessenger // nil if nodes exchange no messages
	frontend     *frontend
	memory       *memoryBudget
	clientConns  int // maximum number of connections from clients
	running      sync.WaitGroup
}

// serve runs a node until ctx ends and the requests accepted by then are answered. The node has no admin API if admin is nil.
// If it has one, an older process may be running (an upgrade), so the node listens for clients only once it can serve them.
func serve(ctx context.Context, c *Config, listen func() (*net.TCPListener, error), admin *net.TCPListener,
	reloads <-chan *Config, log *slog.Logger) error {
	partsCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var listener *net.TCPListener
	var err error
	if admin == nil {
		if listener, err = listen(); err != nil {
			return err
		}
		defer listener.Close()
	}
	p, err := newProcess(partsCtx, c, admin, log)
	if err != nil {
		return err
	}
	p.start(partsCtx, reloads)
	if listener == nil {
		listener, err = p.listenOnceReady(ctx, listen)
	}
	if listener != nil {
		err = p.serveClients(ctx, partsCtx, stop, listener)
	}
	stop()
	p.running.Wait()
	return err
}

// newProcess makes the parts of a node without starting them.
func newProcess(ctx context.Context, c *Config, admin *net.TCPListener, log *slog.Logger) (*process, error) {
	memory := newMemoryBudget(c.Limits.MemoryMB)
	clients, servers := limitConns(c.Limits.Sockets, memory)
	messages, err := listenPeerMessages(c, log)
	if err != nil {
		return nil, err
	}
	p := &process{config: c, log: log, admin: admin, clientConns: clients, peerMessages: messages, memory: memory}
	p.upstreams = newUpstreams(c, servers, log)
	p.upstreams.memory = memory
	p.discovery = newDiscoveryClient(c, log)
	p.loop = newEventLoop(ctx, c, p.upstreams, p.discovery, messages, log)
	if admin != nil {
		if ids, err := openRequestIDs(requestIDsPath(c)); err != nil {
			log.Error("the ids of requests are not shared with another process", "err", err)
		} else {
			p.loop.requestIDs = ids
		}
		p.loop.exclusions = openExclusions(c, p.upstreams, log)
		if p.upstreams.restart, err = openHotRestart(c, log); err != nil {
			log.Error("the limits are not shared with another process", "err", err)
		} else {
			p.upstreams.restart.shareMemory(memory)
		}
	}
	f := newFrontend(p.loop, int(float64(clients)*softLimitPart), log)
	f.maxOpenRequests = min(f.maxOpenRequests, int64(servers)) // so that every open request finds a descriptor for an attempt
	f.memory, f.connections.memory = memory, memory
	f.connections.crowdLimit = int(float64(clients) * crowdLimitPart)
	f.connections.restart = p.upstreams.restart
	f.fleet = newFleetClient(c, p.loop, f.notReadyReason, log)
	p.frontend = f
	return p, nil
}

// start starts every part except the listener for clients. The parts run until ctx ends.
func (p *process) start(ctx context.Context, reloads <-chan *Config) {
	p.running.Go(func() { p.loop.run(p.config.Known) })
	p.running.Go(func() { p.upstreams.run(ctx) })
	p.running.Go(func() { p.applyReloads(ctx, reloads) })
	if p.frontend.fleet != nil {
		p.running.Go(func() { p.frontend.fleet.run(ctx) })
	}
	if p.peerMessages != nil {
		p.running.Go(func() { p.peerMessages.write(ctx) })
		p.running.Go(func() { p.peerMessages.read(p.loop.receiveMessage) })
	}
	if p.admin != nil {
		api := &adminServer{frontend: p.frontend, exclusions: p.loop.exclusions, ctx: ctx, log: p.log}
		p.running.Go(func() { api.run(p.admin) })
		pollInterval := exclusionsPollIntervalFor(p.config.Settings.DrainGrace)
		p.running.Go(func() { runEvery(ctx, pollInterval, p.loop.exclusions.refresh) })
		p.running.Go(func() { runEvery(ctx, evacuationSweepInterval, p.frontend.closeEvacuatedIdle) })
	}
	p.running.Go(func() { runEvery(ctx, refusalLogInterval, func() { p.frontend.refusals.log(p.log) }) })
	if p.config.ownsProcess {
		p.guardMemory(ctx)
	}
	if restart := p.upstreams.restart; restart != nil {
		p.running.Go(func() { runEvery(ctx, otherProcessCheckInterval, restart.refresh) })
	}
}

// guardMemory checks the resident memory of the process until ctx ends.
func (p *process) guardMemory(ctx context.Context) {
	guard := newMemoryGuard(p.memory, p.config.Limits.MemoryMB, p.log)
	if guard == nil {
		return
	}
	p.running.Go(func() {
		defer guard.statm.Close()
		runEvery(ctx, memoryCheckInterval, guard.check)
	})
}

// applyReloads applies each reloaded configuration until ctx ends. A changed fleet block takes effect only after a restart.
func (p *process) applyReloads(ctx context.Context, reloads <-chan *Config) {
	for {
		select {
		case next := <-reloads:
			p.discovery.setAddress(next.Discovery)
			if !p.config.Fleet.equal(next.Fleet) {
				p.log.Warn("fleet block changed: restart the node to apply it")
			}
			p.loop.post(func() { p.loop.changeSettings(next.Settings) })
			p.log.Info("configuration applied", "classes", len(next.Settings.Classes), "attempts", next.Settings.MaxAttempts)
		case <-ctx.Done():
			return
		}
	}
}

// listenOnceReady waits until the node can serve clients, and then listens for them. It returns nil if ctx ends before.
func (p *process) listenOnceReady(ctx context.Context, listen func() (*net.TCPListener, error)) (*net.TCPListener, error) {
	for _, ready := range []<-chan struct{}{p.loop.readyToServe, p.frontend.fleet.readyToServe()} {
		select {
		case <-ready:
		case <-ctx.Done():
			return nil, nil
		}
	}
	return listen()
}

// serveClients serves clients until ctx ends, and then drains the node. It calls stop, which ends partsCtx and the parts
// that run until then, before it closes the last connections.
func (p *process) serveClients(ctx, partsCtx context.Context, stop context.CancelFunc, listener *net.TCPListener) (err error) {
	f := p.frontend
	server := f.server()
	served := make(chan error, 1)
	clients := newClientListener(listener, p.clientConns, p.upstreams.restart, f.connections)
	p.running.Go(func() { served <- server.Serve(clients) })
	p.log.Info("serving", "name", p.config.Name, "listen", listener.Addr(), "sockets", p.config.Limits.Sockets)
	f.listening.Store(true)
	select {
	case err = <-served:
		err = fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
		f.drain(clients, served)
		f.fleet.leave(partsCtx)
	}
	stop()
	// Closing connections while the last answers are being written would truncate these, and the kernel resets every
	// connection that is not closed when the process ends.
	f.connections.waitUntilNone(finalAnswerTimeout)
	server.Close()
	f.connections.waitUntilNone(lingerTimeout)
	return err
}

// divideSockets returns the maximum numbers of connections from clients and to app servers. It leaves descriptors for
// discovery, the admin API and the fleet's agent, so that they are reachable however many clients there are.
func divideSockets(sockets int) (clients, servers int) {
	capacity := sockets - reservedSockets
	clients = int(float64(capacity) * clientSocketsPart)
	return clients, capacity - clients
}

// limitConns returns the maximum numbers of connections from clients and to app servers, by the descriptors and the memory.
func limitConns(sockets int, memory *memoryBudget) (clients, servers int) {
	clients, servers = divideSockets(sockets)
	clients = min(clients, int(memory.most(clientConnMemory)/clientConnBytes))
	servers = min(servers, int(memory.most(serverConnMemory)/serverConnBytes))
	return clients, servers
}

// runEvery calls a function at an interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, do func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			do()
		}
	}
}

// drain drains the node. New connections still arrive for a moment, and the node has to answer those that the kernel has
// accepted. So the listener stays open for drainAcceptTime, and each answer closes its connection. drain does not use
// Server.Shutdown, which drops requests that are being read when it is called.
//
// A request that is read completely before drainClosed is closed is served, and fails if it is unanswered at answerDeadline.
// A request that is read completely later is rejected. Answers that have begun continue until closeDeadline, unless SIGKILL
// arrives sooner.
func (f *frontend) drain(l *clientListener, served <-chan error) {
	drainStart := time.Now()
	f.draining.Store(true)
	f.log.Info("draining")
	answerTime, closeTime := drainTimes(f.loop.rules.Load().Classes)
	answerDeadline, closeDeadline := drainStart.Add(answerTime), drainStart.Add(closeTime)
	// Idle connections are closed early, and at once if a newer process needs their slots for its clients.
	for ; time.Since(drainStart) < drainAcceptTime; time.Sleep(drainPollInterval) {
		f.connections.closeIdleInDrain()
	}
	close(f.drainClosed)
	// Closing the listener would reset connections that still wait in the accept queue, for a slot or for a slow core. They
	// are accepted, and their requests are read and rejected.
	for ; l.hasWaitingConn() && time.Now().Before(answerDeadline); time.Sleep(drainPollInterval) {
		f.connections.closeIdle(0)
	}
	l.Close()
	accepted := served // a count of 0 open connections is final only after Accept has returned the last one
	for ; accepted != nil || f.connections.open() > 0; time.Sleep(drainPollInterval) {
		select {
		case <-accepted:
			accepted = nil
		default:
		}
		now := time.Now()
		if now.After(answerDeadline) && !isClosed(f.answerWaitOver) {
			close(f.answerWaitOver)
		}
		if now.After(closeDeadline) {
			f.log.Warn("drained with open connections", "connections", f.connections.open(), "requests", f.openRequests.Load())
			return
		}
		f.connections.closeIdle(0)
	}
	f.log.Info("drained")
}

// drainTimes returns how long after SIGTERM a request may be unanswered, and how long after SIGTERM an answer that has begun
// may take to end.
func drainTimes(classes []policy.Class) (answerTime, closeTime time.Duration) {
	var longest time.Duration
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, maxDrainDeadline) + drainKillDelay - drainAnswerMargin, drainAcceptTime + longest + drainExtraTime
}
