package capacity

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/BurntSushi/toml"
)

// ErrInvalid is wrapped by the errors about a plan, slopes, runs of the data path, benchmarks or a page. Their text names the key.
var ErrInvalid = errors.New("invalid")

func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrInvalid}, args...)...)
}

// Plan holds the planned size, the costs allowed at that size, and the expected failures.
type Plan struct {
	Size     Size     `toml:"size"`
	Allowed  Allowed  `toml:"allowed"`
	Failures Failures `toml:"failures"`
	Open     []Open   `toml:"open"`
}

// Size is the planned size of the system.
type Size struct {
	Nodes          float64 `toml:"nodes"`
	Servers        float64 `toml:"servers"`
	Services       float64 `toml:"services"`
	Tenants        float64 `toml:"tenants"`
	Routes         float64 `toml:"routes"`
	RequestsPerS   float64 `toml:"requests_per_s"`
	Regions        float64 `toml:"regions"`
	Zones          float64 `toml:"zones"`
	ChangesPerDay  float64 `toml:"changes_per_day"`
	ChangesAtBurst float64 `toml:"burst_changes"`
}

// Allowed holds the limits for the control plane's times and resources.
type Allowed struct {
	InForceS        float64 `toml:"in_force_s"`
	AddedMS         float64 `toml:"added_ms"`
	NodeCorePercent float64 `toml:"node_core_percent"`
	NodeMemoryMB    float64 `toml:"node_memory_mb"`
	NodeBytesPerS   float64 `toml:"node_bytes_per_s"`
	Machines        float64 `toml:"machines"`
	StepMS          float64 `toml:"step_ms"`
	LockMS          float64 `toml:"lock_ms"`
}

// Failures holds the frequency of failures and the number of machines that fail together.
type Failures struct {
	MachinesPerDay float64 `toml:"machines_per_day"`
	RestartsPerDay float64 `toml:"restarts_per_day"`
	RackMachines   float64 `toml:"rack_machines"`
	RacksPerWeek   float64 `toml:"racks_per_week"`
	ZonesPerYear   float64 `toml:"zones_per_year"`
	RegionCutS     float64 `toml:"region_cut_s"`
}

// OpenName is the name of an input that the plan leaves open.
type OpenName string

// The open inputs. A plan contains each of them once.
const (
	TenantsPerService OpenName = "tenants_per_service"
	ServicesPerNode   OpenName = "services_per_node"
	ActiveTenants     OpenName = "active_tenants"
	ChangedRows       OpenName = "changed_rows"
	PeakOverMean      OpenName = "peak_over_mean"
	RoutesPerTenant   OpenName = "routes_per_tenant"
	RoundTripMS       OpenName = "round_trip_ms"
	NodePart          OpenName = "node_part_of_failures"
	Cores             OpenName = "cores"
	MemoryGB          OpenName = "memory_gb"
)

var openNames = []OpenName{TenantsPerService, ServicesPerNode, ActiveTenants, ChangedRows, PeakOverMean, RoutesPerTenant, RoundTripMS,
	NodePart, Cores, MemoryGB}

// Open is an input that the plan leaves open: the value that the page's figures assume, and the range of possible values.
type Open struct {
	Name   OpenName `toml:"name"`
	Value  float64  `toml:"value"`
	Low    float64  `toml:"low"`
	High   float64  `toml:"high"`
	Reason string   `toml:"reason"`
}

// planBound is the largest number in a plan, above any meaningful one.
const planBound = 1e9

