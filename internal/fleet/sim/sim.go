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

// Sim is a run that goes on.
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
	capacity  float64 // requests/s of a warm server
	leasePart float64
	control   *control
	hooks     hooks

	breach        *Breach
	result        Result
	lastFault     []time.Duration // by zone: when it last gave reason to be left
	directed      map[string]bool // zones that a directive was ever on
	phaseSince    map[string]time.Duration
	lowestShare   map[string]float64
	firstRevision map[string]uint64
	losses        []*loss

	committed map[string]bool // uid, generation and digest
	rollouts  []*rollout
}

// hooks are faults planted by tests.
type hooks struct {
	command func(*zones.Command)
	observe func(*control, time.Duration, fleet.Report)
	takeOld bool
	rejoin  bool // a run is present again before it has heard what was intended meanwhile
	staged  bool // nodes serve by what is staged
	forgets bool // the controller of the tenants counts no node with a scope
	ageless bool
	greed   float64 // what a node multiplies its rates by
}

// loss is one zone's loss, as the nodes come to stop.
type loss struct {
	zone      int
	start     time.Duration
	end       time.Duration
	stoppedAt map[int]time.Duration
}

// Result is what a run gave. Times are in ms.
type Result struct {
	Seed             uint64  `json:"seed"`
	Breach           *Breach `json:"breach,omitempty"`
	Stop95           []int64 `json:"stop95_ms,omitempty"` // from a zone's loss until 95 % of the running nodes had stopped
	Spread           []int64 `json:"spread_ms,omitempty"` // from the first of them to the last
	Unnotified       int     `json:"unheard"`             // losses for which that many never stopped
	Returned         []int64 `json:"returned_ms,omitempty"`
	Onboard          []int64 `json:"onboard_ms,omitempty"` // from a tenant's change to its being applied on every node present in its scope
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

// Run runs a plan to its end or its first breach.
func Run(p Plan) Result { return run(p, nil) }

func run(p Plan, plant func(*Sim)) Result {
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
	s.hooks.greed = 1
	s.settings.SlowStartWindow = 10 * time.Second // servers that are warming up for long, and hardly more than what is required of them
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
	if plant != nil {
		plant(s)
	}
	for i := range p.Nodes {
		s.newNode(i).start()
	}
	s.control.lead()
	for _, f := range p.Faults {
		s.after(f.Start, func() { s.begin(f) })
	}
	for _, c := range p.Changes {
		s.after(c.Time, func() { s.operate(c, 0) })
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
		if r.done == 0 {
			s.result.Undone++
		} else {
			s.result.Onboard = append(s.result.Onboard, (r.done - r.put).Milliseconds())
		}
	}
	return s.result
}

// begin starts a fault; what its end needs is done by then.
func (s *Sim) begin(f Fault) {
	switch f.Kind {
	case ZoneLost:
		s.losses = append(s.losses, &loss{zone: f.Zone, start: s.now, end: s.now + f.Duration, stoppedAt: map[int]time.Duration{}})
		s.after(f.Duration, func() { s.restart(f.Zone) })
	case Stall:
		for _, n := range s.nodes {
			if f.hits(n.index) {
				n.stalledUntil = max(n.stalledUntil, s.now+f.Duration)
			}
		}
	case Crash:
		for _, n := range s.nodes {
			if f.hits(n.index) {
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
				s.control.lead()
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

// measure adds a loss's figures: of the nodes that ran all through it.
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

// stopped notes that a node has stopped sending to a lost zone.
func (s *Sim) stopped(n *node, zone int, has bool) {
	if !has {
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
