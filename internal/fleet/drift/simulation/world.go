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

// Rules are the requirements that a run checks.
type Rules struct {
	Bounds drift.Bounds
	Rows   map[string]bool // "state|evidence" of every verdict that is allowed; nil: any
}

var errUnlistedVerdict = errors.New("the verdict is in no row of the table in docs/drift.md")

// world is a simulated fleet whose network drops, delays, duplicates and reorders messages. The leader's clock differs
// from the simulation's by skew. Nodes set their incarnations by clocks that are off by up to 2 s.
type world struct {
	*Intent
	random      *rand.Rand
	now         fleet.Time
	skew        fleet.Time
	detector    *drift.Detector
	state       *drift.State
	revision    uint64
	nodes       []*simNode
	queue       []timedEvent // sorted by time
	loss        float64
	pausedUntil fleet.Time // until then the leader is paused
	stepAt      fleet.Time
	commands    []drift.Command // proposed but not yet applied
	onVerdict   func(v drift.Verdict)
	resent      int
	maxTakenOut int
	replayable  []fleet.Report // sample of earlier reports to replay
	applied     drift.Intended // intent that the leader's own state machine has applied
	appliedAt   fleet.Time
	rules       Rules
	violation   error // the first verdict that is in no row
}

type simNode struct {
	SimulatedModule
	running          bool
	pausedUntil      fleet.Time // the node is paused until then
	sessionRenewedAt fleet.Time // when the leader last received a report, in simulated time
	reportAt         fleet.Time
	runs             int  // number of runs so far
	fetching         bool // a request for the intent is pending
	watchHangs       bool // injected fault: the watch of the node's agent hangs
	lastReportAt     fleet.Time
}

type timedEvent struct {
	due fleet.Time
	run func()
}

func newWorld(nodes int, seed uint64, loss float64, r Rules) *world {
	w := &world{Intent: NewIntent(nodes), random: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, detector: drift.NewDetector(r.Bounds), state: &drift.State{}, loss: loss, rules: r}
	for i := range nodes {
		n := &simNode{SimulatedModule: SimulatedModule{Member: fleet.Member{Node: nodeName(i), Zone: fmt.Sprintf("z%d", 1+i%3)}}}
		w.nodes = append(w.nodes, n)
		w.start(n)
	}
	w.detector.Lead(w.now+w.skew, w.state)
	return w
}

func (w *world) schedule(d time.Duration, f func()) {
	i, _ := slices.BinarySearchFunc(w.queue, w.now+d+1, func(e timedEvent, at fleet.Time) int { return cmp.Compare(e.due, at) })
	w.queue = slices.Insert(w.queue, i, timedEvent{w.now + d, f})
}

// deliver delivers a message with a delay, and possibly twice or never.
func (w *world) deliver(f func()) {
	copies := 1
	if x := w.random.Float64(); x < w.loss {
		copies = 0
	} else if x > 0.98 {
		copies = 2
	}
	for range copies {
		w.schedule(time.Duration(2+w.random.IntN(100))*ms, f)
	}
}

// start starts a node's process. It fetches the intent before it reports, so the first report is not empty.
func (w *world) start(n *simNode) {
	n.runs++
	skew := time.Duration(w.random.IntN(4000)-2000) * ms
	n.Incarnation = max(n.Incarnation+1, uint64(w.now+10*time.Second+skew))
	n.SimulatedModule = SimulatedModule{Member: n.Member, local: []fleet.AppliedItem{settings(50)}, AlterApplied: n.AlterApplied}
	n.running = true
	n.pausedUntil = 0
	n.fetching = false
	n.reportAt = w.now + time.Duration(w.random.IntN(500))*ms
	w.fetch(n)
}

func (w *world) stop(n *simNode) {
	n.draining = true
	w.sendReport(n)
	n.running = false
}

// fetch simulates the watch of the intent. The answer contains the intent as it was when the request was sent.
func (w *world) fetch(n *simNode) {
	if n.fetching || n.watchHangs {
		return
	}
	n.fetching = true
	incarnation, in := n.runs, w.Intended
	w.schedule(500*ms, func() { n.fetching = n.fetching && n.runs != incarnation })
	w.deliver(func() {
		if n.runs == incarnation && n.running && w.now >= n.pausedUntil && in.Revision > n.revision {
			n.ApplyIntent(in)
			n.fetching = false
		}
	})
}

func (w *world) sendReport(n *simNode) {
	r := n.Report()
	n.reportAt = w.now + time.Duration(500+w.random.IntN(500))*ms
	if w.random.IntN(50) == 0 {
		w.replayable = append(w.replayable, r)
	}
	incarnation := n.runs
	w.deliver(func() { w.arrive(n, r, incarnation) })
}

