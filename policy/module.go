package policy

import (
	"fmt"
	"time"
)

// tickInterval is the time between two rounds of checks. It is well under any latency objective.
const tickInterval = 25 * time.Millisecond

// logInterval is the minimum time between two log lines about one server, so that the log of a server that
// keeps failing and recovering does not fill the disk.
const logInterval = 5 * time.Second

// Module makes the load-balancing decisions of one node. It is not safe for concurrent use.
type Module struct {
	settings  *Settings
	random    randomSource
	now       Time     // time of the event that is being handled
	actions   []Action // actions emitted so far for the event that is being handled
	started   bool     // the first event has arrived
	startedAt Time

	classes     map[string]*class
	classOrder  []*class
	localQuotas map[string]*localQuota // of tenants in the settings, unless the control plane manages them

	requests    map[RequestID]*request
	open        []*request // open requests in order of arrival; finished ones are removed at the next tick
	retryBudget float64    // retries that may be made now

	servers    map[ServerID]*server
	excluded   map[ServerID]bool // servers that the operators exclude, listed or not
	includedAt map[ServerID]Time // when the operators last included a server again
	endpoints  endpointLists
	poll       pollState
	subset     subsetState

	latency  latencyEstimates
	load     loadEstimates
	arrivals arrivalEstimates
	weights  weightEstimates
	shedding sheddingState

	fleet *fleetState // nil without Settings.Fleet
}

// New returns the module of a node that has just started.
func New(s Settings, seed int64) *Module {
	m := &Module{
		random:      newRandomSource(seed),
		retryBudget: maxRetryBudget,
		localQuotas: map[string]*localQuota{},
		servers:     map[ServerID]*server{},
		excluded:    map[ServerID]bool{},
		includedAt:  map[ServerID]Time{},
		requests:    map[RequestID]*request{},
		load:        newLoadEstimates(),
	}
	m.configure(s)
	m.load.nodeShare = 1 / float64(m.settings.Nodes)
	m.weights.mean = m.weights.max
	return m
}

// configure applies the initial or changed settings. A class that changes keeps the estimates learned for it.
func (m *Module) configure(s Settings) {
	s.Nodes = max(1, s.Nodes)
	if !s.SendsRetryAfter {
		s.MaxRetryAfter = 0
	}
	m.settings = &s
	m.configureClasses()
	switch {
	case !s.Fleet:
		m.fleet = nil
	case m.fleet == nil:
		m.fleet = newFleetState(m.now)
	}
	if m.fleet != nil {
		m.fleet.adoptTenants(s.Tenants)
	}
	m.configureLocalQuotas()
}

func (m *Module) configureClasses() {
	previous := m.classes
	m.classes = map[string]*class{}
	m.classOrder = nil
	m.weights.max = 0
	for _, settings := range m.settings.Classes {
		c := m.ensureClass(settings.Name)
		if old := previous[settings.Name]; old != nil {
			*c = *old
		}
		c.Class = settings
		m.weights.max = max(m.weights.max, settings.PriorityWeight)
	}
}

// Handle processes an event and returns the actions that the caller must carry out, in order.
func (m *Module) Handle(now Time, e Event) []Action {
	m.now, m.actions = now, nil
	if !m.started {
		m.start()
	}
	switch e := e.(type) {
	case RequestArrived:
		m.handleArrival(e)
	case EndpointUpdate:
		m.handleEndpointUpdate(e)
	case AttemptEnded:
		m.handleAttemptEnd(e)
	case StreamStarted:
		m.handleStreamStart(e)
	case BodyStarted:
		m.handleBodyStart(e)
	case RequestAbandoned:
		m.handleAbandonment(e)
	case ServerExcluded:
		m.excluded[e.Server] = true
		m.applyExclusion(e.Server)
	case ServerIncluded:
		delete(m.excluded, e.Server)
		m.includedAt[e.Server] = e.At
		m.applyExclusion(e.Server)
	case SettingsChanged:
		m.configure(e.Settings)
		m.rebuildEndpointLists()
	case ZoneDirective, TenantUpdate, QuotaLease, FleetSynced:
		m.handleFleetEvent(e)
	case TimerFired:
		m.tick()
		m.setTimer()
	}
	return m.actions
}

// start initialises the state that depends on the time of the first event.
func (m *Module) start() {
	m.started = true
	m.startedAt = m.now
	m.shedding.periodStart = m.now
	m.poll = m.firstPoll()
	m.subset.size = minSubsetSize
	m.setTimer()
}

// setTimer starts the timer of the next tick, the only timer in use.
func (m *Module) setTimer() {
	m.emit(SetTimer{After: max(tickInterval, m.settings.MinTick)})
}

// tick performs one periodic round of checks.
func (m *Module) tick() {
	m.updateEstimates()
	m.checkServers()
	m.checkOpenRequests()
	if m.now-m.shedding.periodStart >= sheddingInterval {
		m.beginSheddingPeriod()
	}
	m.pollEndpoints()
}

// checkServers ejects silent servers and adds the others' mean excess over H to the shedding period.
func (m *Module) checkServers() {
	excess, count := 0.0, 1e-9
	for _, s := range m.subset.servers {
		m.detectSilence(s)
		if s.outlier.ejected {
			continue
		}
		count++
		if m.overloadMode(s) != Normal {
			excess += m.excessLoad(s)
		}
	}
	m.shedding.excess += excess / count
	m.shedding.rounds++
}

// checkOpenRequests ends requests whose deadline has passed without an answer, drops finished requests from
// the list of open ones and marks stuck attempts.
func (m *Module) checkOpenRequests() {
	open := m.open[:0]
	for _, r := range m.open {
		if r.mayForward() && m.now >= r.deadline {
			m.endUnserved(r)
		}
		if !r.done {
			open = append(open, r)
		}
		m.markStuckAttempts(r)
	}
	m.open = open
}

func (m *Module) emit(a Action) { m.actions = append(m.actions, a) }

// logServer logs a line about a server, unless one was logged within logInterval.
func (m *Module) logServer(s *server, format string, args ...any) {
	if m.now >= s.logMutedUntil {
		s.logMutedUntil = m.now + logInterval
		m.emit(Log{fmt.Sprintf("server %d %s", s.ID, fmt.Sprintf(format, args...))})
	}
}
