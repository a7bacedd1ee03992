package policy

// What the module keeps of the fleet's facts, the counts that it gives for reports, and what of
// a fact makes no sense. Nothing is decided here.

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"path"
	"slices"
	"time"
)

// fleet is what is held while Settings.Fleet is set; without it Module.fleet is nil.
type fleet struct {
	zones  map[string]*directive
	order  []*directive // by zone
	brands map[string]*brand
	names  []*brand // by name
	share  QuotaLease
	until  Time // when the leased shares lapse
	since  Time // when the window began
	usual  int  // servers of the subset as it is without directives
	start  int  // where on the ring it began
}

// directive is the fleet's word on a zone.
type directive struct {
	ZoneDirective
	born   Time    // when it had Age 0
	place  float64 // part of the ordinary subset that is in the zone
	credit float64 // attempts that its share allows now
}

// brand is a tenant as the fleet knows it; imported means that the settings name it and intent has not yet.
type brand struct {
	name                               string
	uid, revision, intent              uint64 // of the item and of the intent that it was read from
	committed, staged                  *TenantRules
	imported, removing, unquoted, gone bool
	tokens                             float64            // requests that its share allows now
	classTokens                        map[string]float64 // the same by class, where a class has a rate
	at                                 Time               // of tokens
	void                               bool               // its leased share was divided for another tenant of its name
	live                               []*TenantRoute     // the routes that match a server in use, at the last choice of a subset
	open, arrived, admitted            int
}

// evidence counts a server's attempts in a window.
type evidence struct{ begun, ended, lost, ok int }

func newFleet(now Time) *fleet {
	return &fleet{zones: map[string]*directive{}, brands: map[string]*brand{}, since: now}
}

// adopt takes the settings' tenants: each is generation 1 of the settings until intent commits one of its own.
func (f *fleet) adopt(tenants []Tenant) {
	for _, b := range f.brands {
		b.imported = false
	}
	for _, t := range tenants {
		if b := f.brands[t.Name]; b == nil {
			f.keep(&brand{name: t.Name, imported: true})
		} else {
			b.imported = b.committed == nil && !b.gone
		}
	}
}

// keep puts a tenant in the place of what its name had.
func (f *fleet) keep(b *brand) {
	f.brands[b.name] = b
	f.names = slices.SortedFunc(maps.Values(f.brands), func(a, b *brand) int { return cmp.Compare(a.name, b.name) })
}

// governs tells whether the fleet has a word on a tenant that ends the settings' one.
func (f *fleet) governs(name string) bool {
	return f != nil && f.brands[name] != nil && !f.brands[name].imported
}

// slots is what floors and bursts of quotas are divided by.
func (m *Module) slots() float64 {
	if n := m.fleet.share.Slots; n > 0 {
		return float64(n)
	}
	return float64(m.set.Nodes)
}

// directive gives the one on a zone, or nil.
func (m *Module) directive(zone string) *directive {
	if m.fleet == nil {
		return nil
	}
	return m.fleet.zones[zone]
}

// fresh tells whether a directive is not older than it is valid.
func (m *Module) fresh(d *directive) bool { return m.now-d.born <= d.ValidFor }

// tried tells whether this node tries the zone.
func (m *Module) tried(d *directive) bool { return d != nil && d.Trial && !d.Serving && m.fresh(d) }

// refill lets a server's part of its zone's rate grow. What is not used within tokenLife is lost, so that nodes
// that had nothing to send save up no burst that meets at one server.
func (m *Module) refill(s *server, rate float64) {
	if s.paceAt == 0 {
		s.pace, s.paceAt = m.random(), m.now // a first request from every node at once would be a burst
	}
	s.pace += rate * (m.now - s.paceAt).Seconds()
	s.paceAt = m.now
	if most := 1 + rate*tokenLife.Seconds(); rate*tokenLife.Seconds() >= 1 {
		s.pace = math.Min(s.pace, most)
	} else if s.pace > most {
		if s.pace = math.Mod(s.pace, 1); s.pace <= most-1 {
			s.pace++
		}
	}
}

// silence is how long an attempt is out before that counts as no answer.
func (m *Module) silence(r *request) time.Duration {
	least := m.set.ConnectTimeout
	if m.answers < 1/classGain {
		least = max(least, time.Second) // little is known yet
	}
	return max(least, time.Duration(silentFactor*m.mean*r.class.relative*float64(time.Second)))
}

// seen counts an attempt that ended. Silence shorter than any answer takes says nothing.
func (m *Module) seen(r *request, a *attempt, e AttemptEnded) {
	if m.fleet == nil {
		return
	}
	lost, c := false, &a.server.seen
	switch e.Code {
	case Cancelled, NotSent:
		return
	case TimedOut:
		lost = true
		if !a.silent && e.Elapsed < min(m.set.ConnectTimeout, m.silence(r)/2) {
			return
		}
	case ConnectFailed, Reset:
		lost = true
	case OK:
		c.ok++
	}
	if lost && a.silent {
		return // counted when it fell silent
	}
	if c.ended++; lost {
		c.lost++
		a.server.lostAt = m.now
	} else {
		a.server.lostAt = 0
	}
}

