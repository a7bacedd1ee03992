package agentclient

import (
	"slices"
	"strings"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/drift"
	"meadowsill/policy"
)

// Observation is the input of a report, with all values read at the same time.
type Observation struct {
	Window        policy.FleetWindow
	Items         []policy.AppliedItem
	Applied       []fleet.AppliedItem // result of AppliedItems for Items, if the caller has it already
	Now           policy.Time
	Revision      uint64 // newest intent revision that the module has applied completely
	ListVersion   uint64 // version of the module's server list
	Ready         bool
	Synced        bool
	SettingsSince time.Time // when the current settings took effect
}

// Idle reports whether the observation contains no evidence: no attempts and no requests.
func (o *Observation) Idle() bool {
	return !slices.ContainsFunc(o.Window.Zones, func(z policy.ZoneWindow) bool { return z.Attempts+z.Started > 0 }) &&
		!slices.ContainsFunc(o.Window.Tenants, func(t policy.TenantWindow) bool { return t.Arrived > 0 })
}

// Report builds the report of the observation. want lists the keys that the last answer requested.
func (o *Observation) Report(m fleet.Member, seq uint64, want []string) fleet.Report {
	span := max(o.Now-o.Window.Start, time.Millisecond)
	r := fleet.Report{Member: m, Sequence: seq, Revision: o.Revision, Ready: o.Ready, WindowMS: span.Milliseconds(), AppliedListVersion: o.ListVersion}
	for _, z := range o.Window.Zones {
		if z.Zone == "" {
			continue // servers without a zone give no evidence about a zone
		}
		r.Zones = append(r.Zones, fleet.ZoneEvidence{
			Zone:        z.Zone,
			Attempts:    z.Attempts,
			Lost:        z.Lost,
			Servers:     z.Servers,
			LostServers: z.LostServers,
			Answered:    z.Answered,
			Listed:      z.Listed,
			Started:     z.Started,
			Rate:        z.Rate,
		})
	}
	for _, t := range o.Window.Tenants {
		r.Tenants = append(r.Tenants, fleet.TenantAck{
			Name:         t.Name,
			UID:          t.UID,
			Committed:    t.Committed,
			Staged:       t.Staged,
			Digest:       t.Digest,
			RejectReason: t.RejectReason,
			Open:         t.Open,
			Offered:      float64(t.Arrived) / span.Seconds(),
			Admitted:     float64(t.Admitted) / span.Seconds(),
			Rate:         t.Rate,
		})
	}
	applied := o.Applied
	if applied == nil {
		applied = AppliedItems(o.Items, o.SettingsSince)
	}
	drift.FillReport(&r, applied, want)
	return r
}

// AppliedItems converts the module's items to report items with their digests. settingsSince is when the current
// settings took effect.
func AppliedItems(applied []policy.AppliedItem, settingsSince time.Time) []fleet.AppliedItem {
	var items []fleet.AppliedItem
	for _, a := range applied {
		item, ok, err := drift.AppliedItemOf(a.Key, a.Value)
		if err != nil || !ok {
			continue // an item that can't be encoded is missing from the root, so the controller reports it as a difference
		}
		switch {
		case a.Key == fleet.KeySettings:
			item.ChangedBy, item.SinceMS = "the configuration file", settingsSince.UnixMilli()
		case strings.HasPrefix(a.Key, fleet.KeyExclusion):
			item.ChangedBy = "the operators' door"
		}
		items = append(items, item)
	}
	return items
}
