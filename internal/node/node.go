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
	// backends what remains. From the soft limit on, clients are refused; to the hard one they are let in to be.
	ownSockets = 24
	clientPart = 0.6
	softPart   = 0.85

	drainAccept = 600 * time.Millisecond // connections come for 0.4 s after SIGTERM; the rest is for the accept queue
	drainSweep  = 10 * time.Millisecond
	drainExtra  = 300 * time.Millisecond // beyond the longest deadline, to write the last answers
	// SIGKILL comes at the soonest that much after SIGTERM and the longest deadline, which counts as drainLongest if it
	// is longer. What is unanswered drainMargin before is answered as failed, to be written and read by then. A request
	// that came before drainAccept and has such a deadline is over by itself: overdue is less than what is left.
	drainKill    = 700 * time.Millisecond
	drainLongest = 3 * time.Second
	drainMargin  = 60 * time.Millisecond
	drainAnswers = 100 * time.Millisecond // for the answers of those that the end itself fails
)

// Run serves until ctx ends and what has been taken by then is answered. On each signal of hup it takes
// discovery's address and the settings from reload; a configuration that is not whole changes nothing.
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
				log.Error("configuration not taken", "err", err)
				continue
			}
			reloads <- next
		}
	}()
	listen := func() (*net.TCPListener, error) { return listenClients(c.Listen, admin != nil, log) }
	return serve(ctx, c, listen, admin, reloads, log)
}

// serve has no admin API if admin is nil. With one, this may be an upgrade: it listens for clients once it
// can serve them.
func serve(ctx context.Context, c *Config, listen func() (*net.TCPListener, error), admin *net.TCPListener,
	reloads <-chan *Config, log *slog.Logger) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	clients, servers := shareSockets(c.Limits.Sockets)
	var tcp *net.TCPListener
	var err error
	if admin == nil {
		if tcp, err = listen(); err != nil {
			return err
		}
		defer tcp.Close()
	}
	p, err := listenPeers(c, log)
	if err != nil {
		return err
	}
	b := newBackends(c, servers, log)
	d := newDiscovery(c, log)
	l := newLoop(inner, c, b, d, p, log)
	if admin != nil {
		l.bans = openBans(c, b, log)
		if b.restart, err = openHotRestart(c, log); err != nil {
			log.Error("the limits are not shared with another process", "err", err)
		}
	}
	f := newFrontend(l, int(float64(clients)*softPart), log)
	f.maxOpen = min(f.maxOpen, int64(servers)) // each finds a descriptor for an attempt
	f.conns.restart = b.restart
	f.fleet = newFleetLink(c, l, f.unready, log)
	srv := f.server()

	var running sync.WaitGroup
	running.Go(func() { l.run(c.Known) })
	running.Go(func() { b.run(inner) })
	running.Go(func() {
		for {
			select {
			case next := <-reloads:
				d.move(next.Discovery)
				if !c.Fleet.equal(next.Fleet) {
					log.Warn("the fleet block has changed; that is followed at a restart only")
				}
				l.post(func() { l.change(next.Settings) })
				log.Info("configuration taken", "classes", len(next.Settings.Classes), "attempts", next.Settings.MaxAttempts)
			case <-inner.Done():
				return
			}
		}
	})
	if f.fleet != nil {
		running.Go(func() { f.fleet.run(inner) })
	}
	if p != nil {
		running.Go(func() { p.write(inner) })
		running.Go(func() { p.read(l.heard) })
	}
	if admin != nil {
		api := &adminServer{front: f, bans: l.bans, ctx: inner, log: log}
		running.Go(func() { api.run(admin) })
		running.Go(func() { every(inner, lookEvery(c.Settings.DrainGrace), l.bans.look) })
		running.Go(func() { every(inner, emptyEvery, f.letGo) })
	}
	if b.restart != nil {
		running.Go(func() { every(inner, otherProcessEvery, b.restart.look) })
	}
	if tcp == nil {
		select {
		case <-l.canServe:
			select {
			case <-f.fleet.mayServe():
				tcp, err = listen()
			case <-ctx.Done():
			}
		case <-ctx.Done():
		}
	}
	if tcp != nil {
		served := make(chan error, 1)
		taken := newCapped(tcp, clients, b.restart, f.conns)
		running.Go(func() {
			served <- srv.Serve(taken)
		})
		log.Info("serving", "name", c.Name, "listen", tcp.Addr(), "sockets", c.Limits.Sockets)
		f.listening.Store(true)
		select {
		case err = <-served:
			err = fmt.Errorf("serve: %w", err)
		case <-ctx.Done():
			f.drain(taken, served)
			f.fleet.leave(inner)
		}
	}
	stop()
	// A close under the last answers would cut them off, and the process's end resets what is not closed by then.
	f.conns.waitNone(drainAnswers)
	srv.Close()
	f.conns.waitNone(finWait)
	running.Wait()
	return err
}

// shareSockets gives the most connections from clients and to servers, with descriptors left for all else: discovery, the
// admin API and the fleet's agent are reached however many clients there are.
func shareSockets(sockets int) (clients, servers int) {
	room := sockets - ownSockets
	clients = int(float64(room) * clientPart)
	return clients, room - clients
}

// every does something again and again until ctx ends.
func every(ctx context.Context, interval time.Duration, do func()) {
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
// A request that is read whole before closing is served; its deadline lies before unanswered, or it is failed then.
// What is read whole later is refused. Answers that have begun go on until last, if SIGKILL does not come sooner.
func (f *frontend) drain(l *capped, served <-chan error) {
	begun := time.Now()
	f.draining.Store(true)
	f.log.Info("draining")
	forAnswers, forAll := drainTimes(f.loop.rules.Load().Classes)
	unanswered, last := begun.Add(forAnswers), begun.Add(forAll)
	// Idle connections go early, and at once if a newer process needs their places for its clients.
	for ; time.Since(begun) < drainAccept; time.Sleep(drainSweep) {
		f.conns.makeRoom()
	}
	close(f.closing)
	// What waits for a place, or for a slow core, would be reset with the listener. It is read, and refused.
	for ; l.waiting() && time.Now().Before(unanswered); time.Sleep(drainSweep) {
		f.conns.closeIdle(0)
	}
	l.Close()
	accepted := served // until Accept has returned the last connection none is not enough
	for ; accepted != nil || f.conns.open() > 0; time.Sleep(drainSweep) {
		select {
		case <-accepted:
			accepted = nil
		default:
		}
		now := time.Now()
		if now.After(unanswered) && !isClosed(f.givenUp) {
			close(f.givenUp)
		}
		if now.After(last) {
			f.log.Warn("drained with connections held", "connections", f.conns.open(), "requests", f.open.Load())
			return
		}
		f.conns.closeIdle(0)
	}
	f.log.Info("drained")
}

// drainTimes gives how long after SIGTERM a request may be unanswered, and how long an answer may take that has begun.
func drainTimes(classes []policy.Class) (unanswered, last time.Duration) {
	var longest time.Duration
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, drainLongest) + drainKill - drainMargin, drainAccept + longest + drainExtra
}
