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
	// Of the descriptors, a few are the process's own; clients' connections get this part of the rest, and
	// backends what remains. From the soft limit on, clients are rejected; to the hard one they are let in to be.
	reservedSockets   = 24
	clientSocketsPart = 0.6
	softLimitPart     = 0.85

	drainAcceptTime   = 600 * time.Millisecond // connections come for 0.4 s after SIGTERM; the rest is for the accept queue
	drainPollInterval = 10 * time.Millisecond
	drainExtraTime    = 300 * time.Millisecond // beyond the longest deadline, to write the last answers
	// SIGKILL comes at the soonest that much after SIGTERM and the longest deadline, which counts as maxDrainDeadline if it
	// is longer. What is unanswered drainAnswerMargin before is answered as failed, to be written and read by then. A request
	// that came before drainAcceptTime and has such a deadline is over by itself: overdueDelay is less than what is left.
	drainKillDelay     = 700 * time.Millisecond
	maxDrainDeadline   = 3 * time.Second
	drainAnswerMargin  = 60 * time.Millisecond
	finalAnswerTimeout = 100 * time.Millisecond // for the answers of those that the end itself fails
)

// Run serves until ctx ends and what has been taken by then is answered. On each signal of hup it takes
// discovery's address and the settings from reload; a configuration that is incomplete changes nothing.
func Run(ctx context.Context, c *Config, hup <-chan os.Signal, reload func() (*Config, error), log *slog.Logger) error {
	limitMemory(c.Limits.MemoryMB, false)
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

// process is the parts of a running node.
type process struct {
	config       *Config
	log          *slog.Logger
	admin        *net.TCPListener // nil: no admin API
	loop         *eventLoop
	upstreams    *upstreams
	discovery    *discoveryClient
	peerMessages *peerMessenger // nil: nodes exchange no messages
	frontend     *frontend
	clientConns  int // connections from clients, at most
	running      sync.WaitGroup
}

// serve runs a node until ctx ends and what has been taken by then is answered. It has no admin API if admin is nil. With
// one, this may be an upgrade: it listens for clients once it can serve them.
func serve(ctx context.Context, c *Config, listen func() (*net.TCPListener, error), admin *net.TCPListener,
	reloads <-chan *Config, log *slog.Logger) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var listener *net.TCPListener
	var err error
	if admin == nil {
		if listener, err = listen(); err != nil {
			return err
		}
		defer listener.Close()
	}
	p, err := newProcess(inner, c, admin, log)
	if err != nil {
		return err
	}
	p.start(inner, reloads)
	if listener == nil {
		listener, err = p.listenOnceReady(ctx, listen)
	}
	if listener != nil {
		err = p.serveClients(ctx, inner, stop, listener)
	}
	stop()
	p.running.Wait()
	return err
}

// newProcess makes the parts of a node. Nothing of it runs yet.
func newProcess(ctx context.Context, c *Config, admin *net.TCPListener, log *slog.Logger) (*process, error) {
	clients, servers := divideSockets(c.Limits.Sockets)
	messages, err := listenPeerMessages(c, log)
	if err != nil {
		return nil, err
	}
	p := &process{config: c, log: log, admin: admin, clientConns: clients, peerMessages: messages}
	p.upstreams = newUpstreams(c, servers, log)
	p.discovery = newDiscoveryClient(c, log)
	p.loop = newEventLoop(ctx, c, p.upstreams, p.discovery, messages, log)
	if admin != nil {
		p.loop.exclusions = openExclusions(c, p.upstreams, log)
		if p.upstreams.restart, err = openHotRestart(c, log); err != nil {
			log.Error("the limits are not shared with another process", "err", err)
		}
	}
	f := newFrontend(p.loop, int(float64(clients)*softLimitPart), log)
	f.maxOpenRequests = min(f.maxOpenRequests, int64(servers)) // each finds a descriptor for an attempt
	f.connections.restart = p.upstreams.restart
	f.fleet = newFleetClient(c, p.loop, f.notReadyReason, log)
	p.frontend = f
	return p, nil
}

