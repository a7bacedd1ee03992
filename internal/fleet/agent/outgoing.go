package agent

import (
	"errors"
	"net/http"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/reportdelta"
)

// Kinds of report bodies, and the paths they are sent to. A replica of the previous build has no path for deltas, so it can't
// mistake a delta for a complete report with few rows.
const (
	kindComplete = "whole"
	kindDelta    = "difference"

	reportPath = "/fleet/v1/report"
	deltaPath  = "/fleet/v1/report/difference"
)

// errCompleteRequested reports that a replica did not accept a delta and that the complete report must be sent at once. The sender has
// no base left after it, so it comes at most once per report.
var errCompleteRequested = errors.New("the replica requires the complete report")

// newPendingReport returns a report to forward: rep, decoded from raw. unknownMembers reports whether raw has members that this build lacks.
func newPendingReport(rep fleet.Report, raw []byte, unknownMembers bool) *pendingReport {
	return &pendingReport{raw: raw, report: reportdelta.Normalize(rep), hasUnknownMembers: unknownMembers, done: make(chan struct{})}
}

// encodedReport is a report in the form in which it is sent.
type encodedReport struct {
	kind string
	path string
	body []byte
}

// encodedReport returns the shorter body for a report: the delta against the report that the leader last acknowledged, or the report
// as the node sent it.
func (a *Agent) encodedReport(p *pendingReport) encodedReport {
	complete := encodedReport{kindComplete, reportPath, p.raw}
	if p.hasUnknownMembers {
		return complete
	}
	d, ok := a.sender.Delta(p.report)
	if !ok {
		return complete
	}
	body, err := reportdelta.Encode(d)
	if err != nil || len(body) >= len(p.raw) {
		return complete
	}
	return encodedReport{kindDelta, deltaPath, body}
}

// isDeltaRejected reports whether a status means that the replica does not accept this delta, or no deltas at all.
func isDeltaRejected(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusMethodNotAllowed:
		return true
	}
	return false
}

// completeRequestError returns the error for an answer that requests the complete report.
func completeRequestError(out encodedReport) error {
	if out.kind == kindComplete {
		return errors.New("the replica requires the complete report although it was sent")
	}
	return errCompleteRequested
}
