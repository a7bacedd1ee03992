package wire

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"time"

	"meadowsill/policy"
)

var idempotencies = map[string]policy.Idempotency{"retryable": policy.Idempotent, "dedup": policy.IdempotentByKey, "fragile": policy.NonIdempotent}

var keyScopes = map[string]policy.KeyScope{"cell": policy.KeyScopeCell, "zone": policy.KeyScopeZone, "all": policy.KeyScopeAll}

var loadReportSources = map[string]policy.LoadReportSource{
	"none": policy.LoadReportsNone, "probe": policy.LoadReportsByHealthCheck, "answers": policy.LoadReportsByAnswer,
}

// profile is the settings object in the format of the settings page. The fields of its
// nested objects keep the names of their keys, since encoding/json prints them in
// the errors that operators read.
type profile struct {
	Accounts []struct {
		Name     string  `json:"name"`
		Quota    float64 `json:"quota_per_s"`
		Fraction float64 `json:"fraction"`
	} `json:"accounts"`
	Balancers int `json:"balancers"`
	Caps      struct {
		Cancel         bool    `json:"cancel"`
		ConnIdle       int64   `json:"conn_idle_ns"`
		ConnectTimeout int64   `json:"connect_timeout_ns"`
		CPUPerRequest  float64 `json:"cpu_us_per_request"`
		CPUPerSecond   float64 `json:"cpu_us_per_s"`
		MaxAttempts    int     `json:"max_attempts"`
		MaxRetryAfter  int64   `json:"max_retry_after_ns"`
		MayDuplicate   bool    `json:"may_duplicate"`
		MostHeld       int     `json:"most_held"`
		Multiplex      int     `json:"multiplex"`
		Peers          bool    `json:"peers"`
		Probes         bool    `json:"probes"`
		RetryAfter     bool    `json:"retry_after"`
	} `json:"caps"`
	Charges struct {
		Connection float64 `json:"connection"`
		CrossZone  float64 `json:"cross_zone"`
		Fleet      float64 `json:"fleet"`
		Handshake  float64 `json:"handshake"`
		LateFail   float64 `json:"late_fail"`
		Lines      float64 `json:"membership_mode"`
		Moves      float64 `json:"moves"`
		Origin     float64 `json:"origin"`
		Peer       float64 `json:"peer"`
		Probe      float64 `json:"probe"`
		Waste      float64 `json:"waste"`
	} `json:"charges"`
	Classes []struct {
		AimStretch float64 `json:"aim_stretch"`
		Aim        int64   `json:"aim_ns"`
		Dedup      int64   `json:"dedup_window_ns"`
		Effect     string  `json:"effect"`
		GiveUp     int64   `json:"give_up_ns"`
		Importance float64 `json:"importance"`
		KeyScope   string  `json:"key_scope"`
		LateWorth  float64 `json:"late_worth"`
		Name       string  `json:"name"`
		Streamed   bool    `json:"streamed"`
	} `json:"classes"`
	Habits struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"client_habits"`
	Domains []string `json:"failure_domains"`
	Family  string   `json:"family"`
	Goal    struct {
		Whole       float64 `json:"whole"`
		WorstClass  float64 `json:"worst_class"`
		WorstTenant float64 `json:"worst_tenant"`
		WorstWindow float64 `json:"worst_window"`
	} `json:"goal"`
	Kinds      []string `json:"kinds"`
	Membership string   `json:"membership_mode"`
	OverShare  float64  `json:"over_share_worth"`
	Report     struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"report"`
	Slot      int `json:"slot_no"`
	Specifics struct {
		PassesDeadline bool `json:"passes_deadline"`
		WarmKeys       bool `json:"warm_keys"`
	} `json:"specifics"`
	Invariants struct {
		AnswerSlack    int64   `json:"answer_slack_ns"`
		AskWithin      int64   `json:"ask_within_ns"`
		ColdFrom       float64 `json:"cold_from"`
		Cold           int64   `json:"cold_ns"`
		DrainGrace     int64   `json:"drain_grace_ns"`
		OverloadFactor float64 `json:"overload_factor"`
		TipAfter       int64   `json:"tip_after_ns"`
	} `json:"invariants"`
	Tick       int64    `json:"tick_ns"`
	Tier       int      `json:"tier"`
	Tiers      []string `json:"tiers"`
	WeightKind string   `json:"weight_kind"`
	WorthBy    string   `json:"worth_by"`
	Zone       string   `json:"zone"`
}

// decodeStart decodes the start of an instance. A seed that is not an unsigned 64-bit integer is replaced by the bits of its float64 value.
func decodeStart(raw json.RawMessage) (InstanceEvent, error) {
	var e struct {
		Seed    *json.Number    `json:"seed"`
		Profile json.RawMessage `json:"profile_data"`
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return InstanceEvent{}, err
	}
	if e.Seed == nil {
		return InstanceEvent{}, missingFieldError("seed")
	}
	if e.Profile == nil {
		return InstanceEvent{}, missingFieldError("profile_data")
	}
	seed, err := strconv.ParseUint(e.Seed.String(), 10, 64)
	if err != nil {
		f, floatErr := e.Seed.Float64()
		if floatErr != nil {
			return InstanceEvent{}, fmt.Errorf("seed: %w", err)
		}
		seed = math.Float64bits(f)
	}
	s, err := DecodeSettings(e.Profile)
	if err != nil {
		return InstanceEvent{}, err
	}
	return InstanceEvent{Start: &InstanceStart{Settings: s, Seed: int64(seed)}}, nil
}

