package policy

import "time"

// Event is something that has happened at the node. The types in this file and in fleet_events.go are all the
// events.
type Event interface{ event() }

// Events.
type (
	// RequestArrived is a new request, to which the module must give exactly one final answer.
	RequestArrived struct {
		ID          RequestID
		Class       string
		Tenant      string
		Key         string
		Timeout     time.Duration // until the client stops waiting for this request
		WorkHint    time.Duration // expected work, if HasWorkHint is set
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
	// AttemptEnded is the outcome of an attempt. Each Forward leads to exactly one.
	AttemptEnded struct {
		ID       RequestID
		Attempt  int
		Server   ServerID
		Answered bool // the request has received its final answer
		Elapsed  time.Duration
		Code     OutcomeCode
		Report   *LoadReport // nil if the outcome carries none
	}
	// StreamStarted says that the streamed answer of an attempt has begun.
	StreamStarted struct {
		ID      RequestID
		Attempt int
		Server  ServerID
		Elapsed time.Duration
	}
	// BodyStarted says that the caller forwards a part of a long request body without buffering it, so that
	// the request can't be replayed. The client's timeout counts from the end of the body; the caller
	// enforces it from then on.
	BodyStarted struct {
		ID      RequestID
		Attempt int
	}
	// RequestAbandoned says that the client has disconnected; the request needs no answer any more.
	RequestAbandoned struct{ ID RequestID }
	// HealthCheckEnded is the result of a HealthCheck.
	HealthCheckEnded struct {
		Server  ServerID
		Code    OutcomeCode
		Elapsed time.Duration
		Report  *LoadReport
	}
	// MessageReceived is a message from another node.
	MessageReceived struct {
		From int
		Data []byte
	}
	// TimerFired says that the delay of a SetTimer has passed.
	TimerFired struct{ Token int64 }
	// ServerExcluded says that the operators have excluded a server. The exclusion holds regardless of the
	// endpoint list, until a ServerIncluded.
	ServerExcluded struct{ Server ServerID }
	// ServerIncluded says that the operators have included a server again at the time At. The server was
	// restarted before that.
	ServerIncluded struct {
		Server ServerID
		At     Time
	}
	// SettingsChanged replaces the settings. Open requests keep the class and the limits under which they
	// arrived.
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
