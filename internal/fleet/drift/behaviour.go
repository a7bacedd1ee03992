package drift

import (
	"strconv"
	"strings"

	"meadowsill/internal/fleet"
)

// Tolerances for a node's counts, which deviate because rates are smoothed and requests span two windows.
const (
	admittedSlack    = 1.1
	rateSlack        = 1.01
	startedSlack     = 2
	startedAllowance = 3    // attempts per server; requests of a tenant
	rateEpsilon      = 1e-6 // requests/s
)

// checkBehaviour checks whether the counts of the node's new report are consistent with the intent that the node has
// applied. It considers only intent that the node had already applied at the previous report, so that it was in force
// for the whole window. An anomaly counts only if two reports in a row show it.
func (n *node) checkBehaviour(history *intentHistory) {
	previous := n.lastAnomalies
	n.lastAnomalies = n.behaviourAnomalies(history)
	n.anomalies = nil
	for _, d := range n.lastAnomalies {
		for _, prev := range previous {
			if prev.Key == d.Key && prev.Field == d.Field {
				n.anomalies = append(n.anomalies, d)
			}
		}
	}
}

// behaviourCheck collects the anomalies of one report.
type behaviourCheck struct {
	node      *node
	intents   *intentHistory
	window    float64 // s
	anomalies []Difference
}

// add records a count that is above the allowed value.
func (c *behaviourCheck) add(key, field string, allowed, counted float64) {
	c.anomalies = append(c.anomalies, Difference{
		Key:      key,
		Field:    field,
		Intended: "at most " + formatCount(allowed),
		Applied:  formatCount(counted),
	})
}

func formatCount(count float64) string { return strconv.FormatFloat(count, 'g', 6, 64) }

// behaviourAnomalies returns the counts of the newest report that are inconsistent with what the node has applied.
func (n *node) behaviourAnomalies(history *intentHistory) []Difference {
	r := &n.report
	if n.previousRevision == 0 || !history.started || r.Revision > history.revision {
		return nil
	}
	c := behaviourCheck{node: n, intents: history, window: float64(r.WindowMS) / 1000}
	for i := range r.Zones {
		c.checkZone(&r.Zones[i])
	}
	if n.admittedExcess == nil {
		n.admittedExcess = map[string]float64{}
	}
	for i := range r.Tenants {
		if t := &r.Tenants[i]; t.UID != 0 { // a tenant without a UID comes from the settings
			c.checkTenant(t)
		}
	}
	if len(n.admittedExcess) > 2*len(r.Tenants) {
		clear(n.admittedExcess)
	}
	return c.anomalies
}

// checkZone checks the attempts at a zone that has a directive.
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

// checkTenant checks the admitted requests of a tenant, and the rate that the node reports for it.
func (c *behaviourCheck) checkTenant(t *fleet.TenantAck) {
	n := c.node
	key := fleet.KeyTenant + t.Name
	e := c.intents.entries[key]
	if e == nil {
		return
	}
	v := e.at(n.report.Revision)
	switch {
	case v == nil: // unknown at this revision; the digests reveal content that should not exist
		return
	case v.removed || v.tenant.Removing:
		if v.revision <= n.previousRevision && t.Admitted > 0 {
			c.add(key, "admitted", 0, t.Admitted)
		}
		return
	case v.tenant.Committed == nil: // first rollout; until it is committed, a tenant in the settings is served by the settings
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

// maxRate returns the largest rate that any remembered version of the node's lease and of the tenant allows, and the
// number of slots, which is 0 if there is no lease. It uses the largest because the division changes between reports.
func (e *entry) maxRate(tenant *entry, name string) (rate float64, slots int) {
	var floor, leased float64
	for i := range e.versions {
		if quotaLease := e.versions[i].lease; quotaLease != nil && quotaLease.Slots > 0 {
			leased, slots = max(leased, quotaLease.Rates[name]), quotaLease.Slots
		}
	}
	for i := range tenant.versions {
		if t := tenant.versions[i].tenant; t != nil && t.Committed != nil && slots > 0 {
			floor = max(floor, fleet.GuaranteedPart*t.Committed.Spec.Quota.Rate/float64(slots))
		}
	}
	return floor + leased, slots
}

// readLocalItems reads the report's local items. It returns the body of the settings if the report has one that matches
// its digest.
func (n *node) readLocalItems() (body []byte) {
	n.overrides = nil
	n.settingsDigest = ""
	n.settingsOverride = Override{}
	for i := range n.report.Applied {
		item := &n.report.Applied[i]
		switch {
		case strings.HasPrefix(item.Key, fleet.KeyExclusion):
			n.overrides = append(n.overrides, Override{Key: item.Key, ChangedBy: item.ChangedBy, SinceMS: item.SinceMS})
		case item.Key == fleet.KeySettings:
			n.settingsDigest, n.settingsOverride = item.Digest, Override{Key: item.Key, ChangedBy: item.ChangedBy, SinceMS: item.SinceMS}
			if b, err := Canonical(item.Body); len(item.Body) > 0 && err == nil && Digest(b) == item.Digest {
				body = b
			}
		}
	}
	return body
}
