package policy

import (
	"testing"
	"time"
)

// askers are nodes that ask one discovery for the list. It deals with calls in turn, takes so long for each, and fails
// those that have waited for longer than its patience, though they still take their turn.
type askers struct {
	all       []*Module
	now, free Time // free: when it has dealt with all calls so far
	turn      time.Duration
	due       []answerDue
	served    []Time // when each was first served; 0: not yet
}

type answerDue struct {
	at   Time
	self int
	ok   bool
}

const (
	discoveryWaits = 2 * time.Second         // its patience
	nodeWaits      = 2500 * time.Millisecond // the node's with a first call
)

func newAskers(nodes int, turn time.Duration) *askers {
	w := &askers{now: time.Hour, turn: turn, served: make([]Time, nodes)}
	for self := range nodes {
		s := sparseSettings(nodes)
		s.NodeIndex, s.PollsEndpoints, s.MaxPollInterval = self, true, 10*time.Second
		w.all = append(w.all, New(s, int64(self)))
		w.all[self].Handle(w.now, sparseList(60))
	}
	return w
}

// run goes on until then, with discovery up or silent.
func (w *askers) run(until Time, up bool) {
	for ; w.now < until; w.now += 25 * time.Millisecond {
		rest := w.due[:0]
		for _, d := range w.due {
			switch {
			case d.at > w.now:
				rest = append(rest, d)
			case d.ok:
				w.all[d.self].Handle(w.now, EndpointUpdate{Kind: EndpointsChanged})
				if w.served[d.self] == 0 {
					w.served[d.self] = w.now
				}
			default:
				w.all[d.self].Handle(w.now, EndpointUpdate{Kind: EndpointsFailed})
			}
		}
		w.due = rest
		for self, m := range w.all {
			for _, a := range m.Handle(w.now, TimerFired{}) {
				if _, ok := a.(Subscribe); !ok {
					continue
				}
				if !up {
					w.due = append(w.due, answerDue{w.now + nodeWaits, self, false})
					continue
				}
				w.free = max(w.free, w.now) + w.turn
				w.due = append(w.due, answerDue{min(w.free, w.now+discoveryWaits), self, w.free <= w.now+discoveryWaits})
			}
		}
	}
}

// A change counts as told 6 s after discovery can be reached, whatever failed before: by then 80 nodes have been served
// in turn by one discovery, and any number where each has an agent of its own. 300 nodes in turn can't be: that alone
// takes 18 s.
func TestListIsAskedForAgainInTime(t *testing.T) {
	for _, c := range []struct {
		nodes int
		turn  time.Duration
	}{{4, 60 * time.Millisecond}, {20, 60 * time.Millisecond}, {80, 60 * time.Millisecond}, {300, 0}} {
		for down := range 6 {
			w := newAskers(c.nodes, c.turn)
			back := w.now + 2*time.Second + time.Duration(down)*1400*time.Millisecond
			w.run(back, false)
			w.run(back+6*time.Second, true)
			for self, at := range w.served {
				if at == 0 {
					t.Errorf("%d nodes, a turn of %v: node %d is not served 6 s after discovery's return", c.nodes, c.turn, self)
					break
				}
			}
		}
	}
}

// Nodes that a release starts together are served by one discovery in their turns, at once or nearly so.
func TestListIsAskedForAtAStartInTime(t *testing.T) {
	for _, c := range []struct {
		nodes int
		turn  time.Duration
	}{{4, 60 * time.Millisecond}, {80, 60 * time.Millisecond}, {300, 0}} {
		w := newAskers(c.nodes, c.turn)
		began := w.now
		w.run(began+6*time.Second, true)
		for self, at := range w.served {
			if at == 0 {
				t.Errorf("%d nodes, a turn of %v: node %d is not served 6 s after its start", c.nodes, c.turn, self)
			}
		}
	}
}
