package capacity

import "fmt"

const (
	listRevisionsKept = 1000.0 // number of revisions of the list by which a watch may lag behind (--keep-revisions)
)

// failure is one row of the page's table of failures.
type failure struct {
	event     string
	frequency string
	lost      string
	duration  string
	// nodes is the number of nodes that fail, and servers that of app servers.
	nodes   float64
	servers float64
	cut     bool // the nodes and servers keep running, and return with the state that they hold
}

func failures(p Plan) []failure {
	zoneNodes, zoneServers := p.Size.Nodes/p.Size.Zones, p.Size.Servers/p.Size.Zones
	regionNodes, regionServers := p.Size.Nodes/p.Size.Regions, p.Size.Servers/p.Size.Regions
	rack := p.Failures.RackMachines
	return []failure{
		{
			event:     "a machine with a node",
			frequency: fmt.Sprintf("up to %s a day", plain(p.Failures.MachinesPerDay)),
			nodes:     1,
			lost:      "the requests open on it",
			duration:  "6 s until its session lapses; rollouts of its services wait so long",
		},
		{
			event:     "a machine with an app server",
			frequency: fmt.Sprintf("up to %s a day", plain(p.Failures.MachinesPerDay)),
			servers:   1,
			lost:      "the attempts at it; nodes go elsewhere by themselves",
			duration:  "6 s until its lease lapses",
		},
		{
			event:     "a restart or replacement",
			frequency: fmt.Sprintf("%s a day", plain(p.Failures.RestartsPerDay)),
			nodes:     1,
			servers:   1,
			lost:      "nothing where it drains",
			duration:  "no rollout waits, but its leave and join change the epochs of its services",
		},
		{
			event:     fmt.Sprintf("a rack of %s or a switch", plain(rack)),
			frequency: "1 a week",
			nodes:     rack,
			servers:   rack,
			lost:      "the requests open there",
			duration:  "6 s, all in one sweep",
		},
		{
			event:     "a zone",
			frequency: "1 or 2 a year",
			nodes:     zoneNodes,
			servers:   zoneServers,
			lost:      "the requests open there; its attempts until the directive",
			duration:  "the directive after 0.3 to 0.7 s (docs/fleet.md, 50 nodes)",
		},
		{
			event:     "a region cut off for an hour",
			frequency: "now and then",
			nodes:     regionNodes,
			servers:   regionServers,
			cut:       true,
			lost: fmt.Sprintf("inside: %s changes missed, quotas at their floor, 0.2 of each",
				figure(p.Size.ChangesPerDay*p.Failures.RegionCutS/secondsPerDay)),
			duration: "the hour; its nodes serve what they hold",
		},
	}
}

// commands returns the number of commands in raft's log: a lapse or leave and a join for each node, one sweep for all servers and
// a registration for each server.
func (f failure) commands() float64 {
	out := 2 * f.nodes
	if f.servers > 0 {
		out += 1 + f.servers
	}
	return out
}

// listBytes returns the number of bytes that the watches of the list of all nodes together receive for the event.
func (f failure) listBytes(p Plan, s Slopes) float64 {
	entries := listChanges * f.servers * s.Get(ListBytes).Value
	if f.servers > listRevisionsKept { // the returning nodes lag behind by more revisions than are kept, and read the complete list
		return p.Size.Nodes*entries + f.nodes*s.Get(ListBytes).At(p.Size.Servers)
	}
	if f.servers == 0 {
		return 0
	}
	return p.Size.Nodes * (entries + listChanges*answerHeaderBytes)
}

// joinLockS returns the time in seconds for which the joins hold the leader's lock.
func (f failure) joinLockS(p Plan, s Slopes) float64 { return f.nodes * joinNanos(p, s) / nanosPerS }

// start is one row of the page's table of starts.
type start struct {
	event      string
	bytes      func(p Plan, s Slopes) float64 // for all nodes together
	seconds    func(p Plan, s Slopes) float64
	limit      string // the bottleneck that determines the time
	protection string // the mechanism that limits a rush of nodes
}

func scopedBytes(p Plan, s Slopes) float64 {
	return s.Get(CopyBytes).At(scopeTenants(p)) + s.Get(ListBytes).At(p.Size.Servers)
}

// readS returns the time in seconds that a replica needs for one node's complete reads.
func readS(p Plan, s Slopes) float64 {
	return (s.Get(ReadScope).At(scopeTenants(p)) + s.Get(ListReadComplete).At(p.Size.Servers)) / nanosPerS
}

var starts = []start{
	{
		event:      "one node from nothing",
		limit:      "7 KB/s",
		bytes:      scopedBytes,
		seconds:    func(p Plan, s Slopes) float64 { return scopedBytes(p, s) / p.Allowed.NodeBytesPerS },
		protection: "its agent serves nothing before it has all; the list is whole",
	},
	{
		event:      "all nodes from nothing, reads",
		limit:      "three replicas, one read after another",
		bytes:      func(p Plan, s Slopes) float64 { return p.Size.Nodes * scopedBytes(p, s) },
		seconds:    func(p Plan, s Slopes) float64 { return p.Size.Nodes / replicasToday * readS(p, s) },
		protection: "agents go on after 50 ms doubling to 2 s, with jitter; nothing at the replicas",
	},
	{
		event: "all nodes from nothing, the network",
		limit: "three replicas at 1 Gbit/s",
		bytes: func(p Plan, s Slopes) float64 { return p.Size.Nodes * scopedBytes(p, s) },
		seconds: func(p Plan, s Slopes) float64 {
			return p.Size.Nodes * scopedBytes(p, s) / (replicasToday * linkBytesPerS)
		},
		protection: "as above",
	},
	{
		event:      "all replicas were down, joins of all nodes",
		limit:      "the leader's lock",
		bytes:      func(p Plan, s Slopes) float64 { return p.Size.Nodes * s.Get(ReportBytes).At(scopeTenants(p)) },
		seconds:    func(p Plan, s Slopes) float64 { return p.Size.Nodes * joinNanos(p, s) / nanosPerS },
		protection: "durable copies: no whole read is needed; reports over 1 s old are let go; nothing at the leader",
	},
}