// joined counts one more server of a zone of which but one was tried in this window, in vain: one that lost an
// attempt in the last second and has answered none since. A node that sends little sees them one by one.
func (m *Module) joined() {
	tried, lost := map[string]int{}, map[string]int{}
	for _, s := range m.ring {
		if s.seen.ended > 0 {
			tried[s.Zone]++
			lost[s.Zone] += s.seen.lost
		}
	}
	for _, s := range m.ring {
		if c := &s.seen; tried[s.Zone] == 1 && lost[s.Zone] > 0 && c.ended == 0 && s.lostAt > 0 && m.now-s.lostAt <= time.Second {
			c.ended, c.lost, tried[s.Zone] = 1, 1, 2
		}
	}
}

// Window gives what was seen since it was last called, or since the start, and begins anew. Without Settings.Fleet
// it is empty.
func (m *Module) Window(now Time) FleetWindow {
	if m.fleet == nil {
		return FleetWindow{Start: now}
	}
	m.now = max(m.now, now)
	w := FleetWindow{Start: m.fleet.since}
	m.fleet.since = now
	for _, r := range m.open {
		for i := range r.attempts {
			if a := &r.attempts[i]; !a.ended && !a.relieved && !a.silent && m.now-a.sent > m.silence(r) {
				a.silent = true
				a.server.seen.ended++
				a.server.seen.lost++
				a.server.lostAt = m.now
			}
		}
	}
	m.joined()
	zones := map[string]*ZoneWindow{}
	of := func(name string) *ZoneWindow {
		if zones[name] == nil {
			zones[name] = &ZoneWindow{Zone: name}
		}
		return zones[name]
	}
	for _, s := range m.ring {
		z := of(s.Zone)
		z.Listed++
		if s.rate > 0 {
			z.Rate += m.rateOf(s)
		}
	}
	for _, s := range m.known {
		c := s.seen
		if c == (evidence{}) {
			continue
		}
		z := of(s.Zone)
		z.Attempts, z.Lost, z.Answered, z.Started = z.Attempts+c.ended, z.Lost+c.lost, z.Answered+c.ok, z.Started+c.begun
		if c.ended > 0 {
			z.Servers++
			if c.lost == c.ended {
				z.LostServers++
			}
		}
		s.seen = evidence{}
	}
	for _, z := range zones {
		z.Rate /= float64(max(1, z.Listed))
		w.Zones = append(w.Zones, *z)
	}
	slices.SortFunc(w.Zones, func(a, b ZoneWindow) int { return cmp.Compare(a.Zone, b.Zone) })
	for _, b := range m.fleet.names {
		if b.gone || b.uid == 0 && !b.imported {
			continue
		}
		t := TenantWindow{Name: b.name, UID: b.uid, Open: b.open, Arrived: b.arrived, Admitted: b.admitted}
		b.arrived, b.admitted = 0, 0
		if g := b.committed; g != nil {
			t.Committed, t.Digest = g.Generation, g.Digest
			floor, leased := m.quota(b)
			t.Rate = floor
			if m.now < m.fleet.until {
				t.Rate += leased
			}
		} else if b.imported {
			t.Committed, t.Rate = 1, m.tenants[b.name].perNode
			if b.uid != 0 {
				t.Committed = 0 // intent has named it, and commits none yet
			}
		}
		if g := b.staged; g != nil {
			if t.RejectReason = m.refusal(g); t.RejectReason == "" && len(m.list) > 0 {
				t.Staged, t.Digest = g.Generation, g.Digest
			}
		}
		w.Tenants = append(w.Tenants, t)
	}
	return w
}

// sane tells whether a directive makes sense; one that does not changes nothing.
func (e *ZoneDirective) sane() bool {
	return e.Share >= 0 && e.Share <= 1 && e.Floor >= 0 && e.Floor <= 1 && e.Rate >= 0 && e.Rate <= mostRate &&
		e.Age >= 0 && e.ValidFor >= 0
}

// flaw tells what is wrong with a generation wherever it is served; empty if nothing is.
func flaw(g *TenantRules) string {
	if !(g.Rate >= 0 && g.Rate <= mostRate && g.Burst >= 0 && g.Burst <= mostRate) {
		return fmt.Sprintf("quota: rate %v, burst %v", g.Rate, g.Burst)
	}
	for _, c := range slices.Sorted(maps.Keys(g.ClassRates)) {
		if rate := g.ClassRates[c]; !(rate >= 0 && rate <= g.Rate) {
			return fmt.Sprintf("quota.classes: class %q with rate %v", c, rate)
		}
	}
	for i, r := range g.Routes {
		if _, err := path.Match(r.ID, ""); err != nil || !(r.Weight > 0 && r.Weight <= mostRate) {
			return fmt.Sprintf("routes[%d]: id %q, weight %v", i, r.ID, r.Weight)
		}
	}
	return ""
}

// matches tells whether a route names a server.
func (t *TenantRoute) matches(s *server) bool {
	ok := t.ID == ""
	if !ok {
		ok, _ = path.Match(t.ID, s.Name)
	}
	return ok && (t.Zone == "" || t.Zone == s.Zone) && (t.Kind == "" || t.Kind == s.Kind)
}

// leave ends a request's place among its tenant's open ones.
func (m *Module) leave(r *request) {
	if r.brand != nil {
		r.brand.open--
		r.brand = nil
	}
}
