// Package node is the load-balancing proxy's process: it serves clients, talks to app servers, discovery, the fleet's
// agent and other nodes, and leaves every decision to package policy.
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

// Limits are what the platform lets the node's process use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // file descriptors
}

// Config is all that a node is given at its start.
type Config struct {
	Name       string
	Listen     netip.AddrPort // clients
	Discovery  netip.AddrPort
	Admin      netip.AddrPort // for operators; invalid where there is no admin API
	TempDir    string         // shared by the processes of an upgrade
	Seed       int64
	Limits     Limits
	PeerListen netip.AddrPort // for messages of other nodes; invalid where nodes don't exchange any
	PeersAll   netip.AddrPort
	Peers      []netip.AddrPort
	Known      endpointList // the backends as this node last had them
	Settings   policy.Settings
	Fleet      *FleetConfig // nil: the node is in no fleet
}

// The least that a node can run with, and what it takes where nothing is given.
const (
	minSockets      = 64
	minMemoryMB     = 32
	defaultSockets  = 1024
	defaultMemoryMB = 192
)

// errNoConfigFile says that the environment names no configuration file.
var errNoConfigFile = errors.New("GW_CONFIG is not set")

// Environment variables that go before the configuration file, GW_CONFIG apart, which names it.
const (
	envConfig    = "GW_CONFIG"
	envName      = "GW_NAME"
	envListen    = "GW_LISTEN"
	envDiscovery = "GW_DISCOVERY"
	envAdmin     = "GW_ADMIN_ADDR"
)

// configFile is the configuration file as it is written. It is an alias, since encoding/json names a defined type in
// the errors that operators read.
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

// LoadConfig reads the file that GW_CONFIG names. The other GW_ variables go before what it says.
func LoadConfig(getenv func(string) string) (*Config, error) { return loadConfig(getenv, false) }

// ReloadConfig reads the file that a running node is to change to. It has to be complete, where a start makes do with
// what it can run with. Discovery's address is the file's: the variable holds the one at the start.
func ReloadConfig(getenv func(string) string) (*Config, error) {
	return loadConfig(func(name string) string {
		if name == envDiscovery {
			return ""
		}
		return getenv(name)
	}, true)
}

// loadConfig reads the configuration; a complete one has every field of the settings. Errors name the file.
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

// parseConfig makes a configuration of a file's content and the environment.
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

// overrideByEnvironment puts what the environment says in the place of what the file says.
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

// readAddresses reads the addresses that the node listens on and calls.
func (c *Config) readAddresses(in *configFile) error {
	for _, address := range []struct {
		name     string
		text     string
		into     *netip.AddrPort
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
		*address.into = parsed
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

// complete fills in the limits that are not given, and returns what makes them unusable.
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

// readSettings reads the settings object.
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
