package drift

import (
	"strconv"
	"strings"

	"meadowsill/internal/fleet"
)

// Slack of what a node's counts may show: rates are smoothed and windows cut requests in two.
const (
	admittedSlack    = 1.1
	rateSlack        = 1.01
	startedSlack     = 2
	startedAllowance = 3 // attempts a server; requests of a tenant
)

// checkBehaviour looks whether the counts of the node's new report fit what it holds. Only what the node held at the report
// before already is required of it: then the whole window lies after the node had it.
func (n *node) checkBehaviour(b *intentHistory) {
	before := n.lastAnomalies
	n.lastAnomalies = n.behaviourAnomalies(b)
	n.anomalies = nil
	for _, d := range n.lastAnomalies {
		for _, p := range before {
			if p.Key == d.Key && p.Field == d.Field {
				n.anomalies = append(n.anomalies, d)
			}
		}
	}
}

func (n *node) behaviourAnomalies(b *intentHistory) (out []Difference) {
	r := &n.report
	if n.previousRevision == 0 || !b.started || r.Revision > b.revision {
		return nil
	}
	say := func(key, field string, intended, applied float64) {
		out = append(out, Difference{key, field, "at most " + strconv.FormatFloat(intended, 'g', 6, 64), strconv.FormatFloat(applied, 'g', 6, 64)})
	}
	window := float64(r.WindowMS) / 1000
	for i := range r.Zones {
		z := &r.Zones[i]
		d, rev := b.directive(z.Zone, r.Revision, n.Member)
		if d == nil || rev > n.previousRevision {
			continue
		}
		body := fleet.AppliedZoneOf(rev, *d, n.Node)
		most := startedSlack*body.Rate*window*float64(z.Listed) + startedAllowance*float64(max(z.Listed, 1))
		switch {
		case body.Share == 0 && !body.Trial:
			if z.Started > 0 {
				say(fleet.KeyZone+z.Zone, "sent", 0, float64(z.Started))
			}
		case body.Rate > 0 && float64(z.Started) > most:
			say(fleet.KeyZone+z.Zone, "sent", most, float64(z.Started))
		}
	}
	if n.admittedExcess == nil {
		n.admittedExcess = map[string]float64{}
	}
	share := b.leases[n.Node]
	for i := range r.Tenants {
		t := &r.Tenants[i]
		if t.UID == 0 { // of the settings
			continue
		}
		key := fleet.KeyTenant + t.Name
		e := b.entries[key]
		var v *version
		if e != nil {
			v = e.at(r.Revision)
		}
		if v == nil {
			continue // nothing is known of it there; content that should not be is found by its digest
		}
		if v.removed || v.tenant.Removing {
			if v.revision <= n.previousRevision && t.Admitted > 0 {
				say(key, "admitted", 0, t.Admitted)
			}
			continue
		}
		if v.tenant.Committed == nil { // its first rollout; one that the settings name is served by them till then
			continue
		}
		burst := max(v.tenant.Committed.Spec.Quota.Burst, t.Rate, 1)
		if share != nil && v.revision <= n.previousRevision {
			if most, slots := share.most(e, t.Name); slots > 0 {
				burst = max(v.tenant.Committed.Spec.Quota.Burst/float64(slots), t.Rate, 1)
				if t.Rate > most*rateSlack+1e-6 {
					say(key, "rate", most, t.Rate)
				}
			}
		}
		over := max(0, n.admittedExcess[t.Name]+(t.Admitted-admittedSlack*t.Rate)*window)
		if n.admittedExcess[t.Name] = over; over > burst+startedAllowance {
			say(key, "admitted", t.Rate, t.Admitted)
		}
	}
	if len(n.admittedExcess) > 2*len(r.Tenants) {
		clear(n.admittedExcess)
	}
	return out
}

// most returns the largest share of a tenant that any version on record of the node's shares and the tenant allows,
// and the number of slots; 0 where there is none. The division moves between reports, so only the largest counts.
func (e *entry) most(tenant *entry, name string) (rate float64, slots int) {
	var floor, leased float64
	for i := range e.versions {
		if s := e.versions[i].lease; s != nil && s.Slots > 0 {
			leased, slots = max(leased, s.Rates[name]), s.Slots
		}
	}
	for i := range tenant.versions {
		if t := tenant.versions[i].tenant; t != nil && t.Committed != nil && slots > 0 {
			floor = max(floor, fleet.GuaranteedPart*t.Committed.Spec.Quota.Rate/float64(slots))
		}
	}
	return floor + leased, slots
}

// takeLocalItems takes the report's local items. It gives the settings' body where the report carries the one of its digest.
func (n *node) takeLocalItems() (body []byte) {
	n.overrides, n.settingsDigest, n.settingsOverride = nil, "", Override{}
	for i := range n.report.Applied {
		h := &n.report.Applied[i]
		switch {
		case strings.HasPrefix(h.Key, fleet.KeyExclusion):
			n.overrides = append(n.overrides, Override{Key: h.Key, ChangedBy: h.ChangedBy, SinceMS: h.SinceMS})
		case h.Key == fleet.KeySettings:
			n.settingsDigest, n.settingsOverride = h.Digest, Override{Key: h.Key, ChangedBy: h.ChangedBy, SinceMS: h.SinceMS}
			if b, err := Canonical(h.Body); len(h.Body) > 0 && err == nil && Digest(b) == h.Digest {
				body = b
			}
		}
	}
	return body
}
