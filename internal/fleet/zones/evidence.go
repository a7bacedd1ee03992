package zones

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"meadowsill/internal/fleet"
)

// Limits on what one report is believed to count.
const (
	maxZones        = 256
	maxCount        = 1 << 20
	maxMedianFactor = 8 // a node counts for no more than so many times the median node
)

// reportWindow is one report's counts. From is the intent that the node held when the window began.
type reportWindow struct {
	receivedAt fleet.Time
	length     fleet.Time
	revision   uint64
	zones      map[string]fleet.ZoneEvidence
}

// nodeRun is what is known of one node's run.
type nodeRun struct {
	fleet.Member
	sequence    uint64
	revision    uint64
	ready       bool
	receivedAt  fleet.Time
	windows     []reportWindow // the newest last
	counts      map[string]zoneCount
	countsUntil fleet.Time // counts hold until then, unless a window comes
}

// recordReport keeps a report; it reports whether it was newer than what is known.
func (ctl *Controller) recordReport(now fleet.Time, v fleet.NodeView) (*nodeRun, bool) {
	n := ctl.nodes[v.Node]
	at := min(v.ReceivedAt, now)
	if n != nil && (v.Incarnation < n.Incarnation || v.Incarnation == n.Incarnation && v.Report.Sequence <= n.sequence) {
		return n, false
	}
	if v.Node == "" || now-at > ctl.settings.EvidenceLifetime {
		return n, false
	}
	if n == nil || v.Incarnation > n.Incarnation {
		n = &nodeRun{Member: v.Member}
		ctl.nodes[v.Node] = n
	}
	w := reportWindow{receivedAt: at, length: fleet.Time(v.Report.WindowMS) * 1e6, revision: n.revision}
	n.sequence = v.Report.Sequence
	n.revision = v.Report.Revision
	n.ready = v.Report.Ready
	n.receivedAt = at
	n.Zone = v.Zone
	if w.length > 0 && w.length <= ctl.settings.EvidenceLifetime && len(v.Report.Zones) <= maxZones {
		w.zones = map[string]fleet.ZoneEvidence{}
		for _, c := range v.Report.Zones {
			if _, twice := w.zones[c.Zone]; !twice && isPlausible(c) {
				w.zones[c.Zone] = c
			}
		}
		n.windows = append(n.windows, w)
		n.counts = nil
	}
	n.windows = slices.DeleteFunc(n.windows, func(w reportWindow) bool { return now-w.receivedAt > ctl.settings.EvidenceLifetime })
	return n, true
}

// isPlausible reports whether a count could be a node's: no more of a part than of the whole.
func isPlausible(c fleet.ZoneEvidence) bool {
	return c.Zone != "" && len(c.Zone) <= 64 && !strings.ContainsAny(c.Zone, "@/") &&
		c.Lost >= 0 && c.Answered >= 0 && c.Lost <= maxCount && c.Answered <= maxCount && c.Attempts <= maxCount &&
		c.Lost+c.Answered <= c.Attempts && c.LostServers >= 0 && c.LostServers <= c.Servers && c.LostServers <= c.Lost &&
		c.Servers <= c.Attempts && c.Listed >= 0 && c.Listed <= maxCount && c.Started >= 0 && c.Started <= maxCount
}

// vote is what a node's evidence says of a zone.
type vote int8

const (
	noVote vote = iota
	voteFailing
	voteMixed
	voteHealthy
)

// nodeView is what one counted node saw of late, by zone.
type nodeView struct {
	fleet.Member
	revision uint64
	ready    bool
	faulty   bool // it sees every zone fail that it tried: its vote is not counted
	zones    map[string]zoneCount
}

// zoneCount is a node's evidence on a zone over the newest windows of EvidenceWindow.
type zoneCount struct {
	attempts       int
	lost           int
	answered       int
	lostServers    int
	listed         int
	rate           float64 // answers/s
	vote           vote
	newestAnswered bool // the newest of its windows with attempts had an answer
}

// fleetView is what the leader sees now: the present nodes with fresh reports, by name.
type fleetView struct {
	now           fleet.Time
	nodes         []nodeView
	presentByZone map[string]int // nodes by zone
	presentCount  int            // present
	zones         []string       // that anyone counted, in order
}

// hasQuorum reports whether enough of the present nodes are heard to evaluate at all.
func (v fleetView) hasQuorum() bool { return v.presentCount > 0 && 2*len(v.nodes) >= v.presentCount }

