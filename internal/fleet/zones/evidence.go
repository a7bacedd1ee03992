package zones

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"meadowsill/internal/fleet"
)

// Limits on the counts that are accepted from one node.
const (
	maxZones        = 256
	maxCount        = 1 << 20
	maxMedianFactor = 8 // a node counts for at most this multiple of the median node
)

// reportWindow holds the counts of one report. Its revision is that of the intent that the node held when the window began.
type reportWindow struct {
	receivedAt fleet.Time
	length     fleet.Time
	revision   uint64
	zones      map[string]fleet.ZoneEvidence
}

// nodeReports is what is known from the reports of one incarnation of a node.
type nodeReports struct {
	fleet.Member
	sequence    uint64
	revision    uint64
	ready       bool
	receivedAt  fleet.Time
	windows     []reportWindow // newest last
	counts      map[string]zoneCount
	countsUntil fleet.Time // counts are valid until then or until a new window arrives
}

// recordReport stores a report of a node, unless the report is stale, and reports whether it was newer than the stored ones.
func (ctl *Controller) recordReport(now fleet.Time, v fleet.NodeView) (*nodeReports, bool) {
	n := ctl.nodes[v.Node]
	at := min(v.ReceivedAt, now)
	if n != nil && (v.Incarnation < n.Incarnation || v.Incarnation == n.Incarnation && v.Report.Sequence <= n.sequence) {
		return n, false
	}
	if v.Node == "" || now-at > ctl.settings.EvidenceLifetime {
		return n, false
	}
	if n == nil || v.Incarnation > n.Incarnation {
		n = &nodeReports{Member: v.Member}
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
			if _, duplicate := w.zones[c.Zone]; !duplicate && isPlausible(c) {
				w.zones[c.Zone] = c
			}
		}
		n.windows = append(n.windows, w)
		n.counts = nil
	}
	n.windows = slices.DeleteFunc(n.windows, func(w reportWindow) bool { return now-w.receivedAt > ctl.settings.EvidenceLifetime })
	return n, true
}

// isPlausible reports whether a correct node could have counted this: no part exceeds its whole, and the limits are kept.
func isPlausible(c fleet.ZoneEvidence) bool {
	return c.Zone != "" && len(c.Zone) <= 64 && !strings.ContainsAny(c.Zone, "@/") &&
		c.Lost >= 0 && c.Answered >= 0 && c.Lost <= maxCount && c.Answered <= maxCount && c.Attempts <= maxCount &&
		c.Lost+c.Answered <= c.Attempts && c.LostServers >= 0 && c.LostServers <= c.Servers && c.LostServers <= c.Lost &&
		c.Servers <= c.Attempts && c.Listed >= 0 && c.Listed <= maxCount && c.Started >= 0 && c.Started <= maxCount
}

// vote is the state of a zone by one node's evidence.
type vote int8

const (
	noVote vote = iota
	voteFailing
	voteMixed
	voteHealthy
)

// nodeView is what one node with fresh reports saw recently, by zone.
type nodeView struct {
	fleet.Member
	revision uint64
	ready    bool
	faulty   bool // every zone that the node tried fails for it: its vote is not counted
	zones    map[string]zoneCount
}

// zoneCount sums up a node's evidence on a zone, over its newest windows back over EvidenceWindow.
type zoneCount struct {
	attempts       int
	lost           int
	answered       int
	lostServers    int
	listed         int
	rate           float64 // answers/s
	vote           vote
	newestAnswered bool // the newest of the windows with attempts had an answer
}

// fleetView is what the leader sees now. Its nodes are the present ones with fresh reports, sorted by name.
type fleetView struct {
	now           fleet.Time
	nodes         []nodeView
	presentByZone map[string]int // present nodes by zone, with or without fresh reports
	presentCount  int            // present nodes, with or without fresh reports
	zones         []string       // zones that any node has counted, sorted
}

// hasQuorum reports whether enough of the present nodes have fresh reports for an evaluation.
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
	maps.DeleteFunc(ctl.nodes, func(name string, n *nodeReports) bool {
		return !names[name] && now-n.receivedAt > ctl.settings.EvidenceLifetime
	})
	slices.SortFunc(v.nodes, func(a, b nodeView) int { return cmp.Compare(a.Node, b.Node) })
	v.zones = slices.Sorted(maps.Keys(zones))
	return v
}

// sumWindows sums up, by zone, the windows that are not stale.
func (n *nodeReports) sumWindows(now fleet.Time, settings *Settings) {
	n.counts, n.countsUntil = map[string]zoneCount{}, now+settings.EvidenceLifetime
	for _, w := range n.windows {
		if now-w.receivedAt > settings.EvidenceLifetime {
			continue
		}
		n.countsUntil = min(n.countsUntil, w.receivedAt+settings.EvidenceLifetime)
		for zone := range w.zones {
			if _, ok := n.counts[zone]; !ok {
				n.counts[zone] = settings.countWindows(now, n, zone, 0)
			}
		}
	}
}

// countWindows sums up a node's newest windows on a zone, back over EvidenceWindow. It counts only windows that began when the
// node held minRevision or a later revision. The vote is decided by the newest windows that together suffice for one.
func (s *Settings) countWindows(now fleet.Time, n *nodeReports, zone string, minRevision uint64) (c zoneCount) {
	var length fleet.Time
	servers, maxServers := 0, 0
	for i := len(n.windows) - 1; i >= 0 && length < s.EvidenceWindow; i-- {
		w := n.windows[i]
		if now-w.receivedAt > s.EvidenceLifetime || w.revision < minRevision {
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

// isFaultyNode reports whether every zone that a node tried fails for it: the cause is then the node itself.
func isFaultyNode(zones map[string]zoneCount) bool {
	failingZones, answers := 0, 0
	for _, c := range zones {
		switch {
		case c.vote == voteFailing:
			failingZones++
		default:
			answers += c.answered
		}
	}
	return failingZones > 0 && answers == 0
}

// clampToMedian returns the values, each limited to maxMedianFactor times the median of those above 0.
func clampToMedian(values []float64) []float64 {
	positive := slices.DeleteFunc(slices.Clone(values), func(x float64) bool { return x <= 0 })
	if len(positive) == 0 {
		return values
	}
	slices.Sort(positive)
	limit := maxMedianFactor * positive[(len(positive)-1)/2]
	out := slices.Clone(values)
	for i, x := range out {
		out[i] = min(x, limit)
	}
	return out
}

// medianListed returns the median of the numbers of servers that nodes list for a zone; 0 where no node lists any.
func (v fleetView) medianListed(zone string) int {
	var all []int
	for _, node := range v.nodes {
		if n := node.zones[zone].listed; n > 0 {
			all = append(all, n)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}
