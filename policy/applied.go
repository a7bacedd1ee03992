package policy

import (
	"cmp"
	"slices"
	"time"
)

// This file describes the state that the module has applied, read from the state that its decisions use. The
// JSON names are those of the messages of package fleet, so that both give the same canonical form and
// digest.

type (
	appliedZone struct {
		Revision uint64  `json:"rev"`
		Share    float64 `json:"share"`
		Floor    float64 `json:"floor"`
		Rate     float64 `json:"rate"`
		Trial    bool    `json:"trial"`
		ValidMS  int64   `json:"valid_ms"`
	}
	appliedTenant struct {
		UID            uint64        `json:"uid"`
		Revision       uint64        `json:"rev"`
		Committed      *appliedRules `json:"committed"`
		Removing       bool          `json:"removing"`
		QuotaWithdrawn bool          `json:"quota_gone"`
	}
	appliedRules struct {
		Generation     uint64             `json:"generation"`
		Digest         string             `json:"digest"`
		Classes        []string           `json:"classes"`
		Rate           float64            `json:"rate"`
		Burst          float64            `json:"burst"`
		ClassRates     map[string]float64 `json:"class_rates"`
		Routes         []appliedRoute     `json:"routes"`
		RejectUnrouted bool               `json:"refuse_else"`
	}
	appliedRoute struct {
		Zone   string  `json:"zone,omitempty"`
		Kind   string  `json:"kind,omitempty"`
		ID     string  `json:"id,omitempty"`
		Weight float64 `json:"weight"`
	}
	appliedLease struct {
		Epoch uint64             `json:"epoch"`
		Slots int                `json:"slots"`
		Rates map[string]float64 `json:"rates"`
	}
	appliedServer struct {
		Zone   string  `json:"zone"`
		Kind   string  `json:"kind"`
		Cell   int     `json:"cell"`
		State  string  `json:"state"`
		Weight float64 `json:"size"`
	}
	appliedExclusion struct {
		Excluded bool `json:"out"`
	}
	appliedSettings struct {
		Nodes                int                `json:"nodes"`
		Classes              []appliedClass     `json:"classes"`
		Tenants              map[string]float64 `json:"tenants"`
		MaxAttempts          int                `json:"max_attempts"`
		MayHedge             bool               `json:"may_overlap"`
		SendsRetryAfter      bool               `json:"hold_offs"`
		MaxRetryAfterMS      float64            `json:"max_hold_off_ms"`
		ConnectTimeoutMS     float64            `json:"connect_timeout_ms"`
		DrainGraceMS         float64            `json:"drain_grace_ms"`
		SlowStartMinCapacity float64            `json:"cold_from"`
		SlowStartWindowMS    float64            `json:"cold_time_ms"`
		OverloadFactor       float64            `json:"overload_factor"`
		OverloadDurationMS   float64            `json:"overload_time_ms"`
		OverQuotaWeight      float64            `json:"over_share_worth"`
		MaxOpenRequests      int                `json:"max_open"`
	}
	appliedClass struct {
		Name               string  `json:"name"`
		PriorityWeight     float64 `json:"worth"`
		LatencyObjectiveMS float64 `json:"aim_ms"`
		DeadlineMS         float64 `json:"deadline_ms"`
		LateWeight         float64 `json:"late_worth"`
		Idempotency        int     `json:"effect"`
	}
)

// Keys of applied items. Those that end with a slash are prefixes, followed by a name.
const (
	keyZone      = "zone/"
	keyTenant    = "tenant/"
	keyServer    = "server/"
	keyExclusion = "ban/"
	keyLease     = "share"
	keySettings  = "settings"
)

