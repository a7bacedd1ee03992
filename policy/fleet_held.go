package policy

// What the module says it holds, read from what it decides by. The JSON names are those of the fleet's words.

import (
	"cmp"
	"slices"
	"time"
)

type (
	heldZone struct {
		Rev     uint64  `json:"rev"`
		Share   float64 `json:"share"`
		Floor   float64 `json:"floor"`
		Rate    float64 `json:"rate"`
		Trial   bool    `json:"trial"`
		ValidMS int64   `json:"valid_ms"`
	}
	heldTenant struct {
		UID       uint64     `json:"uid"`
		Rev       uint64     `json:"rev"`
		Committed *heldRules `json:"committed"`
		Removing  bool       `json:"removing"`
		QuotaGone bool       `json:"quota_gone"`
	}
	heldRules struct {
		Generation uint64             `json:"generation"`
		Digest     string             `json:"digest"`
		Classes    []string           `json:"classes"`
		Rate       float64            `json:"rate"`
		Burst      float64            `json:"burst"`
		ClassRates map[string]float64 `json:"class_rates"`
		Routes     []heldRoute        `json:"routes"`
		RefuseElse bool               `json:"refuse_else"`
	}
	heldRoute struct {
		Zone   string  `json:"zone,omitempty"`
		Kind   string  `json:"kind,omitempty"`
		ID     string  `json:"id,omitempty"`
		Weight float64 `json:"weight"`
	}
	heldShare struct {
		Epoch uint64             `json:"epoch"`
		Slots int                `json:"slots"`
		Rates map[string]float64 `json:"rates"`
	}
	heldServer struct {
		Zone  string  `json:"zone"`
		Kind  string  `json:"kind"`
		Cell  int     `json:"cell"`
		State string  `json:"state"`
		Size  float64 `json:"size"`
	}
	heldBan struct {
		Out bool `json:"out"`
	}
	heldSettings struct {
		Nodes          int                `json:"nodes"`
		Classes        []heldClass        `json:"classes"`
		Tenants        map[string]float64 `json:"tenants"`
		MaxAttempts    int                `json:"max_attempts"`
		MayOverlap     bool               `json:"may_overlap"`
		HoldOffs       bool               `json:"hold_offs"`
		MaxHoldOffMS   float64            `json:"max_hold_off_ms"`
		ConnectMS      float64            `json:"connect_timeout_ms"`
		DrainGraceMS   float64            `json:"drain_grace_ms"`
		ColdFrom       float64            `json:"cold_from"`
		ColdMS         float64            `json:"cold_time_ms"`
		OverloadFactor float64            `json:"overload_factor"`
		OverloadMS     float64            `json:"overload_time_ms"`
		OverShareWorth float64            `json:"over_share_worth"`
		MaxOpen        int                `json:"max_open"`
	}
	heldClass struct {
		Name       string  `json:"name"`
		Worth      float64 `json:"worth"`
		AimMS      float64 `json:"aim_ms"`
		DeadlineMS float64 `json:"deadline_ms"`
		LateWorth  float64 `json:"late_worth"`
		Effect     int     `json:"effect"`
	}
)

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Applied gives every fact that the module decides by, in the order of the keys; nothing without Settings.Fleet. Its
// values share nothing with the module that changes later.
func (m *Module) Applied() []AppliedItem {
	if m.fleet == nil {
		return nil
	}
	facts := []AppliedItem{{"settings", m.heldSettings()}}
	for _, d := range m.fleet.order {
		if !d.Serving {
			facts = append(facts, AppliedItem{"zone/" + d.Zone, heldZone{d.Revision, d.Share, d.Floor, d.Rate, d.Trial,
				d.ValidFor.Milliseconds()}})
		}
	}
	for _, b := range m.fleet.names {
		if b.gone || b.uid == 0 {
			continue
		}
		t := heldTenant{UID: b.uid, Rev: b.revision, Removing: b.removing, QuotaGone: b.unquoted}
		if g := b.committed; g != nil {
			t.Committed = &heldRules{Generation: g.Generation, Digest: g.Digest, Classes: g.Classes, Rate: g.Rate,
				Burst: g.Burst, ClassRates: g.ClassRates, RefuseElse: g.RejectUnrouted}
			for _, r := range g.Routes {
				t.Committed.Routes = append(t.Committed.Routes, heldRoute(r))
			}
		}
		facts = append(facts, AppliedItem{"tenant/" + b.name, t})
	}
	if s := m.fleet.share; s.Rates != nil {
		facts = append(facts, AppliedItem{"share", heldShare{s.Epoch, s.Slots, s.Rates}})
	}
	for _, s := range m.list {
		h := heldServer{s.Zone, s.Kind, s.Cell, "ready", s.Weight}
		if s.State == Draining {
			h.State = "draining"
		}
		facts = append(facts, AppliedItem{"server/" + s.Name, h})
	}
	for id := range m.excluded {
		if s := m.known[id]; s != nil {
			facts = append(facts, AppliedItem{"ban/" + s.Name, heldBan{true}})
		}
	}
	slices.SortFunc(facts, func(a, b AppliedItem) int { return cmp.Compare(a.Key, b.Key) })
	return facts
}

func (m *Module) heldSettings() heldSettings {
	s := m.set
	h := heldSettings{Nodes: s.Nodes, Tenants: map[string]float64{}, MaxAttempts: s.MaxAttempts, MayOverlap: s.MayHedge,
		HoldOffs: s.SendsRetryAfter, MaxHoldOffMS: ms(s.MaxRetryAfter), ConnectMS: ms(s.ConnectTimeout),
		DrainGraceMS: ms(s.DrainGrace), ColdFrom: s.SlowStartMinCapacity, ColdMS: ms(s.SlowStartWindow), OverloadFactor: s.OverloadFactor,
		OverloadMS: ms(s.OverloadDuration), OverShareWorth: s.OverQuotaWeight, MaxOpen: s.MaxOpenRequests}
	for _, c := range s.Classes {
		h.Classes = append(h.Classes, heldClass{c.Name, c.PriorityWeight, ms(c.LatencyObjective), ms(c.Deadline), c.LateWeight, int(c.Idempotency)})
	}
	slices.SortFunc(h.Classes, func(a, b heldClass) int { return cmp.Compare(a.Name, b.Name) })
	for _, t := range s.Tenants {
		h.Tenants[t.Name] = t.Quota
	}
	return h
}
