// Package agentclient is a node's side of its tie to the fleet, as pure values: what it knows of the intent, the events by
// which its decide module learns of it, and the report made of what the module saw and holds. It does no I/O and reads no
// clock; the caller asks the agent and owns the module.
package agentclient

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/policy"
)

// oldest is the largest age that the module is given; what is older is past every bound as well.
const oldest = 24 * time.Hour

var errOlder = errors.New("the answer is of an older revision than one before")

// Mirror is what a node knows of the intent: the newest item of each key that concerns it. Merge and Events are called in
// turn, by one goroutine.
type Mirror struct {
	fleet.Member
	Revision uint64
	Known    bool // an answer has come
	Items    map[string]fleet.Item

	// of the last answer:
	Age, Held time.Duration
	Changed   []string // tenants, by their keys, in order
	News      bool     // some item is new

	directed map[string]bool // zones of which the module knows a directive
}

// NewMirror makes the mirror of a node's run, which knows nothing.
func NewMirror(m fleet.Member) *Mirror {
	return &Mirror{Member: m, Items: map[string]fleet.Item{}, directed: map[string]bool{}}
}

// Merge takes an answer that DecodeIntent has read through. One that contradicts what was told before is an error
// and changes nothing: an answer of an older revision, or changes where nothing was told yet.
func (m *Mirror) Merge(in fleet.Intent) error {
	switch {
	case in.Revision < m.Revision:
		return fmt.Errorf("%w: %d, known %d", errOlder, in.Revision, m.Revision)
	case !m.Known && !in.Full:
		return errors.New("changes where everything was asked for")
	}
	m.Changed, m.News = nil, false
	take := func(it fleet.Item) {
		old, had := m.Items[it.Key]
		if had && it.Revision < old.Revision || it.Removed && (!had || old.Removed) {
			return
		}
		if it.Removed {
			it.Body = old.Body // it tells whom it was
		}
		m.Items[it.Key], m.News = it, m.News || !had || it.Revision > old.Revision
		if strings.HasPrefix(it.Key, fleet.KeyTenant) {
			m.Changed = append(m.Changed, it.Key)
		}
	}
	named := map[string]bool{}
	for _, it := range in.Items {
		if named[it.Key] = true; m.concerns(it.Key) {
			take(it)
		}
	}
	if in.Full {
		for key, it := range m.Items {
			if !named[key] && !it.Removed {
				take(fleet.Item{Key: key, Revision: in.Revision, Removed: true})
			}
		}
	}
	slices.Sort(m.Changed)
	m.Revision, m.Known = in.Revision, true
	m.Age, m.Held = Millis(in.AgeMS), Millis(in.LeaseMS)
	return nil
}

// concerns tells whether an item says something to this node.
func (m *Mirror) concerns(key string) bool {
	if name, ok := strings.CutPrefix(key, fleet.KeyZone); ok {
		_, observer, one := strings.Cut(name, "@")
		return !one || observer == m.Zone
	}
	return strings.HasPrefix(key, fleet.KeyTenant) || key == m.share()
}

func (m *Mirror) share() string { return fleet.KeyLease + "/" + m.Node }

// Events gives the last answer as the module's events, as they are so long after the answer came: every
// directive and the share, which it confirms, and the tenants that it names. The share comes after the tenants, by
// whose rates it was divided.
func (m *Mirror) Events(since time.Duration) (out []policy.Event) {
	zones := map[string]bool{}
	for key := range m.Items {
		if name, ok := strings.CutPrefix(key, fleet.KeyZone); ok {
			zone, _, _ := strings.Cut(name, "@")
			zones[zone] = true
		}
	}
	age := min(m.Age+since, oldest)
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		d, rev := m.directive(zone)
		if d == nil && !m.directed[zone] {
			continue
		}
		e := policy.ZoneDirective{Zone: zone, Revision: m.Revision, IntentRevision: m.Revision, Serving: true, Share: 1, Floor: 1, Age: age}
		if m.directed[zone] = true; d == nil {
			delete(m.directed, zone)
		} else {
			h := fleet.AppliedZoneOf(rev, *d, m.Node)
			e = policy.ZoneDirective{Zone: zone, Revision: rev, IntentRevision: m.Revision, Share: h.Share, Floor: h.Floor, Rate: h.Rate,
				Trial: h.Trial, Age: age, ValidFor: Millis(h.ValidMS)}
		}
		out = append(out, e)
	}
	for _, key := range m.Changed {
		it := m.Items[key]
		var t fleet.Tenant
		if json.Unmarshal(it.Body, &t) != nil {
			continue // DecodeIntent has read it
		}
		e := policy.TenantUpdate{Name: key[len(fleet.KeyTenant):], UID: t.UID, Revision: it.Revision, IntentRevision: m.Revision, Removed: it.Removed, Age: age}
		if !it.Removed {
			e.Committed, e.Staged, e.Removing, e.QuotaWithdrawn = tenantRules(t.Committed), tenantRules(t.Staged), t.Removing, t.QuotaWithdrawn
		}
		out = append(out, e)
	}
	if it, ok := m.Items[m.share()]; ok {
		var s fleet.QuotaLease
		if json.Unmarshal(it.Body, &s) == nil {
			e := policy.QuotaLease{Epoch: s.Epoch, Slots: s.Slots, Rates: s.Rates, Age: age}
			switch {
			case it.Removed:
				e.Rates = nil
			case s.Incarnation == m.Incarnation: // another run has none of it
				e.ValidFor = max(0, m.Held-since)
			}
			out = append(out, e)
		}
	}
	maps.DeleteFunc(m.Items, func(key string, it fleet.Item) bool { return it.Removed && key != m.share() }) // the module knows
	return out
}

// directive gives the one that holds for a zone at this node, with its revision; nil for none.
func (m *Mirror) directive(zone string) (best *fleet.Directive, rev uint64) {
	for _, key := range []string{fleet.KeyZone + zone, fleet.KeyZone + zone + "@" + m.Zone} {
		it, ok := m.Items[key]
		var d fleet.Directive
		if !ok || it.Removed || json.Unmarshal(it.Body, &d) != nil || d.Phase == fleet.Serving {
			continue
		}
		if best == nil || fleet.IsNarrower(*best, d) {
			best, rev = &d, it.Revision
		}
	}
	return best, rev
}

func tenantRules(g *fleet.Generation) *policy.TenantRules {
	if g == nil {
		return nil
	}
	r := &policy.TenantRules{Generation: g.Number, Digest: g.Digest, Classes: g.Spec.Namespace.Classes, Rate: g.Spec.Quota.Rate,
		Burst: g.Spec.Quota.Burst, ClassRates: g.Spec.Quota.Classes, RejectUnrouted: g.Spec.Fallback == "refuse"}
	for _, route := range g.Spec.Routes {
		r.Routes = append(r.Routes, policy.TenantRoute(route))
	}
	return r
}

// Millis is a number of ms of a message as a duration, 0 to a day.
func Millis(ms int64) time.Duration {
	return time.Duration(min(max(0, ms), oldest.Milliseconds())) * time.Millisecond
}
