// Package invariants checks the hard rules over what a run of the fleet lab recorded: what clients sent and heard,
// what app servers received, and what the lab did to the fleet. It does no I/O and keeps no clock: a run's records
// go in, the breaches come out, each with the request id that shows it.
//
// A run with a control plane is also held to the fleet's rules (docs/lab.md, "The fleet's rules").
//
// The rules are the bench's (DESIGN, "Hard rules"): one final answer per request taken; a fragile class never runs
// twice; one attempt out at a time per request; nothing new to a draining or gone server after the grace; no cold
// app server overloaded by nodes that knew of its start; nothing reaches an app server that no client sent.
package invariants

import (
	"fmt"
	"sort"
	"time"
)

// Sent is one request as the load generator saw it. Times are offsets from the run's start.
type Sent struct {
	ID      string        // X-Correlation-Id
	Class   string        // first part of the path
	Account string        // X-Account, the tenant
	Node    int           // the node whose front connection carried it
	At      time.Duration // its last byte written
	Taken   bool          // its last byte was written to a connection; a request never written is not the node's
	Done    time.Duration // the answer's last byte, or when the connection broke; zero if never
	Status  int           // the node's status; 0 where no answer came
	Err     string        // what broke, where no answer came
	Closed  bool          // it was the first on a new connection, which ended with no answer
}

// Attempt is one request as an app server received it.
type Attempt struct {
	ID     string
	Class  string
	Server string        // the server's id in the list
	Node   int           // which node sent it, by the source address of the lab's relay; -1 if unknown
	Start  time.Duration // its last byte came
	End    time.Duration // its answer was written or its connection broke
	Ran    bool          // the server began its work (an effect, for a fragile class)
}

// Change is a list change that the lab made: from At on, Server is in State for every node.
type Change struct {
	Server string
	State  string // "ready", "draining", "gone"
	At     time.Duration
}

// Fall is a warming app server that was overloaded: from Start it warmed up, at At it got one request too many.
type Fall struct {
	Server  string
	Start   time.Duration
	At      time.Duration
	Allowed float64 // requests that it bore within the rule's time
	Got     []Part  // those it got
}

// Part is one request of a Fall.
type Part struct {
	Node int
	At   time.Duration
}

// Exemption is a window in which a node, or the links round it, were made to fail by the lab: requests it loses then
// are the fault's cost, not a breach. Node -1 exemptions every node.
type Exemption struct {
	Node int
	Rule string // "answer", "after-grace", or "" for both
	From time.Duration
	To   time.Duration
	Back time.Duration // when the fault itself ended; To has what it goes on costing
	Why  string        // what opened it: "down n3", "stopped n3", "cut n3", "deaf n3", "agent ...", "replica ..."
}

// Run is all that the checker reads.
type Run struct {
	Sent       []Sent
	Attempts   []Attempt
	Changes    []Change
	Exemptions []Exemption
	Falls      []Fall
	Fleet      *Fleet          // of a run with a control plane
	Sightings  []Sighting      // of a run whose members gossip
	Fragile    map[string]bool // classes that must never run twice
	Grace      time.Duration   // after a change is made, how long attempts to the server may still start
	Slack      time.Duration   // how long a change may take to reach the nodes when no fault holds it up
	End        time.Duration   // when the load ended
}

// Breach is one broken rule.
type Breach struct {
	Rule   string // "answer", "twice", "overlap", "after-grace", "unsent", "cold-fall"; Z-, T- and D- of the fleet, M- of members
	ID     string // the request id; empty where the rule is not about one request
	At     time.Duration
	Detail string
}

func (b Breach) String() string { return fmt.Sprintf("%s %s at %v: %s", b.Rule, b.ID, b.At, b.Detail) }

// closedPer: one request in so many may find its new connection closed with no answer, which counts as a refusal; the
// rest are lost.
const closedPer = 200

