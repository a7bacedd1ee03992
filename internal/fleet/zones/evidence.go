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
	mostZones = 256
	mostCount = 1 << 20
	clampTo   = 8 // a node counts for no more than so many times the median node
)

// window is one report's counts. From is the intent that the node held when the window began.
type window struct {
	at, length fleet.Time
	from       uint64
	zones      map[string]fleet.ZoneCount
}

// seen is what is known of one node's run.
type seen struct {
	fleet.Member
	seq, rev uint64
	ready    bool
	at       fleet.Time
	windows  []window // the newest last
	counts   map[string]count
	until    fleet.Time // counts hold until then, unless a window comes
}

// take keeps a report; it tells whether it was newer than what is known.
func (j *Judge) take(now fleet.Time, v fleet.NodeView) (*seen, bool) {
	n := j.nodes[v.Node]
	at := min(v.At, now)
	if n != nil && (v.Incarnation < n.Incarnation || v.Incarnation == n.Incarnation && v.Report.Seq <= n.seq) {
		return n, false
	}
	if v.Node == "" || now-at > j.set.Stale {
		return n, false
	}
	if n == nil || v.Incarnation > n.Incarnation {
		n = &seen{Member: v.Member}
		j.nodes[v.Node] = n
	}
	w := window{at: at, length: fleet.Time(v.Report.WindowMS) * 1e6, from: n.rev}
	n.seq, n.rev, n.ready, n.at, n.Zone = v.Report.Seq, v.Report.Revision, v.Report.Ready, at, v.Zone
	if w.length > 0 && w.length <= j.set.Stale && len(v.Report.Zones) <= mostZones {
		w.zones = map[string]fleet.ZoneCount{}
		for _, c := range v.Report.Zones {
			if _, twice := w.zones[c.Zone]; !twice && honest(c) {
				w.zones[c.Zone] = c
			}
		}
		n.windows = append(n.windows, w)
		n.counts = nil
	}
	n.windows = slices.DeleteFunc(n.windows, func(w window) bool { return now-w.at > j.set.Stale })
	return n, true
}

// honest tells whether a count could be a node's: no more of a part than of the whole.
func honest(c fleet.ZoneCount) bool {
	return c.Zone != "" && len(c.Zone) <= 64 && !strings.ContainsAny(c.Zone, "@/") &&
		c.Lost >= 0 && c.OK >= 0 && c.Lost <= mostCount && c.OK <= mostCount && c.Attempts <= mostCount &&
		c.Lost+c.OK <= c.Attempts && c.LostServers >= 0 && c.LostServers <= c.Servers && c.LostServers <= c.Lost &&
		c.Servers <= c.Attempts && c.Listed >= 0 && c.Listed <= mostCount && c.Sent >= 0 && c.Sent <= mostCount
}

// vote is what a node's evidence says of a zone.
type vote int8

const (
	none vote = iota
	fails
	mixed
	well
)

// sight is what one counted node saw of late, by zone.
type sight struct {
	fleet.Member
	rev   uint64
	ready bool
	fault bool // it sees every zone fail that it tried: its vote is not counted
	zones map[string]count
}

// count is a node's evidence on a zone over the newest windows of Look.
type count struct {
	attempts, lost, ok, lostServers, listed int
	rate                                    float64 // answers/s
	vote                                    vote
	answered                                bool // the newest of its windows with attempts had an answer
}

// view is what the leader sees now: the present nodes with fresh reports, by name.
type view struct {
	now     fleet.Time
	sights  []sight
	present map[string]int // nodes by zone
	nodes   int            // present
	zones   []string       // that anyone counted, in order
}

// fit tells whether enough of the present nodes are heard to judge at all.
func (v view) fit() bool { return v.nodes > 0 && 2*len(v.sights) >= v.nodes }

func (j *Judge) look(now fleet.Time, present []fleet.Member) view {
	v := view{now: now, present: map[string]int{}, nodes: len(present)}
	zones, names := map[string]bool{}, map[string]bool{}
	for _, m := range present {
		v.present[m.Zone]++
		names[m.Node] = true
		n := j.nodes[m.Node]
		if n == nil || n.Incarnation != m.Incarnation || now-n.at > j.set.Stale {
			continue
		}
		if n.counts == nil || now > n.until {
			n.sum(now, &j.set)
		}
		for z := range n.counts {
			zones[z] = true
		}
		v.sights = append(v.sights, sight{Member: m, rev: n.rev, ready: n.ready, zones: n.counts, fault: faulty(n.counts)})
	}
	maps.DeleteFunc(j.nodes, func(name string, n *seen) bool { return !names[name] && now-n.at > j.set.Stale })
	slices.SortFunc(v.sights, func(a, b sight) int { return cmp.Compare(a.Node, b.Node) })
	v.zones = slices.Sorted(maps.Keys(zones))
	return v
}

// sum counts all that the windows have which are not stale.
func (n *seen) sum(now fleet.Time, set *Settings) {
	n.counts, n.until = map[string]count{}, now+set.Stale
	for _, w := range n.windows {
		if now-w.at > set.Stale {
			continue
		}
		n.until = min(n.until, w.at+set.Stale)
		for z := range w.zones {
			if _, ok := n.counts[z]; !ok {
				n.counts[z] = set.count(now, n, z, 0)
			}
		}
	}
}

// count adds up a node's newest windows on a zone, back over Look, of those that began at revision from or later.
// The vote is of the newest of them that are enough for one.
func (set *Settings) count(now fleet.Time, n *seen, zone string, from uint64) (c count) {
	var length fleet.Time
	servers, most := 0, 0
	for i := len(n.windows) - 1; i >= 0 && length < set.Look; i-- {
		w := n.windows[i]
		if now-w.at > set.Stale || w.from < from {
			break
		}
		length += w.length
		z := w.zones[zone]
		if c.attempts == 0 {
			c.answered = z.OK > 0
		}
		c.attempts, c.lost, c.ok, c.lostServers = c.attempts+z.Attempts, c.lost+z.Lost, c.ok+z.OK, c.lostServers+z.LostServers
		servers, most = servers+z.Servers, max(most, z.Servers)
		if c.listed == 0 {
			c.listed = z.Listed
		}
		if c.vote == none && (most >= 2 || servers >= 3 || c.listed == 1 && servers > 0) {
			switch part := float64(c.lostServers) / float64(servers); {
			case part >= set.FailPart:
				c.vote = fails
			case part < 0.5:
				c.vote = well
			default:
				c.vote = mixed
			}
		}
	}
	if length > 0 {
		c.rate = float64(c.ok) / length.Seconds()
	}
	return c
}

// faulty tells whether every zone that a node tried fails: then the node is the fault.
func faulty(zones map[string]count) bool {
	fail, ok := 0, 0
	for _, c := range zones {
		switch {
		case c.vote == fails:
			fail++
		default:
			ok += c.ok
		}
	}
	return fail > 0 && ok == 0
}

// clamp gives what each value counts for: no more than a few times the median of those above 0.
func clamp(values []float64) []float64 {
	above := slices.DeleteFunc(slices.Clone(values), func(x float64) bool { return x <= 0 })
	if len(above) == 0 {
		return values
	}
	slices.Sort(above)
	most := clampTo * above[(len(above)-1)/2]
	out := slices.Clone(values)
	for i, x := range out {
		out[i] = min(x, most)
	}
	return out
}

// median of what counted nodes say is listed of a zone; 0 where nobody lists any.
func (v view) listed(zone string) int {
	var all []int
	for _, s := range v.sights {
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
