package policy

// server is what the module knows of one server. What concerns one subject is in that subject's file.
type server struct {
	Server
	firstSeen     Time
	ringPosition  uint64    // in the order of servers that all nodes share
	kindLoad      *kindLoad // that of its kind
	excluded      bool      // by the operators
	logMutedUntil Time

	inFlight float64 // own attempts that are in flight
	stuck    float64 // of these, those in flight for longer than load explains

	overload  overloadState
	report    reportedLoad
	latency   serverLatency
	answers   answerRate
	outlier   outlierState
	slowStart slowStartState

	subsetGeneration int // of the last subset that it was in

	zoneBudget zoneBudget
	window     attemptCounts
	lostAt     Time // when an attempt was last lost with none answered since; 0: never
}

// serverByID returns a server, which it makes known if it is not.
func (m *Module) serverByID(id ServerID) *server {
	if m.servers[id] == nil {
		m.servers[id] = &server{
			firstSeen:     m.now,
			logMutedUntil: m.now,
			ringPosition:  mixBits(uint64(id) * splitMixIncrement),
		}
	}
	return m.servers[id]
}
