// Package invariants checks the hard rules on the records of a fleet lab run: the requests and answers of the clients, the
// attempts that app servers received, and the faults and changes that the lab made. It does no I/O and uses no clock: Check takes
// the records of a run and returns the breaches, each with the request id that shows it.
//
// A run with a control plane is also checked against the fleet's rules (docs/lab.md, "The fleet's rules").
//
// The hard rules are those of the bench (DESIGN, "Hard rules"): each request taken by a node gets one final answer; a request of a
// fragile class never runs twice; a request has at most one attempt in flight; no new attempt starts at a draining or gone server
// after the grace; no warming app server is overloaded by nodes that knew of its start; and app servers receive only requests
// that a client sent.
package invariants

import (
	"fmt"
	"sort"
	"time"
)

// Sent is one request as the load generator recorded it. Times are relative to the run's start.
type Sent struct {
	ID      string        // X-Correlation-Id
	Class   string        // first segment of the path
	Account string        // X-Account, the tenant
	Node    int           // the node whose front connection carried it
	At      time.Duration // when its last byte was written
	Taken   bool          // its last byte was written to a connection; otherwise the node is not responsible for it
	Done    time.Duration // when the answer's last byte was received or the connection broke; 0 if neither happened
	Status  int           // status of the node's answer; 0 if there was none
	Err     string        // the error, if there was no answer
	Closed  bool          // it was the first request on a new connection, which was closed without an answer
}

// Attempt is one attempt of a request as an app server received it.
type Attempt struct {
	ID     string
	Class  string
	Server string        // the server's id in the endpoint list
	Node   int           // node that sent it, by the source address of the lab's relay; -1 if unknown
	Start  time.Duration // when its last byte was received
	End    time.Duration // when its answer was written or its connection broke
	Ran    bool          // the server began to work on it, which has an effect for a fragile class
}

// Change is a change that the lab made to the endpoint list: from At on, the list has Server in State for every node.
type Change struct {
	Server string
	State  string // "ready", "draining", "gone"
	At     time.Duration
}

// Fall is the overload of a warming app server, which started at Start and received one request too many at At.
type Fall struct {
	Server  string
	Start   time.Duration
	At      time.Duration
	Allowed float64 // requests that it tolerated within the rule's window
	Got     []Part  // requests that it received within the window
}

// Part is one request that contributed to a Fall.
type Part struct {
	Node int
	At   time.Duration
}

// Exemption is a time window in which the lab made a node or its links fail. Requests that the node loses then are a consequence of
// the fault and not a breach. Node -1 exempts every node.
type Exemption struct {
	Node int
	Rule string // "answer", "after-grace", or "" for both
	From time.Duration
	To   time.Duration
	Back time.Duration // when the fault itself ended; its consequences may last until To
	Why  string        // the fault that opened the window: "down n3", "stopped n3", "cut n3", "deaf n3", "agent ...", "replica ..."
}

// Run is the checker's complete input.
type Run struct {
	Sent       []Sent
	Attempts   []Attempt
	Changes    []Change
	Exemptions []Exemption
	Falls      []Fall
	Fleet      *Fleet          // set for a run with a control plane
	Sightings  []Sighting      // set for a run whose members gossip
	Fragile    map[string]bool // classes that must never run twice
	Grace      time.Duration   // time after a change during which attempts at the server may still start
	Slack      time.Duration   // time that a change may take to reach the nodes if no fault delays it
	End        time.Duration   // end of the load
}

// Breach is one violation of a rule.
type Breach struct {
	Rule   string // "answer", "twice", "overlap", "after-grace", "unsent", "cold-fall"; Z-, T- and D- for the fleet's rules, M- for members
	ID     string // request id; empty if the rule is not about a single request
	At     time.Duration
	Detail string
}

func (b Breach) String() string { return fmt.Sprintf("%s %s at %v: %s", b.Rule, b.ID, b.At, b.Detail) }

// requestsPerClosedConn is the number of requests for each of which one may find its new connection closed without an answer, which
// counts as a refusal. Further ones count as lost.
const requestsPerClosedConn = 200

// Check returns every breach in the run, ordered by time.
func Check(r Run) []Breach {
	var out []Breach
	sent := make(map[string]Sent, len(r.Sent))
	closed := 0
	for _, s := range r.Sent {
		if prev, dup := sent[s.ID]; dup {
			out = append(out, Breach{"answer", s.ID, s.At, fmt.Sprintf("id sent twice by the clients (first at %v)", prev.At)})
		}
		sent[s.ID] = s
		if s.Status == 0 && s.Taken && s.At < r.End && !r.exempt("answer", s.Node, s.At, s.Done) {
			if s.Closed {
				if closed++; closed*requestsPerClosedConn <= len(r.Sent) {
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
		runs := 0
		for i, a := range as {
			if a.Ran {
				runs++
			}
			if i > 0 && as[i-1].End > a.Start {
				out = append(out, Breach{"overlap", id, a.Start, fmt.Sprintf("attempt at %s began while the one at %s was out (until %v)",
					a.Server, as[i-1].Server, as[i-1].End)})
			}
		}
		if runs > 1 && r.Fragile[as[0].Class] {
			out = append(out, Breach{"twice", id, as[len(as)-1].Start, fmt.Sprintf("class %s ran %d times", as[0].Class, runs)})
		}
	}
	out = append(out, r.afterGrace()...)
	out = append(out, r.warmingOverloads()...)
	out = append(out, r.fleet()...)
	out = append(out, r.falseDeaths()...)
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	return out
}

// exempt reports whether an exemption from the rule (from any rule for "") for node overlaps the time from..to. A zero to stands for a
// request that never ended, and is replaced by the end of the run.
func (r Run) exempt(rule string, node int, from, to time.Duration) bool {
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

// afterGrace finds attempts that started at a draining or gone server after the grace, from a node that no fault kept from receiving the
// change.
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
		if state == "ready" || a.Start <= since+r.Slack+r.Grace || r.exempt("after-grace", a.Node, since, a.Start) {
			continue
		}
		out = append(out, Breach{"after-grace", a.ID, a.Start, fmt.Sprintf("new attempt from node %d to %s, %s since %v",
			a.Node, a.Server, state, since)})
	}
	return out
}

// warmingOverloads finds the overloads in which more than two thirds of the requests came from nodes that knew of the server's start.
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
			continue // no node knew of the start
		}
		informed := 0
		for _, p := range f.Got {
			if p.At > readyAt+r.Slack && !r.exempt("after-grace", p.Node, readyAt, p.At) {
				informed++
			}
		}
		if 3*informed > 2*len(f.Got) {
			out = append(out, Breach{"cold-fall", "", f.At, fmt.Sprintf("%s, up since %v, got %d requests where it bears %.0f; %d of nodes that knew",
				f.Server, f.Start, len(f.Got), f.Allowed, informed)})
		}
	}
	return out
}
