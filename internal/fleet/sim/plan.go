// Package sim runs the fleet's pure cores with hundreds of nodes in one process, on a seeded schedule of drops,
// delays, reorders, duplicates, stalls, crashes, restarts, new leaders, lost zones and clocks that differ. Runs of the
// same plan are identical. The simulator checks the rules of docs/fleet.md against the true state of all nodes and
// servers, which no node knows.
package sim

import (
	"math/rand/v2"
	"time"
)

// Plan describes one run: its size, its traffic, its faults and the operator's changes.
type Plan struct {
	Seed     uint64        `json:"seed"`
	Nodes    int           `json:"nodes"`
	Zones    int           `json:"zones"`
	Servers  int           `json:"servers"` // app servers in each zone
	Duration time.Duration `json:"for"`
	Loss     float64       `json:"loss"`             // probability that a message of the control plane or an attempt is lost
	Jitter   time.Duration `json:"jitter"`           // maximum random part of a message's delay
	Module   bool          `json:"module"`           // requests are decided by the policy module instead of the simulator's simple choice of servers
	Alone    bool          `json:"alone"`            // the control plane issues no directives: each node evaluates zones by itself
	Scopes   [][]string    `json:"scopes,omitempty"` // services of the nodes, assigned in turn; an empty list stands for every service
	Faults   []Fault       `json:"faults"`
	Changes  []Change      `json:"changes"`
}

// Change is an operator's change of a tenant: a new quota or the tenant's removal.
type Change struct {
	Time     time.Duration `json:"at"`
	Tenant   string        `json:"tenant"`
	Service  string        `json:"service,omitempty"`
	Rate     float64       `json:"rate"`   // requests/s; 0 removes the tenant
	Rejected bool          `json:"refuse"` // the first node rejects the change
}

// Kinds of faults.
const (
	ZoneLost     = "zone lost"  // the zone's servers give no answer; at the fault's end they restart and are warming up
	ZoneGray     = "zone gray"  // attempts at the zone are lost with Probability
	ZoneCut      = "zone cut"   // the nodes of zone From lose all attempts at the zone
	Disconnected = "deaf"       // the messages between every Stride-th node and the control plane are lost
	Slow         = "slow"       // messages of every Stride-th node take up to a second longer, and overtake each other
	Duplicated   = "twice"      // messages of every Stride-th node arrive twice, the second one late
	Stall        = "stall"      // the processes of every Stride-th node stall
	Crash        = "crash"      // every Stride-th node is killed; at the fault's end it returns as a new incarnation with its disk copy
	Rolling      = "rolling"    // all nodes are restarted one after another; each is down for a second
	NewLeader    = "new leader" // the leader is lost; another is elected at the end
	Liar         = "liar"       // one node reports that one zone, or every zone, fails
)

// Fault is one scheduled fault.
type Fault struct {
	Kind        string        `json:"kind"`
	Start       time.Duration `json:"at"`
	Duration    time.Duration `json:"for"`
	Zone        int           `json:"zone"`
	From        int           `json:"from"`
	First       int           `json:"first"` // index of an affected node
	Stride      int           `json:"nth"`   // distance between affected nodes, counted from First
	Probability float64       `json:"p"`
}

func (f Fault) isActive(now time.Duration) bool { return f.Start <= now && now < f.Start+f.Duration }

func (f Fault) affects(i int) bool { return i%max(f.Stride, 1) == f.First%max(f.Stride, 1) }

// Draw returns the random plan of a seed: one zone is lost and returns, and up to six other faults occur at random times.
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
	kinds := []string{ZoneLost, ZoneGray, ZoneCut, Disconnected, Slow, Duplicated, Stall, Crash, Rolling, NewLeader, Liar}
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

// drawScopes gives two of three plans scopes for some nodes and services for some tenants. It draws from its own random
// stream, so that a seed's faults are the same with and without scopes.
func (p *Plan) drawScopes() {
	r := rand.New(rand.NewPCG(p.Seed, 0x5c09e))
	if r.IntN(3) == 0 {
		return
	}
	choices := [][]string{nil, {"perfume"}, {"retail"}, {"perfume", "retail"}}
	for range 2 + r.IntN(4) {
		p.Scopes = append(p.Scopes, choices[r.IntN(len(choices))])
	}
	services := map[string]string{"amouage": "perfume"}
	if r.IntN(2) == 0 {
		services["lulu"] = "retail"
	}
	for i := range p.Changes {
		p.Changes[i].Service = services[p.Changes[i].Tenant]
	}
}

// Calm returns a plan in which one zone is lost and returns, with no other fault.
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

// Unrest returns a plan without zone faults: it has lost messages and attempts, jitter and rolling restarts.
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
