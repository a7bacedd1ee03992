// Package policy makes the decisions of a load-balancing proxy node: which
// server gets a request, when another attempt is made, when a request is
// refused. It does no I/O, reads no clock and starts no goroutine: the caller
// feeds it events and carries out the actions it returns.
//
// This file is the interface, state.go what is kept; the other files decide.
package policy

import "time"

// Time is a reading of the caller's monotonic clock. Its zero has no meaning.
type Time = time.Duration

// ServerID names a server, RequestID one try of a client's request. Both are
// opaque.
type (
	ServerID  uint32
	RequestID string
)

// Idempotency says what a second execution of a request would do.
type Idempotency int

const (
	// NonIdempotent requests must never run twice.
	NonIdempotent Idempotency = iota
	// IdempotentByKey requests carry a key by which a group of servers drops repeats.
	IdempotentByKey
	// Idempotent requests may run any number of times.
	Idempotent
)

// KeyScope is the group of servers that share knowledge of keys.
type KeyScope int

const (
	// KeyScopeCell is one cell of servers.
	KeyScopeCell KeyScope = iota
	// KeyScopeZone is one zone.
	KeyScopeZone
	// KeyScopeAll is every server.
	KeyScopeAll
)

// Class describes one kind of request.
type Class struct {
	Name             string
	PriorityWeight   float64       // of one request
	LatencyObjective time.Duration // an answer within this time has full worth
	ObjectivePerWork float64       // the aim grows by this many times the request's work
	Deadline         time.Duration // the client's total patience, over all its tries
	LateWeight       float64       // part of the worth for an answer past the aim
	Idempotency      Idempotency
	KeyScope         KeyScope      // for Keyed: the group that drops repeats
	DedupWindow      time.Duration // for Keyed: how long the group remembers
	Streamed         bool          // the answer is a stream
}

// Tenant is a customer with a guaranteed share.
type Tenant struct {
	Name  string
	Quota float64 // requests each second over all nodes
	Share float64
}

// Settings is what a node is told at its start.
type Settings struct {
	Nodes     int    // how many nodes decide for these servers
	NodeIndex int    // this node's number among them
	Zone      string // this node's zone
	Zones     []string
	Kinds     []string // machine kinds
	Classes   []Class
	Tenants   []Tenant

	MaxAttempts         int           // for one request
	MayHedge            bool          // two attempts of a request may be out at once
	MayCancel           bool          // CancelAttempt is allowed
	MayHealthCheck      bool          // Probe is allowed
	MayMessagePeers     bool          // SendMessage is allowed
	SendsRetryAfter     bool          // clients are told Refuse.HoldOff
	MaxRetryAfter       time.Duration // the longest hold-off that clients follow
	ClientsMarkRetries  bool          // clients mark their repeats
	ConnectTimeout      time.Duration
	MinTick             time.Duration    // events come no closer together than this
	PollsEndpoints      bool             // list changes come only after Subscribe or FetchList
	WeightKnown         bool             // Server.Size tells something of the machine's size
	WeightFallsWithLoad bool             // Server.Size falls as the server fills
	OverQuotaWeight     float64          // worth of a request over its tenant's share, as a part
	WeightByWork        bool             // worth counts by unit of work, not by request
	LoadReportSource    LoadReportSource // where load reports come from
	LoadReportFields    []string         // names of the values in them

	Family             string   // the kind of service
	TierIndex          int      // the tier that this node sends to, by its place in Tiers
	Tiers              []string // names of the tiers
	KeyAffinity        bool     // a server that met a key lately needs less work for it
	PropagatesDeadline bool     // a server's calls to the next tier carry what is left of the request's time
	MaxStreamsPerConn  int      // attempts that one connection carries at once
	ConnIdleTimeout    time.Duration
	MaxOpenRequests    int           // requests that this node can have open
	CPUPerSecond       time.Duration // what this node may spend on decisions
	CPUPerRequest      time.Duration // the same for a request with its outcomes; 0: no limit
	Goal               Goal
	Prices             Prices

	AnswerSlack          time.Duration // a final answer this long past the deadline still counts
	MaxPollInterval      time.Duration // without a subscription, ask at least this often
	DrainGrace           time.Duration // sends to a draining server must have stopped by then
	SlowStartMinCapacity float64       // part of its capacity a server starts with, at least
	SlowStartWindow      time.Duration // a started server is warm after this time
	OverloadFactor       float64       // a cold server falls over beyond this multiple of its capacity
	OverloadDuration     time.Duration // when that lasts so long

	Fleet bool // the fleet's facts are told (fleet_events.go); a tenant that none names is refused
}

// Goal weighs the parts of the result.
type Goal struct{ Total, WorstWindow, WorstClass, WorstTenant float64 }

// Prices are points off the result, each for one unit of what it names.
type Prices struct {
	Connection, Handshake, CrossZone, WastedWork, LateFailure, HealthCheck, Message, Migrations, Origin, ListLines, Fleet float64
}

// LoadReportSource is the way load reports reach a node.
type LoadReportSource int

const (
	// LoadReportsNone means there are none.
	LoadReportsNone LoadReportSource = iota
	// LoadReportsByHealthCheck means only probe results carry them.
	LoadReportsByHealthCheck
	// LoadReportsByAnswer means outcomes carry them too.
	LoadReportsByAnswer
)

