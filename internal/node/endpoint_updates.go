package node

import (
	"context"
	"time"

	"meadowsill/policy"
)

// watchEndpoints starts or stops the watch on the endpoint list. If a watch is already open, it is replaced by a new one, so
// that the module gets an answer at once; a watch whose first answer is still pending is kept.
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
	ifOpen := func(f func()) { // drops answers of a watch that has been canceled meanwhile
		l.post(func() {
			if ctx.Err() == nil {
				f()
			}
		})
	}
	l.running.Go(func() {
		err := l.discovery.watch(ctx, since, firstCallTimeout, func(list endpointList) { ifOpen(func() { l.watchOpen = true; l.endpointsUpdated(list) }) })
		ifOpen(func() {
			cancel()
			l.cancelWatch = nil
			l.endpointsFetched(endpointList{}, err)
		})
	})
}

// endpointsFetched handles the answer to a discovery call that the module requested, or the error that ended the call.
func (l *eventLoop) endpointsFetched(list endpointList, err error) {
	if err != nil {
		l.log.Info("discovery", "err", err)
		l.handle(policy.EndpointUpdate{Kind: policy.EndpointsFailed, Version: l.listVersion})
		return
	}
	l.endpointsUpdated(list)
}

// endpointsUpdated applies an answer of discovery, which is a complete list or a list of changes.
func (l *eventLoop) endpointsUpdated(list endpointList) {
	kind := policy.EndpointsChanged
	if list.complete {
		kind = policy.EndpointsComplete
	}
	l.applyEndpoints(list, kind)
}

// applyEndpoints applies an endpoint list. It updates the upstream connections before it notifies the module, so that no
// request is sent to a server that the list rules out.
func (l *eventLoop) applyEndpoints(list endpointList, kind policy.EndpointUpdateKind) {
	l.listVersion = list.version
	l.upstreams.update(list)
	withNames := l.rules.Load().Fleet
	if list.complete {
		clear(l.readyServers)
		clear(l.serverNames)
	}
	e := policy.EndpointUpdate{Kind: kind, Version: list.version}
	for _, s := range list.entries {
		delete(l.readyServers, s.ID)
		delete(l.serverNames, s.ID)
		if s.State == policy.Ready {
			l.readyServers[s.ID] = true
		}
		if s.State != policy.Removed {
			l.serverNames[s.ID] = s.name
		}
		if withNames {
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

// notifyExclusions notifies the module of the servers that the operators have excluded or included.
func (l *eventLoop) notifyExclusions() {
	excluded, includedAt := l.exclusions.current()
	for name := range excluded {
		if !l.notifiedExclusions[name] {
			l.handle(policy.ServerExcluded{Server: serverID(name)})
		}
	}
	for name := range l.notifiedExclusions {
		if _, known := includedAt[name]; !excluded[name] && !known { // somebody has removed the name from the file by hand
			includedAt[name] = time.Now()
		}
	}
	for name, at := range includedAt {
		if !excluded[name] && !at.Equal(l.notifiedInclusions[name]) {
			l.handle(policy.ServerIncluded{Server: serverID(name), At: time.Duration(at.UnixNano())})
		}
	}
	l.notifiedExclusions, l.notifiedInclusions = excluded, includedAt
}
