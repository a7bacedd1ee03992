package wire

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"meadowsill/policy"
)

// Codes of outcomes on the wire.
const (
	codeOK            = 0
	codeCancelled     = 1
	codeTimeout       = 4
	codeRejected      = 8
	codeNotSent       = 9
	codeReset         = 10
	codeError         = 13
	codeConnectFailed = 14
)

var outcomes = map[int]policy.OutcomeCode{
	codeOK: policy.OK, codeCancelled: policy.Cancelled, codeTimeout: policy.TimedOut, codeRejected: policy.Rejected,
	codeNotSent: policy.NotSent, codeReset: policy.Reset, codeError: policy.ServerError,
	codeConnectFailed: policy.ConnectFailed,
}

// decodeOutcome decodes the outcome of an attempt or a health check, or the start of a streamed answer.
func decodeOutcome(name string, raw json.RawMessage) (InstanceEvent, error) {
	var e struct {
		Req         *string                    `json:"req"`
		Leg         *int                       `json:"leg"`
		Backend     *uint32                    `json:"backend"`
		Over        bool                       `json:"over"`
		Delay       int64                      `json:"delay_seen_ns"`
		Disposition *int                       `json:"disposition"`
		Feedback    map[string]json.RawMessage `json:"feedback"`
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return InstanceEvent{}, err
	}
	if e.Backend == nil {
		return InstanceEvent{}, missingFieldError("backend")
	}
	server, elapsed := policy.ServerID(*e.Backend), time.Duration(e.Delay)
	var id policy.RequestID
	if name != eventHealthCheckEnd {
		if e.Req == nil {
			return InstanceEvent{}, missingFieldError("req")
		}
		if e.Leg == nil {
			return InstanceEvent{}, missingFieldError("leg")
		}
		id = policy.RequestID(*e.Req)
	}
	if name == eventStreamStart {
		return InstanceEvent{Event: policy.StreamStarted{ID: id, Attempt: *e.Leg, Server: server, Elapsed: elapsed}}, nil
	}
	if e.Disposition == nil {
		return InstanceEvent{}, missingFieldError("disposition")
	}
	code, ok := outcomes[*e.Disposition]
	if !ok {
		return InstanceEvent{}, fmt.Errorf("unknown disposition %d", *e.Disposition)
	}
	report := decodeLoadReport(e.Feedback)
	if name == eventHealthCheckEnd {
		return InstanceEvent{Event: policy.HealthCheckEnded{Server: server, Code: code, Elapsed: elapsed, Report: report}}, nil
	}
	return InstanceEvent{Event: policy.AttemptEnded{
		ID:       id,
		Attempt:  *e.Leg,
		Server:   server,
		Answered: e.Over,
		Elapsed:  elapsed,
		Code:     code,
		Report:   report,
	}}, nil
}

// decodeLoadReport decodes a load report. It ignores unknown keys and values that are not numbers, and returns nil if none is left.
func decodeLoadReport(values map[string]json.RawMessage) *policy.LoadReport {
	var r policy.LoadReport
	known := false
	for name, raw := range values {
		v, err := strconv.ParseFloat(string(raw), 64)
		if err != nil {
			continue
		}
		known = SetLoadReportValue(&r, name, v) || known
	}
	if !known {
		return nil
	}
	return &r
}

// SetLoadReportValue sets the field of a load report that belongs to a name, either the name on the simulator's wire or the one
// that servers use on sockets. It reports whether the name is known.
func SetLoadReportValue(r *policy.LoadReport, name string, v float64) bool {
	switch name {
	case "active", "inflight":
		r.InFlight, r.HasInFlight = v, true
	case "waiting", "queue":
		r.Queue, r.HasQueue = v, true
	case "cpu", "util":
		r.Utilisation = v
	case "avg_ms", "latency_ms":
		r.ServiceTime = time.Duration(v * float64(time.Millisecond))
	case "rps", "qps":
		r.Rate = v
	case "err_rps", "eps":
		r.ErrorRate = v
	default:
		return false
	}
	return true
}