// LoadReport is a server's own account of its load. It is late and not exact.
type LoadReport struct {
	InFlight, Queue       float64 // requests held; requests waiting
	HasInFlight, HasQueue bool
	Utilisation           float64 // 0 if absent
	ServiceTime           time.Duration
	Rate, ErrorRate       float64 // each second
}

// ServerState is what discovery says of a server.
type ServerState int

const (
	// Ready servers take requests.
	Ready ServerState = iota
	// Draining servers finish what they have.
	Draining
	// Removed servers have been removed.
	Removed
)

// Server is an entry of the server list.
type Server struct {
	ID        ServerID
	Zone      string
	Kind      string
	Cell      int
	State     ServerState
	Weight    float64 // without unit; compare with other servers
	StartedAt Time    // 0: long ago
	Name      string  // as discovery has it; only where Settings.Fleet is set
}

// Event is something that happened. The types below are all there are.
type Event interface{ event() }

// EndpointUpdateKind is the form of a ListUpdate.
type EndpointUpdateKind int

const (
	// EndpointsChanged holds only the changed entries.
	EndpointsChanged EndpointUpdateKind = iota
	// EndpointsComplete holds all; a server not in it is gone.
	EndpointsComplete
	// EndpointsCached is a full list as this node had it last; it can be old.
	EndpointsCached
	// EndpointsFailed has no entries: a call failed or the subscription broke.
	EndpointsFailed
)

// OutcomeCode tells how an attempt or a probe ended.
type OutcomeCode int

const (
	// OK: served.
	OK OutcomeCode = iota
	// ServerError: the server failed; it may have run.
	ServerError
	// Rejected: turned away unseen.
	Rejected
	// TimedOut: no answer in time; it may have run and may run still.
	TimedOut
	// ConnectFailed: never sent.
	ConnectFailed
	// Reset: the connection broke; it may have run.
	Reset
	// Cancelled: called off; it may have run.
	Cancelled
	// NotSent: not sent, as the request was over.
	NotSent
)

// Events.
type (
	// RequestArrived is a new request; the module owes it one final answer.
	RequestArrived struct {
		ID          RequestID
		Class       string
		Tenant      string
		Key         string
		Timeout     time.Duration // until the client stops waiting for this try
		WorkHint    time.Duration // expected work, where HasHint
		HasWorkHint bool
		IsRetry     bool // the client has tried before
		IsWrite     bool
	}
	// EndpointUpdate is news of the servers.
	EndpointUpdate struct {
		Kind    EndpointUpdateKind
		Version uint64
		Servers []Server
	}
	// AttemptEnded tells how one attempt went. Each Send gets one.
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
	// BodyStarted says that a part of a long request's body that is not
	// kept is passed on: no further attempt can be made. The client's time
	// counts from the body's end, and the caller keeps it from then on.
	BodyStarted struct {
		ID      RequestID
		Attempt int
	}
	// RequestAbandoned says that the client is gone; nothing is owed.
	RequestAbandoned struct{ ID RequestID }
	// HealthCheckEnded is the result of a Probe.
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
	// ServerExcluded says that the operators take a server out, whatever
	// the list says of it, until a ServerIncluded.
	ServerExcluded struct{ Server ServerID }
	// ServerIncluded says that the operators gave a server back, and when:
	// it was restarted before that.
	ServerIncluded struct {
		Server ServerID
		At     Time
	}
	// SettingsChanged brings other settings. What is open keeps the class
	// and the limits that it came under.
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

// Action is something the caller is to do. The types below are all there are.
type Action interface{ action() }

// Actions.
type (
	// Forward starts an attempt; a request's attempts count 0, 1, 2 in this order.
	Forward struct {
		ID      RequestID
		Server  ServerID
		Timeout time.Duration // 0: until the client stops waiting
	}
	// Reject is a final answer: a new try does no harm.
	Reject struct {
		ID         RequestID
		RetryAfter time.Duration // how long the client should wait; 0: no advice
	}
	// Fail is a final answer that promises nothing.
	Fail struct{ ID RequestID }
	// CancelAttempt stops waiting for an attempt.
	CancelAttempt struct {
		ID      RequestID
		Attempt int
	}
	// SetTimer asks for a TimerFired.
	SetTimer struct {
		After time.Duration
		Token int64
	}
	// HealthCheck checks a server.
	HealthCheck struct{ Server ServerID }
	// SendMessage goes to one node, or to all.
	SendMessage struct {
		To    int
		ToAll bool
		Data  []byte
	}
	// Subscribe asks discovery for changes from now on, or stops them.
	Subscribe struct{ On bool }
	// FetchEndpoints asks discovery for the full list once.
	FetchEndpoints struct{}
	// CloseIdleConnections closes this node's idle connections to a server.
	CloseIdleConnections struct{ Server ServerID }
	// Log is a line for the operators.
	Log struct{ Line string }
)

func (Forward) action()              {}
func (Reject) action()               {}
func (Fail) action()                 {}
func (CancelAttempt) action()        {}
func (SetTimer) action()             {}
func (HealthCheck) action()          {}
func (SendMessage) action()          {}
func (Subscribe) action()            {}
func (FetchEndpoints) action()       {}
func (CloseIdleConnections) action() {}
func (Log) action()                  {}
