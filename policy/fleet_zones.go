package policy

// The fleet's directives on zones: what is left, what is tried, at which rate. docs/fleet.md has the design;
// what is kept is in fleet_state.go. Without a directive nothing here changes a decision or draws a number.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	tokenLife    = 250 * time.Millisecond // s; what a rate allows lapses: no burst is saved up over the fleet
	silentFactor = 8.0                    // multiple of the expected latency: one attempt alone is to tell
	subsetUse    = 0.5                    // of a server's budget, for those who have it in their subsets
	mostCredit   = 2.0                    // attempts that a zone's share saves up
	mostRate     = 1e7                    // requests/s; a larger rate is no news from a sound fleet
)

// told takes the fleet's facts.
func (m *Module) told(e Event) {
	if m.fleet == nil {
		return
	}
	switch e := e.(type) {
	case ZoneDirective:
		m.zoneTold(e)
	case TenantUpdate:
		m.tenantTold(e)
	case QuotaLease:
		m.shareTold(e)
	} // FleetSynced changes no decision: a tenant not told yet is refused as an unknown one
}

// zoneTold takes a directive. Older news than what is held changes nothing; the same again confirms it.
func (m *Module) zoneTold(e ZoneDirective) {
	f, d := m.fleet, m.fleet.zones[e.Zone]
	if e.IntentRevision = max(e.IntentRevision, e.Revision); !e.sane() || d != nil && e.IntentRevision < d.IntentRevision {
		return
	}
	if d == nil {
		d = &directive{ZoneDirective: ZoneDirective{Zone: e.Zone, Serving: true}, credit: m.random()}
		f.zones[e.Zone], f.order = d, append(f.order, d)
		slices.SortFunc(f.order, func(a, b *directive) int { return cmp.Compare(a.Zone, b.Zone) })
	}
	part, tried, born, news := m.part(d), m.tried(d), m.now-e.Age, e.Revision != d.Revision
	if e.Revision == d.Revision && e.Serving == d.Serving {
		born = max(born, d.born)
	}
	for _, s := range m.known {
		if s.Zone == e.Zone && (d.Serving || d.Rate == 0) {
			s.paceAt = 0 // what it was sent without a rate counts for none
		}
	}
	e.Floor = math.Min(e.Floor, e.Share)
	d.ZoneDirective, d.born = e, born
	if news || m.part(d) != part || m.tried(d) != tried {
		m.moved(d, part, tried)
	}
}

// moved follows a zone's step: what is open in a zone just left goes elsewhere, and each of its servers is
// a suspect, so that it is met by a trial with a short wait; such trials begin at once as the zone returns.
func (m *Module) moved(d *directive, part float64, tried bool) {
	left, was := m.part(d) == 0 && !m.tried(d), part == 0 && !tried
	m.choose()
	if left == was && m.part(d) == part {
		return
	}
	for _, s := range m.list {
		if s.Zone == d.Zone && left {
			s.suspect = true
		}
		if s.Zone == d.Zone && s.suspect {
			s.trialWait, s.trialAt = trialFirst, m.now+m.jitter(trialFirst/2)
		}
	}
	if left && !was {
		m.handOver(d.Zone)
	}
}

// handOver calls off safe requests that are out in a zone just left, the oldest first, as many as further
// attempts are allowed: each end makes one elsewhere.
func (m *Module) handOver(zone string) {
	allowed := int(m.budget)
	for _, r := range m.open {
		last := len(r.attempts) - 1
		if allowed < 1 || last < 0 || r.done || r.started || r.sealed || r.out != 1 || r.class.Idempotency != Idempotent ||
			!r.rules.MayCancel || last+1 >= r.rules.MaxAttempts {
			continue
		}
		if a := &r.attempts[last]; !a.ended && a.server.Zone == zone {
			allowed--
			m.do(CancelAttempt{ID: r.id, Attempt: last})
		}
	}
}

// part is the part of the ordinary attempts that may go to a zone's servers: 1 without a directive, the
// floor under one that has outlived its validity.
func (m *Module) part(d *directive) float64 {
	switch {
	case d == nil || d.Serving:
		return 1
	case m.fresh(d):
		return d.Share
	}
	return d.Floor
}

// ration gives the directive that rations a server's zone: its servers are no part of the ordinary choice.
func (m *Module) ration(s *server) *directive {
	if d := m.directive(s.Zone); d != nil && !d.Serving && (m.part(d) < 1 || d.Rate > 0) {
		return d
	}
	return nil
}

// accrue gives each rationed zone its share of an attempt of a request: as much as ordinary choice would send
// there. It is counted, not drawn, and little of it is saved up.
func (m *Module) accrue(r *request) {
	if m.fleet == nil {
		return
	}
	for _, d := range m.fleet.order {
		place := d.place
		if r.route != nil && r.route.Zone == d.Zone {
			place = 1
		}
		d.credit = math.Min(mostCredit, d.credit+m.part(d)*place)
	}
}

// spend takes an attempt from a rationed zone's share.
func (m *Module) spend(s *server) {
	if d := m.ration(s); d != nil {
		d.credit = math.Max(0, d.credit-1)
	}
}

// offers gives the rationed zones that an attempt may go to now, before all else: rates soon lapse.
func (m *Module) offers() (open []*directive) {
	if m.fleet == nil {
		return nil
	}
	for _, d := range m.fleet.order {
		if !d.Serving && (d.credit >= 1 || m.tried(d)) {
			open = append(open, d)
		}
	}
	return open
}

// allows is the fleet's part of the rules on sending: the request's route, zones that are left, their rates.
// A trial is a safe request's first attempt. A rate is an even part of all nodes: the few that have a server
// in their subsets use what the others leave of its budget, but for a margin.
func (m *Module) allows(r *request, s *server) bool {
	if m.fleet == nil {
		return true
	}
	if r.route != nil && !r.route.matches(s) {
		return false
	}
	d := m.ration(s)
	if d == nil {
		return true
	}
	trial := m.tried(d) && r.class.Idempotency == Idempotent && len(r.attempts) == 0
	if !trial && (d.credit < 1 || m.part(d) == 0) {
		return false
	}
	if d.Rate == 0 {
		return true
	}
	rate := d.Rate * math.Max(1, subsetUse*float64(len(m.ring))/float64(max(1, m.fleet.usual)))
	if !m.fresh(d) {
		rate *= d.Floor / d.Share // what the floor's own budget was is not known: as much less as its share
	}
	m.refill(s, rate)
	return s.pace >= 1
}

// makeUp takes a left zone's servers out of the subset, and makes up for what the node lacks there, and in
// zones that give only a part, by as many servers of others: from the node's place on the ring on, as ever.
func (m *Module) makeUp(start int) {
	if m.fleet == nil {
		return
	}
	m.fleet.usual = len(m.near)
	lack, each := 0.0, 1/float64(max(1, len(m.near)))
	for _, d := range m.fleet.order {
		d.place = 0
	}
	m.near = slices.DeleteFunc(m.near, func(s *server) bool {
		d := m.directive(s.Zone)
		if lack += 1 - m.part(d); d != nil {
			d.place += each
		}
		return m.part(d) == 0 && !m.tried(d)
	})
	for i := 0; i < len(m.ring) && lack >= 0.5; i++ {
		s := m.ring[(start+i)%len(m.ring)]
		if s.chosen < m.choices && m.part(m.directive(s.Zone)) == 1 {
			m.use(s)
			lack--
		}
	}
	m.fleet.start = start
	for _, b := range m.fleet.names {
		m.chooseRouted(b)
	}
}
