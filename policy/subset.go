package policy

import "math"

const (
	subsetInterval    = 0.5  // s; a subset's server gets an attempt so often: own counts tell
	minSubsetSize     = 8.0  // servers; fewer leave no choice once a part of them is faulty
	minNodesPerServer = 8.0  // nodes that share a server, at least: fewer load it unevenly
	localZonePart     = 0.75 // of a subset, in the node's own zone if that has its share of servers
)

// subsetState is the part of the ready servers that this node uses.
type subsetState struct {
	servers    []*server
	size       float64 // that it is to have
	generation int     // of the subset, counted from the start
	localPart  float64 // part of the ready servers that is in this node's zone
}

// updateLocalPart counts the ready servers in this node's zone.
func (m *Module) updateLocalPart() {
	local := 0.0
	for _, s := range m.endpoints.ready {
		if s.Zone == m.settings.Zone {
			local++
		}
	}
	m.subset.localPart = local / float64(max(1, len(m.endpoints.ready)))
}

// chooseSubset chooses the servers that the ordinary path uses: one of many nodes that sent to all would know
// none, and its connections would fill their tables. All nodes have the same ring of servers and start at
// even distances on it. Most of the subset is in the node's own zone, as crossing has a price; not all, and
// less where the zone has few servers: nodes must not overload them, nor depend on them alone. Ejected
// servers are not made up for: all nodes would open connections to the rest at once.
func (m *Module) chooseSubset() {
	m.updateArrivalRate()
	m.updateSubsetSize()
	start := m.ringStart()
	m.subset.servers = m.subset.servers[:0]
	m.subset.generation++
	size := math.Max(m.subset.size, minNodesPerServer*float64(len(m.endpoints.ready))/float64(m.settings.Nodes))
	localPart := math.Min(1, float64(len(m.settings.Zones))*m.subset.localPart)
	m.fillSubset(start, int(localZonePart*size*localPart), m.settings.Zone)
	m.fillSubset(start, int(size), "")
	m.applyDirectivesToSubset(start)
}

// updateSubsetSize follows this node's arrivals, but not every change of them: a new server costs a
// connection.
func (m *Module) updateSubsetSize() {
	wanted := subsetInterval * m.arrivals.rate
	if wanted > m.subset.size || wanted < m.subset.size/2 {
		m.subset.size = math.Max(wanted, minSubsetSize)
	}
}

// ringStart is where on the ring of ready servers this node's subset starts.
func (m *Module) ringStart() int {
	position := math.Mod((float64(m.settings.NodeIndex)+0.5)*math.Phi, 1)
	return int(position * float64(len(m.endpoints.ready)))
}

// fillSubset adds servers of a zone, or of any where zone is empty, until the subset has count of them.
func (m *Module) fillSubset(start, count int, zone string) {
	ring := m.endpoints.ready
	for i := 0; i < len(ring) && len(m.subset.servers) < count; i++ {
		s := ring[(start+i)%len(ring)]
		if !m.inSubset(s) && (zone == "" || s.Zone == zone) {
			m.addToSubset(s)
		}
	}
}

// inSubset reports whether a server is in the present subset.
func (m *Module) inSubset(s *server) bool { return s.subsetGeneration == m.subset.generation }

func (m *Module) addToSubset(s *server) {
	s.subsetGeneration = m.subset.generation
	m.subset.servers = append(m.subset.servers, s)
}
