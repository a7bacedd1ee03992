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
// "catch_up_ms": 10000, "services": ["billing"]}. A node without the block is not part of the fleet (docs/fleet.md).
type FleetConfig struct {
	Agent    netip.AddrPort // the agent's address, on the node's own machine
	Report   time.Duration  // the interval between reports
	CatchUp  time.Duration  // after this time, a node that has not received the complete intent serves with what it has
	Services []string       // services whose tenants the node serves, sorted; empty for all tenants. The agent's list is the same
}

// Bounds and defaults of the fleet block.
const (
	defaultReportMS   = 250
	minReportMS       = 50
	maxReportMS       = 1000 // a report that is 2 s old no longer counts as evidence
	defaultCatchUpMS  = 10_000
	maxCatchUpMS      = 600_000
	maxFleetNameBytes = 128 // of a node's or zone's name: the limit of fleet.DecodeReport
)

// decodeFleet decodes the fleet block. It returns nil if there is none, and an error that names the key if a value is invalid.
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

// equal reports whether two blocks are equal. A missing block is nil.
func (c *FleetConfig) equal(other *FleetConfig) bool {
	if c == nil || other == nil {
		return c == other
	}
	return c.Agent == other.Agent && c.Report == other.Report && c.CatchUp == other.CatchUp && slices.Equal(c.Services, other.Services)
}
