package agent

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"meadowsill/internal/fleet"
)

// watchTimeout is how long a watch call waits at a replica; watchAnswerSlack is the additional time for the answer to arrive. The
// timeout is short because each answer confirms the age of what the node is served, and a directive holds for 5 s after a confirmation.
const (
	watchTimeout     = time.Second
	watchAnswerSlack = 1500 * time.Millisecond
)

// watch follows the replicas, one at a time. When one fails, it moves on to the next.
func (a *Agent) watch(ctx context.Context) {
	b, i := newRetryBackoff(), a.randomReplica()
	for ctx.Err() == nil {
		err := a.poll(ctx, a.cfg.Replicas[i])
		if err == nil {
			b.Reset()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		a.metrics.answersDropped.Inc()
		a.cfg.Log.Warn("intent: answer dropped", "replica", a.cfg.Replicas[i], "err", err)
		i = (i + 1) % len(a.cfg.Replicas)
		sleep(ctx, b.NextBackOff())
	}
}

// poll makes one watch call and applies its answer. The error says why the answer was dropped.
func (a *Agent) poll(ctx context.Context, replica string) error {
	a.mu.Lock()
	since := a.copy.Revision
	if a.fetchAll {
		since = 0
	}
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, watchTimeout+watchAnswerSlack)
	defer cancel()
	q := url.Values{"since": {strconv.FormatUint(since, 10)}, "timeout_ms": {strconv.FormatInt(watchTimeout.Milliseconds(), 10)}, "node": {a.cfg.Node}}
	if len(a.cfg.Services) > 0 {
		q["service"] = a.cfg.Services
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+replica+"/fleet/v1/intent?"+q.Encode(), nil)
	if err != nil {
		return err
	}
	t0 := a.now()
	resp, err := a.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, fleet.MaxIntentBytes+1))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return &statusError{status: resp.StatusCode, body: raw}
	}
	in, err := fleet.DecodeIntent(raw)
	if err != nil {
		return err
	}
	if since == 0 && !in.Full {
		return errIncompleteAnswer
	}
	// The replica read its state after it had waited, so no earlier than t0 plus the waiting time. It had last heard from the
	// leader X-Last-Contact-Ms before that. The answer's transfer time counts as age, because it can't be told apart.
	return a.applyIntent(restrictToScope(a.cfg.Services, in), min(t0+headerMS(resp.Header, "X-Waited-Ms"), a.now())-headerMS(resp.Header, "X-Last-Contact-Ms"))
}

// headerMS reads a header in ms, limited to the range from 0 to a minute. A header that is not a number counts as 0.
func headerMS(h http.Header, name string) time.Duration {
	n, err := strconv.Atoi(h.Get(name))
	if err != nil {
		return 0
	}
	return time.Duration(min(max(n, 0), 60_000)) * time.Millisecond
}
