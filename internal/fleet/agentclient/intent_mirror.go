// Package agentclient is the node's side of the protocol between a node and its fleet agent: the node's copy of the intent,
// the events that tell the node's policy module about changes of the intent, and the report of what the module observed and
// applied. It does no I/O and reads no clock; the caller sends the requests to the agent and owns the module.
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

// maxAge is the largest age that the module is given. A greater age exceeds every bound of the module as well.
const maxAge = 24 * time.Hour

var errOlderRevision = errors.New("the answer is of an older revision than one before")

// IntentMirror is a node's copy of the intent: the newest item of each key that concerns the node. One goroutine calls
// Merge and Events in turn.
type IntentMirror struct {
	fleet.Member
	Revision uint64
	Answered bool // an answer has been merged
	Items    map[string]fleet.Item

	// The following fields describe the last answer.
	Age            time.Duration
	LeaseLeft      time.Duration
	ChangedTenants []string // keys of changed tenants, sorted
	Changed        bool     // at least one item is new

	knownZones map[string]bool // zones for which the module has a directive
}

// NewIntentMirror returns an empty mirror for one run of a node.
func NewIntentMirror(m fleet.Member) *IntentMirror {
	return &IntentMirror{Member: m, Items: map[string]fleet.Item{}, knownZones: map[string]bool{}}
}

// Merge applies an answer that DecodeIntent has validated. It rejects an answer that contradicts earlier ones, and then
// changes nothing: an answer of an older revision, or a list of changes before any complete answer.
func (m *IntentMirror) Merge(in fleet.Intent) error {
	switch {
	case in.Revision < m.Revision:
		return fmt.Errorf("%w: %d, known %d", errOlderRevision, in.Revision, m.Revision)
	case !m.Answered && !in.Full:
		return errors.New("changes where everything was asked for")
	}
	m.ChangedTenants, m.Changed = nil, false
	mergeItem := func(it fleet.Item) {
		old, known := m.Items[it.Key]
		if known && it.Revision < old.Revision || it.Removed && (!known || old.Removed) {
			return
		}
		if it.Removed {
			it.Body = old.Body // the old body identifies the removed tenant
		}
		m.Items[it.Key], m.Changed = it, m.Changed || !known || it.Revision > old.Revision
		if strings.HasPrefix(it.Key, fleet.KeyTenant) {
			m.ChangedTenants = append(m.ChangedTenants, it.Key)
		}
	}
	listed := map[string]bool{}
	for _, it := range in.Items {
		if listed[it.Key] = true; m.concerns(it.Key) {
			mergeItem(it)
		}
	}
	if in.Full {
		for key, it := range m.Items {
			if !listed[key] && !it.Removed {
				mergeItem(fleet.Item{Key: key, Revision: in.Revision, Removed: true})
			}
		}
	}
	slices.Sort(m.ChangedTenants)
	m.Revision, m.Answered = in.Revision, true
	m.Age, m.LeaseLeft = DurationFromMillis(in.AgeMS), DurationFromMillis(in.LeaseMS)
	return nil
}

// concerns reports whether an item applies to this node.
func (m *IntentMirror) concerns(key string) bool {
	if name, ok := strings.CutPrefix(key, fleet.KeyZone); ok {
		_, observer, isZoneSpecific := strings.Cut(name, "@")
		return !isZoneSpecific || observer == m.Zone
	}
	return strings.HasPrefix(key, fleet.KeyTenant) || key == m.leaseKey()
}

func (m *IntentMirror) leaseKey() string { return fleet.KeyLease + "/" + m.Node }

// Events returns the last answer as events for the module, adjusted to the time since the answer arrived: every
// directive and the share, which the answer confirms, and the tenants that changed. The share comes after the tenants
// because it was divided by their rates.
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
			applied := fleet.AppliedZoneOf(rev, *d, m.Node)
			e = policy.ZoneDirective{
				Zone:           zone,
				Revision:       rev,
				IntentRevision: m.Revision,
				Share:          applied.Share,
				Floor:          applied.Floor,
				Rate:           applied.Rate,
				Trial:          applied.Trial,
				Age:            age,
				ValidFor:       DurationFromMillis(applied.ValidMS),
			}
		}
		out = append(out, e)
	}
	for _, key := range m.ChangedTenants {
		it := m.Items[key]
		var t fleet.Tenant
		if json.Unmarshal(it.Body, &t) != nil {
			continue // DecodeIntent has already validated the body
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
		var lease fleet.QuotaLease
		if json.Unmarshal(it.Body, &lease) == nil {
			e := policy.QuotaLease{Epoch: lease.Epoch, Slots: lease.Slots, Rates: lease.Rates, Age: age}
			switch {
			case it.Removed:
				e.Rates = nil
			case lease.Incarnation == m.Incarnation: // other runs of the node have no lease
				e.ValidFor = max(0, m.LeaseLeft-since)
			}
			out = append(out, e)
		}
	}
	maps.DeleteFunc(m.Items, func(key string, it fleet.Item) bool { return it.Removed && key != m.leaseKey() }) // the module has been told
	return out
}

// directive returns the directive in force for a zone at this node and its revision, or nil if there is none.
func (m *IntentMirror) directive(zone string) (best *fleet.Directive, rev uint64) {
	for _, key := range []string{fleet.KeyZone + zone, fleet.KeyZone + zone + "@" + m.Zone} {
		it, ok := m.Items[key]
		var d fleet.Directive
		if !ok || it.Removed || json.Unmarshal(it.Body, &d) != nil || d.Phase == fleet.Serving {
			continue
		}
		if best == nil || fleet.OwnTakesPrecedence(*best, d) {
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

// DurationFromMillis converts a message's number of ms to a duration, limited to the range from 0 to one day.
func DurationFromMillis(ms int64) time.Duration {
	return time.Duration(min(max(0, ms), maxAge.Milliseconds())) * time.Millisecond
}