// DecodeSettings decodes the settings object. On a real node it is part of the configuration.
func DecodeSettings(raw json.RawMessage) (policy.Settings, error) {
	var p *profile
	if err := json.Unmarshal(raw, &p); err != nil {
		return policy.Settings{}, err
	}
	if p == nil {
		return policy.Settings{}, missingFieldError("profile_data")
	}
	s := p.settings()
	var err error
	if s.Classes, err = p.classes(); err != nil {
		return policy.Settings{}, err
	}
	s.Tenants = p.tenants()
	return s, nil
}

// settings returns the settings without the classes and tenants.
func (p *profile) settings() policy.Settings {
	return policy.Settings{
		Nodes:                p.Balancers,
		NodeIndex:            p.Slot,
		Zone:                 p.Zone,
		Zones:                p.Domains,
		Kinds:                p.Kinds,
		MaxAttempts:          p.Caps.MaxAttempts,
		MayHedge:             p.Caps.MayDuplicate,
		MayCancel:            p.Caps.Cancel,
		MayHealthCheck:       p.Caps.Probes,
		MayMessagePeers:      p.Caps.Peers,
		SendsRetryAfter:      p.Caps.RetryAfter,
		MaxRetryAfter:        time.Duration(p.Caps.MaxRetryAfter),
		ClientsMarkRetries:   p.Habits.MarksRetry,
		ConnectTimeout:       time.Duration(p.Caps.ConnectTimeout),
		MinTick:              time.Duration(p.Tick),
		PollsEndpoints:       p.Membership == "on_request",
		WeightKnown:          p.WeightKind != "none",
		WeightFallsWithLoad:  p.WeightKind == "live",
		OverQuotaWeight:      p.OverShare,
		WeightByWork:         p.WorthBy == "work",
		LoadReportSource:     loadReportSources[p.Report.How],
		LoadReportFields:     p.Report.Fields,
		AnswerSlack:          time.Duration(p.Invariants.AnswerSlack),
		MaxPollInterval:      time.Duration(p.Invariants.AskWithin),
		DrainGrace:           time.Duration(p.Invariants.DrainGrace),
		SlowStartMinCapacity: p.Invariants.ColdFrom,
		SlowStartWindow:      time.Duration(p.Invariants.Cold),
		OverloadFactor:       p.Invariants.OverloadFactor,
		OverloadDuration:     time.Duration(p.Invariants.TipAfter),
		Family:               p.Family,
		TierIndex:            p.Tier,
		Tiers:                p.Tiers,
		KeyAffinity:          p.Specifics.WarmKeys,
		PropagatesDeadline:   p.Specifics.PassesDeadline,
		MaxStreamsPerConn:    p.Caps.Multiplex,
		ConnIdleTimeout:      time.Duration(p.Caps.ConnIdle),
		MaxOpenRequests:      p.Caps.MostHeld,
		CPUPerSecond:         time.Duration(p.Caps.CPUPerSecond * float64(time.Microsecond)),
		CPUPerRequest:        time.Duration(p.Caps.CPUPerRequest * float64(time.Microsecond)),
		Goal: policy.Goal{
			Total:       p.Goal.Whole,
			WorstWindow: p.Goal.WorstWindow,
			WorstClass:  p.Goal.WorstClass,
			WorstTenant: p.Goal.WorstTenant,
		},
		Prices: policy.Prices{
			Connection:  p.Charges.Connection,
			Handshake:   p.Charges.Handshake,
			CrossZone:   p.Charges.CrossZone,
			WastedWork:  p.Charges.Waste,
			LateFailure: p.Charges.LateFail,
			HealthCheck: p.Charges.Probe,
			Message:     p.Charges.Peer,
			Migrations:  p.Charges.Moves,
			Origin:      p.Charges.Origin,
			ListLines:   p.Charges.Lines,
			Fleet:       p.Charges.Fleet,
		},
	}
}

// classes returns the request classes, or an error for the first class that is invalid.
func (p *profile) classes() ([]policy.Class, error) {
	var classes []policy.Class
	for _, c := range p.Classes {
		idempotency, ok := idempotencies[c.Effect]
		if !ok {
			return nil, fmt.Errorf("class %s: unknown effect %q", c.Name, c.Effect)
		}
		scope, ok := keyScopes[c.KeyScope]
		if !ok && idempotency == policy.IdempotentByKey {
			return nil, fmt.Errorf("class %s: unknown key_scope %q", c.Name, c.KeyScope)
		}
		classes = append(classes, policy.Class{
			Name:             c.Name,
			PriorityWeight:   c.Importance,
			LatencyObjective: time.Duration(c.Aim),
			ObjectivePerWork: c.AimStretch,
			Deadline:         time.Duration(c.GiveUp),
			LateWeight:       c.LateWorth,
			Idempotency:      idempotency,
			KeyScope:         scope,
			DedupWindow:      time.Duration(c.Dedup),
			Streamed:         c.Streamed,
		})
	}
	return classes, nil
}

// tenants returns the tenants and their quotas.
func (p *profile) tenants() []policy.Tenant {
	var tenants []policy.Tenant
	for _, t := range p.Accounts {
		tenants = append(tenants, policy.Tenant{Name: t.Name, Quota: t.Quota, Share: t.Fraction})
	}
	return tenants
}
