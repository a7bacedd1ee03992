// Package lab runs a fleet of real node processes on loopback against the lab's stubs. A scenario's timeline sets faults on the
// links between them. The package records what happened, for the invariant checker and the report.
package lab

import (
	"bytes"
	"fmt"
	"sort"

	"github.com/BurntSushi/toml"
)

// Scenario describes a lab run, as read from a TOML file (docs/lab.md). Times are in seconds from the run's start.
type Scenario struct {
	Name      string   `toml:"name"`
	About     string   `toml:"about"`
	Seed      uint64   `toml:"seed"`
	DurationS float64  `toml:"duration_s"`
	Fleet     Fleet    `toml:"fleet"`
	Servers   Servers  `toml:"servers"`
	Load      Load     `toml:"load"`
	Events    []Event  `toml:"events"`
	Checks    []string `toml:"expect_breaches"` // rules that this scenario is expected to break, as a test of the checker
}

// Fleet describes the processes of a run.
type Fleet struct {
	Nodes            int                 `toml:"nodes"`
	Servers          int                 `toml:"servers"`
	Zones            []string            `toml:"zones"`
	Regions          map[string][]string `toml:"regions"`        // zones by region; a zone is in at most one region
	ReadyS           float64             `toml:"ready_s"`        // how long a node may take until /health/ready answers 200
	NoticeS          float64             `toml:"front_notice_s"` // how long the front goes on routing connections to a node that died
	NodeBinary       string              `toml:"node_binary"`
	Discovery        string              `toml:"discovery"` // "stub" (part of the lab) or "replicated" (replicas and one agent per node)
	Replicas         int                 `toml:"replicas"`  // number of discovery's replicas
	DiscoveryBinary  string              `toml:"discovery_binary"`
	Control          bool                `toml:"control"` // run the control plane of docs/fleet.md on discovery's replicas
	TTLMS            int                 `toml:"ttl_ms"`  // lifetime of the control plane's sessions
	Follow           bool                `toml:"follow"`  // with control: nodes are configured with the fleet block; false shows what they do without it
	Gossip           bool                `toml:"gossip"`  // run a member for each node (cmd/membership)
	MembershipBinary string              `toml:"membership_binary"`
}

// Servers describes the stub app servers, which are all alike.
type Servers struct {
	Capacity  int     `toml:"capacity"`
	LatencyMS float64 `toml:"latency_ms"`
	Spread    float64 `toml:"spread"`
	MaxConns  int     `toml:"max_conns"`
	IdleS     float64 `toml:"idle_close_s"`
	ColdS     float64 `toml:"cold_s"`
}

// Load describes the open-loop load.
type Load struct {
	Rate        float64  `toml:"rate"`
	MaxRequests int      `toml:"max_requests"`
	Accounts    []string `toml:"accounts"` // tenants, each with an equal part of the load; by default those of the nodes' settings
	FromS       float64  `toml:"from_s"`
	ForS        float64  `toml:"for_s"`
}

// Event is one step of the timeline. Do decides which fields apply:
//
//	kill, term, hup, restart, stop, cont   nodes, agents, replicas
//	partition                              between (two selectors), or nodes with servers/zone
//	heal                                   (all links)
//	link                                   between, delay_ms, jitter_ms, bytes_per_s, refuse, blackhole, duplicate,
//	                                       loss, reorder, truncate
//	degrade                                servers or zone, mode (healthy, slow, failing, reset, silent)
//	restart-servers                        servers or zone, down_s
//	list                                   servers or zone, state (ready, draining, gone)
//	tenant                                 tenant, quota_per_s, burst, for the tenant's next generation (needs fleet.control)
//	tenant-delete                          tenant
//	drift                                  nodes, which get deviating settings by SIGHUP (needs fleet.control)
type Event struct {
	AtS       float64   `toml:"at_s"`
	Do        string    `toml:"do"`
	Nodes     string    `toml:"nodes"`    // "0.7" the first 0.7 of them, "3" one, "0-4" a range, "all", "zone:NAME"
	Servers   string    `toml:"servers"`  // the same for servers
	Agents    string    `toml:"agents"`   // the same for the nodes' agents (discovery "replicated")
	Replicas  string    `toml:"replicas"` // the same for discovery's replicas; or "leader"
	Zone      string    `toml:"zone"`
	Between   [2]string `toml:"between"` // docs/lab.md, "between"
	Mode      string    `toml:"mode"`
	State     string    `toml:"state"`
	DownS     float64   `toml:"down_s"`
	Tenant    string    `toml:"tenant"` // the tenant's name
	Quota     float64   `toml:"quota_per_s"`
	Burst     float64   `toml:"burst"`
	DelayMS   float64   `toml:"delay_ms"`
	JitterMS  float64   `toml:"jitter_ms"`
	BytesPerS int       `toml:"bytes_per_s"`
	Refuse    bool      `toml:"refuse"`
	Blackhole bool      `toml:"blackhole"`
	Duplicate bool      `toml:"duplicate"`
	Loss      float64   `toml:"loss"`     // share of stream pieces and datagrams that are lost
	Reorder   float64   `toml:"reorder"`  // share of datagrams that are reordered
	Truncate  int       `toml:"truncate"` // limit in bytes for each direction of a connection, and for each datagram
}

