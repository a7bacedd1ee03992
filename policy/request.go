package policy

// class is the definition of a request class and the estimates learned for it.
type class struct {
	Class
	answers      float64
	latency      float64 // s, smoothed over all servers
	fleetLatency float64 // s, smoothed mean over all classes, sampled at this class's answers
	baseline     float64 // s, the lowest recent value of latency
	relativeCost float64 // latency as a multiple of fleetLatency
}

// attempt is one forwarding of a request to a server.
type attempt struct {
	server      *server
	sentAt      Time
	ended       bool
	mayHaveRun  bool // the attempt is in flight, or ended without proof that the request never ran
	released    bool // the attempt no longer counts as load of the server
	stuck       bool // the attempt has been in flight longer than load alone explains
	countedLost bool // the attempt was counted as lost while it was still in flight
	longBody    bool // the attempt forwards a long body while it arrives
}

// request is the state of a client's request until all its attempts have ended.
type request struct {
	id              RequestID
	class           *class
	arrivalSettings *Settings // the settings in force when it arrived
	arrivedAt       Time
	deadline        Time
	attempts        []attempt
	inFlight        int          // number of attempts in flight
	priority        bool         // the request has priority and is shed last
	done            bool         // the client has its final answer or is gone
	streaming       bool         // the answer has begun
	notReplayable   bool         // the body can't be sent again
	trial           bool         // an attempt went to an ejected server as a trial
	tenant          *fleetTenant // nil if the request names no tenant or there is no control plane
	route           *TenantRoute // selects the servers that may get the request; nil: all servers
}

// mayForward reports whether the state of the request allows another attempt.
func (r *request) mayForward() bool {
	return !r.done && !r.streaming && !r.notReplayable
}

// mayHaveRun reports whether a server may have run the request in one of its attempts.
func (r *request) mayHaveRun() bool {
	for i := range r.attempts {
		if r.attempts[i].mayHaveRun {
			return true
		}
	}
	return false
}

// ensureClass returns the class of this name and creates it if needed. A class that the settings lack is
// non-idempotent and has priority weight 0.
func (m *Module) ensureClass(name string) *class {
	if m.classes[name] == nil {
		m.classes[name] = &class{relativeCost: 1}
		m.classOrder = append(m.classOrder, m.classes[name])
	}
	return m.classes[name]
}

// findAttempt returns a request and its attempt of this number, or nil for both if there is no such attempt.
func (m *Module) findAttempt(id RequestID, number int) (*request, *attempt) {
	r := m.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) {
		return nil, nil
	}
	return r, &r.attempts[number]
}

// release removes an attempt from its server's load. It is called when the attempt has ended, or when its
// duration depends on how fast the client sends or receives a long body.
func (a *attempt) release() {
	if a.released {
		return
	}
	a.released = true
	a.server.inFlight--
	if a.stuck {
		a.server.stuck--
	}
}

func (m *Module) handleStreamStart(e StreamStarted) {
	r, a := m.findAttempt(e.ID, e.Attempt)
	if a == nil {
		return
	}
	r.streaming = true
	a.server.outlier.unanswered = 0
	m.learnLatency(a.server, r.class, e.Elapsed)
	a.release()
}

func (m *Module) handleBodyStart(e BodyStarted) {
	if r, a := m.findAttempt(e.ID, e.Attempt); a != nil {
		r.notReplayable, a.longBody = true, true
		a.release()
		m.uncountSend(a)
	}
}

func (m *Module) handleAbandonment(e RequestAbandoned) {
	if r := m.requests[e.ID]; r != nil && !r.done {
		m.closeRequest(r)
	}
}

// closeRequest marks a request as done, cancels its attempts in flight where that is allowed, and deletes it
// if no attempt is in flight.
func (m *Module) closeRequest(r *request) {
	r.done = true
	r.releaseTenant()
	for i := range r.attempts {
		if r.arrivalSettings.MayCancel && !r.attempts[i].ended && !r.streaming {
			m.emit(CancelAttempt{ID: r.id, Attempt: i})
		}
	}
	if r.inFlight == 0 {
		delete(m.requests, r.id)
	}
}