// Check gives every breach in the run, ordered by time.
func Check(r Run) []Breach {
	var out []Breach
	sent := make(map[string]Sent, len(r.Sent))
	closed := 0
	for _, s := range r.Sent {
		if prev, dup := sent[s.ID]; dup {
			out = append(out, Breach{"answer", s.ID, s.At, fmt.Sprintf("id sent twice by the clients (first at %v)", prev.At)})
		}
		sent[s.ID] = s
		if s.Status == 0 && s.Taken && s.At < r.End && !r.excused("answer", s.Node, s.At, s.Done) {
			if s.Closed {
				if closed++; closed*closedPer <= len(r.Sent) {
					continue
				}
			}
			out = append(out, Breach{"answer", s.ID, s.At, fmt.Sprintf("no final answer from node %d: %s", s.Node, s.Err)})
		}
	}
	byID := map[string][]Attempt{}
	for _, a := range r.Attempts {
		if _, ok := sent[a.ID]; !ok {
			out = append(out, Breach{"unsent", a.ID, a.Start, fmt.Sprintf("server %s got a request no client sent", a.Server)})
			continue
		}
		byID[a.ID] = append(byID[a.ID], a)
	}
	for id, as := range byID {
		sort.Slice(as, func(i, j int) bool { return as[i].Start < as[j].Start })
		ran := 0
		for i, a := range as {
			if a.Ran {
				ran++
			}
			if i > 0 && as[i-1].End > a.Start {
				out = append(out, Breach{"overlap", id, a.Start, fmt.Sprintf("attempt at %s began while the one at %s was out (until %v)",
					a.Server, as[i-1].Server, as[i-1].End)})
			}
		}
		if ran > 1 && r.Fragile[as[0].Class] {
			out = append(out, Breach{"twice", id, as[len(as)-1].Start, fmt.Sprintf("class %s ran %d times", as[0].Class, ran)})
		}
	}
	out = append(out, r.afterGrace()...)
	out = append(out, r.warmingOverloads()...)
	out = append(out, r.fleet()...)
	out = append(out, r.falseDeaths()...)
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	return out
}

// excused says whether a window of the rule (any for "") covers node's request from..to (to zero: never ended, so up to the end).
func (r Run) excused(rule string, node int, from, to time.Duration) bool {
	if to == 0 {
		to = r.End
	}
	for _, e := range r.Exemptions {
		if (e.Node == node || e.Node == -1) && (e.Rule == "" || rule == "" || e.Rule == rule) && e.From <= to && from <= e.To {
			return true
		}
	}
	return false
}

// afterGrace finds attempts that began at a draining or gone server later than the grace after the change, from a
// node that no fault kept from hearing of it.
func (r Run) afterGrace() []Breach {
	var out []Breach
	changes := append([]Change(nil), r.Changes...)
	sort.SliceStable(changes, func(i, j int) bool { return changes[i].At < changes[j].At })
	for _, a := range r.Attempts {
		state, since := "ready", time.Duration(0)
		for _, c := range changes {
			if c.Server == a.Server && c.At <= a.Start {
				state, since = c.State, c.At
			}
		}
		if state == "ready" || a.Start <= since+r.Slack+r.Grace || r.excused("after-grace", a.Node, since, a.Start) {
			continue
		}
		out = append(out, Breach{"after-grace", a.ID, a.Start, fmt.Sprintf("new attempt from node %d to %s, %s since %v",
			a.Node, a.Server, state, since)})
	}
	return out
}

// warmingOverloads finds the falls of which over two thirds came from nodes that knew of the start.
func (r Run) warmingOverloads() []Breach {
	var out []Breach
	for _, f := range r.Falls {
		readyAt := time.Duration(-1)
		for _, c := range r.Changes {
			if c.Server == f.Server && c.State == "ready" && c.At >= f.Start && (readyAt < 0 || c.At < readyAt) {
				readyAt = c.At
			}
		}
		if readyAt < 0 {
			continue // nobody knew
		}
		n := 0
		for _, p := range f.Got {
			if p.At > readyAt+r.Slack && !r.excused("after-grace", p.Node, readyAt, p.At) {
				n++
			}
		}
		if 3*n > 2*len(f.Got) {
			out = append(out, Breach{"cold-fall", "", f.At, fmt.Sprintf("%s, up since %v, got %d requests where it bears %.0f; %d of nodes that knew",
				f.Server, f.Start, len(f.Got), f.Allowed, n)})
		}
	}
	return out
}
