package simulation

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/drift"
)

// Rules are what a run holds the controller to.
type Rules struct {
	Bounds drift.Bounds
	Rows   map[string]bool // "state|evidence" of every verdict that may be said; nil: any
}

var errUnlistedVerdict = errors.New("in no row of the page")

// world is a fleet on a network that drops, delays, doubles and reorders, in simulated time. The leader's clock is
// off from the world's by skew. Nodes stamp incarnations with clocks that are off by up to 2 s.
type world struct {
	*Intent
	random      *rand.Rand
	now         fleet.Time
	skew        fleet.Time
	detector    *drift.Detector
	state       *drift.State
	revision    uint64
	nodes       []*simNode
	queue       []timedEvent // by time
	loss        float64
	paused      fleet.Time // the leader, till then
	stepAt      fleet.Time
	commands    []drift.Command // proposed, not yet applied
	onVerdict   func(v drift.Verdict)
	resent      int
	maxTakenOut int
	replayable  []fleet.Report // some reports, for replays
	applied     drift.Intended // what the leader's own state machine has come to
	appliedAt   fleet.Time
	rules       Rules
	violation   error // the first verdict in no row
}

type simNode struct {
	Module
	running      bool
	paused       fleet.Time // till then
	session      fleet.Time // when the leader last was notified of it, in the world's time
	reportAt     fleet.Time
	incarnations int  // counts its runs
	fetching     bool // intent is on its way
	watchHangs   bool // planted: its agent's watch hangs
	heardAt      fleet.Time
}

type timedEvent struct {
	due fleet.Time
	run func()
}

func newWorld(nodes int, seedOf uint64, loss float64, r Rules) *world {
	w := &world{Intent: Seed(nodes), random: rand.New(rand.NewPCG(seedOf, 1)), now: time.Hour, detector: drift.NewDetector(r.Bounds), state: &drift.State{}, loss: loss, rules: r}
	for i := range nodes {
		n := &simNode{Module: Module{Member: fleet.Member{Node: nodeName(i), Zone: fmt.Sprintf("z%d", 1+i%3)}}}
		w.nodes = append(w.nodes, n)
		w.start(n)
	}
	w.detector.Lead(w.now+w.skew, w.state)
	return w
}

func (w *world) after(d time.Duration, f func()) {
	i, _ := slices.BinarySearchFunc(w.queue, w.now+d+1, func(e timedEvent, at fleet.Time) int { return cmp.Compare(e.due, at) })
	w.queue = slices.Insert(w.queue, i, timedEvent{w.now + d, f})
}

// deliver has a message arrive: late, twice or never.
func (w *world) deliver(f func()) {
	times := 1
	if x := w.random.Float64(); x < w.loss {
		times = 0
	} else if x > 0.98 {
		times = 2
	}
	for range times {
		w.after(time.Duration(2+w.random.IntN(100))*ms, f)
	}
}

// start runs a node's process: it fetches intent before it reports, so its first report is not empty.
func (w *world) start(n *simNode) {
	n.incarnations++
	skew := time.Duration(w.random.IntN(4000)-2000) * ms
	n.Incarnation = max(n.Incarnation+1, uint64(w.now+10*time.Second+skew))
	n.Module = Module{Member: n.Member, local: []fleet.AppliedItem{settings(50)}, Plant: n.Plant}
	n.running = true
	n.paused = 0
	n.fetching = false
	n.reportAt = w.now + time.Duration(w.random.IntN(500))*ms
	w.fetch(n)
}

func (w *world) stop(n *simNode) {
	n.draining = true
	w.send(n)
	n.running = false
}

// fetch is the watch of intent: it answers with all that is intended when it is checked.
func (w *world) fetch(n *simNode) {
	if n.fetching || n.watchHangs {
		return
	}
	n.fetching = true
	incarnation, in := n.incarnations, w.Intended
	w.after(500*ms, func() { n.fetching = n.fetching && n.incarnations != incarnation })
	w.deliver(func() {
		if n.incarnations == incarnation && n.running && w.now >= n.paused && in.Revision > n.revision {
			n.Take(in)
			n.fetching = false
		}
	})
}

func (w *world) send(n *simNode) {
	r := n.Report()
	n.reportAt = w.now + time.Duration(500+w.random.IntN(500))*ms
	if w.random.IntN(50) == 0 {
		w.replayable = append(w.replayable, r)
	}
	incarnation := n.incarnations
	w.deliver(func() { w.arrive(n, r, incarnation) })
}

func (w *world) arrive(n *simNode, r fleet.Report, incarnation int) {
	if w.now < w.paused {
		w.after(w.paused-w.now, func() { w.arrive(n, r, incarnation) })
		return
	}
	if w.detector.Observe(w.now+w.skew, fleet.NodeView{Member: r.Member, ReceivedAt: w.now + w.skew, Report: r}) != nil {
		return
	}
	n.session, n.heardAt = w.now, w.now
	if r.Draining {
		n.session = -time.Hour
	}
	resend, want, _, _ := w.detector.Answer(n.Node)
	w.resent += len(resend)
	w.deliver(func() {
		if n.incarnations != incarnation || !n.running {
			return
		}
		if n.Wanted = want; len(want) > 0 {
			n.reportAt = min(n.reportAt, w.now+50*ms)
		}
		if len(resend) > 0 && !n.watchHangs {
			n.Take(w.Intended)
		}
	})
}

