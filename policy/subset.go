package policy

import "math"

const (
	subsetInterval    = 0.5  // s between attempts at a server of the subset, so that own counts are meaningful
	minSubsetSize     = 8.0  // servers; fewer leave too little choice when some of them are faulty
	minNodesPerServer = 8.0  // minimum number of nodes that share a server; fewer load it unevenly
	localZoneFraction = 0.75 // of a subset, in the node's own zone if the zone has its share of the servers
)

// subsetState is the subset of the ready servers that this node uses.
type subsetState struct {
	servers       []*server
	size          float64 // target size by this node's arrivals
	generation    int     // number of subsets chosen since the start
	localFraction float64 // fraction of the ready servers that is in this node's zone
}

// updateLocalFraction computes the fraction of the ready servers that is in this node's zone.
func (m *Module) updateLocalFraction() {
	local := 0.0
	for _, s := range m.endpoints.ready {
		if s.Zone == m.settings.Zone {
			local++
		}
	}
	m.subset.localFraction = local / float64(max(1, len(m.endpoints.ready)))
}

// chooseSubset chooses the servers to which this node sends requests. In a large fleet, a node that sent to
// all servers would learn too little about each of them, and the nodes' connections would fill the servers'
// connection tables. All nodes have the same ring of servers and start at evenly spaced positions on it. Most
// of the subset is in the node's own zone, as cross-zone traffic has a price. The rest is outside, and more
// of it where the zone has few servers, so that the nodes do not overload these servers or depend on them
// alone. Ejected servers are not replaced, as all nodes would open connections to the other servers at once.
func (m *Module) chooseSubset() {
	m.updateArrivalRate()
	m.updateSubsetSize()
	start := m.ringStart()
	m.subset.servers = m.subset.servers[:0]
	m.subset.generation++
	size := math.Max(m.subset.size, minNodesPerServer*float64(len(m.endpoints.ready))/float64(m.settings.Nodes))
	localFraction := math.Min(1, float64(len(m.settings.Zones))*m.subset.localFraction)
	m.fillSubset(start, int(localZoneFraction*size*localFraction), m.settings.Zone)
	m.fillSubset(start, int(size), "")
	m.applyDirectivesToSubset(start)
}

// updateSubsetSize adapts the size of the subset to this node's arrival rate. Small changes of the rate are
// ignored, as a new server costs a connection.
func (m *Module) updateSubsetSize() {
	targetSize := subsetInterval * m.arrivals.rate
	if targetSize > m.subset.size || targetSize < m.subset.size/2 {
		m.subset.size = math.Max(targetSize, minSubsetSize)
	}
}

// ringStart returns the index on the ring of ready servers at which this node's subset starts.
func (m *Module) ringStart() int {
	position := math.Mod((float64(m.settings.NodeIndex)+0.5)*math.Phi, 1)
	return int(position * float64(len(m.endpoints.ready)))
}

// fillSubset adds servers of a zone, or of any zone if zone is empty, until the subset has count servers or
// the ring has no more.
func (m *Module) fillSubset(start, count int, zone string) {
	ring := m.endpoints.ready
	for i := 0; i < len(ring) && len(m.subset.servers) < count; i++ {
		s := ring[(start+i)%len(ring)]
		if !m.inSubset(s) && (zone == "" || s.Zone == zone) {
			m.addToSubset(s)
		}
	}
}

// inSubset reports whether a server is in the current subset.
func (m *Module) inSubset(s *server) bool { return s.subsetGeneration == m.subset.generation }

func (m *Module) addToSubset(s *server) {
	s.subsetGeneration = m.subset.generation
	m.subset.servers = append(m.subset.servers, s)
}
