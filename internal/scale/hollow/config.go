package hollow

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"slices"

	"meadowsill/internal/fleet"
	"meadowsill/internal/registry"
)

// Bounds of a Config.
const (
	maxNodes        = 10_000  // nodes per process
	maxServers      = 200_000 // servers per process
	maxNumber       = 1 << 22 // number of a node or server; a server's address is derived from its number
	maxServices     = 100_000
	maxRequestsPerS = 10_000 // requests per second, per node
)

// decodeConfig decodes and validates the first line of a process's input. An error is one line that names the key.
func decodeConfig(line []byte) (Config, error) {
	var cfg Config
	if len(bytes.TrimSpace(line)) == 0 {
		return cfg, errors.New("config: missing")
	}
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&cfg); err != nil {
		return Config{}, fmt.Errorf("config: %w", err)
	}
	return cfg, cfg.validate()
}

// validate returns an error that names the key of the first invalid value of the Config.
func (c *Config) validate() error {
	for _, bounded := range []struct {
		key     string
		value   int
		maximum int
	}{
		{"first_node", c.FirstNode, maxNumber - maxNodes}, {"nodes", c.Nodes, maxNodes},
		{"first_server", c.FirstServer, maxNumber - maxServers}, {"servers", c.Servers, maxServers},
		{"services", c.Services, maxServices}, {"per_node", c.PerNode, fleet.MaxScopeServices},
		{"active_tenants", c.ActiveTenants, math.MaxInt32},
	} {
		if bounded.value < 0 || bounded.value > bounded.maximum {
			return fmt.Errorf("config: %s: %d, must be 0 to %d", bounded.key, bounded.value, bounded.maximum)
		}
	}
	for _, address := range c.Replicas {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("config: replicas: %q: not HOST:PORT", address)
		}
	}
	switch {
	case len(c.Replicas) == 0:
		return errors.New("config: replicas: none")
	case c.Nodes+c.Servers == 0:
		return errors.New("config: nodes, servers: both are 0")
	case len(c.Zones) == 0 || slices.Contains(c.Zones, ""):
		return errors.New("config: zones: none, or one without a name")
	case c.PerNode > c.Services:
		return fmt.Errorf("config: per_node: %d of %d services", c.PerNode, c.Services)
	case c.Nodes > 0 && c.Dir == "":
		return errors.New("config: dir: missing")
	case !(c.RequestsPerS >= 0 && c.RequestsPerS <= maxRequestsPerS):
		return fmt.Errorf("config: requests_per_s: %v, must be 0 to %d", c.RequestsPerS, maxRequestsPerS)
	case c.Servers > 0 && (c.LeaseTTLMS < registry.MinTTLMS || c.LeaseTTLMS > registry.MaxTTLMS):
		return fmt.Errorf("config: lease_ttl_ms: %d, must be %d to %d", c.LeaseTTLMS, registry.MinTTLMS, registry.MaxTTLMS)
	}
	return nil
}

// NodeName returns the name of the hollow node with the given number.
func NodeName(number int) string { return fmt.Sprintf("h%05d", number) }

// ServerName returns the id of the hollow app server with the given number. The number is written as 8 hexadecimal digits, which
// the module uses as the number of the server.
func ServerName(number int) string { return fmt.Sprintf("s-%08x", number) }

// ServiceName returns the name of the service with the given number.
func ServiceName(number int) string { return fmt.Sprintf("svc-%03d", number) }

// nodeZone returns the zone of the node with the given number.
func (c *Config) nodeZone(number int) string { return c.Zones[number%len(c.Zones)] }

// serverPlace returns the service and the zone of the server with the given number. The servers of each service are assigned to the
// zones in rotation.
func (c *Config) serverPlace(number int) (service, zone string) {
	services := max(1, c.Services)
	serviceNumber, index := number%services, number/services
	return ServiceName(serviceNumber), c.Zones[(serviceNumber+index)%len(c.Zones)]
}

// scope returns the names of the services that a node serves, sorted: PerNode of the Services, drawn at random from the seed and
// the node's number. If PerNode is 0, the node has no scope and the result is nil.
func scope(cfg *Config, number int) []string {
	if cfg.PerNode == 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(cfg.Seed, uint64(number)))
	var services []string
	for _, service := range random.Perm(cfg.Services)[:cfg.PerNode] {
		services = append(services, ServiceName(service))
	}
	slices.Sort(services)
	return services
}
