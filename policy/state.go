package policy

// The state that the policy keeps, and its source of random numbers. Nothing is decided here.

import (
	"fmt"
	"math"
	"time"
)

// Mode is the overload state of a server as this node sees it: the paper's s = 0, 1, 2.
type Mode int

const (
	Normal Mode = iota
	Overloaded
	Blocking
)

type server struct {
	Server
	mode, told, imposed Mode // by own count; by reports; by a full answer or a report, until it lapses
	imposedUntil        Time
	n, stuck, report    float64 // own attempts in flight; the stuck ones of them; requests it last reported to hold
	dither              float64 // in [0,1), drawn each period
	excess, rate        float64 // s, smoothed latency of a mean request over m.mean; own answers each second, smoothed
	latencyAt, rateAt   Time
	since, reportAt     Time    // first listed; last report
	strikes, unanswered int     // failures since the last success; sends since the last answer
	errors              float64 // part of its answers that are errors, smoothed
	muteSince           Time    // the first of those sends
	suspect, cold       bool
	out                 bool // taken out by the operators
	lost                bool // a connection broke or failed since the last success
	chosen              int  // the last choice of a subset that it was in
	trialAt, coldSince  Time
	trialWait, backoff  time.Duration // backoff: added to a block after full answers in a row
	tokens              float64       // sends that its budget allows while cold
	tokensAt            Time
	quietUntil          Time // no log line about it until then
	peers               *peers
	place               uint64  // in the order of servers that all nodes share
	pace                float64 // sends that its zone's rate allows
	paceAt              Time
	seen                evidence
	lostAt              Time // when an attempt was last lost as a zone's loss ends it, with none answered since; 0: never
}

// peers are the servers of a kind, or all: how fast warm ones answer this node.
type peers struct {
	rate, count float64 // of this round: answers/s, servers
	able, usual float64 // answers/s of one: the most of late; smoothed for long
}

type class struct {
	Class
	count, latency          float64 // answers; s, smoothed over all servers
	ambient, base, relative float64 // s, m.mean at the times of its answers; the least that latency has been;
	// and its cost as a multiple of the mean request's
}

type attempt struct {
	server        *server
	sent          Time
	ended, mayRun bool // mayRun: out, or ended without proof that it never ran
	relieved      bool // no longer counted as the server's load
	stuck         bool // out for so long that load alone does not explain it
	silent        bool // counted as lost although it is still out
}

type request struct {
	id                             RequestID
	class                          *class
	rules                          *Settings // those it came under
	arrived, deadline              Time
	attempts                       []attempt
	out                            int
	priority, done, started, trial bool         // done: it has its final answer; started: a stream has begun
	sealed                         bool         // its body can't be sent again
	brand                          *brand       // its tenant, where the fleet's facts are told
	route                          *TenantRoute // the only servers that it may go to; nil: all
}

type tenant struct {
	perNode, tokens float64
	at              Time
}

// Module decides for one node. It is not safe for concurrent use.
type Module struct {
	set                *Settings
	rng                uint64
	now, periodAt      Time
	out                []Action
	classes            map[string]*class
	order              []*class
	tenants            map[string]*tenant
	known              map[ServerID]*server
	excluded           map[ServerID]bool // taken out by the operators, listed or not
	back               map[ServerID]Time // when the operators last gave it back
	list, ring, near   []*server         // those not gone, in an order that all nodes share; the ready ones; the subset in use
	requests           map[RequestID]*request
	open               []*request // in order of arrival
	ticking, learned   bool
	answers            float64
	mean, base, aimed  float64 // s: smoothed latency; uncrowded; at which every class still meets its aim
	arrivals, rate     float64 // requests that come each second, smoothed; the same, unbiased from the first one on
	own                float64 // part of the ready servers that is in this node's zone
	size               float64 // servers that the subset is to have
	arrivedAt, startAt Time
	choices            int     // of subsets, so far
	fleetRate, peak    float64 // answers each second from the mean server; the most that this has been
	all                *peers
	kinds              map[string]*peers
	recent             float64 // s; a faster mean
	answeredAt         Time
	least              float64 // s; the least that mean has been
	share              float64 // this node's part of all requests at servers
	n1, n2, q1, q2     float64 // priority and other arrivals of this period; drop probabilities
	fill, ticks        float64 // sum of how far the fleet was above H, over this period's ticks
	worth, top         float64 // of the mean request; of the class with the most
	budget             float64 // further attempts allowed
	subscribed, asking bool
	askAt              Time
	askWait            time.Duration
	fleet              *fleet
}

// New makes the module of a node that has just started.
func New(s Settings, seed int64) *Module {
	m := &Module{rng: uint64(seed)*2 + 1, budget: retryBurst, tenants: map[string]*tenant{}, known: map[ServerID]*server{},
		excluded: map[ServerID]bool{}, back: map[ServerID]Time{}, requests: map[RequestID]*request{}, all: &peers{}, kinds: map[string]*peers{}}
	m.configure(s)
	m.share = 1 / float64(m.set.Nodes)
	m.worth = m.top
	return m
}

