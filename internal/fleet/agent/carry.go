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
	carryTimeout = time.Second           // of one try at one replica
	carryFresh   = time.Second           // a report older than this is not carried: a silent node is not kept present
	carryRest    = 50 * time.Millisecond // between two reports carried
	answerLimit  = 256 << 10
)

// carry brings the node's newest report to the leader, as it comes. A replica that does not lead names the leader; one that
// fails is followed by the next. A report that has a successor, or has grown old, is let go.
func (a *Agent) carry(ctx context.Context) {
	b, i := retries(), a.anyReplica()
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
			c, saved := a.report, a.saved
			sendable := a.counted && a.copy.Revision > 0
			a.mu.Unlock()
			if c == nil || c.rep.Revision == 0 && sendable {
				break // it would join as one that holds nothing, and then take what the copy has: it is sent that first
			}
			if a.now()-c.at > carryFresh {
				a.say(true, c)
				break
			}
			if c.rep.Revision > saved { // a restart would come back with less than the report says
				pause(ctx, 5*time.Millisecond)
				continue
			}
			leader, err := a.deliver(ctx, to, c)
			if err == nil {
				a.say(false, c)
				break
			}
			if errors.Is(err, errWhole) {
				a.m.wishes.Inc()
				a.cfg.Log.Debug("difference not taken", "replica", to, "incarnation", c.rep.Incarnation, "err", err)
				continue
			}
			a.cfg.Log.Debug("report not answered", "replica", to, "incarnation", c.rep.Incarnation, "err", err)
			if leader != "" && leader != to && slices.Contains(a.cfg.Replicas, leader) {
				to = leader
				pause(ctx, 5*time.Millisecond)
				continue
			}
			i = (i + 1) % len(a.cfg.Replicas)
			to = a.cfg.Replicas[i]
			pause(ctx, min(b.NextBackOff(), 300*time.Millisecond))
		}
		pause(ctx, carryRest)
	}
}

// say logs that no replica takes the node's reports, or that one does again.
func (a *Agent) say(lost bool, c *carried) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if lost != a.lost {
		a.lost = lost
		a.cfg.Log.Warn("reports to the leader", "answered", !lost, "incarnation", c.rep.Incarnation, "held_ms", a.holder.Remaining(a.now()).Milliseconds())
	}
}

// deliver makes one try at one replica. An error says that the report is still to be carried; leader is where, if known.
func (a *Agent) deliver(ctx context.Context, to string, c *carried) (leader string, err error) {
	ctx, cancel := context.WithTimeout(ctx, carryTimeout)
	defer cancel()
	t0 := a.now()
	out := a.outgoing(c)
	a.m.sent.WithLabelValues(out.kind).Inc()
	a.m.sentBytes.WithLabelValues(out.kind).Add(float64(len(out.body)))
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
	raw, err := io.ReadAll(io.LimitReader(resp.Body, answerLimit+1))
	if err != nil {
		return "", err
	}
	if out.kind == kindDifference && notTaken(resp.StatusCode) {
		a.sender.Forget()
		return "", fmt.Errorf("%w: status %d: %.100q", errWhole, resp.StatusCode, raw)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		var ans fleet.ReportAnswer
		if err := json.Unmarshal(raw, &ans); err != nil || len(raw) > answerLimit {
			return "", fmt.Errorf("answer: %w", errors.Join(err, errors.New("malformed or too long")))
		}
		if ans.SendComplete {
			a.sender.Forget()
			return "", wished(out)
		}
		a.sender.Acknowledged(c.rep, ans.AckSequence)
		a.answered(c, ans, t0)
		return "", nil
	case http.StatusConflict: // an older incarnation: it never will be taken
		a.refused(c, string(raw))
		return "", nil
	case http.StatusBadRequest:
		a.cfg.Log.Error("the leader refuses the node's report", "incarnation", c.rep.Incarnation, "err", string(raw[:min(len(raw), 200)]))
		c.end()
		return "", nil
	}
	return resp.Header.Get("X-Leader"), fmt.Errorf("status %d: %.100q", resp.StatusCode, raw)
}

// answered takes the leader's answer to a report whose sending began after t0.
func (a *Agent) answered(c *carried, ans fleet.ReportAnswer, t0 fleet.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer c.end()
	if c.rep.Incarnation != a.inc {
		return // of a run that has a successor
	}
	a.lastAt = a.now()
	held := a.holder.Remaining(a.now()) > 0
	if ttl := time.Duration(ans.LeaseTTLMS) * time.Millisecond; ttl > 0 && ttl <= time.Hour {
		a.holder.Renew(t0, ttl)
		a.m.renewals.Inc()
		if !a.session {
			a.session, a.need = true, ans.Revision
		}
		a.count()
	} else {
		a.holder.Drop()
	}
	if now := a.holder.Remaining(a.now()) > 0; now != held {
		a.cfg.Log.Info("session", "held", now, "incarnation", c.rep.Incarnation, "revision", ans.Revision)
		a.wake()
	}
	if len(ans.Resend) > 0 || ans.Restart {
		if ans.Restart {
			a.whole, ans.Resend = true, append(ans.Resend, "*")
		}
		a.resend(ans.Resend)
		a.cfg.Log.Info("resending to the node", "keys", ans.Resend, "restart", ans.Restart, "incarnation", c.rep.Incarnation)
	}
	want := union(a.last.WantedKeys, ans.WantedKeys) // what the node has not been sent yet
	a.last = ans
	a.last.WantedKeys = want[:min(len(want), 1024)]
}

// refused notes that the run which made the report has a successor.
func (a *Agent) refused(c *carried, why string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer c.end()
	if c.rep.Incarnation != a.inc {
		return
	}
	a.fenced = true
	a.holder.Drop()
	a.cfg.Log.Error("session refused", "incarnation", c.rep.Incarnation, "err", why)
	a.wake()
}
