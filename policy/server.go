package policy

// server is the module's state of one server. The types of its fields are declared in the file of their
// subject.
type server struct {
	Server
	firstSeen     Time
	ringPosition  uint64    // position in the order of servers that all nodes share
	kindLoad      *kindLoad // load of the server's machine kind
	excluded      bool      // the operators exclude the server
	logMutedUntil Time

	inFlight float64 // this node's attempts in flight that count as load
	stuck    float64 // attempts among inFlight that have been in flight longer than load alone explains

	overload  overloadState
	report    reportedLoad
	latency   serverLatency
	answers   answerRateEstimate
	outlier   outlierState
	slowStart slowStartState

	subsetGeneration int // generation of the last subset that included the server

	zoneBudget zoneBudget
	window     attemptCounts
	lostAt     Time // when an attempt was last lost; 0 if one was answered since, or none was lost
}

// ensureServer returns the state of a server and creates it if needed.
func (m *Module) ensureServer(id ServerID) *server {
	if m.servers[id] == nil {
		m.servers[id] = &server{
			firstSeen:     m.now,
			logMutedUntil: m.now,
			ringPosition:  mixBits(uint64(id) * splitMixIncrement),
		}
	}
	return m.servers[id]
}
