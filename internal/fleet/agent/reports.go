package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"meadowsill/internal/fleet"
)

const (
	reportTimeout  = time.Second           // limit of one attempt at one replica
	maxReportAge   = time.Second           // a report older than this is not forwarded, so that a silent node does not count as present
	reportPause    = 50 * time.Millisecond // between two forwarded reports
	maxAnswerBytes = 256 << 10
)

// forwardReports sends the node's newest report to the leader as it arrives. A replica that does not lead names the leader; after a
// replica that fails, the next one is tried. A report is dropped once a newer one replaces it or it is older than maxReportAge.
func (a *Agent) forwardReports(ctx context.Context) {
	b, i := newRetryBackoff(), a.randomReplica()
	replica := a.cfg.Replicas[i]
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.reports:
		}
		b.Reset()
		for ctx.Err() == nil {
			a.mu.Lock()
			p, saved := a.report, a.savedRevision
			sendable := a.joined && a.copy.Revision > 0
			a.mu.Unlock()
			if p == nil || p.report.Revision == 0 && sendable {
				break // the node would join without any items and then apply the copy; the copy is sent to the node first
			}
			if a.now()-p.receivedAt > maxReportAge {
				a.logReportsLost(true, p)
				break
			}
			if p.report.Revision > saved { // a restarted agent would have an older revision than the report claims
				sleep(ctx, 5*time.Millisecond)
				continue
			}
			leader, err := a.sendReport(ctx, replica, p)
			if err == nil {
				a.logReportsLost(false, p)
				break
			}
			if errors.Is(err, errCompleteRequested) {
				a.metrics.deltasRejected.Inc()
				a.cfg.Log.Debug("report delta rejected", "replica", replica, "incarnation", p.report.Incarnation, "err", err)
				continue
			}
			a.cfg.Log.Debug("report not accepted", "replica", replica, "incarnation", p.report.Incarnation, "err", err)
			if leader != "" && leader != replica && slices.Contains(a.cfg.Replicas, leader) {
				replica = leader
				sleep(ctx, 5*time.Millisecond)
				continue
			}
			i = (i + 1) % len(a.cfg.Replicas)
			replica = a.cfg.Replicas[i]
			sleep(ctx, min(b.NextBackOff(), 300*time.Millisecond))
		}
		sleep(ctx, reportPause)
	}
}

// logReportsLost logs that no replica accepts the node's reports, or that one accepts them again.
func (a *Agent) logReportsLost(lost bool, p *pendingReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if lost != a.reportsLost {
		a.reportsLost = lost
		a.cfg.Log.Warn("reports to the leader", "answered", !lost, "incarnation", p.report.Incarnation, "held_ms", a.lease.Remaining(a.now()).Milliseconds())
	}
}

// sendReport makes one attempt to send p to one replica. After an error the report still needs to be sent; leader is the leader's address if known.
func (a *Agent) sendReport(ctx context.Context, replica string, p *pendingReport) (leader string, err error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	t0 := a.now()
	out := a.encodedReport(p)
	a.metrics.sent.WithLabelValues(out.kind).Inc()
	a.metrics.sentBytes.WithLabelValues(out.kind).Add(float64(len(out.body)))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+replica+out.path, bytes.NewReader(out.body))
	if err != nil {
		return "", err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return "", err
	}
	if out.kind == kindDelta && isDeltaRejected(resp.StatusCode) {
		a.sender.Forget()
		return "", fmt.Errorf("%w: status %d: %.100q", errCompleteRequested, resp.StatusCode, raw)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		var ans fleet.ReportAnswer
		if err := json.Unmarshal(raw, &ans); err != nil || len(raw) > maxAnswerBytes {
			return "", fmt.Errorf("answer: %w", errors.Join(err, errors.New("malformed or too long")))
		}
		if ans.SendComplete {
			a.sender.Forget()
			return "", completeRequestError(out)
		}
		a.sender.Acknowledged(p.report, ans.AckSequence)
		a.applyAnswer(p, ans, t0)
		return "", nil
	case http.StatusConflict: // the report is of an older incarnation and will never be accepted
		a.sessionFenced(p, string(raw))
		return "", nil
	case http.StatusBadRequest:
		a.cfg.Log.Error("the leader rejects the node's report", "incarnation", p.report.Incarnation, "err", string(raw[:min(len(raw), 200)]))
		p.finish()
		return "", nil
	}
	return resp.Header.Get("X-Leader"), &statusError{status: resp.StatusCode, body: raw}
}

// applyAnswer applies the leader's answer to a report whose sending began at t0 or later.
func (a *Agent) applyAnswer(p *pendingReport, ans fleet.ReportAnswer, t0 fleet.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer p.finish()
	if p.report.Incarnation != a.incarnation {
		return // the answer is to an incarnation that has a successor
	}
	a.lastAnswerAt = a.now()
	heldBefore := a.lease.Remaining(a.now()) > 0
	if ttl := time.Duration(ans.LeaseTTLMS) * time.Millisecond; ttl > 0 && ttl <= time.Hour {
		a.lease.Renew(t0, ttl)
		a.metrics.renewals.Inc()
		if !a.hasSession {
			a.hasSession, a.minRevision = true, ans.Revision
		}
		a.markJoined()
	} else {
		a.lease.Drop()
	}
	if now := a.lease.Remaining(a.now()) > 0; now != heldBefore {
		a.cfg.Log.Info("session", "held", now, "incarnation", p.report.Incarnation, "revision", ans.Revision)
		a.notifyNode()
	}
	if len(ans.Resend) > 0 || ans.Restart {
		if ans.Restart {
			a.fetchAll, ans.Resend = true, append(ans.Resend, "*")
		}
		a.resend(ans.Resend)
		a.cfg.Log.Info("resending items to the node", "keys", ans.Resend, "restart", ans.Restart, "incarnation", p.report.Incarnation)
	}
	wantedKeys := union(a.lastAnswer.WantedKeys, ans.WantedKeys) // keeps the keys that the node has not been sent yet
	a.lastAnswer = ans
	a.lastAnswer.WantedKeys = wantedKeys[:min(len(wantedKeys), 1024)]
}

// sessionFenced records that the incarnation which made the report has a successor.
func (a *Agent) sessionFenced(p *pendingReport, reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer p.finish()
	if p.report.Incarnation != a.incarnation {
		return
	}
	a.fenced = true
	a.lease.Drop()
	a.cfg.Log.Error("session rejected", "incarnation", p.report.Incarnation, "err", reason)
	a.notifyNode()
}
