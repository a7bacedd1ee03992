package policy

import "time"

// Idempotency says whether a request may be executed more than once.
type Idempotency int

const (
	// NonIdempotent requests must not be executed twice.
	NonIdempotent Idempotency = iota
	// IdempotentByKey requests carry an idempotency key by which a group of servers drops duplicates.
	IdempotentByKey
	// Idempotent requests may be executed any number of times.
	Idempotent
)

// KeyScope is the group of servers that share knowledge of idempotency keys.
type KeyScope int

const (
	// KeyScopeCell is the servers of one cell.
	KeyScopeCell KeyScope = iota
	// KeyScopeZone is the servers of one zone.
	KeyScopeZone
	// KeyScopeAll is all servers.
	KeyScopeAll
)

// Class describes one kind of request.
type Class struct {
	Name             string
	PriorityWeight   float64       // value of a request that is answered within its latency objective
	LatencyObjective time.Duration // an answer within this time has the full value
	ObjectivePerWork float64       // multiple of the request's work that is added to the objective
	Deadline         time.Duration // how long the client waits in total, including its own retries
	LateWeight       float64       // fraction of the value that an answer after the objective still has
	Idempotency      Idempotency
	KeyScope         KeyScope      // for IdempotentByKey: the group that drops duplicates
	DedupWindow      time.Duration // for IdempotentByKey: how long the group remembers a key
	Streamed         bool          // the answer is a stream
}

// Tenant is a customer with a guaranteed quota.
type Tenant struct {
	Name  string
	Quota float64 // requests/s over all nodes
	Share float64 // fraction of the capacity that the quota corresponds to
}

// Settings is the configuration of a node. SettingsChanged replaces it at run time.
type Settings struct {
	Nodes     int    // number of nodes that use these servers
	NodeIndex int    // index of this node among them
	Zone      string // this node's zone
	Zones     []string
	Kinds     []string // machine kinds
	Classes   []Class
	Tenants   []Tenant

	MaxAttempts         int           // most attempts of one request
	MayHedge            bool          // two attempts of a request may be in flight at once
	MayCancel           bool          // CancelAttempt is allowed
	MayHealthCheck      bool          // HealthCheck is allowed
	MayMessagePeers     bool          // SendMessage is allowed
	SendsRetryAfter     bool          // clients are sent Reject.RetryAfter
	MaxRetryAfter       time.Duration // the longest Retry-After that clients follow
	ClientsMarkRetries  bool          // clients mark retries, so that RequestArrived.IsRetry is set
	ConnectTimeout      time.Duration
	MinTick             time.Duration    // least time between two events
	PollsEndpoints      bool             // changes of the list arrive only after Subscribe or FetchEndpoints
	WeightKnown         bool             // Server.Weight depends on the machine's size
	WeightFallsWithLoad bool             // Server.Weight falls as the server's load rises
	OverQuotaWeight     float64          // fraction of its value that a request over its tenant's quota has
	WeightByWork        bool             // value is counted per unit of work, not per request
	LoadReportSource    LoadReportSource // where load reports come from
	LoadReportFields    []string         // names of the values in load reports

	Family             string   // the kind of service
	TierIndex          int      // index in Tiers of the tier that this node forwards to
	Tiers              []string // names of the tiers
	KeyAffinity        bool     // a server needs less work for a key that it handled recently
	PropagatesDeadline bool     // a server's calls to the next tier carry the request's remaining time
	MaxStreamsPerConn  int      // concurrent attempts per connection
	ConnIdleTimeout    time.Duration
	MaxOpenRequests    int           // requests that this node can have open
	CPUPerSecond       time.Duration // CPU time per second that this node may spend on decisions
	CPUPerRequest      time.Duration // CPU time that it may spend on a request and its outcomes; 0: no limit
	Goal               Goal
	Prices             Prices

	AnswerSlack          time.Duration // time after the deadline in which a final answer still counts
	MaxPollInterval      time.Duration // longest time between polls of the endpoint list without a subscription
	DrainGrace           time.Duration // time in which attempts to a draining server must stop
	SlowStartMinCapacity float64       // least fraction of its capacity that a server starts with
	SlowStartWindow      time.Duration // time in which a started server warms up
	OverloadFactor       float64       // multiple of its capacity beyond which a server that is warming up fails
	OverloadDuration     time.Duration // how long such an overload must last for the server to fail

	Fleet bool // the control plane sends fleet events (fleet_events.go); unknown tenants are rejected
}

// Goal holds the weights of the parts of the result.
type Goal struct {
	Total       float64
	WorstWindow float64
	WorstClass  float64
	WorstTenant float64
}

// Prices are the points that the result loses for each unit of the named quantity.
type Prices struct {
	Connection, Handshake, CrossZone, WastedWork, LateFailure, HealthCheck, Message, Migrations, Origin,
	ListLines, Fleet float64
}

// LoadReportSource says how load reports reach a node.
type LoadReportSource int

const (
	// LoadReportsNone means that there are no load reports.
	LoadReportsNone LoadReportSource = iota
	// LoadReportsByHealthCheck means that only results of health checks carry load reports.
	LoadReportsByHealthCheck
	// LoadReportsByAnswer means that outcomes of attempts carry load reports too.
	LoadReportsByAnswer
)