// configure takes the settings of the start, or changed ones. Of a class that has changed, what was learned holds.
func (m *Module) configure(s Settings) {
	s.Nodes = max(1, s.Nodes)
	if !s.SendsRetryAfter {
		s.MaxRetryAfter = 0
	}
	classes, tenants := m.classes, m.tenants
	m.set, m.classes, m.order, m.top, m.tenants = &s, map[string]*class{}, nil, 0, map[string]*tenant{}
	for _, c := range s.Classes {
		k := m.classOf(c.Name)
		if was := classes[c.Name]; was != nil {
			*k = *was
		}
		k.Class, m.top = c, math.Max(m.top, c.PriorityWeight)
	}
	if m.fleet == nil && s.Fleet {
		m.fleet = newFleet(m.now)
	} else if !s.Fleet {
		m.fleet = nil
	}
	if m.fleet != nil {
		m.fleet.adopt(s.Tenants)
	}
	for _, t := range s.Tenants {
		if m.fleet.governs(t.Name) {
			continue
		}
		k := &tenant{}
		if was := tenants[t.Name]; was != nil {
			*k = *was
		}
		k.perNode = t.Quota / float64(s.Nodes)
		m.tenants[t.Name] = k
	}
}

// classOf knows every class: one that the settings lack is unsafe and of no worth.
func (m *Module) classOf(name string) *class {
	if m.classes[name] == nil {
		m.classes[name] = &class{relative: 1}
		m.order = append(m.order, m.classes[name])
	}
	return m.classes[name]
}

func (m *Module) serverOf(id ServerID) *server {
	if m.known[id] == nil {
		m.known[id] = &server{since: m.now, quietUntil: m.now, place: mix(uint64(id) * 0x9e3779b97f4a7c15)}
	}
	return m.known[id]
}

func (m *Module) do(a Action) { m.out = append(m.out, a) }

// note logs a line about a server, at most one in 5 s, so that one that fails and recovers all the time fills no disk.
func (m *Module) note(s *server, line string) {
	if m.now >= s.quietUntil {
		s.quietUntil = m.now + 5*time.Second
		m.do(Log{fmt.Sprintf("server %d %s", s.ID, line)})
	}
}

func decay(since time.Duration, tau float64) float64 { return math.Exp(-since.Seconds() / tau) }

// mix spreads the bits of a number (splitmix64).
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// random gives a number in [0,1).
func (m *Module) random() float64 {
	m.rng += 0x9e3779b97f4a7c15
	return float64(mix(m.rng)>>11) / (1 << 53)
}

func (m *Module) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + m.random()))
}

// rateOf is unbiased from the first second on.
func (m *Module) rateOf(s *server) float64 {
	return s.rate * decay(m.now-s.rateAt, rateTau) / (1 - decay(m.now-s.since+tickEvery, rateTau))
}

// latencyOf lets a value that is not renewed drift to the fleet's mean, so that the server is tried again.
func (m *Module) latencyOf(s *server) float64 {
	return m.mean + s.excess*decay(m.now-s.latencyAt, staleTau)
}

func (m *Module) sparse() bool { return m.rate*validity.Seconds() < float64(len(m.near)) }

func (m *Module) impose(s *server, mode Mode) { s.imposed, s.imposedUntil = mode, m.now+validity }

// startCold gives a cold server's budget a random beginning: a first request from every node at once would be
// a burst that none of them sees. What an older process answered says nothing of this one. A budget that was
// spent stays so where it is cold already: news of one start may come twice, and a trial is a guess.
func (m *Module) startCold(s *server, at Time) {
	tokens := m.random()
	if s.cold {
		tokens = math.Min(tokens, s.tokens)
	}
	s.cold, s.coldSince, s.tokens, s.tokensAt, s.rate = true, at, tokens, m.now, 0
}

func (m *Module) peersOf(kind string) *peers {
	if m.kinds[kind] == nil {
		m.kinds[kind] = &peers{}
	}
	return m.kinds[kind]
}

// add counts a warm server's answers of the last seconds. They are not scaled up where less time has passed: a
// node that has just started would take its first answers for a fast fleet.
func (k *peers) add(late float64) { k.rate, k.count = k.rate+late, k.count+1 }

// close ends a round of readings. The most of late is of all kinds: of one kind a node of many has few answers,
// and the most of few is far above their mean; so a kind's part is smoothed for long. With none warm the last
// word holds.
func (k *peers) close() {
	if k.count > 0 {
		k.able = math.Max(k.rate/k.count, k.able*decay(tickEvery, rateMemory))
		k.usual += (k.rate/k.count - k.usual) * tickEvery.Seconds() / kindTau
	}
	k.rate, k.count = 0, 0
}

// attemptOf gives an attempt and its request; nil if there is none such.
func (m *Module) attemptOf(id RequestID, n int) (*request, *attempt) {
	if r := m.requests[id]; r != nil && n >= 0 && n < len(r.attempts) {
		return r, &r.attempts[n]
	}
	return nil, nil
}

// relieve takes an attempt out of its server's count: it has ended, or lasts as long as its client takes over
// a long body.
func (m *Module) relieve(a *attempt) {
	if !a.relieved {
		a.relieved = true
		a.server.n--
		if a.stuck {
			a.server.stuck--
		}
	}
}

// use takes a server into the subset.
func (m *Module) use(s *server) {
	s.chosen = m.choices
	m.near = append(m.near, s)
}

// sharers is how many nodes have a server in their subsets, on average: what all nodes together may do at a
// server is divided among them.
func (m *Module) sharers() float64 {
	return float64(m.set.Nodes*max(1, len(m.near))) / float64(max(1, len(m.ring)))
}
