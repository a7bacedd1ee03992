package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/policy"
)

// FleetConfig is the "fleet" block of a node's configuration: {"agent": "127.0.0.1:PORT", "report_ms": 250,
// "catch_up_ms": 10000, "services": ["billing"]}. Without the block a node has nothing to do with the fleet (docs/fleet.md).
type FleetConfig struct {
	Agent    netip.AddrPort // on the node's own machine
	Report   time.Duration  // between reports
	CatchUp  time.Duration  // a node that has not received all of the intent by then serves by what it has
	Services []string       // whose tenants the node serves, sorted; none: every tenant. The agent names the same
}

// Bounds of the block, and what holds where it names none.
const (
	defaultReportMS   = 250
	minReportMS       = 50
	maxReportMS       = 1000 // ms; a report of 2 s ago is no evidence any more
	defaultCatchUpMS  = 10_000
	maxCatchUpMS      = 600_000
	maxFleetNameBytes = 128 // bytes of a node's or zone's name, as fleet.DecodeReport takes them
)

// decodeFleet reads the block; nil where there is none. A bad one is one error that names its member.
func decodeFleet(raw json.RawMessage, node string, s policy.Settings) (*FleetConfig, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return nil, nil
	}
	in := struct {
		Agent    string   `json:"agent"`
		Report   int64    `json:"report_ms"`
		CatchUp  int64    `json:"catch_up_ms"`
		Services []string `json:"services"`
	}{Report: defaultReportMS, CatchUp: defaultCatchUpMS}
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, err
	}
	agent, err := netip.ParseAddrPort(in.Agent)
	switch {
	case err != nil:
		return nil, fmt.Errorf("agent: %w", err)
	case !agent.Addr().Is4() || !agent.Addr().IsLoopback() || agent.Port() == 0:
		return nil, fmt.Errorf("agent: %v is not a port of this machine's loopback", agent)
	case in.Report < minReportMS || in.Report > maxReportMS:
		return nil, fmt.Errorf("report_ms: want %d to %d, have %d", minReportMS, maxReportMS, in.Report)
	case in.CatchUp < 0 || in.CatchUp > maxCatchUpMS:
		return nil, fmt.Errorf("catch_up_ms: want 0 to %d, have %d", maxCatchUpMS, in.CatchUp)
	case len(node) > maxFleetNameBytes || len(s.Zone) > maxFleetNameBytes:
		return nil, fmt.Errorf("the node's name and zone have %d bytes at most", maxFleetNameBytes)
	case s.Zone == "":
		return nil, errors.New("settings.zone is missing: a node of a fleet has a zone")
	}
	slices.Sort(in.Services)
	if err := fleet.ValidScope(in.Services); err != nil {
		return nil, err
	}
	return &FleetConfig{Agent: agent, Report: time.Duration(in.Report) * time.Millisecond,
		CatchUp: time.Duration(in.CatchUp) * time.Millisecond, Services: in.Services}, nil
}

// equal compares two blocks; nil where there is none.
func (c *FleetConfig) equal(other *FleetConfig) bool {
	if c == nil || other == nil {
		return c == other
	}
	return c.Agent == other.Agent && c.Report == other.Report && c.CatchUp == other.CatchUp && slices.Equal(c.Services, other.Services)
}