// tick is 20 ms of the world.
func (w *world) tick() {
	w.now += 20 * ms
	for len(w.queue) > 0 && w.queue[0].due <= w.now {
		run := w.queue[0].run
		w.queue = w.queue[1:]
		run()
	}
	for _, n := range w.nodes {
		if !n.running || w.now < n.paused {
			continue
		}
		if n.revision < w.Intended.Revision {
			w.fetch(n)
		}
		if w.now >= n.reportAt && n.revision > 0 {
			w.send(n)
		}
	}
	if w.now < w.paused || w.now < w.stepAt {
		return
	}
	w.stepAt = w.now + 100*ms
	w.step()
}

func (w *world) step() {
	if w.now-w.appliedAt >= 300*ms {
		w.applied, w.appliedAt = w.Intended, w.now
	}
	var present []fleet.Member
	for _, n := range w.nodes {
		if w.now-n.session < 6*time.Second && n.session > 0 {
			present = append(present, n.Member)
		}
	}
	if w.random.IntN(8) > 0 { // else raft is slow: the commands wait for a step
		for _, c := range w.commands {
			c.AtMS = int64(w.now / ms)
			w.state.Apply(c, func() uint64 { w.revision++; return w.revision })
		}
		w.commands = nil
	}
	w.commands = append(w.commands, w.detector.Step(w.now+w.skew, w.state, w.applied, present)...)
	outs := 0
	for _, v := range w.detector.Verdicts(w.now+w.skew, int64(w.now/ms), w.state) {
		if v.Repair.Step == drift.TakenOut {
			outs++
		}
		if w.rules.Rows != nil && !w.rules.Rows[v.State+"|"+v.Evidence] {
			w.violation = cmp.Or(w.violation, fmt.Errorf("%w: %+v", errUnlistedVerdict, v))
		}
		if w.onVerdict != nil {
			w.onVerdict(v)
		}
	}
	w.maxTakenOut = max(w.maxTakenOut, outs)
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.tick()
	}
}

// failover elects another leader, with another clock and nothing but what is replicated.
func (w *world) failover() {
	w.commands = nil
	w.replayable = slices.DeleteFunc(w.replayable, func(r fleet.Report) bool { // a new leader takes the first it is notified of a run
		return slices.ContainsFunc(w.nodes, func(n *simNode) bool { return n.Member == r.Member })
	})
	w.skew = time.Duration(w.random.IntN(4000)-2000) * ms
	w.detector = drift.NewDetector(w.rules.Bounds)
	w.detector.Lead(w.now+w.skew, w.state)
}

func (w *world) node(name string) *simNode {
	return w.nodes[slices.IndexFunc(w.nodes, func(n *simNode) bool { return n.Node == name })]
}

// churn changes what is intended.
func (w *world) churn() {
	switch w.random.IntN(6) {
	case 0:
		w.Put("zone/z2", EvacuationDirective(float64(w.random.IntN(10))/10))
	case 1:
		w.Put("zone/z1@z3", EvacuationDirective(float64(w.random.IntN(10))/10))
	case 2:
		w.Drop("zone/z2")
	case 3:
		w.Put(fmt.Sprintf("tenant/t%d", w.random.IntN(5)), CommittedTenant(1+w.random.Uint64N(w.Intended.Revision), 2, 50))
	case 4:
		w.Serve(fmt.Sprintf("s%d", w.random.IntN(12)), []string{"ready", "draining", "gone"}[w.random.IntN(3)])
	case 5:
		n := w.nodes[w.random.IntN(len(w.nodes))]
		w.Put("share/"+n.Node, fleet.QuotaLease{Epoch: w.Intended.Revision, Slots: len(w.nodes), Rates: map[string]float64{"t0": w.random.Float64()}})
	}
}

// calm fails the test where a verdict says drift, or in step of a node that has not been heard.
func (w *world) calm(fail func(string, ...any)) func(drift.Verdict) {
	return func(v drift.Verdict) {
		if drift.Drifts(v.State) {
			fail("at %v: %+v", w.now-time.Hour, v)
		}
		if n := w.node(v.Node); v.State == drift.InStep && w.now-n.heardAt > 2200*ms {
			fail("at %v: in step, last heard %v ago: %+v", w.now-time.Hour, w.now-n.heardAt, v)
		}
	}
}

// roll restarts every node in turn, each away for a second or two.
func (w *world) roll(every time.Duration) {
	for i, n := range w.nodes {
		w.after(time.Duration(i)*every, func() {
			w.stop(n)
			w.after(time.Duration(1000+w.random.IntN(1000))*ms, func() { w.start(n) })
		})
	}
}
