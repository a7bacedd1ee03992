package agent

import (
	"errors"
	"net/http"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/reportdelta"
)

// Kinds of bodies in which a report is sent, and their paths. A replica of the build before has no path for differences, and
// so can't take one for a report with few rows.
const (
	kindComplete = "whole"
	kindDelta    = "difference"

	reportPath = "/fleet/v1/report"
	deltaPath  = "/fleet/v1/report/difference"
)

// errCompleteWanted reports that a replica did not take a difference: the complete report is to be sent at once. Nothing is then left to make a
// difference against, so it comes once for a report at most.
var errCompleteWanted = errors.New("whole report wanted")

// newPendingReport makes the report rep, read from raw, one to carry; newer says that it has more members than this build knows.
func newPendingReport(rep fleet.Report, raw []byte, newer bool) *pendingReport {
	return &pendingReport{raw: raw, report: reportdelta.Normalize(rep), hasUnknownMembers: newer, done: make(chan struct{})}
}

// outgoing is a report as it is sent.
type outgoing struct {
	kind string
	path string
	body []byte
}

// outgoing makes the shorter body: the difference against what the leader has acknowledged, or the report as the node made
// it.
func (a *Agent) outgoing(c *pendingReport) outgoing {
	complete := outgoing{kindComplete, reportPath, c.raw}
	if c.hasUnknownMembers {
		return complete
	}
	d, ok := a.sender.Delta(c.report)
	if !ok {
		return complete
	}
	body, err := reportdelta.Encode(d)
	if err != nil || len(body) >= len(c.raw) {
		return complete
	}
	return outgoing{kindDelta, deltaPath, body}
}

// isDeltaRejected reports whether a status means that the replica does not take this difference, or none.
func isDeltaRejected(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusMethodNotAllowed:
		return true
	}
	return false
}

// completeWanted is the error for an answer that requests the complete report.
func completeWanted(out outgoing) error {
	if out.kind == kindComplete {
		return errors.New("the whole report was sent, and wished for")
	}
	return errCompleteWanted
}
