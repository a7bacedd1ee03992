package policy

// class is one kind of request, with what was learned of it.
type class struct {
	Class
	answers      float64
	latency      float64 // s, smoothed over all servers
	fleetLatency float64 // s, the mean of all classes at the times of this class's answers
	baseline     float64 // s, the least that latency has been
	relativeCost float64 // latency as a multiple of the mean request's
}

// attempt is one forwarding of a request to a server.
type attempt struct {
	server     *server
	sentAt     Time
	ended      bool
	mayHaveRun bool // in flight, or ended without proof that it never ran
	released   bool // no longer counted as the server's load
	stuck      bool // in flight for so long that load alone does not explain it
	silent     bool // counted as lost although it is still in flight
}

// request is a client's request until its attempts have ended.
type request struct {
	id            RequestID
	class         *class
	rules         *Settings // those that it came under
	arrivedAt     Time
	deadline      Time
	attempts      []attempt
	inFlight      int          // attempts
	priority      bool         // it is shed last
	done          bool         // it has its final answer
	streaming     bool         // its answer has begun
	notReplayable bool         // its body can't be sent again
	trial         bool         // it was sent to an ejected server
	tenant        *fleetTenant // nil: it names none, or there is no control plane
	route         *TenantRoute // the only servers that it may go to; nil: all
}

// mayForward reports whether the request itself allows another attempt.
func (r *request) mayForward() bool {
	return !r.done && !r.streaming && !r.notReplayable
}

// mayHaveRun reports whether one of the request's attempts may have run.
func (r *request) mayHaveRun() bool {
	for i := range r.attempts {
		if r.attempts[i].mayHaveRun {
			return true
		}
	}
	return false
}

// classNamed returns a class. One that the settings lack is non-idempotent and has no weight.
func (m *Module) classNamed(name string) *class {
	if m.classes[name] == nil {
		m.classes[name] = &class{relativeCost: 1}
		m.classOrder = append(m.classOrder, m.classes[name])
	}
	return m.classes[name]
}

// findAttempt returns an attempt and its request, or nil if there is none such.
func (m *Module) findAttempt(id RequestID, number int) (*request, *attempt) {
	r := m.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) {
		return nil, nil
	}
	return r, &r.attempts[number]
}

// release takes an attempt out of its server's count: it has ended, or lasts as long as its client takes over
// a long body.
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
		r.notReplayable = true
		a.release()
	}
}

func (m *Module) handleAbandonment(e RequestAbandoned) {
	if r := m.requests[e.ID]; r != nil && !r.done {
		m.closeRequest(r)
	}
}

// closeRequest forgets a request once its attempts have ended; those still in flight are called off.
func (m *Module) closeRequest(r *request) {
	r.done = true
	r.leaveTenant()
	for i := range r.attempts {
		if r.rules.MayCancel && !r.attempts[i].ended && !r.streaming {
			m.emit(CancelAttempt{ID: r.id, Attempt: i})
		}
	}
	if r.inFlight == 0 {
		delete(m.requests, r.id)
	}
}
