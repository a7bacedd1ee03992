package policy

// Tenants under the fleet: which generation serves a request, whether its quota has room, where it may go.

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// GuaranteedPart is the part of every quota that is divided evenly among all slots for good; the rest is
	// leased. It is the control plane's, which divides by the same.
	GuaranteedPart = 0.2
	routeLeast     = 4 // servers of a route that a subset is to have: fewer leave no choice
)

// tenantTold takes what is intended for a tenant. An older item changes nothing, nor does what no sound
// control plane commits. A name used again, which has another UID, has nothing of the tenant before.
func (m *Module) tenantTold(e TenantUpdate) {
	b := m.fleet.brands[e.Name]
	if e.Name == "" || b != nil && b.revision > 0 && !b.precedes(e) ||
		e.Committed != nil && flaw(e.Committed) != "" {
		return
	}
	if b == nil || b.uid != e.UID {
		was := b
		void := was != nil && was.uid != 0
		b = &brand{name: e.Name, uid: e.UID, tokens: m.random(), at: m.now, classTokens: map[string]float64{},
			void: void}
		b.imported = was != nil && was.imported && was.committed == nil
		m.fleet.keep(b)
	}
	m.settle(b) // what came by so far was under the old rate
	b.revision, b.intent, b.committed, b.staged = e.Revision, max(e.IntentRevision, e.Revision), e.Committed, e.Staged
	b.removing, b.unquoted, b.gone = e.Removing, e.QuotaWithdrawn, e.Removed && !b.imported
	if e.Removed {
		b.committed, b.staged = nil, nil
	}
	if e.Removed && b.imported {
		b.uid = 0 // its first rollout was taken back: the settings' word goes on
	}
	if b.committed != nil {
		b.imported = false
		delete(m.tenants, b.name) // the settings' share of it ends
	}
	m.chooseRouted(b)
}

// precedes says whether e is newer than what is held. A tenant that leaves the node's scope or comes back to
// it does so under the revision that it had: of an intent that is no older, that counts as well.
func (b *brand) precedes(e TenantUpdate) bool {
	if e.IntentRevision == 0 {
		return e.Revision > b.revision
	}
	return e.IntentRevision >= b.intent && (e.Revision > b.revision || e.Removed != b.gone)
}

// shareTold takes the leased shares; those of an older division change nothing.
func (m *Module) shareTold(e QuotaLease) {
	f := m.fleet
	if e.Epoch < f.share.Epoch || e.Slots < 0 {
		return
	}
	for _, b := range f.names {
		m.settle(b)
		b.void = b.void && e.Epoch == f.share.Epoch
	}
	e.Rates = maps.Clone(e.Rates)
	f.share, f.until = e, m.now+min(max(0, e.ValidFor), time.Hour)
}

// refusal tells why a generation can't be served here; empty if it can.
func (m *Module) refusal(g *TenantRules) string {
	known := func(class string) bool {
		return slices.ContainsFunc(m.set.Classes, func(c Class) bool { return c.Name == class })
	}
	for _, c := range g.Classes {
		if !known(c) {
			return fmt.Sprintf("namespace.classes: class %q is not known here", c)
		}
	}
	for _, c := range slices.Sorted(maps.Keys(g.ClassRates)) {
		if !known(c) {
			return fmt.Sprintf("quota.classes: class %q is not known here", c)
		}
	}
	for i := range g.Routes {
		if len(m.list) > 0 && !slices.ContainsFunc(m.list, g.Routes[i].matches) {
			return fmt.Sprintf("routes[%d]: no listed server matches", i)
		}
	}
	return flaw(g)
}

// quota is a tenant's share here, requests/s: the floor part, which it always has, and what is leased. A
// lease that was of another tenant of its name is none: the control plane sees to it that others sum up.
func (m *Module) quota(b *brand) (floor, leased float64) {
	if b.committed == nil || b.unquoted {
		return 0, 0
	}
	rate := b.committed.Rate
	if leased = m.fleet.share.Rates[b.name]; b.void || !(leased >= 0) {
		leased = 0
	}
	return GuaranteedPart * rate / m.slots(), math.Min(leased, (1-GuaranteedPart)*rate)
}

// settle lets what a tenant's share allows grow up to now, the leased part for as long as the lease held.
func (m *Module) settle(b *brand) {
	g, since := b.committed, b.at
	if b.at = m.now; g == nil || g.Rate == 0 {
		return
	}
	floor, leased := m.quota(b)
	gain := floor*(m.now-since).Seconds() + leased*max(0, min(m.now, m.fleet.until)-since).Seconds()
	most := math.Max(1, g.Burst/m.slots())
	b.tokens = math.Min(most, b.tokens+gain)
	for c, rate := range g.ClassRates {
		have, ok := b.classTokens[c]
		if !ok {
			have = b.tokens
		}
		b.classTokens[c] = math.Min(math.Max(1, most*rate/g.Rate), have+gain*rate/g.Rate)
	}
}

// admit takes a request under its tenant's committed generation, by which it is served to its end. Over the
// quota, which all nodes share, or outside the namespace it is refused without an attempt, as it is where no
// generation is committed. A request that names no tenant is nobody's, and served as ever.
func (m *Module) admit(r *request, name string) bool {
	if m.fleet == nil || name == "" {
		return true
	}
	b := m.fleet.brands[name]
	if b == nil || b.gone {
		return false
	}
	b.arrived++
	if b.removing || b.committed == nil && !b.imported {
		return false
	}
	if g := b.committed; g != nil {
		if len(g.Classes) > 0 && !slices.Contains(g.Classes, r.class.Name) ||
			!m.routed(r, b) || !m.within(r, b) {
			return false
		}
		b.admitted++
	}
	r.brand = b
	b.open++
	return true
}

// within takes a request's token from its tenant's share, and from that of its class.
func (m *Module) within(r *request, b *brand) bool {
	m.settle(b)
	_, limited := b.committed.ClassRates[r.class.Name]
	if b.tokens < 1 || limited && b.classTokens[r.class.Name] < 1 {
		return false
	}
	b.tokens--
	if limited {
		b.classTokens[r.class.Name]--
	}
	return true
}

// routed draws a request's route by weight among those that match a server in use. Where none does, the
// written fallback holds.
func (m *Module) routed(r *request, b *brand) bool {
	sum := 0.0
	for _, route := range b.live {
		sum += route.Weight
	}
	if sum == 0 {
		return len(b.committed.Routes) == 0 || !b.committed.RejectUnrouted
	}
	at := m.random() * sum
	for _, route := range b.live {
		if r.route = route; at < route.Weight {
			break
		}
		at -= route.Weight
	}
	return true
}

// chooseRouted adds to the subset what a tenant's routes need, from the node's place on the ring on, and
// notes which routes match a server in use.
func (m *Module) chooseRouted(b *brand) {
	if b.live = b.live[:0]; b.committed == nil || b.gone {
		return
	}
	for i := range b.committed.Routes {
		route, count, missing := &b.committed.Routes[i], 0, routeLeast
		for _, s := range m.near {
			if route.matches(s) {
				count, missing = count+1, missing-1
			}
		}
		for i := 0; i < len(m.ring) && missing > 0; i++ {
			s := m.ring[(m.fleet.start+i)%len(m.ring)]
			if m.part(m.directive(s.Zone)) > 0 && s.chosen < m.choices && route.matches(s) {
				m.use(s)
				count, missing = count+1, missing-1
			}
		}
		if count > 0 && route.Weight > 0 {
			b.live = append(b.live, route)
		}
	}
}
