package scale

import (
	"strings"
	"testing"

	"meadowsill/lab/sweeps"
)

const validPlan = `
dimension = "nodes"
sizes = [8, 16, 32, 64, 128]
[base]
tenants = 50
`

func TestPlanDefaults(t *testing.T) {
	p, err := ParsePlan("mine", []byte(validPlan))
	if err != nil {
		t.Fatal(err)
	}
	if p.Name != "mine" || p.Repeats != 3 || p.Replicas != 3 || p.Base.Tenants != 50 || p.Base.Servers != 16 {
		t.Errorf("plan with defaults: %+v", p)
	}
	if at := p.Base.WithSize(p.Dimension, 64); at.Nodes != 64 || at.Tenants != 50 {
		t.Errorf("at 64 nodes: %+v", at)
	}
}

func TestTenantsFollowServices(t *testing.T) {
	l := Load{Services: 4, TenantsPerService: 25, Tenants: 1}.WithSize(Services, 8)
	if l.Services != 8 || l.Tenants != 200 {
		t.Errorf("%d services, %d tenants; want 8 and 200", l.Services, l.Tenants)
	}
}

func TestBundledSweeps(t *testing.T) {
	names := sweeps.Names()
	if len(names) < 5 {
		t.Errorf("bundled sweeps: %v", names)
	}
	for _, name := range names {
		text, err := sweeps.Read(name)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ParsePlan(name, text); err != nil {
			t.Error(err)
		}
	}
}

// TestBadPlans has one row for each kind of bad file. The error must be one line that names the key.
func TestBadPlans(t *testing.T) {
	rows := []struct{ name, text, want string }{
		{"not TOML", `sizes = [`, "sweep x:"},
		{"unknown key", validPlan + "nodules = 3\n", `unknown key "base.nodules"`},
		{"unknown table", validPlan + "[other]\na = 1\n", `unknown key "other`},
		{"no dimension", `sizes = [8, 16, 32, 64, 128]`, "dimension: is missing"},
		{"no such dimension", `dimension = "mice"` + "\nsizes = [8, 16, 32, 64, 128]", `dimension: "mice"`},
		{"a key that is not a dimension", `dimension = "tenants_per_service"` + "\nsizes = [8, 16, 32, 64, 128]", `dimension: "tenants_per_service"`},
		{"no sizes", `dimension = "nodes"`, "sizes: 0 of them"},
		{"four sizes", `dimension = "nodes"` + "\nsizes = [8, 16, 32, 64]", "sizes: 4 of them"},
		{"size 0", `dimension = "nodes"` + "\nsizes = [0, 16, 32, 64, 128]", "sizes[0]: 0 is not above 0"},
		{"size below 0", `dimension = "nodes"` + "\nsizes = [-8, 16, 32, 64, 128]", "sizes[0]: -8 is not above 0"},
		{"size over the bound", `dimension = "nodes"` + "\nsizes = [512, 1024, 2048, 4096, 8192]", "sizes[4]: 8192 is not within 1 to 4096"},
		{"size not whole", `dimension = "nodes"` + "\nsizes = [8.5, 16, 32, 64, 128]", "sizes[0]: 8.5 is not a whole number"},
		{"not ascending", `dimension = "nodes"` + "\nsizes = [8, 16, 16, 64, 128]", "sizes[2]: 16 is not above the one before, 16"},
		{"steps too long", `dimension = "nodes"` + "\nsizes = [8, 16, 32, 64, 1024]", "sizes[4]: 1024 is 16.00 times"},
		{"steps too short", `dimension = "nodes"` + "\nsizes = [8, 16, 32, 33, 64]", "sizes[3]: 33 is 1.03 times"},
		{"base size 0", strings.Replace(validPlan, "tenants = 50", "tenants = 0", 1), "base.tenants: 0 is not within"},
		{"base size below 0", strings.Replace(validPlan, "tenants = 50", "services = -1", 1), "base.services: -1 is not within"},
		{"base over the bound", strings.Replace(validPlan, "tenants = 50", "servers = 100001", 1), "base.servers: 100001 is not within"},
		{"rate below 0", strings.Replace(validPlan, "tenants = 50", "changes_per_s = -1.0", 1), "base.changes_per_s: -1 is not within"},
		{"rate not a number", strings.Replace(validPlan, "tenants = 50", "changes_per_s = nan", 1), "base.changes_per_s: NaN"},
		{"scope over services", strings.Replace(validPlan, "tenants = 50", "services = 4\nper_node = 5", 1), "base.per_node: 5 is over services, 4"},
		{"too many routes", strings.Replace(validPlan, "tenants = 50", "tenants = 2\nroutes = 129", 1), "base.routes: 129 is over 64"},
		{"no repeats", "repeats = 0\n" + validPlan, "repeats: 0"},
		{"no replicas", "replicas = 0\n" + validPlan, "replicas: 0"},
		{"no zones", "zones = []\n" + validPlan, "zones: is empty"},
		{"no window", "measure_s = 0\n" + validPlan, "measure_s: 0"},
		{"limit too long", "limit_s = 1e9\n" + validPlan, "limit_s: 1e+09"},
		{"nodes per process", validPlan + "[hollow]\nnodes_per_process = 0\n", "hollow.nodes_per_process: 0"},
		{"lease", validPlan + "[hollow]\nlease_ttl_ms = 1\n", "hollow.lease_ttl_ms: 1"},
		{"wrong type", validPlan + "servers = \"many\"\n", "servers"},
	}
	for _, row := range rows {
		p, err := ParsePlan("x", []byte(row.text))
		if err == nil {
			t.Errorf("%s: accepted: %+v", row.name, p)
			continue
		}
		if !strings.Contains(err.Error(), row.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %q, want one line with %q", row.name, err, row.want)
		}
	}
}
