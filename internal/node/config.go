// Package node implements the process of a load-balancing proxy. It serves clients, communicates with app servers,
// discovery, the fleet's agent and other nodes, and leaves every decision to package policy.
package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"meadowsill/internal/wire"
	"meadowsill/policy"
)

// Limits are the resources that the platform lets the node's process use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // file descriptors
}

// Config is the configuration of a node: its file and the environment variables that override it. Peers are the addresses of
// all nodes by their index, and PeersAll is an address that reaches all of them at once, or invalid if there is none.
type Config struct {
	Name       string
	Listen     netip.AddrPort // for clients
	Discovery  netip.AddrPort
	Admin      netip.AddrPort // for operators; invalid if there is no admin API
	TempDir    string         // shared by the two processes of an upgrade
	Seed       int64
	Limits     Limits
	PeerListen netip.AddrPort // for messages from other nodes; invalid if nodes exchange no messages
	PeersAll   netip.AddrPort
	Peers      []netip.AddrPort
	Known      endpointList // the app servers that this node last knew
	Settings   policy.Settings
	Fleet      *FleetConfig // nil if the node is in no fleet

	ownsProcess bool // the process runs nothing but this node, so that its resident memory is the node's
}

// Lower bounds and defaults of the limits.
const (
	minSockets      = 64
	minMemoryMB     = 32
	defaultSockets  = 1024
	defaultMemoryMB = 192
)

// errNoConfigFile is returned if the environment names no configuration file.
var errNoConfigFile = errors.New("GW_CONFIG is not set")

// Environment variables. GW_CONFIG names the configuration file; the others override values of the file.
const (
	envConfig    = "GW_CONFIG"
	envName      = "GW_NAME"
	envListen    = "GW_LISTEN"
	envDiscovery = "GW_DISCOVERY"
	envAdmin     = "GW_ADMIN_ADDR"
)

// configFile is the JSON form of the configuration file. It is an alias because encoding/json would show the name of a
// defined type in the errors that operators read.
type configFile = struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Discovery  string          `json:"discovery"`
	Admin      string          `json:"admin_addr"`
	Seed       string          `json:"seed"`
	Limits     Limits          `json:"limits"`
	PeerListen string          `json:"peer_listen"`
	Peers      []string        `json:"peers"`
	PeersAll   string          `json:"peers_all"`
	Known      json.RawMessage `json:"known"`
	Settings   json.RawMessage `json:"settings"`
	Fleet      json.RawMessage `json:"fleet"`
}

// LoadConfig reads the file that GW_CONFIG names. The other GW_ variables override the values of the file.
func LoadConfig(getenv func(string) string) (*Config, error) { return loadConfig(getenv, false) }

// ReloadConfig reads the configuration that a running node is to apply. The file has to be complete, whereas a start accepts
// every configuration that the node can run with. The address of discovery is taken from the file, since the environment
// variable still holds the address at the start.
func ReloadConfig(getenv func(string) string) (*Config, error) {
	return loadConfig(func(name string) string {
		if name == envDiscovery {
			return ""
		}
		return getenv(name)
	}, true)
}

// loadConfig reads the configuration. If complete is set, every required key has to be present. Errors name the file.
func loadConfig(getenv func(string) string, complete bool) (*Config, error) {
	path := getenv(envConfig)
	if path == "" {
		return nil, errNoConfigFile
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", envConfig, err)
	}
	c, err := parseConfig(raw, getenv, complete)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if c.TempDir = getenv("TMPDIR"); c.TempDir == "" {
		c.TempDir = os.TempDir()
	}
	return c, nil
}

// parseConfig makes a configuration from the content of a file and the environment.
func parseConfig(raw []byte, getenv func(string) string, complete bool) (*Config, error) {
	var in configFile
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, err
	}
	if complete {
		if err := checkComplete(raw); err != nil {
			return nil, err
		}
	}
	overrideByEnvironment(&in, getenv)
	c := &Config{Name: in.Name, Limits: in.Limits}
	if c.Name == "" {
		return nil, errors.New("name is missing")
	}
	if err := c.readAddresses(&in); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(in.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	c.Seed = int64(seed)
	if err := c.Limits.complete(); err != nil {
		return nil, err
	}
	if in.Known != nil {
		if c.Known, err = decodeList(in.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	if err := c.readSettings(in.Settings); err != nil {
		return nil, err
	}
	if c.Fleet, err = decodeFleet(in.Fleet, c.Name, c.Settings); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	c.Settings.Fleet = c.Fleet != nil
	return c, nil
}

// overrideByEnvironment replaces values of the file by those of environment variables that are set.
func overrideByEnvironment(in *configFile, getenv func(string) string) {
	for variable, field := range map[string]*string{
		envName:      &in.Name,
		envListen:    &in.Listen,
		envDiscovery: &in.Discovery,
		envAdmin:     &in.Admin,
	} {
		if v := getenv(variable); v != "" {
			*field = v
		}
	}
}

// readAddresses parses the addresses that the node listens on and those that it connects to.
func (c *Config) readAddresses(in *configFile) error {
	for _, address := range []struct {
		name     string
		text     string
		target   *netip.AddrPort
		required bool
	}{
		{"listen", in.Listen, &c.Listen, true},
		{"discovery", in.Discovery, &c.Discovery, true},
		{"admin_addr", in.Admin, &c.Admin, false},
		{"peer_listen", in.PeerListen, &c.PeerListen, false},
		{"peers_all", in.PeersAll, &c.PeersAll, false},
	} {
		if address.text == "" && !address.required {
			continue
		}
		parsed, err := netip.ParseAddrPort(address.text)
		if err != nil {
			return fmt.Errorf("%s: %w", address.name, err)
		}
		*address.target = parsed
	}
	for i, text := range in.Peers {
		peer, err := netip.ParseAddrPort(text)
		if err != nil {
			return fmt.Errorf("peers, entry %d: %w", i, err)
		}
		c.Peers = append(c.Peers, peer)
	}
	return nil
}

// complete sets the limits that are not given to their defaults, and returns an error if the limits are too low.
func (l *Limits) complete() error {
	if l.Sockets == 0 {
		l.Sockets = defaultSockets
	}
	if l.MemoryMB == 0 {
		l.MemoryMB = defaultMemoryMB
	}
	if l.Sockets < minSockets || l.MemoryMB < minMemoryMB || l.Cores < 0 {
		return fmt.Errorf("limits: want %d sockets and %d MB of memory at least, have %+v", minSockets, minMemoryMB, *l)
	}
	return nil
}

// readSettings decodes the settings object and checks that a node can run with it.
func (c *Config) readSettings(raw json.RawMessage) error {
	if raw == nil {
		return errors.New("settings are missing")
	}
	var err error
	if c.Settings, err = wire.DecodeSettings(raw); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := checkUsable(c.Settings); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}
