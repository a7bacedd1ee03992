package fleet_test

import (
	"testing"

	"meadowsill/internal/fleet"
	"meadowsill/internal/golden"
)

// The bodies that nodes, agents and the control plane send each other.
func TestMessagesOnTheWire(t *testing.T) {
	golden.JSON[fleet.Intent](t, "intent")
	golden.JSON[fleet.Directive](t, "directive")
	golden.JSON[fleet.Tenant](t, "tenant")
	golden.JSON[fleet.Shares](t, "shares")
	golden.JSON[fleet.Report](t, "report")
	golden.JSON[fleet.ReportAnswer](t, "report-answer")
	golden.JSON[fleet.HeldZone](t, "held-zone")
	golden.JSON[fleet.HeldTenant](t, "held-tenant")
	golden.JSON[fleet.HeldShare](t, "held-share")
	golden.JSON[fleet.HeldServer](t, "held-server")
	golden.JSON[fleet.HeldBan](t, "held-ban")
	golden.JSON[fleet.HeldSettings](t, "held-settings")
}