// ParsePlan parses a plan. The error for an invalid plan is one line that names the key.
func ParsePlan(text string) (Plan, error) {
	var plan Plan
	meta, err := toml.Decode(text, &plan)
	if err != nil {
		return Plan{}, invalid("plan: %w", err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return Plan{}, invalid("plan: %s: unknown key", unknown[0])
	}
	for _, number := range plan.numbers() {
		if !(number.value > 0 && number.value <= planBound) {
			return Plan{}, invalid("plan: %s: %g, must be above 0 and at most %g", number.key, number.value, planBound)
		}
	}
	if err := plan.checkOpen(); err != nil {
		return Plan{}, err
	}
	return plan, nil
}

// planNumber is a number of the plan with its key.
type planNumber struct {
	key   string
	value float64
}

func (p *Plan) numbers() []planNumber {
	return []planNumber{{"size.nodes", p.Size.Nodes}, {"size.servers", p.Size.Servers}, {"size.services", p.Size.Services},
		{"size.tenants", p.Size.Tenants}, {"size.routes", p.Size.Routes}, {"size.requests_per_s", p.Size.RequestsPerS},
		{"size.regions", p.Size.Regions}, {"size.zones", p.Size.Zones}, {"size.changes_per_day", p.Size.ChangesPerDay},
		{"size.burst_changes", p.Size.ChangesAtBurst}, {"allowed.in_force_s", p.Allowed.InForceS},
		{"allowed.added_ms", p.Allowed.AddedMS}, {"allowed.node_core_percent", p.Allowed.NodeCorePercent},
		{"allowed.node_memory_mb", p.Allowed.NodeMemoryMB}, {"allowed.node_bytes_per_s", p.Allowed.NodeBytesPerS},
		{"allowed.machines", p.Allowed.Machines}, {"allowed.step_ms", p.Allowed.StepMS}, {"allowed.lock_ms", p.Allowed.LockMS},
		{"failures.machines_per_day", p.Failures.MachinesPerDay}, {"failures.restarts_per_day", p.Failures.RestartsPerDay},
		{"failures.rack_machines", p.Failures.RackMachines}, {"failures.racks_per_week", p.Failures.RacksPerWeek},
		{"failures.zones_per_year", p.Failures.ZonesPerYear}, {"failures.region_cut_s", p.Failures.RegionCutS}}
}

func (p *Plan) checkOpen() error {
	seen := map[OpenName]bool{}
	for _, open := range p.Open {
		switch {
		case seen[open.Name]:
			return invalid("plan: open: %q is named twice", open.Name)
		case math.IsNaN(open.Value) || open.Low < 0 || !(open.Low <= open.Value && open.Value <= open.High):
			return invalid("plan: open: %q: %g is not between low, %g, and high, %g", open.Name, open.Value, open.Low, open.High)
		case open.High > planBound:
			return invalid("plan: open: %q: high: %g, at most %g", open.Name, open.High, planBound)
		case open.Reason == "":
			return invalid("plan: open: %q: reason: is missing", open.Name)
		}
		seen[open.Name] = true
	}
	for _, name := range openNames {
		if !seen[name] {
			return invalid("plan: open: %q is missing", name)
		}
	}
	if len(p.Open) > len(openNames) {
		for _, open := range p.Open {
			if !isOpenName(open.Name) {
				return invalid("plan: open: %q is unknown", open.Name)
			}
		}
	}
	return nil
}

func isOpenName(name OpenName) bool {
	return slices.Contains(openNames, name)
}

// Input returns the value of an open input.
func (p *Plan) Input(name OpenName) float64 {
	for _, open := range p.Open {
		if open.Name == name {
			return open.Value
		}
	}
	return 0 // not reached for a plan from ParsePlan, which has every open input
}

// With returns the plan with another value for an open input.
func (p Plan) With(name OpenName, value float64) Plan {
	open := make([]Open, len(p.Open))
	copy(open, p.Open)
	for i := range open {
		if open[i].Name == name {
			open[i].Value = value
		}
	}
	p.Open = open
	return p
}

// Scaled returns the plan with its numbers of nodes, servers, services, tenants, routes and requests multiplied by part. The
// limits, the regions and zones, and the frequencies of changes and failures stay the same.
func (p Plan) Scaled(part float64) Plan {
	p.Size.Nodes *= part
	p.Size.Servers *= part
	p.Size.Services *= part
	p.Size.Tenants *= part
	p.Size.Routes *= part
	p.Size.RequestsPerS *= part
	return p
}
