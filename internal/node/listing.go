package node

import (
	"context"
	"time"

	"meadowsill/policy"
)

// subscribe begins a watch, or begins it anew so that there is an answer, unless the answer is still to come.
func (l *loop) subscribe(on bool) {
	if on && l.endWatch != nil && !l.watchOpen {
		return
	}
	if l.endWatch != nil {
		l.endWatch()
		l.endWatch = nil
	}
	if !on {
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	l.endWatch, l.watchOpen = cancel, false
	since := l.version
	current := func(f func()) { // nothing of a watch that has been ended since
		l.post(func() {
			if ctx.Err() == nil {
				f()
			}
		})
	}
	l.work.Go(func() {
		err := l.disco.watch(ctx, since, callSlack, func(n list) { current(func() { l.watchOpen = true; l.updated(n) }) })
		current(func() {
			cancel()
			l.endWatch = nil
			l.fetched(list{}, err)
		})
	})
}

// fetched takes the answer to a call that the module made.
func (l *loop) fetched(n list, err error) {
	if err != nil {
		l.log.Info("discovery", "err", err)
		l.handle(policy.EndpointUpdate{Kind: policy.EndpointsFailed, Version: l.version})
		return
	}
	l.updated(n)
}

// updated takes what discovery has answered: a whole list or changes.
func (l *loop) updated(n list) {
	kind := policy.EndpointsChanged
	if n.full {
		kind = policy.EndpointsComplete
	}
	l.follow(n, kind)
}

// follow takes a list: connections first, so that nothing goes where the list says no.
func (l *loop) follow(n list, kind policy.EndpointUpdateKind) {
	l.version = n.version
	l.backends.update(n)
	named := l.rules.Load().Fleet
	if n.full {
		clear(l.ready)
		clear(l.names)
	}
	e := policy.EndpointUpdate{Kind: kind, Version: n.version}
	for _, s := range n.entries {
		delete(l.ready, s.ID)
		delete(l.names, s.ID)
		if s.State == policy.Ready {
			l.ready[s.ID] = true
		}
		if s.State != policy.Removed {
			l.names[s.ID] = s.name
		}
		if named {
			s.Server.Name = s.name
		}
		e.Servers = append(e.Servers, s.Server)
	}
	l.able.Store(len(l.ready) > 0)
	if len(l.ready) > 0 {
		l.firstReady.Do(func() { close(l.canServe) })
	}
	l.bans.list(l.names)
	l.handle(e)
}

// notifyBans notifies the module of what the operators have changed.
func (l *loop) notifyBans() {
	out, back := l.bans.now()
	for name := range out {
		if !l.out[name] {
			l.handle(policy.ServerExcluded{Server: serverID(name)})
		}
	}
	for name := range l.out {
		if _, known := back[name]; !out[name] && !known { // a file that people have edited
			back[name] = time.Now()
		}
	}
	for name, at := range back {
		if !out[name] && !at.Equal(l.back[name]) {
			l.handle(policy.ServerIncluded{Server: serverID(name), At: time.Duration(at.UnixNano())})
		}
	}
	l.out, l.back = out, back
}