// start runs every part but the clients' listener, until ctx ends.
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
		pollInterval := exclusionsPollEvery(p.config.Settings.DrainGrace)
		p.running.Go(func() { runEvery(ctx, pollInterval, p.loop.exclusions.refresh) })
		p.running.Go(func() { runEvery(ctx, evacuationSweepInterval, p.frontend.closeEvacuatedIdle) })
	}
	if restart := p.upstreams.restart; restart != nil {
		p.running.Go(func() { runEvery(ctx, otherProcessInterval, restart.refresh) })
	}
}

// applyReloads applies each configuration that is reloaded, until ctx ends. The fleet block needs a restart.
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

// listenOnceReady listens for clients once the node can serve them. The listener is nil if ctx ends before.
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

// serveClients serves clients until ctx ends, and drains. Parts that run until inner ends are stopped before the last
// connections are closed.
func (p *process) serveClients(ctx, inner context.Context, stop context.CancelFunc, listener *net.TCPListener) (err error) {
	f := p.frontend
	server := f.server()
	served := make(chan error, 1)
	accepting := newClientListener(listener, p.clientConns, p.upstreams.restart, f.connections)
	p.running.Go(func() { served <- server.Serve(accepting) })
	p.log.Info("serving", "name", p.config.Name, "listen", listener.Addr(), "sockets", p.config.Limits.Sockets)
	f.listening.Store(true)
	select {
	case err = <-served:
		err = fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
		f.drain(accepting, served)
		f.fleet.leave(inner)
	}
	stop()
	// A close under the last answers would cut them off, and the process's end resets what is not closed by then.
	f.connections.waitUntilNone(finalAnswerTimeout)
	server.Close()
	f.connections.waitUntilNone(finTimeout)
	return err
}

// divideSockets returns the most connections from clients and to servers, with descriptors left for all else: discovery, the
// admin API and the fleet's agent are reached however many clients there are.
func divideSockets(sockets int) (clients, servers int) {
	capacity := sockets - reservedSockets
	clients = int(float64(capacity) * clientSocketsPart)
	return clients, capacity - clients
}

// runEvery does something again and again until ctx ends.
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

// drain lets the node go. Clients still come for a moment, and what the kernel has accepted counts as taken: so
// the listener stays open for that long, and each answer closes its connection. It does not use Server.Shutdown, which
// drops requests that are being read when it is called.
//
// A request that is read completely before drainClosed is closed is served; its deadline lies before unanswered, or it is failed then.
// What is read completely later is rejected. Answers that have begun go on until last, if SIGKILL does not come sooner.
func (f *frontend) drain(l *clientListener, served <-chan error) {
	begun := time.Now()
	f.draining.Store(true)
	f.log.Info("draining")
	forAnswers, forAll := drainTimes(f.loop.rules.Load().Classes)
	unanswered, last := begun.Add(forAnswers), begun.Add(forAll)
	// Idle connections go early, and at once if a newer process needs their places for its clients.
	for ; time.Since(begun) < drainAcceptTime; time.Sleep(drainPollInterval) {
		f.connections.closeIdleForOthers()
	}
	close(f.drainClosed)
	// What waits for a place, or for a slow core, would be reset with the listener. It is read, and rejected.
	for ; l.hasWaitingConn() && time.Now().Before(unanswered); time.Sleep(drainPollInterval) {
		f.connections.closeIdle(0)
	}
	l.Close()
	accepted := served // until Accept has returned the last connection none is not enough
	for ; accepted != nil || f.connections.open() > 0; time.Sleep(drainPollInterval) {
		select {
		case <-accepted:
			accepted = nil
		default:
		}
		now := time.Now()
		if now.After(unanswered) && !isClosed(f.answersOver) {
			close(f.answersOver)
		}
		if now.After(last) {
			f.log.Warn("drained with open connections", "connections", f.connections.open(), "requests", f.openRequests.Load())
			return
		}
		f.connections.closeIdle(0)
	}
	f.log.Info("drained")
}

// drainTimes returns how long after SIGTERM a request may be unanswered, and how long an answer may take that has begun.
func drainTimes(classes []policy.Class) (unanswered, last time.Duration) {
	var longest time.Duration
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, maxDrainDeadline) + drainKillDelay - drainAnswerMargin, drainAcceptTime + longest + drainExtraTime
}