// maxSlowStartNS is invariants.cold_ns of the nodes' settings, in ns. App servers must be warm by then.
const maxSlowStartNS = 8.7e9

var actions = map[string]bool{"kill": true, "term": true, "hup": true, "restart": true, "stop": true, "cont": true,
	"partition": true, "heal": true, "link": true, "degrade": true, "restart-servers": true, "list": true,
	"tenant": true, "tenant-delete": true, "drift": true}

// ParseScenario reads a scenario and fills in the defaults. The error for an unknown key or an invalid value names that key or
// value.
func ParseScenario(name string, text []byte) (*Scenario, error) {
	s := Scenario{
		Seed:      1,
		DurationS: 20,
		Fleet: Fleet{
			Nodes:            4,
			Servers:          6,
			Zones:            []string{"a", "b"},
			ReadyS:           20,
			NoticeS:          2,
			NodeBinary:       "bin/balancer",
			Discovery:        "stub",
			Replicas:         3,
			DiscoveryBinary:  "bin/discovery",
			TTLMS:            6000,
			Follow:           true,
			MembershipBinary: "bin/membership",
		},
		Servers: Servers{Capacity: 8, LatencyMS: 20, Spread: 0.3, MaxConns: 256, IdleS: 15, ColdS: 5},
		Load:    Load{Rate: 100, MaxRequests: 100000, FromS: 1},
	}
	md, err := toml.NewDecoder(bytes.NewReader(text)).Decode(&s)
	if err != nil {
		return nil, fmt.Errorf("scenario %s: %w", name, err)
	}
	if undecoded := md.Undecoded(); len(undecoded) > 0 {
		return nil, fmt.Errorf("scenario %s: %w", name, unknownKey(undecoded[0].String()))
	}
	if err := s.Fleet.checkRenamed(); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", name, err)
	}
	if s.Name == "" {
		s.Name = name
	}
	if s.Load.ForS == 0 {
		s.Load.ForS = s.DurationS - s.Load.FromS - 1
	}
	switch {
	case s.Fleet.Nodes < 1:
		return nil, fmt.Errorf("scenario %s: fleet.nodes %d is not above 0", name, s.Fleet.Nodes)
	case s.Fleet.Servers < 1 || s.Fleet.Servers > 2000:
		return nil, fmt.Errorf("scenario %s: fleet.servers %d is not within 1 to 2000", name, s.Fleet.Servers)
	case s.Fleet.Discovery != "stub" && s.Fleet.Discovery != "replicated":
		return nil, fmt.Errorf("scenario %s: fleet.discovery %q is neither stub nor replicated", name, s.Fleet.Discovery)
	case s.Fleet.Replicas < 1 || s.Fleet.Replicas > 7:
		return nil, fmt.Errorf("scenario %s: fleet.replicas %d is not within 1 to 7", name, s.Fleet.Replicas)
	case s.Fleet.Control && s.Fleet.Discovery != "replicated":
		return nil, fmt.Errorf("scenario %s: fleet.control needs fleet.discovery \"replicated\"", name)
	case len(s.Fleet.Zones) == 0:
		return nil, fmt.Errorf("scenario %s: fleet.zones is empty", name)
	case s.checkRegions() != nil:
		return nil, fmt.Errorf("scenario %s: %w", name, s.checkRegions())
	case s.Servers.ColdS*1e9 > maxSlowStartNS:
		return nil, fmt.Errorf("scenario %s: servers.cold_s %v is over the settings' %v", name, s.Servers.ColdS, maxSlowStartNS/1e9)
	case s.DurationS <= 0 || s.DurationS > 3600:
		return nil, fmt.Errorf("scenario %s: duration_s %v is not within 0 to 3600", name, s.DurationS)
	case s.Load.Rate <= 0 || s.Load.ForS <= 0 || s.Load.FromS+s.Load.ForS > s.DurationS:
		return nil, fmt.Errorf("scenario %s: load must have a rate and end within duration_s", name)
	}
	sort.SliceStable(s.Events, func(i, j int) bool { return s.Events[i].AtS < s.Events[j].AtS })
	for i, e := range s.Events {
		if !actions[e.Do] {
			return nil, fmt.Errorf("scenario %s: events[%d]: do %q is not an action", name, i, e.Do)
		}
		if e.AtS < 0 || e.AtS > s.DurationS {
			return nil, fmt.Errorf("scenario %s: events[%d]: at_s %v is outside the run", name, i, e.AtS)
		}
		if err := s.checkEvent(e); err != nil {
			return nil, fmt.Errorf("scenario %s: events[%d]: %w", name, i, err)
		}
	}
	return &s, nil
}
