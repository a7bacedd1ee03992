package policy

import (
	"slices"
	"sort"
	"time"
)

const (
	pollSlot       = 50 * time.Millisecond // of discovery for each node's call: they share one queue
	maxPollBackoff = 16 * pollSlot         // before a further call, at most; 1.5 times that with jitter
	minFirstPolls  = 4                     // slots in which all nodes poll once, at least
)

// endpointLists are the servers of the endpoint list, in an order that all nodes share.
type endpointLists struct {
	listed []*server // those not removed
	ready  []*server // of these, those that take requests
}

// pollState is how this node polls for the endpoint list, where Settings.PollsEndpoints is set.
type pollState struct {
	subscribed bool
	pending    bool // a call has no answer yet
	nextAt     Time
	backoff    time.Duration
}

// handleEndpointUpdate follows the endpoint list.
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

// updateServer takes an entry of the list. A return after an exclusion is a start, whatever the list says of
// an earlier one; after a start nothing that was learned of an older process holds.
func (m *Module) updateServer(entry Server) {
	s := m.serverByID(entry.ID)
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

// forgetFaults clears what an older process of a server has shown.
func (m *Module) forgetFaults(s *server) {
	s.outlier.ejected = false
	s.outlier.failures = 0
	s.outlier.errorRate = 0
	s.outlier.unanswered = 0
	s.overload.imposedUntil = m.now
}

// applyExclusion has what the operators say of a server followed. One that is not known yet is met when it is
// listed.
func (m *Module) applyExclusion(id ServerID) {
	if s := m.servers[id]; s != nil {
		m.updateServer(s.Server)
		m.rebuildEndpointLists()
	}
}

// rebuildEndpointLists renews the lists of servers, and the subset, from what is known.
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
	m.updateLocalPart()
	m.chooseSubset()
}

// firstPoll places a node's first poll: each in its turn, as a release starts them all at once.
func (m *Module) firstPoll() pollState {
	window := m.firstPollWindow()
	turn := window * (2*time.Duration(m.settings.NodeIndex) + 1) / time.Duration(2*m.settings.Nodes)
	return pollState{backoff: window, nextAt: m.now + turn}
}

// firstPollWindow is the time in which all nodes poll once: a queue longer than discovery lets them wait
// serves none. A change counts as notified 6 s after discovery can be reached: this, or a call of 2.5 s and a
// wait, must fit in.
func (m *Module) firstPollWindow() time.Duration {
	slots := max(minFirstPolls, time.Duration(m.settings.Nodes))
	return min(slots*pollSlot, 4*maxPollBackoff, max(minFirstPolls*pollSlot, m.settings.MaxPollInterval/2))
}

func (m *Module) pollFailed() {
	m.poll.subscribed, m.poll.pending = false, false
	m.poll.nextAt = m.now + m.random.jitter(min(m.poll.backoff, maxPollBackoff))
	m.poll.backoff = min(2*m.poll.backoff, maxPollBackoff)
}

// pollEndpoints keeps a subscription where the list must be polled for, backing off after failures.
func (m *Module) pollEndpoints() {
	if m.settings.PollsEndpoints && !m.poll.subscribed && m.now >= m.poll.nextAt {
		m.poll.pending = true
		m.poll.nextAt = m.now + m.settings.MaxPollInterval/4
		m.emit(Subscribe{On: true})
	}
}
