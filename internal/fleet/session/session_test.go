package session

import (
	"errors"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"meadowsill/internal/fleet"
)

const ttl = 6 * time.Second

// clock converts real time to the reading of a process's own clock: its rate is off by up to 1 %, its offset is arbitrary.
type clock struct{ rate, offset float64 }

func (c clock) at(real time.Duration) fleet.Time {
	return fleet.Time(c.offset + c.rate*float64(real))
}

func drawClock(t *rapid.T, name string) clock {
	rate := rapid.OneOf(rapid.Just(0.99), rapid.Just(1.01), rapid.Float64Range(0.99, 1.01)).Draw(t, name)
	return clock{rate, rapid.Float64Range(0, 1e12).Draw(t, name+" zero")}
}

// reportExchange is a report on its way to a leader, or the answer on its way back.
type reportExchange struct {
	t0   fleet.Time // by the agent's clock, read before the report is sent
	term int        // index of the leader that was verified for the report; -1: none yet
	left int        // 0: on its way to a leader, 1: leader verified, 2: answer on its way back, 3: ended without a renewing answer
}

// TestAgentLeaseEndsFirst checks that a node is present while its AgentLease is held, for clocks whose rates are off by up to 1 %,
// stalls between any two steps, lost, late and reordered messages, and failovers with and without the commands that the old leader
// had proposed.
func TestAgentLeaseEndsFirst(t *testing.T) {
	lapses := 0
	renewals := 0
	failovers := 0
	rapid.Check(t, func(t *rapid.T) {
		m := fleet.Member{Node: "n", Zone: "z", Incarnation: 7}
		agentClock := drawClock(t, "agent")
		var agentLease AgentLease
		var state State
		var real time.Duration
		type leader struct {
			clock  clock
			leases *Leases
		}
		leaders := []leader{}
		var proposed []fleet.Member // expiries that the present leader proposed, in the log and not yet applied
		newLeader := func() {
			c := drawClock(t, "leader")
			leaders = append(leaders, leader{c, NewLeases(c.at(real), ttl)})
		}
		newLeader()
		var exchanges []*reportExchange
		proposeExpired := func() {
			l := leaders[len(leaders)-1]
			proposed = append(proposed, l.leases.Expired(l.clock.at(real), &state)...)
		}
		resolveProposed := func(apply bool) {
			for _, p := range proposed {
				if apply {
					if ok, _ := state.Apply(Command{Operation: Expire, Member: p}); ok {
						lapses++
					}
				}
				leaders[len(leaders)-1].leases.Resolved(p)
			}
			proposed = nil
		}
		t.Repeat(map[string]func(*rapid.T){
			"stall": func(t *rapid.T) { real += time.Duration(rapid.IntRange(0, 2000).Draw(t, "per mille")) * ttl / 1000 },
			"send": func(t *rapid.T) {
				exchanges = append(exchanges, &reportExchange{t0: agentClock.at(real), term: -1})
			},
			"verify": func(t *rapid.T) { // the leader receives the report, joins the run if it is absent, and is confirmed as the leader
				for _, e := range exchanges {
					if e.left == 0 && rapid.Bool().Draw(t, "this") {
						state.Apply(Command{Operation: Join, Member: m})
						e.left, e.term = 1, len(leaders)-1
					}
				}
			},
			"answer": func(t *rapid.T) { // the leader may answer much later, and may not be the leader any more
				for _, e := range exchanges {
					if l := leaders[max(e.term, 0)]; e.left == 1 && rapid.Bool().Draw(t, "this") {
						e.left = 3
						if (e.term < len(leaders)-1 || state.Present(m)) && l.leases.Renew(l.clock.at(real), m) == nil {
							e.left = 2
						}
					}
				}
			},
			"hear": func(t *rapid.T) {
				for _, e := range exchanges {
					if e.left == 2 && rapid.Bool().Draw(t, "this") {
						agentLease.Renew(e.t0, ttl)
						renewals++
					}
				}
			},
			"renewed at once": func(t *rapid.T) {
				l := leaders[len(leaders)-1]
				state.Apply(Command{Operation: Join, Member: m})
				if t0 := agentClock.at(real); l.leases.Renew(l.clock.at(real), m) == nil {
					agentLease.Renew(t0, ttl)
					renewals++
				}
			},
			"tick":   func(t *rapid.T) { proposeExpired() },
			"commit": func(t *rapid.T) { resolveProposed(true) },
			"lapse at the soonest": func(t *rapid.T) {
				for range 1010 {
					if proposeExpired(); len(proposed) > 0 {
						break
					}
					real += ttl / 500
				}
				resolveProposed(true)
			},
			"failover": func(t *rapid.T) {
				resolveProposed(rapid.Bool().Draw(t, "its proposals were committed"))
				failovers++
				newLeader()
			},
			"": func(t *rapid.T) {
				if left := agentLease.Remaining(agentClock.at(real)); left > 0 && !state.Present(m) {
					t.Fatalf("at %v the agent's lease has %v left, but the node is not present", real, left)
				}
			},
		})
	})
	if lapses < 50 || renewals < 50 || failovers < 50 {
		t.Errorf("%d lapses, %d renewals, %d failovers: the schedules cover too few", lapses, renewals, failovers)
	}
}

// TestAgentLeasePart checks the calculation of the page: with the slowest agent clock and the fastest leader clock, the agent's lease
// ends before the leader's, with 0.02 of the TTL to spare.
func TestAgentLeasePart(t *testing.T) {
	if spare := 1/1.01 - AgentLeasePart/0.99; spare < 0.02 || math.IsNaN(spare) {
		t.Errorf("%.4f of ttl to spare", spare)
	}
}

func TestJoinsThatAreRejected(t *testing.T) {
	var s State
	for _, m := range []fleet.Member{{Node: "a", Zone: "x", Incarnation: 5}, {Node: "b", Zone: "y", Incarnation: 5}} {
		if ok, err := s.Apply(Command{Operation: Join, Member: m, Slots: 2}); !ok || err != nil {
			t.Fatal(m, err)
		}
	}
	for _, row := range []struct {
		m    fleet.Member
		want error
	}{
		{fleet.Member{Node: "c", Zone: "x", Incarnation: 1}, ErrNoSlot},
		{fleet.Member{Node: "", Zone: "x", Incarnation: 1}, fleet.ErrInvalid},
		{fleet.Member{Node: "c", Zone: "", Incarnation: 1}, fleet.ErrInvalid},
		{fleet.Member{Node: "c", Zone: "x"}, fleet.ErrInvalid},
		{fleet.Member{Node: "a", Zone: "y", Incarnation: 5}, fleet.ErrInvalid}, // the same run in another zone
		{fleet.Member{Node: "a", Zone: "x", Incarnation: 4}, fleet.ErrFenced},
	} {
		if ok, err := s.Apply(Command{Operation: Join, Member: row.m, Slots: 2}); ok || !errors.Is(err, row.want) {
			t.Errorf("%+v: %v, %v", row.m, ok, err)
		}
	}
	if s.Epoch != 2 || len(s.Members) != 2 {
		t.Errorf("rejected joins changed the state: %+v", s)
	}
}
