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

// clock reads a process's own clock at a moment of real time: its rate is off by up to 1 %, its zero is anywhere.
type clock struct{ rate, zero float64 }

func (c clock) at(real time.Duration) fleet.Time {
	return fleet.Time(c.zero + c.rate*float64(real))
}

func drawClock(t *rapid.T, name string) clock {
	rate := rapid.OneOf(rapid.Just(0.99), rapid.Just(1.01), rapid.Float64Range(0.99, 1.01)).Draw(t, name)
	return clock{rate, rapid.Float64Range(0, 1e12).Draw(t, name+" zero")}
}

type flight struct {
	t0   fleet.Time // by the agent's clock, before the sending
	term int        // that verified it; -1: not yet
	left int        // 0 on its way to a leader, 1 verified, 2 answered and on its way back
}

// Whatever the clocks' rates within 1 %, the stalls between any two steps, lost, late and reordered messages, and
// failovers with and without what the old leader had proposed: while an agent's count says held, its node is present.
func TestHolderIsOutFirst(t *testing.T) {
	lapses := 0
	renewals := 0
	failovers := 0
	rapid.Check(t, func(t *rapid.T) {
		m := fleet.Member{Node: "n", Zone: "z", Incarnation: 7}
		agent := drawClock(t, "agent")
		var holder AgentLease
		var state State
		var real time.Duration
		type leader struct {
			clock  clock
			leases *Leases
		}
		leaders := []leader{}
		var proposed []fleet.Member // lapses of the present leader, in the log and not yet applied
		newLeader := func() {
			c := drawClock(t, "leader")
			leaders = append(leaders, leader{c, NewLeases(c.at(real), ttl)})
		}
		newLeader()
		var air []*flight
		tick := func() {
			l := leaders[len(leaders)-1]
			proposed = append(proposed, l.leases.Expired(l.clock.at(real), &state)...)
		}
		settle := func(apply bool) {
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
			"send":  func(t *rapid.T) { air = append(air, &flight{t0: agent.at(real), term: -1}) },
			"verify": func(t *rapid.T) { // the leader has it, joins it where absent, and is confirmed as the leader
				for _, f := range air {
					if f.left == 0 && rapid.Bool().Draw(t, "this") {
						state.Apply(Command{Operation: Join, Member: m})
						f.left, f.term = 1, len(leaders)-1
					}
				}
			},
			"answer": func(t *rapid.T) { // perhaps long after, perhaps no longer the leader
				for _, f := range air {
					if l := leaders[max(f.term, 0)]; f.left == 1 && rapid.Bool().Draw(t, "this") {
						f.left = 3
						if (f.term < len(leaders)-1 || state.Present(m)) && l.leases.Renew(l.clock.at(real), m) == nil {
							f.left = 2
						}
					}
				}
			},
			"hear": func(t *rapid.T) {
				for _, f := range air {
					if f.left == 2 && rapid.Bool().Draw(t, "this") {
						holder.Renew(f.t0, ttl)
						renewals++
					}
				}
			},
			"renewed at once": func(t *rapid.T) {
				l := leaders[len(leaders)-1]
				state.Apply(Command{Operation: Join, Member: m})
				if t0 := agent.at(real); l.leases.Renew(l.clock.at(real), m) == nil {
					holder.Renew(t0, ttl)
					renewals++
				}
			},
			"tick":   func(t *rapid.T) { tick() },
			"commit": func(t *rapid.T) { settle(true) },
			"lapse at the soonest": func(t *rapid.T) {
				for range 1010 {
					if tick(); len(proposed) > 0 {
						break
					}
					real += ttl / 500
				}
				settle(true)
			},
			"failover": func(t *rapid.T) {
				settle(rapid.Bool().Draw(t, "its proposals were committed"))
				failovers++
				newLeader()
			},
			"": func(t *rapid.T) {
				if left := holder.Remaining(agent.at(real)); left > 0 && !state.Present(m) {
					t.Fatalf("at %v the agent counts %v more and the node is not present", real, left)
				}
			},
		})
	})
	if lapses < 50 || renewals < 50 || failovers < 50 {
		t.Errorf("%d lapses, %d renewals, %d failovers: too few to prove anything", lapses, renewals, failovers)
	}
}

// The page's arithmetic: the slowest agent is out before the fastest leader can say so, with 0.02 of ttl to spare.
func TestHoldPart(t *testing.T) {
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
		t.Errorf("refusals changed the state: %+v", s)
	}
}
