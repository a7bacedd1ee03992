package node

import (
	"context"
	"time"

	"meadowsill/policy"
)

// watchEndpoints begins a watch, or begins it anew so that there is an answer, unless the answer is still to come.
func (l *eventLoop) watchEndpoints(on bool) {
	if on && l.cancelWatch != nil && !l.watchOpen {
		return
	}
	if l.cancelWatch != nil {
		l.cancelWatch()
		l.cancelWatch = nil
	}
	if !on {
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	l.cancelWatch, l.watchOpen = cancel, false
	since := l.listVersion
	current := func(f func()) { // nothing of a watch that has been ended since
		l.post(func() {
			if ctx.Err() == nil {
				f()
			}
		})
	}
	l.running.Go(func() {
		err := l.discovery.watch(ctx, since, firstCallTimeout, func(n endpointList) { current(func() { l.watchOpen = true; l.endpointsUpdated(n) }) })
		current(func() {
			cancel()
			l.cancelWatch = nil
			l.endpointsFetched(endpointList{}, err)
		})
	})
}

// endpointsFetched takes the answer to a call that the module made.
func (l *eventLoop) endpointsFetched(n endpointList, err error) {
	if err != nil {
		l.log.Info("discovery", "err", err)
		l.handle(policy.EndpointUpdate{Kind: policy.EndpointsFailed, Version: l.listVersion})
		return
	}
	l.endpointsUpdated(n)
}

// endpointsUpdated takes what discovery has answered: a complete list or changes.
func (l *eventLoop) endpointsUpdated(n endpointList) {
	kind := policy.EndpointsChanged
	if n.complete {
		kind = policy.EndpointsComplete
	}
	l.applyEndpoints(n, kind)
}

// applyEndpoints takes a list: connections first, so that nothing goes where the list says no.
func (l *eventLoop) applyEndpoints(n endpointList, kind policy.EndpointUpdateKind) {
	l.listVersion = n.version
	l.backends.update(n)
	named := l.rules.Load().Fleet
	if n.complete {
		clear(l.readyServers)
		clear(l.serverNames)
	}
	e := policy.EndpointUpdate{Kind: kind, Version: n.version}
	for _, s := range n.entries {
		delete(l.readyServers, s.ID)
		delete(l.serverNames, s.ID)
		if s.State == policy.Ready {
			l.readyServers[s.ID] = true
		}
		if s.State != policy.Removed {
			l.serverNames[s.ID] = s.name
		}
		if named {
			s.Server.Name = s.name
		}
		e.Servers = append(e.Servers, s.Server)
	}
	l.hasReadyServer.Store(len(l.readyServers) > 0)
	if len(l.readyServers) > 0 {
		l.firstReady.Do(func() { close(l.readyToServe) })
	}
	l.exclusions.setServerNames(l.serverNames)
	l.handle(e)
}

// notifyExclusions notifies the module of what the operators have changed.
func (l *eventLoop) notifyExclusions() {
	out, back := l.exclusions.current()
	for name := range out {
		if !l.notifiedExclusions[name] {
			l.handle(policy.ServerExcluded{Server: serverID(name)})
		}
	}
	for name := range l.notifiedExclusions {
		if _, known := back[name]; !out[name] && !known { // a file that people have edited
			back[name] = time.Now()
		}
	}
	for name, at := range back {
		if !out[name] && !at.Equal(l.notifiedInclusions[name]) {
			l.handle(policy.ServerIncluded{Server: serverID(name), At: time.Duration(at.UnixNano())})
		}
	}
	l.notifiedExclusions, l.notifiedInclusions = out, back
}
