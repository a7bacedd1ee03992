package policy

import (
	"testing"
	"time"
)

// discoverySim simulates nodes that poll one discovery service for the endpoint list. The service handles one call at a time,
// each in callTime. It fails calls that would wait longer than its timeout, but they still take up its time.
type discoverySim struct {
	modules []*Module
	// The service is free from busyUntil on.
	now       Time
	busyUntil Time
	callTime  time.Duration
	answers   []pendingAnswer
	served    []Time // when each node's call was first answered; 0: not yet
}

type pendingAnswer struct {
	at   Time
	node int
	ok   bool
}

const (
	discoveryTimeout = 2 * time.Second         // after which the service fails a waiting call
	callTimeout      = 2500 * time.Millisecond // after which a node gives up its first call
)

func newDiscoverySim(nodes int, timePerCall time.Duration) *discoverySim {
	d := &discoverySim{now: time.Hour, callTime: timePerCall, served: make([]Time, nodes)}
	for node := range nodes {
		s := sparseSettings(nodes)
		s.NodeIndex = node
		s.PollsEndpoints = true
		s.MaxPollInterval = 10 * time.Second
		d.modules = append(d.modules, New(s, int64(node)))
		d.modules[node].Handle(d.now, cachedEndpoints(60))
	}
	return d
}

// run advances the simulation to a time. The service answers calls if it is up, and is silent otherwise.
func (d *discoverySim) run(until Time, up bool) {
	for ; d.now < until; d.now += 25 * time.Millisecond {
		rest := d.answers[:0]
		for _, answer := range d.answers {
			switch {
			case answer.at > d.now:
				rest = append(rest, answer)
			case answer.ok:
				d.modules[answer.node].Handle(d.now, EndpointUpdate{Kind: EndpointsChanged})
				if d.served[answer.node] == 0 {
					d.served[answer.node] = d.now
				}
			default:
				d.modules[answer.node].Handle(d.now, EndpointUpdate{Kind: EndpointsFailed})
			}
		}
		d.answers = rest
		for node, m := range d.modules {
			for _, a := range m.Handle(d.now, TimerFired{}) {
				if _, ok := a.(Subscribe); !ok {
					continue
				}
				if !up {
					d.answers = append(d.answers, pendingAnswer{d.now + callTimeout, node, false})
					continue
				}
				d.busyUntil = max(d.busyUntil, d.now) + d.callTime
				d.answers = append(d.answers, pendingAnswer{min(d.busyUntil, d.now+discoveryTimeout), node, d.busyUntil <= d.now+discoveryTimeout})
			}
		}
	}
}

// A change of the endpoint list counts as notified 6 s after discovery becomes reachable, whatever failed before. By then one
// discovery service must have answered 80 nodes one after the other, and any number of nodes that each have an agent of their
// own. 300 nodes can't be answered one after the other, as that alone takes 18 s.
func TestPollingResumesInTimeAfterOutage(t *testing.T) {
	for _, c := range []struct {
		nodes       int
		timePerCall time.Duration
	}{{4, 60 * time.Millisecond}, {20, 60 * time.Millisecond}, {80, 60 * time.Millisecond}, {300, 0}} {
		for down := range 6 {
			d := newDiscoverySim(c.nodes, c.timePerCall)
			recovery := d.now + 2*time.Second + time.Duration(down)*1400*time.Millisecond
			d.run(recovery, false)
			d.run(recovery+6*time.Second, true)
			for node, at := range d.served {
				if at == 0 {
					t.Errorf("%d nodes, %v per call: node %d has no answer 6 s after discovery is back", c.nodes, c.timePerCall, node)
					break
				}
			}
		}
	}
}

// One discovery service must answer all nodes that a release starts at the same time within seconds.
func TestPollsOfStartingNodesAreAnsweredInTime(t *testing.T) {
	for _, c := range []struct {
		nodes       int
		timePerCall time.Duration
	}{{4, 60 * time.Millisecond}, {80, 60 * time.Millisecond}, {300, 0}} {
		d := newDiscoverySim(c.nodes, c.timePerCall)
		start := d.now
		d.run(start+6*time.Second, true)
		for node, at := range d.served {
			if at == 0 {
				t.Errorf("%d nodes, %v per call: node %d has no answer 6 s after its start", c.nodes, c.timePerCall, node)
			}
		}
	}
}
