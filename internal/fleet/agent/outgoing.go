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
	kindWhole      = "whole"
	kindDifference = "difference"

	wholePath      = "/fleet/v1/report"
	differencePath = "/fleet/v1/report/difference"
)

// errWhole says that a replica did not take a difference: the whole report is to be sent at once. Nothing is then left to make a
// difference against, so it comes once for a report at most.
var errWhole = errors.New("whole report wanted")

// newCarried makes the report rep, read from raw, one to carry; newer says that it has more members than this build knows.
func newCarried(rep fleet.Report, raw []byte, newer bool) *carried {
	return &carried{raw: raw, rep: reportdelta.Normalize(rep), newer: newer, done: make(chan struct{})}
}

// outgoing is a report as it is sent.
type outgoing struct {
	kind, path string
	body       []byte
}

// outgoing makes the shorter body: the difference against what the leader has acknowledged, or the report as the node made
// it.
func (a *Agent) outgoing(c *carried) outgoing {
	whole := outgoing{kindWhole, wholePath, c.raw}
	if c.newer {
		return whole
	}
	d, ok := a.sender.Difference(c.rep)
	if !ok {
		return whole
	}
	body, err := reportdelta.Encode(d)
	if err != nil || len(body) >= len(c.raw) {
		return whole
	}
	return outgoing{kindDifference, differencePath, body}
}

// notTaken says whether a status means that the replica does not take this difference, or none.
func notTaken(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusMethodNotAllowed:
		return true
	}
	return false
}

// wished is the error for an answer that wishes for the whole report.
func wished(out outgoing) error {
	if out.kind == kindWhole {
		return errors.New("the whole report was sent, and wished for")
	}
	return errWhole
}