func (w *world) arrive(n *simNode, r fleet.Report, incarnation int) {
	if w.now < w.pausedUntil {
		w.schedule(w.pausedUntil-w.now, func() { w.arrive(n, r, incarnation) })
		return
	}
	if w.detector.Observe(w.now+w.skew, fleet.NodeView{Member: r.Member, ReceivedAt: w.now + w.skew, Report: r}) != nil {
		return
	}
	n.sessionRenewedAt, n.lastReportAt = w.now, w.now
	if r.Draining {
		n.sessionRenewedAt = -time.Hour
	}
	resend, want, _, _ := w.detector.Answer(n.Node)
	w.resent += len(resend)
	w.deliver(func() {
		if n.runs != incarnation || !n.running {
			return
		}
		if n.Wanted = want; len(want) > 0 {
			n.reportAt = min(n.reportAt, w.now+50*ms)
		}
		if len(resend) > 0 && !n.watchHangs {
			n.ApplyIntent(w.Intended)
		}
	})
}

// tick advances the simulation by 20 ms.
func (w *world) tick() {
	w.now += 20 * ms
	for len(w.queue) > 0 && w.queue[0].due <= w.now {
		run := w.queue[0].run
		w.queue = w.queue[1:]
		run()
	}
	for _, n := range w.nodes {
		if !n.running || w.now < n.pausedUntil {
			continue
		}
		if n.revision < w.Intended.Revision {
			w.fetch(n)
		}
		if w.now >= n.reportAt && n.revision > 0 {
			w.sendReport(n)
		}
	}
	if w.now < w.pausedUntil || w.now < w.stepAt {
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
		if w.now-n.sessionRenewedAt < 6*time.Second && n.sessionRenewedAt > 0 {
			present = append(present, n.Member)
		}
	}
	if w.random.IntN(8) > 0 { // otherwise raft is slow, and the commands wait for the next step
		for _, c := range w.commands {
			c.AtMS = int64(w.now / ms)
			w.state.Apply(c, func() uint64 { w.revision++; return w.revision })
		}
		w.commands = nil
	}
	w.commands = append(w.commands, w.detector.Step(w.now+w.skew, w.state, w.applied, present)...)
	takenOut := 0
	for _, v := range w.detector.Verdicts(w.now+w.skew, int64(w.now/ms), w.state) {
		if v.Repair.Step == drift.TakenOut {
			takenOut++
		}
		if w.rules.Rows != nil && !w.rules.Rows[v.State+"|"+v.Evidence] {
			w.violation = cmp.Or(w.violation, fmt.Errorf("%w: %+v", errUnlistedVerdict, v))
		}
		if w.onVerdict != nil {
			w.onVerdict(v)
		}
	}
	w.maxTakenOut = max(w.maxTakenOut, takenOut)
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.tick()
	}
}

// failover elects another leader with another clock, which has only the replicated state.
func (w *world) failover() {
	w.commands = nil
	w.replayable = slices.DeleteFunc(w.replayable, func(r fleet.Report) bool { // a new leader accepts the first report that it gets of a run
		return slices.ContainsFunc(w.nodes, func(n *simNode) bool { return n.Member == r.Member })
	})
	w.skew = time.Duration(w.random.IntN(4000)-2000) * ms
	w.detector = drift.NewDetector(w.rules.Bounds)
	w.detector.Lead(w.now+w.skew, w.state)
}

func (w *world) node(name string) *simNode {
	return w.nodes[slices.IndexFunc(w.nodes, func(n *simNode) bool { return n.Node == name })]
}

// changeIntent makes a random change to the intent.
func (w *world) changeIntent() {
	switch w.random.IntN(6) {
	case 0:
		w.Put("zone/z2", EvacuationDirective(float64(w.random.IntN(10))/10))
	case 1:
		w.Put("zone/z1@z3", EvacuationDirective(float64(w.random.IntN(10))/10))
	case 2:
		w.Remove("zone/z2")
	case 3:
		w.Put(fmt.Sprintf("tenant/t%d", w.random.IntN(5)), CommittedTenant(1+w.random.Uint64N(w.Intended.Revision), 2, 50))
	case 4:
		w.ListServer(fmt.Sprintf("s%d", w.random.IntN(12)), []string{"ready", "draining", "gone"}[w.random.IntN(3)])
	case 5:
		n := w.nodes[w.random.IntN(len(w.nodes))]
		w.Put("share/"+n.Node, fleet.QuotaLease{Epoch: w.Intended.Revision, Slots: len(w.nodes), Rates: map[string]float64{"t0": w.random.Float64()}})
	}
}

// checkNoDrift returns a check that fails if a verdict says drift, or says in step for a node that hasn't reported for
// 2.2 s.
func (w *world) checkNoDrift(fail func(string, ...any)) func(drift.Verdict) {
	return func(v drift.Verdict) {
		if drift.Drifts(v.State) {
			fail("at %v: %+v", w.now-time.Hour, v)
		}
		if n := w.node(v.Node); v.State == drift.InStep && w.now-n.lastReportAt > 2200*ms {
			fail("at %v: shown in step, last report %v ago: %+v", w.now-time.Hour, w.now-n.lastReportAt, v)
		}
	}
}

// rollingRestart restarts the nodes one after the other, each with a downtime of one to two seconds.
func (w *world) rollingRestart(every time.Duration) {
	for i, n := range w.nodes {
		w.schedule(time.Duration(i)*every, func() {
			w.stop(n)
			w.schedule(time.Duration(1000+w.random.IntN(1000))*ms, func() { w.start(n) })
		})
	}
}