func (ctl *Controller) currentView(now fleet.Time, present []fleet.Member) fleetView {
	v := fleetView{now: now, presentByZone: map[string]int{}, presentCount: len(present)}
	zones, names := map[string]bool{}, map[string]bool{}
	for _, m := range present {
		v.presentByZone[m.Zone]++
		names[m.Node] = true
		n := ctl.nodes[m.Node]
		if n == nil || n.Incarnation != m.Incarnation || now-n.receivedAt > ctl.settings.EvidenceLifetime {
			continue
		}
		if n.counts == nil || now > n.countsUntil {
			n.sumWindows(now, &ctl.settings)
		}
		for z := range n.counts {
			zones[z] = true
		}
		v.nodes = append(v.nodes, nodeView{Member: m, revision: n.revision, ready: n.ready, zones: n.counts, faulty: isFaultyNode(n.counts)})
	}
	maps.DeleteFunc(ctl.nodes, func(name string, n *nodeRun) bool {
		return !names[name] && now-n.receivedAt > ctl.settings.EvidenceLifetime
	})
	slices.SortFunc(v.nodes, func(a, b nodeView) int { return cmp.Compare(a.Node, b.Node) })
	v.zones = slices.Sorted(maps.Keys(zones))
	return v
}

// sumWindows counts all that the windows have which are not stale.
func (n *nodeRun) sumWindows(now fleet.Time, set *Settings) {
	n.counts, n.countsUntil = map[string]zoneCount{}, now+set.EvidenceLifetime
	for _, w := range n.windows {
		if now-w.receivedAt > set.EvidenceLifetime {
			continue
		}
		n.countsUntil = min(n.countsUntil, w.receivedAt+set.EvidenceLifetime)
		for z := range w.zones {
			if _, ok := n.counts[z]; !ok {
				n.counts[z] = set.countWindows(now, n, z, 0)
			}
		}
	}
}

// countWindows adds up a node's newest windows on a zone, back over EvidenceWindow, of those that began at revision from or later.
// The vote is of the newest of them that are enough for one.
func (s *Settings) countWindows(now fleet.Time, n *nodeRun, zone string, from uint64) (c zoneCount) {
	var length fleet.Time
	servers, maxServers := 0, 0
	for i := len(n.windows) - 1; i >= 0 && length < s.EvidenceWindow; i-- {
		w := n.windows[i]
		if now-w.receivedAt > s.EvidenceLifetime || w.revision < from {
			break
		}
		length += w.length
		z := w.zones[zone]
		if c.attempts == 0 {
			c.newestAnswered = z.Answered > 0
		}
		c.attempts += z.Attempts
		c.lost += z.Lost
		c.answered += z.Answered
		c.lostServers += z.LostServers
		servers, maxServers = servers+z.Servers, max(maxServers, z.Servers)
		if c.listed == 0 {
			c.listed = z.Listed
		}
		if c.vote == noVote && (maxServers >= 2 || servers >= 3 || c.listed == 1 && servers > 0) {
			switch part := float64(c.lostServers) / float64(servers); {
			case part >= s.FailingServersPart:
				c.vote = voteFailing
			case part < 0.5:
				c.vote = voteHealthy
			default:
				c.vote = voteMixed
			}
		}
	}
	if length > 0 {
		c.rate = float64(c.answered) / length.Seconds()
	}
	return c
}

// isFaultyNode reports whether every zone that a node tried fails: then the node is the fault.
func isFaultyNode(zones map[string]zoneCount) bool {
	fail, ok := 0, 0
	for _, c := range zones {
		switch {
		case c.vote == voteFailing:
			fail++
		default:
			ok += c.answered
		}
	}
	return fail > 0 && ok == 0
}

// clampToMedian returns what each value counts for: no more than a few times the median of those above 0.
func clampToMedian(values []float64) []float64 {
	above := slices.DeleteFunc(slices.Clone(values), func(x float64) bool { return x <= 0 })
	if len(above) == 0 {
		return values
	}
	slices.Sort(above)
	maximum := maxMedianFactor * above[(len(above)-1)/2]
	out := slices.Clone(values)
	for i, x := range out {
		out[i] = min(x, maximum)
	}
	return out
}

// median of what counted nodes say is listed of a zone; 0 where nobody lists any.
func (v fleetView) medianListed(zone string) int {
	var all []int
	for _, s := range v.nodes {
		if n := s.zones[zone].listed; n > 0 {
			all = append(all, n)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}
