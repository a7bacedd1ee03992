package scale

import (
	"bytes"
	"fmt"
	"time"

	"github.com/BurntSushi/toml"
)

// Plan is the definition of a sweep, read from its TOML file (docs/scale.md). Times are in seconds.
type Plan struct {
	Name      string    `toml:"name" json:"name"`
	About     string    `toml:"about" json:"about"`
	Dimension Dimension `toml:"dimension" json:"dimension"`
	Sizes     []float64 `toml:"sizes" json:"sizes"`
	Repeats   int       `toml:"repeats" json:"repeats"`
	ReadyS    float64   `toml:"ready_s" json:"ready_s"`     // longest time that nodes and servers may take to come up
	SettleS   float64   `toml:"settle_s" json:"settle_s"`   // time between their readiness and the measured window
	MeasureS  float64   `toml:"measure_s" json:"measure_s"` // length of the measured window
	LimitS    float64   `toml:"limit_s" json:"limit_s"`     // longest time that the whole sweep may take
	Seed      uint64    `toml:"seed" json:"seed"`
	Replicas  int       `toml:"replicas" json:"replicas"`
	Zones     []string  `toml:"zones" json:"zones"`
	Base      Load      `toml:"base" json:"base"`
	Hollow    Grouping  `toml:"hollow" json:"hollow"`
	Events    []Event   `toml:"events" json:"events,omitempty"`
}

// Grouping says how hollow nodes and servers are divided into processes, and how they behave.
type Grouping struct {
	NodesPerProcess   int     `toml:"nodes_per_process" json:"nodes_per_process"`
	ServersPerProcess int     `toml:"servers_per_process" json:"servers_per_process"`
	ActiveTenants     int     `toml:"active_tenants" json:"active_tenants"` // tenants for which a node's traffic model generates load
	RequestsPerS      float64 `toml:"requests_per_s" json:"requests_per_s"` // request rate of a node's traffic model
	LeaseTTLMS        int64   `toml:"lease_ttl_ms" json:"lease_ttl_ms"`     // TTL of a server's lease
}

// Bounds of a plan.
const (
	minSizes        = 5
	maxSizes        = 20
	maxRepeats      = 20
	maxReplicas     = 7
	maxLimitSeconds = 6 * 3600
	minStep         = 1.25 // ratio of a size to the previous one
	maxStep         = 4.0
)

// defaultPlan returns the values that a sweep file may leave out.
func defaultPlan() Plan {
	return Plan{
		Repeats:  3,
		ReadyS:   60,
		SettleS:  5,
		MeasureS: 10,
		LimitS:   1800,
		Seed:     1,
		Replicas: 3,
		Zones:    []string{"za", "zb", "zc"},
		Base:     Load{Nodes: 16, Servers: 16, Services: 8, Tenants: 100, ChangesPerS: 1},
		Hollow: Grouping{
			NodesPerProcess:   100,
			ServersPerProcess: 2000,
			ActiveTenants:     10,
			RequestsPerS:      77,
			LeaseTTLMS:        6000,
		},
	}
}

