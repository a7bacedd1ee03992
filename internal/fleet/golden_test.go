package fleet_test

import (
	"testing"

	"meadowsill/internal/fleet"
	"meadowsill/internal/golden"
)

// The JSON of the bodies that nodes, agents and the control plane exchange must stay as in the golden files.
func TestMessagesOnTheWire(t *testing.T) {
	golden.JSON[fleet.Intent](t, "intent")
	golden.JSON[fleet.Directive](t, "directive")
	golden.JSON[fleet.Tenant](t, "tenant")
	golden.JSON[fleet.QuotaLease](t, "shares")
	golden.JSON[fleet.Report](t, "report")
	golden.JSON[fleet.ReportAnswer](t, "report-answer")
	golden.JSON[fleet.AppliedZone](t, "held-zone")
	golden.JSON[fleet.AppliedTenant](t, "held-tenant")
	golden.JSON[fleet.AppliedLease](t, "held-share")
	golden.JSON[fleet.AppliedServer](t, "held-server")
	golden.JSON[fleet.AppliedExclusion](t, "held-ban")
	golden.JSON[fleet.AppliedSettings](t, "held-settings")
}