// Server states in applied items.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// Applied returns all items of the state that the module's decisions are based on, sorted by key, or nil
// without Settings.Fleet. The values share no memory with the module that changes later.
func (m *Module) Applied() []AppliedItem {
	if m.fleet == nil {
		return nil
	}
	items := []AppliedItem{{keySettings, m.appliedSettings()}}
	for _, z := range m.fleet.zoneOrder {
		if !z.Serving {
			items = append(items, AppliedItem{keyZone + z.Zone, z.applied()})
		}
	}
	for _, t := range m.fleet.tenantOrder {
		if !t.removed && t.uid != 0 {
			items = append(items, AppliedItem{keyTenant + t.name, t.applied()})
		}
	}
	if l := m.fleet.lease; l.Rates != nil {
		items = append(items, AppliedItem{keyLease, appliedLease{Epoch: l.Epoch, Slots: l.Slots, Rates: l.Rates}})
	}
	for _, s := range m.endpoints.listed {
		items = append(items, AppliedItem{keyServer + s.Name, s.applied()})
	}
	for id := range m.excluded {
		if s := m.servers[id]; s != nil {
			items = append(items, AppliedItem{keyExclusion + s.Name, appliedExclusion{Excluded: true}})
		}
	}
	slices.SortFunc(items, func(a, b AppliedItem) int { return cmp.Compare(a.Key, b.Key) })
	return items
}

func (z *zoneState) applied() appliedZone {
	return appliedZone{
		Revision: z.Revision,
		Share:    z.Share,
		Floor:    z.Floor,
		Rate:     z.Rate,
		Trial:    z.Trial,
		ValidMS:  z.ValidFor.Milliseconds(),
	}
}

func (t *fleetTenant) applied() appliedTenant {
	return appliedTenant{
		UID:            t.uid,
		Revision:       t.revision,
		Committed:      t.committed.applied(),
		Removing:       t.removing,
		QuotaWithdrawn: t.quotaWithdrawn,
	}
}

func (r *TenantRules) applied() *appliedRules {
	if r == nil {
		return nil
	}
	rules := &appliedRules{
		Generation:     r.Generation,
		Digest:         r.Digest,
		Classes:        r.Classes,
		Rate:           r.Rate,
		Burst:          r.Burst,
		ClassRates:     r.ClassRates,
		RejectUnrouted: r.RejectUnrouted,
	}
	for _, route := range r.Routes {
		rules.Routes = append(rules.Routes, appliedRoute(route))
	}
	return rules
}

func (s *server) applied() appliedServer {
	applied := appliedServer{Zone: s.Zone, Kind: s.Kind, Cell: s.Cell, State: stateReady, Weight: s.Weight}
	if s.State == Draining {
		applied.State = stateDraining
	}
	return applied
}

func (m *Module) appliedSettings() appliedSettings {
	s := m.settings
	applied := appliedSettings{
		Nodes:                s.Nodes,
		Tenants:              map[string]float64{},
		MaxAttempts:          s.MaxAttempts,
		MayHedge:             s.MayHedge,
		SendsRetryAfter:      s.SendsRetryAfter,
		MaxRetryAfterMS:      milliseconds(s.MaxRetryAfter),
		ConnectTimeoutMS:     milliseconds(s.ConnectTimeout),
		DrainGraceMS:         milliseconds(s.DrainGrace),
		SlowStartMinCapacity: s.SlowStartMinCapacity,
		SlowStartWindowMS:    milliseconds(s.SlowStartWindow),
		OverloadFactor:       s.OverloadFactor,
		OverloadDurationMS:   milliseconds(s.OverloadDuration),
		OverQuotaWeight:      s.OverQuotaWeight,
		MaxOpenRequests:      s.MaxOpenRequests,
	}
	for _, c := range s.Classes {
		applied.Classes = append(applied.Classes, appliedClass{
			Name:               c.Name,
			PriorityWeight:     c.PriorityWeight,
			LatencyObjectiveMS: milliseconds(c.LatencyObjective),
			DeadlineMS:         milliseconds(c.Deadline),
			LateWeight:         c.LateWeight,
			Idempotency:        int(c.Idempotency),
		})
	}
	slices.SortFunc(applied.Classes, func(a, b appliedClass) int { return cmp.Compare(a.Name, b.Name) })
	for _, t := range s.Tenants {
		applied.Tenants[t.Name] = t.Quota
	}
	return applied
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
