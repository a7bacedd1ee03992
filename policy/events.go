package policy

import "time"

// Event is something that happened. The types below and in fleet_events.go are all there are.
type Event interface{ event() }

// Events.
type (
	// RequestArrived is a new request; the module owes it one final answer.
	RequestArrived struct {
		ID          RequestID
		Class       string
		Tenant      string
		Key         string
		Timeout     time.Duration // until the client stops waiting for this request
		WorkHint    time.Duration // expected work, where HasWorkHint
		HasWorkHint bool
		IsRetry     bool // the client has sent it before
		IsWrite     bool
	}
	// EndpointUpdate is a change of the endpoint list.
	EndpointUpdate struct {
		Kind    EndpointUpdateKind
		Version uint64
		Servers []Server
	}
	// AttemptEnded tells how one attempt went. Each Forward gets one.
	AttemptEnded struct {
		ID       RequestID
		Attempt  int
		Server   ServerID
		Answered bool // the request has had its final answer
		Elapsed  time.Duration
		Code     OutcomeCode
		Report   *LoadReport // nil if none came
	}
	// StreamStarted says that a streamed answer has begun.
	StreamStarted struct {
		ID      RequestID
		Attempt int
		Server  ServerID
		Elapsed time.Duration
	}
	// BodyStarted says that a part of a long request's body that is not buffered is being forwarded: the request
	// can't be replayed. The client's time counts from the body's end, and the caller watches it from then on.
	BodyStarted struct {
		ID      RequestID
		Attempt int
	}
	// RequestAbandoned says that the client has gone; nothing is owed.
	RequestAbandoned struct{ ID RequestID }
	// HealthCheckEnded is the result of a HealthCheck.
	HealthCheckEnded struct {
		Server  ServerID
		Code    OutcomeCode
		Elapsed time.Duration
		Report  *LoadReport
	}
	// MessageReceived comes from another node.
	MessageReceived struct {
		From int
		Data []byte
	}
	// TimerFired answers a SetTimer.
	TimerFired struct{ Token int64 }
	// ServerExcluded says that the operators exclude a server, whatever the list says of it, until a
	// ServerIncluded.
	ServerExcluded struct{ Server ServerID }
	// ServerIncluded says that the operators include a server again, and since when: it was restarted before
	// that.
	ServerIncluded struct {
		Server ServerID
		At     Time
	}
	// SettingsChanged brings other settings. What is open keeps the class and the limits that it came under.
	SettingsChanged struct{ Settings Settings }
)

func (RequestArrived) event()   {}
func (EndpointUpdate) event()   {}
func (AttemptEnded) event()     {}
func (StreamStarted) event()    {}
func (BodyStarted) event()      {}
func (RequestAbandoned) event() {}
func (HealthCheckEnded) event() {}
func (MessageReceived) event()  {}
func (TimerFired) event()       {}
func (ServerExcluded) event()   {}
func (ServerIncluded) event()   {}
func (SettingsChanged) event()  {}
