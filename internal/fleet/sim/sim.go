package sim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/zones"
)

// Sim is the state of one run.
type Sim struct {
	plan      Plan
	settings  zones.Settings
	random    *rand.Rand
	now       time.Duration // real time, which no process reads
	queue     queue
	events    int
	zones     []string
	nodes     []*node
	servers   [][]*server
	capacity  float64 // requests/s that a warm server can handle
	leasePart float64
	control   *control
	hooks     hooks

	breach        *Breach
	result        Result
	lastFault     []time.Duration // by zone: the last time at which a fault justified its evacuation
	directed      map[string]bool // zones that have had a directive in this run
	phaseSince    map[string]time.Duration
	lowestShare   map[string]float64
	firstRevision map[string]uint64
	losses        []*loss

	committed map[string]bool // committed generations by tenant, uid, number and digest
	rollouts  []*rollout
}

// hooks are faults in the fleet's cores that tests inject.
type hooks struct {
	command      func(*zones.Command)
	observe      func(*control, time.Duration, fleet.Report)
	acceptOlder  bool
	joinEarly    bool // a process joins again before it has received the intent that it missed
	serveStaged  bool // nodes serve tenants by the staged generation
	ignoreScopes bool // the tenant controller counts no node that has a scope
	neverExpire  bool
	rateFactor   float64 // factor by which a node multiplies its rates
}

// loss is the loss of one zone, with the time at which each node stopped sending to the zone.
type loss struct {
	zone      int
	start     time.Duration
	end       time.Duration
	stoppedAt map[int]time.Duration
}

// Result holds the figures of one run. Times are in ms.
type Result struct {
	Seed             uint64  `json:"seed"`
	Breach           *Breach `json:"breach,omitempty"`
	Stop95           []int64 `json:"stop95_ms,omitempty"` // from a zone's loss until 95 % of all nodes had stopped sending to the zone
	Spread           []int64 `json:"spread_ms,omitempty"` // from the first of these nodes that stopped to the last
	Unnotified       int     `json:"unheard"`             // losses in which fewer than 95 % of the nodes stopped
	Returned         []int64 `json:"returned_ms,omitempty"`
	Onboard          []int64 `json:"onboard_ms,omitempty"` // from a tenant's change until it is applied on every present node that serves the tenant
	Undone           int     `json:"undone"`               // changes that were rolled back, rejected, or not applied by the end
	WarmingOverloads int     `json:"cold_falls"`
	WrongEvacuations int     `json:"wrong_leaves"`
	Steps            int     `json:"steps"`
	Answered         int     `json:"answered"`
	Rejected         int     `json:"refused"`
	Lost             int     `json:"lost"`
	Retries          int     `json:"further"`
	Events           int     `json:"events"`
}

// Run simulates a plan until its end or its first breach.
func Run(p Plan) Result { return run(p, nil) }

func run(p Plan, inject func(*Sim)) Result {
	s := &Sim{
		plan:          p,
		settings:      zones.Default(p.Nodes),
		random:        rand.New(rand.NewPCG(p.Seed, 2)),
		leasePart:     agentLeasePart,
		directed:      map[string]bool{},
		phaseSince:    map[string]time.Duration{},
		lowestShare:   map[string]float64{},
		firstRevision: map[string]uint64{},
		lastFault:     make([]time.Duration, p.Zones),
		committed:     map[string]bool{},
	}
	s.hooks.rateFactor = 1
	s.settings.SlowStartWindow = 10 * time.Second // a long warming up, with servers of hardly more capacity than the demand
	s.capacity = 1.3 * nodeDemand * float64(p.Nodes) / float64(p.Zones*p.Servers)
	for z := range p.Zones {
		s.zones = append(s.zones, fmt.Sprintf("z%d", z))
		s.lastFault[z] = -time.Hour
		var all []*server
		for range p.Servers {
			all = append(all, &server{running: true, started: -1})
		}
		s.servers = append(s.servers, all)
	}
	s.control = &control{sim: s, intent: &intent{}}
	if inject != nil {
		inject(s)
	}
	for i := range p.Nodes {
		s.newNode(i).start()
	}
	s.control.startTerm()
	for _, f := range p.Faults {
		s.after(f.Start, func() { s.startFault(f) })
	}
	for _, c := range p.Changes {
		s.after(c.Time, func() { s.applyChange(c, 0) })
	}
	for len(s.queue) > 0 && s.breach == nil {
		e := heap.Pop(&s.queue).(event)
		if e.due > p.Duration {
			break
		}
		s.now = e.due
		e.action()
	}
	s.result.Seed = p.Seed
	s.result.Breach = s.breach
	s.result.Events = s.events
	for _, l := range s.losses {
		s.measure(l)
	}
	for _, r := range s.rollouts {
		if r.appliedAt == 0 {
			s.result.Undone++
		} else {
			s.result.Onboard = append(s.result.Onboard, (r.appliedAt - r.proposedAt).Milliseconds())
		}
	}
	return s.result
}

// startFault starts a fault and schedules the actions that are due at its end.
func (s *Sim) startFault(f Fault) {
	switch f.Kind {
	case ZoneLost:
		s.losses = append(s.losses, &loss{zone: f.Zone, start: s.now, end: s.now + f.Duration, stoppedAt: map[int]time.Duration{}})
		s.after(f.Duration, func() { s.restart(f.Zone) })
	case Stall:
		for _, n := range s.nodes {
			if f.affects(n.index) {
				n.stalledUntil = max(n.stalledUntil, s.now+f.Duration)
			}
		}
	case Crash:
		for _, n := range s.nodes {
			if f.affects(n.index) {
				s.crash(n, f.Duration)
			}
		}
	case Rolling:
		for i, n := range s.nodes {
			s.after(f.Duration*time.Duration(i)/time.Duration(len(s.nodes)), func() { s.crash(n, time.Second) })
		}
	case NewLeader:
		s.control.term = 0
		s.after(f.Duration, func() {
			if s.control.term == 0 {
				s.control.startTerm()
			}
		})
	}
}

func (s *Sim) crash(n *node, down time.Duration) {
	if n.down {
		return
	}
	n.down = true
	n.process++
	s.after(down, n.start)
}

// measure adds the times of a loss to the result, or counts the loss as unnotified if fewer than 95 % of the nodes
// stopped sending to the zone.
func (s *Sim) measure(l *loss) {
	var at []time.Duration
	for _, t := range l.stoppedAt {
		at = append(at, t-l.start)
	}
	slices.Sort(at)
	need := (95*len(s.nodes) + 99) / 100
	if len(at) < need {
		s.result.Unnotified++
		return
	}
	s.result.Stop95 = append(s.result.Stop95, at[need-1].Milliseconds())
	s.result.Spread = append(s.result.Spread, (at[need-1] - at[0]).Milliseconds())
}

// recordStop records when a node stops sending to a lost zone.
func (s *Sim) recordStop(n *node, zone int, zeroShare bool) {
	if !zeroShare {
		return
	}
	for _, l := range s.losses {
		if l.zone == zone && s.now >= l.start && s.now < l.end {
			if _, ok := l.stoppedAt[n.index]; !ok {
				l.stoppedAt[n.index] = s.now
			}
		}
	}
}
