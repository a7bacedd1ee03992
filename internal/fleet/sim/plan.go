// Package sim runs the fleet's pure cores with hundreds of nodes in one process, on a seeded schedule of drops,
// delays, reorders, duplicates, stalls, crashes, restarts, new leaders, lost zones and clocks that differ. The same
// plan runs the same way every time. What it checks are the rules of docs/fleet.md as an observer sees them who
// knows what really happened.
package sim

import (
	"math/rand/v2"
	"time"
)

// Plan is one run.
type Plan struct {
	Seed     uint64        `json:"seed"`
	Nodes    int           `json:"nodes"`
	Zones    int           `json:"zones"`
	Servers  int           `json:"servers"` // of a zone
	Duration time.Duration `json:"for"`
	Loss     float64       `json:"loss"`             // of every message of the control plane, and of every attempt
	Jitter   time.Duration `json:"jitter"`           // of a message's delay, at most
	Module   bool          `json:"module"`           // requests are decided by the module, else in a simple way of the simulator's own
	Alone    bool          `json:"alone"`            // the control plane gives no directives: each node evaluates for itself
	Scopes   [][]string    `json:"scopes,omitempty"` // of the nodes, in turn: the services of each, none for every service
	Faults   []Fault       `json:"faults"`
	Changes  []Change      `json:"changes"`
}

// Change is what an operator does with a tenant: a new quota, or its removal.
type Change struct {
	Time     time.Duration `json:"at"`
	Tenant   string        `json:"tenant"`
	Service  string        `json:"service,omitempty"`
	Rate     float64       `json:"rate"`   // requests/s; 0 removes it
	Rejected bool          `json:"refuse"` // one node rejects it
}

// Kinds of faults.
const (
	ZoneLost  = "zone lost"  // its servers give no answer; at the end they have been restarted and are warming up
	ZoneGray  = "zone gray"  // Probability of the attempts at it are lost
	ZoneCut   = "zone cut"   // the nodes of From lose all attempts at it
	Deaf      = "deaf"       // every Stride-th node hears and sends nothing of the control plane
	Slow      = "slow"       // their messages take up to a second more, and overtake each other
	Twice     = "twice"      // their messages come twice, the second late
	Stall     = "stall"      // their processes stand still
	Crash     = "crash"      // they are killed, and back at the end as new incarnations with their disk copies
	Rolling   = "rolling"    // every node is restarted in its turn, each down for a second
	NewLeader = "new leader" // the leader is lost; another is elected at the end
	Liar      = "liar"       // one node reports that one zone, or every one, fails
)

// Fault is one thing that happens.
type Fault struct {
	Kind        string        `json:"kind"`
	Start       time.Duration `json:"at"`
	Duration    time.Duration `json:"for"`
	Zone        int           `json:"zone"`
	From        int           `json:"from"`
	First       int           `json:"first"` // of the nodes that it is about
	Stride      int           `json:"nth"`   // every so many nodes from First on
	Probability float64       `json:"p"`
}

func (f Fault) isActive(now time.Duration) bool { return f.Start <= now && now < f.Start+f.Duration }

func (f Fault) hits(i int) bool { return i%max(f.Stride, 1) == f.First%max(f.Stride, 1) }

// Draw makes the plan of a seed: a zone is lost and returns, and up to six other faults come at any time.
func Draw(seed uint64, nodes int) Plan {
	r := rand.New(rand.NewPCG(seed, 0x5eed))
	p := Plan{
		Seed:     seed,
		Nodes:    nodes,
		Zones:    3 + r.IntN(3),
		Servers:  3 + r.IntN(4),
		Duration: 45 * time.Second,
		Loss:     r.Float64() * 0.05,
		Jitter:   time.Duration(1+r.IntN(50)) * time.Millisecond,
	}
	p.Faults = append(p.Faults, Fault{Kind: ZoneLost, Start: 6*time.Second + ms(r, 4000), Duration: time.Second + ms(r, 9000), Zone: r.IntN(p.Zones)})
	kinds := []string{ZoneLost, ZoneGray, ZoneCut, Deaf, Slow, Twice, Stall, Crash, Rolling, NewLeader, Liar}
	for range r.IntN(7) {
		f := Fault{
			Kind:        kinds[r.IntN(len(kinds))],
			Start:       4*time.Second + ms(r, 30000),
			Duration:    200*time.Millisecond + ms(r, 12000),
			Zone:        r.IntN(p.Zones),
			From:        r.IntN(p.Zones),
			First:       r.IntN(nodes),
			Stride:      2 + r.IntN(10),
			Probability: 0.2 + 0.6*r.Float64(),
		}
		switch f.Kind {
		case NewLeader:
			f.Duration = 300*time.Millisecond + ms(r, 1200)
		case Rolling:
			f.Duration = time.Duration(nodes) * 300 * time.Millisecond
		case Liar:
			f.Stride = nodes
		}
		p.Faults = append(p.Faults, f)
	}
	p.Changes = []Change{{Time: 2 * time.Second, Tenant: "amouage", Rate: 100}, {Time: 2 * time.Second, Tenant: "lulu", Rate: 20}}
	for range r.IntN(6) {
		c := Change{Time: 8*time.Second + ms(r, 32000), Tenant: []string{"amouage", "lulu"}[r.IntN(2)], Rate: 10 + 190*r.Float64(), Rejected: r.IntN(6) == 0}
		if r.IntN(6) == 0 {
			c.Rate = 0
		}
		p.Changes = append(p.Changes, c)
	}
	p.drawScopes()
	return p
}

// drawScopes returns two plans of three scopes to some nodes, and to a tenant its service. It draws from a stream of its own, so
// that a seed's faults are the same with and without.
func (p *Plan) drawScopes() {
	r := rand.New(rand.NewPCG(p.Seed, 0x5c09e))
	if r.IntN(3) == 0 {
		return
	}
	every := [][]string{nil, {"perfume"}, {"retail"}, {"perfume", "retail"}}
	for range 2 + r.IntN(4) {
		p.Scopes = append(p.Scopes, every[r.IntN(len(every))])
	}
	services := map[string]string{"amouage": "perfume"}
	if r.IntN(2) == 0 {
		services["lulu"] = "retail"
	}
	for i := range p.Changes {
		p.Changes[i].Service = services[p.Changes[i].Tenant]
	}
}

// Calm is the plan of a zone's loss and return with no other fault.
func Calm(seed uint64, nodes int) Plan {
	p := Draw(seed, nodes)
	p.Zones = 3
	p.Servers = 4
	p.Loss = 0
	p.Jitter = 5 * time.Millisecond
	p.Faults = p.Faults[:1]
	p.Faults[0].Zone %= p.Zones
	p.Scopes, p.Changes = nil, p.Changes[:2]
	for i := range p.Changes {
		p.Changes[i].Service = ""
	}
	return p
}

// Unrest is a plan with no zone's fault: lost messages and attempts, jitter and rolling restarts.
func Unrest(seed uint64, nodes int, length time.Duration) Plan {
	p := Calm(seed, nodes)
	p.Duration = length
	p.Loss = 0.05
	p.Jitter = 50 * time.Millisecond
	p.Faults = nil
	for at := 5 * time.Second; at < length; at += time.Duration(nodes) * 300 * time.Millisecond {
		p.Faults = append(p.Faults, Fault{Kind: Rolling, Start: at, Duration: time.Duration(nodes) * 300 * time.Millisecond})
	}
	return p
}

func ms(r *rand.Rand, n int) time.Duration { return time.Duration(r.IntN(n)) * time.Millisecond }
