package scale

import (
	"fmt"
	"math"
)

// Load is the size of a fleet and the rates of changes, restarts and replacements in it.
type Load struct {
	Nodes             int     `toml:"nodes" json:"nodes"`
	Servers           int     `toml:"servers" json:"servers"`
	Services          int     `toml:"services" json:"services"`
	PerNode           int     `toml:"per_node" json:"per_node"`                                 // services that a node serves; 0: all
	Tenants           int     `toml:"tenants" json:"tenants"`                                   // total number
	TenantsPerService int     `toml:"tenants_per_service" json:"tenants_per_service,omitempty"` // if above 0, Tenants is Services times this
	Routes            int     `toml:"routes" json:"routes"`                                     // total number, spread over the tenants
	ChangesPerS       float64 `toml:"changes_per_s" json:"changes_per_s"`                       // new generations of tenants per second
	RestartsPerS      float64 `toml:"restarts_per_s" json:"restarts_per_s"`                     // node restarts per second
	ReplacementsPerS  float64 `toml:"replacements_per_s" json:"replacements_per_s"`             // server replacements per second
}

// Dimension is the key of Load that a sweep varies.
type Dimension string

// The dimensions of sweeps.
const (
	Nodes        Dimension = "nodes"
	Servers      Dimension = "servers"
	Services     Dimension = "services"
	PerNode      Dimension = "per_node"
	Tenants      Dimension = "tenants"
	Routes       Dimension = "routes"
	Changes      Dimension = "changes_per_s"
	Restarts     Dimension = "restarts_per_s"
	Replacements Dimension = "replacements_per_s"
)

// bound is the range of values that a key of Load may have, with the access to its field.
type bound struct {
	key     Dimension
	min     float64
	max     float64
	integer bool
	get     func(*Load) float64
	set     func(*Load, float64)
}

// integerBound returns the bound of an integer field.
func integerBound(key Dimension, minimum, maximum float64, field func(*Load) *int) bound {
	return bound{
		key:     key,
		min:     minimum,
		max:     maximum,
		integer: true,
		get:     func(l *Load) float64 { return float64(*field(l)) },
		set:     func(l *Load, v float64) { *field(l) = int(v) },
	}
}

// rateBound returns the bound of a rate per second, which starts at 0.
func rateBound(key Dimension, maximum float64, field func(*Load) *float64) bound {
	return bound{key: key, max: maximum,
		get: func(l *Load) float64 { return *field(l) },
		set: func(l *Load, v float64) { *field(l) = v }}
}

// loadBounds are the bounds of the keys of Load, in the order of the keys in the file. The number of nodes is bounded by the slots
// that a fleet may have; the other bounds leave headroom above the plan of docs/CAPACITY.md.
var loadBounds = []bound{
	integerBound(Nodes, 1, 4096, func(l *Load) *int { return &l.Nodes }),
	integerBound(Servers, 1, 100_000, func(l *Load) *int { return &l.Servers }),
	integerBound(Services, 1, 10_000, func(l *Load) *int { return &l.Services }),
	integerBound(PerNode, 0, 128, func(l *Load) *int { return &l.PerNode }),
	integerBound(Tenants, 1, 1_000_000, func(l *Load) *int { return &l.Tenants }),
	integerBound("tenants_per_service", 0, 100_000, func(l *Load) *int { return &l.TenantsPerService }),
	integerBound(Routes, 0, 1_000_000, func(l *Load) *int { return &l.Routes }),
	rateBound(Changes, 1000, func(l *Load) *float64 { return &l.ChangesPerS }),
	rateBound(Restarts, 1000, func(l *Load) *float64 { return &l.RestartsPerS }),
	rateBound(Replacements, 10_000, func(l *Load) *float64 { return &l.ReplacementsPerS }),
}

// boundOf returns the bound of a dimension. tenants_per_service is not a dimension: Load.WithSize derives Tenants from it.
func boundOf(d Dimension) (bound, bool) {
	for _, b := range loadBounds {
		if b.key == d && d != "tenants_per_service" {
			return b, true
		}
	}
	return bound{}, false
}

// check returns an error if a value is out of bounds.
func (b bound) check(key string, v float64) error {
	switch {
	case math.IsNaN(v) || v < b.min || v > b.max:
		return fmt.Errorf("%s: %v is not within %v to %v", key, v, b.min, b.max)
	case b.integer && v != math.Trunc(v):
		return fmt.Errorf("%s: %v is not a whole number", key, v)
	}
	return nil
}

// routesPerTenant is the maximum number of routes that the tenant schema allows.
const routesPerTenant = 64

// check returns an error if a value of the load is out of bounds or its values contradict each other.
func (l Load) check(prefix string) error {
	for _, b := range loadBounds {
		if err := b.check(prefix+string(b.key), b.get(&l)); err != nil {
			return err
		}
	}
	switch {
	case l.PerNode > l.Services:
		return fmt.Errorf("%sper_node: %d is over services, %d", prefix, l.PerNode, l.Services)
	case l.Routes > l.Tenants*routesPerTenant:
		return fmt.Errorf("%sroutes: %d is over %d for each of %d tenants", prefix, l.Routes, routesPerTenant, l.Tenants)
	}
	return nil
}

// WithSize returns the load with one dimension set to a size.
func (l Load) WithSize(d Dimension, size float64) Load {
	if b, ok := boundOf(d); ok {
		b.set(&l, size)
	}
	if l.TenantsPerService > 0 {
		l.Tenants = l.Services * l.TenantsPerService
	}
	return l
}