// ParsePlan parses a sweep file, fills in the defaults and checks the plan. Its error is one line that names the key.
func ParsePlan(name string, text []byte) (*Plan, error) {
	p := defaultPlan()
	meta, err := toml.NewDecoder(bytes.NewReader(text)).Decode(&p)
	if err != nil {
		return nil, fmt.Errorf("sweep %s: %w", name, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("sweep %s: unknown key %q", name, unknown[0].String())
	}
	if p.Name == "" {
		p.Name = name
	}
	if err := p.Check(); err != nil {
		return nil, fmt.Errorf("sweep %s: %w", name, err)
	}
	return &p, nil
}

// Check returns an error that names the first key whose value is out of bounds.
func (p *Plan) Check() error {
	if p.Dimension == "" {
		return fmt.Errorf("dimension: is missing: one of the keys of base")
	}
	dimension, ok := boundOf(p.Dimension)
	if !ok {
		return fmt.Errorf("dimension: %q is none of the keys of base that can be varied", p.Dimension)
	}
	if err := p.checkTimes(); err != nil {
		return err
	}
	if err := p.checkGrouping(); err != nil {
		return err
	}
	if err := p.checkSizes(dimension); err != nil {
		return err
	}
	if err := p.checkLoad(p.Base.WithSize(p.Dimension, p.Sizes[0])); err != nil {
		return err
	}
	for i, size := range p.Sizes {
		if err := p.checkLoad(p.Base.WithSize(p.Dimension, size)); err != nil {
			return fmt.Errorf("sizes[%d]: %v: %w", i, size, err)
		}
	}
	return nil
}

// checkLoad checks the load of one size, and the events against that load.
func (p *Plan) checkLoad(l Load) error {
	if err := l.check("base."); err != nil {
		return err
	}
	for i, e := range p.Events {
		if err := e.check(fmt.Sprintf("events[%d]", i), p, l); err != nil {
			return err
		}
	}
	return nil
}

// checkTimes checks the numbers of repeats and replicas, the zones and the times.
func (p *Plan) checkTimes() error {
	switch {
	case p.Repeats < 1 || p.Repeats > maxRepeats:
		return fmt.Errorf("repeats: %d is not within 1 to %d", p.Repeats, maxRepeats)
	case p.Replicas < 1 || p.Replicas > maxReplicas:
		return fmt.Errorf("replicas: %d is not within 1 to %d", p.Replicas, maxReplicas)
	case len(p.Zones) == 0:
		return fmt.Errorf("zones: is empty")
	}
	for _, t := range []struct {
		key   string
		value float64
	}{{"limit_s", p.LimitS}, {"ready_s", p.ReadyS}, {"settle_s", p.SettleS}, {"measure_s", p.MeasureS}} {
		if !(t.value > 0 && t.value <= maxLimitSeconds) {
			return fmt.Errorf("%s: %v is not above 0 and up to %d", t.key, t.value, maxLimitSeconds)
		}
	}
	return nil
}

// checkGrouping checks the values of the hollow table.
func (p *Plan) checkGrouping() error {
	g := p.Hollow
	switch {
	case g.NodesPerProcess < 1:
		return fmt.Errorf("hollow.nodes_per_process: %d is not above 0", g.NodesPerProcess)
	case g.ServersPerProcess < 1:
		return fmt.Errorf("hollow.servers_per_process: %d is not above 0", g.ServersPerProcess)
	case g.ActiveTenants < 0:
		return fmt.Errorf("hollow.active_tenants: %d is below 0", g.ActiveTenants)
	case !(g.RequestsPerS >= 0):
		return fmt.Errorf("hollow.requests_per_s: %v is below 0", g.RequestsPerS)
	case g.LeaseTTLMS < 500 || g.LeaseTTLMS > 60_000:
		return fmt.Errorf("hollow.lease_ttl_ms: %d is not within 500 to 60000", g.LeaseTTLMS)
	}
	return nil
}

// checkSizes checks that there are enough sizes, within the dimension's bounds and ascending in geometric steps.
func (p *Plan) checkSizes(dimension bound) error {
	if len(p.Sizes) < minSizes || len(p.Sizes) > maxSizes {
		return fmt.Errorf("sizes: %d of them, %d to %d are needed", len(p.Sizes), minSizes, maxSizes)
	}
	for i, size := range p.Sizes {
		key := fmt.Sprintf("sizes[%d]", i)
		if !(size > 0) {
			return fmt.Errorf("%s: %v is not above 0", key, size)
		}
		if err := dimension.check(key, size); err != nil {
			return err
		}
		if i == 0 {
			continue
		}
		if before := p.Sizes[i-1]; size <= before {
			return fmt.Errorf("%s: %v is not above the one before, %v", key, size, before)
		} else if step := size / before; step < minStep || step > maxStep {
			return fmt.Errorf("%s: %v is %.2f times the one before, not %v to %v times", key, size, step, minStep, maxStep)
		}
	}
	return nil
}

// seconds converts a number of seconds to a time.Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
