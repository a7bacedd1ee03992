package policy

import "time"

// Idempotency says what a second execution of a request would do.
type Idempotency int

const (
	// NonIdempotent requests must never run twice.
	NonIdempotent Idempotency = iota
	// IdempotentByKey requests carry an idempotency key by which a group of servers drops repeats.
	IdempotentByKey
	// Idempotent requests may run any number of times.
	Idempotent
)

// KeyScope is the group of servers that share knowledge of idempotency keys.
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
	PriorityWeight   float64       // value of one request that is answered within its latency objective
	LatencyObjective time.Duration // an answer within this time has the full value
	ObjectivePerWork float64       // the objective grows by this many times the request's work
	Deadline         time.Duration // how long the client waits in all, over its own retries
	LateWeight       float64       // part of the value that an answer past the objective still has
	Idempotency      Idempotency
	KeyScope         KeyScope      // for IdempotentByKey: the group that drops repeats
	DedupWindow      time.Duration // for IdempotentByKey: how long the group remembers a key
	Streamed         bool          // the answer is a stream
}

// Tenant is a customer with a guaranteed quota.
type Tenant struct {
	Name  string
	Quota float64 // requests/s over all nodes
	Share float64 // part of the capacity that the quota stands for
}

// Settings are what a node is given at its start.
type Settings struct {
	Nodes     int    // how many nodes use these servers
	NodeIndex int    // this node's number among them
	Zone      string // this node's zone
	Zones     []string
	Kinds     []string // machine kinds
	Classes   []Class
	Tenants   []Tenant

	MaxAttempts         int           // of one request
	MayHedge            bool          // two attempts of a request may be in flight at once
	MayCancel           bool          // CancelAttempt is allowed
	MayHealthCheck      bool          // HealthCheck is allowed
	MayMessagePeers     bool          // SendMessage is allowed
	SendsRetryAfter     bool          // clients are sent Reject.RetryAfter
	MaxRetryAfter       time.Duration // the longest Retry-After that clients follow
	ClientsMarkRetries  bool          // RequestArrived.IsRetry is set
	ConnectTimeout      time.Duration
	MinTick             time.Duration    // events come no closer together than this
	PollsEndpoints      bool             // list changes come only after Subscribe or FetchEndpoints
	WeightKnown         bool             // Server.Weight tells something of the machine's size
	WeightFallsWithLoad bool             // Server.Weight falls as the server fills
	OverQuotaWeight     float64          // value of a request over its tenant's quota, as a part
	WeightByWork        bool             // value counts by unit of work, not by request
	LoadReportSource    LoadReportSource // where load reports come from
	LoadReportFields    []string         // names of the values in them

	Family             string   // the kind of service
	TierIndex          int      // the tier that this node forwards to, by its place in Tiers
	Tiers              []string // names of the tiers
	KeyAffinity        bool     // a server that handled a key recently needs less work for it
	PropagatesDeadline bool     // a server's calls to the next tier carry the request's remaining time
	MaxStreamsPerConn  int      // attempts that one connection carries at once
	ConnIdleTimeout    time.Duration
	MaxOpenRequests    int           // requests that this node can have open
	CPUPerSecond       time.Duration // what this node may spend on decisions
	CPUPerRequest      time.Duration // the same for a request with its outcomes; 0: no limit
	Goal               Goal
	Prices             Prices

	AnswerSlack          time.Duration // a final answer this long past the deadline still counts
	MaxPollInterval      time.Duration // without a subscription the endpoint list is polled at least this often
	DrainGrace           time.Duration // attempts to a draining server must have stopped by then
	SlowStartMinCapacity float64       // part of its capacity that a server starts with, at least
	SlowStartWindow      time.Duration // a started server has warmed up after this time
	OverloadFactor       float64       // a server that warms up fails beyond this multiple of its capacity
	OverloadDuration     time.Duration // when that lasts so long

	Fleet bool // the control plane sends fleet events (fleet_events.go); a tenant that none names is rejected
}

// Goal weighs the parts of the result.
type Goal struct {
	Total       float64
	WorstWindow float64
	WorstClass  float64
	WorstTenant float64
}

// Prices are points off the result, each for one unit of what it names.
type Prices struct {
	Connection, Handshake, CrossZone, WastedWork, LateFailure, HealthCheck, Message, Migrations, Origin,
	ListLines, Fleet float64
}

// LoadReportSource is the way load reports reach a node.
type LoadReportSource int

const (
	// LoadReportsNone means there are none.
	LoadReportsNone LoadReportSource = iota
	// LoadReportsByHealthCheck means only results of health checks carry them.
	LoadReportsByHealthCheck
	// LoadReportsByAnswer means outcomes of attempts carry them too.
	LoadReportsByAnswer
)
