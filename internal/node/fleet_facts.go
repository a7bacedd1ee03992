package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/fleet"
	"starlingvalve/internal/fleet/drift"
)

// oldest is the largest age that is told; what is older is past every bound as well.
const oldest = 24 * time.Hour

var errOlder = errors.New("the answer is of an older revision than one before")

// mirror is what a node has been told of what is intended: the newest item of each key that concerns it. It does
// no I/O and reads no clock; merge and events are called in turn.
type mirror struct {
	fleet.Member
	revision uint64
	known    bool // something has been told
	items    map[string]fleet.Item

	// of the last answer:
	age, held time.Duration
	changed   []string // tenants, by their keys, in order
	news      bool     // some item is new

	told map[string]bool // zones of which a directive has been told
}

func newMirror(m fleet.Member) *mirror {
	return &mirror{Member: m, items: map[string]fleet.Item{}, told: map[string]bool{}}
}

// merge takes an answer that DecodeIntent has read through. One that contradicts what was told before is an error
// and changes nothing: an answer of an older revision, or changes where nothing was told yet.
func (m *mirror) merge(in fleet.Intent) error {
	switch {
	case in.Revision < m.revision:
		return fmt.Errorf("%w: %d, known %d", errOlder, in.Revision, m.revision)
	case !m.known && !in.Full:
		return errors.New("changes where everything was asked for")
	}
	m.changed, m.news = nil, false
	take := func(it fleet.Item) {
		old, had := m.items[it.Key]
		if had && it.Rev < old.Rev || it.Gone && (!had || old.Gone) {
			return
		}
		if it.Gone {
			it.Body = old.Body // it tells whom it was
		}
		m.items[it.Key], m.news = it, m.news || !had || it.Rev > old.Rev
		if strings.HasPrefix(it.Key, fleet.KeyTenant) {
			m.changed = append(m.changed, it.Key)
		}
	}
	named := map[string]bool{}
	for _, it := range in.Items {
		if named[it.Key] = true; m.concerns(it.Key) {
			take(it)
		}
	}
	if in.Full {
		for key, it := range m.items {
			if !named[key] && !it.Gone {
				take(fleet.Item{Key: key, Rev: in.Revision, Gone: true})
			}
		}
	}
	slices.Sort(m.changed)
	m.revision, m.known = in.Revision, true
	m.age, m.held = millis(in.AgeMS), millis(in.HeldMS)
	return nil
}

// concerns tells whether an item says something to this node.
func (m *mirror) concerns(key string) bool {
	if name, ok := strings.CutPrefix(key, fleet.KeyZone); ok {
		_, observer, one := strings.Cut(name, "@")
		return !one || observer == m.Zone
	}
	return strings.HasPrefix(key, fleet.KeyTenant) || key == m.share()
}

func (m *mirror) share() string { return fleet.KeyShare + "/" + m.Node }

// events puts the last answer into the module's words, as they are so long after the answer came: every
// directive and the share, which it confirms, and the tenants that it names. The share comes after the tenants, by
// whose rates it was divided.
func (m *mirror) events(since time.Duration) (out []decide.Event) {
	zones := map[string]bool{}
	for key := range m.items {
		if name, ok := strings.CutPrefix(key, fleet.KeyZone); ok {
			zone, _, _ := strings.Cut(name, "@")
			zones[zone] = true
		}
	}
	age := min(m.age+since, oldest)
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		d, rev := m.directive(zone)
		if d == nil && !m.told[zone] {
			continue
		}
		e := decide.ZoneTold{Zone: zone, Revision: m.revision, Intent: m.revision, Serving: true, Share: 1, Floor: 1, Age: age}
		if m.told[zone] = true; d == nil {
			delete(m.told, zone)
		} else {
			h := fleet.ZoneBody(rev, *d, m.Node)
			e = decide.ZoneTold{Zone: zone, Revision: rev, Intent: m.revision, Share: h.Share, Floor: h.Floor, Rate: h.Rate,
				Trial: h.Trial, Age: age, Valid: millis(h.ValidMS)}
		}
		out = append(out, e)
	}
	for _, key := range m.changed {
		it := m.items[key]
		var t fleet.Tenant
		if json.Unmarshal(it.Body, &t) != nil {
			continue // DecodeIntent has read it
		}
		e := decide.TenantTold{Name: key[len(fleet.KeyTenant):], UID: t.UID, Revision: it.Rev, Intent: m.revision, Gone: it.Gone, Age: age}
		if !it.Gone {
			e.Committed, e.Staged, e.Removing, e.QuotaGone = tenantRules(t.Committed), tenantRules(t.Staged), t.Removing, t.QuotaGone
		}
		out = append(out, e)
	}
	if it, ok := m.items[m.share()]; ok {
		var s fleet.Shares
		if json.Unmarshal(it.Body, &s) == nil {
			e := decide.ShareTold{Epoch: s.Epoch, Slots: s.Slots, Rates: s.Rates, Age: age}
			switch {
			case it.Gone:
				e.Rates = nil
			case s.Incarnation == m.Incarnation: // another run has none of it
				e.Valid = max(0, m.held-since)
			}
			out = append(out, e)
		}
	}
	maps.DeleteFunc(m.items, func(key string, it fleet.Item) bool { return it.Gone && key != m.share() }) // told
	return out
}

