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
	startedAllowance = 3    // attempts a server; requests of a tenant
	rateEpsilon      = 1e-6 // requests/s
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

// behaviourCheck collects what one report's counts show against what the node holds.
type behaviourCheck struct {
	node      *node
	intents   *intentHistory
	window    float64 // s
	anomalies []Difference
}

// add notes a count that is over what is allowed.
func (c *behaviourCheck) add(key, field string, allowed, counted float64) {
	c.anomalies = append(c.anomalies, Difference{
		Key:      key,
		Field:    field,
		Intended: "at most " + formatCount(allowed),
		Applied:  formatCount(counted),
	})
}

func formatCount(count float64) string { return strconv.FormatFloat(count, 'g', 6, 64) }

// behaviourAnomalies returns the counts of the newest report that do not fit what the node holds.
func (n *node) behaviourAnomalies(b *intentHistory) []Difference {
	r := &n.report
	if n.previousRevision == 0 || !b.started || r.Revision > b.revision {
		return nil
	}
	c := behaviourCheck{node: n, intents: b, window: float64(r.WindowMS) / 1000}
	for i := range r.Zones {
		c.checkZone(&r.Zones[i])
	}
	if n.admittedExcess == nil {
		n.admittedExcess = map[string]float64{}
	}
	for i := range r.Tenants {
		if t := &r.Tenants[i]; t.UID != 0 { // else of the settings
			c.checkTenant(t)
		}
	}
	if len(n.admittedExcess) > 2*len(r.Tenants) {
		clear(n.admittedExcess)
	}
	return c.anomalies
}

// checkZone checks the attempts at a zone with a directive.
func (c *behaviourCheck) checkZone(z *fleet.ZoneEvidence) {
	n := c.node
	directive, revision := c.intents.directive(z.Zone, n.report.Revision, n.Member)
	if directive == nil || revision > n.previousRevision {
		return
	}
	key := fleet.KeyZone + z.Zone
	applied := fleet.AppliedZoneOf(revision, *directive, n.Node)
	allowed := startedSlack*applied.Rate*c.window*float64(z.Listed) + startedAllowance*float64(max(z.Listed, 1))
	switch {
	case applied.Share == 0 && !applied.Trial:
		if z.Started > 0 {
			c.add(key, "sent", 0, float64(z.Started))
		}
	case applied.Rate > 0 && float64(z.Started) > allowed:
		c.add(key, "sent", allowed, float64(z.Started))
	}
}

// checkTenant checks the requests admitted of a tenant, and the rate that the node says it admits.
func (c *behaviourCheck) checkTenant(t *fleet.TenantAck) {
	n := c.node
	key := fleet.KeyTenant + t.Name
	e := c.intents.entries[key]
	if e == nil {
		return
	}
	v := e.at(n.report.Revision)
	switch {
	case v == nil: // nothing is known of it there; content that should not be is found by its digest
		return
	case v.removed || v.tenant.Removing:
		if v.revision <= n.previousRevision && t.Admitted > 0 {
			c.add(key, "admitted", 0, t.Admitted)
		}
		return
	case v.tenant.Committed == nil: // its first rollout; one that the settings name is served by them till then
		return
	}
	quota := v.tenant.Committed.Spec.Quota
	burst := max(quota.Burst, t.Rate, 1)
	if lease := c.intents.leases[n.Node]; lease != nil && v.revision <= n.previousRevision {
		if allowed, slots := lease.maxRate(e, t.Name); slots > 0 {
			burst = max(quota.Burst/float64(slots), t.Rate, 1)
			if t.Rate > allowed*rateSlack+rateEpsilon {
				c.add(key, "rate", allowed, t.Rate)
			}
		}
	}
	excess := max(0, n.admittedExcess[t.Name]+(t.Admitted-admittedSlack*t.Rate)*c.window)
	n.admittedExcess[t.Name] = excess
	if excess > burst+startedAllowance {
		c.add(key, "admitted", t.Rate, t.Admitted)
	}
}

// maxRate returns the largest quota of a tenant that any version on record of the node's lease and the tenant allows,
// and the number of slots; 0 where there is none. The division moves between reports, so only the largest counts.
func (e *entry) maxRate(tenant *entry, name string) (rate float64, slots int) {
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
	n.overrides = nil
	n.settingsDigest = ""
	n.settingsOverride = Override{}
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
