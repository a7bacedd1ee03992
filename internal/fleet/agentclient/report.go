package agentclient

import (
	"slices"
	"strings"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/drift"
	"meadowsill/policy"
)

// Observation is what a report is made of, all read at one moment.
type Observation struct {
	Window        policy.FleetWindow
	Items         []policy.AppliedItem
	Applied       []fleet.AppliedItem // Items as AppliedItems gives them, where the caller has them already
	Now           policy.Time
	Revision      uint64 // newest intent that the module has applied completely
	ListVersion   uint64 // version of the server list that it has
	Ready         bool
	Synced        bool
	SettingsSince time.Time // when the settings in force were taken
}

// Idle reports whether nothing was seen that is evidence of anything.
func (o *Observation) Idle() bool {
	return !slices.ContainsFunc(o.Window.Zones, func(z policy.ZoneWindow) bool { return z.Attempts+z.Started > 0 }) &&
		!slices.ContainsFunc(o.Window.Tenants, func(t policy.TenantWindow) bool { return t.Arrived > 0 })
}

// Report makes the report of what was observed; want is what the last answer requested.
func (o *Observation) Report(m fleet.Member, seq uint64, want []string) fleet.Report {
	span := max(o.Now-o.Window.Start, time.Millisecond)
	r := fleet.Report{Member: m, Sequence: seq, Revision: o.Revision, Ready: o.Ready, WindowMS: span.Milliseconds(), List: o.ListVersion}
	for _, z := range o.Window.Zones {
		if z.Zone == "" {
			continue // a server without a zone is no evidence on one
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

// AppliedItems makes items what a report holds, with their digests. settled is when the settings in force were taken.
func AppliedItems(applied []policy.AppliedItem, settled time.Time) []fleet.AppliedItem {
	var items []fleet.AppliedItem
	for _, f := range applied {
		h, ok, err := drift.AppliedItemOf(f.Key, f.Value)
		if err != nil || !ok {
			continue // what can't be written is missing from the root: the controller names it
		}
		switch {
		case f.Key == fleet.KeySettings:
			h.ChangedBy, h.SinceMS = "the configuration file", settled.UnixMilli()
		case strings.HasPrefix(f.Key, fleet.KeyExclusion):
			h.ChangedBy = "the operators' door"
		}
		items = append(items, h)
	}
	return items
}