// directive gives the one that holds for a zone at this node, with its revision; nil for none.
func (m *mirror) directive(zone string) (best *fleet.Directive, rev uint64) {
	for _, key := range []string{fleet.KeyZone + zone, fleet.KeyZone + zone + "@" + m.Zone} {
		it, ok := m.items[key]
		var d fleet.Directive
		if !ok || it.Gone || json.Unmarshal(it.Body, &d) != nil || d.Phase == fleet.Serving {
			continue
		}
		if best == nil || fleet.Narrower(*best, d) {
			best, rev = &d, it.Rev
		}
	}
	return best, rev
}

func tenantRules(g *fleet.Generation) *decide.TenantRules {
	if g == nil {
		return nil
	}
	r := &decide.TenantRules{Generation: g.Number, Digest: g.Digest, Classes: g.Spec.Namespace.Classes, Rate: g.Spec.Quota.Rate,
		Burst: g.Spec.Quota.Burst, ClassRates: g.Spec.Quota.Classes, RefuseElse: g.Spec.Fallback == "refuse"}
	for _, route := range g.Spec.Routes {
		r.Routes = append(r.Routes, decide.TenantRoute(route))
	}
	return r
}

func millis(ms int64) time.Duration {
	return time.Duration(min(max(0, ms), oldest.Milliseconds())) * time.Millisecond
}

// observed is what one turn of the loop reads for a report.
type observed struct {
	window   decide.FleetWindow
	facts    []decide.Fact
	now      decide.Time
	revision uint64
	list     uint64
	ready    bool
	synced   bool
	settled  time.Time // when the settings in force were taken
}

// idle tells whether nothing was seen that is evidence of anything.
func (o *observed) idle() bool {
	return !slices.ContainsFunc(o.window.Zones, func(z decide.ZoneWindow) bool { return z.Attempts+z.Begun > 0 }) &&
		!slices.ContainsFunc(o.window.Tenants, func(t decide.TenantWindow) bool { return t.Arrived > 0 })
}

// report puts what was observed into the fleet's words; want is what the last answer asked for.
func (o *observed) report(m fleet.Member, seq uint64, want []string) fleet.Report {
	span := max(o.now-o.window.Since, time.Millisecond)
	r := fleet.Report{Member: m, Seq: seq, Revision: o.revision, Ready: o.ready, WindowMS: span.Milliseconds(), List: o.list}
	for _, z := range o.window.Zones {
		if z.Zone == "" {
			continue // a server without a zone is no evidence on one
		}
		r.Zones = append(r.Zones, fleet.ZoneCount{Zone: z.Zone, Attempts: z.Attempts, Lost: z.Lost, Servers: z.Servers,
			LostServers: z.LostServers, OK: z.OK, Listed: z.Listed, Sent: z.Begun, Rate: z.Rate})
	}
	for _, t := range o.window.Tenants {
		r.Tenants = append(r.Tenants, fleet.TenantAck{Name: t.Name, UID: t.UID, Committed: t.Committed, Staged: t.Staged, Digest: t.Digest,
			Refused: t.Refused, Open: t.Open, Offered: float64(t.Arrived) / span.Seconds(), Admitted: float64(t.Admitted) / span.Seconds(), Rate: t.Rate})
	}
	var held []fleet.Held
	for _, f := range o.facts {
		h, ok, err := drift.Hold(f.Key, f.Value)
		if err != nil || !ok {
			continue // what can't be written is missing from the root: the judge names it
		}
		switch {
		case f.Key == fleet.KeySettings:
			h.By, h.SinceMS = "the configuration file", o.settled.UnixMilli()
		case strings.HasPrefix(f.Key, fleet.KeyBan):
			h.By = "the operators' door"
		}
		held = append(held, h)
	}
	drift.Fill(&r, held, want)
	return r
}
