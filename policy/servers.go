package policy

// The list of servers, and the subset of them that is in use.

import (
	"math"
	"slices"
	"sort"
	"time"
)

const (
	askTurn     = 50 * time.Millisecond // s; of discovery for each node's call: they share one queue
	askLast     = 16 * askTurn          // before a further call, at most; 1.5 times that with jitter
	subsetTime  = 0.5                   // s; a subset's server is sent to so often: own counts tell
	subsetLeast = 8.0                   // servers; fewer leave no choice once a part of them is in trouble
	leastShare  = 8.0                   // nodes that share a server, at least: fewer load it unevenly
	nearPart    = 0.75                  // of a subset, in the node's own zone if that has its share
	rateMemory  = 10.0                  // s; smoothing of this node's arrivals: a subset is not to flutter
)

func (m *Module) follow(e EndpointUpdate) {
	if e.Kind == EndpointsFailed {
		m.subscribed, m.asking, m.askAt = false, false, m.now+m.jitter(min(m.askWait, askLast))
		m.askWait = min(2*m.askWait, askLast)
		return
	}
	if e.Kind != EndpointsCached && m.asking {
		m.subscribed, m.asking, m.askWait = true, false, m.askFirst()
	}
	if e.Kind != EndpointsChanged {
		for _, s := range m.list {
			s.State = Removed
		}
	}
	for _, n := range e.Servers {
		m.take(n)
	}
	m.relist()
}

// take takes news of a server. A return is a start, whatever the list says of an earlier one.
func (m *Module) take(n Server) {
	s := m.serverOf(n.ID)
	if n.State == Ready {
		n.StartedAt = max(n.StartedAt, m.back[n.ID])
		if n.StartedAt > s.StartedAt { // a start: nothing learned of an older process holds
			s.suspect, s.strikes, s.errors, s.unanswered, s.imposedUntil = false, 0, 0, 0, m.now
			m.startCold(s, n.StartedAt)
		}
	}
	s.Server, s.out, s.peers = n, m.excluded[n.ID], m.peersOf(n.Kind)
}

// banned has the operators' word on a server followed; one that is not known yet is met when it is listed.
func (m *Module) banned(id ServerID) {
	if s := m.known[id]; s != nil {
		m.take(s.Server)
		m.relist()
	}
}

// relist renews the lists of servers from what is known.
func (m *Module) relist() {
	m.list = m.list[:0]
	for _, s := range m.known {
		if s.State != Removed {
			m.list = append(m.list, s)
		}
	}
	sort.Slice(m.list, func(i, j int) bool { return m.list[i].place < m.list[j].place })
	m.ring = slices.DeleteFunc(slices.Clone(m.list), func(s *server) bool { return s.State != Ready || s.out })
	own := 0.0
	for _, s := range m.ring {
		if s.Zone == m.set.Zone {
			own++
		}
	}
	m.own = own / float64(max(1, len(m.ring)))
	m.choose()
}

// choose picks the subset of servers that the ordinary path uses: one of many nodes that talked to all would
// know none, and its connections would fill their tables. All nodes have the same ring of servers and start
// at even distances on it. Most of the subset is in the node's own zone, as crossing has a price; not all,
// and less where the zone has few servers: nodes must not crowd them, nor hang on them alone. Suspects are
// not made up for: all would open connections to the rest at once.
func (m *Module) choose() {
	known := 1 - decay(m.now-m.startAt+tickEvery, rateMemory)
	m.rate = m.arrivals * decay(m.now-m.arrivedAt, rateMemory) / known
	want := subsetTime * m.rate
	if want > m.size || want < m.size/2 {
		m.size = math.Max(want, subsetLeast) // else unchanged: a new server costs a connection
	}
	start := int(math.Mod((float64(m.set.NodeIndex)+0.5)*math.Phi, 1) * float64(len(m.ring)))
	m.near, m.choices = m.near[:0], m.choices+1
	take := func(count int, zone string) {
		for i := 0; i < len(m.ring) && len(m.near) < count; i++ {
			if s := m.ring[(start+i)%len(m.ring)]; s.chosen < m.choices && (zone == "" || s.Zone == zone) {
				m.use(s)
			}
		}
	}
	size := math.Max(m.size, leastShare*float64(len(m.ring))/float64(m.set.Nodes))
	take(int(nearPart*size*math.Min(1, float64(len(m.set.Zones))*m.own)), m.set.Zone)
	take(int(size), "")
	m.makeUp(start)
}

// askFirst is the time in which all nodes ask once: a queue longer than discovery lets them wait serves none.
// News counts as told 6 s after discovery can be reached: this, or a call of 2.5 s and a wait, must fit in.
func (m *Module) askFirst() time.Duration {
	return min(max(4, time.Duration(m.set.Nodes))*askTurn, 4*askLast, max(4*askTurn, m.set.MaxPollInterval/2))
}

// ask keeps a subscription where the list must be asked for: each node in its turn at the start, as a release
// starts them all at once, and backing off after failures.
func (m *Module) ask() {
	if m.set.PollsEndpoints && !m.subscribed && m.now >= m.askAt {
		m.asking, m.askAt = true, m.now+m.set.MaxPollInterval/4
		m.do(Subscribe{On: true})
	}
}
