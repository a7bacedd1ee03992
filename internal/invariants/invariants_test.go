package invariants

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

func cleanRun() Run {
	return Run{
		Sent: []Sent{{ID: "a", Class: "place-order", At: 10 * ms, Done: 90 * ms, Status: 200, Taken: true},
			{ID: "b", Class: "schedule-view", At: 20 * ms, Done: 60 * ms, Status: 200, Taken: true}},
		Attempts: []Attempt{{ID: "a", Class: "place-order", Server: "s1", Start: 12 * ms, End: 40 * ms, Ran: false},
			{ID: "a", Class: "place-order", Server: "s2", Start: 41 * ms, End: 80 * ms, Ran: true},
			{ID: "b", Class: "schedule-view", Server: "s1", Start: 21 * ms, End: 50 * ms, Ran: true}},
		Fragile: map[string]bool{"place-order": true},
		Grace:   100 * ms, Slack: 50 * ms, End: time.Second,
	}
}

func TestCleanRunHasNoBreach(t *testing.T) {
	if b := Check(cleanRun()); len(b) != 0 {
		t.Fatal(b)
	}
}

func TestDetectsEachRuleBreach(t *testing.T) {
	for _, c := range []struct {
		rule   string
		change func(*Run)
	}{
		{"twice", func(r *Run) { r.Attempts[0].Ran = true }},
		{"overlap", func(r *Run) { r.Attempts[1].Start = 30 * ms }},
		{"unsent", func(r *Run) { r.Attempts = append(r.Attempts, Attempt{ID: "z", Server: "s1", Start: ms}) }},
		{"answer", func(r *Run) { r.Sent[1].Status, r.Sent[1].Err = 0, "reset" }},
		{"answer", func(r *Run) { r.Sent = append(r.Sent, r.Sent[0]) }},
		{"after-grace", func(r *Run) {
			r.Changes = []Change{{Server: "s1", State: "draining", At: 0}}
			r.Attempts[2].Start = 400 * ms
		}},
		{"cold-fall", func(r *Run) {
			r.Changes = []Change{{Server: "s3", State: "ready", At: 100 * ms}}
			r.Falls = []Fall{{Server: "s3", Start: 90 * ms, At: 300 * ms, Allowed: 2,
				Got: []Part{{0, 140 * ms}, {0, 200 * ms}, {1, 210 * ms}, {1, 300 * ms}}}}
		}},
	} {
		r := cleanRun()
		c.change(&r)
		b := Check(r)
		if len(b) != 1 || b[0].Rule != c.rule {
			t.Errorf("%s: %v", c.rule, b)
		}
	}
}

func TestExemptionsAndGrace(t *testing.T) {
	r := cleanRun()
	r.Sent[1].Status, r.Sent[1].Err = 0, "reset"
	r.Exemptions = []Exemption{{Node: 0, From: 50 * ms, To: 70 * ms, Why: "kill"}}
	if b := Check(r); len(b) != 0 {
		t.Errorf("a loss within an exemption is a breach: %v", b)
	}
	r = cleanRun()
	r.Changes = []Change{{Server: "s1", State: "gone", At: 0}, {Server: "s1", State: "ready", At: 300 * ms}}
	r.Attempts[2].Start = 140 * ms // within slack and grace
	r.Attempts = append(r.Attempts, Attempt{ID: "b", Server: "s1", Start: 500 * ms, End: 510 * ms})
	r.Attempts[2].End = 150 * ms
	if b := Check(r); len(b) != 0 {
		t.Errorf("an attempt within the grace, or at a server that is ready again, is a breach: %v", b)
	}
}

// For each 200 requests, one new connection may be closed without an answer. A further one is a breach, and so is a request that is
// lost on a connection in use or by a timeout.
func TestClosedNewConnections(t *testing.T) {
	for _, c := range []struct {
		lost   int
		closed bool
		want   int
	}{{2, true, 0}, {3, true, 1}, {1, false, 1}} {
		r := cleanRun()
		for i := range 400 - len(r.Sent) {
			s := Sent{ID: fmt.Sprint("x", i), Class: "schedule-view", At: 10 * ms, Done: 90 * ms, Status: 200, Taken: true}
			if i < c.lost {
				s.Status, s.Closed, s.Err = 0, c.closed, "EOF"
			}
			r.Sent = append(r.Sent, s)
		}
		if b := Check(r); len(b) != c.want {
			t.Errorf("%+v: %v", c, b)
		}
	}
}

// An overload is no breach if a third or more of its requests came from nodes that did not know of the server's start: they sent too
// early, were cut off, or no node knew.
func TestOverloadsByUninformedNodes(t *testing.T) {
	fall := Fall{Server: "s3", Start: 90 * ms, At: 300 * ms, Got: []Part{{0, 140 * ms}, {0, 200 * ms}, {1, 300 * ms}}}
	ready := []Change{{Server: "s3", State: "ready", At: 100 * ms}}
	uninformed := []Exemption{{Node: 1, Rule: "after-grace", From: 50 * ms, To: time.Second}}
	for _, c := range []struct {
		changes    []Change
		exemptions []Exemption
		n          int
	}{{ready, nil, 0}, {[]Change{{Server: "s3", State: "ready", At: 80 * ms}}, nil, 0}, {nil, nil, 0}} {
		r := cleanRun()
		r.Falls, r.Changes, r.Exemptions = []Fall{fall}, c.changes, c.exemptions
		if b := Check(r); len(b) != c.n {
			t.Errorf("%v: %v", c.changes, b)
		}
	}
	fall.Got[0].At = 160 * ms
	r := cleanRun()
	r.Falls, r.Changes = []Fall{fall}, ready
	if b := Check(r); len(b) != 1 {
		t.Errorf("all nodes know of the start: %v", b)
	}
	if r.Exemptions = uninformed; len(Check(r)) != 0 {
		t.Errorf("a third from uninformed nodes: %v", Check(r))
	}
}
