package policy

import (
	"testing"
	"time"
)

// pollers are nodes that ask one discovery for the list. It deals with calls in turn, takes so long for each, and fails
// those that have waited for longer than its timeout, though they still take their turn.
type pollers struct {
	modules []*Module
	// free: when it has dealt with all calls so far
	now       Time
	busyUntil Time
	callTime  time.Duration
	answers   []pendingAnswer
	served    []Time // when each was first served; 0: not yet
}

type pendingAnswer struct {
	at   Time
	self int
	ok   bool
}

const (
	discoveryTimeout = 2 * time.Second         // its timeout
	callTimeout      = 2500 * time.Millisecond // the node's with a first call
)

func newPollers(nodes int, turn time.Duration) *pollers {
	w := &pollers{now: time.Hour, callTime: turn, served: make([]Time, nodes)}
	for self := range nodes {
		s := sparseSettings(nodes)
		s.NodeIndex = self
		s.PollsEndpoints = true
		s.MaxPollInterval = 10 * time.Second
		w.modules = append(w.modules, New(s, int64(self)))
		w.modules[self].Handle(w.now, sparseList(60))
	}
	return w
}

// run goes on until then, with discovery up or silent.
func (w *pollers) run(until Time, up bool) {
	for ; w.now < until; w.now += 25 * time.Millisecond {
		rest := w.answers[:0]
		for _, d := range w.answers {
			switch {
			case d.at > w.now:
				rest = append(rest, d)
			case d.ok:
				w.modules[d.self].Handle(w.now, EndpointUpdate{Kind: EndpointsChanged})
				if w.served[d.self] == 0 {
					w.served[d.self] = w.now
				}
			default:
				w.modules[d.self].Handle(w.now, EndpointUpdate{Kind: EndpointsFailed})
			}
		}
		w.answers = rest
		for self, m := range w.modules {
			for _, a := range m.Handle(w.now, TimerFired{}) {
				if _, ok := a.(Subscribe); !ok {
					continue
				}
				if !up {
					w.answers = append(w.answers, pendingAnswer{w.now + callTimeout, self, false})
					continue
				}
				w.busyUntil = max(w.busyUntil, w.now) + w.callTime
				w.answers = append(w.answers, pendingAnswer{min(w.busyUntil, w.now+discoveryTimeout), self, w.busyUntil <= w.now+discoveryTimeout})
			}
		}
	}
}

// A change counts as notified 6 s after discovery can be reached, whatever failed before: by then 80 nodes have been served
// in turn by one discovery, and any number where each has an agent of its own. 300 nodes in turn can't be: that alone
// takes 18 s.
func TestListIsPolledAgainInTime(t *testing.T) {
	for _, c := range []struct {
		nodes int
		turn  time.Duration
	}{{4, 60 * time.Millisecond}, {20, 60 * time.Millisecond}, {80, 60 * time.Millisecond}, {300, 0}} {
		for down := range 6 {
			w := newPollers(c.nodes, c.turn)
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
func TestListIsPolledAtAStartInTime(t *testing.T) {
	for _, c := range []struct {
		nodes int
		turn  time.Duration
	}{{4, 60 * time.Millisecond}, {80, 60 * time.Millisecond}, {300, 0}} {
		w := newPollers(c.nodes, c.turn)
		began := w.now
		w.run(began+6*time.Second, true)
		for self, at := range w.served {
			if at == 0 {
				t.Errorf("%d nodes, a turn of %v: node %d is not served 6 s after its start", c.nodes, c.turn, self)
			}
		}
	}
}
