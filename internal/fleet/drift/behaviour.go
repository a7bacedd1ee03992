package drift

import (
	"strconv"
	"strings"

	"meadowsill/internal/fleet"
)

// Slack of what a node's counts may show: rates are smoothed and windows cut requests in two.
const (
	admitSlack = 1.1
	rateSlack  = 1.01
	sentSlack  = 2
	sentMore   = 3 // attempts a server; requests of a tenant
)

// behave looks whether the counts of the node's new report fit what it holds. Only what the node held at the report
// before already is asked of it: then the whole window lies after the node had it.
func (n *node) behave(b *book) {
	before := n.suspects
	n.suspects = n.misfits(b)
	n.behaviour = nil
	for _, d := range n.suspects {
		for _, p := range before {
			if p.Key == d.Key && p.Field == d.Field {
				n.behaviour = append(n.behaviour, d)
			}
		}
	}
}

func (n *node) misfits(b *book) (out []Difference) {
	r := &n.report
	if n.prevRev == 0 || !b.known || r.Revision > b.rev {
		return nil
	}
	say := func(key, field string, intended, applied float64) {
		out = append(out, Difference{key, field, "at most " + strconv.FormatFloat(intended, 'g', 6, 64), strconv.FormatFloat(applied, 'g', 6, 64)})
	}
	window := float64(r.WindowMS) / 1000
	for i := range r.Zones {
		z := &r.Zones[i]
		d, rev := b.directive(z.Zone, r.Revision, n.Member)
		if d == nil || rev > n.prevRev {
			continue
		}
		body := fleet.ZoneBody(rev, *d, n.Node)
		most := sentSlack*body.Rate*window*float64(z.Listed) + sentMore*float64(max(z.Listed, 1))
		switch {
		case body.Share == 0 && !body.Trial:
			if z.Sent > 0 {
				say(fleet.KeyZone+z.Zone, "sent", 0, float64(z.Sent))
			}
		case body.Rate > 0 && float64(z.Sent) > most:
			say(fleet.KeyZone+z.Zone, "sent", most, float64(z.Sent))
		}
	}
	if n.excess == nil {
		n.excess = map[string]float64{}
	}
	share := b.shares[n.Node]
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
		if v.gone || v.tenant.Removing {
			if v.rev <= n.prevRev && t.Admitted > 0 {
				say(key, "admitted", 0, t.Admitted)
			}
			continue
		}
		if v.tenant.Committed == nil { // its first rollout; one that the settings name is served by them till then
			continue
		}
		burst := max(v.tenant.Committed.Spec.Quota.Burst, t.Rate, 1)
		if share != nil && v.rev <= n.prevRev {
			if most, slots := share.most(e, t.Name); slots > 0 {
				burst = max(v.tenant.Committed.Spec.Quota.Burst/float64(slots), t.Rate, 1)
				if t.Rate > most*rateSlack+1e-6 {
					say(key, "rate", most, t.Rate)
				}
			}
		}
		over := max(0, n.excess[t.Name]+(t.Admitted-admitSlack*t.Rate)*window)
		if n.excess[t.Name] = over; over > burst+sentMore {
			say(key, "admitted", t.Rate, t.Admitted)
		}
	}
	if len(n.excess) > 2*len(r.Tenants) {
		clear(n.excess)
	}
	return out
}

// most gives the largest share of a tenant that any version on record of the node's shares and the tenant allows,
// and the number of slots; 0 where there is none. The division moves between reports, so only the largest counts.
func (e *entry) most(tenant *entry, name string) (rate float64, slots int) {
	var floor, leased float64
	for i := range e.versions {
		if s := e.versions[i].shares; s != nil && s.Slots > 0 {
			leased, slots = max(leased, s.Rates[name]), s.Slots
		}
	}
	for i := range tenant.versions {
		if t := tenant.versions[i].tenant; t != nil && t.Committed != nil && slots > 0 {
			floor = max(floor, fleet.FloorPart*t.Committed.Spec.Quota.Rate/float64(slots))
		}
	}
	return floor + leased, slots
}

// hearLocal takes the report's local facts. It gives the settings' body where the report carries the one of its digest.
func (n *node) hearLocal() (body []byte) {
	n.local, n.settings, n.from = nil, "", Override{}
	for i := range n.report.Held {
		h := &n.report.Held[i]
		switch {
		case strings.HasPrefix(h.Key, fleet.KeyBan):
			n.local = append(n.local, Override{Key: h.Key, By: h.By, SinceMS: h.SinceMS})
		case h.Key == fleet.KeySettings:
			n.settings, n.from = h.Digest, Override{Key: h.Key, By: h.By, SinceMS: h.SinceMS}
			if b, err := Canonical(h.Body); len(h.Body) > 0 && err == nil && Digest(b) == h.Digest {
				body = b
			}
		}
	}
	return body
}
