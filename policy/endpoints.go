package policy

import (
	"slices"
	"sort"
	"time"
)

const (
	pollSlot       = 50 * time.Millisecond // time for one node's call to discovery; calls share one queue
	maxPollBackoff = 16 * pollSlot         // maximum delay before the next call; 1.5 times that with jitter
	minFirstPolls  = 4                     // minimum number of slots in which all nodes poll once
)

// endpointLists are the servers of the endpoint list, in an order that all nodes share.
type endpointLists struct {
	listed []*server // servers that are not removed
	ready  []*server // listed servers that are Ready and not excluded
}

// pollState is the state of polling for the endpoint list, which Settings.PollsEndpoints enables.
type pollState struct {
	subscribed bool
	pending    bool // a call was made and has no answer yet
	nextAt     Time
	backoff    time.Duration
}

// handleEndpointUpdate applies an update of the endpoint list.
func (m *Module) handleEndpointUpdate(e EndpointUpdate) {
	if e.Kind == EndpointsFailed {
		m.pollFailed()
		return
	}
	if e.Kind != EndpointsCached && m.poll.pending {
		m.poll.subscribed = true
		m.poll.pending = false
		m.poll.backoff = m.firstPollWindow()
	}
	if e.Kind != EndpointsChanged {
		for _, s := range m.endpoints.listed {
			s.State = Removed
		}
	}
	for _, entry := range e.Servers {
		m.updateServer(entry)
	}
	m.rebuildEndpointLists()
}

// updateServer applies an entry of the endpoint list. A server that is included again after an exclusion
// counts as started then, even if the list has an earlier start. After a start the faults of an earlier
// process are forgotten and the server gets a slow start.
func (m *Module) updateServer(entry Server) {
	s := m.ensureServer(entry.ID)
	if entry.State == Ready {
		entry.StartedAt = max(entry.StartedAt, m.includedAt[entry.ID])
		if entry.StartedAt > s.StartedAt {
			m.forgetFaults(s)
			m.beginSlowStart(s, entry.StartedAt)
		}
	}
	s.Server = entry
	s.excluded = m.excluded[entry.ID]
	s.kindLoad = m.load.ofKind(entry.Kind)
}

// forgetFaults clears the faults that an earlier process of a server has shown.
func (m *Module) forgetFaults(s *server) {
	s.outlier.ejected = false
	s.outlier.failures = 0
	s.outlier.errorRate = 0
	s.outlier.unanswered = 0
	s.overload.imposedUntil = m.now
}

// applyExclusion applies a server's exclusion or inclusion by the operators. For a server that is not known
// yet, updateServer applies it when the server is listed.
func (m *Module) applyExclusion(id ServerID) {
	if s := m.servers[id]; s != nil {
		m.updateServer(s.Server)
		m.rebuildEndpointLists()
	}
}

// rebuildEndpointLists rebuilds the lists of servers and the subset from the state of all known servers.
func (m *Module) rebuildEndpointLists() {
	lists := &m.endpoints
	lists.listed = lists.listed[:0]
	for _, s := range m.servers {
		if s.State != Removed {
			lists.listed = append(lists.listed, s)
		}
	}
	sort.Slice(lists.listed, func(i, j int) bool {
		return lists.listed[i].ringPosition < lists.listed[j].ringPosition
	})
	lists.ready = slices.DeleteFunc(slices.Clone(lists.listed),
		func(s *server) bool { return s.State != Ready || s.excluded })
	m.updateLocalFraction()
	m.chooseSubset()
}

// firstPoll schedules the node's first poll. Each node polls in its own turn, as a release starts all nodes
// at once.
func (m *Module) firstPoll() pollState {
	window := m.firstPollWindow()
	turn := window * (2*time.Duration(m.settings.NodeIndex) + 1) / time.Duration(2*m.settings.Nodes)
	return pollState{backoff: window, nextAt: m.now + turn}
}

// firstPollWindow returns the time over which the first polls of all nodes are spread. If the queue of calls
// is longer than discovery lets calls wait, discovery serves none of them. A change of the list counts as
// notified 6 s after discovery becomes reachable, so this window must fit into 6 s, and so must a call of
// 2.5 s with the delay after it.
func (m *Module) firstPollWindow() time.Duration {
	slots := max(minFirstPolls, time.Duration(m.settings.Nodes))
	return min(slots*pollSlot, 4*maxPollBackoff, max(minFirstPolls*pollSlot, m.settings.MaxPollInterval/2))
}

func (m *Module) pollFailed() {
	m.poll.subscribed, m.poll.pending = false, false
	m.poll.nextAt = m.now + m.random.jitter(min(m.poll.backoff, maxPollBackoff))
	m.poll.backoff = min(2*m.poll.backoff, maxPollBackoff)
}

// pollEndpoints subscribes again whenever there is no subscription and the endpoint list must be polled for.
// Calls back off after failures.
func (m *Module) pollEndpoints() {
	if m.settings.PollsEndpoints && !m.poll.subscribed && m.now >= m.poll.nextAt {
		m.poll.pending = true
		m.poll.nextAt = m.now + m.settings.MaxPollInterval/4
		m.emit(Subscribe{On: true})
	}
}
