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

// maxAge is the largest age that the module is given; what is older is past every bound as well.
const maxAge = 24 * time.Hour

var errOlderRevision = errors.New("the answer is of an older revision than one before")

// IntentMirror is what a node knows of the intent: the newest item of each key that concerns it. Merge and Events are called in
// turn, by one goroutine.
type IntentMirror struct {
	fleet.Member
	Revision uint64
	Answered bool // an answer has come
	Items    map[string]fleet.Item

	// of the last answer:
	Age            time.Duration
	LeaseLeft      time.Duration
	ChangedTenants []string // tenants, by their keys, in order
	Changed        bool     // some item is new

	knownZones map[string]bool // zones of which the module knows a directive
}

// NewIntentMirror makes the mirror of a node's run, which knows nothing.
func NewIntentMirror(m fleet.Member) *IntentMirror {
	return &IntentMirror{Member: m, Items: map[string]fleet.Item{}, knownZones: map[string]bool{}}
}

// Merge takes an answer that DecodeIntent has read through. One that contradicts what was delivered before is an error
// and changes nothing: an answer of an older revision, or changes where nothing was delivered yet.
func (m *IntentMirror) Merge(in fleet.Intent) error {
	switch {
	case in.Revision < m.Revision:
		return fmt.Errorf("%w: %d, known %d", errOlderRevision, in.Revision, m.Revision)
	case !m.Answered && !in.Full:
		return errors.New("changes where everything was asked for")
	}
	m.ChangedTenants, m.Changed = nil, false
	take := func(it fleet.Item) {
		old, had := m.Items[it.Key]
		if had && it.Revision < old.Revision || it.Removed && (!had || old.Removed) {
			return
		}
		if it.Removed {
			it.Body = old.Body // it tells whom it was
		}
		m.Items[it.Key], m.Changed = it, m.Changed || !had || it.Revision > old.Revision
		if strings.HasPrefix(it.Key, fleet.KeyTenant) {
			m.ChangedTenants = append(m.ChangedTenants, it.Key)
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
	slices.Sort(m.ChangedTenants)
	m.Revision, m.Answered = in.Revision, true
	m.Age, m.LeaseLeft = Millis(in.AgeMS), Millis(in.LeaseMS)
	return nil
}

// concerns reports whether an item says something to this node.
func (m *IntentMirror) concerns(key string) bool {
	if name, ok := strings.CutPrefix(key, fleet.KeyZone); ok {
		_, observer, one := strings.Cut(name, "@")
		return !one || observer == m.Zone
	}
	return strings.HasPrefix(key, fleet.KeyTenant) || key == m.leaseKey()
}

func (m *IntentMirror) leaseKey() string { return fleet.KeyLease + "/" + m.Node }

// Events returns the last answer as the module's events, as they are so long after the answer came: every
// directive and the share, which it confirms, and the tenants that it names. The share comes after the tenants, by
// whose rates it was divided.
func (m *IntentMirror) Events(since time.Duration) (out []policy.Event) {
	zones := map[string]bool{}
	for key := range m.Items {
		if name, ok := strings.CutPrefix(key, fleet.KeyZone); ok {
			zone, _, _ := strings.Cut(name, "@")
			zones[zone] = true
		}
	}
	age := min(m.Age+since, maxAge)
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		d, rev := m.directive(zone)
		if d == nil && !m.knownZones[zone] {
			continue
		}
		e := policy.ZoneDirective{Zone: zone, Revision: m.Revision, IntentRevision: m.Revision, Serving: true, Share: 1, Floor: 1, Age: age}
		if m.knownZones[zone] = true; d == nil {
			delete(m.knownZones, zone)
		} else {
			h := fleet.AppliedZoneOf(rev, *d, m.Node)
			e = policy.ZoneDirective{
				Zone:           zone,
				Revision:       rev,
				IntentRevision: m.Revision,
				Share:          h.Share,
				Floor:          h.Floor,
				Rate:           h.Rate,
				Trial:          h.Trial,
				Age:            age,
				ValidFor:       Millis(h.ValidMS),
			}
		}
		out = append(out, e)
	}
	for _, key := range m.ChangedTenants {
		it := m.Items[key]
		var t fleet.Tenant
		if json.Unmarshal(it.Body, &t) != nil {
			continue // DecodeIntent has read it
		}
		e := policy.TenantUpdate{Name: key[len(fleet.KeyTenant):], UID: t.UID, Revision: it.Revision, IntentRevision: m.Revision, Removed: it.Removed, Age: age}
		if !it.Removed {
			e.Committed = tenantRules(t.Committed)
			e.Staged = tenantRules(t.Staged)
			e.Removing = t.Removing
			e.QuotaWithdrawn = t.QuotaWithdrawn
		}
		out = append(out, e)
	}
	if it, ok := m.Items[m.leaseKey()]; ok {
		var s fleet.QuotaLease
		if json.Unmarshal(it.Body, &s) == nil {
			e := policy.QuotaLease{Epoch: s.Epoch, Slots: s.Slots, Rates: s.Rates, Age: age}
			switch {
			case it.Removed:
				e.Rates = nil
			case s.Incarnation == m.Incarnation: // another run has none of it
				e.ValidFor = max(0, m.LeaseLeft-since)
			}
			out = append(out, e)
		}
	}
	maps.DeleteFunc(m.Items, func(key string, it fleet.Item) bool { return it.Removed && key != m.leaseKey() }) // the module knows
	return out
}

// directive returns the one that holds for a zone at this node, with its revision; nil for none.
func (m *IntentMirror) directive(zone string) (best *fleet.Directive, rev uint64) {
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
	r := &policy.TenantRules{
		Generation:     g.Number,
		Digest:         g.Digest,
		Classes:        g.Spec.Namespace.Classes,
		Rate:           g.Spec.Quota.Rate,
		Burst:          g.Spec.Quota.Burst,
		ClassRates:     g.Spec.Quota.Classes,
		RejectUnrouted: g.Spec.Fallback == "refuse",
	}
	for _, route := range g.Spec.Routes {
		r.Routes = append(r.Routes, policy.TenantRoute(route))
	}
	return r
}

// Millis is a number of ms of a message as a duration, 0 to a day.
func Millis(ms int64) time.Duration {
	return time.Duration(min(max(0, ms), maxAge.Milliseconds())) * time.Millisecond
}
