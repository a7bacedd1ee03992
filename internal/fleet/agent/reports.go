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
	reportTimeout  = time.Second           // of one attempt at one replica
	maxReportAge   = time.Second           // a report older than this is not carried: a silent node is not kept present
	reportPause    = 50 * time.Millisecond // between two reports carried
	maxAnswerBytes = 256 << 10
)

// forwardReports brings the node's newest report to the leader, as it comes. A replica that does not lead names the leader; one that
// fails is followed by the next. A report that has a successor, or has grown old, is let go.
func (a *Agent) forwardReports(ctx context.Context) {
	b, i := newRetryBackoff(), a.randomReplica()
	to := a.cfg.Replicas[i]
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.reports:
		}
		b.Reset()
		for ctx.Err() == nil {
			a.mu.Lock()
			c, saved := a.report, a.savedRevision
			sendable := a.joined && a.copy.Revision > 0
			a.mu.Unlock()
			if c == nil || c.report.Revision == 0 && sendable {
				break // it would join as one that holds nothing, and then take what the copy has: it is sent that first
			}
			if a.now()-c.receivedAt > maxReportAge {
				a.logReportsLost(true, c)
				break
			}
			if c.report.Revision > saved { // a restart would come back with less than the report says
				sleep(ctx, 5*time.Millisecond)
				continue
			}
			leader, err := a.sendReport(ctx, to, c)
			if err == nil {
				a.logReportsLost(false, c)
				break
			}
			if errors.Is(err, errCompleteWanted) {
				a.metrics.deltasRejected.Inc()
				a.cfg.Log.Debug("report delta rejected", "replica", to, "incarnation", c.report.Incarnation, "err", err)
				continue
			}
			a.cfg.Log.Debug("report not answered", "replica", to, "incarnation", c.report.Incarnation, "err", err)
			if leader != "" && leader != to && slices.Contains(a.cfg.Replicas, leader) {
				to = leader
				sleep(ctx, 5*time.Millisecond)
				continue
			}
			i = (i + 1) % len(a.cfg.Replicas)
			to = a.cfg.Replicas[i]
			sleep(ctx, min(b.NextBackOff(), 300*time.Millisecond))
		}
		sleep(ctx, reportPause)
	}
}

// logReportsLost logs that no replica takes the node's reports, or that one does again.
func (a *Agent) logReportsLost(lost bool, c *pendingReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if lost != a.reportsLost {
		a.reportsLost = lost
		a.cfg.Log.Warn("reports to the leader", "answered", !lost, "incarnation", c.report.Incarnation, "held_ms", a.lease.Remaining(a.now()).Milliseconds())
	}
}

// sendReport makes one attempt at one replica. An error says that the report is still to be carried; leader is where, if known.
func (a *Agent) sendReport(ctx context.Context, to string, c *pendingReport) (leader string, err error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	t0 := a.now()
	out := a.outgoing(c)
	a.metrics.sent.WithLabelValues(out.kind).Inc()
	a.metrics.sentBytes.WithLabelValues(out.kind).Add(float64(len(out.body)))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+out.path, bytes.NewReader(out.body))
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
		return "", fmt.Errorf("%w: status %d: %.100q", errCompleteWanted, resp.StatusCode, raw)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		var ans fleet.ReportAnswer
		if err := json.Unmarshal(raw, &ans); err != nil || len(raw) > maxAnswerBytes {
			return "", fmt.Errorf("answer: %w", errors.Join(err, errors.New("malformed or too long")))
		}
		if ans.SendComplete {
			a.sender.Forget()
			return "", completeWanted(out)
		}
		a.sender.Acknowledged(c.report, ans.AckSequence)
		a.applyAnswer(c, ans, t0)
		return "", nil
	case http.StatusConflict: // an older incarnation: it never will be taken
		a.sessionFenced(c, string(raw))
		return "", nil
	case http.StatusBadRequest:
		a.cfg.Log.Error("the leader rejects the node's report", "incarnation", c.report.Incarnation, "err", string(raw[:min(len(raw), 200)]))
		c.finish()
		return "", nil
	}
	return resp.Header.Get("X-Leader"), &statusError{status: resp.StatusCode, body: raw}
}

// applyAnswer takes the leader's answer to a report whose sending began after t0.
func (a *Agent) applyAnswer(c *pendingReport, ans fleet.ReportAnswer, t0 fleet.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer c.finish()
	if c.report.Incarnation != a.incarnation {
		return // of a run that has a successor
	}
	a.lastAnswerAt = a.now()
	held := a.lease.Remaining(a.now()) > 0
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
	if now := a.lease.Remaining(a.now()) > 0; now != held {
		a.cfg.Log.Info("session", "held", now, "incarnation", c.report.Incarnation, "revision", ans.Revision)
		a.notifyNode()
	}
	if len(ans.Resend) > 0 || ans.Restart {
		if ans.Restart {
			a.fetchAll, ans.Resend = true, append(ans.Resend, "*")
		}
		a.resend(ans.Resend)
		a.cfg.Log.Info("resending to the node", "keys", ans.Resend, "restart", ans.Restart, "incarnation", c.report.Incarnation)
	}
	want := union(a.lastAnswer.WantedKeys, ans.WantedKeys) // what the node has not been sent yet
	a.lastAnswer = ans
	a.lastAnswer.WantedKeys = want[:min(len(want), 1024)]
}

// sessionFenced notes that the run which made the report has a successor.
func (a *Agent) sessionFenced(c *pendingReport, why string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer c.finish()
	if c.report.Incarnation != a.incarnation {
		return
	}
	a.fenced = true
	a.lease.Drop()
	a.cfg.Log.Error("session rejected", "incarnation", c.report.Incarnation, "err", why)
	a.notifyNode()
}
